"""Largest free resources among VMs, which rule out most demands at once."""

from __future__ import annotations

from collections.abc import Iterable

from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind


class FreeRoom:
    """Upper bounds of the free resources on the VMs of each service and label.

    They stay valid during a pass, in which VMs only get fuller.

    Parameters
    ----------
    vms : iterable of Vm
        VMs that may receive starts.
    """

    def __init__(self, vms: Iterable[Vm]) -> None:
        # By service and label: CPU, memory and accelerators, each of the VM that has
        # most of it free.
        self._largest_by_place: dict[tuple[str, str], tuple[int, int, int]] = {}
        for vm in vms:
            free = _get_free(vm)
            for label in ("", *vm.labels):
                place = vm.service, label
                cpu, memory, accelerators = self._largest_by_place.get(place, free)
                self._largest_by_place[place] = (
                    max(cpu, free[0]),
                    max(memory, free[1]),
                    max(accelerators, free[2]),
                )

    def rules_out(self, kind: DemandKind) -> bool:
        """Return whether no VM has room for a kind of demand.

        Otherwise there may still be none, as no VM need have all the resources.
        """
        largest = self._largest_by_place.get((kind.service, kind.label))
        if largest is None:
            return True
        cpu, memory, accelerators = largest
        demand = kind.reserved
        return (
            demand.cpu > cpu
            or demand.memory > memory
            or demand.accelerators > accelerators
        )


def _get_free(vm: Vm) -> tuple[int, int, int]:
    capacity, reserved, other = vm.capacity, vm.reserved_demand, vm.unplaced_demand
    return (
        capacity.cpu - reserved.cpu - other.cpu,
        capacity.memory - reserved.memory - other.memory,
        capacity.accelerators - reserved.accelerators - other.accelerators,
    )
