"""Claims of keyed non-idempotent requests: at most one attempt ever runs."""

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

#: Writes of one claim whose results were lost before the store counts as down.
_MAX_CLAIM_WRITES = 3
_QUERY_TIMEOUT_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.05
#: Reads of a pointer and its claim before a claim that changes meanwhile is given up.
_MAX_CLAIM_READS = 3

#: Result of looking at an existing claim: an answer, or None if the latest attempt
#: is proven not to have run.
Resolution = Result[Answer | None, Refusal]


@attrs.frozen
class _StoredClaim:
    """Row that holds a claim, and its place."""

    location: ClaimLocation
    value: bytes

    @classmethod
    def from_row(cls, table: str, row: Row) -> _StoredClaim:
        return cls(ClaimLocation(table, row.key, row.version), row.value)


class ClaimTable:
    """Opens claims of requests.

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

    def open(self, request: ServiceRequest) -> Claim:
        """Return the claim of a keyed request; nothing is written yet."""
        return Claim(self._context, self._writer, self._answers, request)


class Claim:
    """Claim of one request's key by one caller's request.

    ``assign`` is called before each send. If it returns False, another attempt holds
    the claim and ``resolve`` finds out about it.

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
        #: Where the claim is at the version that the next write expects.
        self._location: ClaimLocation | None = None
        self._held: ClaimRow | None = None

    def assign(self, lease: SlotLease, attempt_id: str) -> Result[bool, Refusal]:
        """Write the claim for an attempt that is about to be sent.

        Returns
        -------
        Result[bool, Refusal]
            True if the attempt may be sent, False if another attempt holds the
            claim. Code 2003 if the store did not accept the claim, 2002 if it did
            not in time, 3006 if another claim exists and cannot be read.
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
                return Err(Refusal(Code.DEADLINE_TOO_CLOSE, "the claim took too long"))
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
        """Find out what became of the attempt that holds the claim.

        Waits for a running attempt until the request's deadline.

        Returns
        -------
        Result[Answer or None, Refusal]
            The earlier answer; None if no attempt ran, so that ``assign`` may be
            called again. Code 4003 for another request's key, 3001, 3005 or 3006 if
            an earlier attempt may have run.
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
                return Err(Refusal(code, f"claim of key {self._request.key!r:.80}"))
            pause = _POLL_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
            threading.Event().wait(min(pause, max(0.0, self._remaining())))

    def conclude_unsent(self, refusal: Refusal) -> Result[Answer, Refusal]:
        """Return what holds for the key when this request cannot be sent.

        An earlier attempt may have run although this request did not, so the refusal
        alone would be wrong.

        Parameters
        ----------
        refusal : Refusal
            Why this request was not sent.

        Returns
        -------
        Result[Answer, Refusal]
            The earlier answer, the unknown outcome of an earlier attempt, or
            ``refusal``.
        """
        if self._held is not None:
            self.release()
            return Err(refusal)
        read = self._read()
        if isinstance(read, Err) or read.ok_value is None:
            return Err(refusal)
        resolved = self.resolve()
        if isinstance(resolved, Ok) and resolved.ok_value is not None:
            return Ok(resolved.ok_value)
        return resolved if isinstance(resolved, Err) else Err(refusal)

    def finish(self, answer: Answer) -> None:
        """Store the answer of the attempt that holds the claim, in the background."""
        if self._held is not None and self._location is not None:
            self._answers.finish(self._location, self._held, answer)

    def release(self) -> None:
        """Record in the background that the attempt is proven not to have run."""
        if self._held is not None and self._location is not None:
            self._answers.release(self._location, self._held)

    def _make_puts(self, row: ClaimRow, number: int) -> list[Put]:
        location = self._location
        if location is not None:
            return [Put(location.table, location.key, pack_row(row), location.version)]
        # Each try has an id of its own: a write that is applied late must not create
        # an id again that was created and deleted before.
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
        return Err(Refusal(Code.STORE_UNAVAILABLE, "the claim changes while read"))

    def _set_held(
        self, row: ClaimRow, location: ClaimLocation
    ) -> Result[bool, Refusal]:
        CLAIMS.labels("new" if self._location is None else "taken-over").inc()
        self._location = location
        self._held = row
        return Ok(True)

    def _read_back(self, row: ClaimRow, cause: Refusal) -> Result[bool, Refusal] | None:
        """Resolve a lost or refused write; None asks for another write."""
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
        read = self._read()
        if isinstance(read, Err):
            if self._remaining() > 0:
                return None, running
            detail = f"claim cannot be read: {read.err_value.detail}"
            return Err(Refusal(Code.WRITE_UNKNOWN, detail)), running
        if read.ok_value is None:
            return self._set_free(None), False
        location = read.ok_value.location
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
            return self._set_free(location), False
        return self._resolve_open(row, location)

    def _free_after_expiry(self, row: ClaimRow, location: ClaimLocation) -> Resolution:
        # The take-over drops the name of the object, so the object goes first.
        name = row.answer_object or answer_object_name(row.attempt_id)
        deleted = self._context.backend.delete_object(name)
        if isinstance(deleted, Err):
            return Err(_store_unavailable(deleted.err_value))
        return self._set_free(location)

    def _set_free(self, location: ClaimLocation | None) -> Resolution:
        self._location = location
        self._held = None
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
        """Ask about an open attempt; an unseen one is tombstoned by the agent."""
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
            return self._set_free(location), False
        if reply.state == "finished" and reply.reply is not None:
            return self._answer_from_agent(row, location, reply.reply), False
        if reply.state == "running":
            return None, True
        detail = f"agent {row.agent_id}: attempt {reply.state!r:.20}"
        return Err(Refusal(Code.ATTEMPT_LOST, detail)), False

    def _answer_from_agent(
        self, row: ClaimRow, location: ClaimLocation, reply: Message
    ) -> Resolution:
        limit = self._context.settings.limits.body_bytes
        checked = check_reply(reply, row.attempt_id, row.vm, limit)
        if isinstance(checked, Ok):
            self._answers.finish(location, row, checked.ok_value)
            return Ok(attrs.evolve(checked.ok_value, code=Code.REPLAYED))
        if checked.err_value.outcome is Outcome.NOT_RUN:
            return self._set_free(location)
        return Err(checked.err_value)

    def _query_agent(self, row: ClaimRow) -> Result[Message, Refusal]:
        settings = self._context.settings
        now = self._context.clock.now()
        query = QueryAttempt(settings.id, now, row.attempt_id, row.agent_epoch, True)
        deadline = now + max(0.1, min(_QUERY_TIMEOUT_SECONDS, self._remaining()))
        record = self._context.agents.get(row.agent_id)
        if record is not None:
            return record.client.call(query, deadline)
        # An agent need not announce itself to every entry, or not yet to this one.
        client = PeerClient(row.agent_address, self._context.clock)
        try:
            return client.call(query, deadline)
        finally:
            client.close()

    def _remaining(self) -> float:
        return self._request.deadline - self._context.clock.now()


def _store_unavailable(refusal: Refusal) -> Refusal:
    return Refusal(Code.STORE_UNAVAILABLE, refusal.detail)
