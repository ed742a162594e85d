"""Room that is kept for waiting tasks on VMs where other tasks are stopped for them."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import WaitingTasks


@attrs.frozen
class Reservation:
    """Room for a waiting task on one incarnation of a VM's worker.

    Attributes
    ----------
    task : Task
        Task for which the room is kept.
    vm : Vm
        VM of the worker.
    incarnation : str
        Incarnation of the worker.
    retry_at : float
        Time from which the task may try another VM if this one takes no starts any
        more, in seconds since the Unix epoch.
    expires_at : float
        Time at which the room is given up, in seconds since the Unix epoch.
    """

    task: Task
    vm: Vm
    incarnation: str
    retry_at: float
    expires_at: float


class Reservations:
    """At most one reservation for each VM and for each task.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    waiting : WaitingTasks
        Tasks that wait for a VM; a reservation for any other task ends.
    """

    def __init__(self, waiting: WaitingTasks) -> None:
        self._waiting = waiting
        self._reservations_by_vm: dict[Vm, Reservation] = {}

    def __iter__(self) -> Iterator[Reservation]:
        return iter(list(self._reservations_by_vm.values()))

    def add(self, reservation: Reservation) -> None:
        """Keep room on a VM that has no reservation yet."""
        self._reservations_by_vm[reservation.vm] = reservation

    def remove(self, reservation: Reservation) -> None:
        """Give up the room of a reservation; does nothing if it has ended already."""
        if self._reservations_by_vm.get(reservation.vm) is reservation:
            del self._reservations_by_vm[reservation.vm]

    def remove_ended(self, now: float) -> None:
        """Give up the room that has expired or that its task does not need any more."""
        for reservation in self:
            if (
                reservation.task not in self._waiting
                or reservation.vm.incarnation != reservation.incarnation
                or reservation.vm.draining
                or now >= reservation.expires_at
            ):
                self.remove(reservation)

    def is_reserved(self, vm: Vm) -> bool:
        """Return whether room is kept on a VM."""
        return vm in self._reservations_by_vm

    def get_demand(self, vm: Vm) -> Demand | None:
        """Return the resources that are kept on a VM, or None if there are none."""
        reservation = self._reservations_by_vm.get(vm)
        return reservation.task.step.reserved if reservation else None
