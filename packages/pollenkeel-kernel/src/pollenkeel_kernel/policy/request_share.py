"""Shares of the teams in the request path of an entry."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry


@attrs.frozen
class TeamLoad:
    """One team that has requests waiting for a service.

    Attributes
    ----------
    team : str
        Name of the team.
    share : float
        Configured share, a fraction of 1.
    in_flight : int
        Requests of the team that hold a slot of the service.
    oldest : int
        Arrival number of the team's longest waiting request.
    average : float
        Mean number of slots that the team held lately.
    used : float
        Slot time that the team has used, in seconds divided by its share; a team that
        was idle starts at the level of the others.
    """

    team: str
    share: float
    in_flight: int
    oldest: int
    average: float = 0.0
    used: float = 0.0


class RequestShare(ABC):
    """Decides which team is served next and which team is refused."""

    @abstractmethod
    def next_team(self, teams: list[TeamLoad]) -> TeamLoad:
        """Return the team that gets the next free slot; ``teams`` is not empty."""

    @abstractmethod
    def admits(self, share: float, held: int, total: int, limit: int) -> bool:
        """Return whether another request of a team may enter.

        Parameters
        ----------
        share : float
            The team's share, a fraction of 1.
        held, total : int
            Requests inside the entry: of this team, and of all teams.
        limit : int
            Largest number of requests inside the entry.
        """

    def may_borrow(self, team: TeamLoad, free: int, slots: int, others: float) -> bool:
        """Return whether a team may take one more slot of a service.

        Parameters
        ----------
        team : TeamLoad
            The team.
        free, slots : int
            Free and all slots of the service, by this entry's estimate.
        others : float
            Sum of the shares of the other teams that sent requests lately.
        """
        return True


REQUEST_SHARES: Registry[RequestShare] = Registry("pollenkeel.policies")

#: Part of the limit that may be lent; the rest is kept for teams below their share,
#: so that a busy team cannot hold every thread of the entry.
_LENDABLE_FRACTION = 0.75
#: Part of the active teams' slots that is not lent. Without free slots their requests
#: wait for the end of a borrower's, which raised their p99 by half in the benchmark.
_RESERVED_FRACTION = 0.3


@REQUEST_SHARES.register("none")
class NoShare(RequestShare):
    """Baseline: first come, first served."""

    def next_team(self, teams: list[TeamLoad]) -> TeamLoad:
        """Return the team with the longest waiting request."""
        return min(teams, key=lambda load: load.oldest)

    def admits(self, share: float, held: int, total: int, limit: int) -> bool:
        """Return whether the limit leaves room."""
        return total < limit


@REQUEST_SHARES.register("fair")
class FairShare(RequestShare):
    """Weighted max-min fairness over the slots in use; unused share is lent.

    Equal holdings are decided by the slot time used so far: with few slots the
    holdings alone are often equal, and the longest queue would win.
    """

    def next_team(self, teams: list[TeamLoad]) -> TeamLoad:
        """Return the team that holds the fewest slots relative to its share.

        The mean counts too, so that a burst goes before steady use above the share.
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
        """Return whether there is lendable room or the team is below its share."""
        if total >= limit:
            return False
        return total < limit * _LENDABLE_FRACTION or held < max(1.0, share * limit)

    def may_borrow(self, team: TeamLoad, free: int, slots: int, others: float) -> bool:
        """Return whether the team is below its share or enough slots stay free.

        A team that is below its share on average may exceed it in a burst.
        """
        if min(team.in_flight, team.average) < team.share * slots:
            return True
        return free > math.ceil(_RESERVED_FRACTION * slots * min(1.0, others))
