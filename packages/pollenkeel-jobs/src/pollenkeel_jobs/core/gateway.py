"""Clients' side of an entry: accepts, cancels and shows jobs."""

from __future__ import annotations

import queue
import threading

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.messages import (
    JobNotice,
    JobQuery,
    JobQueryReply,
    QueueQuery,
    QueueQueryReply,
)
from pollenkeel_jobs.core.model import JobSpec, JobStatus
from pollenkeel_jobs.core.names import (
    CANCELS,
    INTAKE_PARTITION,
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
)
from pollenkeel_jobs.core.records import RecordError, decode_status, encode_job
from pollenkeel_jobs.core.tables import (
    Condition,
    FailureKind,
    RowWrite,
    TableService,
    Transaction,
)
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import PeerClient

logger = logbook.Logger("gateway")

#: Longest wait for the leader's reply to a question, in seconds.
_QUERY_SECONDS = 0.6
#: Longest wait for the leader's reply to a notice, in seconds.
_NOTICE_SECONDS = 1.0
#: Pause between tries of a write, in seconds.
_RETRY_SECONDS = 0.15
#: Time kept for the answer to the client, in seconds.
_ANSWER_SECONDS = 0.1
#: Longest time for which writes are tried while the table service refuses them, in
#: seconds; after that clients are better served by a refusal.
_REFUSING_SECONDS = 1.0
#: Age in seconds up to which a queue's count is used if the leader does not answer.
_COUNT_SECONDS = 1.5


@attrs.frozen
class _Count:
    waiting: int
    counted_at: float


class LeaderContact:
    """Messages of an entry to whichever entry leads."""

    def __init__(self, name: str, leadership: Leadership, clock: Clock) -> None:
        self._name = name
        self._leadership = leadership
        self._clock = clock
        self._lock = threading.Lock()
        self._peer: PeerClient | None = None
        self.term: Term | None = None

    def ask(self, message: Message, seconds: float) -> Message | None:
        """Return the leader's reply, or None if there is none in time."""
        term = self.term
        if term is not None and not term.over.is_set():
            return term.handle(message)
        peer = self._find_peer()
        if peer is None:
            return None
        result = peer.call(message, self._clock.now() + seconds)
        if isinstance(result, Err):
            log_change(
                logger,
                "no reply of the leader",
                kind=type(message).__name__,
                address=peer.address,
                cause=str(result.err_value),
            )
            return None
        return result.ok_value

    def _find_peer(self) -> PeerClient | None:
        leader = self._leadership.leader
        if leader is None or not leader.address:
            return None
        with self._lock:
            if self._peer is None or self._peer.address != leader.address:
                if self._peer is not None:
                    self._peer.close()
                self._peer = PeerClient(leader.address, self._clock)
            return self._peer


class Gateway:
    """Stores jobs and cancellations and tells the leader of them.

    A job is accepted once its row is stored. The leader learns of it by a notice, or
    from the table's feed if the notice is lost.

    Parameters
    ----------
    name : str
        Id of this process.
    tables : TableService
        Where jobs are stored.
    contact : LeaderContact
        Way to the leader.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, name: str, tables: TableService, contact: LeaderContact, clock: Clock
    ) -> None:
        self._name = name
        self._tables = tables
        self._contact = contact
        self._clock = clock
        self._notices: queue.Queue[JobNotice] = queue.Queue(maxsize=1000)
        self._counts_by_queue: dict[str, _Count] = {}
        for _ in range(2):
            threading.Thread(target=self._notify, name="notices", daemon=True).start()

    def submit(self, spec: JobSpec, deadline: float) -> Result[None, Refusal]:
        """Store a job.

        Parameters
        ----------
        spec : JobSpec
            The checked job.
        deadline : float
            Time at which the client stops waiting, in seconds since the Unix epoch.

        Returns
        -------
        Result[None, Refusal]
            Code 2003 if it is certain that the job is not stored and never will be,
            3006 if that is not known. A repeat of a stored job is accepted again.
        """
        row = encode_job(spec)
        transaction = Transaction(
            INTAKE_PARTITION,
            (Condition(JOBS, spec.job_id, 0),),
            (RowWrite(JOBS, spec.job_id, row),),
        )
        result = self._write(transaction, deadline)
        if isinstance(result, Err):
            log_change(
                logger,
                "job not accepted",
                job=spec.job_id,
                code=result.err_value.code.value,
                cause=result.err_value.detail,
            )
            return result
        log_change(logger, "job accepted", job=spec.job_id, new=result.ok_value)
        if result.ok_value:
            self._tell(JobNotice(self._name, self._clock.now(), spec.job_id, row))
        return Ok(None)

    def cancel(self, job_id: str, deadline: float) -> Result[bool, Refusal]:
        """Store a cancellation; the value is False if there is no such job."""
        found = self._tables.read_row(INTAKE_PARTITION, JOBS, job_id)
        if isinstance(found, Err):
            return Err(Refusal(Code.STORE_UNAVAILABLE, found.err_value.detail))
        if found.ok_value is None:
            return Ok(False)
        transaction = Transaction(
            INTAKE_PARTITION, (), (RowWrite(CANCELS, job_id, b"1"),)
        )
        result = self._write(transaction, deadline)
        if isinstance(result, Err):
            return result
        log_change(logger, "cancellation accepted", job=job_id)
        self._tell(JobNotice(self._name, self._clock.now(), job_id))
        return Ok(True)

    def find_status(self, job_id: str) -> Result[JobStatus | None, Refusal]:
        """Return the recorded status of a job, or None if there is no such job."""
        reply = self._contact.ask(
            JobQuery(self._name, self._clock.now(), job_id), _QUERY_SECONDS
        )
        if isinstance(reply, JobQueryReply) and reply.status:
            return Ok(JobStatus(reply.status))
        return self._read_status(job_id)

    def _read_status(self, job_id: str) -> Result[JobStatus | None, Refusal]:
        for partition, table in (
            (LEADER_PARTITION, PROGRESS),
            (INTAKE_PARTITION, JOBS),
        ):
            found = self._tables.read_row(partition, table, job_id)
            if isinstance(found, Err):
                return Err(Refusal(Code.STORE_UNAVAILABLE, found.err_value.detail))
            row = found.ok_value
            if row is None or row.value is None:
                continue
            if table == JOBS:
                return Ok(JobStatus.QUEUED)
            try:
                return Ok(decode_status(row.value))
            except RecordError as error:
                return Err(Refusal(Code.INTERNAL, str(error)))
        return Ok(None)

    def count_waiting(self, queue_name: str) -> Result[int, Refusal]:
        """Return the number of jobs of a queue without a started task."""
        now = self._clock.now()
        reply = self._contact.ask(
            QueueQuery(self._name, now, queue_name), _QUERY_SECONDS
        )
        if isinstance(reply, QueueQueryReply) and reply.waiting >= 0:
            self._counts_by_queue[queue_name] = _Count(reply.waiting, now)
            return Ok(reply.waiting)
        count = self._counts_by_queue.get(queue_name)
        if count is not None and now - count.counted_at < _COUNT_SECONDS:
            return Ok(count.waiting)
        return Err(Refusal(Code.NOT_OWNER, "the leader does not answer"))

    def _write(
        self, transaction: Transaction, deadline: float
    ) -> Result[bool, Refusal]:
        """Write until it is done; the value is False if it had been done before."""
        began = self._clock.now()
        uncertain = False
        while True:
            result = self._tables.transact(transaction)
            if not isinstance(result, Err):
                return Ok(True)
            failure = result.err_value
            if failure.kind is FailureKind.CONFLICT:
                # After a lost reply the row may be ours, so the leader is told again.
                return Ok(uncertain)
            if failure.kind is FailureKind.INVALID:
                return Err(Refusal(Code.BAD_REQUEST, failure.detail))
            uncertain = uncertain or failure.kind is FailureKind.UNKNOWN
            now = self._clock.now()
            if now > deadline - _ANSWER_SECONDS or now - began > _REFUSING_SECONDS:
                code = Code.WRITE_UNKNOWN if uncertain else Code.STORE_UNAVAILABLE
                return Err(Refusal(code, failure.detail))
            threading.Event().wait(_RETRY_SECONDS)

    def _tell(self, notice: JobNotice) -> None:
        try:
            self._notices.put_nowait(notice)
        except queue.Full:
            logger.warning(
                "notice dropped; the feed brings it", extra={"job": notice.job_id}
            )

    def _notify(self) -> None:
        while True:
            notice = self._notices.get()
            if self._contact.ask(notice, _NOTICE_SECONDS) is None:
                log_change(logger, "leader did not take a notice", job=notice.job_id)
