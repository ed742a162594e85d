"""Limit on the concurrent requests of the entry, shared among the teams."""

from __future__ import annotations

import threading
from collections import Counter

from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.policy.request_share import RequestShare

#: Fraction of the HTTP server's threads that requests may occupy. The rest serve the
#: operators' API and reject excess requests without delay.
_THREAD_FRACTION = 0.9


class Admission:
    """Admits requests up to a limit and counts the admitted ones by team.

    Parameters
    ----------
    threads : int
        Threads of the HTTP server; each admitted request occupies one.
    waiting_requests : int
        Configured limit.
    """

    def __init__(self, threads: int, waiting_requests: int) -> None:
        self._limit = max(1, min(waiting_requests, int(threads * _THREAD_FRACTION)))
        self._lock = threading.Lock()
        self._held_by_team: Counter[str] = Counter()

    def enter(
        self, team: str, share: float, policy: RequestShare
    ) -> Result[None, Refusal]:
        """Admit one request of a team.

        Parameters
        ----------
        team : str
            Name of the team.
        share : float
            The team's share, a fraction of 1.
        policy : RequestShare
            Decides whether the request is admitted.

        Returns
        -------
        Result[None, Refusal]
            Code 2015 if the team has used its share, 2020 if the entry is full.
        """
        with self._lock:
            held, total = self._held_by_team[team], self._held_by_team.total()
            if policy.admits(share, held, total, self._limit):
                self._held_by_team[team] += 1
                return Ok(None)
        if total >= self._limit and held < share * self._limit:
            return Err(Refusal(Code.BACKLOG_FULL, f"{total} requests in the entry"))
        return Err(
            Refusal(Code.TEAM_OVER_SHARE, f"{team}: {held} requests in the entry")
        )

    def leave(self, team: str) -> None:
        """Record that an admitted request of a team has ended."""
        with self._lock:
            self._held_by_team[team] -= 1

    def total(self) -> int:
        """Return the number of admitted requests."""
        with self._lock:
            return self._held_by_team.total()

    def dump(self) -> dict[str, int]:
        """Return the number of admitted requests of each team."""
        with self._lock:
            return {team: held for team, held in self._held_by_team.items() if held}
