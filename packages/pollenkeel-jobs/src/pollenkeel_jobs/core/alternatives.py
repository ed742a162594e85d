"""Which VMs could run a task once the ordinary tasks there have ended."""

from __future__ import annotations

import math
from collections.abc import Iterable

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.vms import Vm


def could_run(task: Task, vms: Iterable[Vm]) -> bool:
    """Return whether a task, or the whole gang of a task, could run on some of the VMs.

    Other tasks are taken to keep their room only if they are long-running, because all
    others end.

    Parameters
    ----------
    task : Task
        A task that is not placed.
    vms : iterable of Vm
        VMs to consider.
    """
    missing: float = task.step.count if task.step.gang else 1
    for vm in vms:
        missing -= _count_possible(task, vm)
        if missing <= 0:
            return True
    return False


def _count_possible(task: Task, vm: Vm) -> float:
    """Return how many tasks like the given one a VM could run at the same time."""
    step = task.step
    if vm.service != task.job.spec.queue.service:
        return 0
    if step.label and step.label not in vm.labels:
        return 0
    long_running = sum(
        (other.step.reserved for other in vm.tasks_by_id.values() if _stays(other)),
        Demand(),
    )
    count = _count_fitting(step.reserved, vm.capacity - long_running)
    if step.spread_limit:
        count = min(count, step.spread_limit - vm.count_step_tasks(task))
    return max(0, count)


def _stays(task: Task) -> bool:
    return task.step.long_running and not task.job.status.final


def _count_fitting(demand: Demand, room: Demand) -> float:
    """Return how often a demand fits into some room; infinity for an empty demand."""
    amounts = (
        (demand.cpu, room.cpu),
        (demand.memory, room.memory),
        (demand.accelerators, room.accelerators),
    )
    return min(
        (free // wanted if wanted else math.inf if free >= 0 else 0)
        for wanted, free in amounts
    )
