"""Rows of the claims of idempotency keys, and their stored form."""

from __future__ import annotations

import enum
import math
from typing import Any

import attrs
import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter
from result import Err, Ok, Result

from pollenkeel_entry.requests.request import Answer
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal

#: Pointers to claims by ``<team>/<service>/<key>``. Rows written by earlier versions of
#: pollenkeel hold the claim itself.
POINTER_TABLE = "claims"
#: Claims by ``ClaimPointer.state_id``.
STATE_TABLE = "claim_states"
#: Larger answers go to the object store, because a row holds at most 64 KiB.
INLINE_BYTES = 32 * 1024

_converter = make_converter()


class ClaimState(enum.Enum):
    """State of a claim.

    Attributes
    ----------
    OPEN
        An attempt holds the claim; its result is not stored.
    RELEASED
        The last attempt provably did not run, and its caller was told so.
    FINISHED
        The answer of the attempt is stored.
    EXPIRED
        The answer object is about to be deleted, so the claim counts as absent.
    """

    OPEN = "open"
    RELEASED = "released"
    FINISHED = "finished"
    EXPIRED = "expired"


@attrs.frozen
class ClaimRow:
    """Claim of one idempotency key.

    Attributes
    ----------
    state : ClaimState
        Recorded result of the attempt.
    digest : str
        Digest of the request content.
    attempt_id, agent_id, agent_epoch, agent_address, vm : str
        Attempt that holds the claim, and the agent to which it is sent.
    answer : bytes
        Packed answer of a finished attempt; empty if it is in the object store.
    answer_object : str
        Key of the object that holds the packed answer.
    delete_after : float
        Time after which the claim may be deleted, in seconds since the Unix epoch.
    released_at : float
        Time of the latest refusal as not run, in seconds since the Unix epoch; 0 if the
        row was written by an earlier version.
    """

    state: ClaimState
    digest: str
    attempt_id: str
    agent_id: str
    agent_epoch: str
    agent_address: str
    vm: str
    answer: bytes = b""
    answer_object: str = ""
    delete_after: float = math.inf
    released_at: float = 0.0


@attrs.frozen
class ClaimPointer:
    """Row of the table ``claims`` that names the row with the claim itself.

    Both rows are created in one transaction and deleted in one transaction, and each
    state id is created only once. A delayed write that expects a version of a deleted
    claim therefore finds no row, even if the key has been claimed again. Earlier
    versions of the entry cannot read a pointer and answer with code 3001, so they never
    take over such a claim.

    Attributes
    ----------
    state_id : str
        Key of the claim in the table ``claim_states``.
    delete_after : float
        Earliest time of deletion; a request that takes the claim over sets a later
        time in the claim only.
    """

    state_id: str
    delete_after: float


@attrs.frozen
class ClaimLocation:
    """Table, key and version of the row that holds a claim."""

    table: str
    key: str
    version: int


def answer_object_name(attempt_id: str) -> str:
    """Return the key of the object that holds a large answer of an attempt."""
    return f"answers/{attempt_id}"


def pack_row(row: ClaimRow) -> bytes:
    """Encode a claim."""
    return bytes(msgpack.packb(_converter.unstructure(row)))


def unpack_row(value: bytes) -> Result[ClaimRow, Refusal]:
    """Decode a stored claim; code 3001 if it is unreadable."""
    return _unpack(value, ClaimRow)


def pack_pointer(pointer: ClaimPointer) -> bytes:
    """Encode a pointer."""
    return bytes(msgpack.packb(_converter.unstructure(pointer)))


def unpack_pointer(value: bytes) -> ClaimPointer | None:
    """Decode a stored pointer; None if the row holds anything else."""
    return _unpack(value, ClaimPointer).unwrap_or(None)


def pack_answer(answer: Answer) -> bytes:
    """Encode an answer."""
    return bytes(msgpack.packb(_converter.unstructure(answer)))


def unpack_answer(value: bytes) -> Result[Answer, Refusal]:
    """Decode a stored answer and mark it as replayed; code 3001 if unreadable."""
    return _unpack(value, Answer).map(lambda a: attrs.evolve(a, code=Code.REPLAYED))


def _unpack(value: bytes, target: type[Any]) -> Result[Any, Refusal]:
    try:
        return Ok(_converter.structure(msgpack.unpackb(value), target))
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err(Refusal(Code.ATTEMPT_LOST, f"unreadable claim: {error}"[:200]))
