"""Start times of the runs on a worker, to find those that may have crashed it."""

from __future__ import annotations

from collections.abc import Iterable

#: Runs that started at most this many seconds before the latest one are suspected as
#: well, because orders are executed in parallel.
_SUSPECT_SECONDS = 0.5

#: Task id and number of a run.
_RunKey = tuple[str, int]


class StartHistory:
    """Start times of the runs of one incarnation of a worker that have not ended.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._started_at_by_run: dict[_RunKey, float] = {}

    def record(self, run: _RunKey, now: float) -> None:
        """Record that a run is being started at the time ``now``, in seconds."""
        self._started_at_by_run[run] = now

    def forget(self, runs: Iterable[_RunKey]) -> None:
        """Drop runs that have ended or were not started."""
        for run in runs:
            self._started_at_by_run.pop(run, None)

    def find_latest(self) -> list[_RunKey]:
        """Return the latest run and those that started shortly before it.

        A task that crashes its worker does so soon after its start; runs that the
        worker has carried for longer are not suspected. The latest run may be old as
        well: the leader knows for how long it was listed, see ``record_crash``.
        """
        if not self._started_at_by_run:
            return []
        latest = max(self._started_at_by_run.values())
        return [
            run
            for run, started_at in self._started_at_by_run.items()
            if latest - started_at <= _SUSPECT_SECONDS
        ]
