"""Stand-in of the platform's table service and object store, kept in memory."""

from __future__ import annotations

import base64
import bisect
import threading
import time
from collections import Counter, deque
from typing import Any

import attrs
import cattrs

from pollenkeel_kernel.core.settings import make_strict_converter
from pollenkeel_standins.base import Standin, parse_json
from pollenkeel_standins.faults import Faults
from pollenkeel_standins.serving import Answer, Request, json_answer

_MAX_VALUE_BYTES = 64 * 1024
_MAX_TRANSACTION_ROWS = 1000
_MAX_RECORDED_WRITES = 100_000
_CONVERTER = make_strict_converter()


@attrs.frozen
class PlatformOptions:
    """Rate limits and latency.

    The limits are in operations per second, 0 for none; ``latency`` is in seconds and
    is added to each request.
    """

    writes_per_second: float = 0.0
    reads_per_second: float = 0.0
    latency: float = 0.0


@attrs.frozen
class Write:
    """One write of a transaction as received; ``value`` is in base64, None deletes."""

    table: str
    key: str
    value: str | None
    expected_version: int | None = None

    @property
    def content(self) -> bytes | None:
        """The decoded value, None for a deletion."""
        if self.value is None:
            return None
        return base64.b64decode(self.value, validate=True)


@attrs.frozen
class _Body:
    writes: list[Write]


class RateLimit:
    """Token bucket with a capacity of one second of operations.

    Parameters
    ----------
    rate : float
        Operations per second; 0 means no limit.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._filled_at = time.monotonic()
        self._lock = threading.Lock()

    def try_acquire(self, count: int) -> bool:
        """Take ``count`` tokens and return whether there were enough.

        A transaction larger than the bucket needs only a full bucket and leaves a
        negative balance; otherwise it would be rejected for ever.
        """
        if self._rate <= 0:
            return True
        with self._lock:
            now = time.monotonic()
            self._tokens += (now - self._filled_at) * self._rate
            self._tokens = min(self._tokens, self._rate)
            self._filled_at = now
            if self._tokens < min(count, self._rate):
                return False
            self._tokens -= count
            return True


class Table:
    """Rows of one table, sorted by key."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, tuple[int, bytes]] = {}
        self._keys: list[str] = []

    def version(self, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        return self.rows_by_key.get(key, (0, b""))[0]

    def write(self, key: str, content: bytes | None) -> int:
        """Write or delete a row and return its new version, 0 after a deletion."""
        version = self.version(key)
        if content is None:
            if version:
                del self.rows_by_key[key]
                del self._keys[bisect.bisect_left(self._keys, key)]
            return 0
        if not version:
            bisect.insort(self._keys, key)
        self.rows_by_key[key] = (version + 1, content)
        return version + 1

    def scan(self, prefix: str, after: str, limit: int) -> list[str]:
        """Return up to ``limit`` keys after ``after`` that start with ``prefix``."""
        start = bisect.bisect_left(self._keys, prefix)
        if after >= prefix:
            start = bisect.bisect_right(self._keys, after)
        found = self._keys[start : start + limit]
        return [key for key in found if key.startswith(prefix)]


class Platform(Standin):
    """Stand-in of the platform's table service and object store.

    Parameters
    ----------
    options : PlatformOptions
        Limits and latency.
    """

    def __init__(self, options: PlatformOptions) -> None:
        super().__init__(Faults())
        self._options = options
        self._lock = threading.Lock()
        self._tables_by_name: dict[str, Table] = {}
        self._objects_by_key: dict[str, bytes] = {}
        self._write_limit = RateLimit(options.writes_per_second)
        self._read_limit = RateLimit(options.reads_per_second)
        self._count_by_operation: Counter[str] = Counter()
        self._recorded_writes: deque[dict[str, Any]] = deque(
            maxlen=_MAX_RECORDED_WRITES
        )

    def record(self) -> dict[str, Any]:
        """Return the counts of operations and the latest writes that took effect."""
        with self._lock:
            return {
                "counts": dict(self._count_by_operation),
                "writes": list(self._recorded_writes),
            }

    def serve(self, request: Request) -> Answer:
        """Handle a read or write."""
        time.sleep(self._options.latency)
        match request.method, request.path:
            case "GET", ["tables", table, "rows", key]:
                return self._limited_read(lambda: self._get(table, key))
            case "GET", ["tables", table, "rows"]:
                return self._limited_read(lambda: self._scan(table, request.query))
            case "POST", ["transactions"]:
                return self._transact(request.body)
            case "GET", ["objects", key]:
                return self._limited_read(lambda: self._get_object(key))
            case "PUT", ["objects", key]:
                return self._put_object(key, request.body)
            case "DELETE", ["objects", key]:
                return self._delete_object(key)
        return json_answer({"detail": "no such path"}, 400)

    def _limited_read(self, read: Any) -> Answer:
        allowed = self._read_limit.try_acquire(1)
        with self._lock:
            self._count_by_operation["reads" if allowed else "reads_refused"] += 1
            answer: Answer = read() if allowed else _rate_limit_answer()
        return answer

    def _get(self, table: str, key: str) -> Answer:
        row = self._table(table).rows_by_key.get(key)
        if row is None:
            return json_answer({"detail": "no such row"}, 404)
        return json_answer(_describe_row(key, row))

    def _scan(self, table: str, query: dict[str, str]) -> Answer:
        limit = query.get("limit", "1000")
        if not limit.isdecimal():
            return json_answer({"detail": f"limit {limit!r} is not a number"}, 400)
        rows = self._table(table)
        keys = rows.scan(query.get("prefix", ""), query.get("after", ""), int(limit))
        return json_answer(
            {"rows": [_describe_row(key, rows.rows_by_key[key]) for key in keys]}
        )

    def _get_object(self, key: str) -> Answer:
        content = self._objects_by_key.get(key)
        if content is None:
            return json_answer({"detail": "no such object"}, 404)
        return Answer(200, content, {"Content-Type": "application/octet-stream"})

    def _put_object(self, key: str, content: bytes) -> Answer:
        allowed = self._write_limit.try_acquire(1)
        with self._lock:
            if not allowed:
                self._count_by_operation["writes_refused"] += 1
                return _rate_limit_answer()
            self._objects_by_key[key] = content
            self._record_write("objects", key, 1)
        return json_answer({})

    def _delete_object(self, key: str) -> Answer:
        allowed = self._write_limit.try_acquire(1)
        with self._lock:
            if not allowed:
                self._count_by_operation["writes_refused"] += 1
                return _rate_limit_answer()
            if self._objects_by_key.pop(key, None) is None:
                return json_answer({"detail": "no such object"}, 404)
            self._record_write("objects", key, 0)
        return json_answer({})

    def _transact(self, body: bytes) -> Answer:
        try:
            writes = _CONVERTER.structure(parse_json(body), _Body).writes
            contents = [write.content for write in writes]
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            return json_answer({"detail": f"malformed: {error}"}, 400)
        if len({(write.table, write.key) for write in writes}) != len(writes):
            return json_answer({"detail": "two writes of one row"}, 400)
        if len(writes) > _MAX_TRANSACTION_ROWS or any(
            len(content or b"") > _MAX_VALUE_BYTES for content in contents
        ):
            return json_answer({"detail": "too large"}, 413)
        allowed = self._write_limit.try_acquire(len(writes))
        with self._lock:
            if not allowed:
                self._count_by_operation["writes_refused"] += len(writes)
                return _rate_limit_answer()
            return self._apply(writes, contents)

    def _apply(self, writes: list[Write], contents: list[bytes | None]) -> Answer:
        for write in writes:
            found = self._table(write.table).version(write.key)
            if write.expected_version not in (None, found):
                self._count_by_operation["conflicts"] += 1
                detail = f"{write.table}/{write.key} has version {found}"
                return json_answer({"detail": detail}, 409)
        versions = []
        for write, content in zip(writes, contents, strict=True):
            version = self._table(write.table).write(write.key, content)
            self._record_write(write.table, write.key, version)
            versions.append(version)
        self._count_by_operation["transactions"] += 1
        return json_answer({"versions": versions})

    def _record_write(self, table: str, key: str, version: int) -> None:
        self._count_by_operation["writes"] += 1
        self._recorded_writes.append(
            {"at": time.time(), "table": table, "key": key, "version": version}
        )

    def _table(self, name: str) -> Table:
        return self._tables_by_name.setdefault(name, Table())


def _rate_limit_answer() -> Answer:
    return json_answer({"detail": "rate limit"}, 429)


def _describe_row(key: str, row: tuple[int, bytes]) -> dict[str, Any]:
    version, content = row
    value = base64.b64encode(content).decode()
    return {"key": key, "version": version, "value": value}
