"""Events of the shard log."""

from __future__ import annotations

from typing import Any

import attrs
import msgpack
from cattrs.preconf.msgpack import make_converter

from pollenkeel_entry.batch.records import TaskSpec


@attrs.frozen
class TakenOver:
    """A new owner has claimed the shard with a higher epoch."""

    owner: str
    epoch: int


@attrs.frozen
class JobPart:
    """Some tasks of a job that is too large for one row."""

    job_id: str
    index: int
    tasks: list[TaskSpec]


@attrs.frozen
class JobSubmitted:
    """A job was accepted at time ``at``.

    ``tasks`` are its last tasks; the others are in ``parts`` earlier ``JobPart``
    events.
    """

    job_id: str
    team: str
    kind: str
    deadline: float
    urgent: bool
    digest: str
    at: float
    parts: int
    tasks: list[TaskSpec]


@attrs.frozen
class JobCancelled:
    """No task of the job starts again; running attempts are to be stopped."""

    job_id: str


@attrs.frozen
class AttemptStarted:
    """An attempt may be sent to its agent once this event is durable."""

    key: str
    attempt: int
    agent_id: str
    vm: str
    data_centre: str
    epoch: int
    start_before: float
    lease_until: float


@attrs.frozen
class AttemptRunning:
    """The agent has reported the attempt as running."""

    key: str
    attempt: int


@attrs.frozen
class AttemptEnded:
    """An attempt has ended.

    Applying it closes the attempt, records its checkpoint and requeues or ends the
    task, so that these changes are committed together.
    ``outcome`` is ``done``, ``failed``, ``evicted``, ``lapsed``, ``cancelled`` or
    ``refused``.
    """

    key: str
    attempt: int
    outcome: str
    code: int
    detail: str = ""
    checkpoint_key: str = ""


Event = (
    TakenOver
    | JobPart
    | JobSubmitted
    | JobCancelled
    | AttemptStarted
    | AttemptRunning
    | AttemptEnded
)

_TYPES_BY_NAME: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (
        TakenOver,
        JobPart,
        JobSubmitted,
        JobCancelled,
        AttemptStarted,
        AttemptRunning,
        AttemptEnded,
    )
}

converter = make_converter()


@attrs.frozen
class LogRow:
    """Content of one row of the log."""

    commit_id: str
    epoch: int
    events: list[Event]


def pack_event(event: Event) -> bytes:
    """Return the stored form of one event."""
    return bytes(msgpack.packb([type(event).__name__, converter.unstructure(event)]))


def pack_row(commit_id: str, epoch: int, packed: list[bytes]) -> bytes:
    """Return the content of a row from packed events."""
    return bytes(msgpack.packb([commit_id, epoch, packed]))


def unpack_row(value: bytes) -> LogRow:
    """Return a row from its stored form."""
    commit_id, epoch, packed = msgpack.unpackb(value)
    return LogRow(commit_id, epoch, [_unpack_event(item) for item in packed])


def _unpack_event(packed: bytes) -> Event:
    name, fields = msgpack.unpackb(packed)
    event: Event = converter.structure(fields, _TYPES_BY_NAME[name])
    return event
