"""Heartbeats to the agents, sent by one thread per agent."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
import logbook
from result import Ok

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Heartbeat, HeartbeatReply, Message
from pollenkeel_kernel.core.transport import TIMEOUT_ROUNDING, is_answered

logger = logbook.Logger("heartbeats")


@attrs.define
class _Peer:
    """Heartbeat state of one agent.

    Attributes
    ----------
    redialled_at : float
        Time of the last reconnection, or of the start of monitoring.
    sent_at : float or None
        Send time of the unanswered heartbeat, None if there is none.
    silent : bool
        Whether the last heartbeat was not answered in time.
    """

    redialled_at: float
    sent_at: float | None = None
    silent: bool = False


class HeartbeatMonitor:
    """Sends heartbeats and reconnects to agents that stopped replying.

    An agent counts as silent once a heartbeat has been unanswered for longer than the
    heartbeat interval, until the next reply. The monitor keeps waiting for a late reply
    from a silent agent: on a busy VM the connection still works, and closing it would
    abort the requests on it. The connection is replaced only after
    ``peer_silent_after`` without any reply on it.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    on_change : callable
        Called after an agent became silent, replied again or expired.
    """

    def __init__(self, context: EntryContext, on_change: Callable[[], None]) -> None:
        self._context = context
        self._on_change = on_change
        self._lock = threading.Lock()
        self._peers_by_id: dict[str, _Peer] = {}
        self._closed = threading.Event()
        context.dump.register("heartbeats", self._dump)

    def watch(self, agent_id: str) -> None:
        """Start the heartbeat thread of an agent unless it is already running."""
        now = self._context.clock.now()
        with self._lock:
            if agent_id in self._peers_by_id or self._closed.is_set():
                return
            self._peers_by_id[agent_id] = _Peer(now)
        name = f"heartbeat-{agent_id}"
        threading.Thread(
            target=self._run, args=(agent_id,), name=name, daemon=True
        ).start()
        log_change(logger, "agent joined", agent=agent_id)

    def is_silent(self, agent_id: str) -> bool:
        """Return whether the agent has not answered its latest heartbeat in time."""
        peer = self._peers_by_id.get(agent_id)
        if peer is None:
            return False
        sent_at = peer.sent_at
        interval = self._context.settings.timing.heartbeat_interval
        late = sent_at is not None and self._context.clock.now() > sent_at + interval
        return peer.silent or late

    def close(self) -> None:
        """Stop all heartbeat threads."""
        self._closed.set()

    def _run(self, agent_id: str) -> None:
        interval = self._context.settings.timing.heartbeat_interval
        peer = self._peers_by_id[agent_id]
        while not self._closed.is_set():
            started = self._context.clock.now()
            try:
                if not self._send_heartbeat(agent_id, peer):
                    break
            except Exception:
                logger.exception("heartbeat failed")
            pause = interval - (self._context.clock.now() - started)
            self._closed.wait(max(pause, interval / 10))
        self._stop_watching(agent_id)

    def _send_heartbeat(self, agent_id: str, peer: _Peer) -> bool:
        """Send one heartbeat and handle its result; return False if the agent expired.

        Replaces the connection if nothing was received on it for too long.
        """
        record = self._context.agents.get(agent_id)
        if record is None:
            return False
        timing = self._context.settings.timing
        snapshot = self._context.config.snapshot()
        version = snapshot.version if snapshot else 0
        now = self._context.clock.now()
        client = record.client
        reconnect_at = (
            max(client.last_reply_at, peer.redialled_at) + timing.peer_silent_after
        )
        next_at = now + timing.heartbeat_interval
        message = Heartbeat(self._context.settings.id, now, version)
        peer.sent_at = now
        result = client.call(message, max(reconnect_at, next_at), next_at)
        peer.sent_at = None
        if isinstance(result, Ok):
            self._offer_config(result.ok_value)
        answered = is_answered(result)
        now = self._context.clock.now()
        self._set_silent(agent_id, peer, not answered)
        # A reply to any request shows that the connection works.
        last_reply_at = max(client.last_reply_at, peer.redialled_at)
        if (
            not answered
            and now >= last_reply_at + timing.peer_silent_after - TIMEOUT_ROUNDING
        ):
            peer.redialled_at = now
            client.redial()
            log_change(logger, "agent connection replaced", agent=agent_id)
        return True

    def _offer_config(self, reply: Message) -> None:
        # Lets an entry that cannot read the store get the newest version from an agent.
        if isinstance(reply, HeartbeatReply) and reply.config is not None:
            self._context.config.offer(reply.config)

    def _set_silent(self, agent_id: str, peer: _Peer, silent: bool) -> None:
        with self._lock:
            changed = peer.silent != silent
            peer.silent = silent
        if changed:
            event = "agent silent" if silent else "agent answers again"
            log_change(logger, event, agent=agent_id)
            self._on_change()

    def _stop_watching(self, agent_id: str) -> None:
        with self._lock:
            self._peers_by_id.pop(agent_id, None)
        if self._closed.is_set():
            return
        if self._context.agents.get(agent_id) is not None:
            self.watch(agent_id)  # the agent announced itself while this thread ended
            return
        log_change(logger, "agent expired", agent=agent_id)
        self._context.agents.remove_expired()
        self._on_change()

    def _dump(self) -> dict[str, _Peer]:
        with self._lock:
            return dict(self._peers_by_id)
