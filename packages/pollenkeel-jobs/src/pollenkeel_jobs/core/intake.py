"""Writes clients' jobs and cancellations, through the leader if need be."""

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

#: Pause between tries of a write, in seconds.
_RETRY_SECONDS = 0.1
#: Time kept for the answer to the client, in seconds.
_ANSWER_SECONDS = 0.1
#: Longest time for which writes are tried while the table service refuses them, in
#: seconds; after that clients are better served by a refusal.
_REFUSING_SECONDS = 1.0
#: Seconds without a reply of the table service after which the leader is asked too.
_HEDGE_SECONDS = 0.25
#: Longest wait for the leader's reply, in seconds.
_RELAY_SECONDS = 1.0
#: Seconds after a failed write for which the leader is asked at once.
_AVOID_SECONDS = 3.0
_THREADS = 24
#: Longest wait for the reply to one write, in seconds. A slow table service works
#: through a queue, so a repeat would wait longer than the first try.
_WRITE_SECONDS = 2.5
#: Codes that say that no leader has taken a message.
_NOT_TAKEN = frozenset({Code.NOT_OWNER, Code.PEER_UNREACHABLE})


class IntakeWriter:
    """Stores one row of a client's request.

    The row goes to the table service directly. If that does not answer soon, the same
    row is also written by the leader, which may reach the table service when this entry
    does not. Both writes have the same condition, so only one takes effect.

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
        self._failed_at = float("-inf")
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix="intake")

    def write(self, row: RelayedRow, deadline: float) -> Result[bool, Refusal]:
        """Write a row until it is done or the client's deadline is near.

        Parameters
        ----------
        row : RelayedRow
            The row with its condition.
        deadline : float
            Time at which the client stops waiting, in seconds since the Unix epoch.

        Returns
        -------
        Result[bool, Refusal]
            False if the row was there before; code 2003 if it is certain that the row
            is not written and never will be, 3006 if that is not known.
        """
        began = self._clock.now()
        uncertain = False
        while True:
            failure = self._try_both(row, deadline)
            if failure is None:
                return Ok(True)
            if failure.kind is FailureKind.CONFLICT:
                # After a lost reply the row may be ours, so the leader is told again.
                return Ok(uncertain)
            if failure.kind is FailureKind.INVALID:
                return Err(Refusal(Code.BAD_REQUEST, failure.detail))
            uncertain = uncertain or failure.kind is FailureKind.UNKNOWN
            now = self._clock.now()
            last = deadline - _ANSWER_SECONDS - _RETRY_SECONDS
            if now > last or now - began > _REFUSING_SECONDS:
                code = Code.WRITE_UNKNOWN if uncertain else Code.STORE_UNAVAILABLE
                return Err(Refusal(code, failure.detail))
            self._pause()

    def _pause(self) -> None:
        idle: Future[None] = Future()
        try:
            idle.result(_RETRY_SECONDS)
        except FutureTimeoutError:
            return

    def _try_both(self, row: RelayedRow, deadline: float) -> Failure | None:
        """Write directly and, if that takes long or fails, through the leader."""
        direct = self._pool.submit(self._write_direct, row, deadline)
        avoid = self._clock.now() - self._failed_at < _AVOID_SECONDS
        failure = self._await(direct, 0.0 if avoid else _HEDGE_SECONDS)
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
        left = deadline - _ANSWER_SECONDS - self._clock.now()
        direct_failure = self._await(direct, max(0.0, left))
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
        left = deadline - _ANSWER_SECONDS - self._clock.now()
        if left <= 0:
            return Failure(FailureKind.NOT_DONE, detail="no time left to write")
        transaction = Transaction(get_intake_partition(row.key), conditions, writes)
        result = self._tables.transact(transaction, min(left, _WRITE_SECONDS))
        if not isinstance(result, Err):
            self._failed_at = float("-inf")
            return None
        failure = result.err_value
        if failure.kind in (FailureKind.UNKNOWN, FailureKind.NOT_DONE):
            self._failed_at = self._clock.now()
        return failure

    def _write_relayed(self, row: RelayedRow, deadline: float) -> Failure | None:
        now = self._clock.now()
        seconds = min(_RELAY_SECONDS, deadline - _ANSWER_SECONDS - now)
        if seconds <= 0:
            return Failure(FailureKind.NOT_DONE, detail="no time left for the leader")
        message = RelayWrite(self._name, now, get_intake_partition(row.key), [row])
        result = self._contact.call(message, seconds)
        if isinstance(result, Err):
            refusal = result.err_value
            sent = refusal.code not in _NOT_TAKEN
            kind = FailureKind.UNKNOWN if sent else FailureKind.NOT_DONE
            return Failure(kind, detail=f"leader: {refusal}")
        reply = result.ok_value
        if not isinstance(reply, RelayWriteReply):
            return Failure(FailureKind.UNKNOWN, detail="unexpected reply of the leader")
        if not reply.failure:
            return None
        return Failure(FailureKind[reply.failure], detail="relayed by the leader")

    @staticmethod
    def _await(direct: Future[Failure | None], seconds: float) -> Failure | None:
        try:
            return direct.result(seconds)
        except FutureTimeoutError:
            return Failure(FailureKind.UNKNOWN, detail="no reply in time")
