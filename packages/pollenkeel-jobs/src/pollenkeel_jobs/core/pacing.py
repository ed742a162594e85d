"""Throttles the best-effort tasks of a VM in favour of its latency-critical tasks.

A pace caps the speed of a best-effort task, in percent. ``serving`` refers to
latency-critical tasks, which have a latency target. Messages call best-effort tasks
``fills`` or ``filling``. Headroom is target over tail latency, see ``headroom``.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from pollenkeel_jobs.core.cpu_share import compute_cpu_share
from pollenkeel_jobs.core.headroom import HeadroomTrend, compute_headroom
from pollenkeel_jobs.core.latency_guard import LatencyGuard
from pollenkeel_jobs.core.messages import InterferingPair, RunningTask, TaskProfile

#: Headroom that best-effort tasks leave to a latency-critical task; at 1 its latency is
#: at the target.
MIN_HEADROOM = 1.1
#: Headroom below which best-effort tasks without a weight are throttled, if no task
#: with a weight explains it.
_LOW_HEADROOM = 1.1
#: Seconds from a measurement until a decision based on it shows in the measurements.
_EFFECT_DELAY_SECONDS = 0.7
#: Seconds between two changes of ``_RunPace.limit``.
_LIMIT_CHANGE_INTERVAL = 0.7
_FULL_SPEED = 100.0
#: Factor that ``_RunPace.limit`` is multiplied by to throttle a run, and percent added
#: to it to recover.
_LIMIT_DECREASE_FACTOR = 0.4
_LIMIT_INCREASE_STEP = 20.0
#: ``_RunPace.limit`` with which runs resume after a pause of all, in percent.
_RESUMED_LIMIT = 50.0
#: Share of the difference to a higher pace that one decision covers. Full steps
#: oscillate if a learned weight is half of the true one.
_INCREASE_SHARE = 0.6
#: Pace in percent below which a run is paused instead.
_MIN_PACE = 5.0
#: Seconds after its start within which the worker must list a run.
_FIRST_LISTING_SECONDS = 3.0
#: Smallest change of a pace that is sent, in percent.
_MIN_PACE_CHANGE = 4.0


@attrs.frozen
class Pace:
    """Change of the pace of a run, in percent of full speed; 0 pauses it."""

    task_id: str
    run: int
    percent: int


@attrs.frozen
class BestEffortCores:
    """Cores of the best-effort tasks of a VM.

    Attributes
    ----------
    declared, allowed, used : float
        Cores that the tasks declare, that their paces allow, and that they use.
    """

    declared: float = 0.0
    allowed: float = 0.0
    used: float = 0.0


@attrs.define
class _RunPace:
    """State of the pace of a best-effort run.

    Attributes
    ----------
    percent : float
        Current pace.
    limit : float
        Upper bound of the pace where a low headroom is not explained by weights.
    limit_changed_at : float
        Time of the last change of ``limit``, in seconds.
    listed_by : float
        Time by which the worker lists the run if it has started, in seconds.
    """

    percent: float = _FULL_SPEED
    limit: float = _FULL_SPEED
    limit_changed_at: float = 0.0
    listed_by: float = 0.0


@attrs.frozen
class _BestEffortRun:
    task: RunningTask
    profile: TaskProfile
    pace: _RunPace

    @property
    def run(self) -> tuple[str, int]:
        return self.task.task_id, self.task.run


@attrs.frozen
class _ServingRun:
    run: tuple[str, int]
    image: str
    headroom: float

    @property
    def pressure(self) -> float:
        return 1.0 / self.headroom


class PaceController:
    """Distributes the headroom of latency-critical tasks among best-effort tasks.

    The leader learns from all VMs how much headroom each best-effort image consumes. It
    sends a weight (``InterferingPair``) for each pair of images that interferes or is
    not learned yet, and none for a negligible pair. With these weights the controller
    estimates the headroom that each latency-critical task would have without
    best-effort tasks. All but ``MIN_HEADROOM`` of it is the budget that is given to one
    best-effort task after the other: those that consume little first, and among equal
    ones those that are nearly done.

    If the headroom falls below ``_LOW_HEADROOM`` and no task with a weight explains it,
    the best-effort tasks without a weight are throttled. If ``LatencyGuard`` demands
    it, all best-effort tasks are paused.

    Attributes
    ----------
    pressure : float
        Highest tail latency over target of the latency-critical tasks at the last
        decision.
    best_effort_cores : BestEffortCores
        Cores of the best-effort tasks at the last decision.
    """

    def __init__(self) -> None:
        self._paces_by_run: dict[tuple[str, int], _RunPace] = {}
        self._sent_percent_by_run: dict[tuple[str, int], int] = {}
        self._trends_by_run: dict[tuple[str, int], HeadroomTrend] = {}
        self._remaining_budgets: dict[str, float] = {}
        self._guard = LatencyGuard()
        self._paused = False
        self.pressure = 0.0
        self.best_effort_cores = BestEffortCores()

    @property
    def active(self) -> bool:
        """Whether a best-effort task is throttled."""
        return any(pace.percent < _FULL_SPEED for pace in self._paces_by_run.values())

    def decide(
        self,
        running: list[RunningTask],
        profiles_by_task: dict[str, TaskProfile],
        interfering_pairs: Iterable[InterferingPair],
        cores: int,
        now: float,
    ) -> Iterator[Pace]:
        """Yield the changes of pace for the runs of the VM.

        Parameters
        ----------
        running : list of RunningTask
            Runs with their latest measurements.
        profiles_by_task : dict of str to TaskProfile
            Profiles of the running tasks.
        interfering_pairs : iterable of InterferingPair
            Pairs of images with a weight; see the class.
        cores : int
            Capacity of the VM in thousandths of a core.
        now : float
            Current time in seconds.
        """
        weights = _index_weights(interfering_pairs)
        serving, best_effort = self._classify(running, profiles_by_task)
        self._drop_ended_runs(serving, best_effort, now)
        self._update_totals(serving, best_effort)
        budgets = self._compute_budgets(serving, best_effort, weights, cores, now)
        self._paused = self._guard.update(
            {item.run: item.pressure for item in serving}, now
        )
        self._update_limits(serving, best_effort, weights, budgets, cores, now)
        self._remaining_budgets = dict(budgets)
        for item, allowed in _share_budgets(
            self._remaining_budgets, best_effort, weights, cores
        ):
            if self._paused:
                item.pace.percent = 0.0
                item.pace.limit = _RESUMED_LIMIT
                item.pace.limit_changed_at = now
            else:
                _set_pace(item.pace, min(allowed, item.pace.limit))
        for item in best_effort:
            percent = int(item.pace.percent)
            if self._should_send(item.run, percent):
                yield Pace(*item.run, percent)

    def _should_send(self, run: tuple[str, int], percent: int) -> bool:
        sent = self._sent_percent_by_run.get(run)
        if sent is None:
            # A previous process of the agent may have set any pace.
            return True
        final = percent in (0, int(_FULL_SPEED))
        return percent != sent and (final or abs(percent - sent) >= _MIN_PACE_CHANGE)

    def admit(
        self,
        run: tuple[str, int],
        profile: TaskProfile,
        interfering_pairs: Iterable[InterferingPair],
        cores: int,
        now: float,
    ) -> Pace | None:
        """Reserve headroom for a new run; return its first pace or None for full speed.

        ``decide`` only throttles a run once the worker lists it; until then it would
        interfere at full speed.

        Parameters
        ----------
        run : tuple of (str, int)
            Id of the task and number of the run.
        profile : TaskProfile
            Profile of the task.
        interfering_pairs : iterable of InterferingPair
            Pairs of images with a weight; see the class.
        cores : int
            Capacity of the VM in thousandths of a core.
        now : float
            Current time in seconds.
        """
        if not profile.fills:
            return None
        weights = _index_weights(interfering_pairs)
        allowed = (
            _consume_budgets(self._remaining_budgets, profile, weights, cores)
            * _FULL_SPEED
        )
        pace = self._paces_by_run.setdefault(run, _RunPace())
        pace.listed_by = now + _FIRST_LISTING_SECONDS
        pace.percent = 0.0 if self._paused or allowed < _MIN_PACE else allowed
        if pace.percent < _FULL_SPEED:
            return Pace(*run, int(pace.percent))
        self._sent_percent_by_run[run] = int(_FULL_SPEED)
        return None

    def confirm(self, pace: Pace) -> None:
        """Record that the worker accepted a change of pace."""
        self._sent_percent_by_run[pace.task_id, pace.run] = pace.percent

    def _classify(
        self, running: list[RunningTask], profiles_by_task: dict[str, TaskProfile]
    ) -> tuple[list[_ServingRun], list[_BestEffortRun]]:
        """Return the latency-critical and the best-effort runs."""
        serving = []
        best_effort = []
        for task in running:
            profile = profiles_by_task.get(task.task_id)
            if profile is None:
                continue
            run = (task.task_id, task.run)
            if profile.fills:
                pace = self._paces_by_run.setdefault(run, _RunPace())
                best_effort.append(_BestEffortRun(task, profile, pace))
            elif profile.latency_target:
                headroom = compute_headroom(task.figure, profile.latency_target)
                serving.append(_ServingRun(run, profile.image, headroom))
        return serving, best_effort

    def _drop_ended_runs(
        self, serving: list[_ServingRun], best_effort: list[_BestEffortRun], now: float
    ) -> None:
        for run in set(self._paces_by_run) - {item.run for item in best_effort}:
            if now > self._paces_by_run[run].listed_by:
                del self._paces_by_run[run]
                self._sent_percent_by_run.pop(run, None)
        for run in set(self._trends_by_run) - {item.run for item in serving}:
            del self._trends_by_run[run]

    def _update_totals(
        self, serving: list[_ServingRun], best_effort: list[_BestEffortRun]
    ) -> None:
        self.pressure = max((item.pressure for item in serving), default=0.0)
        milli = 1000.0
        self.best_effort_cores = BestEffortCores(
            sum(item.profile.cores for item in best_effort) / milli,
            sum(item.profile.cores * item.pace.percent for item in best_effort)
            / _FULL_SPEED
            / milli,
            sum(item.task.figure for item in best_effort) / milli,
        )

    def _compute_budgets(
        self,
        serving: list[_ServingRun],
        best_effort: list[_BestEffortRun],
        weights: dict[tuple[str, str], float],
        cores: int,
        now: float,
    ) -> dict[str, float]:
        """Return the headroom available to best-effort tasks, by serving image.

        Of several tasks of one image the one with the least headroom counts.
        """
        budgets: dict[str, float] = {}
        for item in serving:
            taken = sum(
                _estimate_interference(peer, item.image, weights, cores)
                for peer in best_effort
            )
            trend = self._trends_by_run.setdefault(item.run, HeadroomTrend())
            trend.update(item.headroom + taken, now)
            budget = trend.forecast(_EFFECT_DELAY_SECONDS) - MIN_HEADROOM
            budgets[item.image] = min(budgets.get(item.image, budget), budget)
        return budgets

    def _update_limits(
        self,
        serving: list[_ServingRun],
        best_effort: list[_BestEffortRun],
        weights: dict[tuple[str, str], float],
        budgets: dict[str, float],
        cores: int,
        now: float,
    ) -> None:
        """Limit runs without a weight while low headroom is unexplained.

        Such runs were learned as negligible, or their weight has not been received. Low
        headroom is explained if throttling a run with a weight can raise it again.
        """
        unexplained = {
            item.image
            for item in serving
            if item.headroom < _LOW_HEADROOM
            and budgets[item.image] <= 0.0
            and not any(
                _estimate_interference(peer, item.image, weights, cores) > 0
                for peer in best_effort
            )
        }
        for item in best_effort:
            pace = item.pace
            if now - pace.limit_changed_at < _LIMIT_CHANGE_INTERVAL:
                continue
            if any((image, item.profile.image) not in weights for image in unexplained):
                pace.limit = min(pace.percent, pace.limit) * _LIMIT_DECREASE_FACTOR
                pace.limit_changed_at = now
            elif pace.limit < _FULL_SPEED:
                pace.limit = min(_FULL_SPEED, pace.limit + _LIMIT_INCREASE_STEP)
                pace.limit_changed_at = now


def _set_pace(pace: _RunPace, allowed: float) -> None:
    """Set a pace to ``allowed``, but raise it by only part of a large difference.

    A pace below ``_MIN_PACE`` becomes a pause.
    """
    if allowed > pace.percent:
        raised = pace.percent + _INCREASE_SHARE * (allowed - pace.percent)
        allowed = allowed if allowed - raised < _MIN_PACE_CHANGE else raised
    pace.percent = allowed if allowed >= _MIN_PACE else 0.0


def _share_budgets(
    budgets: dict[str, float],
    best_effort: list[_BestEffortRun],
    weights: dict[tuple[str, str], float],
    cores: int,
) -> Iterator[tuple[_BestEffortRun, float]]:
    """Yield each best-effort run with the pace that the budgets allow, in percent.

    ``budgets`` is reduced by what the runs consume. Runs get their share one after the
    other, since a few runs at full speed end sooner than many at a fraction of it.
    """
    total = dict(budgets)

    def rank(item: _BestEffortRun) -> tuple[float, int, str]:
        needs = _compute_needs(total, item.profile, weights, cores)
        shares = (
            need / total[image] if total[image] > 0 else 1.0
            for image, need in needs.items()
        )
        # Rounded so that runs of nearly equal cost are ordered by progress.
        cost = round(max(shares, default=0.0), 1)
        return cost, -item.task.percent, item.task.task_id

    for item in sorted(best_effort, key=rank):
        yield (
            item,
            _consume_budgets(budgets, item.profile, weights, cores) * _FULL_SPEED,
        )


def _compute_needs(
    budgets: dict[str, float],
    profile: TaskProfile,
    weights: dict[tuple[str, str], float],
    cores: int,
) -> dict[str, float]:
    """Return the headroom that a task consumes at full speed, by serving image."""
    share = compute_cpu_share(profile.cores, cores)
    return {
        image: weights[image, profile.image] * share
        for image in budgets
        if (image, profile.image) in weights
    }


def _index_weights(
    interfering_pairs: Iterable[InterferingPair],
) -> dict[tuple[str, str], float]:
    """Return the weights by latency-critical and best-effort image."""
    return {(pair.serving, pair.filling): pair.weight for pair in interfering_pairs}


def _consume_budgets(
    budgets: dict[str, float],
    profile: TaskProfile,
    weights: dict[tuple[str, str], float],
    cores: int,
) -> float:
    """Reduce the budgets by what a task may consume; return its share of full speed."""
    needs = _compute_needs(budgets, profile, weights, cores)
    share = 1.0
    for image, need in needs.items():
        # A task that requests no CPU needs no headroom.
        if need > 0:
            share = min(share, max(0.0, budgets[image]) / need)
    for image, need in needs.items():
        budgets[image] -= share * need
    return share


def _estimate_interference(
    item: _BestEffortRun, image: str, weights: dict[tuple[str, str], float], cores: int
) -> float:
    """Return the headroom that a run's current CPU use takes from a serving image."""
    weight = weights.get((image, item.profile.image), 0.0)
    return weight * compute_cpu_share(item.task.figure, cores)
