"""Room that is kept on a VM until its runs have ended, and what may run there before.

It bounds what a large task loses to a stream of smaller ones, and what these lose to a
forecast that is wrong.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, ClassVar

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.reservations import Reservation
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.trials import is_tried_apart
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import get_priority

#: Factor by which a run may last longer than expected and still end before kept room
#: is needed. Declared run times are off by a factor of 1.6 to 2.5.
_RUN_TIME_MARGIN = 2.0
#: Seconds after which a waiting task may use kept room of a service with free capacity.
#: No job may have no run for 3 s while half of the capacity is free.
_MAX_WAIT_SECONDS = 1.5
#: Expected share of a service's CPU in use below which it has free capacity. It is
#: above one half, as what tasks really use may be less than expected.
_MAX_FREE_LOAD = 0.7


class KeptRoomRules:
    """Decides which tasks may use kept room, whatever is kept.

    Parameters
    ----------
    forecast : RunForecast
        Expected run times.
    """

    def __init__(self, forecast: RunForecast) -> None:
        self._forecast = forecast
        self._vms: list[Vm] = []
        self._is_busy_by_service: dict[str, bool] = {}

    def begin_pass(self, vms: list[Vm]) -> None:
        """Take over the VMs of a pass, whose load at its begin counts."""
        self._vms = vms
        self._is_busy_by_service = {}

    def is_exempt(self, task: Task, now: float) -> bool:
        """Return whether a task may use all kept room."""
        if task.step.long_running or is_tried_apart(task):
            return True
        waited = now - task.ready_at
        return waited > _MAX_WAIT_SECONDS and not self._is_busy(
            task.job.spec.queue.service
        )

    def ends_before(self, task: Task, now: float, at: float) -> bool:
        """Return whether a task that is placed now ends before a time, with a margin.

        The speed of best-effort tasks depends on the CPU that others leave.
        """
        seconds = self._forecast.expect_run_seconds(task)
        if task.step.fills or seconds <= 0:
            return False
        return now + seconds * _RUN_TIME_MARGIN <= at

    def _is_busy(self, service: str) -> bool:
        if service not in self._is_busy_by_service:
            vms = [vm for vm in self._vms if vm.service == service]
            self._is_busy_by_service[service] = _compute_load(vms) >= _MAX_FREE_LOAD
        return self._is_busy_by_service[service]


def _compute_load(vms: Iterable[Vm]) -> float:
    capacity = used = 0.0
    for vm in vms:
        capacity += vm.capacity.cpu
        used += vm.capacity.cpu * vm.cpu_load
    return used / max(1.0, capacity)


@attrs.frozen
class KeptRoom(Reservation):
    """Room that is expected to become free as runs end.

    Preemption, which stops runs, takes precedence over it.

    Attributes
    ----------
    needed_at : float
        Time at which the room is expected to be free, in seconds since the Unix epoch.
    runs : tuple of Task
        Tasks whose runs are expected to end until then.
    overruns : int
        How often the room was not free at the expected time.
    rules : KeptRoomRules
        Decides which tasks may use the room.
    """

    needed_at: float
    runs: tuple[Task, ...]
    overruns: int
    rules: KeptRoomRules
    yields: ClassVar[bool] = True

    def describe(self) -> dict[str, Any]:
        """Return where and until when the room is kept, for operators."""
        return {**super().describe(), "expected_at": self.needed_at}

    def is_exempt(self, task: Task, now: float) -> bool:
        """Return whether a task may use all kept room, whoever it is kept for."""
        return self.rules.is_exempt(task, now)

    def admits(self, task: Task, now: float) -> bool:
        """Return whether a task that fits on the VM now may be placed there."""
        return (
            task is self.task
            or get_priority(task) < get_priority(self.task)
            or self.is_exempt(task, now)
            or self._fits_beside(task)
            or self.rules.ends_before(task, now, self.needed_at)
        )

    def _fits_beside(self, task: Task) -> bool:
        """Return whether the room is free in time although the task still runs."""
        placed = self.vm.tasks_by_id
        freed = sum(
            (run.step.reserved for run in self.runs if run.task_id in placed), Demand()
        )
        demand = task.step.reserved + self.task.step.reserved
        return self.vm.has_room_for(demand - freed)
