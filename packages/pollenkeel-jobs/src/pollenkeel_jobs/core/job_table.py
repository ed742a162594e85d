"""Jobs that the leader manages, their waiting tasks, and the progress to record."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator

import logbook

from pollenkeel_jobs.core.metrics import JOB_OBJECTIVE_RATIO, JOBS_ENDED, RUNS_LOST
from pollenkeel_jobs.core.model import (
    Job,
    JobStatus,
    Task,
    TaskState,
    parse_task_id,
)
from pollenkeel_jobs.core.records import RecordError, apply_progress, decode_job
from pollenkeel_jobs.core.run_copies import iterate_runs
from pollenkeel_jobs.core.specs import JobSpec
from pollenkeel_jobs.core.unreadable import UnreadableJobs
from pollenkeel_jobs.core.waiting import WaitingTasks
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("jobs")

#: Seconds for which ended jobs are kept in memory.
RETENTION_SECONDS = 600.0
#: Number of existing tasks of a scheduled job from which its next occurrence waits, so
#: that many overdue occurrences do not all exist at the same time.
_MAX_OPEN_TASKS = 8_192
#: Seconds for which an occurrence with a gang is kept after its end. Until then the
#: members are removed from their VMs as their runs end.
_GANG_RETENTION_SECONDS = 10.0


class JobTable:
    """Jobs by id, the tasks that are ready to run, and the jobs to record.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    ready : WaitingTasks
        Tasks that wait for a VM, in the order in which they became ready.
    dirty : dict of Job to None
        Jobs whose progress has changed since it was last written.
    unreadable : UnreadableJobs
        Jobs that are left out because their record cannot be read.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs_by_id: dict[str, Job] = {}
        self._ended_at_by_id: dict[str, float] = {}
        self._scheduled_jobs: dict[Job, None] = {}
        # Time of acceptance of the dropped jobs whose rows may remain in the store.
        self._accepted_at_by_forgotten_id: dict[str, float] = {}
        # End, job and number of the occurrences that are kept because of a gang.
        self._ended_gangs: deque[tuple[float, Job, int]] = deque()
        self.ready = WaitingTasks()
        self.dirty: dict[Job, None] = {}
        self.unreadable = UnreadableJobs()

    def load(self, rows: Iterable[tuple[bytes, bytes | None]]) -> Iterator[Task]:
        """Load recorded jobs; yield the tasks and copies recorded as placed.

        A malformed row is logged and its job is left out.

        Parameters
        ----------
        rows : iterable of (bytes, bytes or None)
            Row of each job and of its progress, if there is one.
        """
        for job_row, progress_row in rows:
            try:
                job = self._make_job(decode_job(job_row))
                if progress_row is not None:
                    apply_progress(job, progress_row)
            except RecordError as error:
                logger.error("cannot load job record", extra={"cause": str(error)})
                continue
            self._insert(job)
            if not job.status.final:
                placed = (t for t in job.tasks() if t.state is TaskState.PLACED)
                for task in placed:
                    yield from iterate_runs(task)

    def add(self, spec: JobSpec) -> None:
        """Add a newly stored job; does nothing if the job is known already.

        An unreadable job may have run, so it must not begin anew.
        """
        if spec.job_id in self._jobs_by_id or spec.job_id in self.unreadable:
            return
        if self.is_forgotten(spec):
            return
        log_change(logger, "job taken", job=spec.job_id, queue=spec.queue.name)
        self._insert(self._make_job(spec))

    def _make_job(self, spec: JobSpec) -> Job:
        """Return a job that counts from its acceptance, but not from the future.

        The clock of the entry that accepted it may be ahead.
        """
        now = self._clock.now()
        return Job(spec, min(spec.accepted_at or now, now))

    def find(self, job_id: str) -> Job | None:
        """Return the job with this id, or None."""
        return self._jobs_by_id.get(job_id)

    def iterate_open_tasks(self) -> Iterator[Task]:
        """Yield the existing tasks of all jobs that have not ended."""
        for job in self._jobs_by_id.values():
            if not job.status.final:
                yield from job.tasks()

    def find_task(self, task_id: str) -> Task | None:
        """Return the task with this id, or None if its job or the task is unknown."""
        parsed = parse_task_id(task_id)
        job = self.find(parsed[0]) if parsed else None
        return job.task(parsed[1]) if job is not None and parsed else None

    def count_waiting(self, queue: str) -> int:
        """Return the number of unfinished jobs of a queue without a started task."""
        return sum(
            1
            for job in self._jobs_by_id.values()
            if job.spec.queue.name == queue and not job.started and not job.status.final
        )

    def _insert(self, job: Job) -> None:
        self._jobs_by_id[job.spec.job_id] = job
        if job.status.final:
            self._ended_at_by_id[job.spec.job_id] = self._clock.now()
            return
        if job.spec.occurrences:
            self._scheduled_jobs[job] = None
        elif not job.has_occurrence(0):
            job.add_occurrence(0)
        self.refresh_ready(job)

    def add_due_occurrences(self) -> None:
        """Create the tasks of the occurrences that are due."""
        now = self._clock.now()
        while self._ended_gangs and self._ended_gangs[0][0] < now:
            _, job, occurrence = self._ended_gangs.popleft()
            job.drop_occurrence(occurrence)
        for job in list(self._scheduled_jobs):
            self._add_due_occurrences_of(job, now)

    def _add_due_occurrences_of(self, job: Job, now: float) -> None:
        spec = job.spec
        tasks = 0
        while (
            job.next_occurrence < spec.occurrences
            and spec.due_at(job.next_occurrence) <= now
        ):
            tasks = tasks or sum(map(len, job.tasks_by_step.values()))
            if tasks >= _MAX_OPEN_TASKS:
                return
            occurrence = job.next_occurrence
            job.add_occurrence(occurrence)
            tasks += sum(map(len, job.list_steps(occurrence)))
            self._refresh_occurrence(job, occurrence)
        if job.next_occurrence >= spec.occurrences:
            del self._scheduled_jobs[job]

    def refresh_ready(self, job: Job) -> None:
        """Make the waiting tasks ready whose preceding steps are done."""
        for occurrence in dict.fromkeys(key[0] for key in job.tasks_by_step):
            self._refresh_occurrence(job, occurrence)

    def _refresh_occurrence(self, job: Job, occurrence: int) -> None:
        for tasks in job.list_steps(occurrence):
            if job.is_ready(tasks):
                self._make_all_ready(tasks)

    def _make_all_ready(self, tasks: Iterable[Task]) -> None:
        for task in tasks:
            if task.state is TaskState.WAITING:
                self.make_ready(task)

    def make_ready(self, task: Task) -> None:
        """Add a task to ``ready``; a gang is added once all its members wait."""
        members = list_step_tasks(task) if task.step.gang else [task]
        if all(member.state is TaskState.WAITING for member in members):
            for member in members:
                if member not in self.ready:
                    member.ready_at = self._clock.now()
                    self.ready.add(member)

    def mark_started(self, job: Job) -> None:
        """Record that a task of the job has started."""
        if not job.started:
            job.started = True
            if job.status is JobStatus.QUEUED:
                job.status = JobStatus.RUNNING
            self.dirty[job] = None

    def requeue(self, task: Task, cause: str) -> None:
        """Make a placed task wait for its next run; ``cause`` says why it lost one."""
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
        """Mark a task as done; of a gang, all members."""
        job, occurrence = task.job, task.key.occurrence
        tasks = job.tasks_by_step[occurrence, task.key.step]
        for member in list_step_tasks(task) if task.step.gang else [task]:
            member.state = TaskState.DONE
            self.ready.discard(member)
        if not task.step.gang:
            tasks.drop(task)
            self._make_all_ready(tasks.create_next())
        self.dirty[job] = None
        if not tasks.is_done:
            return
        self._refresh_occurrence(job, occurrence)
        if job.is_occurrence_done(occurrence):
            self._end_occurrence(job, occurrence)

    def _end_occurrence(self, job: Job, occurrence: int) -> None:
        """Drop an occurrence that is done, and end its job if that is done, too."""
        if any(step.gang for step in job.spec.steps):
            kept_until = self._clock.now() + _GANG_RETENTION_SECONDS
            self._ended_gangs.append((kept_until, job, occurrence))
        else:
            job.drop_occurrence(occurrence)
        if job.is_done():
            self.finish(job, JobStatus.DONE)

    def finish(self, job: Job, status: JobStatus) -> None:
        """End a job with the given status."""
        self._report_job_end(job, status)
        job.status = status
        self.dirty[job] = None
        self._scheduled_jobs.pop(job, None)
        self._ended_at_by_id[job.spec.job_id] = self._clock.now()
        for task in job.tasks():
            self.ready.discard(task)

    def _report_job_end(self, job: Job, status: JobStatus) -> None:
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

    def forget_old(self) -> list[str]:
        """Drop the jobs whose retention period is over.

        Returns
        -------
        list of str
            Ids of all jobs dropped so far whose rows are not known to be deleted.
        """
        limit = self._clock.now() - RETENTION_SECONDS
        old = [job_id for job_id, at in self._ended_at_by_id.items() if at < limit]
        for job_id in old:
            del self._ended_at_by_id[job_id]
            spec = self._jobs_by_id.pop(job_id).spec
            self._accepted_at_by_forgotten_id[job_id] = spec.accepted_at
        return list(self._accepted_at_by_forgotten_id)

    def is_forgotten(self, spec: JobSpec) -> bool:
        """Return whether this job was dropped, not an earlier one with the same id."""
        accepted_at = self._accepted_at_by_forgotten_id.get(spec.job_id)
        return accepted_at == spec.accepted_at

    def confirm_deletion(self, job_id: str) -> None:
        """Record that the rows of a dropped job are deleted."""
        self._accepted_at_by_forgotten_id.pop(job_id, None)


def list_step_tasks(task: Task) -> list[Task]:
    """Return the existing tasks of the given task's step and occurrence."""
    return list(task.job.tasks_by_step.get((task.key.occurrence, task.key.step), ()))
