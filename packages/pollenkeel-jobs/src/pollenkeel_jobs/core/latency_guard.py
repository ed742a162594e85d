"""Bounds the time for which best-effort tasks keep others over their latency target."""

from __future__ import annotations

import math
from collections.abc import Mapping

import logbook

from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("harm")

#: Tail latency over target (``pressure``) above which a latency-critical task counts as
#: over its target, and below which it no longer does. The second is below 1 because the
#: measurements are noisy.
_OVER_ABOVE = 1.0
_NOT_OVER_BELOW = 0.9
#: Seconds from the first measurement over the target within which the latency must be
#: below it again. Measurements lag by up to a second, and operators tolerate four
#: seconds of interference.
_MAX_OVER_SECONDS = 2.4
#: Seconds in which a high latency falls by the factor e once all best-effort tasks are
#: paused.
_DECAY_SECONDS = 0.6


class LatencyGuard:
    """Decides when all best-effort tasks of a VM are paused.

    Throttling relies on learned interference, which may be wrong or incomplete. The
    guard does not: if a latency-critical task stays over its target, all best-effort
    tasks are paused until it is below. The higher the latency is, the sooner they are
    paused, as it takes longer to fall.
    """

    def __init__(self) -> None:
        self._over_since_by_run: dict[tuple[str, int], float] = {}
        self._paused = False

    def update(
        self, pressure_by_run: Mapping[tuple[str, int], float], now: float
    ) -> bool:
        """Return whether all best-effort tasks have to be paused.

        Parameters
        ----------
        pressure_by_run : mapping of (str, int) to float
            Tail latency over target of each latency-critical run.
        now : float
            Current time in seconds.
        """
        for run in set(self._over_since_by_run) - set(pressure_by_run):
            del self._over_since_by_run[run]
        for run, pressure in pressure_by_run.items():
            if pressure > _OVER_ABOVE:
                self._over_since_by_run.setdefault(run, now)
            elif pressure < _NOT_OVER_BELOW:
                self._over_since_by_run.pop(run, None)
        over = self._over_since_by_run
        paused = (self._paused and bool(over)) or any(
            now - since >= _MAX_OVER_SECONDS - _estimate_decay(pressure_by_run[run])
            for run, since in over.items()
        )
        if paused != self._paused:
            since = min(over.values(), default=now)
            self._log_pause(paused, pressure_by_run, round(now - since, 2))
        self._paused = paused
        return paused

    def _log_pause(
        self,
        paused: bool,
        pressure_by_run: Mapping[tuple[str, int], float],
        seconds: float,
    ) -> None:
        event = "best-effort tasks paused" if paused else "best-effort tasks resumed"
        over = [task_id for task_id, _ in self._over_since_by_run]
        highest = max(pressure_by_run.values(), default=0.0)
        log_change(
            logger, event, over=over[:3], pressure=round(highest, 2), seconds=seconds
        )


def _estimate_decay(pressure: float) -> float:
    """Return the seconds that a latency takes to fall to its target after a pause."""
    return _DECAY_SECONDS * math.log(max(1.0, pressure))
