"""Configuration, start permit and clock offsets received from the entries."""

from __future__ import annotations

import threading

import attrs
import logbook

from pollenkeel_kernel.config.document import (
    decode_document,
    effective_config,
    find_site,
)
from pollenkeel_kernel.config.model import ServiceConfig
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import AnnounceReply, ConfigSnapshot

logger = logbook.Logger("site")


@attrs.frozen
class ClockOffset:
    """Bounds in seconds on a peer's clock minus this process's clock.

    The true offset lies between the bounds, because the peer read its clock after the
    request was sent and before the reply arrived.
    """

    lowest: float
    highest: float

    @classmethod
    def measure(cls, sent: float, peer_time: float, received: float) -> ClockOffset:
        """Return the bounds that follow from one request and its reply."""
        return cls(peer_time - received, peer_time - sent)

    def exceeds(self, limit: float) -> bool:
        """Return whether the absolute offset is certainly larger than ``limit``."""
        return self.lowest > limit or self.highest < -limit


class SiteState:
    """Configuration, start permit and clock offsets of this data centre (the site).

    The permit allows task starts for a short time; entries extend it with their replies
    unless the data centre is drained.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    clock : Clock
        Source of time.
    max_clock_skew : float
        Largest clock offset to an entry, in seconds, at which tasks may start.
    """

    def __init__(self, data_centre: str, clock: Clock, max_clock_skew: float) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._max_clock_skew = max_clock_skew
        self._lock = threading.Lock()
        self._snapshot: ConfigSnapshot | None = None
        self._permit_until = 0.0
        self._services: dict[str, ServiceConfig] = {}
        self._offsets_by_entry: dict[str, ClockOffset] = {}

    def accept(self, reply: AnnounceReply, sent: float, received: float) -> None:
        """Update the state from an entry's reply to an announcement.

        Parameters
        ----------
        reply : AnnounceReply
            Reply of the entry.
        sent, received : float
            Times at which the announcement was sent and the reply received, on this
            process's clock.
        """
        offset = ClockOffset.measure(sent, reply.sent_at, received)
        with self._lock:
            self._offsets_by_entry[reply.sender] = offset
            if reply.config is not None:
                self._accept_config(reply.config)
            if not self._is_drained() and reply.permit_until > 0:
                # Converted from the entry's clock. The largest possible offset is
                # assumed, so that the permit never ends later here than at the entry.
                permit = reply.permit_until - offset.highest
                self._permit_until = max(self._permit_until, permit)

    def _accept_config(self, config: ConfigSnapshot) -> None:
        if self._snapshot is not None and config.version < self._snapshot.version:
            return
        if self._snapshot is None or config.version > self._snapshot.version:
            log_change(logger, "configuration accepted", version=config.version)
            self._services = self._parse_services(config.body)
        self._snapshot = config
        if self._is_drained():
            if self._permit_until:
                log_change(logger, "data centre drained", version=config.version)
            self._permit_until = 0.0

    def _parse_services(self, body: bytes) -> dict[str, ServiceConfig]:
        """Return this data centre's services; the old ones if ``body`` is invalid."""
        config = decode_document(body).and_then(
            lambda document: effective_config(
                document, find_site(document, self._data_centre)
            )
        )
        return config.map_or(self._services, lambda value: value.services)

    def promised_time(self, service: str) -> float:
        """Return the longest latency that a service promises, in seconds."""
        with self._lock:
            return self._services.get(service, ServiceConfig()).promised_time

    def _is_drained(self) -> bool:
        return self._snapshot is not None and self._data_centre in (
            self._snapshot.drained
        )

    def remove_entry(self, entry_id: str) -> None:
        """Remove the clock offset of an entry that is no longer tracked."""
        with self._lock:
            self._offsets_by_entry.pop(entry_id, None)

    @property
    def config_version(self) -> int:
        """Highest configuration version received; 0 before the first."""
        with self._lock:
            return self._snapshot.version if self._snapshot else 0

    def config_newer_than(self, version: int) -> ConfigSnapshot | None:
        """Return the current configuration if it is newer than ``version``."""
        with self._lock:
            snapshot = self._snapshot
        return snapshot if snapshot and snapshot.version > version else None

    @property
    def permit_until(self) -> float:
        """Time until which tasks may start, on this process's clock; 0 if none."""
        with self._lock:
            return self._permit_until

    def to_local_clock(self, peer: str, peer_time: float, deadline: float) -> float:
        """Convert a peer's deadline to this clock, never to a later point in time.

        Parameters
        ----------
        peer : str
            Id of the process whose clock the deadline is on.
        peer_time : float
            Time at which the peer sent its message, on its own clock.
        deadline : float
            Deadline on the peer's clock.

        Returns
        -------
        float
            The deadline on this clock; earlier if the peer's clock may be ahead.
        """
        with self._lock:
            offset = self._offsets_by_entry.get(peer)
        ahead = peer_time - self._clock.now()
        if offset is not None:
            ahead = max(ahead, offset.highest)
        return deadline - max(0.0, ahead)

    def find_clock_skew(self, peer: str, peer_time: float) -> str | None:
        """Return a description of a clock skew too large for task starts, or None.

        Checks the clock of ``peer`` and the measured offsets to all tracked entries.

        Parameters
        ----------
        peer : str
            Id of the process that ordered the start.
        peer_time : float
            Time at which the peer sent the order, on its own clock. A time in the
            future shows that its clock is ahead.
        """
        limit = self._max_clock_skew
        ahead = peer_time - self._clock.now()
        if ahead > limit:
            return f"clock of {peer} is at least {ahead:.3f} s ahead; limit {limit}"
        with self._lock:
            offsets_by_entry = dict(self._offsets_by_entry)
        for entry_id, offset in offsets_by_entry.items():
            if offset.exceeds(limit):
                return (
                    f"offset to {entry_id} is between {offset.lowest:.3f} and "
                    f"{offset.highest:.3f} s; limit {limit}"
                )
        return None

    def describe(self) -> dict[str, object]:
        """Return the section of the state dump about the data centre."""
        with self._lock:
            return {
                "data_centre": self._data_centre,
                "config_version": self._snapshot.version if self._snapshot else 0,
                "drained": self._is_drained(),
                "permit_until": self._permit_until,
                "offsets_by_entry": dict(self._offsets_by_entry),
            }
