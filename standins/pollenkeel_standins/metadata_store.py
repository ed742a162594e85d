"""Stand-in of the platform's metadata store: versioned rows and a change feed."""

from __future__ import annotations

import base64
import threading
import time
from typing import Any

import attrs

from pollenkeel_standins.base import Standin, parse_json
from pollenkeel_standins.faults import Faults
from pollenkeel_standins.serving import Answer, DeliveryFault, Request, json_answer

_PAGE_ROWS = 500
#: Largest value of a row in bytes; a transaction with a larger one gets 400.
MAX_ROW_BYTES = 64 * 1024
_Key = tuple[str, str, str]


@attrs.frozen
class StoreFaults(Faults):
    """Fault switches of the metadata store.

    Attributes
    ----------
    late_writes : int
        Number of upcoming transactions that get no answer and are applied later, if
        their conditions still hold then.
    late_by : float
        Delay of these transactions in seconds.
    lost_feeds : int
        Number of upcoming feed requests that are answered 410 (history not available).
    """

    late_writes: int = 0
    late_by: float = 2.0
    lost_feeds: int = 0


@attrs.define
class _StoredRow:
    value: str | None
    version: int


class MetadataStore(Standin):
    """Versioned rows; ``POST /operator`` writes a row as the operators do.

    The version of the store increases with each transaction, and becomes the version of
    the rows that it writes. Deleted rows are kept without a value for the change feed.
    """

    def __init__(self) -> None:
        super().__init__(StoreFaults())
        self._condition = threading.Condition()
        self._rows_by_key: dict[_Key, _StoredRow] = {}
        self._version = 0
        self._transactions = 0
        self._conflicts = 0
        self._oversized = 0

    def record(self) -> dict[str, Any]:
        """Return the number of transactions, conflicts and rows that were too large."""
        return {
            "transactions": self._transactions,
            "conflicts": self._conflicts,
            "oversized": self._oversized,
        }

    def can_lose_answer(self, request: Request) -> bool:
        """Return whether the switch ``lose_answers`` applies to a request."""
        return request.path[-1] == "rows-tx"

    def serve(self, request: Request) -> Answer:
        """Handle a request of the store's interface."""
        call = request.path[-1]
        if call == "operator":
            return self._write_operator(parse_json(request.body) or {})
        if call == "rows-tx":
            body = parse_json(request.body) or {}
            if self.switches.consume("late_writes"):
                late_by = self.switches.current.late_by
                threading.Timer(late_by, self._transact, (body,)).start()
                return Answer(503, cut=DeliveryFault.BREAK)
            return self._transact(body)
        if call == "rows-get":
            return self._read(request.query)
        if call == "rows-feed" and self.switches.consume("lost_feeds"):
            return json_answer({}, 410)
        if call == "rows-feed":
            return self._watch(request.query)
        return json_answer({}, 404)

    def _write_operator(self, body: dict[str, Any]) -> Answer:
        value = body.get("value")
        text = None if value is None else base64.b64encode(value.encode()).decode()
        with self._condition:
            self._version += 1
            key = ("op", "", str(body["key"]))
            self._rows_by_key[key] = _StoredRow(text, self._version)
            self._condition.notify_all()
        return json_answer({"Ver": self._version})

    def _transact(self, body: dict[str, Any]) -> Answer:
        values = [base64.b64decode(row["Value"]) for row in body.get("Puts", [])]
        if any(len(value) > MAX_ROW_BYTES for value in values):
            self._oversized += 1
            return json_answer({}, 400)
        with self._condition:
            conditions = body.get("ExpectedRev", [])
            if any(self._get_version(row) != row["Ver"] for row in conditions):
                self._conflicts += 1
                rows = [
                    self._describe(_get_key(row))
                    for row in conditions
                    if self._get_version(row)
                ]
                return json_answer({"rows": rows, "Ver": self._version}, 412)
            self._version += 1
            self._transactions += 1
            for row in body.get("Puts", []):
                stored = _StoredRow(row["Value"], self._version)
                self._rows_by_key[_get_key(row)] = stored
            for row in body.get("Remove", []):
                self._rows_by_key[_get_key(row)] = _StoredRow(None, self._version)
            self._condition.notify_all()
            return json_answer({"Ver": self._version, "NowMs": _now_ms()})

    def _read(self, query: dict[str, str]) -> Answer:
        with self._condition:
            keys = sorted(
                key
                for key, row in self._rows_by_key.items()
                if key[0] == query["Table"]
                and key[1] == query.get("part", "")
                and key[2] >= query.get("From", "")
                and (not query.get("To") or key[2] < query["To"])
                and row.value is not None
            )
            body = {
                "rows": [self._describe(key) for key in keys[:_PAGE_ROWS]],
                "HasMore": len(keys) > _PAGE_ROWS,
                "Ver": self._version,
                "NowMs": _now_ms(),
            }
            return json_answer(body)

    def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query["After"])
        ends_at = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self._condition:
            while True:
                changed = [
                    (row.version, key)
                    for key, row in self._rows_by_key.items()
                    if key[0] == query["Table"] and row.version > after
                ]
                remaining = ends_at - time.monotonic()
                if changed or remaining <= 0:
                    break
                self._condition.wait(remaining)
            rows = [self._describe(key) for _, key in sorted(changed)]
            return json_answer({"rows": rows, "Ver": self._version})

    def _get_version(self, row: dict[str, Any]) -> int:
        stored = self._rows_by_key.get(_get_key(row))
        return stored.version if stored and stored.value is not None else 0

    def _describe(self, key: _Key) -> dict[str, Any]:
        row = self._rows_by_key[key]
        fields = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": row.version}
        if row.value is None:
            return {**fields, "Deleted": True}
        return {**fields, "Value": row.value}


def _get_key(row: dict[str, Any]) -> _Key:
    return row["Table"], row.get("part", ""), row["Key"]


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
