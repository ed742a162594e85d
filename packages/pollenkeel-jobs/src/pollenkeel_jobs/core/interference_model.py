"""Learns how much each image that fills disturbs each image that serves."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs
import logbook
import msgpack

from pollenkeel_jobs.core.headroom import get_headroom
from pollenkeel_jobs.core.messages import PairHarm, RunningTask, TaskProfile
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares

logger = logbook.Logger("harm")

#: Version of the row for the next leader.
_ROW_VERSION = 2
#: Variance of a weight, over that of a sample, before anything is known and for a
#: weight that an earlier leader has learnt.
_UNCERTAINTY = 400.0
_LOADED_UNCERTAINTY = 40.0
#: Weight of a pair before anything is known: some caution, so that not many tasks of a
#: harmful image meet a serving one for the first time.
_UNKNOWN_WEIGHT = 2.0
#: Weight that a sample keeps with each later sample of its serving image.
_FORGETTING = 0.999
#: Weights below this, headroom for a whole VM's cores, count as no harm.
_NEGLIGIBLE = 0.3
#: Shortest and longest time between two samples that are compared, in seconds.
_SHORTEST_INTERVAL = 0.35
_LONGEST_INTERVAL = 1.6
#: Change of the share of a VM's cores below which a sample says nothing on the pairs.
_LEAST_CHANGE = 0.01
#: Headroom below which the latency is cut off by the server's queue.
_SATURATED = 0.15
#: Seconds over which the drift of the load of a serving image is a mean.
_DRIFT_SECONDS = 2.0
_AT_WORK = 100


@attrs.define
class _ServingModel:
    regression: RecursiveLeastSquares = attrs.field(
        factory=lambda: RecursiveLeastSquares(_FORGETTING, _UNCERTAINTY)
    )
    images: set[str] = attrs.field(factory=set)


@attrs.define
class _Sample:
    """Figures of one VM at one time."""

    taken_at: float
    shares_by_image: dict[str, float] = attrs.field(factory=dict)
    headroom_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    image_by_run: dict[tuple[str, int], str] = attrs.field(factory=dict)


class InterferenceModel:
    """Linear model of the headroom per serving image, learnt from all VMs together.

    Compared are changes: between two samples of a VM the load of a serving task
    changes little by itself, while what fills beside it starts, ends and is paced. The
    level says nothing on the pairs, since it is different for each task and time.
    """

    def __init__(self) -> None:
        self._models_by_image: dict[str, _ServingModel] = {}
        self._samples_by_vm: dict[str, _Sample] = {}
        self._drift_by_vm: dict[tuple[str, str], float] = {}

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
        before = self._samples_by_vm.get(vm)
        if before is not None and now - before.taken_at < _SHORTEST_INTERVAL:
            return
        sample = _take_sample(running, profiles_by_task, cores, now)
        self._samples_by_vm[vm] = sample
        if before is not None and now - before.taken_at <= _LONGEST_INTERVAL:
            self._compare(vm, before, sample)

    def _compare(self, vm: str, before: _Sample, sample: _Sample) -> None:
        """Learn from the changes between two samples."""
        passed = sample.taken_at - before.taken_at
        changes = _subtract(sample.shares_by_image, before.shares_by_image)
        losses_by_image: dict[str, list[float]] = {}
        for run, headroom in sample.headroom_by_run.items():
            earlier = before.headroom_by_run.get(run)
            if earlier is None or max(earlier, headroom) < _SATURATED:
                continue
            image = sample.image_by_run[run]
            losses_by_image.setdefault(image, []).append(earlier - headroom)
        for image, losses in losses_by_image.items():
            loss = sum(losses) / len(losses)
            drift = self._drift_by_vm.get((vm, image), 0.0)
            if any(abs(change) >= _LEAST_CHANGE for change in changes.values()):
                self._learn(image, changes, loss - drift * passed)
            explained = sum(
                self.weight(image, filling) * change
                for filling, change in changes.items()
            )
            share = passed / (passed + _DRIFT_SECONDS)
            drift += share * ((loss - explained) / passed - drift)
            self._drift_by_vm[vm, image] = drift

    def _learn(self, image: str, changes: dict[str, float], loss: float) -> None:
        model = self._models_by_image.setdefault(image, _ServingModel())
        for name in changes:
            if name not in model.images:
                model.images.add(name)
                model.regression.set_weight(name, _UNKNOWN_WEIGHT, _UNCERTAINTY)
        model.regression.update(changes, loss)

    def encode(self) -> bytes:
        """Return the learnt weights as a row for the next leader."""
        rows = [
            [image, [[n, model.regression.weight(n)] for n in model.images]]
            for image, model in self._models_by_image.items()
        ]
        return bytes(msgpack.packb([_ROW_VERSION, rows]))

    def load(self, value: bytes) -> None:
        """Start from the weights that an earlier leader has learnt."""
        try:
            version, rows = msgpack.unpackb(value)
            if version != _ROW_VERSION:
                raise ValueError(f"version {version!r}, expected {_ROW_VERSION}")
            for image, weights in rows:
                if image in self._models_by_image:
                    continue
                model = _ServingModel()
                for name, weight in weights:
                    model.images.add(name)
                    model.regression.set_weight(name, weight, _LOADED_UNCERTAINTY)
                self._models_by_image[image] = model
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            logger.warning(
                "learnt interference unreadable", extra={"cause": str(error)}
            )

    def weight(self, serving: str, filling: str) -> float:
        """Return the headroom that a filling image takes with all cores of a VM."""
        model = self._models_by_image.get(serving)
        if model is None or filling not in model.images:
            return _UNKNOWN_WEIGHT
        weight = model.regression.weight(filling)
        return weight if weight > _NEGLIGIBLE else 0.0

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the weights of the filling images for each serving image."""
        return {
            image: {
                name: round(self.weight(image, name), 2)
                for name in sorted(model.images)
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


def _take_sample(
    running: Iterable[RunningTask],
    profiles_by_task: dict[str, TaskProfile],
    cores: int,
    now: float,
) -> _Sample:
    sample = _Sample(now)
    shares = sample.shares_by_image
    for task in running:
        profile = profiles_by_task.get(task.task_id)
        if profile is None:
            continue
        if profile.fills:
            share = task.figure / max(1, cores)
            shares[profile.image] = shares.get(profile.image, 0.0) + share
        elif profile.latency_target and task.percent >= _AT_WORK and task.figure:
            run = (task.task_id, task.run)
            sample.image_by_run[run] = profile.image
            sample.headroom_by_run[run] = get_headroom(
                task.figure, profile.latency_target
            )
    return sample


def _subtract(now: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    names = [*now, *(name for name in before if name not in now)]
    return {name: now.get(name, 0.0) - before.get(name, 0.0) for name in names}
