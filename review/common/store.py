"""Stand-in of the platform's metadata store, as described in PROTOCOL.md.

It keeps tables of versioned rows. ``POST /control/operator`` writes a row as the
operator does, and ``POST /control/mode`` switches the store between answering and
refusing all calls.
"""

from __future__ import annotations

import base64
import json
import sys
import threading
import time
from typing import Any

from http_server import JsonServer, Request

_PAGE_ROWS = 500
_MAX_ENTRIES = 100
_MAX_CALL_BYTES = 1_000_000
_ROW_BYTES = 65_536
_TRANSACTION_SECONDS = 0.005
_OPERATOR_TABLES = ("op", "servers")

_RowKey = tuple[str, str, str]


class Store:
    """Rows by table, part and key; ``None`` marks a dropped row."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._rows: dict[_RowKey, tuple[str | None, int]] = {}
        self._version = 0
        self._part_locks: dict[str, threading.Lock] = {}
        self._busy = False
        self.refused_rows = 0

    def handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Return status and body of the answer to a request."""
        path = request.path
        if path == "/control/operator":
            return self._write_operator(request.body)
        if path == "/control/mode":
            self._busy = bool(request.body["busy"])
            return 200, {}
        if path == "/control/counts":
            return 200, {"refused_rows": self.refused_rows}
        if self._busy:
            return 503, {}
        if path == "/api/rows-tx":
            return self._transact(request)
        if path == "/api/rows-get":
            return self._read(request.query)
        if path == "/api/rows-feed":
            return self._watch(request.query)
        return 404, {}

    def _write_operator(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        value = body["value"]
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._put([(("op", "", str(body["key"])), text)])
        return 200, {}

    def _transact(self, request: Request) -> tuple[int, dict[str, Any]]:
        body = request.body
        conditions = body.get("ExpectedRev") or []
        puts = body.get("Puts") or []
        removals = body.get("Remove") or []
        rows = [*conditions, *puts, *removals]
        if len(rows) > _MAX_ENTRIES or request.size > _MAX_CALL_BYTES:
            return 400, {}
        if any(len(base64.b64decode(row["Value"])) > _ROW_BYTES for row in puts):
            self.refused_rows += 1
            return 400, {}
        if any(row["Table"] in _OPERATOR_TABLES for row in [*puts, *removals]):
            return 403, {}
        parts = {row.get("part", "") for row in rows}
        if len(parts) != 1:
            return 400, {}
        with self._changed:
            lock = self._part_locks.setdefault(parts.pop(), threading.Lock())
        with lock:
            time.sleep(_TRANSACTION_SECONDS)
            with self._changed:
                if any(self._version_of(row) != row["Ver"] for row in conditions):
                    current = [
                        self._describe(_key_of(row))
                        for row in conditions
                        if self._version_of(row)
                    ]
                    return 412, {"rows": current, **self._now()}
                changes = [(_key_of(row), row["Value"]) for row in puts]
                self._put([*changes, *((_key_of(row), None) for row in removals)])
                return 200, self._now()

    def _put(self, changes: list[tuple[_RowKey, str | None]]) -> None:
        self._version += 1
        for key, value in changes:
            self._rows[key] = (value, self._version)
        self._changed.notify_all()

    def _read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        limit = min(int(query.get("Limit", _PAGE_ROWS)), _PAGE_ROWS)
        with self._changed:
            keys = sorted(
                key
                for key, (value, _) in self._rows.items()
                if key[:2] == (query["Table"], query.get("part", ""))
                and value is not None
                and key[2] >= query.get("From", "")
                and ("To" not in query or key[2] < query["To"])
            )
            rows: list[dict[str, Any]] = []
            size = 0
            for key in keys[:limit]:
                row = self._describe(key)
                size += len(row["Value"])
                if rows and size > _MAX_CALL_BYTES:
                    break
                rows.append(row)
            more = len(rows) < len(keys)
            return 200, {"rows": rows, "HasMore": more, **self._now()}

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["After"])
        ends_at = time.monotonic() + min(int(query.get("WaitMs", 0)), 30_000) / 1000
        with self._changed:
            while True:
                changed = sorted(
                    (version, key)
                    for key, (_, version) in self._rows.items()
                    if key[0] == query["Table"] and version > after
                )
                left = ends_at - time.monotonic()
                if changed or left <= 0 or self._busy:
                    break
                self._changed.wait(left)
            rows = [self._describe(key) for _, key in changed]
            return 200, {"rows": rows, **self._now()}

    def _version_of(self, row: dict[str, Any]) -> int:
        value, version = self._rows.get(_key_of(row), (None, 0))
        return 0 if value is None else version

    def _describe(self, key: _RowKey) -> dict[str, Any]:
        value, version = self._rows[key]
        row: dict[str, Any] = dict(
            zip(("Table", "part", "Key"), key, strict=True), Ver=version
        )
        return {**row, **({"Deleted": True} if value is None else {"Value": value})}

    def _now(self) -> dict[str, int]:
        return {"Ver": self._version, "NowMs": int(time.monotonic() * 1000)}


def _key_of(row: dict[str, Any]) -> _RowKey:
    return row["Table"], row.get("part", ""), row["Key"]


if __name__ == "__main__":
    JsonServer(int(sys.argv[1]), Store().handle).serve_forever()
