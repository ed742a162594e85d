"""Waiting tasks that a pass over the queue need not try any more."""

from __future__ import annotations

from pollenkeel_jobs.core.free_room import FreeRoom
from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_jobs.core.placement import SPREAD_LIMIT, Placement
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind

#: Job, occurrence and number of a step.
StepKey = tuple[Job, int, int]


class Unplaceable:
    """Tasks that fit on no VM for the rest of a pass, in which VMs only get fuller.

    Parameters
    ----------
    placement : Placement
        Policy that decides whether a task may run on a VM.
    vms : list of Vm
        VMs that may receive starts.

    Attributes
    ----------
    kinds : set of DemandKind
        Kinds of demand that fit on no VM.
    trials : bool
        Whether no further task that may have crashed workers may be placed.
    """

    def __init__(self, placement: Placement, vms: list[Vm]) -> None:
        self.kinds: set[DemandKind] = set()
        self.trials = False
        self._placement = placement
        self._vms = vms
        self._free_room = FreeRoom(vms)
        self._kinds_not_waited_long: set[DemandKind] = set()
        self._steps: set[StepKey] = set()

    def contains(self, kind: DemandKind, task: Task) -> bool:
        """Return whether a task fits on no VM, given that its kind may fit."""
        return (
            (self.trials and bool(task.crashed_on))
            or (
                kind in self._kinds_not_waited_long
                and not self._placement.has_waited_long(task)
            )
            or (bool(self._steps) and get_step(task) in self._steps)
        )

    def rules_out(self, kind: DemandKind) -> bool:
        """Return whether a kind fits on no VM, without a look at each VM."""
        if self._free_room.rules_out(kind):
            self.kinds.add(kind)
        return kind in self.kinds

    def add(self, kind: DemandKind, task: Task) -> None:
        """Add a task that found no VM, and all others that therefore find none.

        Parameters
        ----------
        kind : DemandKind
            Kind of the task's demand.
        task : Task
            The task.
        """
        if self._has_obstacle_of_its_own(kind, task):
            self._steps.add(get_step(task))
        elif kind.best_effort and not self._placement.has_waited_long(task):
            self._kinds_not_waited_long.add(kind)
        else:
            self.kinds.add(kind)
            self._free_room.exclude(kind)

    def _has_obstacle_of_its_own(self, kind: DemandKind, task: Task) -> bool:
        """Return whether other tasks of the same kind may find a VM.

        A ticket and the spread limit concern the tasks of one step.
        """
        if task.step.gang:
            return kind.advised
        if not kind.advised and not task.step.spread_limit:
            return False
        return any(
            self._placement.find_obstacle(task, vm) in ("", SPREAD_LIMIT)
            for vm in self._vms
        )


def get_step(task: Task) -> StepKey:
    """Return the step and occurrence that a task belongs to."""
    return task.job, task.key.occurrence, task.key.step
