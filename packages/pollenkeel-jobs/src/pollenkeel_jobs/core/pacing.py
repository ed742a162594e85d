"""Paces tasks that fill while a serving task on the same VM is over its target."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.messages import RunningTask, TaskProfile

#: Share of the latency target, without unit, above which filling tasks are slowed.
_SLOW_ABOVE = 0.85
#: Share of the latency target below which filling tasks are sped up again.
_RESTORE_BELOW = 0.55
#: Seconds between two changes of one VM; figures lag by half a second.
_SETTLE_SECONDS = 0.8
_RESTORE_SETTLE_SECONDS = 1.6
_FULL = 100
#: Factor of one step down.
_SLOW_FACTOR = 0.4
#: Percent added by one step up.
_RESTORE_STEP = 20
#: A pace below this many percent becomes a pause.
_PAUSE_BELOW = 8


@attrs.frozen
class Pace:
    """New share of speed of a run, in percent."""

    task_id: str
    run: int
    percent: int


class PaceController:
    """Additive increase and multiplicative decrease of the pace of filling tasks."""

    def __init__(self) -> None:
        self._percent = _FULL
        self._changed_at = 0.0
        self._paces_by_run: dict[tuple[str, int], int] = {}

    @property
    def active(self) -> bool:
        """Whether filling tasks are slowed."""
        return self._percent < _FULL

    def decide(
        self,
        running: list[RunningTask],
        profiles_by_task: dict[str, TaskProfile],
        now: float,
    ) -> Iterator[Pace]:
        """Yield the changes of pace for the current lists.

        Parameters
        ----------
        running : list of RunningTask
            Runs with their latest figures.
        profiles_by_task : dict of str to TaskProfile
            Profiles of the running tasks.
        now : float
            Current time in seconds.
        """
        pressure = max(
            (
                task.figure / profile.latency_target
                for task in running
                if (profile := profiles_by_task.get(task.task_id))
                and profile.latency_target > 0
            ),
            default=0.0,
        )
        self._adjust(pressure, now)
        listed = set()
        for task in running:
            profile = profiles_by_task.get(task.task_id)
            if profile is None or not profile.fills:
                continue
            run = (task.task_id, task.run)
            listed.add(run)
            if self._paces_by_run.get(run, _FULL) != self._percent:
                yield Pace(task.task_id, task.run, self._percent)
        for run in set(self._paces_by_run) - listed:
            del self._paces_by_run[run]

    def confirm(self, pace: Pace) -> None:
        """Record that the worker accepted a change of pace."""
        self._paces_by_run[pace.task_id, pace.run] = pace.percent

    def _adjust(self, pressure: float, now: float) -> None:
        since = now - self._changed_at
        if pressure > _SLOW_ABOVE and since >= _SETTLE_SECONDS and self._percent > 0:
            slower = int(self._percent * _SLOW_FACTOR)
            self._percent = slower if slower >= _PAUSE_BELOW else 0
            self._changed_at = now
        elif (
            pressure < _RESTORE_BELOW
            and self._percent < _FULL
            and since >= _RESTORE_SETTLE_SECONDS
        ):
            self._percent = min(_FULL, self._percent + _RESTORE_STEP)
            self._changed_at = now
