"""Choice of the VM for a task."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm

#: Load added, as a share of the VM, where a filling task would disturb others.
_DISTURBANCE = 0.35
#: Load added where the task failed before.
_FAILED_HERE = 5.0
#: Load added where the task's data is on another rack.
_REMOTE_DATA = 1.0


class Placement(ABC):
    """Chooses among VMs; has no state of its own."""

    @abstractmethod
    def choose(self, task: Task, vms: Iterable[Vm]) -> Vm | None:
        """Return the VM for a task, or None if it fits none of them."""


class LeastLoaded(Placement):
    """Takes the VM with the smallest load, with penalties for what slows tasks."""

    def choose(self, task: Task, vms: Iterable[Vm]) -> Vm | None:
        """Return the VM for a task, or None if it fits none of them."""
        return min(
            _filter_fitting(task, vms),
            key=lambda vm: (_rate(task, vm), vm.name),
            default=None,
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
        if step.spread_limit and vm.count_of_step(task) >= step.spread_limit:
            continue
        yield vm


def _rate(task: Task, vm: Vm) -> float:
    step = task.step
    rate = vm.cpu_load * vm.slowness
    if step.fills and vm.serving:
        rate += _DISTURBANCE * len(vm.serving)
    if step.latency_target and vm.filling:
        rate += _DISTURBANCE
    if vm.life in task.failed_on:
        rate += _FAILED_HERE
    if step.data_rack and step.data_rack not in vm.labels:
        rate += _REMOTE_DATA
    return rate
