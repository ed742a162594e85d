"""Trials of tasks that may have crashed workers, apart from all other tasks."""

from __future__ import annotations

import math

import attrs

from pollenkeel_jobs.core.model import Task, TaskState

#: Seconds for which a worker must run suspected tasks before it gets other ones.
TRIAL_SECONDS = 1.0
#: Number of suspects that may be tried together however few there are.
_MIN_GROUP = 8


@attrs.define
class Trial:
    """Suspected tasks that a VM runs before it gets other tasks.

    Most suspects of a crash have nothing to do with it. So those of a single crash are
    tried together, and alone only after a second one. The members of a group start at
    the same time: which of them crashed the worker is not known otherwise.

    Attributes
    ----------
    tasks_by_id : dict of str to Task
        The tasks, by id; empty if there is no trial.
    """

    tasks_by_id: dict[str, Task] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self.tasks_by_id)

    def admits(self, task: Task) -> bool:
        """Return whether a task may be placed beside the tasks on trial."""
        if not self.tasks_by_id:
            return True
        return (
            is_tried_apart(task)
            and len(task.crashed_on) == 1
            and len(self.tasks_by_id) < _limit_group(task)
            and all(
                member.crashed_on == task.crashed_on and _awaits_order(member)
                for member in self.tasks_by_id.values()
            )
        )

    def add(self, task: Task) -> None:
        """Add a task that has been placed if it is to be tried."""
        if is_tried_apart(task):
            self.tasks_by_id[task.task_id] = task

    def remove(self, task: Task) -> None:
        """Remove a task; does nothing if it is not on trial."""
        self.tasks_by_id.pop(task.task_id, None)

    def record_run(self, task: Task, now: float) -> None:
        """Remove a task that its worker has listed for long enough."""
        if now - task.seen_at >= TRIAL_SECONDS:
            self.remove(task)


def is_tried_apart(task: Task) -> bool:
    """Return whether a task is suspected and runs apart from others at first.

    The members of a gang are not tried, as they only run together.
    """
    return bool(task.crashed_on) and not task.step.gang


def _limit_group(task: Task) -> int:
    """Return how many suspects may be tried together.

    After a crash each member is tried alone. With one guilty task among n suspects,
    groups of the square root of n need the fewest trials.
    """
    return max(_MIN_GROUP, math.isqrt(task.suspects))


def _awaits_order(task: Task) -> bool:
    """Return whether a task is being placed, or its order has not been sent."""
    return task.awaits_order or task.state is TaskState.WAITING
