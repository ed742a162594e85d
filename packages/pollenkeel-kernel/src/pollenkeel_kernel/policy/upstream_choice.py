"""Choice of the upstream that receives an attempt."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry


@attrs.frozen
class UpstreamLoad:
    """Estimated load of one eligible upstream.

    Attributes
    ----------
    agent_id : str
        Agent of the upstream's VM.
    slots, free_slots : int
        Total and estimated free slots; at least one slot is free.
    p99_seconds : float
        Announced 99th percentile of the response time; 0 if unknown.
    """

    agent_id: str
    slots: int
    free_slots: int
    p99_seconds: float = 0.0


class UpstreamChoice(ABC):
    """Picks one of the eligible upstreams of a service.

    Parameters
    ----------
    generator : random.Random
        Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    @abstractmethod
    def choose(self, candidates: list[UpstreamLoad]) -> UpstreamLoad:
        """Return one of ``candidates``, which is never empty."""


UPSTREAM_CHOICES: Registry[UpstreamChoice] = Registry("pollenkeel.policies")


@UPSTREAM_CHOICES.register("random")
class RandomChoice(UpstreamChoice):
    """Baseline: every eligible upstream is equally likely."""

    def choose(self, candidates: list[UpstreamLoad]) -> UpstreamLoad:
        """Return a random candidate."""
        return self._generator.choice(candidates)


@UPSTREAM_CHOICES.register("two-choices")
class TwoChoices(UpstreamChoice):
    """Picks the less loaded of two random upstreams."""

    def choose(self, candidates: list[UpstreamLoad]) -> UpstreamLoad:
        """Return the sampled candidate with the larger fraction of free slots."""
        sampled = self._generator.sample(candidates, min(2, len(candidates)))
        return max(sampled, key=lambda load: load.free_slots / max(1, load.slots))
