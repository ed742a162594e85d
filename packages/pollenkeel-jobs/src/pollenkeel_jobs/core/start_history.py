"""Start times of the runs on a worker, to find those that may have crashed it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

#: Runs that started at most this many seconds before the latest one are suspected as
#: well, because orders are executed in parallel.
_SUSPECT_SECONDS = 0.5

#: Task id and number of a run.
_RunKey = tuple[str, int]


@attrs.define
class _Start:
    """Time of a start in seconds, and whether the worker has responded to it."""

    at: float
    confirmed: bool = False


class StartHistory:
    """Starts of the runs of one incarnation of a worker that have not ended.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._starts_by_run: dict[_RunKey, _Start] = {}

    def record(self, run: _RunKey, now: float) -> None:
        """Record that a run is being started at the time ``now``, in seconds."""
        self._starts_by_run[run] = _Start(now)

    def confirm(self, run: _RunKey) -> None:
        """Record that the worker has responded, if only by a broken connection."""
        start = self._starts_by_run.get(run)
        if start is not None:
            start.confirmed = True

    def forget(self, runs: Iterable[_RunKey]) -> None:
        """Drop runs that have ended or were not started."""
        for run in runs:
            self._starts_by_run.pop(run, None)

    def is_confirmed(self, runs: Iterable[_RunKey]) -> bool:
        """Return whether the worker has responded to the starts of all these runs."""
        return all(self._starts_by_run[run].confirmed for run in runs)

    def find_suspects(self) -> list[_RunKey]:
        """Return the runs that may have crashed the worker.

        A task that crashes its worker does so soon after its start; runs that the
        worker has carried for longer are not suspected. The latest run may be old as
        well: the leader knows for how long it was listed, see ``record_crash``.

        A worker may have crashed before a start without any response reached it, so
        the runs that it has certainly received before are suspected as well.
        """
        starts = self._starts_by_run
        received = [start.at for start in starts.values() if start.confirmed]
        latest = max(received or [start.at for start in starts.values()], default=0.0)
        return [
            run
            for run, start in starts.items()
            if latest - start.at <= _SUSPECT_SECONDS
        ]
