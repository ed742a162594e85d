"""Registry of the live entries in the table ``entries``."""

from __future__ import annotations

import json
import threading
from typing import Any

import attrs
import logbook
from result import Err, Ok

from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import EntryAddress
from pollenkeel_kernel.core.settings import make_strict_converter
from pollenkeel_kernel.store.base import Backend, Put, Row

logger = logbook.Logger("entries")

TABLE = "entries"
#: A crashed entry does not delete its row. Other entries delete it once it expired
#: this many multiples of ``entry_ttl`` ago, so that replaced VMs do not fill the table.
_STALE_AFTER_TTLS = 20
_converter = make_strict_converter()


class EntryList:
    """Writes this entry's row and reads the rows of the others.

    Parameters
    ----------
    backend : Backend
        Table service of the platform.
    clock : Clock
        Source of time.
    entry_ttl : float
        Time to live of a row in seconds; the row is rewritten after a third of it.
    own_address : EntryAddress
        Address of this entry; its ``expires_at`` is ignored.
    """

    def __init__(
        self,
        backend: Backend,
        clock: Clock,
        entry_ttl: float,
        own_address: EntryAddress,
    ) -> None:
        self._backend = backend
        self._clock = clock
        self._entry_ttl = entry_ttl
        self._own_address = own_address
        self._lock = threading.Lock()
        self._others: list[EntryAddress] = []
        self._closed = threading.Event()
        self._reachable = True
        self._thread = threading.Thread(target=self._run, name="entries", daemon=True)

    def start(self) -> None:
        """Start the thread that refreshes the list."""
        self._thread.start()

    def close(self) -> None:
        """Stop refreshing and delete this entry's row."""
        self._closed.set()
        if self._thread.is_alive():
            self._thread.join()
        self._backend.write([Put(TABLE, self._own_address.entry_id, None)])

    def live(self) -> list[EntryAddress]:
        """Return this entry and every other entry whose row has not expired."""
        now = self._clock.now()
        own_address = attrs.evolve(self._own_address, expires_at=now + self._entry_ttl)
        with self._lock:
            return [own_address, *(e for e in self._others if e.expires_at > now)]

    def refresh(self) -> None:
        """Write this entry's row, read the other rows and delete stale ones."""
        own_address = attrs.evolve(
            self._own_address, expires_at=self._clock.now() + self._entry_ttl
        )
        value = json.dumps(attrs.asdict(own_address)).encode()
        written = self._backend.write([Put(TABLE, own_address.entry_id, value)])
        rows = self._backend.scan(TABLE, "")
        self._set_reachable(isinstance(written, Ok) and isinstance(rows, Ok))
        if isinstance(rows, Err):
            return
        entries = [(row, _parse(row)) for row in rows.ok_value]
        with self._lock:
            self._others = [
                e
                for _, e in entries
                if e is not None and e.entry_id != own_address.entry_id
            ]
        self._remove_stale_rows(entries)

    def _run(self) -> None:
        while True:
            try:
                self.refresh()
            except Exception:
                logger.exception("entry list refresh failed")
            if self._closed.wait(self._entry_ttl / 3):
                return

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = "entry list refreshed again" if reachable else "entry list is stale"
            log_change(logger, event, entry=self._own_address.entry_id)

    def _remove_stale_rows(
        self, entries: list[tuple[Row, EntryAddress | None]]
    ) -> None:
        limit = self._clock.now() - _STALE_AFTER_TTLS * self._entry_ttl
        for row, entry in entries:
            if entry is not None and entry.expires_at < limit:
                self._backend.write([Put(TABLE, row.key, None, row.version)])


def _parse(row: Row) -> EntryAddress | None:
    try:
        raw: Any = json.loads(row.value)
        return _converter.structure(raw, EntryAddress)
    except Exception:  # skip malformed rows and rows written by another version
        return None
