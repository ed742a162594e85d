"""Progress of a run by the clock of its worker."""

from __future__ import annotations

import attrs

#: Percents that a run must have gained before its pace is known. The first one may have
#: begun before the first listing, and the listing of any one may be late.
_MIN_PERCENT_GAINED = 3


@attrs.define
class RunProgress:
    """Progress of one run, as its worker lists it.

    Times are those of the lists on the worker's clock, in milliseconds: a report that
    is delayed on its way to the leader does not make a run look slower.

    Attributes
    ----------
    percent : int
        Latest progress in percent.
    initial_percent : int
        Progress in the first list; a run from a checkpoint does not begin at 0.
    listed_at : float
        Time of the first list; 0 before it.
    changed_at : float
        Time of the first list with the latest progress.
    check_at : float
        Time before which the run need not be checked for a stall.
    """

    percent: int = 0
    initial_percent: int = 0
    listed_at: float = 0.0
    changed_at: float = 0.0
    check_at: float = 0.0

    def record(self, percent: int, at: float) -> None:
        """Record the progress in a list made at the time ``at``."""
        if not self.listed_at:
            self.listed_at = self.changed_at = at
            self.percent = self.initial_percent = percent
        elif percent != self.percent:
            self.percent = percent
            self.changed_at = at

    def excuse(self, at: float) -> None:
        """Do not count the time before ``at`` as time without progress."""
        self.changed_at = at

    def seconds_without_change(self, at: float) -> float:
        """Return the seconds since the latest change of the progress."""
        return (at - self.changed_at) / 1000

    @property
    def has_changed(self) -> bool:
        """Whether the run has shown progress since it was first listed."""
        return self.percent != self.initial_percent

    @property
    def seconds_per_percent(self) -> float | None:
        """Mean time that the run takes for one percent; None if it is not known yet.

        The first percent is left out of the count, as only a part of it was seen.
        """
        gained = self.percent - self.initial_percent
        if gained < _MIN_PERCENT_GAINED:
            return None
        return (self.changed_at - self.listed_at) / 1000 / (gained - 1)
