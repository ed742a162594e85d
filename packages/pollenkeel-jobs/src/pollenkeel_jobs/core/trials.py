"""Trials of tasks that may have crashed workers, apart from all other tasks."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum

import attrs

from pollenkeel_jobs.core.model import Task, TaskState

#: Seconds for which a worker must list suspects before it gets other tasks. For a
#: group this is until the second list, and for a task that is tried alone it is longer,
#: because the evidence against it is stronger.
_GROUP_SECONDS = 0.3
_ALONE_SECONDS = 1.0
#: The same for a group of suspects of three crashes: longer than the time between two
#: starts that are suspected of the same crash (``start_history``), so that a crash
#: under the next group leaves this one out.
_STRONG_GROUP_SECONDS = 0.6
#: Number of crashes from which on a suspect is tried alone, unless it has waited.
_MIN_CRASHES_ALONE = 3
#: Number of suspects of one crash that may be tried together however few there are.
_MIN_GROUP = 8
#: Number of crashes from which on a crash that a suspect shares with others would cost
#: it one of its last starts.
_MIN_CRASHES_LAST = 4


@attrs.frozen
class WaitLimits:
    """Seconds after which a suspect may be tried with others.

    Attributes
    ----------
    alone : float
        Seconds for which it is tried alone or not at all.
    group : float
        Seconds after which it may join a group of any size.
    """

    alone: float
    group: float


#: Suspects of up to two crashes are tried in groups at once.
_WEAK_LIMITS = WaitLimits(0.0, 1.5)
#: The first limit is as long as one trial alone, so that no second one begins if there
#: is only one VM. Together with the trial of a group, which takes about 1 s, the second
#: one stays within the three seconds that operators tolerate.
_STRONG_LIMITS = WaitLimits(1.0, 2.0)
#: Two trials alone; together with two trials of groups, a long-running task is back
#: within the six seconds that operators tolerate.
_LAST_LIMITS = WaitLimits(2.5, 3.5)
#: Seconds after which a suspect may start beside tasks that are not on trial.
_MAX_WAIT_SECONDS = 1.5


class TrialWait(IntEnum):
    """How long a suspect has waited for its trial, compared with its limits."""

    SHORT = 0
    OVER_ALONE = 1
    OVER_GROUP = 2


@attrs.define
class Trial:
    """Suspected tasks that a VM runs before it gets other tasks.

    Most suspects did not cause the crash. Therefore they are tried in groups, which get
    smaller with each crash. The members of a group start at the same time. If
    one of them crashes the worker, all of them are suspected.

    A suspect of one or two crashes joins a group of any size after 1.5 s. If a VM that
    may be on trial has room for it, it waits at most for that time and for the present
    trial. Suspects of more crashes are tried alone at first, and then in groups with
    half the suspects of their latest crash, so that each further crash halves their
    number. It is the cube root of the number of suspects of the first crash, unless
    larger groups were needed to bound the wait. After a while they join any group of
    suspects of three crashes, so that the wait does not grow with their number.

    A crash under a group gives up none of its tasks, see ``share_trial``.

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
        if not is_tried_apart(task) or _is_tried_alone(task, now):
            return False
        members = self.tasks_by_id.values()
        if not all(awaits_order(m) and not _is_tried_alone(m, now) for m in members):
            return False
        if any(_is_strong(m) != _is_strong(task) for m in members):
            return False
        return may_join_any_group(task, now) or (
            len(members) < _limit_group(task)
            and all(_get_group_key(m) == _get_group_key(task) for m in members)
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
        if now - task.seen_at < _get_trial_seconds(task):
            return
        if task.task_id in self.tasks_by_id and _is_strong(task):
            # Until the run is sound, a crash under later trials may still end it.
            task.tried_run = task.run
        self.remove(task)


def is_tried_apart(task: Task) -> bool:
    """Return whether a task is suspected and runs apart from others at first.

    The members of a gang are not tried, as they only run together.
    """
    return bool(task.crashed_on) and not task.step.gang


def get_trial_wait(task: Task, now: float) -> TrialWait:
    """Return how long a task has waited for its trial; ``SHORT`` if it is not tried."""
    waited = now - task.ready_at
    limits = _get_limits(task)
    if not is_tried_apart(task) or waited <= limits.alone:
        return TrialWait.SHORT
    return TrialWait.OVER_ALONE if waited <= limits.group else TrialWait.OVER_GROUP


def has_waited_for_trial(task: Task, now: float) -> bool:
    """Return whether a suspect has waited so long that it starts beside any task."""
    return is_tried_apart(task) and now - task.ready_at > _MAX_WAIT_SECONDS


def may_join_any_group(task: Task, now: float) -> bool:
    """Return whether a suspect has waited so long that it joins any group."""
    return get_trial_wait(task, now) is TrialWait.OVER_GROUP


def may_exceed_trials(task: Task, now: float) -> bool:
    """Return whether a suspect is tried however many VMs have tasks on trial.

    Suspects of four crashes are few. If they waited for other trials, they would have
    to be tried in groups more often.
    """
    if len(task.crashed_on) >= _MIN_CRASHES_LAST:
        return True
    return _is_strong(task) and may_join_any_group(task, now)


def get_trial_order(task: Task) -> tuple[int, int]:
    """Return the position of a suspect among others of its priority.

    Suspects of four crashes come first, the smallest number of suspects of a crash
    first, then those of one or two. If the suspects of the latest crash came after
    others, each further crash would end the trials of those as well, and would not
    narrow the suspicion down. Those that have run through a trial since come last.
    """
    suspects = _count_suspects(task)
    if not _is_strong(task):
        return 1, 0
    if not suspects:
        return 3, 0
    return (0 if len(task.crashed_on) >= _MIN_CRASHES_LAST else 2), suspects


def narrow_suspects(task: Task, run: int, suspects: int) -> None:
    """Record how many tasks are suspected of a crash under a run of a task.

    If many others were tried beside a suspect of three crashes, it is still one of the
    few suspects of the crash before. A sole suspect may share a crash with many others
    that are sole suspects of other crashes.
    """
    if run <= task.suspected_run and task.suspects:
        return
    if _is_strong(task) and _count_suspects(task) > 1:
        suspects = min(suspects, task.suspects)
    task.suspects = suspects
    task.suspected_run = max(task.suspected_run, run)


def share_trial(suspects: Iterable[Task]) -> bool:
    """Return whether several suspects of three crashes are suspected of one crash.

    Such a crash does not tell which of them caused it.
    """
    return sum(_is_strong(task) and not task.step.gang for task in suspects) > 1


def _is_strong(task: Task) -> bool:
    """Return whether there is so much evidence that a task is tried alone at first."""
    return len(task.crashed_on) >= _MIN_CRASHES_ALONE


def _get_limits(task: Task) -> WaitLimits:
    if len(task.crashed_on) >= _MIN_CRASHES_LAST:
        return _LAST_LIMITS
    return _STRONG_LIMITS if _is_strong(task) else _WEAK_LIMITS


def _is_tried_alone(task: Task, now: float) -> bool:
    return _is_strong(task) and get_trial_wait(task, now) is TrialWait.SHORT


def _get_trial_seconds(task: Task) -> float:
    if not _is_strong(task):
        return _GROUP_SECONDS
    alone = _is_tried_alone(task, task.placed_at)
    return _ALONE_SECONDS if alone else _STRONG_GROUP_SECONDS


def _count_suspects(task: Task) -> int:
    """Return ``Task.suspects``, or 0 if the task has run through a trial since."""
    return 0 if task.tried_run > task.suspected_run else task.suspects


def _get_group_key(task: Task) -> tuple[int, int]:
    """Return what suspects have in common that may be tried together."""
    if _is_strong(task):
        return _MIN_CRASHES_ALONE, _count_suspects(task)
    return len(task.crashed_on), 0


def _limit_group(task: Task) -> float:
    """Return how many suspects may be tried together.

    With one cause among n suspects of a first crash, groups of n^(2/3) and then
    of n^(1/3), the square root of the group before, need the fewest trials.
    """
    if _is_strong(task):
        return math.ceil(_count_suspects(task) / 2) or math.inf
    if len(task.crashed_on) == 1:
        return max(_MIN_GROUP, math.ceil(task.suspects ** (2 / 3)))
    return math.isqrt(task.suspects) if task.suspects > _MIN_GROUP else 1


def awaits_order(task: Task) -> bool:
    """Return whether a task is being placed, or its order has not been sent."""
    return task.awaits_order or task.state is TaskState.WAITING
