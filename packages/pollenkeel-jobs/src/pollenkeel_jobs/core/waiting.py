"""Tasks that wait for a VM, sorted by urgency, and the kinds of their demands."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.specs import Demand


@attrs.frozen(cache_hash=True)
class DemandKind:
    """What a task demands of its VM.

    A VM that has no room for a task has none for any task of the same kind, unless the
    tickets, the placed tasks of the step or the time for which the task has waited
    make a difference.

    Attributes
    ----------
    service : str
        Service whose workers run the task.
    label : str
        Label that the VM must have; empty for none.
    reserved : Demand
        Resources that the task reserves.
    advised : bool
        Whether a start needs a ticket for the task's step.
    best_effort : tuple of (str, int) or None
        Image and declared CPU of a best-effort task, which limit its interference.
    gang : tuple of (int, bool, int) or None
        Size of the task's gang, whether it is faster on one rack, and its spread limit.
    """

    service: str
    label: str
    reserved: Demand
    advised: bool
    best_effort: tuple[str, int] | None
    gang: tuple[int, bool, int] | None


#: Objective of a waiting task's job, task id, the task, and the kind of its demand.
WaitingEntry = tuple[float, str, Task, DemandKind]


def make_demand_kind(task: Task) -> DemandKind:
    """Return the kind of a task's demand."""
    step = task.step
    queue = task.job.spec.queue
    return DemandKind(
        queue.service,
        step.label,
        step.reserved,
        queue.advised,
        (step.image, step.demand.cpu) if step.fills else None,
        (step.count, step.same_rack, step.spread_limit) if step.gang else None,
    )


class WaitingTasks:
    """Tasks that wait for a VM; iterated in the order in which they were added.

    The tasks of each priority are in a sorted list, so that no pass has to sort.

    Not thread-safe; the scheduler's lock protects it.

    Attributes
    ----------
    long_running : dict of Task to None
        Those of the tasks that run until their job is cancelled.
    counts_by_kind : Counter of DemandKind
        Number of tasks of each kind of demand.
    """

    def __init__(self) -> None:
        self.long_running: dict[Task, None] = {}
        self._kinds_by_task: dict[Task, DemandKind] = {}
        self._entries_by_priority: dict[int, list[WaitingEntry]] = {}
        # Equal kinds are one object, which makes sets of them faster to search.
        self._kinds: dict[DemandKind, DemandKind] = {}
        self.counts_by_kind: Counter[DemandKind] = Counter()

    def __contains__(self, task: Task) -> bool:
        return task in self._kinds_by_task

    def __iter__(self) -> Iterator[Task]:
        return iter(self._kinds_by_task)

    def __len__(self) -> int:
        return len(self._kinds_by_task)

    def add(self, task: Task) -> None:
        """Add a task; does nothing if it waits already."""
        if task in self._kinds_by_task:
            return
        kind = make_demand_kind(task)
        kind = self._kinds.setdefault(kind, kind)
        self.counts_by_kind[kind] += 1
        self._kinds_by_task[task] = kind
        if task.step.long_running:
            self.long_running[task] = None
        entries = self._entries_by_priority.setdefault(get_priority(task), [])
        insort(entries, _make_entry(task, kind))

    def discard(self, task: Task) -> None:
        """Remove a task; does nothing if it does not wait."""
        kind = self._kinds_by_task.pop(task, None)
        if kind is None:
            return
        self.long_running.pop(task, None)
        self.counts_by_kind[kind] -= 1
        if not self.counts_by_kind[kind]:
            del self.counts_by_kind[kind], self._kinds[kind]
        entries = self._entries_by_priority[get_priority(task)]
        del entries[bisect_left(entries, _make_entry(task, kind))]
        if not entries:
            del self._entries_by_priority[get_priority(task)]

    def get_kind(self, task: Task) -> DemandKind:
        """Return the kind of a waiting task's demand."""
        return self._kinds_by_task[task]

    def list_by_urgency(self, now: float) -> list[WaitingEntry]:
        """Return the tasks with the kinds of their demands, the most urgent first.

        Within a priority, jobs that can still meet their objective come first, in the
        order of their objectives. The others are late whatever is done.

        Parameters
        ----------
        now : float
            Current time in seconds since the Unix epoch.
        """
        ordered: list[WaitingEntry] = []
        for priority in sorted(self._entries_by_priority):
            entries = self._entries_by_priority[priority]
            first_timely = bisect_left(entries, now, key=_get_objective)
            ordered += entries[first_timely:]
            ordered += entries[:first_timely]
        return ordered


def get_priority(task: Task) -> int:
    """Return the priority of a task's queue; lower ones come first."""
    return task.job.spec.queue.priority


def _get_objective(entry: WaitingEntry) -> float:
    return entry[0]


def _make_entry(task: Task, kind: DemandKind) -> WaitingEntry:
    return task.job.objective_at, task.task_id, task, kind
