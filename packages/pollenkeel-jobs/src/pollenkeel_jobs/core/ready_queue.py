"""Order in which waiting tasks are placed, and the search for their VMs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

import attrs

from pollenkeel_jobs.core.advice import TicketCache
from pollenkeel_jobs.core.candidates import Candidates, make_candidate_key
from pollenkeel_jobs.core.closed_workers import ClosedWorkers
from pollenkeel_jobs.core.crash_retries import is_delayed
from pollenkeel_jobs.core.first_runs import FirstRuns
from pollenkeel_jobs.core.gangs import choose_for_gang
from pollenkeel_jobs.core.job_table import JobTable, list_step_tasks
from pollenkeel_jobs.core.look_ahead import LookAhead
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.placement import LABEL, SERVICE, Placement
from pollenkeel_jobs.core.reservations import Reservations
from pollenkeel_jobs.core.trials import (
    get_trial_order,
    is_tried_apart,
    may_exceed_trials,
    may_join_any_group,
)
from pollenkeel_jobs.core.unplaceable import StepKey, Unplaceable, get_step
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind, WaitingTasks, get_priority

#: Share of the VMs that may have tasks on trial (``Vm.trial``) at the same time while
#: other tasks wait.
_MAX_TRIAL_SHARE = 0.25
#: Number of steps for which tickets are requested although no VM has room for them.
_MAX_STEPS_AHEAD = 50


@attrs.frozen
class Placed:
    """VM on which a task's resources are reserved for its next run.

    Attributes
    ----------
    checkpoint : str
        Checkpoint from which the run resumes; empty for none.
    """

    task: Task
    vm: Vm
    run: int
    checkpoint: str


class ReadyQueue:
    """Places the tasks that are ready to run, the most urgent first.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    jobs : JobTable
        Jobs with their ready tasks.
    tickets : TicketCache
        Tickets of the advice service.
    placement : Placement
        Policy that chooses the VMs.
    reservations : Reservations
        Room that is kept for waiting tasks.
    first_runs : FirstRuns
        Chooses the tasks that are placed ahead of the order by urgency.
    look_ahead : LookAhead, optional
        Keeps room that will soon be free for tasks that fit on no VM.
    """

    def __init__(
        self,
        jobs: JobTable,
        tickets: TicketCache,
        placement: Placement,
        reservations: Reservations,
        first_runs: FirstRuns,
        look_ahead: LookAhead | None = None,
    ) -> None:
        # By kind of demand and number of crashes.
        self._unplaced_by_kind: dict[tuple[DemandKind, int], Task] = {}
        # Unplaced tasks without crashes that ``_do_others_wait`` has not looked at.
        self._unplaced_to_check: list[Task] = []
        self._others_wait = False
        # Candidates of the latest task; valid during a pass.
        self._candidates: Candidates | None = None
        self._jobs = jobs
        self._tickets = tickets
        self._placement = placement
        self._reservations = reservations
        self._first_runs = first_runs
        self._look_ahead = look_ahead

    @property
    def unplaced(self) -> Iterable[Task]:
        """One task of each kind of demand that found no VM in the latest pass.

        Of tasks that may have crashed workers, there is one for each number of crashes.
        """
        return self._unplaced_by_kind.values()

    def place(
        self, vms: list[Vm], now: float, closed_vms: Sequence[Vm] = ()
    ) -> Iterator[Placed]:
        """Yield the placements of one pass; a step that does not fit is skipped.

        Each kind of demand is searched for until a task of it fits on no VM. The caller
        must remove each task from ``JobTable.ready`` before it asks for the next
        placement.

        Parameters
        ----------
        vms : list of Vm
            VMs that may receive starts.
        now : float
            Current time in seconds since the Unix epoch.
        closed_vms : sequence of Vm, optional
            VMs in quarantine, for tasks that no other VM could run.
        """
        self._placement.now = now
        self._unplaced_by_kind = {}
        self._unplaced_to_check = []
        self._others_wait = False
        if self._look_ahead:
            self._look_ahead.begin_pass(vms, now)
        self._reservations.remove_ended(now)
        if not self._jobs.ready:
            return
        yield from self._place_reserved(vms)
        closed = ClosedWorkers(vms, list(closed_vms), now)
        unplaceable = Unplaceable(self._placement, vms)
        yield from self._place_first_runs(unplaceable, vms, closed, now)
        placeable = self._iterate_placeable(unplaceable, vms, now)
        yield from self._place_by_urgency(placeable, unplaceable, vms)
        if closed.vms:
            yield from self._place_on_closed(closed, vms, now)

    def _place_on_closed(
        self, closed: ClosedWorkers, vms: list[Vm], now: float
    ) -> Iterator[Placed]:
        """Place the tasks that need VMs in quarantine, maybe beside the other VMs."""
        all_vms = [*vms, *closed.vms]
        unplaceable = Unplaceable(self._placement, all_vms)
        placeable = (
            (kind, task)
            for kind, task in self._iterate_placeable(unplaceable, all_vms, now)
            if closed.are_needed_for(kind, task)
        )
        yield from self._place_by_urgency(placeable, unplaceable, all_vms)

    def _place_by_urgency(
        self,
        placeable: Iterable[tuple[DemandKind, Task]],
        unplaceable: Unplaceable,
        vms: list[Vm],
    ) -> Iterator[Placed]:
        """Place waiting tasks in the given order, each kind until it fits nowhere."""
        self._candidates = None
        for kind, task in placeable:
            if is_delayed(task, self._placement.now):
                self._record_unplaced(kind, task)
                continue
            if task.crashed_on and not self._may_try(task, vms):
                self._record_unplaced(kind, task)
                if is_tried_apart(task):
                    unplaceable.add_untried(task)
                continue
            if not is_tried_apart(task) and unplaceable.rules_out(kind):
                self._record_unplaced(kind, task)
                self._filter_by_ticket(task, vms)
                self._keep_room(task, kind, vms)
                continue
            if task.step.gang:
                self._candidates = None
                placements = self._place_gang(task, vms, self._placement)
            else:
                placements = _place_task(task, self._find_candidates(task, vms))
            if placements:
                yield from placements
                if self._look_ahead:
                    self._look_ahead.release(task)
            else:
                unplaceable.add(kind, task)
                self._record_unplaced(kind, task)
                self._request_more_tickets(task, vms, self._placement)
                self._keep_room(task, kind, vms)

    def _keep_room(self, task: Task, kind: DemandKind, vms: list[Vm]) -> None:
        """Keep room that will soon be free for a task that fits on no VM now."""
        if self._look_ahead is None or not self._look_ahead.may_keep(kind):
            return
        if self._look_ahead.keep_room(
            task, kind, lambda waiting: self._filter_by_ticket(waiting, vms)
        ):
            # They include the VM of the room.
            self._candidates = None

    def _may_try(self, task: Task, vms: list[Vm]) -> bool:
        """Return whether a suspected task may begin a trial or join one."""
        if may_exceed_trials(task, self._placement.now):
            return True
        on_trial = [vm for vm in vms if vm.trial]
        if len(on_trial) < self._limit_trials(vms):
            return True
        return any(vm.trial.admits(task, self._placement.now) for vm in on_trial)

    def _limit_trials(self, vms: list[Vm]) -> float:
        """Return how many VMs may be on trial: few while other tasks wait for a VM."""
        if self._do_others_wait(vms):
            return max(1.0, _MAX_TRIAL_SHARE * len(vms))
        return len(vms)

    def _do_others_wait(self, vms: list[Vm]) -> bool:
        """Return whether a task without crashes waits for one of the VMs.

        Each task is looked at once a pass, as its service and its label don't change.
        """
        while self._unplaced_to_check and not self._others_wait:
            task = self._unplaced_to_check.pop()
            self._others_wait = any(
                self._placement.find_obstacle(task, vm) not in (SERVICE, LABEL)
                for vm in vms
            )
        return self._others_wait

    def _record_unplaced(self, kind: DemandKind, task: Task) -> None:
        key = kind, len(task.crashed_on)
        if key not in self._unplaced_by_kind:
            self._unplaced_by_kind[key] = task
            if not task.crashed_on:
                self._unplaced_to_check.append(task)

    def _place_reserved(self, vms: list[Vm]) -> Iterator[Placed]:
        """Place the tasks for which there is room now where it was kept for them."""
        for reservation in self._reservations:
            task = reservation.task
            # Room that yields is taken in the order by urgency.
            if reservation.yields or reservation.vm not in vms:
                continue
            if task.crashed_on and not self._may_try(task, vms):
                continue
            self._reservations.remove(reservation)
            allowed = self._filter_by_ticket(task, [reservation.vm])
            placements = _place_task(task, Candidates(task, allowed, self._placement))
            if not placements:
                self._reservations.add(reservation)
            yield from placements

    def _place_first_runs(
        self, unplaceable: Unplaceable, vms: list[Vm], closed: ClosedWorkers, now: float
    ) -> Iterator[Placed]:
        """Place one task, or one gang, of each job that has had no run for long."""
        placement = self._first_runs.placement
        placement.now = now
        all_vms = [*vms, *closed.vms]
        for task in self._first_runs.choose(self._jobs.ready, now):
            kind = self._jobs.ready.get_kind(task)
            if closed.are_needed_for(kind, task):
                usable = all_vms
            elif unplaceable.rules_out(kind):
                continue
            else:
                usable = vms
            if task.crashed_on and not self._may_try(task, usable):
                continue
            if task.step.gang:
                placements = self._place_gang(task, usable, placement)
            else:
                allowed = self._filter_by_ticket(task, usable)
                placements = _place_task(task, Candidates(task, allowed, placement))
            if not placements:
                self._request_more_tickets(task, usable, placement)
            yield from placements

    def _iterate_placeable(
        self, unplaceable: Unplaceable, vms: list[Vm], now: float
    ) -> Iterator[tuple[DemandKind, Task]]:
        """Yield the waiting tasks that may still fit, the most urgent first.

        Tickets are requested for the first others, before there is room for them.
        """
        waiting = self._jobs.ready
        steps_ahead: set[StepKey] = set()
        for task, kind in _list_suspects_last(waiting, now):
            if kind in unplaceable.kinds and not is_tried_apart(task):
                if kind.advised and len(steps_ahead) < _MAX_STEPS_AHEAD:
                    step = get_step(task)
                    if step not in steps_ahead:
                        steps_ahead.add(step)
                        self._filter_by_ticket(task, vms)
                self._keep_room(task, kind, vms)
            # Placing a gang has removed its other members.
            elif task in waiting and not unplaceable.contains(kind, task):
                yield kind, task

    def _find_candidates(self, task: Task, vms: list[Vm]) -> Candidates:
        """Return the candidates for a task: those of the task before if it is alike."""
        key = make_candidate_key(task, self._placement)
        if self._candidates is None or self._candidates.key != key:
            allowed = self._filter_by_ticket(task, vms)
            self._candidates = Candidates(task, allowed, self._placement)
        return self._candidates

    def _filter_by_ticket(self, task: Task, vms: list[Vm]) -> list[Vm]:
        """Return the VMs for which the task has a ticket, or all if it needs none."""
        if not task.job.spec.queue.advised:
            return vms
        advised = (
            [vm for vm in vms if self._tickets.find(task, vm)]
            if self._tickets.has_tickets(task)
            else []
        )
        if vms and not advised:
            self._tickets.request_tickets(task, vms)
        return advised

    def _request_more_tickets(
        self, task: Task, vms: list[Vm], placement: Placement
    ) -> None:
        """Request tickets for other VMs if those that a task has are of no use."""
        if not task.job.spec.queue.advised or not self._tickets.may_request(task):
            return
        missing = [
            vm
            for vm in vms
            if not self._tickets.find(task, vm)
            and not placement.find_obstacle(task, vm)
        ]
        if missing:
            self._tickets.request_tickets(task, missing)

    def _place_gang(
        self, task: Task, vms: list[Vm], placement: Placement
    ) -> list[Placed]:
        """Place all members of a task's gang, or none if they do not all fit."""
        members = list_step_tasks(task)
        advised = self._filter_by_ticket(task, vms)
        chosen = choose_for_gang(members, advised, placement)
        if chosen is None:
            return []
        run = max(member.run for member in members) + 1
        # Members share their checkpoints, but earlier versions recorded one for each.
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        return [Placed(member, vm, run, checkpoint) for member, vm in chosen.items()]


def _list_suspects_last(
    waiting: WaitingTasks, now: float
) -> Iterator[tuple[Task, DemandKind]]:
    """Yield the waiting tasks by urgency, but suspects after the others.

    A trial keeps a VM from the others, which would wait for all suspects if there is no
    other VM. Only a lower priority comes later than suspects. Those that have waited
    so long that one group may have them all take their turn by urgency. Of the others,
    those among the fewest suspects come first (``get_trial_order``).
    """
    suspects: list[tuple[Task, DemandKind]] = []
    for _, _, task, kind in waiting.list_by_urgency(now):
        if suspects and get_priority(task) != get_priority(suspects[0][0]):
            yield from _sort_for_trials(suspects)
            suspects = []
        if is_tried_apart(task) and not may_join_any_group(task, now):
            suspects.append((task, kind))
        else:
            yield task, kind
    yield from _sort_for_trials(suspects)


def _sort_for_trials(
    suspects: list[tuple[Task, DemandKind]],
) -> list[tuple[Task, DemandKind]]:
    return sorted(suspects, key=lambda suspect: get_trial_order(suspect[0]))


def _place_task(task: Task, candidates: Candidates) -> list[Placed]:
    """Place a task on the best candidate, if there is one."""
    vm = candidates.reserve(task)
    return [] if vm is None else [Placed(task, vm, task.last_run + 1, task.checkpoint)]
