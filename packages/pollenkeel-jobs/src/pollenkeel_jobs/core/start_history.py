"""Start times of the runs on a worker, to find those that may have crashed it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

#: Runs that started at most this many seconds before the latest one are suspected as
#: well, because orders are executed in parallel.
_SUSPECT_SECONDS = 0.5
#: Seconds for which a worker must list a run that is no suspect any more. A task that
#: crashes its worker does so shortly after its start.
SOUND_SECONDS = 2.0
#: Seconds from the response to a start to a list with the run, after which the start
#: alone did not crash the worker.
_OUTLIVED_SECONDS = 0.1

#: Task id and number of a run.
_RunKey = tuple[str, int]


@attrs.define
class _Start:
    """Times of a start, of the first response and of the latest list with the run.

    All are in seconds; 0 if there was no response or no list.
    """

    at: float
    confirmed_at: float = 0.0
    listed_at: float = 0.0

    @property
    def seconds_listed(self) -> float:
        """Seconds from the first response to the latest list with the run."""
        return self.listed_at - self.confirmed_at if self.listed_at else 0.0


class StartHistory:
    """Starts of the runs of one incarnation of a worker that have not ended.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._starts_by_run: dict[_RunKey, _Start] = {}

    def record(self, run: _RunKey, now: float) -> None:
        """Record that a run is being started at the time ``now``, in seconds."""
        self._starts_by_run[run] = _Start(now)

    def confirm(self, run: _RunKey, now: float) -> None:
        """Record that the worker has responded, if only by a broken connection."""
        start = self._starts_by_run.get(run)
        if start is not None:
            start.confirmed_at = start.confirmed_at or now

    def record_listed(self, run: _RunKey, now: float) -> None:
        """Record that the worker has listed a run in progress."""
        self.confirm(run, now)
        start = self._starts_by_run.get(run)
        if start is not None:
            start.listed_at = now

    def forget(self, runs: Iterable[_RunKey]) -> None:
        """Drop runs that have ended or were not started."""
        for run in runs:
            self._starts_by_run.pop(run, None)

    def is_confirmed(self, runs: Iterable[_RunKey]) -> bool:
        """Return whether the worker has responded to the starts of all these runs."""
        return all(self._starts_by_run[run].confirmed_at for run in runs)

    def find_outlived(self, runs: Iterable[_RunKey]) -> list[_RunKey]:
        """Return those of the runs after whose start the worker stayed alive."""
        return [
            run
            for run in runs
            if self._starts_by_run[run].seconds_listed >= _OUTLIVED_SECONDS
        ]

    def find_suspects(self) -> list[_RunKey]:
        """Return the runs that may have crashed the worker.

        A task that crashes its worker does so soon after its start; runs that the
        worker has listed for longer are not suspected.

        A worker may have crashed before a start without any response reached it, so
        the runs that it has certainly received before are suspected as well.
        """
        starts = self._starts_by_run
        received = [start.at for start in starts.values() if start.confirmed_at]
        latest = max(received or [start.at for start in starts.values()], default=0.0)
        return [
            run
            for run, start in starts.items()
            if latest - start.at <= _SUSPECT_SECONDS
            and start.seconds_listed < SOUND_SECONDS
        ]
