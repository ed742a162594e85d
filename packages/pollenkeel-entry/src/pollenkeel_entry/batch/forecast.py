"""Early detection of jobs that can no longer finish by their deadline."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.state import ShardState
from pollenkeel_kernel.policy.run_time import RunTimeModel


@attrs.frozen
class LateJob:
    """A job that will miss its deadline; ``key`` is the task that revealed it."""

    job_id: str
    key: str
    reason: str


class DeadlineForecast:
    """Finds late jobs from running tasks and from the work queued ahead of tasks.

    Each job is reported once.

    Parameters
    ----------
    run_times : RunTimeModel
        Estimates of run times.
    """

    def __init__(self, run_times: RunTimeModel) -> None:
        self.run_times = run_times
        self._running_since_by_key: dict[str, float] = {}
        self._reported: set[str] = set()

    def is_late(self, job_id: str) -> bool:
        """Return whether the job was reported."""
        return job_id in self._reported

    def started(self, key: str, now: float) -> None:
        """Record the committed start of a task, from which its run time is measured."""
        self._running_since_by_key.setdefault(key, now)

    def ended(self, key: str, state: ShardState, outcome: str, now: float) -> None:
        """Stop tracking a task.

        The run time is learned if the task is done and has no checkpoint. A task that
        resumed from a checkpoint ran only part of its work in this attempt, so its time
        does not give the whole run time.
        """
        since = self._running_since_by_key.pop(key, None)
        task = state.tasks_by_key.get(key)
        if since is None or task is None or outcome != rec.DONE or task.checkpoint_key:
            return
        job = state.jobs_by_id[task.job_id]
        self.run_times.observe(job.team, job.kind, task.spec.run_time, now - since)

    def latest_start(self, task: rec.Task, job: rec.Job) -> float:
        """Return the time after which a queued task is certain to miss its deadline."""
        if not job.deadline:
            return float("inf")
        run_time = task.spec.run_time
        return job.deadline - self.run_times.shortest(job.team, job.kind, run_time)

    def check_queued(self, task: rec.Task, job: rec.Job, now: float) -> LateJob | None:
        """Report the job if the task cannot end in time even if it starts now.

        Returns None if it can, or if the job was already reported.
        """
        latest = self.latest_start(task, job)
        if now <= latest or self.is_late(job.job_id):
            return None
        reason = f"its run time leaves {now - latest:.0f} s too little"
        return self._report(job.job_id, task.key, reason)

    def find_late(
        self,
        state: ShardState,
        queue: Iterable[str],
        cores: float,
        now: float,
        late_jobs_yield: bool,
    ) -> Iterator[LateJob]:
        """Yield jobs whose queued tasks will end too late.

        Parameters
        ----------
        state : ShardState
            State of the shard.
        queue : Iterable[str]
            Keys of one team's queued tasks in the order of their starts.
        cores : float
            Cores that the team can use.
        now : float
            Current time.
        late_jobs_yield : bool
            Whether late jobs go behind others, as ``TaskOrder.late_jobs_yield``. If so,
            the job with the most queued work is reported as late, so that the others
            can be on time. This is Moore's rule, which minimizes the number of late
            jobs.
        """
        queued = _QueuedWork(late_jobs_yield)
        for key in queue:
            task = state.tasks_by_key[key]
            job = state.jobs_by_id[task.job_id]
            args = (job.team, job.kind, task.spec.run_time)
            work = self.run_times.expected(*args) * task.spec.resources.cores
            if self.is_late(job.job_id):
                queued.add_late(work)
                continue
            shortest = self.run_times.shortest(*args)
            queued.add(job, work)
            while job.deadline and not self.is_late(job.job_id):
                wait = (queued.work - work) / max(cores, 1.0)
                if now + wait + shortest <= job.deadline:
                    break
                reason = f"{queued.work - work:.0f} core-seconds are queued ahead"
                late_job_id = queued.choose_late_job(job)
                if late_job_id != job.job_id:
                    reason = f"gives way to {job.job_id} and others that can be on time"
                yield self._report(late_job_id, key, reason)

    def find_overrunning(self, state: ShardState) -> Iterator[LateJob]:
        """Yield jobs with a running task that will end too late.

        Tasks that resumed from a checkpoint are not examined, because the work that
        remains for them is not known.
        """
        for key, since in list(self._running_since_by_key.items()):
            task = state.tasks_by_key.get(key)
            if task is None or task.attempt is None:
                del self._running_since_by_key[key]
                continue
            job = state.jobs_by_id[task.job_id]
            if not job.deadline or self.is_late(job.job_id) or task.checkpoint_key:
                continue
            run_time = task.spec.run_time
            end = since + self.run_times.shortest(job.team, job.kind, run_time)
            if end > job.deadline:
                reason = f"it runs too long by {end - job.deadline:.0f} s"
                yield self._report(job.job_id, key, reason)

    def prune_reports(self, state: ShardState) -> None:
        """Remove the reports of jobs that the shard no longer holds."""
        self._reported &= state.jobs_by_id.keys()

    def _report(self, job_id: str, key: str, reason: str) -> LateJob:
        self._reported.add(job_id)
        return LateJob(job_id, key, reason)


class _QueuedWork:
    """Work in core-seconds that is queued up to and including the examined task."""

    def __init__(self, late_jobs_yield: bool) -> None:
        self.work = 0.0
        self._late_jobs_yield = late_jobs_yield
        self._work_by_job: dict[str, float] = {}

    def add(self, job: rec.Job, work: float) -> None:
        """Count a task of a job that is not late."""
        self.work += work
        if not job.urgent:
            known = self._work_by_job.get(job.job_id, 0.0)
            self._work_by_job[job.job_id] = known + work

    def add_late(self, work: float) -> None:
        """Count a task of a late job unless it goes behind the others."""
        if not self._late_jobs_yield:
            self.work += work

    def choose_late_job(self, job: rec.Job) -> str:
        """Return the job to report as late: ``job`` itself or one queued ahead of it.

        If late jobs go behind others, the work of the reported job is deducted.
        """
        late_job_id = job.job_id
        if self._late_jobs_yield and self._work_by_job and not job.urgent:
            late_job_id = max(self._work_by_job, key=self._work_by_job.__getitem__)
        if self._late_jobs_yield:
            self.work -= self._work_by_job.pop(late_job_id, 0.0)
        return late_job_id
