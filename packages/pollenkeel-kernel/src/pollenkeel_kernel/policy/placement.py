"""Choice of the VM on which a task is started."""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.core.registry import Registry
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares


@attrs.frozen
class ServiceHint:
    """Last announced state of a service on a VM.

    Attributes
    ----------
    service : str
        Name of the service.
    ratio : float
        99th percentile of the response time as a fraction of the promised time; 0
        if unknown.
    load : float
        Used fraction of the slots.
    """

    service: str
    ratio: float
    load: float


@attrs.define
class VmHint:
    """Last announced state of a VM; ``free`` excludes what was placed since then.

    ``announced_at`` is the time of the announcement. ``running_kinds`` is the number
    of running batch tasks of each kind.
    """

    agent_id: str
    rack: str
    data_centre: str
    capacity: Resources
    free: Resources
    running_kinds: dict[str, int] = attrs.field(factory=dict)
    services: list[ServiceHint] = attrs.field(factory=list)
    announced_at: float = 0.0

    def load(self) -> float:
        """Return the used fraction of the scarcest resource."""
        pairs = (
            (self.free.cores, self.capacity.cores),
            (self.free.memory_gb, self.capacity.memory_gb),
            (float(self.free.accelerators), float(self.capacity.accelerators)),
        )
        return max((1 - free / size for free, size in pairs if size > 0), default=1.0)


class Placement(ABC):
    """Chooses among VMs; the VM's agent makes the final decision.

    Parameters
    ----------
    seed : int
        Seed of random choices.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    @abstractmethod
    def choose(
        self, size: Resources, vms: Sequence[VmHint], kind: str = ""
    ) -> VmHint | None:
        """Return a VM with enough free capacity for a task of a kind, or None."""

    def correct(self, size: Resources, kind: str) -> Resources:
        """Return the expected usage of a task of a kind, at least its ``size``.

        The VM's agent makes the admission decision; the corrected size avoids starts
        that it would reject.
        """
        return size

    def observe_vm(self, vm: VmHint) -> None:  # noqa: B027
        """Learn from an announcement; the same one may be passed more than once."""

    def observe_use(self, kind: str, declared: Resources, used: Resources) -> None:  # noqa: B027
        """Learn from the reported resource usage of a running task."""


PLACEMENTS: Registry[Placement] = Registry("pollenkeel.policies")


@PLACEMENTS.register("first-fit")
class FirstFit(Placement):
    """Baseline: the first VM that fits."""

    def choose(
        self, size: Resources, vms: Sequence[VmHint], kind: str = ""
    ) -> VmHint | None:
        """Return the first VM that fits."""
        return next((vm for vm in vms if size.fits_in(vm.free)), None)


@PLACEMENTS.register("two-choices")
class TwoChoices(Placement):
    """Baseline: the less loaded of two random VMs that fit."""

    _SAMPLE_SIZE = 8

    def choose(
        self, size: Resources, vms: Sequence[VmHint], kind: str = ""
    ) -> VmHint | None:
        """Sample a few VMs, and search all VMs only if none of the sample fits."""
        if not vms:
            return None
        drawn = [self._random.choice(vms) for _ in range(self._SAMPLE_SIZE)]
        fitting = [vm for vm in drawn if size.fits_in(vm.free)][:2]
        if not fitting:
            fitting = [vm for vm in vms if size.fits_in(vm.free)][:2]
        return min(fitting, key=VmHint.load, default=None)


@PLACEMENTS.register("spread")
class Spread(Placement):
    """The least loaded VM; limits interference and the impact of rack failures."""

    def choose(
        self, size: Resources, vms: Sequence[VmHint], kind: str = ""
    ) -> VmHint | None:
        """Return the least loaded VM that fits."""
        fitting = (vm for vm in vms if size.fits_in(vm.free))
        return min(fitting, key=VmHint.load, default=None)


@PLACEMENTS.register("learned")
class LearnedPlacement(Placement):
    """The VM where a task is expected to slow down the services least.

    The logarithm of a service's p99 is modelled as a linear function of its load and
    of the number of batch tasks of each kind on the same VM. Task sizes are corrected
    upwards by the moving average of the ratio of used to declared cores and memory.
    """

    #: Number of VMs that are compared; a larger sample makes each start slower.
    _SAMPLE_SIZE = 24
    _FORGETTING_FACTOR = 0.9995
    #: Weight of the newest ratio of used to declared size in the moving average.
    _USAGE_WEIGHT = 0.1
    #: Ratio of p99 to the promised time above which the cost rises steeply.
    _TARGET_RATIO = 0.7

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self._models_by_service: dict[str, RecursiveLeastSquares] = {}
        self._announced_at_by_vm: dict[str, float] = {}
        self._usage_ratios_by_kind: dict[str, tuple[float, float]] = {}

    def choose(
        self, size: Resources, vms: Sequence[VmHint], kind: str = ""
    ) -> VmHint | None:
        """Return the VM with the lowest expected cost in a sample of fitting VMs."""
        drawn = vms
        if len(vms) > self._SAMPLE_SIZE:
            drawn = self._random.sample(vms, self._SAMPLE_SIZE)
        fitting = [vm for vm in drawn if size.fits_in(vm.free)]
        if not fitting and drawn is not vms:
            fitting = [vm for vm in vms if size.fits_in(vm.free)][: self._SAMPLE_SIZE]
        return min(fitting, key=lambda vm: self._expected_cost(vm, kind), default=None)

    def correct(self, size: Resources, kind: str) -> Resources:
        """Return the size times the learned usage ratios, which are at least 1."""
        cores, memory = self._usage_ratios_by_kind.get(kind, (1.0, 1.0))
        return Resources(
            size.cores * max(1.0, cores),
            size.memory_gb * max(1.0, memory),
            size.accelerators,
        )

    def observe_vm(self, vm: VmHint) -> None:
        """Update the models of the services on a VM."""
        if vm.announced_at <= self._announced_at_by_vm.get(vm.agent_id, -math.inf):
            return
        self._announced_at_by_vm[vm.agent_id] = vm.announced_at
        for hint in vm.services:
            if hint.ratio > 0:
                features = {"intercept": 1.0, "load": hint.load}
                for kind, count in vm.running_kinds.items():
                    features[f"kind:{kind}"] = float(count)
                model = self._models_by_service.setdefault(
                    hint.service, RecursiveLeastSquares(self._FORGETTING_FACTOR)
                )
                model.update(features, math.log(hint.ratio))

    def observe_use(self, kind: str, declared: Resources, used: Resources) -> None:
        """Update the moving averages of the ratios of used to declared size."""
        old = self._usage_ratios_by_kind.get(kind, (1.0, 1.0))
        pairs = (
            (used.cores, declared.cores, old[0]),
            (used.memory_gb, declared.memory_gb, old[1]),
        )
        cores, memory = (
            before + self._USAGE_WEIGHT * (now / size - before)
            if size > 0 and now
            else before
            for now, size, before in pairs
        )
        self._usage_ratios_by_kind[kind] = (cores, memory)

    def _expected_cost(self, vm: VmHint, kind: str) -> float:
        """Return the increase of the services' tail latency cost caused by a task.

        A small load term decides between VMs with the same increase.
        """
        interference = 0.0
        for hint in vm.services:
            model = self._models_by_service.get(hint.service)
            if model is None:
                continue
            before = model.weight("intercept") + model.weight("load") * hint.load
            for other, count in vm.running_kinds.items():
                before += max(0.0, model.weight(f"kind:{other}")) * count
            after = before + max(0.0, model.weight(f"kind:{kind}"))
            interference += _tail_cost(after, self._TARGET_RATIO) - _tail_cost(
                before, self._TARGET_RATIO
            )
        return interference + 0.01 * vm.load()


def _tail_cost(log_ratio: float, target: float) -> float:
    """Return a cost that rises steeply once the tail latency exceeds the target.

    The limit on the exponent keeps exp() finite.
    """
    return math.exp(min(20.0, 4 * (log_ratio - math.log(target))))
