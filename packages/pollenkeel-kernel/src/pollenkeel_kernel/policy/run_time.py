"""Correction of declared run times by observed ones; times are in seconds."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry

#: Lower limit for run times in ratios; reports are delayed by about this long.
_MIN_RUN_TIME_SECONDS = 0.5


class RunTimeModel(ABC):
    """Estimates the run time of tasks by team and kind."""

    @abstractmethod
    def observe(self, team: str, kind: str, declared: float, observed: float) -> None:
        """Learn from a task that ran to completion without interruption."""

    @abstractmethod
    def expected(self, team: str, kind: str, declared: float) -> float:
        """Return the run time to plan with."""

    @abstractmethod
    def shortest(self, team: str, kind: str, declared: float) -> float:
        """Return a lower estimate of the run time; few tasks finish faster."""

    @abstractmethod
    def factor(self, team: str, kind: str) -> float:
        """Return the expected ratio of observed to declared run time."""


RUN_TIME_MODELS: Registry[RunTimeModel] = Registry("pollenkeel.policies")


@RUN_TIME_MODELS.register("declared")
class DeclaredRunTime(RunTimeModel):
    """Baseline: uses the declared run times."""

    def observe(self, team: str, kind: str, declared: float, observed: float) -> None:
        """Ignore the observation."""

    def expected(self, team: str, kind: str, declared: float) -> float:
        """Return the declared run time."""
        return declared

    def shortest(self, team: str, kind: str, declared: float) -> float:
        """Return the declared run time."""
        return declared

    def factor(self, team: str, kind: str) -> float:
        """Return 1."""
        return 1.0


@attrs.define
class _LogRatio:
    """Moving mean and variance of the logarithm of observed to declared time."""

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0


@RUN_TIME_MODELS.register("learned")
class LearnedRunTime(RunTimeModel):
    """Learns one correction factor for each team and kind.

    Declared run times are wrong by up to a factor of ten in either direction, so the
    prior for the logarithm of the ratio has mean 0 and standard deviation log(10) / 2.
    The prior counts as one observation.
    """

    _PRIOR_DEVIATION = math.log(10) / 2
    #: Minimum weight of a new observation, so that older ones are gradually forgotten.
    _MIN_WEIGHT = 0.05
    #: Number of standard deviations below the mean that ``shortest`` returns.
    _SHORTEST_DEVIATIONS = 2.0

    def __init__(self) -> None:
        self._ratios_by_kind: dict[tuple[str, str], _LogRatio] = {}

    def observe(self, team: str, kind: str, declared: float, observed: float) -> None:
        """Update the factor of the team and kind."""
        value = math.log(
            max(observed, _MIN_RUN_TIME_SECONDS) / max(declared, _MIN_RUN_TIME_SECONDS)
        )
        ratio = self._ratios_by_kind.setdefault((team, kind), _LogRatio())
        ratio.count += 1
        weight = max(1 / ratio.count, self._MIN_WEIGHT)
        error = value - ratio.mean
        ratio.mean += weight * error
        ratio.variance = (1 - weight) * (ratio.variance + weight * error * error)

    def expected(self, team: str, kind: str, declared: float) -> float:
        """Return the declared run time times the learned factor."""
        return declared * self.factor(team, kind)

    def shortest(self, team: str, kind: str, declared: float) -> float:
        """Return a run time two standard deviations below the expected one."""
        mean, deviation = self._estimate(team, kind)
        return declared * math.exp(mean - self._SHORTEST_DEVIATIONS * deviation)

    def factor(self, team: str, kind: str) -> float:
        """Return the median ratio of observed to declared run time."""
        return math.exp(self._estimate(team, kind)[0])

    def _estimate(self, team: str, kind: str) -> tuple[float, float]:
        """Return mean and standard deviation of the log ratio, shrunk to the prior."""
        ratio = self._ratios_by_kind.get((team, kind))
        if ratio is None:
            return 0.0, self._PRIOR_DEVIATION
        prior = 1 / (1 + ratio.count)
        variance = prior * self._PRIOR_DEVIATION**2 + (1 - prior) * ratio.variance
        return (1 - prior) * ratio.mean, math.sqrt(variance)
