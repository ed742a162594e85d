"""First runs of best-effort jobs that have had no run for long.

Runs that are throttled keep a VM closed to further best-effort tasks for as long as
they last, and jobs that have missed their objective come last. Without a first run, a
job could wait without a bound while most of the resources are free.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from pollenkeel_jobs.core.idle_jobs import IdleJobs
from pollenkeel_jobs.core.model import Job, Task, TaskState
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.waiting import WaitingTasks

#: Seconds without a run after which a job gets one. Operators tolerate three seconds,
#: which include the delay of ``IdleJobs`` and of the start.
_MAX_IDLE_SECONDS = 1.5
#: Maximum number of tasks that are tried in one pass.
_MAX_TASKS_PER_PASS = 8


class FirstRuns:
    """Chooses a waiting best-effort task of each job that has had no run for long.

    A long-running task needs a run of its own, whether others of its job run or not.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    idle_jobs : IdleJobs
        Jobs without a run.
    placement : Placement
        Policy that chooses the VM of a first run.

    Attributes
    ----------
    placement : Placement
        Policy that chooses the VM of a first run.
    """

    def __init__(self, idle_jobs: IdleJobs, placement: Placement) -> None:
        self.placement = placement
        self._idle_jobs = idle_jobs
        self._tried_at_by_task: dict[Task, float] = {}

    def choose(self, waiting: WaitingTasks, now: float) -> Iterator[Task]:
        """Yield the tasks to place now, by the time for which they have been idle.

        Those that found no VM come last in the next pass; so all are tried in turn.

        Parameters
        ----------
        waiting : WaitingTasks
            Tasks that wait for a VM.
        now : float
            Current time in seconds since the Unix epoch.
        """
        since_by_task = dict(self._list_idle(waiting))
        tried_at = {
            task: self._tried_at_by_task.get(task, 0.0)
            for task, since in since_by_task.items()
            if now - since >= _MAX_IDLE_SECONDS
        }
        self._tried_at_by_task = tried_at
        ordered = sorted(tried_at, key=lambda t: (tried_at[t], since_by_task[t]))
        due = (task for task in ordered if task.step.long_running or _is_idle(task.job))
        for task in islice(due, _MAX_TASKS_PER_PASS):
            tried_at[task] = now
            yield task

    def _list_idle(self, waiting: WaitingTasks) -> Iterator[tuple[Task, float]]:
        """Yield the tasks that may get a first run, and since when they are idle."""
        since_by_job = self._idle_jobs.since_by_job
        for task in self._idle_jobs.best_effort_tasks:
            if task in waiting:
                yield task, since_by_job[task.job]
        for task in waiting.long_running:
            if task.step.fills:
                yield task, task.ready_at


def _is_idle(job: Job) -> bool:
    """Return whether no task of a job has been placed since the latest update."""
    return all(task.state is not TaskState.PLACED for task in job.tasks())
