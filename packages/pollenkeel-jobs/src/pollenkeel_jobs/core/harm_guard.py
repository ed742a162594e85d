"""Bounds how long filling tasks may keep a serving task over its latency target."""

from __future__ import annotations

from collections.abc import Mapping

import logbook

from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("harm")

#: Pressure, latency over target, from which a serving task counts as over its target,
#: and below which it no longer does. The figures are rough, so the latter is below 1.
_OVER_FROM = 1.0
_OVER_UNTIL = 0.9
#: Seconds over the target after which all filling tasks are paused. Figures lag by up
#: to a second, and operators tolerate four seconds of harm. Pacing by learnt pairs
#: needs most of this time, and a pause of all costs more work.
_PATIENCE_SECONDS = 2.4


class HarmGuard:
    """Decides when every filling task of a VM has to pause.

    Pacing relies on learnt pairs of images, which may be wrong or incomplete. The guard
    does not: if a serving task stays over its target, everything that fills pauses
    until it is below.
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
        since = min(self._over_since_by_run.values(), default=now)
        pauses = now - since >= _PATIENCE_SECONDS or (
            self._pauses and bool(self._over_since_by_run)
        )
        if pauses != self._pauses:
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
