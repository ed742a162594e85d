"""Decision to stop tasks of a lower priority for a task that waits for room.

A long-running task serves users until its job is cancelled. Without preemption it waits
for as long as tasks of a lower priority fill its service.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from itertools import islice

import attrs

from pollenkeel_jobs.core.advice import TicketCache
from pollenkeel_jobs.core.crash_retries import is_delayed
from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_jobs.core.placement import NO_ROOM, Placement
from pollenkeel_jobs.core.reservations import Reservation, Reservations
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.unplaceable import get_step
from pollenkeel_jobs.core.victims import Stoppable, Victims, choose_victims
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import WaitingTasks

#: Seconds for which a task has waited before others are stopped for it.
_MIN_WAIT_SECONDS = 0.5
#: Seconds after the first pass of a term before the first decision: VMs with room may
#: not have reported yet.
_SETTLE_SECONDS = 3.0
#: Seconds between two decisions.
_DECISION_INTERVAL = 0.5
#: Maximum number of tasks for which others are stopped in one decision.
_MAX_TASKS_PER_DECISION = 4
#: Maximum number of different demands for which VMs are searched in one decision.
_MAX_SEARCHES = 40
#: Seconds for which room is kept for a task, and after which others may be stopped for
#: it again. Longer than a stop and its report take.
_KEEP_SECONDS = 5.0
#: Seconds after which others may be stopped on another VM if the first one takes no
#: starts any more.
_RETRY_SECONDS = 2.0
#: Seconds for which a VM is remembered as the one where room was last kept for a task.
_MEMORY_SECONDS = 60.0


@attrs.frozen
class Preempted:
    """Task to stop on a VM, and the task that gets its room."""

    vm: Vm
    task: Task
    waiting: Task


class Preemption:
    """Chooses the tasks to stop, and keeps their room for the task that waits.

    Gangs and best-effort tasks stop no others, and no task of a gang or of a
    long-running step is stopped.

    Parameters
    ----------
    waiting : WaitingTasks
        Tasks that wait for a VM.
    tickets : TicketCache
        Tickets of the advice service.
    placement : Placement
        Policy that decides where a task may run.
    reservations : Reservations
        Room that is kept for waiting tasks.
    """

    def __init__(
        self,
        waiting: WaitingTasks,
        tickets: TicketCache,
        placement: Placement,
        reservations: Reservations,
    ) -> None:
        self._waiting = waiting
        self._tickets = tickets
        self._placement = placement
        self._reservations = reservations
        self._next_decision_at: float | None = None
        self._latest_by_task: dict[Task, Reservation] = {}
        self._hopeless_at_by_key: dict[Hashable, float] = {}
        self._stoppable_by_vm: dict[tuple[Vm, int], Stoppable] = {}

    def choose(self, vms: list[Vm], now: float) -> Iterator[Preempted]:
        """Yield the tasks to stop now.

        Parameters
        ----------
        vms : list of Vm
            VMs that may receive starts.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if self._next_decision_at is None:
            self._next_decision_at = now + _SETTLE_SECONDS
        if now < self._next_decision_at or not self._waiting.long_running:
            return
        self._next_decision_at = now + _DECISION_INTERVAL
        self._forget_old_reservations(now)
        self._stoppable_by_vm = {}
        found = self._find_for_each(vms, now)
        for task, vm, victims in islice(found, _MAX_TASKS_PER_DECISION):
            reservation = Reservation(
                task, vm, vm.incarnation, now + _RETRY_SECONDS, now + _KEEP_SECONDS
            )
            self._latest_by_task[task] = reservation
            self._reservations.add(reservation)
            yield from (Preempted(vm, victim, task) for victim in victims.tasks)

    def _find_for_each(
        self, vms: list[Vm], now: float
    ) -> Iterator[tuple[Task, Vm, Victims]]:
        """Yield each task for which others may be stopped, with the VM and these.

        If there are none for a task, there are none for others like it. Such tasks come
        last in the next decision, so that they hide no other.
        """
        tasks_by_key: dict[Hashable, list[Task]] = {}
        for task in sorted(self._waiting.long_running, key=_get_urgency):
            if self._may_preempt(task, vms, now):
                tasks_by_key.setdefault(self._make_search_key(task), []).append(task)
        hopeless_at = {
            key: self._hopeless_at_by_key.get(key, 0.0) for key in tasks_by_key
        }
        self._hopeless_at_by_key = hopeless_at
        for key in sorted(hopeless_at, key=hopeless_at.__getitem__)[:_MAX_SEARCHES]:
            for task in tasks_by_key[key]:
                found = self._find_cheapest(task, vms, now)
                if found is None:
                    hopeless_at[key] = now
                    break
                yield task, *found

    def _make_search_key(self, task: Task) -> Hashable:
        """Return what the search for tasks to stop depends on."""
        queue = task.job.spec.queue
        own_step = queue.advised or task.step.spread_limit
        step = get_step(task) if own_step else None
        return self._waiting.get_kind(task), queue.priority, step

    def _forget_old_reservations(self, now: float) -> None:
        self._latest_by_task = {
            task: reservation
            for task, reservation in self._latest_by_task.items()
            if now < reservation.expires_at + _MEMORY_SECONDS
        }

    def _may_preempt(self, task: Task, vms: list[Vm], now: float) -> bool:
        """Return whether other tasks may be stopped for a task.

        Gives up the room that is kept for it on a VM that takes no starts any more.
        """
        step = task.step
        if step.gang or step.fills or now - task.ready_at < _MIN_WAIT_SECONDS:
            return False
        if is_delayed(task, now):
            return False
        latest = self._latest_by_task.get(task)
        if latest is None or now >= latest.expires_at:
            return True
        if now < latest.retry_at or latest.vm in vms:
            return False
        self._reservations.remove(latest)
        return True

    def _find_cheapest(
        self, task: Task, vms: list[Vm], now: float
    ) -> tuple[Vm, Victims] | None:
        """Return the VM where the least work is lost, or None if there is none.

        There is also none if the task fits on a VM as it is: it waits for something
        else than room. VMs where it failed, or did not get the room that was kept for
        it, come last.
        """
        latest = self._latest_by_task.get(task)
        found: list[tuple[bool, float, str, Vm, Victims]] = []
        for vm in vms:
            if task.job.spec.queue.advised and not self._tickets.find(task, vm):
                continue
            obstacle = self._placement.find_obstacle(task, vm)
            if not obstacle:
                return None
            if obstacle != NO_ROOM or self._reservations.is_reserved(vm):
                continue
            victims = self._find_victims(task, vm, now)
            if victims is not None:
                failed = vm.incarnation in task.failed_on
                tried = latest is not None and latest.vm is vm
                found.append((failed or tried, victims.loss, vm.name, vm, victims))
        if not found:
            return None
        _, _, _, vm, victims = min(found, key=lambda item: item[:3])
        return vm, victims

    def _find_victims(self, task: Task, vm: Vm, now: float) -> Victims | None:
        """Return the tasks to stop on a VM so that another one has room, or None.

        The room of runs that are being stopped already counts as free, as does that of
        runs that were not placed here, so that there may be nothing left to stop.
        """
        step = task.step
        if step.spread_limit and vm.count_step_tasks(task) >= step.spread_limit:
            return None
        key = vm, task.job.spec.queue.priority
        if key not in self._stoppable_by_vm:
            self._stoppable_by_vm[key] = _list_stoppable(*key)
        stoppable = self._stoppable_by_vm[key]
        used = step.reserved + vm.reserved_demand - stoppable.ending
        return choose_victims(used - vm.capacity, stoppable, now)


def _list_stoppable(vm: Vm, priority: int) -> Stoppable:
    """Return the tasks of a VM that may be stopped for one of the given priority."""
    placed = vm.tasks_by_id.values()
    tasks = tuple(task for task in placed if _may_stop(task, priority))
    return Stoppable(
        tasks,
        sum((task.step.reserved for task in tasks), Demand()),
        sum((task.step.reserved for task in placed if _is_ending(task)), Demand()),
    )


def _is_ending(task: Task) -> bool:
    return task.stop_wanted or task.job.status.final


def _may_stop(task: Task, priority: int) -> bool:
    """Return whether a placed task may be stopped for one of the given priority."""
    return (
        task.job.spec.queue.priority > priority
        and task.state is TaskState.PLACED
        and task.seen_at > 0.0
        and not _is_ending(task)
        and not task.step.gang
        and not task.step.long_running
    )


def _get_urgency(task: Task) -> tuple[int, float, str]:
    return task.job.spec.queue.priority, task.ready_at, task.task_id
