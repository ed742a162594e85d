"""Content of a row of the table ``claims``."""

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

#: Pointers by ``<team>/<service>/<key>``; rows of earlier versions hold a claim itself.
POINTER_TABLE = "claims"
#: Claims by the id in their pointer.
STATE_TABLE = "claim_states"
#: Answers above this size in bytes go to the object store; a row holds 64 KiB.
INLINE_BYTES = 32 * 1024

_converter = make_converter()


class ClaimState(enum.Enum):
    """State of a claim.

    A released claim's last attempt is proven not to have run. An expired claim's answer
    object is about to be deleted, so the claim counts as absent.
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
        What is known of the attempt.
    digest : str
        Digest of the request.
    attempt_id, agent_id, agent_epoch, agent_address, vm : str
        Attempt that holds the claim and the agent that it is sent to.
    answer : bytes
        Packed answer of a finished attempt; empty if it is in the object store.
    answer_object : str
        Key of the object that holds the packed answer.
    delete_after : float
        Time after which the claim may be deleted, in seconds since the Unix epoch.
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


@attrs.frozen
class ClaimPointer:
    """Row of the table ``claims``: names the row that holds the claim.

    Both rows are created in one transaction and deleted in one transaction, and an id
    is used for one creation only. A write that expects a version of a deleted claim
    therefore finds no row of this id, even if the key has been claimed again. An
    earlier version of the entry cannot read a pointer and answers 3001, so it never
    takes such a claim over.

    Attributes
    ----------
    state_id : str
        Key of the claim in the table ``claim_states``.
    delete_after : float
        Earliest ``delete_after`` of the claim; a take-over sets a later one in the
        claim only.
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
    """Return the stored form of a row."""
    return bytes(msgpack.packb(_converter.unstructure(row)))


def unpack_row(value: bytes) -> Result[ClaimRow, Refusal]:
    """Return the row of a stored form; code 3001 if it cannot be read."""
    return _unpack(value, ClaimRow)


def pack_pointer(pointer: ClaimPointer) -> bytes:
    """Return the stored form of a pointer."""
    return bytes(msgpack.packb(_converter.unstructure(pointer)))


def unpack_pointer(value: bytes) -> ClaimPointer | None:
    """Return the pointer of a stored form, None if the row holds anything else."""
    return _unpack(value, ClaimPointer).unwrap_or(None)


def pack_answer(answer: Answer) -> bytes:
    """Return the stored form of an answer."""
    return bytes(msgpack.packb(_converter.unstructure(answer)))


def unpack_answer(value: bytes) -> Result[Answer, Refusal]:
    """Return a stored answer, marked as replayed; code 3001 if it cannot be read."""
    return _unpack(value, Answer).map(lambda a: attrs.evolve(a, code=Code.REPLAYED))


def _unpack(value: bytes, target: type[Any]) -> Result[Any, Refusal]:
    try:
        return Ok(_converter.structure(msgpack.unpackb(value), target))
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        return Err(Refusal(Code.ATTEMPT_LOST, f"unreadable claim: {error}"[:200]))
