"""Role ``entry``: creates, connects, starts and stops the parts of an entry."""

from __future__ import annotations

import threading
import uuid
from typing import Any

import cherrypy
import logbook

from pollenkeel_entry.batch.api import JobsApi
from pollenkeel_entry.batch.manager import ShardManager
from pollenkeel_entry.core.config_api import ConfigApi
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.entries import EntryList
from pollenkeel_entry.core.head import HeadWatcher
from pollenkeel_entry.core.heartbeats import HeartbeatMonitor
from pollenkeel_entry.core.membership import AgentTable
from pollenkeel_entry.core.peers import PeerHandler
from pollenkeel_entry.requests.api import APPLICATION_CONFIG, ServicesApi
from pollenkeel_entry.requests.retention import ClaimSweep
from pollenkeel_entry.requests.service import RequestService
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import HttpServer, OperationsApi, read_only
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Announce, EntryAddress
from pollenkeel_kernel.core.role import ROLES, Role
from pollenkeel_kernel.core.settings import EntrySettings
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_kernel.store.base import open_backend

logger = logbook.Logger("entry")

#: The HTTP server aborts requests whose body exceeds this multiple of ``body_bytes``;
#: the handlers reject smaller oversized bodies with code 4004.
_BODY_LIMIT_FACTOR = 4
_DRAIN_POLL_SECONDS = 0.05
#: A stopping entry waits until it has had no request in flight for this long, because
#: the load balancer may still send requests after ``/readyz`` has started to fail.
_IDLE_SECONDS_BEFORE_STOP = 1.0


class EntryApi(OperationsApi):
    """Root of the CherryPy handler tree of an entry.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    services : ServicesApi
        Handler of ``/v1/services``.
    """

    def __init__(self, context: EntryContext, services: ServicesApi) -> None:
        super().__init__(context.dump)
        self._context = context
        self.v1.services = services  # type: ignore[attr-defined]

    @cherrypy.expose
    @read_only
    def readyz(self) -> bytes:
        """Readiness probe; 503 while the entry is stopping or has no configuration."""
        if self._context.stopping.is_set():
            cherrypy.response.status = 503
            return b"stopping\n"
        if self._context.config.effective() is None:
            cherrypy.response.status = 503
            return b"no configuration\n"
        return b"ready\n"


@ROLES.register("entry")
class EntryRole(Role):
    """Runs an entry: request path, batch shards and operators' HTTP API."""

    settings_class = EntrySettings

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._backend = open_backend(settings.store)
        self._config = HeadWatcher(settings, self._clock, self._backend)
        self.context = EntryContext(
            settings=settings,
            clock=self._clock,
            backend=self._backend,
            agents=AgentTable(settings.timing, self._clock),
            config=self._config,
            dump=StateDump(),
        )
        self._epoch = uuid.uuid4().hex
        self._heartbeats = HeartbeatMonitor(self.context, self._reassign_slots)
        self._requests = RequestService(self.context, self._heartbeats.is_silent)
        self._shards = ShardManager(self.context, is_silent=self._heartbeats.is_silent)
        self._sweep = ClaimSweep(self.context, lambda: self._shards.owns(0))
        self.context.dump.register("entry", self._dump)

    def start(self) -> dict[str, str]:
        """Start serving and return the addresses of its server sockets."""
        self._config.start()
        self._requests.start()
        handler = PeerHandler(
            self.context,
            self._epoch,
            lambda: self._entries.live(),
            self._handle_announcement,
            self._shards,
        )
        self._http = HttpServer(
            self._settings.http,
            self._make_api(),
            APPLICATION_CONFIG,
            self._settings.limits.body_bytes * _BODY_LIMIT_FACTOR,
        )
        # The entry list needs the peer address, which is known only once the socket
        # listens. Messages that arrive before the list exists wait for this event.
        listening = threading.Event()

        def handle(message: Any) -> Any:
            listening.wait()
            return handler.handle(message)

        self._peers = ReplyServer(
            self._settings.listen, self._settings.id, self._clock, handle
        )
        self._entries = EntryList(
            self._backend,
            self._clock,
            self._settings.timing.entry_ttl,
            self._own_address(),
        )
        listening.set()
        self._entries.start()
        self._shards.start(self._own_address().peer_address)
        self._sweep.start()
        threading.Thread(target=self._http.serve, name="http", daemon=True).start()
        return {"peer_address": self._peers.address, "http_url": self._http.url}

    def run(self, stop: threading.Event) -> None:
        """Serve until ``stop`` is set, then shut down gracefully and return."""
        stop.wait()
        self.context.stopping.set()
        log_change(logger, "entry stopping", in_flight=self._requests.in_flight())
        self._drain()
        self._sweep.close()
        self._shards.close()
        self._entries.close()
        self._requests.close()
        self._heartbeats.close()
        self._http.close()
        self._peers.close()
        self._config.close()
        for record in self.context.agents.live():
            record.client.close()

    def _drain(self) -> None:
        """Wait until the request path has been idle for a while.

        Idle means no requests in flight and no answers that are still to be stored. The
        wait ends at the stop deadline at the latest.
        """
        now = self._clock.now()
        deadline = now + self._settings.timing.stop_deadline
        last_busy_at = now
        pause = threading.Event()
        while now < deadline and now - last_busy_at < _IDLE_SECONDS_BEFORE_STOP:
            pause.wait(_DRAIN_POLL_SECONDS)
            now = self._clock.now()
            if self._requests.in_flight() or self._requests.pending_answers():
                last_busy_at = now
        if now >= deadline:
            remaining = self._requests.in_flight()
            log_change(logger, "stop deadline passed", in_flight=remaining)

    def _make_api(self) -> EntryApi:
        root = EntryApi(self.context, self._requests.api)
        JobsApi(self.context, self._shards).mount(root.v1)
        ConfigApi(self.context).mount(root.v1)
        return root

    def _handle_announcement(self, announce: Announce) -> None:
        self._heartbeats.watch(announce.sender)
        self._requests.router.handle_announcement(announce)

    def _reassign_slots(self) -> None:
        self._requests.router.reassign_slots()

    def _own_address(self) -> EntryAddress:
        return EntryAddress(
            entry_id=self._settings.id,
            peer_address=self._settings.advertise or self._peers.address,
            http_url=self._http.url,
            data_centre=self._settings.data_centre,
            expires_at=0.0,
        )

    def _dump(self) -> dict[str, Any]:
        snapshot = self.context.config.snapshot()
        return {
            "id": self._settings.id,
            "epoch": self._epoch,
            "stopping": self.context.stopping.is_set(),
            "config_version": snapshot.version if snapshot else 0,
            "drained": sorted(self.context.config.drained()),
            "entries": self._entries.live(),
            "agents": [record.announce for record in self.context.agents.live()],
        }
