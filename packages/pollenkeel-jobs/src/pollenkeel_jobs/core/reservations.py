"""Room that is kept for waiting tasks until other runs have ended or are stopped."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Any, ClassVar

import attrs

from pollenkeel_jobs.core.model import Task
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
    yields : bool
        Whether the room may be taken over by a reservation that does not yield.
    """

    yields: ClassVar[bool] = False

    task: Task
    vm: Vm
    incarnation: str
    retry_at: float
    expires_at: float

    def describe(self) -> dict[str, Any]:
        """Return where and until when the room is kept, for operators."""
        return {"vm": self.vm.name, "until": self.expires_at}

    def is_exempt(self, task: Task, now: float) -> bool:
        """Return whether a task may use all room that yields."""
        return False

    def admits(self, task: Task, now: float) -> bool:
        """Return whether another task that fits on the VM now may be placed there."""
        return self.vm.has_room_for(task.step.reserved + self.task.step.reserved)


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
        self._yielding_by_task: dict[Task, Reservation] = {}

    def __iter__(self) -> Iterator[Reservation]:
        return iter(list(self._reservations_by_vm.values()))

    def add(self, reservation: Reservation) -> None:
        """Keep room on a VM, which has no reservation yet except one that yields."""
        for other in (
            self._reservations_by_vm.get(reservation.vm),
            self._yielding_by_task.get(reservation.task),
        ):
            if other is not None:
                self.remove(other)
        self._reservations_by_vm[reservation.vm] = reservation
        if reservation.yields:
            self._yielding_by_task[reservation.task] = reservation

    def remove(self, reservation: Reservation) -> None:
        """Give up the room of a reservation; does nothing if it has ended already."""
        if self._reservations_by_vm.get(reservation.vm) is reservation:
            del self._reservations_by_vm[reservation.vm]
            if reservation.yields:
                del self._yielding_by_task[reservation.task]

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

    def find(self, vm: Vm) -> Reservation | None:
        """Return the reservation on a VM, or None if there is none."""
        return self._reservations_by_vm.get(vm)

    def is_reserved(self, vm: Vm) -> bool:
        """Return whether room is kept on a VM that may not be taken over."""
        reservation = self._reservations_by_vm.get(vm)
        return reservation is not None and not reservation.yields

    def yielding(self) -> list[Reservation]:
        """Return the reservations that may be taken over."""
        return list(self._yielding_by_task.values())

    def get_claim(self, task: Task, now: float) -> Hashable:
        """Return what decides, besides its step, which kept room a task may use."""
        if task in self._yielding_by_task:
            return task
        reservation = next(iter(self._yielding_by_task.values()), None)
        return reservation is not None and reservation.is_exempt(task, now)

    def describe(self, task: Task) -> dict[str, Any]:
        """Return the room that is kept for a waiting task; empty if there is none."""
        for reservation in self:
            if reservation.task is task and task in self._waiting:
                return reservation.describe()
        return {}
