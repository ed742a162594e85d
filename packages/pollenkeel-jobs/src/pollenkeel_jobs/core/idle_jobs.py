"""Jobs that have a task to run and no run at all."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Set

import logbook

from pollenkeel_jobs.core.metrics import IDLE_JOBS, LONGEST_IDLE_SECONDS
from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Seconds without a run after which a job is logged.
_MIN_LOGGED_SECONDS = 2.0
#: Seconds between two log lines.
_LOG_INTERVAL = 2.0


class IdleJobs:
    """Records since when each job has had a waiting task and no placed one.

    Not thread-safe; the scheduler's lock protects it.

    Attributes
    ----------
    since_by_job : dict of Job to float
        Time of the first update that found the job idle, in seconds since the Unix
        epoch.
    best_effort_tasks : collection of Task
        One waiting task of each best-effort step of the idle jobs. Where the task of
        one step fits nowhere, that of another may.
    """

    def __init__(self) -> None:
        self.since_by_job: dict[Job, float] = {}
        self.best_effort_tasks: Collection[Task] = ()
        self._next_line_at = 0.0

    def update(self, waiting: Iterable[Task], busy: Set[Job], now: float) -> None:
        """Update the idle jobs, their metrics and the log.

        Parameters
        ----------
        waiting : iterable of Task
            All tasks that wait for a VM.
        busy : set of Job
            Jobs with a placed task.
        now : float
            Current time in seconds since the Unix epoch.
        """
        idle = [task for task in waiting if task.job not in busy]
        self.since_by_job = {
            task.job: self.since_by_job.get(task.job, now) for task in idle
        }
        self.best_effort_tasks = {
            (task.job, task.key.step): task for task in idle if task.step.fills
        }.values()
        longest = max((now - at for at in self.since_by_job.values()), default=0.0)
        IDLE_JOBS.set(len(self.since_by_job))
        LONGEST_IDLE_SECONDS.set(longest)
        if longest >= _MIN_LOGGED_SECONDS and now >= self._next_line_at:
            self._next_line_at = now + _LOG_INTERVAL
            self._log(now)

    def _log(self, now: float) -> None:
        first, since = min(self.since_by_job.items(), key=lambda item: item[1])
        log_change(
            logger,
            "jobs without a run",
            jobs=len(self.since_by_job),
            longest=first.spec.job_id,
            seconds=round(now - since, 2),
        )
