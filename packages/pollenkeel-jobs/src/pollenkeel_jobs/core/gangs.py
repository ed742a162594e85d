"""Placement of gangs: tasks that are placed all at once or not at all."""

from __future__ import annotations

from collections.abc import Iterator

from pollenkeel_jobs.core.candidates import Candidates, make_candidate_key
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.vms import Vm


def choose_for_gang(
    members: list[Task], vms: list[Vm], placement: Placement
) -> dict[Task, Vm] | None:
    """Return a VM for each member, or None if they do not all fit.

    On success, the members' resources are reserved on their VMs.

    Parameters
    ----------
    members : list of Task
        Tasks that must run together.
    vms : list of Vm
        VMs that may receive starts.
    placement : Placement
        Policy that chooses the VM of a single task.
    """
    for candidates in _yield_candidate_sets(members[0], vms):
        chosen = _place_members(members, candidates, placement)
        if chosen is not None:
            return chosen
    return None


def _yield_candidate_sets(task: Task, vms: list[Vm]) -> Iterator[list[Vm]]:
    """Yield sets of VMs to try in turn; the last one has all VMs.

    For a step that is faster on one rack, the VMs that share a label are tried first,
    the smallest set first; racks are among the labels.
    """
    if task.step.same_rack:
        labels = sorted({label for vm in vms for label in vm.labels})
        groups = [[vm for vm in vms if label in vm.labels] for label in labels]
        yield from (group for group in sorted(groups, key=len) if len(group) < len(vms))
    yield vms


def _place_members(
    members: list[Task], vms: list[Vm], placement: Placement
) -> dict[Task, Vm] | None:
    ranked = Candidates(members[0], vms, placement)
    chosen: dict[Task, Vm] = {}
    for member in members:
        if make_candidate_key(member, placement) != ranked.key:
            ranked = Candidates(member, vms, placement)
        vm = ranked.reserve(member)
        if vm is None:
            for placed, holder in chosen.items():
                holder.remove(placed)
            return None
        chosen[member] = vm
    return chosen
