"""Client requests at an entry: submission, cancellation and status of jobs."""

from __future__ import annotations

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_jobs.core.admission import Admission
from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.intake import IntakeWriter
from pollenkeel_jobs.core.messages import (
    JobNotice,
    JobQuery,
    JobQueryReply,
    QueueQuery,
    QueueQueryReply,
    RelayedRow,
)
from pollenkeel_jobs.core.metrics import JOBS_SUBMITTED
from pollenkeel_jobs.core.model import JobState, JobStatus
from pollenkeel_jobs.core.names import (
    CANCELS,
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.notices import NoticeSender
from pollenkeel_jobs.core.records import (
    RecordError,
    decode_job,
    decode_state,
    encode_job,
)
from pollenkeel_jobs.core.specs import JobSpec
from pollenkeel_jobs.core.tables import TableService
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code, find_code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.refusal import Refusal

logger = logbook.Logger("gateway")

#: Timeout for the leader's reply to a query, in seconds.
_QUERY_SECONDS = 0.6
#: Age in seconds up to which a cached count is used if the leader does not reply.
_MAX_COUNT_AGE_SECONDS = 1.5


@attrs.frozen
class _QueueCount:
    """Cached reply of the leader for one queue."""

    waiting: int
    counted_at: float


class Gateway:
    """Stores jobs and cancellations and notifies the leader of them.

    A job is accepted once its row is stored. The leader receives it in a notice, or
    from the table's change feed if no notice reaches it.

    Parameters
    ----------
    name : str
        Id of this process.
    tables : TableService
        Service that stores the jobs.
    contact : LeaderContact
        Sends messages to the current leader.
    clock : Clock
        Source of time.
    admission : Admission, optional
        Rejects jobs that would end too late; without it none is rejected for load.
    """

    def __init__(
        self,
        name: str,
        tables: TableService,
        contact: LeaderContact,
        clock: Clock,
        admission: Admission | None = None,
    ) -> None:
        self._admission = admission
        self._name = name
        self._tables = tables
        self._contact = contact
        self._clock = clock
        self._writer = IntakeWriter(name, tables, contact, clock)
        self._notices = NoticeSender(contact, clock, admission)
        self._counts_by_queue: dict[str, _QueueCount] = {}

    def submit(self, spec: JobSpec, deadline: float) -> Result[None, Refusal]:
        """Store a job.

        Parameters
        ----------
        spec : JobSpec
            The validated job.
        deadline : float
            Time at which the client stops waiting, in seconds since the Unix epoch.

        Returns
        -------
        Result[None, Refusal]
            ``STORE_UNAVAILABLE`` (2003) if the job is certainly not stored and never
            will be, ``WRITE_UNKNOWN`` (3006) if that is not known, and
            ``BACKLOG_FULL`` (2020) if the job would end too late to be of use; it is
            not stored then. Submitting a stored job again succeeds.
        """
        refusal = self._find_overload(spec)
        if refusal is not None:
            return self._refuse(spec, refusal)
        row = encode_job(attrs.evolve(spec, accepted_at=self._clock.now()))
        result = self._writer.write(RelayedRow(JOBS, spec.job_id, row, 0), deadline)
        if isinstance(result, Err):
            return self._refuse(spec, result.err_value)
        JOBS_SUBMITTED.labels(Code.OK.value).inc()
        log_change(
            logger,
            "job accepted",
            job=spec.job_id,
            new=result.ok_value,
            queue=spec.queue.name,
            cpu_seconds=round(spec.cpu_seconds, 1),
            best_effort=spec.best_effort,
        )
        if result.ok_value:
            self._notices.add(
                JobNotice(self._name, self._clock.now(), spec.job_id, row)
            )
        return Ok(None)

    def _find_overload(self, spec: JobSpec) -> Refusal | None:
        """Return why a new job is not accepted because of the load, or None if it is.

        A job that is stored already, or may be, is not refused.
        """
        now = self._clock.now()
        rejection = self._admission and self._admission.find_rejection(spec, now)
        if not rejection or self.find_state(spec.job_id) != Ok(None):
            return None
        return Refusal(
            Code.BACKLOG_FULL,
            f"it would wait {rejection.wait:.1f} s and be of no use after "
            f"{rejection.allowed:.1f} s",
            rejection.retry_at,
        )

    def _refuse(self, spec: JobSpec, refusal: Refusal) -> Result[None, Refusal]:
        JOBS_SUBMITTED.labels(refusal.code.value).inc()
        log_change(
            logger,
            "job not accepted",
            job=spec.job_id,
            queue=spec.queue.name,
            cpu_seconds=round(spec.cpu_seconds, 1),
            best_effort=spec.best_effort,
            code=refusal.code.value,
            cause=refusal.detail,
        )
        return Err(refusal)

    def cancel(self, job_id: str, deadline: float) -> Result[bool, Refusal]:
        """Store a cancellation; the result is False if there is no such job.

        It is stored in any case. A submission of the job may be in progress at an entry
        that is suspended, or at the table service, and the job must not run if it is
        stored later. The cancellation of a job whose record cannot be read is in force
        once the record has been repaired; until then the job does not run.
        """
        result = self._writer.write(RelayedRow(CANCELS, job_id, b"1"), deadline)
        if isinstance(result, Err):
            return result
        self._notices.add(JobNotice(self._name, self._clock.now(), job_id))
        status = self.find_status(job_id)
        # A job that cannot be looked up may exist; its cancellation is in force.
        is_known = isinstance(status, Err) or status.ok_value is not None
        log_change(logger, "cancellation accepted", job=job_id, known=is_known)
        return Ok(is_known)

    def find_status(self, job_id: str) -> Result[JobStatus | None, Refusal]:
        """Return the recorded status of a job, or None if there is no such job."""
        return self.find_state(job_id).map(
            lambda state: state.status if state else None
        )

    def find_state(self, job_id: str) -> Result[JobState | None, Refusal]:
        """Return the recorded state of a job, or None if there is no such job."""
        reply = self._contact.ask(
            JobQuery(self._name, self._clock.now(), job_id), _QUERY_SECONDS
        )
        if isinstance(reply, JobQueryReply) and reply.status:
            return Ok(JobState(JobStatus(reply.status), reply.failure_code))
        if isinstance(reply, JobQueryReply) and reply.failure_code:
            return Err(Refusal(find_code(reply.failure_code), job_id))
        return self._read_state(job_id)

    def _read_state(self, job_id: str) -> Result[JobState | None, Refusal]:
        """Return a job's state from its progress row, else from its job row."""
        for partition, table in (
            (LEADER_PARTITION, PROGRESS),
            (get_intake_partition(job_id), JOBS),
        ):
            found = self._tables.read_row(partition, table, job_id)
            if isinstance(found, Err):
                return Err(Refusal(Code.STORE_UNAVAILABLE, found.err_value.detail))
            row = found.ok_value
            if row is None or row.value is None:
                continue
            try:
                if table == PROGRESS:
                    return Ok(decode_state(row.value))
                decode_job(row.value)
            except RecordError as error:
                return Err(Refusal(Code.JOB_UNREADABLE, str(error)))
            return Ok(JobState(JobStatus.QUEUED))
        return Ok(None)

    def count_waiting(self, queue_name: str) -> Result[int, Refusal]:
        """Return the number of jobs in a queue that have not started any task."""
        now = self._clock.now()
        reply = self._contact.ask(
            QueueQuery(self._name, now, queue_name), _QUERY_SECONDS
        )
        if isinstance(reply, QueueQueryReply) and reply.waiting >= 0:
            self._counts_by_queue[queue_name] = _QueueCount(reply.waiting, now)
            return Ok(reply.waiting)
        count = self._counts_by_queue.get(queue_name)
        if count is not None and now - count.counted_at < _MAX_COUNT_AGE_SECONDS:
            return Ok(count.waiting)
        return Err(Refusal(Code.NOT_OWNER, "the leader does not answer"))
