"""The VMs of a term of leadership, their workers' lives and who may receive starts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import logbook

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.policy.quarantine import ConsecutiveFailures, Quarantine

logger = logbook.Logger("fleet")

#: Lease granted to a worker, in seconds on its clock; outlasts a change of leader.
WORKER_LEASE = 5.0
#: Factor by which a worker's clock may be slow, with some reserve.
_CLOCK_FACTOR = 1.03
#: Reserve added to the computed end of a lease, in seconds.
_LAPSE_RESERVE = 0.4
#: Seconds after which every lease granted before has surely ended.
_LAPSE_SECONDS = WORKER_LEASE * _CLOCK_FACTOR + _LAPSE_RESERVE
#: Seconds after the first report of a term for which silent agents may still be
#: starting. When all processes restart, agents come back at different times, and their
#: workers may list ends that nobody has recorded.
_START_SPREAD_SECONDS = 3.0
#: Seconds for which the operators' orders count as known after they were read.
_OPERATIONS_SECONDS = 4.0


class Fleet:
    """VMs by name and by the life of their worker.

    Not safe for use by several threads; the scheduler's lock protects it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.now()
        self._first_heard_at = float("inf")
        self._vms_by_name: dict[str, Vm] = {}
        self._vms_by_life: dict[str, Vm] = {}
        self._orphans_by_life: dict[str, dict[str, Task]] = {}
        self._operations = Operations()
        self._operations_until = 0.0
        self.quarantine: Quarantine = ConsecutiveFailures(
            failures=2, pause=4.0, longest_pause=30.0
        )

    def vms(self) -> Iterable[Vm]:
        """Return all VMs."""
        return self._vms_by_name.values()

    def find(self, name: str) -> Vm | None:
        """Return the VM of a name."""
        return self._vms_by_name.get(name)

    def find_by_life(self, incarnation: str) -> Vm | None:
        """Return the VM whose worker is in this life."""
        return self._vms_by_life.get(incarnation)

    def add(self, name: str, address: str) -> Vm:
        """Return the VM of this name, which is new or has a new address."""
        vm = self._vms_by_name.setdefault(name, Vm(name, address))
        vm.address = address
        return vm

    def add_orphan(self, task: Task) -> None:
        """Keep a task that an earlier leader placed, until its worker reports."""
        orphans = self._orphans_by_life.setdefault(task.runner, {})
        orphans[task.task_id] = task

    def update_operations(self, operations: Operations, confirmed_at: float) -> None:
        """Take the operators' orders as of ``confirmed_at``."""
        self._operations = operations
        self._operations_until = confirmed_at + _OPERATIONS_SECONDS

    def is_open(self, zone: str) -> bool:
        """Return whether tasks may start in a data centre."""
        known = self._clock.now() < self._operations_until
        return known and zone not in self._operations.closed_zones

    def usable(self) -> list[Vm]:
        """Return the VMs that may receive starts."""
        now = self._clock.now()
        return [
            vm
            for vm in self._vms_by_name.values()
            if vm.is_usable(now)
            and self.is_open(vm.zone)
            and self.quarantine.allowed(vm.incarnation, now)
        ]

    def begin_life(self, vm: Vm, incarnation: str) -> list[Task]:
        """Take note of a new life of a VM's worker.

        Returns
        -------
        list of Task
            Tasks that were placed on the lives before, which have ended.
        """
        log_change(
            logger,
            "worker known",
            vm=vm.name,
            worker=incarnation,
            before=vm.incarnation,
        )
        self._first_heard_at = min(self._first_heard_at, self._clock.now())
        lost = list(vm.tasks_by_id.values())
        for task in lost:
            vm.remove(task)
        self._vms_by_life.pop(vm.incarnation, None)
        self._vms_by_life[incarnation] = vm
        # A VM has one worker at a time, so that a new life ends all earlier ones.
        for other in list(self._orphans_by_life):
            if other != incarnation and other.partition("/")[0] == vm.name:
                lost += self._orphans_by_life.pop(other).values()
        vm.incarnation = incarnation
        vm.fenced = False
        vm.lease_until = 0.0
        vm.ended_through = vm.recorded_through = 0
        # Until the first grant, what runs here may have a lease of an earlier leader.
        vm.lapsed_at = max(vm.lapsed_at, self._began_at + _LAPSE_SECONDS)
        for task in self._orphans_by_life.pop(incarnation, {}).values():
            vm.add(task)
        return lost

    def grant_lease(self, vm: Vm, clock_ms: float) -> None:
        """Extend the lease of a VM's worker from a time on the worker's clock."""
        vm.lease_until = clock_ms + WORKER_LEASE * 1000
        vm.lapsed_at = max(vm.lapsed_at, self._clock.now() + _LAPSE_SECONDS)

    def take_lapsed(self) -> Iterator[Task]:
        """Yield the tasks whose leases have surely ended, and forget where they ran."""
        now = self._clock.now()
        for vm in self._vms_by_name.values():
            if vm.tasks_by_id and vm.lapsed_at and now > vm.lapsed_at:
                for task in list(vm.tasks_by_id.values()):
                    vm.remove(task)
                    yield task
        if now > max(
            self._began_at + _LAPSE_SECONDS,
            self._first_heard_at + _START_SPREAD_SECONDS,
        ):
            for tasks in self._orphans_by_life.values():
                yield from tasks.values()
            self._orphans_by_life.clear()
