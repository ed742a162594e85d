"""Waiting tasks that a pass over the queue need not try any more."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable

from pollenkeel_jobs.core.free_room import FreeRoom
from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_jobs.core.placement import SPREAD_LIMIT, Placement
from pollenkeel_jobs.core.trials import (
    TrialWait,
    get_trial_order,
    get_trial_wait,
    has_waited_for_trial,
    is_tried_apart,
)
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind

#: Job, occurrence and number of a step.
StepKey = tuple[Job, int, int]
#: Number of crashes, order among suspects, and how long the suspect has waited.
_TrialKey = tuple[int, tuple[int, int], TrialWait, bool]
#: Maximum number of steps of one kind that are tried in a pass if kept room is all that
#: they lack. Bounds the time of a pass.
_MAX_KEPT_BACK_STEPS = 20
#: Kind of demand, step if it matters, and whether the task has waited long.
_SuspectKey = tuple[DemandKind, _TrialKey, StepKey | None, bool]


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
    """

    def __init__(self, placement: Placement, vms: list[Vm]) -> None:
        self.kinds: set[DemandKind] = set()
        self._placement = placement
        self._vms = vms
        self._free_room = FreeRoom(vms)
        self._kinds_not_waited_long: set[DemandKind] = set()
        self._steps: set[StepKey] = set()
        self._trials: set[_TrialKey] = set()
        self._suspects: set[_SuspectKey] = set()
        self._steps_kept_back: dict[tuple[DemandKind, Hashable], set[StepKey]] = (
            defaultdict(set)
        )

    def contains(self, kind: DemandKind, task: Task) -> bool:
        """Return whether a task fits on no VM, as far as is known.

        A suspected task may fit on a VM with others on trial, where no other task does.
        """
        if is_tried_apart(task):
            return (
                self._make_trial_key(task) in self._trials
                or self._make_suspect_key(kind, task) in self._suspects
            )
        return (
            kind in self.kinds
            or (
                kind in self._kinds_not_waited_long
                and not self._placement.has_waited_long(task)
            )
            or (bool(self._steps) and get_step(task) in self._steps)
            or (bool(self._steps_kept_back) and self._is_kept_back(kind, task))
        )

    def _is_kept_back(self, kind: DemandKind, task: Task) -> bool:
        steps = self._steps_kept_back.get((kind, self._placement.get_claim(task)), ())
        return len(steps) >= _MAX_KEPT_BACK_STEPS or get_step(task) in steps

    def _make_suspect_key(self, kind: DemandKind, task: Task) -> _SuspectKey:
        """Return what suspects have in common of which all or none find a VM."""
        step = task.step
        has_obstacle_of_its_own = kind.advised or step.spread_limit
        return (
            kind,
            self._make_trial_key(task),
            get_step(task) if has_obstacle_of_its_own else None,
            self._placement.has_waited_long(task),
        )

    def _make_trial_key(self, task: Task) -> _TrialKey:
        """Return what suspects have in common of which all or none may be tried."""
        now = self._placement.now
        return (
            len(task.crashed_on),
            get_trial_order(task),
            get_trial_wait(task, now),
            has_waited_for_trial(task, now),
        )

    def add_untried(self, task: Task) -> None:
        """Add all suspects that may not be tried now for the same reason as a task."""
        self._trials.add(self._make_trial_key(task))

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
        if is_tried_apart(task):
            self._suspects.add(self._make_suspect_key(kind, task))
        elif self._has_obstacle_of_its_own(kind, task):
            self._steps.add(get_step(task))
        elif self._placement.is_kept_back(task, self._vms):
            claim = self._placement.get_claim(task)
            self._steps_kept_back[kind, claim].add(get_step(task))
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
