"""Queue of the requests that wait for a slot of one service."""

from __future__ import annotations

import math
import threading
from collections import Counter, deque

import attrs

from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_entry.requests.slots import SlotHint
from pollenkeel_kernel.core.messages import Announce

#: Time constant in seconds of the moving average of a team's slots.
_AVERAGE_TIME_CONSTANT = 5.0


@attrs.define(eq=False)
class SlotLease:
    """A slot that this entry has assigned to one attempt.

    The entry only estimates the free slots, so the agent may still reject the attempt.
    ``started_at`` is in seconds since the Unix epoch. ``arrival`` is the arrival number
    of the request, with which it keeps its position if it has to wait again.
    """

    service: str
    team: str
    record: AgentRecord
    announce: Announce
    started_at: float
    arrival: int


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a slot.

    Attributes
    ----------
    team : str
        Team of the request.
    arrival : int
        Arrival number, which orders the requests of a team; a retry keeps its number.
    avoid : frozenset[str]
        Agents to use only if there are no others.
    strict : bool
        Never use the agents in ``avoid``.
    ready : threading.Event
        Set once ``lease`` is set.
    lease : SlotLease or None
        Slot that was assigned.
    """

    team: str
    arrival: int
    avoid: frozenset[str]
    strict: bool
    ready: threading.Event = attrs.field(factory=threading.Event)
    lease: SlotLease | None = None


@attrs.define
class ServiceQueue:
    """Waiting requests of one service, with the state of its teams and upstreams.

    Attributes
    ----------
    waiters_by_team : dict
        Waiting requests in order of arrival; teams without any are left out.
    in_flight_by_team : Counter
        Slots that each team holds.
    used_by_team : dict
        Slot time that each team has used, in seconds divided by its share.
    last_request_at_by_team : dict
        Time of each team's latest request, in seconds since the Unix epoch.
    averages_by_team : dict
        Moving average of the slots that each team holds, and when it was computed.
    mean_seconds : float
        Moving average of the answer times, in seconds.
    hints_by_agent : dict
        Estimated free slots of each upstream.
    """

    waiters_by_team: dict[str, deque[Waiter]] = attrs.field(factory=dict)
    in_flight_by_team: Counter[str] = attrs.field(factory=Counter)
    used_by_team: dict[str, float] = attrs.field(factory=dict)
    last_request_at_by_team: dict[str, float] = attrs.field(factory=dict)
    averages_by_team: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    mean_seconds: float = 0.0
    hints_by_agent: dict[str, SlotHint] = attrs.field(factory=dict)

    def average_in_flight(self, team: str, now: float) -> float:
        """Return the moving average of the slots that the team holds."""
        before, since = self.averages_by_team.get(team, (0.0, now))
        decay = math.exp((since - now) / _AVERAGE_TIME_CONSTANT)
        return decay * before + (1 - decay) * self.in_flight_by_team[team]

    def change_in_flight(self, team: str, change: int, now: float) -> None:
        """Add ``change`` to the number of slots that a team holds."""
        self.averages_by_team[team] = (self.average_in_flight(team, now), now)
        self.in_flight_by_team[team] += change

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(map(len, self.waiters_by_team.values()))

    def add(self, waiter: Waiter) -> None:
        """Insert a waiter in order of arrival.

        A team that had no waiting requests starts at the lowest used slot time of the
        waiting teams, so that it accumulates no credit while idle.
        """
        if waiter.team not in self.waiters_by_team:
            self.waiters_by_team[waiter.team] = deque()
            others = [
                self.used_by_team.get(team, 0.0)
                for team in self.waiters_by_team
                if team != waiter.team
            ]
            used = self.used_by_team.get(waiter.team, 0.0)
            self.used_by_team[waiter.team] = max(used, min(others, default=used))
        waiters = self.waiters_by_team[waiter.team]
        index = len(waiters)
        while index and waiters[index - 1].arrival > waiter.arrival:
            index -= 1
        waiters.insert(index, waiter)
