"""VMs for the tasks of one step, ordered by score."""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterable

from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.vms import Vm

#: Tasks for which every VM has the same score: those of one step and occurrence that
#: the policy does not tell apart.
CandidateKey = tuple[Job, int, int, Hashable]


def make_candidate_key(task: Task, placement: Placement) -> CandidateKey:
    """Return the key of the tasks that can share ``Candidates`` with this one."""
    return task.job, task.key.occurrence, task.key.step, placement.group(task)


class Candidates:
    """VMs that a task fits on, the one with the lowest score first.

    Placing a task changes the score of its VM alone, so that a step of n tasks needs
    n more scores than there are VMs, with the same choices as a search through all VMs
    for each task. Nothing but ``reserve`` may change the VMs meanwhile.

    Parameters
    ----------
    task : Task
        One of the tasks to place.
    vms : iterable of Vm
        VMs that may receive starts.
    placement : Placement
        Policy that scores the VMs.
    """

    def __init__(self, task: Task, vms: Iterable[Vm], placement: Placement) -> None:
        self.key = make_candidate_key(task, placement)
        self._placement = placement
        self._heap: list[tuple[float, str, Vm]] = []
        for vm in vms:
            score = placement.score(task, vm)
            if score is not None:
                self._heap.append((score, vm.name, vm))
        heapq.heapify(self._heap)

    def has_other_than(self, vm: Vm) -> bool:
        """Return whether the task fits on a VM other than ``vm``."""
        return any(candidate is not vm for _, _, candidate in self._heap)

    def reserve(self, task: Task) -> Vm | None:
        """Add a task to the best VM and return the VM, or None if it fits on none.

        Parameters
        ----------
        task : Task
            Task with the same key as that of these candidates.
        """
        if not self._heap:
            return None
        _, name, vm = self._heap[0]
        vm.add(task)
        score = self._placement.score(task, vm)
        if score is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, (score, name, vm))
        return vm
