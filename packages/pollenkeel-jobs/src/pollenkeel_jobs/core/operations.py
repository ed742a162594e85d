"""What operators have ordered: configuration and data centres taken out."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs
import logbook
from result import Err

from pollenkeel_jobs.core.model import QueuePolicy
from pollenkeel_jobs.core.tables import FailureKind, Row, TableService
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("operations")

#: Longest wait of one call to the feed, in seconds.
_FEED_SECONDS = 1.5
_RETRY_SECONDS = 0.2


@attrs.frozen
class QueueRoute:
    """Requests that belong to a queue."""

    host: str
    prefix: str
    policy: QueuePolicy


@attrs.frozen
class Operations:
    """Orders in force.

    Attributes
    ----------
    version : int
        Version of the configuration; 0 before the first.
    routes : tuple of QueueRoute
        Routes, the longest prefix first.
    closed_zones : frozenset of str
        Data centres that take no new tasks.
    """

    version: int = 0
    routes: tuple[QueueRoute, ...] = ()
    closed_zones: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> QueueRoute | None:
        """Return the route of a request, or None if no queue takes it."""
        for route in self.routes:
            if route.host == host and path.startswith(route.prefix):
                return route
        return None


class OperationsDecoder(ABC):
    """Translates the operators' rows."""

    @abstractmethod
    def decode(self, rows: Iterable[Row], known: Operations) -> Operations:
        """Return the orders in force after all of ``rows``.

        The configuration never goes back to a version before ``known``.
        """


class OperationsFeed:
    """Follows the operators' table.

    Parameters
    ----------
    table : str
        Table that the operators write to.
    tables : TableService
        Where it lives.
    decoder : OperationsDecoder
        Translation of its rows.
    clock : Clock
        Source of time.

    Attributes
    ----------
    current : Operations
        Orders in force.
    confirmed_at : float
        Time up to which no change can be missing, in seconds since the Unix epoch.
    """

    def __init__(
        self, table: str, tables: TableService, decoder: OperationsDecoder, clock: Clock
    ) -> None:
        self._table = table
        self._tables = tables
        self._decoder = decoder
        self._clock = clock
        self._rows_by_key: dict[str, Row] = {}
        self.current = Operations()
        self.confirmed_at = 0.0

    def run(self, stop: threading.Event) -> None:
        """Follow the table until ``stop`` is set."""
        after = -1
        while not stop.is_set():
            began = self._clock.now()
            if after < 0:
                page = self._tables.read_all("", self._table)
            else:
                page = self._tables.watch(self._table, after, _FEED_SECONDS)
            if isinstance(page, Err):
                if page.err_value.kind is FailureKind.HISTORY_GONE:
                    after = -1
                else:
                    stop.wait(_RETRY_SECONDS)
                continue
            found = page.ok_value
            if after < 0:
                self._rows_by_key.clear()
            self._take(found.rows, after < 0)
            # A feed without changes says that there were none when it was answered.
            self.confirmed_at = began
            after = max(after, found.version)

    def _take(self, rows: Iterable[Row], whole: bool) -> None:
        changed = whole
        for row in rows:
            changed = True
            if row.value is None:
                self._rows_by_key.pop(row.key, None)
            else:
                self._rows_by_key[row.key] = row
        if not changed:
            return
        before = self.current
        self.current = self._decoder.decode(self._rows_by_key.values(), before)
        if self.current != before:
            log_change(
                logger,
                "operators' orders changed",
                version=self.current.version,
                closed=sorted(self.current.closed_zones),
            )
