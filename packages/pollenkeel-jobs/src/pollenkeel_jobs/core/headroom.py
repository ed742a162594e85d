"""Headroom of latency-critical tasks: latency target over measured tail latency.

The tail latency of a server with a queue is its idle latency divided by its idle share.
Headroom is therefore linear in the load, while latency is not: each best-effort task
consumes a fixed amount of headroom, whatever else runs on the VM.
"""

from __future__ import annotations

import attrs

#: Upper bound of a headroom. Higher values only mean that there is no load.
_MAX_HEADROOM = 12.0
#: Lower bound of a headroom, so that its reciprocal is finite. A target may be declared
#: as small as the least positive number.
_LEAST_HEADROOM = 1e-6
#: Time constants of the smoothed level and trend, in seconds.
_LEVEL_SECONDS = 0.6
_TREND_SECONDS = 1.5
#: Seconds without a measurement after which level and trend are reset.
_MAX_GAP_SECONDS = 2.0


def compute_headroom(latency: float, target: float) -> float:
    """Return target over latency, within bounds; 1 means that it is at its target.

    Parameters
    ----------
    latency, target : float
        Tail latency and its target, in milliseconds; a latency of 0 is not measured
        yet.
    """
    if latency <= 0:
        return _MAX_HEADROOM
    return max(_LEAST_HEADROOM, min(_MAX_HEADROOM, target / latency))


@attrs.define
class HeadroomTrend:
    """Level and trend of a headroom by double exponential smoothing.

    Measurements lag and decisions take effect later. Decisions are therefore based on
    the headroom forecast for that time.
    """

    level: float = 0.0
    trend: float = 0.0
    updated_at: float = 0.0

    def update(self, value: float, now: float) -> None:
        """Add a measurement made at the time ``now``, in seconds."""
        passed = now - self.updated_at
        if not self.updated_at or passed > _MAX_GAP_SECONDS:
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
        """Return the headroom expected in ``seconds``."""
        return self.level + self.trend * seconds
