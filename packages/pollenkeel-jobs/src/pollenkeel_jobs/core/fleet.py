"""The VMs that the leader manages, their workers' leases, and which may get starts."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

import logbook

from pollenkeel_jobs.core.lease_expiries import LeaseExpiries
from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.policy.quarantine import ConsecutiveFailures, Quarantine

logger = logbook.Logger("fleet")

#: Lease granted to a worker, in seconds on its clock; longer than a change of leader.
WORKER_LEASE = 5.0
#: Factor by which a worker's clock may run slow, with a margin.
_CLOCK_SKEW_FACTOR = 1.03
#: Margin added to the computed end of a lease, in seconds.
_EXPIRY_MARGIN = 0.4
#: Seconds after which a granted lease has expired for certain.
_LEASE_EXPIRY_SECONDS = WORKER_LEASE * _CLOCK_SKEW_FACTOR + _EXPIRY_MARGIN
#: Longest lease that a worker accepts, in seconds on its clock.
_LONGEST_LEASE = 6.0
#: Seconds after which any lease that a worker has accepted has expired for certain.
_LONGEST_LEASE_EXPIRY_SECONDS = _LONGEST_LEASE * _CLOCK_SKEW_FACTOR + _EXPIRY_MARGIN
#: Seconds after the latest agent's first report of a term for which others may still be
#: starting. When all processes restart, agents come back at different times, and their
#: workers may list ends of runs that no leader has recorded.
_AGENT_START_SECONDS = 3.0
#: Upper limit of the wait for agents, in seconds after the first report of a term.
_LONGEST_AGENT_START_SECONDS = 8.0
#: Seconds after an agent's first report of a term for which its worker's lists are
#: awaited. The agent has found its worker, which may be slow to list its runs.
_FIRST_LISTS_SECONDS = 2.0
#: Seconds without a worker's lists after which the end of its lease is recorded.
_SILENCE_SECONDS = 1.0
#: The same for a worker that has not reported in this term; agents may be starting.
_ORPHAN_SILENCE_SECONDS = 2.0
#: Seconds for which the operators' settings are valid after they were read.
_OPERATIONS_VALID_SECONDS = 4.0
#: Obstacle of a VM whose worker failed too many tasks in a row.
_QUARANTINE = "quarantine"


def have_same_worker(incarnation: str, other: str) -> bool:
    """Return whether two incarnations are of a worker with the same id on one VM."""
    return incarnation.partition("~")[0] == other.partition("~")[0]


class Fleet:
    """VMs by name and by the incarnation of their worker.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    epoch : int
        Fencing token of the term.

    Attributes
    ----------
    expiries : LeaseExpiries
        Recorded ends of the leases of silent workers.
    """

    def __init__(self, clock: Clock, epoch: int = 0) -> None:
        self._clock = clock
        self.expiries = LeaseExpiries(epoch)
        self._began_at = clock.now()
        self._first_heard_at = float("inf")
        self._last_joined_at = float("inf")
        self._vms_by_name: dict[str, Vm] = {}
        self._vms_by_incarnation: dict[str, Vm] = {}
        self._orphans_by_incarnation: dict[str, dict[str, Task]] = {}
        self._operations = Operations()
        self._operations_valid_until = 0.0
        # After runs of two different jobs failed in a row, starts on a worker pause for
        # 4 s, or for up to 30 s if it keeps failing.
        self.quarantine: Quarantine = ConsecutiveFailures(
            failures=2, pause=4.0, longest_pause=30.0
        )

    def vms(self) -> Iterable[Vm]:
        """Return all VMs."""
        return self._vms_by_name.values()

    def find(self, name: str) -> Vm | None:
        """Return the VM with this name, or None."""
        return self._vms_by_name.get(name)

    def find_by_incarnation(self, incarnation: str) -> Vm | None:
        """Return the VM whose worker has this incarnation, or None."""
        return self._vms_by_incarnation.get(incarnation)

    def add(self, name: str, address: str) -> Vm:
        """Return the VM of this name, created if needed, with its address updated."""
        vm = self._vms_by_name.setdefault(name, Vm(name, address))
        vm.address = address
        return vm

    def find_busy_jobs(self) -> set[Job]:
        """Return the jobs with a placed task, including those of earlier leaders."""
        holders = [vm.tasks_by_id for vm in self.vms()]
        holders += self._orphans_by_incarnation.values()
        return {task.job for tasks_by_id in holders for task in tasks_by_id.values()}

    def add_orphan(self, task: Task) -> None:
        """Keep a task that an earlier leader placed until its worker is known."""
        orphans = self._orphans_by_incarnation.setdefault(task.runner, {})
        orphans[task.task_id] = task

    def update_operations(self, operations: Operations, confirmed_at: float) -> None:
        """Apply the operators' settings, known to be current at ``confirmed_at``."""
        self._operations = operations
        self._operations_valid_until = confirmed_at + _OPERATIONS_VALID_SECONDS

    @property
    def operations(self) -> Operations:
        """Operators' settings in force."""
        return self._operations

    def is_open(self, zone: str) -> bool:
        """Return whether tasks may start in a data centre (``zone``)."""
        known = self._clock.now() < self._operations_valid_until
        return known and zone not in self._operations.closed_zones

    def usable(self) -> list[Vm]:
        """Return the VMs that may receive starts."""
        now = self._clock.now()
        return [vm for vm in self.vms() if not self.find_obstacle(vm, now)]

    def list_quarantined(self) -> list[Vm]:
        """Return the VMs that receive no starts only because of their quarantine."""
        now = self._clock.now()
        return [vm for vm in self.vms() if self.find_obstacle(vm, now) == _QUARANTINE]

    def find_obstacle(self, vm: Vm, now: float) -> str:
        """Return why a VM may receive no starts, or an empty string if it may."""
        obstacle = vm.find_obstacle(now)
        if not obstacle and not self.is_open(vm.zone):
            return "closed data centre"
        if not obstacle and not self.quarantine.allowed(vm.incarnation, now):
            return _QUARANTINE
        return obstacle

    def iterate_others(self, vm: Vm) -> Iterator[Vm]:
        """Yield the other VMs that take starts, now or after their quarantine."""
        now = self._clock.now()
        for other in self.vms():
            if other is not vm and self.find_obstacle(other, now) in ("", _QUARANTINE):
                yield other

    def begin_incarnation(self, vm: Vm, incarnation: str) -> list[Task]:
        """Replace the incarnation of a VM's worker.

        The tasks that an earlier leader placed on the new incarnation (see
        ``add_orphan``) are added to the VM. So are those whose orders a worker with the
        same id may have executed after it restarted, as no list has shown their runs:
        until its lists or a stop show that they don't run there, they must not be
        started elsewhere.

        Returns
        -------
        list of Task
            Other tasks that were placed on earlier incarnations, whose runs have ended.
        """
        log_change(
            logger,
            "worker incarnation registered",
            vm=vm.name,
            worker=incarnation,
            before=vm.incarnation,
        )
        now = self._clock.now()
        self._first_heard_at = min(self._first_heard_at, now)
        if not vm.incarnation:
            self._last_joined_at = now
        lost, inherited = self._take_earlier_tasks(vm, incarnation)
        self._vms_by_incarnation.pop(vm.incarnation, None)
        self._vms_by_incarnation[incarnation] = vm
        if vm.incarnation:
            vm.replaced.append(vm.incarnation)
        vm.incarnation = incarnation
        vm.fenced = False
        vm.clock = vm.lease_until = vm.ends_complete_to = 0.0
        vm.ended_through = vm.recorded_through = 0
        # Until the first grant, runs here may hold a lease of an earlier leader.
        expires_at = max(
            self._began_at + _LEASE_EXPIRY_SECONDS, now + _FIRST_LISTS_SECONDS
        )
        vm.leases_expired_at = max(
            vm.leases_expired_at, min(expires_at, self.expiries.find(incarnation))
        )
        for task in self._orphans_by_incarnation.pop(incarnation, {}).values():
            vm.add(task)
        for task in inherited:
            task.runner = incarnation
            task.placed_at = task.absent_at = 0.0
            # A run that is not listed is revoked at once.
            task.listed_by = 0.0
            vm.add(task)
        if inherited:
            vm.leases_expired_at = max(
                vm.leases_expired_at, now + _LONGEST_LEASE_EXPIRY_SECONDS
            )
        return lost

    def _take_earlier_tasks(
        self, vm: Vm, incarnation: str
    ) -> tuple[list[Task], list[Task]]:
        """Remove the tasks placed on earlier incarnations of a VM's worker.

        A VM has one worker at a time: a new incarnation ends all earlier ones.

        Returns
        -------
        tuple of (list of Task, list of Task)
            Tasks whose runs have ended, and those that the new incarnation may run.
        """
        placed = list(vm.tasks_by_id.values())
        for task in placed:
            vm.remove(task)
        sent: list[Task] = []
        lost: list[Task] = []
        for task in placed:
            (sent if task.sent and not task.seen_at else lost).append(task)
        for other in list(self._orphans_by_incarnation):
            if other != incarnation and other.partition("/")[0] == vm.name:
                sent += self._orphans_by_incarnation.pop(other).values()
        inherited: list[Task] = []
        for task in sent:
            shares_id = have_same_worker(task.runner, incarnation)
            (inherited if shares_id else lost).append(task)
        return lost, inherited

    def grant_lease(self, vm: Vm, clock_ms: float) -> None:
        """Extend the lease of a VM's worker unless the end of a lease is recorded.

        Parameters
        ----------
        vm : Vm
            VM of the worker.
        clock_ms : float
            Time on the worker's clock from which the lease runs, in milliseconds.
        """
        if not self.expiries.may_grant(vm.incarnation):
            return
        vm.lease_until = clock_ms + WORKER_LEASE * 1000
        vm.leases_expired_at = max(
            vm.leases_expired_at, self._clock.now() + _LEASE_EXPIRY_SECONDS
        )

    def pop_expired(self) -> Iterator[Task]:
        """Remove and yield the tasks whose worker's lease has expired for certain.

        These are the tasks of VMs whose last lease has expired, and tasks placed by an
        earlier leader whose workers did not report in time.
        """
        now = self._clock.now()
        for vm in self._vms_by_name.values():
            if vm.tasks_by_id and vm.leases_expired_at and now > vm.leases_expired_at:
                for task in list(vm.tasks_by_id.values()):
                    vm.remove(task)
                    yield task
        for worker in list(self._orphans_by_incarnation):
            if now > self._find_orphan_expiry(worker):
                yield from self._orphans_by_incarnation.pop(worker).values()

    def _find_orphan_expiry(self, worker: str) -> float:
        """Return when the lease of a worker that has not reported has expired."""
        agents_started_by = min(
            self._last_joined_at + _AGENT_START_SECONDS,
            self._first_heard_at + _LONGEST_AGENT_START_SECONDS,
        )
        expires_at = max(self._began_at + _LEASE_EXPIRY_SECONDS, agents_started_by)
        return min(expires_at, self.expiries.find(worker))

    def find_silent_workers(self) -> dict[str, float]:
        """Return when the leases of silent workers with tasks have expired for certain.

        Returns
        -------
        dict of str to float
            Times in seconds since the Unix epoch, by the worker's incarnation.
        """
        return dict(self._iterate_silent_workers())

    def _iterate_silent_workers(self) -> Iterator[tuple[str, float]]:
        now = self._clock.now()
        for vm in self._vms_by_name.values():
            heard_at = max(vm.listed_at, self._began_at)
            is_inherited = not vm.listed_at and self._is_inherited(vm.incarnation)
            is_silent = is_inherited or now - heard_at >= _SILENCE_SECONDS
            if vm.tasks_by_id and is_silent:
                yield vm.incarnation, vm.leases_expired_at
        is_late = now - self._began_at >= _ORPHAN_SILENCE_SECONDS
        for worker in self._orphans_by_incarnation:
            if self._is_inherited(worker):
                yield worker, self.expiries.find(worker)
            elif is_late and self._first_heard_at < math.inf:
                # The latest time at which this leader itself gives the runs up.
                yield worker, self._first_heard_at + _LONGEST_AGENT_START_SECONDS

    def _is_inherited(self, worker: str) -> bool:
        """Return whether the leader before has recorded the end of a worker's lease."""
        return self.expiries.find(worker) < math.inf
