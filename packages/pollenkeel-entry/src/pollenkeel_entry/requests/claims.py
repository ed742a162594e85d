"""Claims of non-idempotent requests that carry an idempotency key.

A claim is written before each attempt is sent. It ensures that at most one attempt ever
runs for a key, even if several entries receive the request.
"""

from __future__ import annotations

import random
import threading

import attrs
from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.requests.answer_store import AnswerStore
from pollenkeel_entry.requests.attempt import check_reply
from pollenkeel_entry.requests.claim_row import (
    POINTER_TABLE,
    STATE_TABLE,
    ClaimLocation,
    ClaimPointer,
    ClaimRow,
    ClaimState,
    answer_object_name,
    pack_pointer,
    pack_row,
    unpack_answer,
    unpack_pointer,
    unpack_row,
)
from pollenkeel_entry.requests.group_writer import GroupWriter
from pollenkeel_entry.requests.metrics import CLAIMS
from pollenkeel_entry.requests.request import Answer, ServiceRequest
from pollenkeel_entry.requests.waiting import SlotLease
from pollenkeel_kernel.core.codes import Code, Outcome
from pollenkeel_kernel.core.messages import AttemptReply, Message, QueryAttempt
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import PeerClient
from pollenkeel_kernel.store.base import Put, Row

#: Tries to write one claim while the results are lost or conflicts occur; after these,
#: the store counts as unavailable.
_MAX_CLAIM_WRITES = 3
_QUERY_TIMEOUT_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.05
#: Minimum timeout for the write of a refusal. When the deadline is the reason for the
#: refusal, hardly any time is left before it.
_REFUSAL_WRITE_SECONDS = 0.5
#: Tries to read a pointer and its claim, which may be deleted between the two reads.
_MAX_CLAIM_READS = 3

#: Result of resolving a claim: an answer, or None if the latest attempt provably did
#: not run.
Resolution = Result[Answer | None, Refusal]


@attrs.frozen
class _StoredClaim:
    """Encoded claim as read from the store, with its location."""

    location: ClaimLocation
    value: bytes

    @classmethod
    def from_row(cls, table: str, row: Row) -> _StoredClaim:
        return cls(ClaimLocation(table, row.key, row.version), row.value)


class ClaimFactory:
    """Creates ``Claim`` objects for requests.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    writer : GroupWriter
        Group commit of the rows.
    answers : AnswerStore
        Writes finished and released rows later.
    """

    def __init__(
        self, context: EntryContext, writer: GroupWriter, answers: AnswerStore
    ) -> None:
        self._context = context
        self._writer = writer
        self._answers = answers

    def create(self, request: ServiceRequest) -> Claim:
        """Return the claim for a request without writing it to the store."""
        return Claim(self._context, self._writer, self._answers, request)


class Claim:
    """Claim of an idempotency key on behalf of one request.

    Call ``assign`` before sending each attempt. If it returns False, another attempt
    holds the claim, and ``resolve`` returns the result of that attempt. ``refuse``
    returns the final result if the request is not sent.

    A request with the same key that was in progress when another one was refused as not
    run must not be sent any more; ``cancelled`` is then True.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    writer : GroupWriter
        Group commit of the rows.
    answers : AnswerStore
        Writes finished and released rows later.
    request : ServiceRequest
        Keyed, non-idempotent request.
    """

    def __init__(
        self,
        context: EntryContext,
        writer: GroupWriter,
        answers: AnswerStore,
        request: ServiceRequest,
    ) -> None:
        self._context = context
        self._writer = writer
        self._answers = answers
        self._request = request
        self._digest = request.digest
        self._key = f"{request.team}/{request.service}/{request.key}"
        #: Row of the claim and the version that the next write expects; None to create
        #: the claim.
        self._location: ClaimLocation | None = None
        #: Claim as last written by this request; None while it does not hold the claim.
        self._held: ClaimRow | None = None
        #: Claim at ``_location`` that this request may replace; None if there is none.
        self._free: ClaimRow | None = None
        self._created_at = context.clock.now()
        #: Location and version as this request last wrote or resolved the claim.
        self._seen: ClaimLocation | None = None
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether another request with this key has been refused as not run."""
        return self._cancelled

    def assign(self, lease: SlotLease, attempt_id: str) -> Result[bool, Refusal]:
        """Write the claim for an attempt that is about to be sent.

        Returns
        -------
        Result[bool, Refusal]
            True if the attempt may be sent, False if another attempt holds the
            claim. Code 2003 if the store did not accept the claim, 2002 if the write
            did not finish before the deadline, 3006 if another claim exists but cannot
            be read.
        """
        row = ClaimRow(
            ClaimState.OPEN,
            self._digest,
            attempt_id,
            lease.announce.sender,
            lease.announce.agent_epoch,
            lease.announce.address,
            lease.announce.vm,
            delete_after=self._request.deadline
            + self._context.settings.limits.claim_retention,
        )
        for number in range(_MAX_CLAIM_WRITES):
            puts = self._make_puts(row, number)
            written = self._writer.submit(*puts).wait(self._remaining())
            if written is None:
                return Err(
                    Refusal(
                        Code.DEADLINE_TOO_CLOSE, "the claim was not written in time"
                    )
                )
            if isinstance(written, Ok):
                location = ClaimLocation(puts[0].table, puts[0].key, written.ok_value)
                return self._set_held(row, location)
            if written.err_value.code not in (
                Code.VERSION_CONFLICT,
                Code.WRITE_UNKNOWN,
            ):
                return Err(_store_unavailable(written.err_value))
            assigned = self._read_back(row, written.err_value)
            if assigned is not None:
                return assigned
        return Err(Refusal(Code.STORE_UNAVAILABLE, "the claim was not confirmed"))

    def resolve(self) -> Resolution:
        """Determine the result of the attempt that holds the claim.

        Waits for a running attempt until the deadline of the request.

        Returns
        -------
        Result[Answer or None, Refusal]
            The earlier answer; None if no attempt ran, so that ``assign`` may be
            called again. Code 4003 if the key belongs to another request; 3001, 3005
            or 3006 if an earlier attempt may have run; 2003 if an expired answer could
            not be deleted; otherwise the code in the reply that the agent kept.
        """
        running = False
        while True:
            resolved, running = self._resolve_once(running)
            if resolved is not None:
                if isinstance(resolved, Err):
                    result = "refused"
                    if resolved.err_value.outcome is Outcome.UNKNOWN:
                        result = "unknown"
                    CLAIMS.labels(result).inc()
                elif resolved.ok_value is not None:
                    CLAIMS.labels("replayed").inc()
                return resolved
            if self._remaining() <= 0:
                CLAIMS.labels("unknown").inc()
                code = Code.ATTEMPT_RUNNING if running else Code.ATTEMPT_LOST
                return Err(
                    Refusal(
                        code,
                        f"no result of key {self._request.key!r:.80} by the deadline",
                    )
                )
            pause = _POLL_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
            threading.Event().wait(min(pause, max(0.0, self._remaining())))

    def refuse(self, refusal: Refusal) -> Result[Answer, Refusal]:
        """Return the final result for the key when this request is not sent.

        An earlier attempt with the same key may have run; the refusal alone would then
        wrongly report that nothing ran. If none has, the refusal is recorded in the
        claim first, so that other requests with the key that are in progress are not
        sent any more. If the claim cannot be read, the refusal is returned as it is.

        Parameters
        ----------
        refusal : Refusal
            Why this request was not sent, or proof that its last attempt did not run.

        Returns
        -------
        Result[Answer, Refusal]
            The earlier answer, the unknown outcome of an earlier attempt, or
            ``refusal``; 3006 if it could not be recorded.
        """
        if self._held is None:
            read = self._read()
            if isinstance(read, Err) or read.ok_value is None:
                return Err(refusal)
        while True:
            if self._held is None:
                resolved = self.resolve()
                if isinstance(resolved, Err):
                    return resolved
                if resolved.ok_value is not None:
                    return Ok(resolved.ok_value)
            recorded = self._record_refusal()
            if isinstance(recorded, Err):
                return recorded
            if recorded.ok_value:
                return Err(refusal)
            # Another request has changed the claim since; it may have been sent.
            self._held = None

    def finish(self, answer: Answer) -> None:
        """Store the answer of the attempt that holds the claim, in the background."""
        if self._held is not None and self._location is not None:
            self._answers.finish(self._location, self._held, answer)

    def _record_refusal(self) -> Result[bool, Refusal]:
        """Mark the free claim as released; return False if it has been changed.

        Returns
        -------
        Result[bool, Refusal]
            Code 3006 if the store did not confirm the write.
        """
        location, free = self._location, self._free
        if location is None or free is None:
            return Ok(True)
        row = attrs.evolve(
            free,
            state=ClaimState.RELEASED,
            digest=self._digest,
            answer_object="",
            released_at=self._context.clock.now(),
        )
        for _ in range(_MAX_CLAIM_WRITES):
            put = Put(location.table, location.key, pack_row(row), location.version)
            written = self._writer.submit(put).wait(
                max(self._remaining(), _REFUSAL_WRITE_SECONDS)
            )
            if isinstance(written, Ok):
                return Ok(True)
            if written is None or written.err_value.code not in (
                Code.VERSION_CONFLICT,
                Code.WRITE_UNKNOWN,
            ):
                break
            read = self._read()
            if isinstance(read, Err):
                break
            found = read.ok_value
            if found is None or found.location != location:
                return Ok(found is not None and found.value == pack_row(row))
        self._answers.release(location, row)
        return Err(Refusal(Code.WRITE_UNKNOWN, "the refusal was not recorded"))

    def _make_puts(self, row: ClaimRow, number: int) -> list[Put]:
        """Return the writes that create or replace the claim; the claim comes first."""
        location = self._location
        if location is not None:
            return [Put(location.table, location.key, pack_row(row), location.version)]
        # Each try uses its own id, so that a delayed write cannot recreate a claim that
        # has been created and deleted since.
        pointer = ClaimPointer(f"{row.attempt_id}.{number}", row.delete_after)
        return [
            Put(STATE_TABLE, pointer.state_id, pack_row(row), 0),
            Put(POINTER_TABLE, self._key, pack_pointer(pointer), 0),
        ]

    def _read(self) -> Result[_StoredClaim | None, Refusal]:
        """Return the row that holds the claim of the key."""
        for _ in range(_MAX_CLAIM_READS):
            read = self._context.backend.get(POINTER_TABLE, self._key)
            if isinstance(read, Err):
                return read
            if read.ok_value is None:
                return Ok(None)
            pointer = unpack_pointer(read.ok_value.value)
            if pointer is None:
                return Ok(_StoredClaim.from_row(POINTER_TABLE, read.ok_value))
            state = self._context.backend.get(STATE_TABLE, pointer.state_id)
            if isinstance(state, Err):
                return state
            if state.ok_value is not None:
                return Ok(_StoredClaim.from_row(STATE_TABLE, state.ok_value))
            # Both rows were deleted between the two reads.
        return Err(
            Refusal(Code.STORE_UNAVAILABLE, "the claim kept changing while it was read")
        )

    def _set_held(
        self, row: ClaimRow, location: ClaimLocation
    ) -> Result[bool, Refusal]:
        """Record that this request holds the claim."""
        CLAIMS.labels("new" if self._location is None else "taken-over").inc()
        self._location = self._seen = location
        self._held = self._free = row
        return Ok(True)

    def _read_back(self, row: ClaimRow, cause: Refusal) -> Result[bool, Refusal] | None:
        """Check whether a failed write took effect.

        Returns
        -------
        Result[bool, Refusal] or None
            True if this attempt holds the claim, False if another one does, None if
            the claim must be written again.
        """
        read = self._read()
        if isinstance(read, Err):
            if cause.code is Code.VERSION_CONFLICT:
                return Err(
                    Refusal(Code.WRITE_UNKNOWN, "an earlier claim is unreadable")
                )
            return Err(_store_unavailable(read.err_value))
        found = read.ok_value
        if found is None:
            self._location = None
            return None
        if found.location == self._location:
            return None
        if unpack_row(found.value) == Ok(row):
            return self._set_held(row, found.location)
        self._held = None
        return Ok(False)

    def _resolve_once(self, running: bool) -> tuple[Resolution | None, bool]:
        """Read the claim once and try to resolve it.

        Parameters
        ----------
        running : bool
            Whether the attempt was running at the previous query.

        Returns
        -------
        tuple[Resolution or None, bool]
            The resolution, or None if the caller must try again; and whether the
            attempt was running at the last query.
        """
        read = self._read()
        if isinstance(read, Err):
            if self._remaining() > 0:
                return None, running
            detail = f"claim cannot be read: {read.err_value.detail}"
            return Err(Refusal(Code.WRITE_UNKNOWN, detail)), running
        if read.ok_value is None:
            return self._set_free(None, None), False
        location = read.ok_value.location
        changed = self._seen is not None and self._seen != location
        self._seen = location
        unpacked = unpack_row(read.ok_value.value)
        if isinstance(unpacked, Err):
            return Err(unpacked.err_value), False
        row = unpacked.ok_value
        if row.state is ClaimState.EXPIRED:
            return self._free_after_expiry(row, location), False
        if row.digest != self._digest:
            detail = f"key {self._request.key!r:.80}"
            return Err(Refusal(Code.KEY_REUSED, detail)), False
        if row.state is ClaimState.FINISHED:
            return self._stored_answer(row), False
        if row.state is ClaimState.RELEASED:
            # The clocks of two entries may differ, but a request that has seen another
            # version of the claim was certainly in progress at the refusal.
            self._cancelled = changed or row.released_at >= self._created_at
            return self._set_free(location, row), False
        return self._resolve_open(row, location)

    def _free_after_expiry(self, row: ClaimRow, location: ClaimLocation) -> Resolution:
        # The new claim does not name the answer object, so delete the object first.
        name = row.answer_object or answer_object_name(row.attempt_id)
        deleted = self._context.backend.delete_object(name)
        if isinstance(deleted, Err):
            return Err(_store_unavailable(deleted.err_value))
        return self._set_free(location, row)

    def _set_free(
        self, location: ClaimLocation | None, row: ClaimRow | None
    ) -> Resolution:
        """Record that the claim may be assigned, replacing the row at ``location``."""
        self._location = location
        self._held = None
        self._free = row
        return Ok(None)

    def _stored_answer(self, row: ClaimRow) -> Resolution:
        if not row.answer_object:
            return unpack_answer(row.answer)
        read = self._context.backend.get_object(row.answer_object)
        if isinstance(read, Err) or read.ok_value is None:
            detail = f"answer object {row.answer_object} cannot be read"
            return Err(Refusal(Code.ATTEMPT_LOST, detail))
        return unpack_answer(read.ok_value)

    def _resolve_open(
        self, row: ClaimRow, location: ClaimLocation
    ) -> tuple[Resolution | None, bool]:
        """Query the agent of an open attempt.

        If the agent has not seen the attempt, it records a tombstone, which prevents
        the attempt from running later.
        """
        called = self._query_agent(row)
        if isinstance(called, Err):
            if self._context.agents.get(row.agent_id) is None:
                detail = f"agent {row.agent_id} is gone: {called.err_value}"
                return Err(Refusal(Code.ATTEMPT_LOST, detail)), False
            return None, False
        reply = called.ok_value
        if not isinstance(reply, AttemptReply) or reply.attempt_id != row.attempt_id:
            return None, False
        if reply.state in ("tombstoned", "refused"):
            return self._set_free(location, row), False
        if reply.state == "finished" and reply.reply is not None:
            return self._answer_from_agent(row, location, reply.reply), False
        if reply.state == "running":
            return None, True
        detail = f"agent {row.agent_id}: attempt {reply.state!r:.20}"
        return Err(Refusal(Code.ATTEMPT_LOST, detail)), False

    def _answer_from_agent(
        self, row: ClaimRow, location: ClaimLocation, reply: Message
    ) -> Resolution:
        """Resolve the claim from the reply that the agent kept; store its answer."""
        limit = self._context.settings.limits.body_bytes
        checked = check_reply(reply, row.attempt_id, row.vm, limit)
        if isinstance(checked, Ok):
            self._answers.finish(location, row, checked.ok_value)
            return Ok(attrs.evolve(checked.ok_value, code=Code.REPLAYED))
        if checked.err_value.outcome is Outcome.NOT_RUN:
            return self._set_free(location, row)
        return Err(checked.err_value)

    def _query_agent(self, row: ClaimRow) -> Result[Message, Refusal]:
        settings = self._context.settings
        now = self._context.clock.now()
        query = QueryAttempt(settings.id, now, row.attempt_id, row.agent_epoch, True)
        deadline = now + max(0.1, min(_QUERY_TIMEOUT_SECONDS, self._remaining()))
        record = self._context.agents.get(row.agent_id)
        if record is not None:
            return record.client.call(query, deadline)
        # The agent may announce itself to other entries only, or not to this one yet.
        client = PeerClient(row.agent_address, self._context.clock)
        try:
            return client.call(query, deadline)
        finally:
            client.close()

    def _remaining(self) -> float:
        return self._request.deadline - self._context.clock.now()


def _store_unavailable(refusal: Refusal) -> Refusal:
    return Refusal(Code.STORE_UNAVAILABLE, refusal.detail)
