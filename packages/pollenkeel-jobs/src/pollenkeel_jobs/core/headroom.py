"""Headroom of serving tasks: what of their latency target the load leaves.

The tail latency of a server with a queue is its idle latency over its idle share. The
headroom, target over latency, is therefore linear in the load, where latency itself is
not: each filling task takes its own part of it, whatever else runs beside it.
"""

from __future__ import annotations

import attrs

#: Headroom above this is cut off; it says only that there is no load.
_CAP = 12.0
#: Seconds in which the mean level follows a change by about two thirds.
_LEVEL_SECONDS = 0.6
#: The same for the trend.
_TREND_SECONDS = 1.5
#: Seconds without a figure after which the trend is unknown.
_GAP_SECONDS = 2.0


def get_headroom(latency: float, target: float) -> float:
    """Return target over latency, 1 at the target.

    Parameters
    ----------
    latency, target : float
        Tail latency and its target, in milliseconds.
    """
    return min(_CAP, target / latency) if latency > 0 else _CAP


@attrs.define
class HeadroomTrend:
    """Level and trend of a headroom by double exponential smoothing.

    Figures lag, so that decisions need the headroom as it is by the time when they
    take effect.
    """

    level: float = 0.0
    trend: float = 0.0
    updated_at: float = 0.0

    def update(self, value: float, now: float) -> None:
        """Take a figure of the time ``now``, in seconds."""
        passed = now - self.updated_at
        if not self.updated_at or passed > _GAP_SECONDS:
            self.level, self.trend = value, 0.0
        elif passed > 0:
            expected = self.level + self.trend * passed
            share = passed / (passed + _LEVEL_SECONDS)
            level = expected + share * (value - expected)
            share = passed / (passed + _TREND_SECONDS)
            self.trend += share * ((level - self.level) / passed - self.trend)
            self.level = level
        self.updated_at = now

    def forecast(self, seconds: float) -> float:
        """Return the headroom expected after some seconds."""
        return self.level + self.trend * seconds
