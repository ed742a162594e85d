"""Registry of the upstreams that announce themselves to this agent."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from urllib.parse import urlsplit

import attrs
import logbook
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Resources, UpstreamStatus
from pollenkeel_kernel.core.refusal import Refusal

logger = logbook.Logger("upstreams")

_PROBE_TIMEOUT_SECONDS = 0.5
#: Largest accepted number of slots, requests or resource units of an upstream. msgpack
#: cannot encode integers beyond 64 bits, so one such value would make every
#: announcement of the agent fail.
_MAX_VALUE = 1_000_000
_MAX_LATENCY_MICROSECONDS = 60_000_000
#: Calls after which the latency histogram is reset.
_WINDOW_CALLS = 1000
#: Minimum calls in a report to the interference controller; the p99 of fewer calls is
#: mostly noise.
_MIN_REPORT_CALLS = 20


@attrs.frozen
class UpstreamAnnouncement:
    """Body of ``POST /v1/upstreams/<service>``.

    ``url`` is the base URL of the upstream; ``slots`` is the number of requests that it
    serves concurrently; ``in_flight`` is the number of requests that it is processing.
    """

    url: str
    slots: int
    in_flight: int = 0
    resources: Resources = attrs.field(factory=Resources)

    def find_fault(self) -> str | None:
        """Return a description of the first invalid value, or None."""
        if not _is_http_url(self.url):
            return f"url: {self.url!r:.80} is not an http URL"
        if not 1 <= self.slots <= _MAX_VALUE:
            return f"slots: {self.slots!s:.40} is not from 1 to {_MAX_VALUE}"
        if not 0 <= self.in_flight <= _MAX_VALUE:
            return f"in_flight: {self.in_flight!s:.40} is not from 0 to {_MAX_VALUE}"
        maximum = Resources(_MAX_VALUE, _MAX_VALUE, _MAX_VALUE)
        if not (
            Resources().fits_in(self.resources) and self.resources.fits_in(maximum)
        ):
            return (
                f"resources: {self.resources!s:.80} "
                f"has a value not from 0 to {_MAX_VALUE}"
            )
        return None


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


@attrs.frozen
class ServiceLatency:
    """Latency of a service's calls since the previous report, and its load.

    ``load`` is the fraction of the slots in use at the time of the report.
    """

    service: str
    p99_seconds: float
    load: float


@attrs.define
class _Upstream:
    """State of one upstream.

    While ``leaving`` is set, announcements for the same URL do not clear it before
    ``leaving_until``. ``latency`` is the histogram for announcements to the entries,
    ``recent`` the one for the next report to the interference controller.
    """

    announcement: UpstreamAnnouncement
    expires_at: float
    leaving_until: float = 0.0
    leaving: bool = False
    expired: bool = False
    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 2)
    )
    recent: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 2)
    )


def refuses_connections(url: str) -> bool:
    """Return whether the upstream refuses a connection, so its process has ended.

    A suspended process still accepts connections and still uses its resources. Other
    errors and time-outs do not show that the process has ended.
    """
    parts = urlsplit(url)
    try:
        with socket.create_connection(
            (parts.hostname or "", parts.port or 80), _PROBE_TIMEOUT_SECONDS
        ):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        return False


class UpstreamRegistry:
    """Upstreams by service; an upstream that stops announcing itself expires.

    Parameters
    ----------
    ledger : Ledger
        Ledger in which the announced slots and resources are recorded.
    clock : Clock
        Source of time.
    ttl : float
        Seconds after which an announcement expires. A hung upstream accepts
        connections but does not announce itself, so this bounds the time for which it
        still receives requests.
    probe : callable
        Returns whether the process that served a URL has ended.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        ttl: float,
        probe: Callable[[str], bool] = refuses_connections,
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._ttl = ttl
        self._probe = probe
        self._lock = threading.Lock()
        self._upstreams_by_service: dict[str, _Upstream] = {}

    def announce(self, service: str, announcement: UpstreamAnnouncement) -> float:
        """Record an announcement and return when it expires.

        Returns
        -------
        float
            Seconds since the Unix epoch.
        """
        now = self._clock.now()
        expires_at = now + self._ttl
        with self._lock:
            upstream = self._upstreams_by_service.get(service)
            reported = (
                announcement.slots,
                announcement.in_flight,
                announcement.resources,
            )
            if upstream is None or upstream.expired:
                upstream = _Upstream(announcement, expires_at)
                self._upstreams_by_service[service] = upstream
                self._ledger.add_upstream(service, *reported)
                log_change(logger, "upstream announced", service=service)
                return expires_at
            # An announcement sent before the upstream was marked as leaving may arrive
            # afterwards, so only a new URL or the end of the TTL counts as a return.
            url_changed = announcement.url != upstream.announcement.url
            if upstream.leaving and (url_changed or upstream.leaving_until <= now):
                upstream.leaving = False
                log_change(logger, "upstream returned", service=service)
            upstream.announcement = announcement
            upstream.expires_at = expires_at
            self._ledger.update_upstream(service, *reported)
            return expires_at

    def mark_leaving(self, service: str) -> bool:
        """Mark an upstream as leaving and return whether it was known."""
        with self._lock:
            upstream = self._upstreams_by_service.get(service)
            if upstream is None:
                return False
            if not upstream.leaving:
                log_change(logger, "upstream leaving", service=service)
            upstream.leaving = True
            upstream.leaving_until = self._clock.now() + self._ttl
            return True

    def find(self, service: str) -> Result[str, Refusal]:
        """Return the URL of the upstream that serves a service.

        Returns
        -------
        Result[str, Refusal]
            ``Code.NO_UPSTREAM`` if there is none or it has expired,
            ``Code.UPSTREAM_LEAVING`` if it is leaving.
        """
        with self._lock:
            upstream = self._upstreams_by_service.get(service)
            if upstream is None or upstream.expires_at <= self._clock.now():
                return Err(Refusal(Code.NO_UPSTREAM, f"service {service!r}"))
            if upstream.leaving:
                return Err(Refusal(Code.UPSTREAM_LEAVING, f"service {service!r}"))
            return Ok(upstream.announcement.url)

    def record_latency(self, service: str, seconds: float) -> None:
        """Record the duration of a completed call."""
        with self._lock:
            upstream = self._upstreams_by_service.get(service)
            if upstream is None:
                return
            if upstream.latency.get_total_count() >= _WINDOW_CALLS:
                upstream.latency.reset()
            value = min(_MAX_LATENCY_MICROSECONDS, max(1, int(seconds * 1e6)))
            upstream.latency.record_value(value)
            upstream.recent.record_value(value)

    def pop_latencies(self) -> list[ServiceLatency]:
        """Return and reset the measurements since the previous report.

        Services with fewer than ``_MIN_REPORT_CALLS`` calls are left out; their calls
        count towards a later report.
        """
        latencies = []
        with self._lock:
            for service, upstream in self._upstreams_by_service.items():
                if upstream.recent.get_total_count() < _MIN_REPORT_CALLS:
                    continue
                p99 = upstream.recent.get_value_at_percentile(99) / 1e6
                upstream.recent.reset()
                slots = upstream.announcement.slots
                load = 1 - self._ledger.free_slots(service) / slots
                latencies.append(ServiceLatency(service, p99, load))
        return latencies

    def remove_expired(self) -> None:
        """Mark expired upstreams and remove those whose process has ended."""
        now = self._clock.now()
        with self._lock:
            expired = {
                service: upstream
                for service, upstream in self._upstreams_by_service.items()
                if upstream.expires_at <= now
            }
            for service, upstream in expired.items():
                if not upstream.expired:
                    upstream.expired = True
                    log_change(logger, "upstream expired", service=service)
        for service, upstream in expired.items():
            if self._probe(upstream.announcement.url):
                self._remove(service, upstream)

    def _remove(self, service: str, upstream: _Upstream) -> None:
        with self._lock:
            if self._upstreams_by_service.get(service) is not upstream:
                return
            if self._ledger.remove_upstream(service):
                del self._upstreams_by_service[service]
                log_change(logger, "upstream removed", service=service)

    def statuses(self) -> list[UpstreamStatus]:
        """Return the unexpired upstreams as announced to the entries."""
        now = self._clock.now()
        with self._lock:
            return [
                UpstreamStatus(
                    service,
                    upstream.announcement.slots,
                    0 if upstream.leaving else self._ledger.free_slots(service),
                    upstream.leaving,
                    upstream.latency.get_value_at_percentile(99) / 1e6,
                )
                for service, upstream in self._upstreams_by_service.items()
                if upstream.expires_at > now
            ]
