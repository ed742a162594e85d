"""Expected wait of new jobs, from the work that waits and the capacity that serves it.

Answers a load that stays above the capacity for longer than jobs can wait. The wait is
a lower estimate: it leaves out what runs now and the steps that are not ready yet, so
that a job is never called hopeless because of work that may not come.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import islice

import attrs

from pollenkeel_jobs.core.messages import ServiceWait
from pollenkeel_jobs.core.metrics import EXPECTED_WAIT_SECONDS
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import WaitingTasks, get_priority

#: Seconds between two estimates. Entries use an estimate for up to two seconds.
_INTERVAL = 0.5
#: Number of waiting tasks that one estimate looks at; the others count like these.
_MAX_SAMPLED_TASKS = 2_000
#: Waits below this are not reported, in seconds; a pass places most tasks sooner.
_MIN_WAIT_SECONDS = 0.5


@attrs.define
class _Amounts:
    """CPU and memory of tasks, or these times the seconds for which they are used."""

    cpu: float = 0.0
    memory: float = 0.0

    def add(self, cpu: float, memory: float) -> None:
        self.cpu += cpu
        self.memory += memory

    def divide(self, capacity: _Amounts) -> float:
        """Return the larger ratio of the two amounts; 0 without a demand."""
        pairs = ((self.cpu, capacity.cpu), (self.memory, capacity.memory))
        return max(work / max(1.0, free) if work else 0.0 for work, free in pairs)


class BacklogEstimator:
    """Estimates for each service and priority how long a new job waits for a start.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    forecast : RunForecast
        Expected run times.

    Attributes
    ----------
    waits : list of ServiceWait
        The latest estimate; a service and priority without a wait is left out.
    """

    def __init__(self, forecast: RunForecast) -> None:
        self.waits: list[ServiceWait] = []
        self._forecast = forecast
        self._next_update_at = 0.0

    def update(self, waiting: WaitingTasks, vms: list[Vm], now: float) -> None:
        """Update the estimate if the last one is old.

        Parameters
        ----------
        waiting : WaitingTasks
            Tasks that wait for a VM.
        vms : list of Vm
            VMs that may receive starts.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if now < self._next_update_at:
            return
        self._next_update_at = now + _INTERVAL
        self.waits = list(self._estimate(waiting, vms))
        EXPECTED_WAIT_SECONDS.clear()
        for wait in self.waits:
            EXPECTED_WAIT_SECONDS.labels(wait.service, wait.priority).set(wait.seconds)

    def _estimate(self, waiting: WaitingTasks, vms: list[Vm]) -> Iterator[ServiceWait]:
        capacity_by_service = _sum_capacity(vms)
        work_by_class = self._sum_work(waiting, vms)
        total_by_service: dict[str, _Amounts] = defaultdict(_Amounts)
        for service, priority in sorted(work_by_class):
            work = work_by_class[service, priority]
            total = total_by_service[service]
            total.add(work.cpu, work.memory)
            seconds = total.divide(capacity_by_service[service])
            if seconds >= _MIN_WAIT_SECONDS:
                yield ServiceWait(service, priority, seconds)

    def _sum_work(
        self, waiting: WaitingTasks, vms: list[Vm]
    ) -> dict[tuple[str, int], _Amounts]:
        """Return CPU and memory times seconds of the waiting tasks.

        Those that no VM could run even if it were empty are left out: no other task
        waits for them.
        """
        labels_by_service: dict[str, set[str]] = defaultdict(set)
        for vm in vms:
            labels_by_service[vm.service] |= {"", *vm.labels}
        scale = max(1.0, len(waiting) / _MAX_SAMPLED_TASKS)
        work_by_class: dict[tuple[str, int], _Amounts] = defaultdict(_Amounts)
        for task in islice(waiting, _MAX_SAMPLED_TASKS):
            service = task.job.spec.queue.service
            if task.step.label in labels_by_service[service]:
                seconds = scale * self._forecast.expect_run_seconds(task)
                demand = task.step.demand
                work_by_class[service, get_priority(task)].add(
                    seconds * demand.cpu, seconds * demand.memory
                )
        return work_by_class


def _sum_capacity(vms: Iterable[Vm]) -> dict[str, _Amounts]:
    """Return the capacity that tasks use in turn, by service.

    Long-running tasks keep theirs.
    """
    capacity_by_service: dict[str, _Amounts] = defaultdict(_Amounts)
    for vm in vms:
        kept = [t.step.demand for t in vm.tasks_by_id.values() if _keeps_room(t)]
        capacity_by_service[vm.service].add(
            max(0, vm.capacity.cpu - sum(demand.cpu for demand in kept)),
            max(0, vm.capacity.memory - sum(demand.memory for demand in kept)),
        )
    return capacity_by_service


def _keeps_room(task: Task) -> bool:
    return task.step.long_running and not task.step.fills
