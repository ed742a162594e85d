"""Connections to the entries that own other shards."""

from __future__ import annotations

import threading

import logbook
from result import Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Heartbeat, Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import (
    TIMEOUT_ROUNDING,
    PeerClient,
    is_answered,
)

logger = logbook.Logger("batch.links")


class EntryLinks:
    """Calls other entries and replaces connections on which nothing is received.

    Each connection has a thread that sends heartbeats. A call that waits on a replaced
    connection fails at once instead of at its own deadline.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    call_timeout : float
        Longest duration of a call in seconds. The connection to an entry that no longer
        owns a shard stays open for as long, because calls may wait for its replies.
    """

    def __init__(self, context: EntryContext, call_timeout: float) -> None:
        self._context = context
        self._call_timeout = call_timeout
        self._timing = context.settings.timing
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._clients_by_address: dict[str, PeerClient] = {}
        self._close_at_by_address: dict[str, float] = {}
        self._threads: list[threading.Thread] = []

    def call(
        self, address: str, message: Message, deadline: float
    ) -> Result[Message, Refusal]:
        """Send a message and return its reply, as ``PeerClient.call`` does."""
        return self._get_client(address).call(message, deadline)

    def update_addresses(self, addresses: set[str]) -> None:
        """Connect to these addresses and close connections no longer in use."""
        now = self._context.clock.now()
        with self._lock:
            for address in self._clients_by_address.keys() - addresses:
                self._close_at_by_address.setdefault(address, now + self._call_timeout)
            for address in self._close_at_by_address.keys() & addresses:
                del self._close_at_by_address[address]
            due = [a for a, at in self._close_at_by_address.items() if at <= now]
        self._close_clients(due)
        for address in addresses:
            self._get_client(address)

    def close(self) -> None:
        """Close all connections and wait for their heartbeat threads."""
        self._closed.set()
        self._close_clients(list(self._clients_by_address))
        for thread in list(self._threads):
            thread.join(self._call_timeout)

    def _close_clients(self, addresses: list[str]) -> None:
        with self._lock:
            for address in addresses:
                self._close_at_by_address.pop(address, None)
            clients = [self._clients_by_address.pop(address) for address in addresses]
        for client in clients:
            client.close()

    def _get_client(self, address: str) -> PeerClient:
        with self._lock:
            client = self._clients_by_address.get(address)
            if client is not None:
                return client
            client = PeerClient(address, self._context.clock)
            self._clients_by_address[address] = client
            thread = threading.Thread(
                target=self._run_heartbeats,
                args=(client,),
                name=f"link-{address}",
                daemon=True,
            )
            self._threads = [t for t in self._threads if t.is_alive()] + [thread]
            thread.start()
        return client

    def _run_heartbeats(self, client: PeerClient) -> None:
        redialled_at = 0.0
        while not self._closed.is_set() and self._is_current(client):
            try:
                redialled_at = self._send_heartbeat(client, redialled_at)
            except Exception:
                logger.exception("heartbeat failed")
            self._closed.wait(self._timing.heartbeat_interval)

    def _is_current(self, client: PeerClient) -> bool:
        """Return whether the client is still in use for its address."""
        with self._lock:
            return self._clients_by_address.get(client.address) is client

    def _send_heartbeat(self, client: PeerClient, redialled_at: float) -> float:
        """Send a heartbeat and return when the connection was last replaced.

        Waits for a late reply, because replacing a working connection fails the calls
        on it.
        """
        now = self._context.clock.now()
        last_reply_at = max(client.last_reply_at, redialled_at)
        silent_at = last_reply_at + self._timing.peer_silent_after
        heartbeat = Heartbeat(self._context.settings.id, now)
        deadline = max(silent_at, now + self._timing.heartbeat_interval)
        result = client.call(heartbeat, deadline)
        if is_answered(result):
            return redialled_at
        now = self._context.clock.now()
        if now < silent_at - TIMEOUT_ROUNDING or client.last_reply_at > last_reply_at:
            return redialled_at
        client.redial()
        log_change(logger, "entry connection replaced", address=client.address)
        return now
