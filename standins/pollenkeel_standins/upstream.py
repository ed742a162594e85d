"""Stand-in of a service's upstream: answers requests and records their executions."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path
from typing import Any

import attrs
import urllib3

from pollenkeel_kernel.core.messages import Resources
from pollenkeel_standins.base import Standin
from pollenkeel_standins.faults import Faults
from pollenkeel_standins.recording import Recorder
from pollenkeel_standins.serving import Answer, DeliveryFault, Request, json_answer

#: Bounds of the pause between two announcements, in seconds.
_MAX_ANNOUNCE_SECONDS = 1.0
_MIN_ANNOUNCE_SECONDS = 0.05
#: Number of announcements within the time in which the first one expires.
_ANNOUNCEMENTS_PER_EXPIRY = 4
_AGENT_TIMEOUT_SECONDS = 1.0
#: Requests that the agent sent before it handled the deregistration can still arrive
#: for this long.
_LEAVE_SETTLE_SECONDS = 0.3


@attrs.frozen
class UpstreamFaults(Faults):
    """Fault switches of an upstream; the counters take effect after the request ran.

    Attributes
    ----------
    truncate : int
        Number of upcoming answers that are cut off after half of the body.
    break_after : int
        Number of upcoming requests whose connection is closed without an answer.
    hang_after : int
        Number of upcoming requests that are never answered.
    mute : bool
        Send no announcements.
    """

    truncate: int = 0
    break_after: int = 0
    hang_after: int = 0
    mute: bool = False


@attrs.frozen
class UpstreamOptions:
    """Options of an upstream.

    Attributes
    ----------
    service : str
        Service that it serves.
    vm : str
        VM on which it runs.
    agent : str
        Base URL of the VM's agent; if empty, the upstream does not register.
    advertise : str
        Base URL to announce if it is not the upstream's own, as behind a relay.
    slots : int
        Number of requests that it can serve concurrently.
    work_ms : float
        Service time in milliseconds of requests without the header ``Work-Ms``.
    resources : Resources
        Resources of the VM that it uses.
    record_file : Path or None
        File that keeps the record when the upstream is killed.
    """

    service: str
    vm: str
    agent: str = ""
    advertise: str = ""
    slots: int = 8
    work_ms: float = 5.0
    resources: Resources = attrs.field(factory=Resources)
    record_file: Path | None = None


class Upstream(Standin):
    """Stand-in of a service's upstream.

    A request may have the headers ``Work-Ms`` (service time), ``Reply-Status`` and
    ``Reply-Bytes`` (size of a generated body). The answer has the headers
    ``Standin-Attempt`` and ``Standin-Vm`` and, unless a size is given, echoes the
    request body, or the method and URI if the body is empty.

    Parameters
    ----------
    options : UpstreamOptions
        Service, size and agent.
    """

    def __init__(self, options: UpstreamOptions) -> None:
        super().__init__(UpstreamFaults())
        self._options = options
        self._recorder = Recorder(options.vm, options.record_file)
        self._agent = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=_AGENT_TIMEOUT_SECONDS)
        )
        self._lock = threading.Lock()
        self._announce_lock = threading.Lock()
        self._in_flight = 0
        self._overloads = 0
        self._left_at = 0.0
        self._failed_announcements = 0

    def start(self, port: int, threads: int) -> str:
        """Start serving and announcing."""
        url = super().start(port, threads)
        if self._options.agent:
            threading.Thread(target=self._announce, args=(url,), daemon=True).start()
        return url

    def shut_down(self) -> None:
        """Deregister, finish the requests in flight and stop."""
        self._deregister()
        self.finish_requests()
        time.sleep(_LEAVE_SETTLE_SECONDS)
        self.finish_requests()
        super().shut_down()

    def can_lose_answer(self, request: Request) -> bool:
        """Return True: every request counts as a write."""
        return True

    def record(self) -> dict[str, Any]:
        """Return the executions and counters.

        ``overloads`` counts the requests that arrived with all slots in use.
        """
        return {
            "vm": self._options.vm,
            "service": self._options.service,
            "slots": self._options.slots,
            "overloads": self._overloads,
            "left_at": self._left_at,
            "failed_announcements": self._failed_announcements,
            "executions": self._recorder.list(),
        }

    def serve(self, request: Request) -> Answer:
        """Wait for the service time of a request and echo it."""
        work = request.headers.get("Work-Ms", self._options.work_ms)
        try:
            seconds = max(0.0, float(work) / 1000)
            status = int(request.headers.get("Reply-Status", "200"))
            size = int(request.headers.get("Reply-Bytes", "-1"))
        except ValueError as error:
            return json_answer({"detail": str(error)}, 400)
        attempt = request.headers.get("Pollenkeel-Attempt", "")
        with self._lock:
            self._in_flight += 1
            overload = self._in_flight > self._options.slots
            self._overloads += overload
        execution = self._recorder.begin(
            attempt,
            key=request.headers.get("Idempotency-Key", ""),
            team=request.headers.get("Pollenkeel-Team", ""),
            method=request.method,
            uri=request.uri,
            overload=overload,
            after_leave=bool(self._left_at),
        )
        time.sleep(seconds)
        self._recorder.finish(execution, "ran")
        with self._lock:
            self._in_flight -= 1
        body = request.body or f"{request.method} {request.uri}".encode()
        if size >= 0:
            body = b"x" * size
        headers = {"Standin-Attempt": attempt, "Standin-Vm": self._options.vm}
        return Answer(status, body, headers, self._choose_delivery_fault())

    def _choose_delivery_fault(self) -> DeliveryFault:
        if self.switches.consume("truncate"):
            return DeliveryFault.TRUNCATE
        if self.switches.consume("break_after"):
            return DeliveryFault.BREAK
        if self.switches.consume("hang_after"):
            return DeliveryFault.HANG
        return DeliveryFault.NONE

    def _announce(self, url: str) -> None:
        pause = _MAX_ANNOUNCE_SECONDS
        while not self._left_at:
            # An announcement that arrives after the deregistration would register the
            # upstream again.
            with self._announce_lock:
                if not self._left_at and not self.switches.current.mute:
                    answer = self._call_agent("POST", self._describe(url))
                    pause = _choose_pause(answer, pause)
            time.sleep(pause)

    def _describe(self, url: str) -> dict[str, Any]:
        return {
            "url": self._options.advertise or url,
            "slots": self._options.slots,
            "in_flight": self._in_flight,
            "resources": attrs.asdict(self._options.resources),
        }

    def _deregister(self) -> None:
        with self._announce_lock:
            self._left_at = self._recorder.now()
            if self._options.agent:
                self._call_agent("DELETE", None)

    def _call_agent(self, method: str, value: Any) -> Any:
        """Return the agent's answer, or None if it failed or did not answer."""
        url = f"{self._options.agent.rstrip('/')}/v1/upstreams/{self._options.service}"
        body = None if value is None else json.dumps(value).encode()
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = self._agent.request(method, url, body=body, headers=headers)
            if response.status < 300:
                return response.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            pass
        self._failed_announcements += 1
        return None


def _choose_pause(answer: Any, pause: float) -> float:
    """Return the pause until the next announcement, in seconds.

    It is short enough to renew an announcement several times before it expires.
    """
    if not isinstance(answer, dict) or "expires_at" not in answer:
        return pause
    remaining = answer["expires_at"] - time.time()
    interval = remaining / _ANNOUNCEMENTS_PER_EXPIRY
    return float(min(_MAX_ANNOUNCE_SECONDS, max(_MIN_ANNOUNCE_SECONDS, interval)))
