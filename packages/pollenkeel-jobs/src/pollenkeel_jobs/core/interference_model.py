"""Learns how much best-effort images interfere with latency-critical images.

``serving`` refers to latency-critical tasks, which have a latency target. Messages call
best-effort tasks ``fills`` or ``filling``. A weight is the headroom (target over tail
latency) that a best-effort image takes from a latency-critical one if it uses all cores
of a VM.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Set

import attrs
import logbook
import msgpack

from pollenkeel_jobs.core.cpu_share import compute_cpu_share
from pollenkeel_jobs.core.headroom import compute_headroom
from pollenkeel_jobs.core.messages import InterferingPair, RunningTask, TaskProfile
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares

logger = logbook.Logger("harm")

#: Format version of the row with the weights.
_ROW_VERSION = 2
#: Maximum size of that row in bytes. The platform's store accepts 65,536.
MAX_ROW_BYTES = 48_000
#: Bytes that a weight and an image take in the row besides the texts of their names.
_WEIGHT_BYTES = 16
_IMAGE_BYTES = 16
#: Variance of a weight relative to that of a sample: of an unknown weight, and of one
#: that an earlier leader has learned.
_PRIOR_VARIANCE = 400.0
_LOADED_VARIANCE = 40.0
#: Weight of an unknown pair. It is above zero so that only a few tasks of a new image
#: that may interfere are placed beside a latency-critical task before it is learned.
_PRIOR_WEIGHT = 2.0
#: Factor by which the influence of a sample decreases with each later sample of its
#: serving image.
_FORGETTING_FACTOR = 0.999
#: Weight up to which a pair counts as free of interference.
_NEGLIGIBLE_WEIGHT = 0.3
#: Minimum and maximum time between two samples that are compared, in seconds.
_MIN_SAMPLE_INTERVAL = 0.35
_MAX_SAMPLE_INTERVAL = 1.6
#: Smallest change of an image's share of a VM's cores from which a weight is learned.
_MIN_SHARE_CHANGE = 0.01
#: Two samples are not compared if the headroom is below this in both, because the
#: length of the server's queue then limits the latency.
_SATURATED_HEADROOM = 0.15
#: Time constant of the mean drift of a serving image's headroom, in seconds.
_DRIFT_SECONDS = 2.0
#: Progress in percent that a long-running task reports while it is at work.
_SERVING_PERCENT = 100
#: Largest number of best-effort images that a serving image has weights for. The time
#: to learn from a sample grows with its square.
MAX_IMAGES = 64
#: Largest number of serving images with weights.
MAX_SERVING_IMAGES = 512


@attrs.define
class _ImageModel:
    """Regression for one serving image.

    Attributes
    ----------
    regression : RecursiveLeastSquares
        Weights of best-effort images.
    images : dict of str to None
        The images that it has weights for, the one seen least recently first.
    """

    regression: RecursiveLeastSquares = attrs.field(
        factory=lambda: RecursiveLeastSquares(_FORGETTING_FACTOR, _PRIOR_VARIANCE)
    )
    images: dict[str, None] = attrs.field(factory=dict)

    def add(self, name: str, weight: float, variance: float) -> None:
        """Add an image, and drop others if there are too many."""
        self.images[name] = None
        self.regression.set_weight(name, weight, variance)
        while len(self.images) > MAX_IMAGES:
            oldest = next(iter(self.images))
            del self.images[oldest]
            self.regression.drop(oldest)

    def record_use(self, name: str) -> None:
        """Make a known image the one that was seen last."""
        del self.images[name]
        self.images[name] = None


@attrs.define
class _Sample:
    """Measurements of one VM at one time.

    ``shares_by_image`` has the share of the VM's cores that each best-effort image
    uses. The other fields describe its latency-critical runs.
    """

    taken_at: float
    shares_by_image: dict[str, float] = attrs.field(factory=dict)
    headroom_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    image_by_run: dict[tuple[str, int], str] = attrs.field(factory=dict)


class InterferenceModel:
    """Linear model of the headroom of each serving image, learned from all VMs.

    The model learns from the changes between two samples of a VM. In that time the load
    of a serving task itself changes little, while best-effort tasks start, end and are
    throttled. The level of the headroom does not show the interference of a pair, since
    it differs between tasks and over time.
    """

    def __init__(self) -> None:
        self._models_by_image: dict[str, _ImageModel] = {}
        self._samples_by_vm: dict[str, _Sample] = {}
        # Mean loss of headroom per second that best-effort tasks do not explain.
        self._drift_by_vm_and_image: dict[tuple[str, str], float] = {}

    def observe(
        self,
        vm: str,
        running: Iterable[RunningTask],
        profiles_by_task: dict[str, TaskProfile],
        cores: int,
        now: float,
    ) -> None:
        """Learn from the measurements of one VM.

        Parameters
        ----------
        vm : str
            Id of the VM.
        running : iterable of RunningTask
            Runs of the VM with their measurements.
        profiles_by_task : dict of str to TaskProfile
            Profiles of the running tasks.
        cores : int
            Capacity of the VM in thousandths of a core.
        now : float
            Current time in seconds.
        """
        before = self._samples_by_vm.get(vm)
        if before is not None and now - before.taken_at < _MIN_SAMPLE_INTERVAL:
            return
        sample = _make_sample(running, profiles_by_task, cores, now)
        self._samples_by_vm[vm] = sample
        if before is not None and now - before.taken_at <= _MAX_SAMPLE_INTERVAL:
            self._compare(vm, before, sample)

    def _compare(self, vm: str, before: _Sample, sample: _Sample) -> None:
        """Learn from the changes between two samples."""
        passed = sample.taken_at - before.taken_at
        changes = _subtract(sample.shares_by_image, before.shares_by_image)
        losses_by_image: dict[str, list[float]] = {}
        for run, headroom in sample.headroom_by_run.items():
            earlier = before.headroom_by_run.get(run)
            if earlier is None or max(earlier, headroom) < _SATURATED_HEADROOM:
                continue
            image = sample.image_by_run[run]
            losses_by_image.setdefault(image, []).append(earlier - headroom)
        for image, losses in losses_by_image.items():
            loss = sum(losses) / len(losses)
            drift = self._drift_by_vm_and_image.get((vm, image), 0.0)
            if any(abs(change) >= _MIN_SHARE_CHANGE for change in changes.values()):
                self._learn(image, changes, loss - drift * passed)
            explained = sum(
                self.weight(image, best_effort) * change
                for best_effort, change in changes.items()
            )
            share = passed / (passed + _DRIFT_SECONDS)
            drift += share * ((loss - explained) / passed - drift)
            self._drift_by_vm_and_image[vm, image] = drift

    def _learn(self, image: str, changes: dict[str, float], loss: float) -> None:
        model = self._models_by_image.pop(image, None) or _ImageModel()
        # The image that was learned last comes last.
        self._models_by_image[image] = model
        self._drop_oldest()
        for name in changes:
            if name in model.images:
                model.record_use(name)
            else:
                model.add(name, _PRIOR_WEIGHT, _PRIOR_VARIANCE)
        known = {name: changes[name] for name in changes if name in model.images}
        model.regression.update(known, loss)

    def _drop_oldest(self) -> None:
        """Forget the serving images that were learned least recently, if too many."""
        while len(self._models_by_image) > MAX_SERVING_IMAGES:
            oldest = next(iter(self._models_by_image))
            del self._models_by_image[oldest]
            for key in [key for key in self._drift_by_vm_and_image if key[1] == oldest]:
                del self._drift_by_vm_and_image[key]

    def encode(self) -> bytes:
        """Return the learned weights as a row from which the next leader starts.

        If they do not fit, the weights closest to that of an unknown pair are left out,
        since their loss changes least.
        """
        weights_by_image: dict[str, list[tuple[str, float]]] = {}
        size = _IMAGE_BYTES
        for image, name, weight in sorted(self._list_weights(), key=_distance_to_prior):
            added = len(name.encode()) + _WEIGHT_BYTES
            if image not in weights_by_image:
                added += len(image.encode()) + _IMAGE_BYTES
            if size + added > MAX_ROW_BYTES:
                continue
            size += added
            weights_by_image.setdefault(image, []).append((name, weight))
        return bytes(msgpack.packb([_ROW_VERSION, list(weights_by_image.items())]))

    def _list_weights(self) -> Iterator[tuple[str, str, float]]:
        """Yield serving image, best-effort image and weight of each pair."""
        for image, model in self._models_by_image.items():
            for name in model.images:
                yield image, name, model.regression.weight(name)

    def load(self, value: bytes) -> None:
        """Load the weights that an earlier leader has learned.

        Images that already have a model are kept. A malformed row is logged; the rest
        of it is ignored.
        """
        try:
            version, rows = msgpack.unpackb(value)
            if version != _ROW_VERSION:
                raise ValueError(f"version {version!r}, expected {_ROW_VERSION}")
            for image, weights in rows:
                if image in self._models_by_image:
                    continue
                model = _ImageModel()
                # The row begins with the weights whose loss would change most.
                for name, weight in reversed(weights):
                    if type(name) is not str or not math.isfinite(weight):
                        raise ValueError(f"weight {weight!r:.40} of {name!r:.40}")
                    model.add(name, weight, _LOADED_VARIANCE)
                self._models_by_image[image] = model
                self._drop_oldest()
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            logger.warning(
                "cannot load learned interference weights", extra={"cause": str(error)}
            )

    def weight(self, serving: str, best_effort: str) -> float:
        """Return the weight of a pair: a prior if it is unknown, 0 if negligible."""
        model = self._models_by_image.get(serving)
        if model is None or best_effort not in model.images:
            return _PRIOR_WEIGHT
        weight = model.regression.weight(best_effort)
        return weight if weight > _NEGLIGIBLE_WEIGHT else 0.0

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the weights of the best-effort images for each serving image."""
        return {
            image: {
                name: round(self.weight(image, name), 2)
                for name in sorted(model.images)
            }
            for image, model in self._models_by_image.items()
        }

    def pairs(
        self, serving: Set[str], best_effort: Set[str]
    ) -> Iterator[InterferingPair]:
        """Yield the pairs of these images with a weight above zero."""
        for image in sorted(serving):
            for other in sorted(best_effort):
                weight = self.weight(image, other)
                if weight:
                    yield InterferingPair(image, other, round(weight, 2))


def _distance_to_prior(pair: tuple[str, str, float]) -> float:
    """Return the sort key of a pair; the pair furthest from the prior comes first."""
    return -abs(pair[2] - _PRIOR_WEIGHT)


def _make_sample(
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
            share = compute_cpu_share(task.figure, cores)
            shares[profile.image] = shares.get(profile.image, 0.0) + share
        elif (
            profile.latency_target and task.percent >= _SERVING_PERCENT and task.figure
        ):
            run = (task.task_id, task.run)
            sample.image_by_run[run] = profile.image
            sample.headroom_by_run[run] = compute_headroom(
                task.figure, profile.latency_target
            )
    return sample


def _subtract(now: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    """Return the change of each value; missing values count as 0."""
    names = [*now, *(name for name in before if name not in now)]
    return {name: now.get(name, 0.0) - before.get(name, 0.0) for name in names}
