"""Hedged writes of clients' jobs and cancellations to the table service."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

from result import Err, Ok, Result

from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.messages import RelayedRow, RelayWrite, RelayWriteReply
from pollenkeel_jobs.core.names import get_intake_partition
from pollenkeel_jobs.core.tables import (
    Condition,
    Failure,
    FailureKind,
    RowWrite,
    TableService,
    Transaction,
)
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal

#: Delay before a failed write is retried, in seconds.
_RETRY_SECONDS = 0.1
#: Time reserved before the client's deadline for replying to it, in seconds.
_REPLY_RESERVE_SECONDS = 0.1
#: Longest time for which a failing write is retried, in seconds; after that an error is
#: more useful to the client than a longer wait.
_MAX_RETRY_SECONDS = 1.0
#: Seconds without a reply from the table service after which the write is also sent
#: through the leader.
_HEDGE_SECONDS = 0.25
#: Timeout for the leader's reply, in seconds.
_RELAY_TIMEOUT_SECONDS = 1.0
#: Seconds after a failed direct write during which further writes are sent through the
#: leader without the hedge delay.
_FAILURE_MEMORY_SECONDS = 3.0
_THREADS = 24
#: Timeout for the reply to one write, in seconds. A slow table service works through a
#: queue, so a retry would wait longer than the first attempt.
_WRITE_TIMEOUT_SECONDS = 2.5
#: Codes that mean that no leader has received the message.
_NOT_DELIVERED_CODES = frozenset({Code.NOT_OWNER, Code.PEER_UNREACHABLE})


class IntakeWriter:
    """Stores one row of a client's request.

    The row is written to the table service directly. If that fails or takes long, the
    same write is also sent through the leader, which may reach the table service when
    this entry does not. The writes of a job have the same condition, so only one takes
    effect. A cancellation may be written twice, which is harmless, as both writes store
    the same value.

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
    """

    def __init__(
        self, name: str, tables: TableService, contact: LeaderContact, clock: Clock
    ) -> None:
        self._name = name
        self._tables = tables
        self._contact = contact
        self._clock = clock
        # Time of the last direct write that failed or got no timely reply; -inf after a
        # success.
        self._failed_at = float("-inf")
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix="intake")

    def write(self, row: RelayedRow, deadline: float) -> Result[bool, Refusal]:
        """Write a row, with retries until the client's deadline is near.

        Parameters
        ----------
        row : RelayedRow
            The row and the version that it must have.
        deadline : float
            Time at which the client stops waiting, in seconds since the Unix epoch.

        Returns
        -------
        Result[bool, Refusal]
            True if the row was written, or if it exists and another attempt of this
            call may have written it; False if the row already existed.
            ``BAD_REQUEST`` (4000) if the table service rejects the write as invalid,
            ``STORE_UNAVAILABLE`` (2003) if the row is certainly not written and never
            will be, ``WRITE_UNKNOWN`` (3006) if that is not known.
        """
        began = self._clock.now()
        uncertain = False
        while True:
            failure = self._write_hedged(row, deadline)
            if failure is None:
                return Ok(True)
            if failure.kind is FailureKind.CONFLICT:
                # If a reply was lost, an earlier attempt may have written the row. It
                # then counts as new, so that the leader is notified.
                return Ok(uncertain)
            if failure.kind is FailureKind.INVALID:
                return Err(Refusal(Code.BAD_REQUEST, failure.detail))
            uncertain = uncertain or failure.kind is FailureKind.UNKNOWN
            now = self._clock.now()
            last_retry_at = deadline - _REPLY_RESERVE_SECONDS - _RETRY_SECONDS
            if now > last_retry_at or now - began > _MAX_RETRY_SECONDS:
                code = Code.WRITE_UNKNOWN if uncertain else Code.STORE_UNAVAILABLE
                return Err(Refusal(code, failure.detail))
            self._wait_before_retry()

    def _wait_before_retry(self) -> None:
        """Block for ``_RETRY_SECONDS`` on a future that never completes."""
        idle: Future[None] = Future()
        try:
            idle.result(_RETRY_SECONDS)
        except FutureTimeoutError:
            return

    def _write_hedged(self, row: RelayedRow, deadline: float) -> Failure | None:
        """Write directly and, if that fails or takes long, also through the leader.

        A conflict after the second write means that the row exists by now, possibly
        because the other write was applied; it counts as success.
        """
        direct = self._pool.submit(self._write_direct, row, deadline)
        recently_failed = self._clock.now() - self._failed_at < _FAILURE_MEMORY_SECONDS
        failure = self._wait_for_result(
            direct, 0.0 if recently_failed else _HEDGE_SECONDS
        )
        if failure is None or failure.kind in (
            FailureKind.CONFLICT,
            FailureKind.INVALID,
        ):
            return failure
        relayed = self._write_relayed(row, deadline)
        if relayed is None or relayed.kind is FailureKind.CONFLICT:
            if not direct.done():
                self._failed_at = self._clock.now()
            return None
        left = deadline - _REPLY_RESERVE_SECONDS - self._clock.now()
        direct_failure = self._wait_for_result(direct, max(0.0, left))
        if direct_failure is None or direct_failure.kind is FailureKind.CONFLICT:
            return None
        if relayed.kind is FailureKind.UNKNOWN:
            return relayed
        return direct_failure

    def _write_direct(self, row: RelayedRow, deadline: float) -> Failure | None:
        conditions: tuple[Condition, ...] = ()
        if row.expected_version >= 0:
            conditions = (Condition(row.table, row.key, row.expected_version),)
        writes = (RowWrite(row.table, row.key, row.value),)
        left = deadline - _REPLY_RESERVE_SECONDS - self._clock.now()
        if left <= 0:
            return Failure(FailureKind.NOT_DONE, detail="no time left to write")
        transaction = Transaction(get_intake_partition(row.key), conditions, writes)
        result = self._tables.transact(transaction, min(left, _WRITE_TIMEOUT_SECONDS))
        if not isinstance(result, Err):
            self._failed_at = float("-inf")
            return None
        failure = result.err_value
        if failure.kind in (FailureKind.UNKNOWN, FailureKind.NOT_DONE):
            self._failed_at = self._clock.now()
        return failure

    def _write_relayed(self, row: RelayedRow, deadline: float) -> Failure | None:
        now = self._clock.now()
        seconds = min(_RELAY_TIMEOUT_SECONDS, deadline - _REPLY_RESERVE_SECONDS - now)
        if seconds <= 0:
            return Failure(
                FailureKind.NOT_DONE, detail="no time left to write through the leader"
            )
        message = RelayWrite(self._name, now, get_intake_partition(row.key), [row])
        result = self._contact.call(message, seconds)
        if isinstance(result, Err):
            refusal = result.err_value
            sent = refusal.code not in _NOT_DELIVERED_CODES
            kind = FailureKind.UNKNOWN if sent else FailureKind.NOT_DONE
            return Failure(kind, detail=f"leader: {refusal}")
        reply = result.ok_value
        if not isinstance(reply, RelayWriteReply):
            return Failure(
                FailureKind.UNKNOWN, detail="unexpected reply from the leader"
            )
        if not reply.failure:
            return None
        return Failure(FailureKind[reply.failure], detail="relayed by the leader")

    @staticmethod
    def _wait_for_result(
        direct: Future[Failure | None], seconds: float
    ) -> Failure | None:
        try:
            return direct.result(seconds)
        except FutureTimeoutError:
            return Failure(FailureKind.UNKNOWN, detail="no reply in time")
