"""Sharing of service slots and request capacity among teams at an entry."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry


@attrs.frozen
class TeamLoad:
    """Load of one team that has requests queued for a service.

    Attributes
    ----------
    team : str
        Name of the team.
    share : float
        Configured share, a fraction of 1.
    in_flight : int
        Number of the team's requests that hold a slot of the service.
    oldest : int
        Arrival sequence number of the team's longest waiting request.
    average : float
        Moving average of the number of slots that the team holds.
    used : float
        Slot time that the team has used, in seconds divided by its share; a team that
        was idle starts at the level of the other teams.
    """

    team: str
    share: float
    in_flight: int
    oldest: int
    average: float = 0.0
    used: float = 0.0


class RequestShare(ABC):
    """Decides which team is served next and which requests are rejected."""

    @abstractmethod
    def next_team(self, teams: list[TeamLoad]) -> TeamLoad:
        """Return the team that gets the next free slot; ``teams`` is never empty."""

    @abstractmethod
    def admits(self, share: float, held: int, total: int, limit: int) -> bool:
        """Return whether the entry accepts another request of a team.

        Parameters
        ----------
        share : float
            The team's share, a fraction of 1.
        held, total : int
            Number of requests that the entry is handling: of this team, and in total.
        limit : int
            Maximum number of requests that the entry handles at once.
        """

    def may_borrow(self, team: TeamLoad, free: int, slots: int, others: float) -> bool:
        """Return whether a team may take one more slot of a service.

        Parameters
        ----------
        team : TeamLoad
            The team.
        free, slots : int
            Free and total slots of the service, as estimated by this entry.
        others : float
            Sum of the shares of the other teams that recently sent requests.
        """
        return True


REQUEST_SHARES: Registry[RequestShare] = Registry("pollenkeel.policies")

#: Fraction of the request limit available to teams above their share; the rest is
#: reserved for teams below their share, so that a busy team cannot occupy every thread
#: of the entry.
_LENDABLE_FRACTION = 0.75
#: Fraction of the other active teams' slots that a borrowing team must leave free.
#: Without free slots, their requests wait until a borrower releases one, which raised
#: their p99 by half in the benchmark.
_RESERVED_FRACTION = 0.3


@REQUEST_SHARES.register("none")
class NoShare(RequestShare):
    """Baseline: first come, first served."""

    def next_team(self, teams: list[TeamLoad]) -> TeamLoad:
        """Return the team with the longest waiting request."""
        return min(teams, key=lambda load: load.oldest)

    def admits(self, share: float, held: int, total: int, limit: int) -> bool:
        """Return whether the number of requests is below the limit."""
        return total < limit


@REQUEST_SHARES.register("fair")
class FairShare(RequestShare):
    """Weighted max-min fairness over slots in use; unused shares can be borrowed.

    Ties are broken by the slot time used so far. With few slots, ties are frequent, and
    without this rule the team with the longest queue would win them.
    """

    def next_team(self, teams: list[TeamLoad]) -> TeamLoad:
        """Return the team that holds the fewest slots relative to its share.

        The moving average is included, so that a burst takes precedence over steady use
        above the share.
        """
        return min(
            teams,
            key=lambda t: (
                (t.in_flight + t.average) / max(t.share, 1e-6),
                t.used,
                t.oldest,
            ),
        )

    def admits(self, share: float, held: int, total: int, limit: int) -> bool:
        """Return whether unreserved capacity is left or the team is below its share."""
        if total >= limit:
            return False
        return total < limit * _LENDABLE_FRACTION or held < max(1.0, share * limit)

    def may_borrow(self, team: TeamLoad, free: int, slots: int, others: float) -> bool:
        """Return whether the team is below its share or enough slots remain free.

        A team that is below its share on average may exceed it in a burst.
        """
        if min(team.in_flight, team.average) < team.share * slots:
            return True
        return free > math.ceil(_RESERVED_FRACTION * slots * min(1.0, others))
