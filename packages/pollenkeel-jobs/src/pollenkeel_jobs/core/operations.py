"""Operator configuration: routes of the queues and drained data centres."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs
import logbook
from result import Err

from pollenkeel_jobs.core.specs import QueuePolicy
from pollenkeel_jobs.core.tables import FailureKind, Row, TableService
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.guard import run_step
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("operations")

#: Longest time that one read of the change feed waits for changes, in seconds. It adds
#: to the time after which a connection that went silent is noticed.
_WATCH_SECONDS = 0.6
_RETRY_SECONDS = 0.2


@attrs.frozen
class QueueRoute:
    """Host and path prefix of the requests that belong to a queue."""

    host: str
    prefix: str
    policy: QueuePolicy


@attrs.frozen
class Operations:
    """Operator configuration in force.

    Attributes
    ----------
    version : int
        Version of the configuration; 0 while none has been read.
    routes : tuple of QueueRoute
        Routes of the queues, longest prefix first.
    closed_zones : frozenset of str
        Zones (data centres) that are drained, so that no tasks are started there.
    services : frozenset of str
        Names of all services.
    """

    version: int = 0
    routes: tuple[QueueRoute, ...] = ()
    closed_zones: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> QueueRoute | None:
        """Return the route that matches a request, or None if there is none."""
        for route in self.routes:
            if route.host == host and path.startswith(route.prefix):
                return route
        return None


class OperationsDecoder(ABC):
    """Decoder for the rows of the operators' table."""

    @abstractmethod
    def decode(self, rows: Iterable[Row], known: Operations) -> Operations:
        """Return the configuration defined by ``rows``.

        The result is never older than ``known``.
        """


class OperationsFeed:
    """Keeps the operator configuration up to date from its table.

    Parameters
    ----------
    table : str
        Name of the table that the operators write to.
    tables : TableService
        Service that stores the table.
    decoder : OperationsDecoder
        Decoder for the rows of the table.
    clock : Clock
        Source of time.

    Attributes
    ----------
    current : Operations
        Configuration in force.
    confirmed_at : float
        Time up to which ``current`` includes every change, in seconds since the Unix
        epoch.
    """

    def __init__(
        self, table: str, tables: TableService, decoder: OperationsDecoder, clock: Clock
    ) -> None:
        self._table = table
        self._tables = tables
        self._decoder = decoder
        self._clock = clock
        self._rows_by_key: dict[str, Row] = {}
        self._has_undecoded_rows = False
        self._after = -1
        self._stop = threading.Event()
        self.current = Operations()
        self.confirmed_at = 0.0

    def run(self, stop: threading.Event) -> None:
        """Follow the table until ``stop`` is set."""
        self._after = -1
        self._stop = stop
        while not stop.is_set():
            if not run_step(self._follow, logger, "operators' table cannot be read"):
                stop.wait(_RETRY_SECONDS)

    def _follow(self) -> None:
        """Read the table, or its next changes, and apply them."""
        began = self._clock.now()
        is_full_read = self._after < 0
        if is_full_read:
            page = self._tables.read_all("", self._table)
        else:
            page = self._tables.watch(self._table, self._after, _WATCH_SECONDS)
        if isinstance(page, Err):
            if page.err_value.kind is FailureKind.HISTORY_GONE:
                self._after = -1
            else:
                self._stop.wait(_RETRY_SECONDS)
            return
        found = page.ok_value
        if is_full_read:
            self._rows_by_key.clear()
        self._apply_rows(found.rows, is_full_read)
        if not self._has_undecoded_rows:
            # An empty reply also confirms that there were no further changes.
            self.confirmed_at = began
        self._after = max(self._after, found.version)

    def _apply_rows(self, rows: Iterable[Row], is_full_read: bool) -> None:
        """Merge rows into the cached table and decode the configuration again."""
        changed = is_full_read
        for row in rows:
            changed = True
            if row.value is None:
                self._rows_by_key.pop(row.key, None)
            else:
                self._rows_by_key[row.key] = row
        if not changed:
            return
        before = self.current
        try:
            self.current = self._decoder.decode(self._rows_by_key.values(), before)
            self._has_undecoded_rows = False
        except Exception:
            # Rows may come from any writer. A data centre may be closed by the changes,
            # so the configuration in force is not confirmed, and no task starts.
            self._has_undecoded_rows = True
            logger.exception("operators' rows cannot be decoded")
        if self.current != before:
            log_change(
                logger,
                "operator configuration changed",
                version=self.current.version,
                closed=sorted(self.current.closed_zones),
            )
