"""Trials of tasks that may have crashed workers, apart from all other tasks."""

from __future__ import annotations

import math

import attrs

from pollenkeel_jobs.core.model import Task, TaskState

#: Seconds for which a worker must list suspects before it gets other tasks. For a
#: group this is until the second list, and for a task that is tried alone it is longer,
#: because the evidence against it is stronger.
_GROUP_SECONDS = 0.3
_ALONE_SECONDS = 1.0
#: Number of crashes from which on a suspect is tried alone.
_MIN_CRASHES_ALONE = 3
#: Number of suspects of one crash that may be tried together however few there are.
_MIN_GROUP = 8
#: Seconds after which a suspect may join any group, however large.
_MAX_WAIT_SECONDS = 1.5


@attrs.define
class Trial:
    """Suspected tasks that a VM runs before it gets other tasks.

    Most suspects did not cause the crash. Therefore they are tried in groups, which get
    smaller with each crash. The members of a group start at the same time. If
    one of them crashes the worker, all of them are suspected.

    A suspect of one or two crashes joins a group of any size after
    ``_MAX_WAIT_SECONDS``. If a VM that may be on trial has room for it, it waits at
    most for that time and for the present trial. Suspects of three crashes are tried
    alone, so those of the same crash wait for each other. Their number is the cube root
    of the number of suspects of the first crash, unless larger groups were needed to
    bound the wait.

    Attributes
    ----------
    tasks_by_id : dict of str to Task
        The tasks, by id; empty if there is no trial.
    """

    tasks_by_id: dict[str, Task] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self.tasks_by_id)

    def admits(self, task: Task, now: float) -> bool:
        """Return whether a task may be placed beside the tasks on trial."""
        if not self.tasks_by_id:
            return True
        if not is_tried_apart(task) or _is_tried_alone(task):
            return False
        members = self.tasks_by_id.values()
        if not all(awaits_order(m) and not _is_tried_alone(m) for m in members):
            return False
        return may_join_any_group(task, now) or (
            len(members) < _limit_group(task)
            and all(len(m.crashed_on) == len(task.crashed_on) for m in members)
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
        seconds = _ALONE_SECONDS if _is_tried_alone(task) else _GROUP_SECONDS
        if now - task.seen_at >= seconds:
            self.remove(task)


def is_tried_apart(task: Task) -> bool:
    """Return whether a task is suspected and runs apart from others at first.

    The members of a gang are not tried, as they only run together.
    """
    return bool(task.crashed_on) and not task.step.gang


def has_waited_for_trial(task: Task, now: float) -> bool:
    """Return whether a suspect has waited so long that limits are lifted for it."""
    return is_tried_apart(task) and now - task.ready_at > _MAX_WAIT_SECONDS


def may_join_any_group(task: Task, now: float) -> bool:
    """Return whether a suspect has waited so long that it joins any group."""
    return has_waited_for_trial(task, now) and not _is_tried_alone(task)


def _is_tried_alone(task: Task) -> bool:
    return len(task.crashed_on) >= _MIN_CRASHES_ALONE


def _limit_group(task: Task) -> int:
    """Return how many suspects may be tried together.

    With one cause among n suspects of a first crash, groups of n^(2/3) and then
    of n^(1/3), the square root of the group before, need the fewest trials.
    """
    if len(task.crashed_on) == 1:
        return max(_MIN_GROUP, math.ceil(task.suspects ** (2 / 3)))
    return math.isqrt(task.suspects) if task.suspects > _MIN_GROUP else 1


def awaits_order(task: Task) -> bool:
    """Return whether a task is being placed, or its order has not been sent."""
    return task.awaits_order or task.state is TaskState.WAITING
