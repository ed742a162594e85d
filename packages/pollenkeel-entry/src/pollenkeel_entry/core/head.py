"""Watcher of the configuration head.

The head is the row of the store that names the accepted configuration version, the
object with its body, and the drained data centres.
"""

from __future__ import annotations

import threading

import attrs
import logbook
from prometheus_client import Gauge
from result import Err

from pollenkeel_entry.core.config_source import ConfigSource
from pollenkeel_kernel.config.document import (
    decode_document,
    effective_config,
    find_site,
    hash_body,
)
from pollenkeel_kernel.config.head import Head, read_head
from pollenkeel_kernel.config.model import ClusterConfig
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import ConfigSnapshot
from pollenkeel_kernel.core.metrics import REGISTRY
from pollenkeel_kernel.core.settings import EntrySettings
from pollenkeel_kernel.store.base import Backend

logger = logbook.Logger("config")

_JOIN_TIMEOUT_SECONDS = 5.0

CONFIG_VERSION = Gauge(
    "pollenkeel_config_version",
    "Version of the configuration in force at this entry.",
    registry=REGISTRY,
)
HEAD_READ_AT = Gauge(
    "pollenkeel_head_read_at_seconds",
    "Start of the last read of the head that renewed the permits, since the epoch.",
    registry=REGISTRY,
)


@attrs.frozen
class _LoadedConfig:
    """A snapshot and the configuration derived from it for this entry's site."""

    snapshot: ConfigSnapshot
    config: ClusterConfig


@attrs.frozen
class _State:
    """State seen by readers; each change replaces the whole object.

    Attributes
    ----------
    head : Head or None
        Last head read from the store.
    loaded : _LoadedConfig or None
        Newest configuration whose body was loaded, from the store or from a peer.
    drained : frozenset of str
        Drained data centres.
    active : frozenset of str
        Data centres whose tasks may start until ``permit_until``.
    permit_until : float
        End of the start permits, in seconds since the Unix epoch.
    """

    head: Head | None = None
    loaded: _LoadedConfig | None = None
    drained: frozenset[str] = frozenset()
    active: frozenset[str] = frozenset()
    permit_until: float = 0.0

    @property
    def version(self) -> int:
        """Highest version seen, even if its body has not been loaded."""
        head_version = self.head.version if self.head else 0
        loaded = self.loaded.snapshot.version if self.loaded else 0
        return max(head_version, loaded)


class HeadWatcher(ConfigSource):
    """Polls the head row in a background thread.

    The state is one immutable object, so that readers need no lock. Requests,
    heartbeats and shards read it many times a second; with a shared lock, one preempted
    thread would delay all of them.

    Parameters
    ----------
    settings : EntrySettings
        Data centre of the entry, ``head_interval`` and ``permit_ttl``.
    clock : Clock
        Source of time for permits.
    backend : Backend
        Table service and object store.
    """

    def __init__(self, settings: EntrySettings, clock: Clock, backend: Backend) -> None:
        self._settings = settings
        self._clock = clock
        self._backend = backend
        self._changed = threading.Condition()
        self._state = _State()
        self._reachable: bool | None = None
        self._unusable_version = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="head", daemon=True)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the polling thread; the last state can still be read."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join(_JOIN_TIMEOUT_SECONDS)

    def snapshot(self) -> ConfigSnapshot | None:
        """Return the newest loaded configuration, or None before the first."""
        loaded = self._state.loaded
        return loaded.snapshot if loaded else None

    def effective(self) -> ClusterConfig | None:
        """Return the configuration in force at this entry's site, or None."""
        loaded = self._state.loaded
        return loaded.config if loaded else None

    def drained(self) -> frozenset[str]:
        """Return the names of the drained data centres."""
        return self._state.drained

    def permit_until(self, data_centre: str) -> float:
        """Return the time until which tasks may start in a data centre; 0 if never.

        The data centre must be active both in the last head read and in the newest
        loaded version, which a peer may have sent since.
        """
        state = self._state
        return state.permit_until if data_centre in state.active else 0.0

    def offer(self, snapshot: ConfigSnapshot) -> bool:
        """Load a snapshot from a peer if it is newer than every version seen here.

        Returns
        -------
        bool
            Whether the snapshot is now in force here.
        """
        with self._changed:
            if snapshot.version < self._state.version or not self._is_newer(snapshot):
                return False
        return self._load(snapshot, "peer")

    def wait_for(self, version: int, timeout: float) -> bool:
        """Wait until a version is in force here; return False after a timeout.

        Parameters
        ----------
        version : int
            Lowest version to wait for.
        timeout : float
            Longest wait in seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: (
                    self._state.loaded is not None
                    and self._state.loaded.snapshot.version >= version
                ),
                timeout,
            )

    def read_once(self) -> None:
        """Read the head, renew the permits and load the body of a newer version."""
        started_at = self._clock.now()
        read = read_head(self._backend)
        if isinstance(read, Err):
            self._report_reachable(False, str(read.err_value))
            return
        self._report_reachable(True, "")
        head = read.ok_value.head
        with self._changed:
            if head.version == 0 or head.version < self._state.version:
                return
            # The permit runs from the start of the read, because a drain may have
            # been accepted at any time after that.
            until = started_at + self._settings.timing.permit_ttl
            self._state = _make_state(head, self._state.loaded, until)
        HEAD_READ_AT.set(started_at)
        self._load_body(head)

    def _run(self) -> None:
        while not self._stop.is_set():
            started_at = self._clock.now()
            try:
                self.read_once()
            except Exception as error:  # keep polling after unexpected errors
                logger.exception(f"reading the configuration head failed: {error}")
            elapsed = self._clock.now() - started_at
            self._stop.wait(max(0.0, self._settings.timing.head_interval - elapsed))

    def _is_newer(self, snapshot: ConfigSnapshot) -> bool:
        loaded = self._state.loaded
        return loaded is None or snapshot.version > loaded.snapshot.version

    def _load_body(self, head: Head) -> None:
        """Load the body that the head names; an unchanged body is not fetched again."""
        current = self.snapshot()
        if current is not None and current.version >= head.version:
            return
        digest = head.object_key.rpartition("-")[2]
        if current is not None and hash_body(current.body) == digest:
            body = current.body
        else:
            read = self._backend.get_object(head.object_key)
            if isinstance(read, Err):
                return
            body = read.ok_value or b""
        if hash_body(body) != digest:
            self._report_unusable(head.version, "the body does not match its hash")
            return
        self._load(ConfigSnapshot(head.version, list(head.drained), body), "store")

    def _load(self, snapshot: ConfigSnapshot, source: str) -> bool:
        document = decode_document(snapshot.body)
        if isinstance(document, Err):
            self._report_unusable(snapshot.version, str(document.err_value))
            return False
        site = find_site(document.ok_value, self._settings.data_centre)
        config = effective_config(document.ok_value, site)
        if isinstance(config, Err):
            self._report_unusable(snapshot.version, str(config.err_value))
            return False
        return self._install(_LoadedConfig(snapshot, config.ok_value), source)

    def _install(self, loaded: _LoadedConfig, source: str) -> bool:
        """Put a configuration in force unless a newer one already is."""
        snapshot = loaded.snapshot
        with self._changed:
            if not self._is_newer(snapshot):
                return False
            state = self._state
            self._state = _make_state(state.head, loaded, state.permit_until)
            CONFIG_VERSION.set(snapshot.version)
            self._changed.notify_all()
        log_change(
            logger,
            "configuration in force",
            version=snapshot.version,
            drained=snapshot.drained,
            source=source,
        )
        return True

    def _report_reachable(self, reachable: bool, detail: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = "store reachable" if reachable else "store unreachable"
        log_change(logger, event, detail=detail)

    def _report_unusable(self, version: int, detail: str) -> None:
        if version == self._unusable_version:
            return
        self._unusable_version = version
        log_change(logger, "configuration unusable", version=version, detail=detail)


def _make_state(
    head: Head | None, loaded: _LoadedConfig | None, permit_until: float
) -> _State:
    """Combine the last head with the loaded configuration.

    The drained data centres are those of the newer one. A data centre is active if it
    is in the head and neither of them drains it.
    """
    snapshot = loaded.snapshot if loaded else None
    if head and (snapshot is None or head.version >= snapshot.version):
        drained = frozenset(head.drained)
    else:
        drained = frozenset(snapshot.drained) if snapshot else frozenset()
    active = frozenset(head.data_centres) - {*head.drained} - drained if head else ()
    return _State(head, loaded, drained, frozenset(active), permit_until)
