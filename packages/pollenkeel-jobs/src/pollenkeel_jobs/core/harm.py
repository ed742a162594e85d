"""Learns how much each image that fills disturbs each image that serves."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs
import logbook
import msgpack

from pollenkeel_jobs.core.messages import PairHarm, RunningTask, TaskProfile
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares

logger = logbook.Logger("harm")

#: Variance of a weight that an earlier leader has learnt.
_LOADED_UNCERTAINTY = 0.5
#: Weight that a sample keeps with each later sample of its serving image.
_FORGETTING = 0.999
#: Pressure above which a sample is cut off, so that one spike does not dominate.
_PRESSURE_CAP = 3.0
#: Weights below this, per share of a VM's cores, count as no harm.
_NEGLIGIBLE = 0.15
#: Samples of a serving image before its weights are used.
_SAMPLES_NEEDED = 25
#: Seconds between two samples of one VM.
_SAMPLE_INTERVAL = 0.8
_BASE = "base load"
_AT_WORK = 100


@attrs.define
class _ServingModel:
    regression: RecursiveLeastSquares = attrs.field(
        factory=lambda: RecursiveLeastSquares(_FORGETTING, 20.0)
    )
    samples: int = 0
    images: set[str] = attrs.field(factory=set)


class HarmModel:
    """Linear model per serving image, learnt from all VMs together.

    The pressure on a serving task, its tail latency over its target, is explained by
    the share of the VM's cores that each filling image uses beside it.
    """

    def __init__(self) -> None:
        self._models_by_image: dict[str, _ServingModel] = {}
        self._sampled_at_by_vm: dict[str, float] = {}

    def observe(
        self,
        vm: str,
        running: Iterable[RunningTask],
        profiles_by_task: dict[str, TaskProfile],
        cores: int,
        now: float,
    ) -> None:
        """Learn from the figures of one VM.

        Parameters
        ----------
        vm : str
            Id of the VM.
        running : iterable of RunningTask
            Its runs with their figures.
        profiles_by_task : dict of str to TaskProfile
            What the runs are.
        cores : int
            Capacity of the VM in thousandths of a core.
        now : float
            Current time in seconds.
        """
        if now - self._sampled_at_by_vm.get(vm, 0.0) < _SAMPLE_INTERVAL:
            return
        self._sampled_at_by_vm[vm] = now
        shares: dict[str, float] = {_BASE: 1.0}
        serving = []
        for task in running:
            profile = profiles_by_task.get(task.task_id)
            if profile is None:
                continue
            if profile.fills:
                share = task.figure / max(1, cores)
                shares[profile.image] = shares.get(profile.image, 0.0) + share
            elif profile.latency_target and task.percent >= _AT_WORK:
                serving.append((profile, task.figure / profile.latency_target))
        for profile, pressure in serving:
            self._learn(profile.image, shares, min(pressure, _PRESSURE_CAP))

    def _learn(self, image: str, shares: dict[str, float], pressure: float) -> None:
        model = self._models_by_image.setdefault(image, _ServingModel())
        model.samples += 1
        model.images.update(shares)
        model.regression.update(shares, pressure)

    def encode(self) -> bytes:
        """Return the learnt weights as a row for the next leader."""
        rows = [
            [
                image,
                model.samples,
                [[n, model.regression.weight(n)] for n in model.images],
            ]
            for image, model in self._models_by_image.items()
        ]
        return bytes(msgpack.packb(rows))

    def load(self, value: bytes) -> None:
        """Start from the weights that an earlier leader has learnt."""
        try:
            for image, samples, weights in msgpack.unpackb(value):
                if image in self._models_by_image:
                    continue
                model = _ServingModel(samples=samples)
                for name, weight in weights:
                    model.images.add(name)
                    model.regression.set_weight(name, weight, _LOADED_UNCERTAINTY)
                self._models_by_image[image] = model
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            logger.warning(
                "learnt interference unreadable", extra={"cause": str(error)}
            )

    def weight(self, serving: str, filling: str) -> float:
        """Return the pressure that a filling image adds with all cores of a VM."""
        model = self._models_by_image.get(serving)
        if model is None or model.samples < _SAMPLES_NEEDED:
            return 0.0
        weight = model.regression.weight(filling)
        return weight if weight > _NEGLIGIBLE else 0.0

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the weights of the filling images for each serving image."""
        return {
            image: {
                name: round(self.weight(image, name), 2)
                for name in sorted(model.images - {_BASE})
            }
            for image, model in self._models_by_image.items()
        }

    def pairs(self, serving: set[str], filling: set[str]) -> Iterator[PairHarm]:
        """Yield the harmful pairs of these images."""
        for image in sorted(serving):
            for other in sorted(filling):
                weight = self.weight(image, other)
                if weight:
                    yield PairHarm(image, other, round(weight, 2))
