"""In-memory store backend with scripted faults, for unit tests."""

from __future__ import annotations

import enum
import threading
from collections import deque
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import StoreSettings
from pollenkeel_kernel.store.base import Backend, Put, Row


class Fault(enum.Enum):
    """What happens to one call: it is rejected, or lost, or its answer is lost."""

    NONE = "none"
    REFUSED = "refused"
    REQUEST_LOST = "request lost"
    ANSWER_LOST = "answer lost"


@attrs.define
class Tables:
    """Stored rows and objects, shared by all backends of one test."""

    rows: dict[tuple[str, str], Row] = attrs.field(factory=dict)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    lock: threading.RLock = attrs.field(factory=threading.RLock)


class MemoryBackend(Backend):
    """Table service and object store in memory.

    Parameters
    ----------
    settings : StoreSettings
        Ignored.
    tables : Tables, optional
        Content shared with other backends.

    Attributes
    ----------
    read_faults, write_faults, object_faults : deque of Fault
        Faults of the next calls, in order; an empty queue means no fault.
    down, objects_down : bool
        Reject every call of the table service, or of the object store.
    before_write : callable or None
        Called once before the next write, to simulate a concurrent writer.
    """

    def __init__(
        self, settings: StoreSettings | None = None, tables: Tables | None = None
    ) -> None:
        self.tables = tables or Tables()
        self.read_faults: deque[Fault] = deque()
        self.write_faults: deque[Fault] = deque()
        self.object_faults: deque[Fault] = deque()
        self.down = False
        self.objects_down = False
        self.before_write: Callable[[], None] | None = None

    def get(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return a row, or None if there is none."""
        if self._next_fault(self.read_faults, self.down) != Fault.NONE:
            return _refused()
        with self.tables.lock:
            return Ok(self.tables.rows.get((table, key)))

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Refusal]:
        """Return rows whose key starts with ``prefix`` and sorts after ``after``."""
        if self._next_fault(self.read_faults, self.down) != Fault.NONE:
            return _refused()
        with self.tables.lock:
            found = [
                row
                for (name, key), row in sorted(self.tables.rows.items())
                if name == table and key.startswith(prefix) and key > after
            ]
        return Ok(found[:limit])

    def write(self, puts: list[Put]) -> Result[list[int], Refusal]:
        """Apply all writes or none."""
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook()
        fault = self._next_fault(self.write_faults, self.down)
        if fault == Fault.REFUSED:
            return _refused()
        if fault == Fault.REQUEST_LOST:
            return _unknown()
        written = self._apply(puts)
        return _unknown() if fault == Fault.ANSWER_LOST else written

    def get_object(self, key: str) -> Result[bytes | None, Refusal]:
        """Return an object's content, or None if there is none."""
        if self._next_fault(self.object_faults, self.objects_down) != Fault.NONE:
            return _refused()
        return Ok(self.tables.objects.get(key))

    def put_object(self, key: str, content: bytes) -> Result[None, Refusal]:
        """Store an object."""
        fault = self._next_fault(self.object_faults, self.objects_down)
        if fault == Fault.REFUSED:
            return _refused()
        if fault == Fault.REQUEST_LOST:
            return _unknown()
        self.tables.objects[key] = content
        return _unknown() if fault == Fault.ANSWER_LOST else Ok(None)

    def delete_object(self, key: str) -> Result[None, Refusal]:
        """Delete an object."""
        fault = self._next_fault(self.object_faults, self.objects_down)
        if fault == Fault.REFUSED:
            return _refused()
        if fault == Fault.REQUEST_LOST:
            return _unknown()
        self.tables.objects.pop(key, None)
        return _unknown() if fault == Fault.ANSWER_LOST else Ok(None)

    def _apply(self, puts: list[Put]) -> Result[list[int], Refusal]:
        with self.tables.lock:
            rows = self.tables.rows
            current = [rows.get((put.table, put.key)) for put in puts]
            versions = [0 if row is None else row.version for row in current]
            for put, version in zip(puts, versions, strict=True):
                if put.expected_version not in (None, version):
                    return Err(Refusal(Code.VERSION_CONFLICT, f"write: {put.key}"))
            for put, version in zip(puts, versions, strict=True):
                if put.value is None:
                    rows.pop((put.table, put.key), None)
                else:
                    row = Row(put.key, version + 1, put.value)
                    rows[put.table, put.key] = row
        return Ok([version + 1 for version in versions])

    def _next_fault(self, faults: deque[Fault], down: bool) -> Fault:
        if down:
            return Fault.REFUSED
        return faults.popleft() if faults else Fault.NONE


def _refused() -> Err[Refusal]:
    return Err(Refusal(Code.STORE_UNAVAILABLE, "scripted fault"))


def _unknown() -> Err[Refusal]:
    return Err(Refusal(Code.WRITE_UNKNOWN, "scripted fault"))
