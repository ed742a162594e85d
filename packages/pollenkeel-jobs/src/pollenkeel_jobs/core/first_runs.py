"""First runs of best-effort jobs that have had no run for long.

Runs that are throttled keep a VM closed to further best-effort tasks for as long as
they last, and jobs that have missed their objective come last. Without a turn of its
own, a job would wait without a bound while most of the resources are free.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from pollenkeel_jobs.core.idle_jobs import IdleJobs
from pollenkeel_jobs.core.model import Job, Task, TaskState
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.trials import is_tried_apart
from pollenkeel_jobs.core.waiting import WaitingTasks

#: Seconds without a run after which a job gets one. Operators tolerate three seconds,
#: which include the delay of ``IdleJobs`` and of the start.
_MAX_IDLE_SECONDS = 1.5
#: Maximum number of jobs that are tried in one pass.
_MAX_JOBS_PER_PASS = 8


class FirstRuns:
    """Chooses one waiting best-effort task of each job that has had no run for long.

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
        self._tried_at_by_job: dict[Job, float] = {}

    def choose(self, waiting: WaitingTasks, now: float) -> Iterator[Task]:
        """Yield the tasks to place now, by the time for which their jobs have waited.

        Jobs that found no VM come last in the next pass, so that they hide no other.

        Parameters
        ----------
        waiting : WaitingTasks
            Tasks that wait for a VM.
        now : float
            Current time in seconds since the Unix epoch.
        """
        since_by_job = self._idle_jobs.since_by_job
        due = {
            job: self._tried_at_by_job.get(job, 0.0)
            for job, since in since_by_job.items()
            if now - since >= _MAX_IDLE_SECONDS
        }
        self._tried_at_by_job = due
        tasks = (
            (job, task)
            for job in sorted(due, key=lambda job: (due[job], since_by_job[job]))
            for task in _list_first(job, waiting)
        )
        for job, task in islice(tasks, _MAX_JOBS_PER_PASS):
            due[job] = now
            yield task


def _list_first(job: Job, waiting: WaitingTasks) -> list[Task]:
    """Return the first waiting best-effort task of a job; none if the job has a run.

    Gangs need room for all members at once, and suspects of a crash a VM of their own.
    """
    tasks = list(job.tasks())
    if any(task.state is TaskState.PLACED for task in tasks):
        return []
    placeable = (
        task
        for task in tasks
        if task in waiting
        and task.step.fills
        and not task.step.gang
        and not is_tried_apart(task)
    )
    return list(islice(placeable, 1))
