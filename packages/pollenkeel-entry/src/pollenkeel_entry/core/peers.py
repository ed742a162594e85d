"""Handler of the messages that agents and other entries send."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable
from typing import Protocol
from urllib.parse import urlsplit

import attrs

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import (
    Announce,
    AnnounceReply,
    EntryAddress,
    ErrorReply,
    Heartbeat,
    HeartbeatReply,
    Message,
    OwnerCall,
    OwnerReply,
    Resources,
)


class OwnerCallHandler(Protocol):
    """Part of ``ShardManager`` that the message handler needs."""

    def handle(self, call: OwnerCall) -> OwnerReply:
        """Return the reply to a call from another entry."""
        ...


class PeerHandler:
    """Replies to announcements, heartbeats and calls to the shard owner.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    epoch : str
        Id of this process, new after each start.
    entries : callable
        Returns the live entries.
    on_announce : callable
        Called after an announcement was recorded.
    owner : OwnerCallHandler or None
        Shard manager; if None, calls to the shard owner are rejected with code 2018.
    """

    def __init__(
        self,
        context: EntryContext,
        epoch: str,
        entries: Callable[[], list[EntryAddress]],
        on_announce: Callable[[Announce], None],
        owner: OwnerCallHandler | None,
    ) -> None:
        self._context = context
        self._epoch = epoch
        self._entries = entries
        self._on_announce = on_announce
        self._owner = owner

    def handle(self, message: Message) -> Message:
        """Return the reply to one message."""
        if isinstance(message, Announce):
            return self._handle_announce(message)
        if isinstance(message, Heartbeat):
            return HeartbeatReply(*self._sender_fields(), self._epoch)
        if isinstance(message, OwnerCall):
            if self._owner is None:
                return OwnerReply(*self._sender_fields(), Code.NOT_OWNER.value)
            return self._owner.handle(message)
        name = type(message).__name__
        return self._make_error(
            Code.UNKNOWN_MESSAGE, f"entries do not handle {name} messages"
        )

    def _handle_announce(self, announce: Announce) -> Message:
        """Validate and record an announcement; reply with configuration and permit."""
        if not _is_peer_address(announce.address):
            detail = f"address {announce.address!r:.60}; expected tcp://IP:PORT"
            return self._make_error(Code.BAD_MESSAGE, detail)
        if any(min(u.slots, u.free_slots) < 0 for u in announce.upstreams):
            return self._make_error(Code.BAD_MESSAGE, "upstreams: negative slots")
        if not (_is_valid_size(announce.capacity) and _is_valid_size(announce.free)):
            detail = f"capacity {announce.capacity}, free {announce.free}"
            return self._make_error(Code.BAD_MESSAGE, detail)
        self._context.agents.update(announce)
        self._on_announce(announce)
        snapshot = self._context.config.snapshot()
        newer = snapshot is not None and snapshot.version > announce.config_version
        return AnnounceReply(
            *self._sender_fields(),
            entry_epoch=self._epoch,
            config=snapshot if newer else None,
            permit_until=self._context.config.permit_until(announce.data_centre),
            entries=self._entries(),
        )

    def _sender_fields(self) -> tuple[str, float]:
        """Return the fields that every message starts with: sender id and time."""
        return self._context.settings.id, self._context.clock.now()

    def _make_error(self, code: Code, detail: str) -> ErrorReply:
        return ErrorReply(*self._sender_fields(), code.value, detail)


def _is_valid_size(size: Resources) -> bool:
    return all(0 <= amount < math.inf for amount in attrs.astuple(size))


def _is_peer_address(address: str) -> bool:
    try:
        parts = urlsplit(address)
        ipaddress.ip_address(parts.hostname or "")
        return parts.scheme == "tcp" and bool(parts.port) and not parts.path
    except ValueError:
        return False
