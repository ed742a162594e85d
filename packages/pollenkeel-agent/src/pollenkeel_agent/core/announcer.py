"""Periodic announcements of this agent to the entries.

Entries are the processes that accept client requests and dispatch them to agents.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
import logbook
import pynng
from result import Err, Ok

from pollenkeel_agent.core.metrics import ANNOUNCEMENTS
from pollenkeel_agent.core.site import SiteState
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Announce, AnnounceReply, EntryAddress
from pollenkeel_kernel.core.settings import TimingSettings, structure_checked
from pollenkeel_kernel.core.transport import PeerClient
from pollenkeel_kernel.store.base import Backend, Row

logger = logbook.Logger("announcer")

_ENTRIES_TABLE = "entries"


class EntryLink:
    """Sends announcements to one entry from a dedicated thread.

    Parameters
    ----------
    address : str
        Peer address of the entry.
    clock : Clock
        Source of time.
    timing : TimingSettings
        Announcement interval, and the time without a reply after which the connection
        is replaced.
    make_announce : callable
        Returns the current announcement.
    on_reply : callable
        Called with the reply, the send time of the announcement and the receive time
        of the reply.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        timing: TimingSettings,
        make_announce: Callable[[], Announce],
        on_reply: Callable[[AnnounceReply, float, float], None],
    ) -> None:
        self.address = address
        self.entry_id = ""
        self._clock = clock
        self._timing = timing
        self._make_announce = make_announce
        self._on_reply = on_reply
        self._client = PeerClient(address, clock)
        self._wake = threading.Event()
        self._closed = threading.Event()
        self._reachable = False
        self._silent = False
        self._acknowledged_state = ""
        self._last_reply_or_redial = clock.now()
        self._thread = threading.Thread(
            target=self._run, name=f"announce-{address}", daemon=True
        )

    def start(self) -> None:
        """Start the announcement thread."""
        self._thread.start()

    def wake(self) -> None:
        """Send the next announcement without waiting for the interval to end."""
        self._wake.set()

    def close(self) -> None:
        """Stop the announcement thread and close the connection."""
        self._closed.set()
        self._wake.set()
        self._client.close()

    @property
    def reachable(self) -> bool:
        """Whether the entry has replied within the last ``peer_silent_after`` seconds.

        False before the first reply.
        """
        return self._reachable

    @property
    def silent(self) -> bool:
        """Whether ``peer_silent_after`` seconds have passed without a reply."""
        return self._silent

    def has_acknowledged(self, state: str) -> bool:
        """Return whether the latest acknowledged announcement had this state."""
        return self._acknowledged_state == state

    def _run(self) -> None:
        while not self._closed.is_set():
            self._wake.clear()
            try:
                self._announce()
            except Exception:
                # A failed announcement must not end the thread.
                logger.exception("announcement failed")
            self._wake.wait(self._timing.heartbeat_interval)

    def _announce(self) -> None:
        message = self._make_announce()
        now = self._clock.now()
        # Wait until the entry counts as silent, but at least one interval.
        deadline = max(
            self._last_reply_or_redial + self._timing.peer_silent_after,
            now + self._timing.heartbeat_interval,
        )
        result = self._client.call(message, deadline)
        received = self._clock.now()
        if self._closed.is_set():
            return
        if isinstance(result, Ok) and isinstance(result.ok_value, AnnounceReply):
            ANNOUNCEMENTS.labels(Code.OK.value).inc()
            self._last_reply_or_redial = received
            self.entry_id = result.ok_value.sender
            self._acknowledged_state = message.state
            self._set_reachable(True)
            self._on_reply(result.ok_value, message.sent_at, received)
            return
        code = result.err_value.code if isinstance(result, Err) else Code.BAD_MESSAGE
        ANNOUNCEMENTS.labels(code.value).inc()
        if received - self._last_reply_or_redial >= self._timing.peer_silent_after:
            self._set_reachable(False)
            self._client.redial()
            self._last_reply_or_redial = received

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self._reachable:
            event = "entry responding" if reachable else "entry not responding"
            log_change(logger, event, address=self.address, entry=self.entry_id)
        self._reachable = reachable
        self._silent = not reachable


@attrs.define
class _KnownEntry:
    link: EntryLink
    expires_at: float


class Announcer:
    """Maintains one link to each known entry.

    Entries are discovered from announcement replies and from the seed list, and from
    the table service while no entry responds.

    Parameters
    ----------
    seeds : list of str
        Peer addresses that are tried in addition to the listed entries.
    clock : Clock
        Source of time.
    timing : TimingSettings
        Announcement interval, silence limit and lifetime of entries.
    backend : Backend
        The platform's table service.
    site : SiteState
        Updated with the configuration, permit and clock offset of each reply.
    make_announce : callable
        Returns the current announcement.
    """

    def __init__(
        self,
        seeds: list[str],
        clock: Clock,
        timing: TimingSettings,
        backend: Backend,
        site: SiteState,
        make_announce: Callable[[], Announce],
    ) -> None:
        self._seeds = seeds
        self._clock = clock
        self._timing = timing
        self._backend = backend
        self._site = site
        self._make_announce = make_announce
        self._lock = threading.Lock()
        self._closed = False
        self._next_seed_refresh = 0.0
        self._entries_by_address: dict[str, _KnownEntry] = {}

    def refresh(self) -> None:
        """Remove expired entries and look for new ones.

        The table is read only while no entry responds.
        """
        self._drop_expired()
        now = self._clock.now()
        entry_ttl = self._timing.entry_ttl
        if any(link.reachable for link in self.links()):
            # A seed that starts during a store outage is missing from the entry lists
            # in announcement replies, so seeds are also retried while others respond.
            if now >= self._next_seed_refresh:
                # An unreachable seed expires before it is added again.
                self._next_seed_refresh = now + entry_ttl
                self._add_seeds(now + entry_ttl / 2)
            return
        self._add_entries(self._read_table())
        self._add_seeds(now + entry_ttl)

    def _add_seeds(self, expires_at: float) -> None:
        for address in self._seeds:
            self._add_entry(address, expires_at)

    def _read_table(self) -> list[EntryAddress]:
        scanned = self._backend.scan(_ENTRIES_TABLE, "")
        if isinstance(scanned, Err):
            return []
        entries = [_parse_row(row) for row in scanned.ok_value]
        return [entry for entry in entries if entry is not None]

    def _add_entries(self, entries: list[EntryAddress]) -> None:
        now = self._clock.now()
        for entry in entries:
            if entry.expires_at > now:
                self._add_entry(entry.peer_address, entry.expires_at)

    def _add_entry(self, address: str, expires_at: float) -> None:
        """Start a link to a new entry or extend the expiry of a known one."""
        with self._lock:
            if self._closed:
                return
            known = self._entries_by_address.get(address)
            if known is not None:
                known.expires_at = max(known.expires_at, expires_at)
                return
            link = self._make_link(address)
            if link is None:
                return
            self._entries_by_address[address] = _KnownEntry(link, expires_at)
        log_change(logger, "entry discovered", address=address)
        link.start()

    def _make_link(self, address: str) -> EntryLink | None:
        try:
            return EntryLink(
                address,
                self._clock,
                self._timing,
                self._make_announce,
                self._handle_reply,
            )
        except (pynng.exceptions.NNGException, ValueError) as error:
            # A table row may contain a malformed address.
            logger.warning(
                "invalid entry address skipped", extra={"detail": str(error)}
            )
            return None

    def _handle_reply(self, reply: AnnounceReply, sent: float, received: float) -> None:
        self._site.accept(reply, sent, received)
        self._add_entries(reply.entries)

    def _drop_expired(self) -> None:
        now = self._clock.now()
        with self._lock:
            expired = [
                address
                for address, known in self._entries_by_address.items()
                if known.expires_at <= now and not known.link.reachable
            ]
            links = [self._entries_by_address.pop(address).link for address in expired]
        for link in links:
            link.close()
            self._site.remove_entry(link.entry_id)
            log_change(logger, "entry removed", address=link.address)

    def links(self) -> list[EntryLink]:
        """Return the links to all known entries."""
        with self._lock:
            return [known.link for known in self._entries_by_address.values()]

    def wake(self) -> None:
        """Send an announcement to every entry immediately."""
        for link in self.links():
            link.wake()

    def all_acknowledged(self, state: str) -> bool:
        """Return whether all entries acknowledged ``state``, except silent ones.

        An entry whose first reply is still in transit is included, because it may
        already be sending work to this agent.

        Parameters
        ----------
        state : str
            Agent state that must have been announced, ``active`` or ``leaving``.
        """
        return all(
            link.has_acknowledged(state) for link in self.links() if not link.silent
        )

    def close(self) -> None:
        """Close all links and accept no new ones."""
        with self._lock:
            self._closed = True
        for link in self.links():
            link.close()

    def describe(self) -> list[dict[str, object]]:
        """Return the announcer's section of the state dump."""
        return [
            {"address": link.address, "entry": link.entry_id, "answers": link.reachable}
            for link in self.links()
        ]


def _parse_row(row: Row) -> EntryAddress | None:
    try:
        raw = parse_json(row.value)
    except ValueError:
        return None
    checked = structure_checked(raw, EntryAddress, f"{_ENTRIES_TABLE}/{row.key}")
    return checked.ok_value if isinstance(checked, Ok) else None
