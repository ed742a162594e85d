"""Sizes of the placed and of the waiting tasks of a service, computed once a pass."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from itertools import accumulate

from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind

#: Share of a VM, and multiple of the mean share of the placed tasks, that a large task
#: needs at least. Smaller ones fit as soon as a few runs end.
_MIN_DEMAND_SHARE = 0.1
_MIN_MULTIPLE = 2.0


class ServiceLoad:
    """Tells which demands are large, and how much waits that is smaller.

    Parameters
    ----------
    vms : iterable of Vm
        VMs of the service that may receive starts.
    counts_by_kind : mapping of DemandKind to int
        Numbers of waiting tasks of all services.
    service : str
        The service.

    Attributes
    ----------
    vm_count : int
        Number of the VMs.
    """

    def __init__(
        self, vms: Iterable[Vm], counts_by_kind: Mapping[DemandKind, int], service: str
    ) -> None:
        vms = list(vms)
        self.vm_count = len(vms)
        self._capacities = {vm.capacity for vm in vms}
        shares = (compute_share(vm.reserved_demand, vm.capacity) for vm in vms)
        placed = sum(len(vm.tasks_by_id) for vm in vms)
        self._mean_share = sum(shares) / max(1, placed)
        waiting = sorted(
            (kind.reserved.cpu, count * kind.reserved.cpu)
            for kind, count in counts_by_kind.items()
            if kind.service == service
        )
        self._sizes = [size for size, _ in waiting]
        self._sums = [0, *accumulate(cpu for _, cpu in waiting)]

    def is_large(self, demand: Demand) -> bool:
        """Return whether a demand is large for the VMs and among the placed tasks."""
        if not any(is_large_share(demand, capacity) for capacity in self._capacities):
            return False
        share = max(compute_share(demand, capacity) for capacity in self._capacities)
        return share >= _MIN_MULTIPLE * self._mean_share

    def could_be_filled(self, demand: Demand) -> bool:
        """Return whether waiting tasks that need less CPU could fill a room."""
        smaller = self._sums[bisect_left(self._sizes, demand.cpu)]
        return smaller >= demand.cpu


def is_large_share(demand: Demand, capacity: Demand) -> bool:
    """Return whether a demand needs much of a capacity, and not more than it."""
    return _MIN_DEMAND_SHARE <= compute_share(demand, capacity) <= 1.0


def compute_share(demand: Demand, capacity: Demand) -> float:
    """Return the largest share of the capacity that a demand needs of any resource."""
    return max(
        demand.cpu / max(1, capacity.cpu),
        demand.memory / max(1, capacity.memory),
        demand.accelerators / max(1, capacity.accelerators),
    )
