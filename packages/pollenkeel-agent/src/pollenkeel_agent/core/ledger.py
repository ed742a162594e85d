"""Reservations of the slots, cores, memory and accelerators of the VM."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources, TaskKey
from pollenkeel_kernel.core.refusal import Refusal

#: Number of consecutive announcements whose bounds on orphans are compared; the largest
#: one applies. The in-flight count of an upstream misses calls still in transit to it,
#: so with a single announcement an orphan could be counted as ended while it runs.
_ORPHAN_BOUND_WINDOW = 3


@attrs.define
class ServiceSlots:
    """Slots of one service.

    Attributes
    ----------
    slots : int
        Requests that the upstream serves concurrently.
    resources : Resources
        Resources that the upstream process itself uses.
    active : int
        Calls of this process that are in progress.
    orphans : int
        Upper bound on the requests that may still run at the upstream although no call
        is in progress here: timed-out calls and calls of an earlier agent process.
    lowest_active : int
        Lowest ``active`` since the previous announcement.
    announcements_to_skip : int
        Number of announcements to ignore: 1 after a failed call, because the next one
        may have been counted before the upstream received that call.
    bounds : deque of int
        Upper bounds on ``orphans`` derived from the latest announcements.
    """

    slots: int
    resources: Resources
    active: int = 0
    orphans: int = 0
    lowest_active: int = 0
    announcements_to_skip: int = 0
    bounds: deque[int] = attrs.field(factory=lambda: deque(maxlen=_ORPHAN_BOUND_WINDOW))

    @property
    def free(self) -> int:
        """Number of free slots."""
        return max(0, self.slots - self.active - self.orphans)

    def record_in_flight(self, in_flight: int) -> None:
        """Lower ``orphans`` if an announced in-flight count rules some of them out."""
        lowest, self.lowest_active = self.lowest_active, self.active
        if self.announcements_to_skip:
            self.announcements_to_skip -= 1
            return
        # Calls in transit cannot make this bound too low, because no calls of this
        # process are subtracted. The announcement after a failed call, which may lack
        # that call, was skipped above.
        self.orphans = min(self.orphans, in_flight)
        # At least ``lowest`` calls of this process ran during the whole interval; these
        # are not orphans.
        self.bounds.append(max(0, in_flight - lowest))
        if len(self.bounds) == _ORPHAN_BOUND_WINDOW:
            self.orphans = min(self.orphans, max(self.bounds))


@attrs.define
class TaskReservation:
    """Resources reserved for one attempt of a task."""

    declared: Resources
    reported: Resources = attrs.field(factory=Resources)

    @property
    def amount(self) -> Resources:
        """The larger of declared and reported use, for each resource."""
        return self.declared.maximum(self.reported)


class Ledger:
    """Tracks all reservations on one VM; the only component that admits work to it.

    Parameters
    ----------
    capacity : Resources
        Total resources of the VM.
    """

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self._lock = threading.Lock()
        self._tasks_listed = False
        self._slots_by_service: dict[str, ServiceSlots] = {}
        self._reservations_by_key: dict[TaskKey, TaskReservation] = {}

    def add_upstream(
        self, service: str, slots: int, in_flight: int, resources: Resources
    ) -> None:
        """Record the announcement of a new or returning upstream.

        In-flight requests that are not calls of this process occupy slots until the
        upstream reports a lower count.
        """
        with self._lock:
            service_slots = self._slots_by_service.setdefault(
                service, ServiceSlots(slots, resources)
            )
            service_slots.slots, service_slots.resources = slots, resources
            service_slots.orphans = max(0, in_flight - service_slots.active)
            service_slots.lowest_active = service_slots.active
            service_slots.bounds.clear()
            service_slots.announcements_to_skip = 0

    def update_upstream(
        self, service: str, slots: int, in_flight: int, resources: Resources
    ) -> None:
        """Record a subsequent announcement of a known upstream."""
        with self._lock:
            service_slots = self._slots_by_service[service]
            service_slots.slots, service_slots.resources = slots, resources
            service_slots.record_in_flight(in_flight)

    def remove_upstream(self, service: str) -> bool:
        """Release the resources of an upstream whose process has ended.

        Returns False and changes nothing while a call is in progress.
        """
        with self._lock:
            service_slots = self._slots_by_service.get(service)
            if service_slots is not None and service_slots.active:
                return False
            self._slots_by_service.pop(service, None)
            return True

    def reserve_slot(self, service: str) -> Result[None, Refusal]:
        """Reserve a slot for a call to a service.

        Returns
        -------
        Result[None, Refusal]
            ``Code.NO_UPSTREAM`` if the upstream has not announced itself,
            ``Code.VM_FULL`` if all slots are reserved.
        """
        with self._lock:
            service_slots = self._slots_by_service.get(service)
            if service_slots is None:
                return Err(Refusal(Code.NO_UPSTREAM, f"service {service!r}"))
            if service_slots.free == 0:
                detail = (
                    f"service {service!r}: all {service_slots.slots} slots are taken"
                )
                return Err(Refusal(Code.VM_FULL, detail))
            service_slots.active += 1
            return Ok(None)

    def release_slot(self, service: str) -> None:
        """Release the slot of a call that has ended."""
        with self._lock:
            self._end_call(service)

    def orphan_slot(self, service: str) -> None:
        """Keep the slot of a failed call reserved, as the upstream may still run it."""
        with self._lock:
            service_slots = self._end_call(service)
            service_slots.orphans += 1
            service_slots.announcements_to_skip = 1
            service_slots.bounds.clear()

    def _end_call(self, service: str) -> ServiceSlots:
        service_slots = self._slots_by_service[service]
        service_slots.active -= 1
        service_slots.lowest_active = min(
            service_slots.lowest_active, service_slots.active
        )
        return service_slots

    def free_slots(self, service: str) -> int:
        """Return the number of free slots of a service; 0 if it is unknown."""
        with self._lock:
            service_slots = self._slots_by_service.get(service)
            return service_slots.free if service_slots else 0

    def in_flight(self) -> int:
        """Return the number of upstream calls in progress."""
        with self._lock:
            return sum(
                service_slots.active
                for service_slots in self._slots_by_service.values()
            )

    @property
    def tasks_listed(self) -> bool:
        """Whether this process has received a list of the worker's tasks."""
        with self._lock:
            return self._tasks_listed

    def reserve_task(self, key: TaskKey, declared: Resources) -> Result[None, Refusal]:
        """Reserve the declared resources of an attempt.

        Returns
        -------
        Result[None, Refusal]
            ``Code.CAPACITY_UNKNOWN`` before the worker's tasks are listed,
            ``Code.VM_FULL`` if too little is free.
        """
        with self._lock:
            if not self._tasks_listed:
                detail = "the worker's tasks are not listed yet"
                return Err(Refusal(Code.CAPACITY_UNKNOWN, detail))
            free = self._free()
            if not declared.fits_in(free):
                return Err(Refusal(Code.VM_FULL, f"wanted {declared}, free {free}"))
            self._reservations_by_key[key] = TaskReservation(declared)
            return Ok(None)

    def release_task(self, key: TaskKey) -> None:
        """Release the resources of an attempt that is not running."""
        with self._lock:
            self._reservations_by_key.pop(key, None)

    def record_running(
        self, running: Iterable[tuple[TaskKey, Resources, Resources]]
    ) -> None:
        """Reserve resources for running attempts and update their reported use.

        Tasks are admitted only after the first call.

        Parameters
        ----------
        running : iterable of (TaskKey, Resources, Resources)
            Key, declared use and reported use of each attempt that the worker lists as
            running.
        """
        with self._lock:
            for key, declared, reported in running:
                reservation = self._reservations_by_key.setdefault(
                    key, TaskReservation(declared)
                )
                reservation.reported = reported
            self._tasks_listed = True

    def free(self) -> Resources:
        """Return the free resources, never below zero."""
        with self._lock:
            return self._free().maximum(Resources())

    def _free(self) -> Resources:
        """Return the free resources; negative if the VM is overcommitted."""
        free = self.capacity
        for service_slots in self._slots_by_service.values():
            free = free - service_slots.resources
        for reservation in self._reservations_by_key.values():
            free = free - reservation.amount
        return free

    def describe(self) -> dict[str, object]:
        """Return the ledger's section of the state dump."""
        with self._lock:
            return {
                "capacity": self.capacity,
                "free": self._free(),
                "tasks_listed": self._tasks_listed,
                "slots_by_service": {
                    name: {"slots": e.slots, "active": e.active, "orphans": e.orphans}
                    for name, e in self._slots_by_service.items()
                },
                "holds_by_attempt": {
                    f"{key.task_id}/{key.attempt}": reservation.amount
                    for key, reservation in self._reservations_by_key.items()
                },
            }
