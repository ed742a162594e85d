"""Bounds of the free resources among VMs, which rule out most demands at once."""

from __future__ import annotations

from collections.abc import Iterable

from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind

#: CPU, memory and accelerators.
_Amounts = tuple[int, int, int]
#: Service, label, and image of best-effort tasks or None for others. Of two demands of
#: the same place, the one with the larger amounts fits only where the other one does.
_Place = tuple[str, str, str | None]


class FreeRoom:
    """What is known in a pass about demands that fit on no VM.

    It stays valid during the pass, in which VMs only get fuller.

    Parameters
    ----------
    vms : iterable of Vm
        VMs that may receive starts.
    """

    def __init__(self, vms: Iterable[Vm]) -> None:
        # By service and label: amounts, each of the VM that has most of it free.
        self._largest_by_label: dict[tuple[str, str], _Amounts] = {}
        # The smallest amounts that fit on no VM.
        self._excluded_by_place: dict[_Place, list[_Amounts]] = {}
        for vm in vms:
            free = _get_free(vm)
            for label in ("", *vm.labels):
                key = vm.service, label
                cpu, memory, accelerators = self._largest_by_label.get(key, free)
                self._largest_by_label[key] = (
                    max(cpu, free[0]),
                    max(memory, free[1]),
                    max(accelerators, free[2]),
                )

    def exclude(self, kind: DemandKind) -> None:
        """Record that a kind of demand fits on no VM, and so no larger one does."""
        if kind.gang is not None:
            # A smaller gang or a single task may still fit.
            return
        place = kind.service, kind.label, _get_image(kind)
        amounts = _get_amounts(kind)
        smaller = [
            other
            for other in self._excluded_by_place.get(place, [])
            if not _covers(other, amounts)
        ]
        self._excluded_by_place[place] = [*smaller, amounts]

    def rules_out(self, kind: DemandKind) -> bool:
        """Return whether a kind of demand is known to fit on no VM."""
        largest = self._largest_by_label.get((kind.service, kind.label))
        reserved = kind.reserved
        if largest is None or not _covers(
            largest, (reserved.cpu, reserved.memory, reserved.accelerators)
        ):
            return True
        amounts = _get_amounts(kind)
        return any(
            _covers(amounts, excluded)
            for label in {kind.label, ""}
            for excluded in self._excluded_by_place.get(
                (kind.service, label, _get_image(kind)), []
            )
        )


def _get_image(kind: DemandKind) -> str | None:
    return kind.best_effort[0] if kind.best_effort else None


def _get_amounts(kind: DemandKind) -> _Amounts:
    """Return the amounts of a demand; the CPU of best-effort tasks is not reserved."""
    reserved = kind.reserved
    cpu = kind.best_effort[1] if kind.best_effort else reserved.cpu
    return cpu, reserved.memory, reserved.accelerators


def _covers(amounts: _Amounts, others: _Amounts) -> bool:
    return (
        amounts[0] >= others[0] and amounts[1] >= others[1] and amounts[2] >= others[2]
    )


def _get_free(vm: Vm) -> _Amounts:
    capacity, reserved, other = vm.capacity, vm.reserved_demand, vm.unplaced_demand
    return (
        capacity.cpu - reserved.cpu - other.cpu,
        capacity.memory - reserved.memory - other.memory,
        capacity.accelerators - reserved.accelerators - other.accelerators,
    )
