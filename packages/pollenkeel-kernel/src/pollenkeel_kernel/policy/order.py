"""Order in which queued tasks are considered for a start."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry


@attrs.frozen
class OrderInput:
    """What a task order may depend on.

    ``deadline`` is 0 for none; ``run_time`` is the expected one in seconds; ``late``
    tells that the job can no longer be on time.
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
        Whether jobs that can no longer be on time go behind the others.
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
    """Baseline: order of deadlines, tasks without one last."""

    def key(self, task: OrderInput) -> float:
        """Return the deadline."""
        return task.deadline or float("inf")


#: A task without a deadline, or of a late job, is ordered as if it were due this many
#: seconds after its submission, so that it waits for others but not for ever.
_LATE_TASK_DELAY_SECONDS = 3_600.0
#: Expected run times before the deadline at which a task has no slack left. The excess
#: over 1 covers the scatter of run times; 1.5 gave fewer late jobs under overload.
_RUN_TIME_MARGIN = 1.5


@TASK_ORDERS.register("slack")
class LeastSlackFirst(TaskOrder):
    """Order of the latest safe start that meets the deadline.

    A late job yields to those that can still be on time.
    """

    late_jobs_yield = True

    def key(self, task: OrderInput) -> float:
        """Return the latest useful start."""
        if not task.deadline or task.late:
            return max(task.submitted_at, task.deadline) + _LATE_TASK_DELAY_SECONDS
        return task.deadline - _RUN_TIME_MARGIN * task.run_time
