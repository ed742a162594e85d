"""Choice of the VM for a task."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from pollenkeel_jobs.core.harm import HarmModel
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm

#: Load added for each unit of pressure that a task would add or suffer.
_HARM_FACTOR = 2.0
#: Seconds after which a run shows in the figures of others.
_FIGURE_LAG = 1.0
#: Pressure that one task may add without a look at the pressure there is.
_HARMLESS = 0.08
#: Pressure, latency over target, up to which a filling task may be added.
_PRESSURE_LIMIT = 0.75
#: Load added for each other serving image: the fewer images share a VM, the more
#: filling images do no harm there.
_MIXED_IMAGES = 0.15
#: Load taken off where the image serves already. Without it the tasks of one image
#: take all VMs that are still empty, and those of the next are mixed with them.
_SAME_IMAGE = 0.5
#: Expected load of a VM above which no filling task is added.
_FILL_LIMIT = 1.0
#: Load added for each multiple by which a VM is slower than others.
_SLOWNESS_FACTOR = 0.6
#: Load added where the task failed before.
_FAILED_HERE = 5.0
#: Load added where the task's data is on another rack.
_REMOTE_DATA = 1.0


class Placement(ABC):
    """Chooses among VMs; has no state of its own."""

    @abstractmethod
    def choose(self, task: Task, vms: Iterable[Vm]) -> Vm | None:
        """Return the VM for a task, or None if it fits none of them."""

    @abstractmethod
    def is_harmful(self, task: Task, vm: Vm) -> bool:
        """Return whether a filling task would bring others over their target."""


class LeastLoaded(Placement):
    """Takes the VM with the smallest load, with penalties for what slows tasks.

    Attributes
    ----------
    now : float
        Time of the current pass, in seconds since the Unix epoch.
    """

    def __init__(self, harm: HarmModel) -> None:
        self._harm = harm
        self.now = 0.0

    def choose(self, task: Task, vms: Iterable[Vm]) -> Vm | None:
        """Return the VM for a task, or None if it fits none of them."""
        fitting = _filter_fitting(task, vms)
        return min(
            (vm for vm in fitting if not self.is_harmful(task, vm)),
            key=lambda vm: (self._rate(task, vm), vm.name),
            default=None,
        )

    def _rate(self, task: Task, vm: Vm) -> float:
        step = task.step
        rate = vm.cpu_load + _SLOWNESS_FACTOR * (vm.slowness - 1.0)
        if step.latency_target:
            others = vm.serving_images - {step.image}
            rate += _MIXED_IMAGES * len(others)
            if step.image in vm.serving_images:
                rate -= _SAME_IMAGE
        if step.fills or step.latency_target:
            rate += _HARM_FACTOR * self._estimate_harm(task, vm)
        if vm.life in task.failed_on:
            rate += _FAILED_HERE
        if step.data_rack and step.data_rack not in vm.labels:
            rate += _REMOTE_DATA
        return rate

    def is_harmful(self, task: Task, vm: Vm) -> bool:
        """Return whether a filling task would bring others over their target."""
        step = task.step
        if not step.fills:
            return False
        share = step.demand.cpu / max(1, vm.capacity.cpu)
        for image in vm.serving_images:
            harm = self._harm.weight(image, step.image) * share
            pressure = vm.pressure_by_image.get(image, 0.0) + harm
            pressure += self._estimate_unseen(image, vm)
            if harm > _HARMLESS and pressure > _PRESSURE_LIMIT:
                return True
        return False

    def _estimate_unseen(self, image: str, vm: Vm) -> float:
        """Return the pressure that recently placed tasks will add to an image."""
        cores = max(1, vm.capacity.cpu)
        unseen = 0.0
        for task_id in vm.fill_use_by_task:
            task = vm.tasks_by_id[task_id]
            if not task.seen_at or self.now - task.seen_at < _FIGURE_LAG:
                step = task.step
                unseen += self._harm.weight(image, step.image) * step.demand.cpu / cores
        return unseen

    def _estimate_harm(self, task: Task, vm: Vm) -> float:
        """Return the pressure that the task adds to others, or gets from them."""
        step = task.step
        cores = max(1, vm.capacity.cpu)
        if step.fills:
            weights = (
                self._harm.weight(image, step.image) for image in vm.serving_images
            )
            return sum(weights) * step.demand.cpu / cores
        return sum(
            self._harm.weight(step.image, profile.image) * profile.cores / cores
            for profile in vm.profiles_by_task.values()
            if profile.fills
        )


def _filter_fitting(task: Task, vms: Iterable[Vm]) -> Iterator[Vm]:
    step = task.step
    service = task.job.spec.queue.service
    for vm in vms:
        if vm.service != service:
            continue
        if step.label and step.label not in vm.labels:
            continue
        if not step.reserved.fits_in(vm.free):
            continue
        if step.fills and vm.cpu_load >= _FILL_LIMIT:
            continue
        if step.spread_limit and vm.count_of_step(task) >= step.spread_limit:
            continue
        yield vm
