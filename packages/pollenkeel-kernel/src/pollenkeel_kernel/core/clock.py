"""Wall clock that ignores clock steps after the process has started."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of points in time, in seconds since the Unix epoch."""

    @abstractmethod
    def now(self) -> float:
        """Return the current point in time in seconds since the Unix epoch."""


class SystemClock(Clock):
    """Reads the wall clock once and advances it with CLOCK_BOOTTIME.

    CLOCK_BOOTTIME keeps running while the process is stopped or the VM is suspended,
    so leases expire during such a pause. Later steps of the wall clock have no effect.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return the current point in time in seconds since the Unix epoch."""
        return self._offset + time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock for tests; advances only when ``advance`` is called.

    Parameters
    ----------
    start : float
        First point in time, in seconds since the Unix epoch.
    """

    def __init__(self, start: float = 1_700_000_000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current point in time in seconds since the Unix epoch."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Parameters
        ----------
        seconds : float
            Time to add, in seconds.
        """
        self._now += seconds
