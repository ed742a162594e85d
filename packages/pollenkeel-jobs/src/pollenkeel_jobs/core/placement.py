"""Choice of the VM for a task."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.pacing import HEADROOM_KEPT
from pollenkeel_jobs.core.vms import Vm

#: Load added for each unit of headroom that a serving task would lose.
_HARM_FACTOR = 0.3
#: Load added for the whole headroom of the serving tasks.
_SHARE_FACTOR = 1.0
#: Share of the room up to which filling tasks are added. The load of the serving tasks
#: swings, so that the room is often less by the time when a task ends.
_SHARE_LIMIT = 0.5
#: Seconds for which a task waits for a VM with room for it.
_PATIENCE_SECONDS = 5.0
#: Headroom that a serving image is counted with before there are figures.
_UNKNOWN_HEADROOM = 2.0
#: Least room that a serving image is counted with.
_LEAST_ROOM = 0.2
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
    def would_interfere(self, task: Task, vm: Vm) -> bool:
        """Return whether a filling task would bring others over their target."""


class LeastLoaded(Placement):
    """Takes the VM with the smallest load, with penalties for what slows tasks.

    Attributes
    ----------
    now : float
        Time of the current pass, in seconds since the Unix epoch.
    """

    def __init__(self, harm: InterferenceModel) -> None:
        self._harm = harm
        self.now = 0.0

    def choose(self, task: Task, vms: Iterable[Vm]) -> Vm | None:
        """Return the VM for a task, or None if it fits none of them."""
        fitting = _filter_fitting(task, vms)
        return min(
            (vm for vm in fitting if not self.would_interfere(task, vm)),
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
        if step.fills:
            rate += _SHARE_FACTOR * self._share_needed(task, vm)
        elif step.latency_target:
            rate += _HARM_FACTOR * self._estimate_harm(task, vm)
        if vm.incarnation in task.failed_on:
            rate += _FAILED_HERE
        if step.data_rack and step.data_rack not in vm.labels:
            rate += _REMOTE_DATA
        return rate

    def would_interfere(self, task: Task, vm: Vm) -> bool:
        """Return whether pacing would slow the filling tasks much with this one.

        A task that has waited long is placed where it is the only one that does harm,
        since no VM may ever have the room for its full speed.
        """
        if not task.step.fills:
            return False
        share = self._share_needed(task, vm)
        if share <= _SHARE_LIMIT:
            return False
        waits_long = self.now - task.ready_at > _PATIENCE_SECONDS
        return not waits_long or self._has_harmful(vm)

    def _has_harmful(self, vm: Vm) -> bool:
        return any(
            demand and self._harm.weight(image, filling)
            for image in vm.serving_images
            for filling, demand in vm.fill_cores_by_image.items()
        )

    def _share_needed(self, task: Task, vm: Vm) -> float:
        """Return the share of the serving tasks' room that all fills would need.

        Above 1 they are paced, so that a task that waits for another VM or for the end
        of others is done sooner.
        """
        step = task.step
        cores = max(1, vm.capacity.cpu)
        largest = 0.0
        for image in vm.serving_images:
            added = self._harm.weight(image, step.image) * step.demand.cpu
            if not added:
                continue
            for filling, demand in vm.fill_cores_by_image.items():
                added += self._harm.weight(image, filling) * demand
            headroom = vm.headroom_by_image.get(image, _UNKNOWN_HEADROOM)
            room = max(_LEAST_ROOM, headroom - HEADROOM_KEPT)
            largest = max(largest, added / cores / room)
        return largest

    def _estimate_harm(self, task: Task, vm: Vm) -> float:
        """Return the headroom that a serving task would lose to what fills there."""
        cores = max(1, vm.capacity.cpu)
        return sum(
            self._harm.weight(task.step.image, image) * demand / cores
            for image, demand in vm.fill_cores_by_image.items()
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
