"""Order in which queued tasks are considered for starting."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry


@attrs.frozen
class OrderInput:
    """Properties of a task that its position in the queue may depend on.

    ``deadline`` is 0 if there is none. ``run_time`` is the expected run time in
    seconds. ``late`` means that the job can no longer meet its deadline.
    """

    submitted_at: float
    deadline: float
    run_time: float
    late: bool = False


class TaskOrder(ABC):
    """Sort key of queued tasks; the task with the smallest key goes first.

    A key must not depend on the current time, so that queues stay sorted.

    Attributes
    ----------
    late_jobs_yield : bool
        Whether jobs that can no longer meet their deadline are ordered last.
    """

    late_jobs_yield = False

    @abstractmethod
    def key(self, task: OrderInput) -> float:
        """Return the sort key of a task."""


TASK_ORDERS: Registry[TaskOrder] = Registry("pollenkeel.policies")


@TASK_ORDERS.register("fcfs")
class FirstComeFirstServed(TaskOrder):
    """Baseline: order of submission."""

    def key(self, task: OrderInput) -> float:
        """Return the time of submission."""
        return task.submitted_at


@TASK_ORDERS.register("edf")
class EarliestDeadlineFirst(TaskOrder):
    """Baseline: order of deadlines; tasks without a deadline come last."""

    def key(self, task: OrderInput) -> float:
        """Return the deadline."""
        return task.deadline or float("inf")


#: A task without a deadline is ordered as if it had to start this long after its
#: submission, a task of a late job this long after its deadline, so that it yields to
#: others but does not wait forever.
_LATE_TASK_DELAY_SECONDS = 3_600.0
#: Factor on the expected run time when the latest safe start is computed. The excess
#: over 1 covers the variance of run times; 1.5 gave fewer late jobs under overload.
_RUN_TIME_MARGIN = 1.5


@TASK_ORDERS.register("slack")
class LeastSlackFirst(TaskOrder):
    """Order of the latest start that still meets the deadline.

    Late jobs yield to jobs that can still meet their deadline.
    """

    late_jobs_yield = True

    def key(self, task: OrderInput) -> float:
        """Return the latest start that meets the deadline."""
        if not task.deadline or task.late:
            return max(task.submitted_at, task.deadline) + _LATE_TASK_DELAY_SECONDS
        return task.deadline - _RUN_TIME_MARGIN * task.run_time
