"""Role ``agent`` of the daemon ``pollenkeeld``."""

from __future__ import annotations

import threading
import time
import uuid
from typing import Any

import logbook

from pollenkeel_agent.core.announcer import Announcer
from pollenkeel_agent.core.attempts import AttemptTable
from pollenkeel_agent.core.dispatch import DispatchHandler
from pollenkeel_agent.core.interference import InterferenceLoop
from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.site import SiteState
from pollenkeel_agent.core.tasks import TaskHandler
from pollenkeel_agent.core.upstream_api import APPLICATION_CONFIG, AgentApi
from pollenkeel_agent.core.upstreams import UpstreamRegistry
from pollenkeel_agent.core.worker import WorkerClient
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import HttpServer
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import (
    Announce,
    Dispatch,
    ErrorReply,
    Heartbeat,
    HeartbeatReply,
    Message,
    QueryAttempt,
    TaskExchange,
)
from pollenkeel_kernel.core.role import ROLES, Role
from pollenkeel_kernel.core.settings import AgentSettings
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_kernel.policy.interference import CONTROLLERS, InterferenceSettings
from pollenkeel_kernel.store.base import open_backend

logger = logbook.Logger("agent")

_STOP_POLL_SECONDS = 0.02
#: Delay before the servers are closed. After the last entry has acknowledged that this
#: agent is leaving, a dispatch may still be in transit and a reply still unsent.
_CLOSE_DELAY_SECONDS = 0.5


@ROLES.register("agent")
class AgentRole(Role):
    """Admits work to one VM and runs it on the upstreams and the worker of the VM."""

    settings_class = AgentSettings

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._epoch = uuid.uuid4().hex
        self._clock = SystemClock()
        self._leaving = threading.Event()
        self._closed = threading.Event()
        self._dump = StateDump()
        timing = settings.timing
        self._ledger = Ledger(settings.vm.resources)
        self._attempts = AttemptTable(self._clock, settings.limits.kept_replies)
        self._upstreams = UpstreamRegistry(
            self._ledger, self._clock, timing.peer_silent_after
        )
        self._site = SiteState(settings.data_centre, self._clock, timing.max_clock_skew)
        self._dispatches = DispatchHandler(
            settings.id,
            self._epoch,
            self._clock,
            self._ledger,
            self._attempts,
            self._upstreams,
            settings.limits.body_bytes,
            self._leaving,
        )
        worker = (
            WorkerClient(settings.worker_url, self._clock)
            if settings.worker_url
            else None
        )
        self._tasks = TaskHandler(
            settings.id,
            self._epoch,
            self._clock,
            timing,
            self._ledger,
            self._site,
            worker,
            self._leaving,
        )
        controller = CONTROLLERS.get(settings.interference)(InterferenceSettings())
        self._interference: InterferenceLoop | None = None
        if worker is not None:
            self._interference = InterferenceLoop(
                controller,
                self._clock,
                self._upstreams,
                self._tasks.records,
                worker,
                self._site.promised_time,
                self._tasks.executor,
            )
        self._announcer = Announcer(
            settings.entries,
            self._clock,
            timing,
            open_backend(settings.store),
            self._site,
            self._make_announce,
        )
        self._register_dump()

    def _register_dump(self) -> None:
        self._dump.register("agent", self._describe)
        self._dump.register("ledger", self._ledger.describe)
        self._dump.register("attempts", self._attempts.describe)
        self._dump.register("upstreams", self._upstreams.statuses)
        self._dump.register("site", self._site.describe)
        self._dump.register("tasks", self._tasks.describe)
        self._dump.register("entries", self._announcer.describe)

    def start(self) -> dict[str, str]:
        """Start the servers and periodic threads and return the bound addresses."""
        settings = self._settings
        self._server = ReplyServer(
            settings.listen, settings.id, self._clock, self._handle
        )
        self._http = HttpServer(
            settings.http, AgentApi(self._dump, self._upstreams), APPLICATION_CONFIG
        )
        threading.Thread(target=self._http.serve, name="http", daemon=True).start()
        for name, step in (
            ("worker", self._tasks.poll),
            ("upstreams", self._upstreams.remove_expired),
            ("attempts", self._attempts.purge_expired),
            ("connections", self._dispatches.connections.replace_stale),
            ("entries", self._announcer.refresh),
            ("interference", self._control_interference),
        ):
            threading.Thread(
                target=self._run_periodically, args=(step,), name=name, daemon=True
            ).start()
        return {"peer": self._server.address, "http": self._http.url}

    def _control_interference(self) -> None:
        if self._interference is not None:
            self._interference.step()

    def _run_periodically(self, step: Any) -> None:
        while not self._closed.is_set():
            try:
                step()
            except Exception:
                # A failed round must not end the thread.
                logger.exception("periodic step failed")
            self._closed.wait(self._settings.timing.heartbeat_interval)

    def run(self, stop: threading.Event) -> None:
        """Serve until ``stop`` is set, then finish the calls in flight and close."""
        stop.wait()
        deadline = self._clock.now() + self._settings.timing.stop_deadline
        self._leaving.set()
        log_change(logger, "agent leaving", in_flight=self._ledger.in_flight())
        self._announcer.wake()
        while not self._may_exit() and self._clock.now() < deadline:
            time.sleep(_STOP_POLL_SECONDS)
        time.sleep(_CLOSE_DELAY_SECONDS)
        log_change(logger, "agent stopped", in_flight=self._ledger.in_flight())
        self._closed.set()
        self._announcer.close()
        self._tasks.close()
        self._server.close()
        self._http.close()

    def _may_exit(self) -> bool:
        return self._ledger.in_flight() == 0 and self._announcer.all_acknowledged(
            self._state
        )

    @property
    def _state(self) -> str:
        return "leaving" if self._leaving.is_set() else "active"

    def _handle(self, message: Message) -> Message:
        if isinstance(message, Dispatch):
            return self._dispatches.dispatch(message)
        if isinstance(message, QueryAttempt):
            return self._dispatches.query(message)
        if isinstance(message, TaskExchange):
            return self._tasks.exchange(message)
        if isinstance(message, Heartbeat):
            return self._answer_heartbeat(message)
        return ErrorReply(
            self._settings.id,
            self._clock.now(),
            Code.UNKNOWN_MESSAGE.value,
            f"type {type(message).__name__} is not handled by an agent",
        )

    def _answer_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        newer = (
            None
            if message.config_version is None
            else self._site.config_newer_than(message.config_version)
        )
        return HeartbeatReply(self._settings.id, self._clock.now(), self._epoch, newer)

    def _make_announce(self) -> Announce:
        settings = self._settings
        return Announce(
            settings.id,
            self._clock.now(),
            self._epoch,
            settings.id,
            settings.data_centre,
            settings.rack,
            self._settings.advertise or self._server.address,
            self._state,
            self._site.config_version,
            self._upstreams.statuses(),
            self._ledger.capacity,
            self._ledger.free(),
            self._tasks.records.count_unfinished_by_kind(),
            self._tasks.worker_ready and self._ledger.tasks_listed,
        )

    def _describe(self) -> dict[str, object]:
        return {
            "id": self._settings.id,
            "epoch": self._epoch,
            "state": self._state,
            "now": self._clock.now(),
            "in_flight": self._ledger.in_flight(),
        }
