"""Orders to stop runs, repeated until the worker lists the run as ended."""

from __future__ import annotations

from pollenkeel_jobs.core.messages import StopOrder
from pollenkeel_jobs.core.vms import Vm

#: Seconds between two orders to stop the same run.
_STOP_INTERVAL = 0.5


class StopOrderQueue:
    """Queue of stop orders that limits how often an order is repeated.

    Not thread-safe; callers hold the scheduler's lock.
    """

    def __init__(self) -> None:
        # By run: incarnation that got the last order, earliest time to repeat it.
        self._retry_by_run: dict[tuple[str, int], tuple[str, float]] = {}
        self._unsent_by_vm: dict[Vm, list[StopOrder]] = {}

    def add(self, vm: Vm, task_id: str, run: int, now: float) -> bool:
        """Queue a stop order and return True.

        Returns False without queueing if the same incarnation of the worker was sent
        the order less than ``_STOP_INTERVAL`` ago.
        """
        incarnation, retry_at = self._retry_by_run.get((task_id, run), ("", 0.0))
        if incarnation == vm.incarnation and now < retry_at:
            return False
        self._retry_by_run[task_id, run] = (vm.incarnation, now + _STOP_INTERVAL)
        self._unsent_by_vm.setdefault(vm, []).append(StopOrder(task_id, run))
        return True

    def forget(self, task_id: str, run: int) -> None:
        """Drop a run that has ended."""
        self._retry_by_run.pop((task_id, run), None)

    def pop_unsent(self) -> dict[Vm, list[StopOrder]]:
        """Remove and return the queued orders."""
        unsent, self._unsent_by_vm = self._unsent_by_vm, {}
        return unsent
