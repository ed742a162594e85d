"""Paces tasks that fill so that the serving tasks on the same VM keep their targets."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from pollenkeel_jobs.core.headroom import HeadroomTrend, get_headroom
from pollenkeel_jobs.core.latency_guard import HarmGuard
from pollenkeel_jobs.core.messages import PairHarm, RunningTask, TaskProfile

#: Headroom that the filling tasks leave to a serving task; 1 is at the target.
HEADROOM_KEPT = 1.1
#: Headroom below which all are slowed where no known pair explains it.
_UNEXPLAINED_BELOW = 1.1
#: Seconds from a figure until a decision on it shows in the next.
_LAG_SECONDS = 0.7
#: Seconds between two changes of the limit of a run whose harm is not known.
_SETTLE_SECONDS = 0.7
_FULL = 100.0
#: Factor of one step down, and percent of one step up, of that limit.
_BLIND_FACTOR = 0.4
_BLIND_RESTORE_STEP = 20.0
#: That limit after a pause of all.
_RESUMED_PERCENT = 50.0
#: Share of the way up to a higher pace that one decision goes. Full steps oscillate if
#: a weight is learnt too low by half.
_RISE_SHARE = 0.6
#: A pace below this many percent becomes a pause.
_PAUSE_BELOW = 5.0
#: Seconds after its start for which a run may be missing from the worker's lists.
_UNLISTED_SECONDS = 3.0
#: Changes of fewer percent are not sent.
_LEAST_CHANGE = 4.0


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
    """Pace of a run.

    Attributes
    ----------
    percent : float
        Pace in force.
    limit : float
        Upper bound while its harm is not known.
    limited_at : float
        Time of the last change of ``limit``, in seconds.
    listed_by : float
        Time by which the worker lists the run if it has begun, in seconds.
    """

    percent: float = _FULL
    limit: float = _FULL
    limited_at: float = 0.0
    listed_by: float = 0.0


@attrs.frozen
class _Filling:
    task: RunningTask
    profile: TaskProfile
    pace: _RunPace

    @property
    def run(self) -> tuple[str, int]:
        return self.task.task_id, self.task.run


@attrs.frozen
class _Serving:
    run: tuple[str, int]
    image: str
    headroom: float

    @property
    def pressure(self) -> float:
        return 1.0 / self.headroom


class PaceController:
    """Shares the headroom of the serving tasks among the filling tasks of a VM.

    How much headroom each image takes is learnt by the leader over all VMs. What
    remains of a serving task without any filling task follows from its figure and
    theirs; of that, ``HEADROOM_KEPT`` is left and the rest is given to one filling task
    after the other: those that take little first, and of equal ones those that are
    nearly done. As long as no known pair explains that a task is over its target, every
    filling task is slowed.

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
        self._trends_by_run: dict[tuple[str, int], HeadroomTrend] = {}
        self._rooms_left: dict[str, float] = {}
        self._guard = HarmGuard()
        self._paused = False
        self.pressure = 0.0
        self.best_effort_cores = FillingCores()

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
        serving, filling = self._sort(running, profiles_by_task)
        self._forget(serving, filling, now)
        self._note_figures(serving, filling)
        rooms = self._find_rooms(serving, filling, weights, cores, now)
        self._paused = self._guard.update(
            {item.run: item.pressure for item in serving}, now
        )
        self._limit_unknown(serving, filling, weights, rooms, cores, now)
        self._rooms_left = dict(rooms)
        for item, allowed in _share_rooms(self._rooms_left, filling, weights, cores):
            if self._paused:
                item.pace.percent = 0.0
                item.pace.limit = _RESUMED_PERCENT
                item.pace.limited_at = now
            else:
                _approach(item.pace, min(allowed, item.pace.limit))
        for item in filling:
            percent = int(item.pace.percent)
            if self._is_worth_sending(item.run, percent):
                yield Pace(*item.run, percent)

    def _is_worth_sending(self, run: tuple[str, int], percent: int) -> bool:
        sent = self._sent_by_run.get(run)
        if sent is None:
            # An agent that ran here before may have left the run at any pace.
            return True
        final = percent in (0, int(_FULL))
        return percent != sent and (final or abs(percent - sent) >= _LEAST_CHANGE)

    def admit(
        self,
        run: tuple[str, int],
        profile: TaskProfile,
        harms: Iterable[PairHarm],
        cores: int,
        now: float,
    ) -> Pace | None:
        """Return the pace at which a new run begins, or None for full speed.

        Until the worker lists it, a run would disturb others at full speed.

        Parameters
        ----------
        run : tuple of (str, int)
            Id of the task and number of the run.
        profile : TaskProfile
            Profile of the task.
        harms : iterable of PairHarm
            Pairs of images known to do harm.
        cores : int
            Capacity of the VM in thousandths of a core.
        now : float
            Current time in seconds.
        """
        if not profile.fills:
            return None
        weights = {(pair.serving, pair.filling): pair.weight for pair in harms}
        allowed = _take_share(self._rooms_left, profile, weights, cores) * _FULL
        pace = self._paces_by_run.setdefault(run, _RunPace())
        pace.listed_by = now + _UNLISTED_SECONDS
        pace.percent = 0.0 if self._paused or allowed < _PAUSE_BELOW else allowed
        if pace.percent < _FULL:
            return Pace(*run, int(pace.percent))
        self._sent_by_run[run] = int(_FULL)
        return None

    def confirm(self, pace: Pace) -> None:
        """Record that the worker accepted a change of pace."""
        self._sent_by_run[pace.task_id, pace.run] = pace.percent

    def _sort(
        self, running: list[RunningTask], profiles_by_task: dict[str, TaskProfile]
    ) -> tuple[list[_Serving], list[_Filling]]:
        """Return the serving and the filling runs."""
        serving = []
        filling = []
        for task in running:
            profile = profiles_by_task.get(task.task_id)
            if profile is None:
                continue
            run = (task.task_id, task.run)
            if profile.fills:
                pace = self._paces_by_run.setdefault(run, _RunPace())
                filling.append(_Filling(task, profile, pace))
            elif profile.latency_target:
                headroom = get_headroom(task.figure, profile.latency_target)
                serving.append(_Serving(run, profile.image, headroom))
        return serving, filling

    def _forget(
        self, serving: list[_Serving], filling: list[_Filling], now: float
    ) -> None:
        for run in set(self._paces_by_run) - {item.run for item in filling}:
            if now > self._paces_by_run[run].listed_by:
                del self._paces_by_run[run]
                self._sent_by_run.pop(run, None)
        for run in set(self._trends_by_run) - {item.run for item in serving}:
            del self._trends_by_run[run]

    def _note_figures(self, serving: list[_Serving], filling: list[_Filling]) -> None:
        self.pressure = max((item.pressure for item in serving), default=0.0)
        milli = 1000.0
        self.best_effort_cores = FillingCores(
            sum(item.profile.cores for item in filling) / milli,
            sum(item.profile.cores * item.pace.percent for item in filling)
            / _FULL
            / milli,
            sum(item.task.figure for item in filling) / milli,
        )

    def _find_rooms(
        self,
        serving: list[_Serving],
        filling: list[_Filling],
        weights: dict[tuple[str, str], float],
        cores: int,
        now: float,
    ) -> dict[str, float]:
        """Return the headroom to share for each serving image."""
        rooms: dict[str, float] = {}
        for item in serving:
            taken = sum(_get_harm(peer, item.image, weights, cores) for peer in filling)
            trend = self._trends_by_run.setdefault(item.run, HeadroomTrend())
            trend.update(item.headroom + taken, now)
            room = trend.forecast(_LAG_SECONDS) - HEADROOM_KEPT
            rooms[item.image] = min(rooms.get(item.image, room), room)
        return rooms

    def _limit_unknown(
        self,
        serving: list[_Serving],
        filling: list[_Filling],
        weights: dict[tuple[str, str], float],
        rooms: dict[str, float],
        cores: int,
        now: float,
    ) -> None:
        """Slow the runs of unknown harm while a task is over its target without cause.

        A known pair explains it if pacing that pair can bring the task below.
        """
        unexplained = {
            item.image
            for item in serving
            if item.headroom < _UNEXPLAINED_BELOW
            and rooms[item.image] <= 0.0
            and not any(
                _get_harm(peer, item.image, weights, cores) > 0 for peer in filling
            )
        }
        for item in filling:
            pace = item.pace
            if now - pace.limited_at < _SETTLE_SECONDS:
                continue
            if any((image, item.profile.image) not in weights for image in unexplained):
                pace.limit = min(pace.percent, pace.limit) * _BLIND_FACTOR
                pace.limited_at = now
            elif pace.limit < _FULL:
                pace.limit = min(_FULL, pace.limit + _BLIND_RESTORE_STEP)
                pace.limited_at = now


def _approach(pace: _RunPace, allowed: float) -> None:
    """Set a pace to the allowed one, and only part of the way if it is higher."""
    if allowed > pace.percent:
        rising = pace.percent + _RISE_SHARE * (allowed - pace.percent)
        allowed = allowed if allowed - rising < _LEAST_CHANGE else rising
    pace.percent = allowed if allowed >= _PAUSE_BELOW else 0.0


def _share_rooms(
    rooms: dict[str, float],
    filling: list[_Filling],
    weights: dict[tuple[str, str], float],
    cores: int,
) -> Iterator[tuple[_Filling, float]]:
    """Yield each filling run with the percent of its speed that the rooms allow.

    ``rooms`` is reduced by what the runs take. A few runs at full speed end sooner than
    many at a fraction of it.
    """
    whole = dict(rooms)

    def rank(item: _Filling) -> tuple[float, int, str]:
        needs = _find_needs(whole, item.profile, weights, cores)
        shares = (
            need / whole[image] if whole[image] > 0 else 1.0
            for image, need in needs.items()
        )
        cost = round(max(shares, default=0.0), 1)
        return cost, -item.task.percent, item.task.task_id

    for item in sorted(filling, key=rank):
        yield item, _take_share(rooms, item.profile, weights, cores) * _FULL


def _find_needs(
    rooms: dict[str, float],
    profile: TaskProfile,
    weights: dict[tuple[str, str], float],
    cores: int,
) -> dict[str, float]:
    """Return the headroom that a task takes at full speed, by serving image."""
    share = profile.cores / max(1, cores)
    return {
        image: weights[image, profile.image] * share
        for image in rooms
        if (image, profile.image) in weights
    }


def _take_share(
    rooms: dict[str, float],
    profile: TaskProfile,
    weights: dict[tuple[str, str], float],
    cores: int,
) -> float:
    """Take what a task can have from the rooms; return the share of its speed."""
    needs = _find_needs(rooms, profile, weights, cores)
    share = 1.0
    for image, need in needs.items():
        share = min(share, max(0.0, rooms[image]) / need)
    for image, need in needs.items():
        rooms[image] -= share * need
    return share


def _get_harm(
    item: _Filling, image: str, weights: dict[tuple[str, str], float], cores: int
) -> float:
    """Return the headroom of an image that a run takes by its present work."""
    weight = weights.get((image, item.profile.image), 0.0)
    return weight * item.task.figure / max(1, cores)
