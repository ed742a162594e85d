"""Orders to stop runs, repeated until the worker lists the end."""

from __future__ import annotations

from pollenkeel_jobs.core.messages import StopOrder
from pollenkeel_jobs.core.vms import Vm

#: Seconds between two orders to stop the same run.
_STOP_INTERVAL = 0.5


class StopBook:
    """Stops that are to be sent, with the time of the last order for each run.

    Not safe for use by several threads; the scheduler's lock protects it.
    """

    def __init__(self) -> None:
        self._again_at_by_run: dict[tuple[str, int], tuple[str, float]] = {}
        self._new_by_vm: dict[Vm, list[StopOrder]] = {}

    def add(self, vm: Vm, task_id: str, run: int, now: float) -> bool:
        """Ask for a stop unless the worker's life was lately told to; return if so."""
        incarnation, again_at = self._again_at_by_run.get((task_id, run), ("", 0.0))
        if incarnation == vm.incarnation and now < again_at:
            return False
        self._again_at_by_run[task_id, run] = (vm.incarnation, now + _STOP_INTERVAL)
        self._new_by_vm.setdefault(vm, []).append(StopOrder(task_id, run))
        return True

    def forget(self, task_id: str, run: int) -> None:
        """Forget a run whose end is known."""
        self._again_at_by_run.pop((task_id, run), None)

    def take(self) -> dict[Vm, list[StopOrder]]:
        """Return the stops that were not sent yet, and count them as sent."""
        taken, self._new_by_vm = self._new_by_vm, {}
        return taken
