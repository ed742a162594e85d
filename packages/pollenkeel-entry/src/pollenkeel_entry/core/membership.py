"""Table of the agents that have announced themselves to this entry."""

from __future__ import annotations

import threading
from collections.abc import Iterable

import attrs

from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.messages import Announce
from pollenkeel_kernel.core.settings import TimingSettings
from pollenkeel_kernel.core.transport import PeerClient


@attrs.define
class AgentRecord:
    """Latest announcement of one agent and the connection to it.

    The announced capacity may be out of date.

    Attributes
    ----------
    announce : Announce
        Latest announcement.
    client : PeerClient
        Connection to the agent.
    expires_at : float
        Time after which the agent is no longer live.
    """

    announce: Announce
    client: PeerClient
    expires_at: float


class AgentTable:
    """Live agents by id; an agent that stops announcing itself expires.

    Parameters
    ----------
    timing : TimingSettings
        ``announce_ttl`` is the time to live of an announcement.
    clock : Clock
        Source of time.
    """

    def __init__(self, timing: TimingSettings, clock: Clock) -> None:
        self._timing = timing
        self._clock = clock
        self._lock = threading.Lock()
        self._records_by_id: dict[str, AgentRecord] = {}

    def update(self, announce: Announce) -> None:
        """Record an announcement unless a later one has been recorded.

        A changed address replaces the connection.
        """
        expires_at = self._clock.now() + self._timing.announce_ttl
        with self._lock:
            record = self._records_by_id.get(announce.sender)
            if record is not None and self._is_outdated(record, announce):
                return
            if record is None or record.announce.address != announce.address:
                if record is not None:
                    record.client.close()
                client = PeerClient(announce.address, self._clock)
                record = AgentRecord(announce, client, expires_at)
                self._records_by_id[announce.sender] = record
            else:
                record.announce = announce
                record.expires_at = expires_at

    def _is_outdated(self, record: AgentRecord, announce: Announce) -> bool:
        # A delayed announcement of an earlier process must not restore its epoch or
        # address. An expired record accepts any announcement, because the agent's clock
        # may have stepped backwards between two processes.
        live = record.expires_at > self._clock.now()
        return live and announce.sent_at < record.announce.sent_at

    def live(self) -> list[AgentRecord]:
        """Return the agents whose announcement has not expired."""
        now = self._clock.now()
        with self._lock:
            return [r for r in self._records_by_id.values() if r.expires_at > now]

    def get(self, agent_id: str) -> AgentRecord | None:
        """Return a live agent, or None."""
        with self._lock:
            record = self._records_by_id.get(agent_id)
        if record is None or record.expires_at <= self._clock.now():
            return None
        return record

    def get_all(self, agent_ids: Iterable[str]) -> dict[str, AgentRecord]:
        """Return the given agents that are live, by id and in the given order."""
        now = self._clock.now()
        with self._lock:
            found = ((i, self._records_by_id.get(i)) for i in agent_ids)
            return {i: r for i, r in found if r is not None and r.expires_at > now}

    def remove_expired(self) -> list[str]:
        """Remove expired agents, close their connections and return their ids."""
        now = self._clock.now()
        with self._lock:
            expired = [i for i, r in self._records_by_id.items() if r.expires_at <= now]
            records = [self._records_by_id.pop(agent_id) for agent_id in expired]
        for record in records:
            record.client.close()
        return expired
