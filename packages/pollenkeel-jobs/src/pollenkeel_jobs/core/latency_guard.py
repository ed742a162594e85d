"""Bounds how long filling tasks may keep a serving task over its latency target."""

from __future__ import annotations

import math
from collections.abc import Mapping

import logbook

from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("harm")

#: Pressure, latency over target, from which a serving task counts as over its target,
#: and below which it no longer does. The figures are rough, so the latter is below 1.
_OVER_FROM = 1.0
_OVER_UNTIL = 0.9
#: Seconds from the first figure over the target until it must be below again, with all
#: filling tasks paused if need be. Figures lag by up to a second, and operators
#: tolerate four seconds of harm.
_HARM_SECONDS = 2.4
#: Seconds in which a high latency falls by the factor e once all have paused.
_DECAY_SECONDS = 0.6


class HarmGuard:
    """Decides when every filling task of a VM has to pause.

    Pacing relies on learnt pairs of images, which may be wrong or incomplete. The guard
    does not: if a serving task stays over its target, everything that fills pauses
    until it is below, the sooner the higher the latency is.
    """

    def __init__(self) -> None:
        self._over_since_by_run: dict[tuple[str, int], float] = {}
        self._pauses = False

    def update(
        self, pressure_by_run: Mapping[tuple[str, int], float], now: float
    ) -> bool:
        """Return whether all filling tasks have to pause.

        Parameters
        ----------
        pressure_by_run : mapping of (str, int) to float
            Latency over target of each serving run.
        now : float
            Current time in seconds.
        """
        for run in set(self._over_since_by_run) - set(pressure_by_run):
            del self._over_since_by_run[run]
        for run, pressure in pressure_by_run.items():
            if pressure > _OVER_FROM:
                self._over_since_by_run.setdefault(run, now)
            elif pressure < _OVER_UNTIL:
                self._over_since_by_run.pop(run, None)
        over = self._over_since_by_run
        pauses = (self._pauses and bool(over)) or any(
            now - since >= _HARM_SECONDS - _estimate_decay(pressure_by_run[run])
            for run, since in over.items()
        )
        if pauses != self._pauses:
            since = min(over.values(), default=now)
            self._log(pauses, pressure_by_run, round(now - since, 2))
        self._pauses = pauses
        return pauses

    def _log(
        self,
        pauses: bool,
        pressure_by_run: Mapping[tuple[str, int], float],
        seconds: float,
    ) -> None:
        event = "filling tasks paused" if pauses else "filling tasks resume"
        over = [task_id for task_id, _ in self._over_since_by_run]
        highest = max(pressure_by_run.values(), default=0.0)
        log_change(
            logger, event, over=over[:3], pressure=round(highest, 2), seconds=seconds
        )


def _estimate_decay(pressure: float) -> float:
    """Return the seconds that a latency needs to fall to its target after a pause."""
    return _DECAY_SECONDS * math.log(max(1.0, pressure))
