"""The jobs of a term of leadership: which tasks wait and what is to be recorded."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import logbook

from pollenkeel_jobs.core.metrics import JOB_OBJECTIVE_RATIO, JOBS_ENDED, RUNS_LOST
from pollenkeel_jobs.core.model import Job, JobSpec, JobStatus, Task, TaskState
from pollenkeel_jobs.core.records import RecordError, apply_progress, decode_job
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("jobs")

#: Seconds for which ended jobs are kept.
_KEEP_SECONDS = 600.0


class JobTable:
    """Jobs by id, the tasks that are ready to run, and the jobs to record.

    Not safe for use by several threads; the scheduler's lock protects it.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    ready : dict of Task to None
        Tasks whose turn has come, in the order in which they became ready.
    dirty : dict of Job to None
        Jobs whose progress differs from the record.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs_by_id: dict[str, Job] = {}
        self._ended_at_by_id: dict[str, float] = {}
        self._timed: dict[Job, None] = {}
        self._cancelled_at_by_id: dict[str, float] = {}
        self.ready: dict[Task, None] = {}
        self.dirty: dict[Job, None] = {}

    def load(self, rows: Iterable[tuple[bytes, bytes | None]]) -> Iterator[Task]:
        """Take recorded jobs; yield the tasks that were placed.

        Parameters
        ----------
        rows : iterable of (bytes, bytes or None)
            Row of each job and of its progress, if there is one.
        """
        for job_row, progress_row in rows:
            try:
                job = Job(decode_job(job_row), self._clock.now())
                if progress_row is not None:
                    apply_progress(job, progress_row)
            except RecordError as error:
                logger.error("job cannot be loaded", extra={"cause": str(error)})
                continue
            self._adopt(job)
            if not job.status.final:
                yield from (t for t in job.tasks() if t.state is TaskState.PLACED)

    def add(self, spec: JobSpec) -> None:
        """Take a newly stored job; one that is known already is ignored."""
        if spec.job_id in self._jobs_by_id:
            return
        log_change(logger, "job taken", job=spec.job_id, queue=spec.queue.name)
        self._adopt(Job(spec, self._clock.now()))

    def find(self, job_id: str) -> Job | None:
        """Return a job, or None if it is not known."""
        return self._jobs_by_id.get(job_id)

    def note_early_cancellation(self, job_id: str) -> None:
        """Remember the cancellation of a job that is not known yet.

        Jobs and cancellations come by separate feeds and notices, so that either may
        be the first.
        """
        log_change(logger, "cancellation before the job", job=job_id)
        self._cancelled_at_by_id[job_id] = self._clock.now()

    def take_early_cancellation(self, job_id: str) -> bool:
        """Return whether a job was cancelled before it was known, and forget that."""
        return self._cancelled_at_by_id.pop(job_id, None) is not None

    def count_waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        return sum(
            1
            for job in self._jobs_by_id.values()
            if job.spec.queue.name == queue and not job.started and not job.status.final
        )

    def _adopt(self, job: Job) -> None:
        self._jobs_by_id[job.spec.job_id] = job
        if job.status.final:
            self._ended_at_by_id[job.spec.job_id] = self._clock.now()
            return
        if job.spec.occurrences:
            self._timed[job] = None
        elif not job.has_occurrence(0):
            job.add_occurrence(0)
        self.refresh_ready(job)

    def add_due_occurrences(self) -> None:
        """Create the tasks of occurrences whose time has come."""
        now = self._clock.now()
        for job in list(self._timed):
            for occurrence in range(job.spec.occurrences):
                if job.spec.due_at(occurrence) > now:
                    break
                if not job.has_occurrence(occurrence):
                    job.add_occurrence(occurrence)
                    self.refresh_ready(job)
            else:
                del self._timed[job]

    def refresh_ready(self, job: Job) -> None:
        """Find the waiting tasks whose earlier steps are done."""
        for task in job.tasks():
            if task.state is TaskState.WAITING and job.is_ready(task):
                self.make_ready(task)

    def make_ready(self, task: Task) -> None:
        """Let a task wait for a VM; a gang once all its members wait."""
        members = job_members(task) if task.step.gang else [task]
        if all(member.state is TaskState.WAITING for member in members):
            for member in members:
                if member not in self.ready:
                    member.ready_at = self._clock.now()
                    self.ready[member] = None

    def note_started(self, job: Job) -> None:
        """Record that a task of the job has begun."""
        if not job.started:
            job.started = True
            if job.status is JobStatus.QUEUED:
                job.status = JobStatus.RUNNING
            self.dirty[job] = None

    def requeue(self, task: Task, cause: str) -> None:
        """Make a placed task wait for its next run."""
        if task.state is not TaskState.PLACED:
            return
        log_change(logger, "run lost", task=task.task_id, run=task.run, cause=cause)
        RUNS_LOST.labels(cause.partition(":")[0]).inc()
        task.state = TaskState.WAITING
        task.reset_run()
        if not task.job.status.final:
            self.dirty[task.job] = None
            self.make_ready(task)

    def finish_task(self, task: Task) -> None:
        """Record that a task is done, and with it the other members of its gang."""
        job = task.job
        for member in job_members(task) if task.step.gang else [task]:
            member.state = TaskState.DONE
            self.ready.pop(member, None)
        self.dirty[job] = None
        if job.is_done():
            self.finish(job, JobStatus.DONE)
        elif job.is_step_done(task.key.occurrence, task.key.step):
            self.refresh_ready(job)

    def finish(self, job: Job, status: JobStatus) -> None:
        """End a job."""
        self._note_end(job, status)
        job.status = status
        self.dirty[job] = None
        self._timed.pop(job, None)
        self._ended_at_by_id[job.spec.job_id] = self._clock.now()
        for task in job.tasks():
            self.ready.pop(task, None)

    def _note_end(self, job: Job, status: JobStatus) -> None:
        queue = job.spec.queue.name
        seconds = self._clock.now() - job.accepted_at
        objective = job.objective_at - job.accepted_at
        log_change(
            logger,
            "job ended",
            job=job.spec.job_id,
            queue=queue,
            status=status.value,
            seconds=round(seconds, 2),
            objective=round(objective, 2),
        )
        JOBS_ENDED.labels(queue, status.value).inc()
        if status is JobStatus.DONE and objective > 0:
            JOB_OBJECTIVE_RATIO.labels(queue).observe(seconds / objective)

    def take_dirty(self, most: int) -> list[Job]:
        """Remove and return the jobs to record next."""
        jobs = list(self.dirty)[:most]
        for job in jobs:
            del self.dirty[job]
        return jobs

    def forget_old(self) -> list[str]:
        """Drop jobs that ended long ago and return their ids."""
        limit = self._clock.now() - _KEEP_SECONDS
        old = [job_id for job_id, at in self._ended_at_by_id.items() if at < limit]
        for job_id in old:
            del self._ended_at_by_id[job_id]
            del self._jobs_by_id[job_id]
        for job_id, at in list(self._cancelled_at_by_id.items()):
            if at < limit:
                del self._cancelled_at_by_id[job_id]
        return old


def job_members(task: Task) -> list[Task]:
    """Return the tasks of a task's step and occurrence."""
    return task.job.tasks_by_step[task.key.occurrence, task.key.step]
