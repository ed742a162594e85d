"""Choice of the running tasks to stop on one VM to make room for a demand."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.specs import Demand

#: Cores that count as much as one accelerator.
_CORES_PER_ACCELERATOR = 8.0
#: Thousandths of a core.
_MILLI = 1000.0
#: Seconds of work that a stop costs a task that saves its progress, for its restart.
_RESTART_SECONDS = 1.0
_FULL_PERCENT = 100.0


@attrs.frozen
class Stoppable:
    """Tasks of one VM that may be stopped, and the resources that can become free.

    Attributes
    ----------
    tasks : tuple of Task
        Tasks that may be stopped.
    demand : Demand
        Resources that they reserve.
    ending : Demand
        Resources of the runs that are being stopped already.
    """

    tasks: tuple[Task, ...]
    demand: Demand
    ending: Demand


@attrs.frozen
class Victims:
    """Tasks to stop on one VM, and the work that is lost with them, in core-seconds."""

    tasks: tuple[Task, ...]
    loss: float


def estimate_loss(task: Task, now: float) -> float:
    """Return the work that a stop of a running task loses, in core-seconds."""
    step = task.step
    if step.checkpointing:
        seconds = _RESTART_SECONDS
    else:
        # An earlier leader knew when the run was placed; its progress is reported.
        done = step.estimate * task.percent / _FULL_PERCENT
        seconds = max(done, now - task.placed_at if task.placed_at else 0.0)
    cores = step.demand.cpu / _MILLI * (task.use if step.fills else 1.0)
    return seconds * (cores + _CORES_PER_ACCELERATOR * step.demand.accelerators)


def choose_victims(missing: Demand, stoppable: Stoppable, now: float) -> Victims | None:
    """Return a cheap set of tasks that frees missing resources, or None.

    No task of the set can be left out. The set is the cheapest of those found by adding
    tasks in the order of their loss, and of their loss per freed share of the missing
    resources.

    Parameters
    ----------
    missing : Demand
        Resources to free; negative amounts are free already.
    stoppable : Stoppable
        Running tasks of one VM that may be stopped.
    now : float
        Current time in seconds since the Unix epoch.
    """
    if _covers(Demand(), missing):
        return Victims((), 0.0)
    if not _covers(stoppable.demand, missing):
        return None
    losses_by_task = {
        task: estimate_loss(task, now)
        for task in stoppable.tasks
        if _get_share(task, missing) > 0.0
    }
    orders: list[Callable[[Task], tuple[float, str]]] = [
        lambda task: (losses_by_task[task], task.task_id),
        lambda task: (losses_by_task[task] / _get_share(task, missing), task.task_id),
    ]
    found = [
        _add_until_enough(missing, sorted(losses_by_task, key=order))
        for order in orders
    ]
    # A single task can be cheaper than the cheapest ones together.
    found += [[task] for task in losses_by_task if _is_enough(missing, [task])]
    sets = [
        Victims(tuple(tasks), sum(losses_by_task[task] for task in tasks))
        for tasks in found
    ]
    return min(sets, key=lambda item: (item.loss, len(item.tasks)))


def _add_until_enough(missing: Demand, tasks: list[Task]) -> list[Task]:
    """Return tasks from the front that are enough, without those that are not needed.

    All of them together are enough.
    """
    chosen: list[Task] = []
    for task in tasks:
        if _is_enough(missing, chosen):
            break
        chosen.append(task)
    for task in reversed(chosen):
        others = [other for other in chosen if other is not task]
        if _is_enough(missing, others):
            chosen = others
    return chosen


def _is_enough(missing: Demand, tasks: Iterable[Task]) -> bool:
    return _covers(sum((task.step.reserved for task in tasks), Demand()), missing)


def _covers(freed: Demand, missing: Demand) -> bool:
    return (
        missing.cpu <= freed.cpu
        and missing.memory <= freed.memory
        and missing.accelerators <= freed.accelerators
    )


def _get_share(task: Task, missing: Demand) -> float:
    """Return the sum of the shares of the missing resources that a task frees."""
    freed = task.step.reserved
    return sum(
        min(1.0, have / need)
        for have, need in (
            (freed.cpu, missing.cpu),
            (freed.memory, missing.memory),
            (freed.accelerators, missing.accelerators),
        )
        if need > 0
    )
