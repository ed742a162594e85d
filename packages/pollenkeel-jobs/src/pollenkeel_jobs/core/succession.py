"""Choice of the entry to which a leader that was told to stop hands over.

Addresses rolling restarts: while all entries are stopped and started in turn, the lease
is always held by a process that can lead, and changes hands as rarely as possible.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Sequence

import attrs

from pollenkeel_jobs.core.leadership import PREFERRED_CPU_RATIO
from pollenkeel_jobs.core.messages import LeaderQuery
from pollenkeel_kernel.core.clock import Clock

#: Seconds after its latest query during which another entry counts as able to lead.
CANDIDATE_SECONDS = 1.5
#: Seconds without another stop after which a rolling restart counts as over.
_RESTART_GAP_SECONDS = 15.0
#: Seconds before the end of draining from which a successor that was not restarted yet
#: is accepted: as long as it may take until that entry asks again.
_QUERY_SECONDS = 0.6
#: Seconds for which a stopping entry must be able to lead longer than this one.
_MIN_GAIN_SECONDS = 0.5


@attrs.frozen
class Candidate:
    """An entry that has lately asked the leader whether it leads.

    Attributes
    ----------
    address : str
        Address at which it receives messages.
    cpu : float
        Processor capacity in cores; 0 if unknown.
    started_at : float
        Time at which its process started; 0 if unknown.
    leads_until : float
        Time until which it can lead; infinite unless it was told to stop.
    seen_at : float
        Time of its latest query.
    """

    address: str
    cpu: float
    started_at: float
    leads_until: float
    seen_at: float

    @property
    def stays(self) -> bool:
        """Whether it was not told to stop."""
        return self.leads_until == math.inf


class Succession:
    """Entries that could take over, and when this one hands over if told to stop.

    Only the latest queries count, so nothing is stored elsewhere; a new leader knows
    its candidates after the interval of the queries.

    Parameters
    ----------
    clock : Clock
        Source of time.
    drain_seconds : float
        Time for which a stopping entry serves clients, in seconds. Meanwhile it hands
        over only to an entry that was started after the restart began.
    lead_seconds : float
        Longest time for which a stopping entry leads, in seconds.
    """

    def __init__(self, clock: Clock, drain_seconds: float, lead_seconds: float) -> None:
        self._clock = clock
        self._drain_seconds = drain_seconds
        self._lead_seconds = lead_seconds
        self._lock = threading.Lock()
        self._candidates_by_address: dict[str, Candidate] = {}
        self._restart_began_at = math.inf
        self._last_stop_at = -math.inf
        self.drained_at = math.inf
        self.leads_until = math.inf

    @property
    def is_stopping(self) -> bool:
        """Whether this process was told to stop."""
        return self.leads_until < math.inf

    @property
    def is_drained(self) -> bool:
        """Whether this process was told to stop and no longer serves clients."""
        return self._clock.now() >= self.drained_at

    def begin_stop(self) -> None:
        """Record that this process was told to stop."""
        now = self._clock.now()
        with self._lock:
            self._record_stop(now)
            self.drained_at = now + self._drain_seconds
            self.leads_until = now + self._lead_seconds

    def record(self, query: LeaderQuery) -> None:
        """Record the query of an entry, which could take over."""
        now = self._clock.now()
        # The clocks of VMs differ.
        offset = now - query.sent_at
        leads_until = query.leads_until + offset if query.leads_until else math.inf
        candidate = Candidate(
            query.address, query.cpu, query.started_at + offset, leads_until, now
        )
        with self._lock:
            if not candidate.stays:
                self._record_stop(now)
            self._candidates_by_address[query.address] = candidate
            self._forget_silent_entries(now)

    def choose_successor(self) -> str:
        """Return the address of the entry to hand over to now, empty if none.

        Entries that were started after the restart began are preferred, then those that
        were not told to stop, then those that can lead longer than this one.
        """
        if not self.is_stopping:
            return ""
        now = self._clock.now()
        with self._lock:
            self._forget_silent_entries(now)
            candidates = list(self._candidates_by_address.values())
        staying = [candidate for candidate in candidates if candidate.stays]
        restarted = [c for c in staying if c.started_at > self._restart_began_at]
        if restarted:
            return _find_best(restarted)
        if now < self.drained_at - _QUERY_SECONDS:
            return ""
        if staying:
            return _find_best(staying)
        lasting = self.leads_until + _MIN_GAIN_SECONDS
        leaving = [c for c in candidates if c.leads_until > lasting]
        return max(leaving, key=lambda c: c.leads_until).address if leaving else ""

    def can_be_preferred(self, address: str) -> bool:
        """Return whether an entry may get the lease for its processor capacity.

        One that was told to stop, or will be next, would have to hand over at once.
        """
        now = self._clock.now()
        with self._lock:
            candidate = self._candidates_by_address.get(address)
            if candidate is None or not candidate.stays or self.is_stopping:
                return False
            is_restart_over = now - self._last_stop_at > _RESTART_GAP_SECONDS
            return is_restart_over or candidate.started_at > self._restart_began_at

    def describe(self) -> list[str]:
        """Return the addresses of the entries that could take over."""
        with self._lock:
            self._forget_silent_entries(self._clock.now())
            return sorted(self._candidates_by_address)

    def _record_stop(self, now: float) -> None:
        """Record that an entry is being stopped, perhaps in a rolling restart."""
        if now - self._last_stop_at > _RESTART_GAP_SECONDS:
            self._restart_began_at = now
        self._last_stop_at = now

    def _forget_silent_entries(self, now: float) -> None:
        self._candidates_by_address = {
            address: candidate
            for address, candidate in self._candidates_by_address.items()
            if now - candidate.seen_at < CANDIDATE_SECONDS
        }


def _find_best(candidates: Sequence[Candidate]) -> str:
    """Return the address of the latest started of those with enough capacity."""
    largest = max(candidate.cpu for candidate in candidates)
    suitable = [c for c in candidates if c.cpu * PREFERRED_CPU_RATIO > largest]
    latest = max(suitable or candidates, key=lambda c: (c.started_at, c.address))
    return latest.address
