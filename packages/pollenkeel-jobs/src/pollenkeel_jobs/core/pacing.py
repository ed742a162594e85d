"""Paces tasks that fill while a serving task on the same VM is over its target."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from pollenkeel_jobs.core.harm_guard import HarmGuard
from pollenkeel_jobs.core.messages import PairHarm, RunningTask, TaskProfile

#: Pressure, latency over target, above which filling tasks are slowed.
_SLOW_ABOVE = 0.75
#: Pressure that a slowing aims at.
_AIM = 0.6
#: Pressure above which all are slowed where no pair is known to do harm.
_SLOW_ALL_ABOVE = 0.9
#: Pressure that a restored task may lead to.
_RESTORE_UP_TO = 0.6
#: Seconds between two changes of one run; figures lag by half a second.
_SETTLE_SECONDS = 0.7
_FULL = 100.0
#: Factor of one step down where the harmful image is not known.
_BLIND_FACTOR = 0.4
#: Part of the computed reduction that is added for safety.
_REDUCTION_RESERVE = 1.2
#: Most percent added by one step up, for known and for unknown images.
_RESTORE_STEP = 40.0
_BLIND_RESTORE_STEP = 20.0
#: Share of its earlier pace at which a run goes on after a pause of all.
_RESUMED_SHARE = 0.5
#: A pace below this many percent becomes a pause.
_PAUSE_BELOW = 5.0


@attrs.frozen
class Pace:
    """New share of speed of a run, in percent."""

    task_id: str
    run: int
    percent: int


@attrs.frozen
class FillingCores:
    """Cores of the filling tasks of a VM.

    Attributes
    ----------
    declared, allowed, used : float
        What the tasks declare, what their paces allow of it, and what they use.
    """

    declared: float = 0.0
    allowed: float = 0.0
    used: float = 0.0


@attrs.define
class _RunPace:
    percent: float = _FULL
    changed_at: float = 0.0
    blind: bool = False
    before_pause: float | None = None


@attrs.frozen
class _Filling:
    task: RunningTask
    profile: TaskProfile
    pace: _RunPace


@attrs.frozen
class _Serving:
    run: tuple[str, int]
    image: str
    pressure: float


class PaceController:
    """Slows the filling tasks that do harm, and only as far as needed.

    Which images do harm is learnt by the leader over all VMs; as long as nothing is
    known of an image beside a task that is over its target, every filling task is
    slowed.

    Attributes
    ----------
    pressure : float
        Highest latency over target of the serving tasks at the last decision.
    filling_cores : FillingCores
        Cores of the filling tasks at the last decision.
    """

    def __init__(self) -> None:
        self._paces_by_run: dict[tuple[str, int], _RunPace] = {}
        self._sent_by_run: dict[tuple[str, int], int] = {}
        self._guard = HarmGuard()
        self.pressure = 0.0
        self.filling_cores = FillingCores()

    @property
    def active(self) -> bool:
        """Whether a filling task is slowed."""
        return any(pace.percent < _FULL for pace in self._paces_by_run.values())

    def decide(
        self,
        running: list[RunningTask],
        profiles_by_task: dict[str, TaskProfile],
        harms: Iterable[PairHarm],
        cores: int,
        now: float,
    ) -> Iterator[Pace]:
        """Yield the changes of pace for the current lists.

        Parameters
        ----------
        running : list of RunningTask
            Runs with their latest figures.
        profiles_by_task : dict of str to TaskProfile
            Profiles of the running tasks.
        harms : iterable of PairHarm
            Pairs of images known to do harm.
        cores : int
            Capacity of the VM in thousandths of a core.
        now : float
            Current time in seconds.
        """
        weights = {(pair.serving, pair.filling): pair.weight for pair in harms}
        serving = []
        filling = []
        for task in running:
            profile = profiles_by_task.get(task.task_id)
            if profile is None:
                continue
            if profile.fills:
                run = (task.task_id, task.run)
                pace = self._paces_by_run.setdefault(run, _RunPace())
                filling.append(_Filling(task, profile, pace))
            elif profile.latency_target:
                pressure = task.figure / profile.latency_target
                run = (task.task_id, task.run)
                serving.append(_Serving(run, profile.image, pressure))
        self._note_figures(serving, filling)
        self._forget({(item.task.task_id, item.task.run) for item in filling})
        paused = self._guard.update({item.run: item.pressure for item in serving}, now)
        for item in filling:
            if paused:
                self._pause(item.pace, now)
            elif item.pace.before_pause is not None:
                self._resume(item.pace, now)
            elif now - item.pace.changed_at >= _SETTLE_SECONDS:
                self._adjust(item, serving, filling, weights, cores, now)
        for item in filling:
            percent = int(item.pace.percent)
            run = (item.task.task_id, item.task.run)
            if self._sent_by_run.get(run, int(_FULL)) != percent:
                yield Pace(*run, percent)

    def confirm(self, pace: Pace) -> None:
        """Record that the worker accepted a change of pace."""
        self._sent_by_run[pace.task_id, pace.run] = pace.percent

    def _note_figures(self, serving: list[_Serving], filling: list[_Filling]) -> None:
        self.pressure = max((item.pressure for item in serving), default=0.0)
        milli = 1000.0
        self.filling_cores = FillingCores(
            sum(item.profile.cores for item in filling) / milli,
            sum(item.profile.cores * item.pace.percent for item in filling)
            / _FULL
            / milli,
            sum(item.task.figure for item in filling) / milli,
        )

    def _forget(self, listed: set[tuple[str, int]]) -> None:
        for run in set(self._paces_by_run) - listed:
            del self._paces_by_run[run]
            self._sent_by_run.pop(run, None)

    def _adjust(
        self,
        item: _Filling,
        serving: list[_Serving],
        filling: list[_Filling],
        weights: dict[tuple[str, str], float],
        cores: int,
        now: float,
    ) -> None:
        factor = 1.0
        blind = False
        for other in serving:
            if other.pressure <= _SLOW_ABOVE:
                continue
            harm = sum(_get_harm(peer, other, weights, cores) for peer in filling)
            if harm > 0:
                if (other.image, item.profile.image) in weights:
                    excess = (other.pressure - _AIM) * _REDUCTION_RESERVE
                    factor = min(factor, max(0.0, 1.0 - excess / harm))
            elif other.pressure > _SLOW_ALL_ABOVE:
                factor = min(factor, _BLIND_FACTOR)
                blind = True
        pace = item.pace
        if factor < 1.0:
            slower = pace.percent * factor
            self._set(pace, slower if slower >= _PAUSE_BELOW else 0.0, now)
            pace.blind = blind
        elif pace.percent < _FULL:
            self._restore(item, serving, filling, weights, cores, now)

    def _restore(
        self,
        item: _Filling,
        serving: list[_Serving],
        filling: list[_Filling],
        weights: dict[tuple[str, str], float],
        cores: int,
        now: float,
    ) -> None:
        """Speed a run up, sharing the room with the other slowed runs."""
        missing = _FULL - item.pace.percent
        step = min(missing, _BLIND_RESTORE_STEP if item.pace.blind else _RESTORE_STEP)
        for other in serving:
            if (other.image, item.profile.image) not in weights:
                continue
            withheld = sum(
                weights.get((other.image, peer.profile.image), 0.0)
                * peer.profile.cores
                * (1.0 - peer.pace.percent / _FULL)
                for peer in filling
            )
            room = (_RESTORE_UP_TO - other.pressure) * cores
            step = min(step, missing * room / max(1.0, withheld))
        if step >= 1.0:
            self._set(item.pace, item.pace.percent + step, now)

    def _pause(self, pace: _RunPace, now: float) -> None:
        if pace.before_pause is None:
            pace.before_pause = pace.percent
        self._set(pace, 0.0, now)

    def _resume(self, pace: _RunPace, now: float) -> None:
        """Let a run go on at half of its pace before the pause."""
        before, pace.before_pause = pace.before_pause or 0.0, None
        self._set(pace, before * _RESUMED_SHARE, now)

    @staticmethod
    def _set(pace: _RunPace, percent: float, now: float) -> None:
        if percent != pace.percent:
            pace.percent = percent
            pace.changed_at = now


def _get_harm(
    item: _Filling, other: _Serving, weights: dict[tuple[str, str], float], cores: int
) -> float:
    weight = weights.get((other.image, item.profile.image), 0.0)
    return weight * item.task.figure / max(1, cores)
