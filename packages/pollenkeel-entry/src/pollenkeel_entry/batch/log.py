"""Durable log of a shard: rows put if absent, and snapshots in the object store.

Row ``<shard>/<sequence number>`` holds the events of one commit. Row
``<shard>/snapshot`` names the latest snapshot; rows that it covers are deleted.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable

import attrs
import logbook
import xxhash
from result import Err, Ok, Result

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch.state import ShardState, apply, dump_state, load_state
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.store.base import Backend, Put, Row

logger = logbook.Logger("batch.log")

TABLE = "log"
#: The table service accepts 64 KiB a row; 512 bytes are left for the row's own fields.
MAX_ROW_BYTES = 64 * 1024 - 512
#: Appended events after which a snapshot is due.
EVENTS_PER_SNAPSHOT = 2_000
#: Rows deleted in one transaction.
MAX_DELETED_ROWS = 100
#: Maximum number of bytes that packing a row adds to each event.
_EVENT_OVERHEAD = 5


@attrs.frozen
class PendingAppend:
    """A row to be appended; repeating the append has no further effect."""

    key: str
    value: bytes
    commit_id: str
    events: list[ev.Event]


class ShardLog:
    """Log of one shard, written by one owner.

    Parameters
    ----------
    backend : Backend
        Table service and object store.
    shard : int
        Number of the shard.
    owner : str
        Id of the owner entry.
    epoch : int
        Epoch of this owner.
    """

    def __init__(self, backend: Backend, shard: int, owner: str, epoch: int) -> None:
        self._backend = backend
        self._shard = shard
        self._owner = owner
        self._epoch = epoch
        self._sequence = 0
        self._pointer_version = 0
        self._snapshot_sequence = 0
        self._events_since_snapshot = 0
        self.state = ShardState()

    @property
    def snapshot_due(self) -> bool:
        """Whether enough events were appended since the last snapshot."""
        return self._events_since_snapshot >= EVENTS_PER_SNAPSHOT

    def recover(self) -> Result[None, Refusal]:
        """Rebuild the state and append the take-over record.

        Returns
        -------
        Result[None, Refusal]
            ``NOT_OWNER`` if an owner with a higher epoch has written,
            ``STORE_UNAVAILABLE`` or ``WRITE_UNKNOWN`` if the store does not answer.
            ``STORE_UNAVAILABLE`` also if rows were deleted while the log was read; the
            recovery can be retried.
        """
        while True:
            loaded = self._load()
            if isinstance(loaded, Err):
                return loaded
            if self.state.epoch > self._epoch:
                return Err(Refusal(Code.NOT_OWNER, f"epoch {self.state.epoch}"))
            pending = self.prepare([ev.TakenOver(self._owner, self._epoch)])
            appended = self.append(pending)
            if isinstance(appended, Ok):
                apply(pending.events[0], self.state)
                return Ok(None)
            # The previous owner can append until the take-over record is written, so
            # load again if it has used this sequence number.
            if appended.err_value.code is not Code.NOT_OWNER:
                return appended

    def prepare(self, events: list[ev.Event]) -> PendingAppend:
        """Return the next append; the events must fit in one row."""
        commit_id = f"{self._owner}-{self._epoch}-{uuid.uuid4().hex}"
        packed = [ev.pack_event(event) for event in events]
        value = ev.pack_row(commit_id, self._epoch, packed)
        key = _row_key(self._shard, self._sequence + 1)
        return PendingAppend(key, value, commit_id, events)

    def append(self, pending: PendingAppend) -> Result[None, Refusal]:
        """Write a row; if the reply is lost, read the row back to learn the outcome.

        Returns
        -------
        Result[None, Refusal]
            ``STORE_UNAVAILABLE``: not written. ``WRITE_UNKNOWN``: may be written; the
            same append must be repeated. ``NOT_OWNER``: another owner has written this
            sequence number.
        """
        put = Put(TABLE, pending.key, pending.value, 0)
        written = self._backend.write([put])
        if isinstance(written, Err):
            refusal = written.err_value
            if refusal.code not in (Code.WRITE_UNKNOWN, Code.VERSION_CONFLICT):
                return Err(refusal)
            resolved = self._check_written(pending, refusal)
            if isinstance(resolved, Err):
                return resolved
        self._sequence += 1
        self._events_since_snapshot += len(pending.events)
        return Ok(None)

    def _check_written(
        self, pending: PendingAppend, refusal: Refusal
    ) -> Result[None, Refusal]:
        """Read a row back to learn whether this append or another owner wrote it."""
        found = self._backend.get(TABLE, pending.key)
        if isinstance(found, Err) or found.ok_value is None:
            # The write may still be in progress, so its outcome is unknown.
            return Err(Refusal(Code.WRITE_UNKNOWN, refusal.detail))
        if ev.unpack_row(found.ok_value.value).commit_id == pending.commit_id:
            return Ok(None)
        return Err(Refusal(Code.NOT_OWNER, f"row {pending.key} has another writer"))

    def snapshot(self) -> Result[None, Refusal]:
        """Store a snapshot of the state after the last append; delete old rows.

        The caller must have applied the events of every append to the state.
        """
        sequence = self._sequence
        content = dump_state(self.state)
        digest = xxhash.xxh3_64_hexdigest(content)
        key = f"snapshots/{self._shard}/{sequence:012d}-{digest}"
        stored = self._backend.put_object(key, content)
        if isinstance(stored, Err):
            return stored
        pointer = json.dumps({"sequence": sequence, "key": key}).encode()
        put = Put(TABLE, _pointer_key(self._shard), pointer, self._pointer_version)
        written = self._backend.write([put])
        if isinstance(written, Err):
            found = self._backend.get(TABLE, put.key)
            if isinstance(found, Err) or found.ok_value is None:
                return written
            if found.ok_value.value != pointer:
                return written
            self._pointer_version = found.ok_value.version
        else:
            self._pointer_version = written.ok_value[0]
        first, self._snapshot_sequence = self._snapshot_sequence + 1, sequence
        self._events_since_snapshot = 0
        return self._delete_rows(first, sequence)

    def _delete_rows(self, first: int, last: int) -> Result[None, Refusal]:
        keys = [_row_key(self._shard, n) for n in range(first, last + 1)]
        for start in range(0, len(keys), MAX_DELETED_ROWS):
            chunk = keys[start : start + MAX_DELETED_ROWS]
            deleted = self._backend.write([Put(TABLE, key, None) for key in chunk])
            if isinstance(deleted, Err):
                return deleted
        return Ok(None)

    def _load(self) -> Result[None, Refusal]:
        """Load the latest snapshot and apply the rows after it."""
        pointer = self._backend.get(TABLE, _pointer_key(self._shard))
        if isinstance(pointer, Err):
            return pointer
        self.state, self._sequence, self._pointer_version = ShardState(), 0, 0
        if pointer.ok_value is not None:
            fields = json.loads(pointer.ok_value.value)
            content = self._backend.get_object(fields["key"])
            if isinstance(content, Err):
                return content
            if content.ok_value is None:
                return Err(Refusal(Code.INTERNAL, f"no object {fields['key']}"))
            self.state = load_state(content.ok_value)
            self._sequence = fields["sequence"]
            self._pointer_version = pointer.ok_value.version
        self._snapshot_sequence = self._sequence
        self._events_since_snapshot = 0
        return self._replay()

    def _replay(self) -> Result[None, Refusal]:
        """Apply the rows that follow the current sequence number."""
        while True:
            after = _row_key(self._shard, self._sequence)
            rows = self._backend.scan(TABLE, f"{self._shard}/", after)
            if isinstance(rows, Err):
                return rows
            found = [row for row in rows.ok_value if not _is_pointer(row)]
            for row in found:
                if row.key != _row_key(self._shard, self._sequence + 1):
                    # The previous owner took a snapshot while the log was read.
                    return Err(
                        Refusal(
                            Code.STORE_UNAVAILABLE, f"gap in the shard log at {row.key}"
                        )
                    )
                events = ev.unpack_row(row.value).events
                for event in events:
                    apply(event, self.state)
                self._sequence += 1
                self._events_since_snapshot += len(events)
            if not found:
                return Ok(None)


def count_fitting_events(
    events: list[ev.Event], size_of: Callable[[ev.Event], int] | None = None
) -> int:
    """Return how many of the first events fit in one row."""
    size = 0
    for count, event in enumerate(events):
        size += (size_of or _packed_size)(event) + _EVENT_OVERHEAD
        if size > MAX_ROW_BYTES:
            return count
    return len(events)


def _packed_size(event: ev.Event) -> int:
    return len(ev.pack_event(event))


def _row_key(shard: int, sequence: int) -> str:
    return f"{shard}/{sequence:012d}"


def _pointer_key(shard: int) -> str:
    return f"{shard}/snapshot"


def _is_pointer(row: Row) -> bool:
    return row.key.endswith("/snapshot")
