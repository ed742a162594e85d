"""Keeps room that will soon be free for waiting tasks that fit on no VM now.

Small tasks take each piece of room as it becomes free, so that a large task may wait as
long as they keep coming. Room that is kept stands empty; it is weighed against the run
time of the task, and given up when forecasts turn out to be wrong.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import nsmallest

import attrs
import logbook

from pollenkeel_jobs.core.kept_room import KeptRoom, KeptRoomRules
from pollenkeel_jobs.core.metrics import KEPT_ROOMS
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.placement import NO_ROOM, Placement
from pollenkeel_jobs.core.reservations import Reservations
from pollenkeel_jobs.core.room_forecast import RoomEstimate, estimate_room
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.service_load import (
    ServiceLoad,
    compute_share,
    is_large_share,
)
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.unplaceable import StepKey, get_step
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind, WaitingTasks
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Seconds after the first pass of a term before room is kept: a new leader has no run
#: times yet, and VMs with room may not have reported.
_SETTLE_SECONDS = 3.0
#: Seconds within which room has to become free to be kept.
_HORIZON_SECONDS = 4.0
#: Seconds after which kept room is given up in any case.
_KEEP_SECONDS = 6.0
#: Share of the VMs of a service that may have room kept; one VM may always have it.
_MAX_VM_SHARE = 0.125
#: Maximum time for which the needed room stands empty, as a share of the expected run
#: time of the task.
_MAX_EMPTY_SHARE = 0.25
#: Seconds after which a task gets room kept although smaller ones that wait could fill
#: it. Without this limit a task waits for 20 s in ``benchmarks/look_ahead.py``.
_MAX_WAIT_SECONDS = 8.0
#: Number of times that room may not be free at the expected time, and the shortest time
#: in seconds to the next expected time. Reports are up to 0.4 s apart.
_MAX_OVERRUNS = 3
_MIN_EXTENSION_SECONDS = 0.3
#: Seconds for which a task gets no room kept after it did not get it in time.
_PAUSE_SECONDS = 5.0
#: Seconds before a search that found no VM is repeated for the same step.
_SEARCH_INTERVAL = 0.5
#: Maximum numbers of tasks that are considered in a pass, of searches in a pass and of
#: VMs in a search. They bound the time of a pass.
_MAX_TASKS = 200
_MAX_SEARCHES = 8
_MAX_VMS_PER_SEARCH = 40


class LookAhead:
    """Keeps room for the most urgent waiting tasks, on a few VMs.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    waiting : WaitingTasks
        Tasks that wait for a VM.
    placement : Placement
        Policy that decides where a task may run.
    reservations : Reservations
        Room that is kept for waiting tasks.
    forecast : RunForecast
        Expected ends of runs.
    """

    def __init__(
        self,
        waiting: WaitingTasks,
        placement: Placement,
        reservations: Reservations,
        forecast: RunForecast,
    ) -> None:
        self._waiting = waiting
        self._placement = placement
        self._reservations = reservations
        self._forecast = forecast
        self._rules = KeptRoomRules(forecast)
        self._settled_at: float | None = None
        self._rooms_by_task: dict[Task, KeptRoom] = {}
        self._retry_at_by_task: dict[Task, float] = {}
        self._retry_at_by_step: dict[StepKey, float] = {}
        self._now = 0.0
        self._vms: list[Vm] = []
        self._searches_left = 0
        self._tasks_left = 0
        self._loads_by_service: dict[str, ServiceLoad] = {}
        # Kinds of demand for which no more room is kept in this pass.
        self._closed_kinds: set[DemandKind] = set()

    def begin_pass(self, vms: list[Vm], now: float) -> None:
        """Give up or extend kept room, before any task is placed.

        Parameters
        ----------
        vms : list of Vm
            VMs that may receive starts.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if self._settled_at is None:
            self._settled_at = now + _SETTLE_SECONDS
        self._now = now
        self._vms = vms
        self._searches_left = _MAX_SEARCHES if now >= self._settled_at else 0
        self._tasks_left = _MAX_TASKS
        self._closed_kinds.clear()
        self._loads_by_service.clear()
        self._rules.begin_pass(vms)
        for room in list(self._rooms_by_task.values()):
            outcome = self._find_outcome(room)
            if outcome:
                self._release(room, outcome)
            elif now > room.needed_at:
                self._extend(room)
        self._retry_at_by_task = {
            task: at for task, at in self._retry_at_by_task.items() if now < at
        }
        self._retry_at_by_step = {
            step: at for step, at in self._retry_at_by_step.items() if now < at
        }

    def _find_outcome(self, room: KeptRoom) -> str:
        """Return why room is kept no more, or an empty string if it still is."""
        task, vm = room.task, room.vm
        if task not in self._waiting:
            if not task.runner:
                return "not needed"
            return "used" if task.runner == room.incarnation else "placed elsewhere"
        if self._reservations.find(vm) is not room:
            return "preempted"
        if vm not in self._vms or vm.incarnation != room.incarnation:
            return "VM not usable"
        return "expired" if self._now >= room.expires_at else ""

    def _release(self, room: KeptRoom, outcome: str) -> None:
        self._reservations.remove(room)
        del self._rooms_by_task[room.task]
        if outcome in ("expired", "overrun"):
            self._retry_at_by_task[room.task] = self._now + _PAUSE_SECONDS
        KEPT_ROOMS.labels(outcome).inc()
        log_change(
            logger,
            "kept room released",
            task=room.task.task_id,
            vm=room.vm.name,
            outcome=outcome,
            late=round(self._now - room.needed_at, 2),
            overruns=room.overruns,
        )

    def _extend(self, room: KeptRoom) -> None:
        """Expect overdue room at a later time, or give it up."""
        demand = room.task.step.reserved
        estimate = estimate_room(
            room.vm, demand, self._forecast, self._now, room.expires_at
        )
        # If the room is there, the task gets one more turn.
        limit = _MAX_OVERRUNS + room.vm.has_room_for(demand)
        if estimate is None or room.overruns + 1 >= limit:
            self._release(room, "overrun")
            return
        needed_at = max(estimate.at, self._now + _MIN_EXTENSION_SECONDS)
        self._keep(
            attrs.evolve(
                room,
                needed_at=needed_at,
                runs=estimate.runs,
                overruns=room.overruns + 1,
            )
        )

    def _keep(self, room: KeptRoom) -> None:
        self._rooms_by_task[room.task] = room
        self._reservations.add(room)

    def release(self, task: Task) -> None:
        """Give up the room of a task that has been placed."""
        room = self._rooms_by_task.get(task)
        if room is not None:
            self._reservations.remove(room)

    def may_keep(self, kind: DemandKind) -> bool:
        """Return whether room might be kept in this pass for a kind of demand."""
        return (
            self._searches_left > 0
            and self._tasks_left > 0
            and kind not in self._closed_kinds
        )

    def keep_room(
        self, task: Task, kind: DemandKind, find_allowed: Callable[[Task], list[Vm]]
    ) -> bool:
        """Keep room for a waiting task that fits on no VM now.

        Parameters
        ----------
        task : Task
            The task.
        kind : DemandKind
            Kind of its demand.
        find_allowed : callable
            Returns the VMs for which a task has a ticket, or all if it needs none.

        Returns
        -------
        bool
            Whether room is kept that was not before.
        """
        self._tasks_left -= 1
        if kind.best_effort or kind.gang or not self._may_serve(kind):
            self._closed_kinds.add(kind)
            return False
        if not self._may_wait_for_room(task, kind):
            return False
        self._searches_left -= 1
        if self._keep_best(task, find_allowed(task)):
            return True
        self._closed_kinds.add(kind)
        self._retry_at_by_step[get_step(task)] = self._now + _SEARCH_INTERVAL
        return False

    def _may_serve(self, kind: DemandKind) -> bool:
        """Return whether a demand is large, and a further VM may have room kept."""
        load = self._find_load(kind.service)
        limit = max(1, int(_MAX_VM_SHARE * load.vm_count))
        kept = (reservation.vm for reservation in self._reservations.yielding())
        return (
            load.is_large(kind.reserved)
            and sum(vm.service == kind.service for vm in kept) < limit
        )

    def _may_wait_for_room(self, task: Task, kind: DemandKind) -> bool:
        """Return whether room may be kept for a task with a large demand.

        If smaller tasks that wait could fill the room, more of their jobs would miss
        their objectives than large ones meet theirs.
        """
        if task in self._rooms_by_task or self._now < self._find_retry_at(task):
            return False
        if task.crashed_on:
            return False
        waited_long = self._now - task.ready_at >= _MAX_WAIT_SECONDS
        load = self._find_load(kind.service)
        return waited_long or not load.could_be_filled(kind.reserved)

    def _find_load(self, service: str) -> ServiceLoad:
        """Return the load of a service as of its first use in this pass."""
        load = self._loads_by_service.get(service)
        if load is None:
            vms = (vm for vm in self._vms if vm.service == service)
            load = ServiceLoad(vms, self._waiting.counts_by_kind, service)
            self._loads_by_service[service] = load
        return load

    def _find_retry_at(self, task: Task) -> float:
        return max(
            self._retry_at_by_task.get(task, 0.0),
            self._retry_at_by_step.get(get_step(task), 0.0),
        )

    def _keep_best(self, task: Task, allowed: list[Vm]) -> bool:
        """Keep room on the VM that has it first; return whether there is one."""
        found: list[tuple[float, float, str, Vm, RoomEstimate]] = []
        for vm in self._list_candidates(task, allowed):
            estimate = self._estimate(task, vm)
            if estimate is not None:
                key = estimate.at, estimate.empty_seconds, vm.name
                found.append((*key, vm, estimate))
        if not found:
            return False
        *_, vm, estimate = min(found, key=lambda item: item[:3])
        self._keep(
            KeptRoom(
                task,
                vm,
                vm.incarnation,
                retry_at=self._now,
                expires_at=self._now + _KEEP_SECONDS,
                needed_at=estimate.at,
                runs=estimate.runs,
                overruns=0,
                rules=self._rules,
            )
        )
        log_change(
            logger,
            "room kept",
            task=task.task_id,
            vm=vm.name,
            waited=round(self._now - task.ready_at, 2),
            expected_in=round(estimate.at - self._now, 2),
            empty_seconds=round(estimate.empty_seconds, 2),
            runs_to_end=len(estimate.runs),
            until=round(self._now + _KEEP_SECONDS, 2),
        )
        return True

    def _list_candidates(self, task: Task, allowed: list[Vm]) -> list[Vm]:
        """Return the VMs that lack only room for a task, those with most of it."""
        demand = task.step.reserved
        vms = [
            vm
            for vm in allowed
            if vm.service == task.job.spec.queue.service
            and self._reservations.find(vm) is None
            and is_large_share(demand, vm.capacity)
            and self._placement.find_obstacle(task, vm) == NO_ROOM
            and not _is_spread_limit_reached(task, vm)
            and vm.incarnation not in task.failed_on
            and self._now >= vm.avoided_until
        ]
        return nsmallest(
            _MAX_VMS_PER_SEARCH, vms, key=lambda vm: _compute_missing(demand, vm)
        )

    def _estimate(self, task: Task, vm: Vm) -> RoomEstimate | None:
        """Return when a VM has room, or None if the room would stand empty too long."""
        until = self._now + _HORIZON_SECONDS
        estimate = estimate_room(
            vm, task.step.reserved, self._forecast, self._now, until
        )
        if estimate is None or task.step.long_running:
            return estimate
        seconds = self._forecast.expect_run_seconds(task)
        worthwhile = estimate.empty_seconds <= _MAX_EMPTY_SHARE * seconds
        return estimate if worthwhile else None


def _is_spread_limit_reached(task: Task, vm: Vm) -> bool:
    limit = task.step.spread_limit
    return bool(limit) and vm.count_step_tasks(task) >= limit


def _compute_missing(demand: Demand, vm: Vm) -> float:
    """Return the largest share of its capacity that a VM lacks for a demand."""
    used = vm.reserved_demand + vm.unplaced_demand
    return compute_share(demand + used, vm.capacity)
