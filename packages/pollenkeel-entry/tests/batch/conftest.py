"""In-memory table service and object store with injected faults."""

import pytest
from result import Err, Ok

from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.store.base import Backend, Row


class MemoryBackend(Backend):
    """Backend in memory.

    While ``down`` is set, calls of the table service fail. ``lost_answers`` is the
    number of coming writes that take effect but whose reply is lost.
    """

    def __init__(self, settings=None):
        self.rows, self.objects, self.versions = {}, {}, {}
        self.down = False
        self.lost_answers = 0

    def get(self, table, key):
        if self.down:
            return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
        return Ok(self.rows.get((table, key)))

    def scan(self, table, prefix, after="", limit=1000):
        if self.down:
            return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
        keys = sorted(k for t, k in self.rows if t == table and k.startswith(prefix))
        return Ok([self.rows[table, k] for k in keys if k > after][:limit])

    def write(self, puts):
        if self.down:
            return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
        for put in puts:
            row = self.rows.get((put.table, put.key))
            version = row.version if row else 0
            if put.expected_version not in (None, version):
                return Err(Refusal(Code.VERSION_CONFLICT, put.key))
        versions = [self._put(put) for put in puts]
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(Refusal(Code.WRITE_UNKNOWN, "answer lost"))
        return Ok(versions)

    def _put(self, put):
        row_id = (put.table, put.key)
        version = self.versions[row_id] = self.versions.get(row_id, 0) + 1
        self.rows.pop(row_id, None)
        if put.value is not None:
            assert len(put.value) <= 65536
            self.rows[row_id] = Row(put.key, version, put.value)
        return version

    def get_object(self, key):
        return Ok(self.objects.get(key))

    def put_object(self, key, content):
        self.objects[key] = content
        return Ok(None)

    def delete_object(self, key):
        self.objects.pop(key, None)
        return Ok(None)


@pytest.fixture
def backend():
    return MemoryBackend()


@pytest.fixture
def clock():
    return ManualClock()
