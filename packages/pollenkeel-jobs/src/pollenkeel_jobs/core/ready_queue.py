"""Order in which waiting tasks are placed, and the search for their VMs."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.advice import TicketCache
from pollenkeel_jobs.core.candidates import Candidates, make_candidate_key
from pollenkeel_jobs.core.gangs import choose_for_gang
from pollenkeel_jobs.core.job_table import JobTable, list_step_tasks
from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.vms import Vm

#: Share of the VMs that may have a task on trial (``Vm.trial``) at the same time.
_MAX_TRIAL_SHARE = 0.25
#: Number of steps without a fitting VM after which a pass over the queue ends.
_MAX_UNPLACED_STEPS = 12


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

    Attributes
    ----------
    unplaced : list of Task
        One task of each step that found no VM in the latest pass.
    """

    def __init__(
        self, jobs: JobTable, tickets: TicketCache, placement: Placement
    ) -> None:
        self.unplaced: list[Task] = []
        self._jobs = jobs
        self._tickets = tickets
        self._placement = placement

    def place(self, vms: list[Vm], now: float) -> Iterator[Placed]:
        """Yield the placements of one pass; a step that does not fit is skipped.

        The caller must remove each task from ``JobTable.ready`` before it asks for the
        next placement.

        Parameters
        ----------
        vms : list of Vm
            VMs that may receive starts.
        now : float
            Current time in seconds since the Unix epoch.
        """
        self.unplaced = []
        self._placement.now = now
        unplaced_steps: set[tuple[Job, int, int]] = set()
        candidates: Candidates | None = None
        for task in sorted(self._jobs.ready, key=lambda task: _queue_order(task, now)):
            step = (task.job, task.key.occurrence, task.key.step)
            if step in unplaced_steps or task not in self._jobs.ready:
                continue
            if task.crashed_on and not _may_begin_trial(vms):
                continue
            if task.step.gang:
                candidates = None
                placements = self._place_gang(task, vms)
            else:
                candidates = self._find_candidates(task, vms, candidates)
                placements = _place_task(task, candidates)
            if placements:
                yield from placements
                continue
            unplaced_steps.add(step)
            self.unplaced.append(task)
            if len(unplaced_steps) >= _MAX_UNPLACED_STEPS:
                return

    def _find_candidates(
        self, task: Task, vms: list[Vm], candidates: Candidates | None
    ) -> Candidates:
        """Return the candidates for a task: those of the task before if it is alike."""
        key = make_candidate_key(task, self._placement)
        if candidates is not None and candidates.key == key:
            return candidates
        return Candidates(task, self._filter_by_ticket(task, vms), self._placement)

    def _filter_by_ticket(self, task: Task, vms: list[Vm]) -> list[Vm]:
        """Return the VMs for which the task has a ticket, or all if it needs none."""
        if not task.job.spec.queue.advised:
            return vms
        advised = [vm for vm in vms if self._tickets.find(task, vm)]
        if vms and not advised:
            self._tickets.request_tickets(task, vms)
        return advised

    def _place_gang(self, task: Task, vms: list[Vm]) -> list[Placed]:
        """Place all members of a task's gang, or none if they do not all fit."""
        members = list_step_tasks(task)
        advised = self._filter_by_ticket(task, vms)
        chosen = choose_for_gang(members, advised, self._placement)
        if chosen is None:
            return []
        run = max(member.run for member in members) + 1
        # Members share their checkpoints, but earlier versions recorded one for each.
        checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
        return [Placed(member, vm, run, checkpoint) for member, vm in chosen.items()]


def _may_begin_trial(vms: list[Vm]) -> bool:
    trials = sum(vm.trial is not None for vm in vms)
    return trials < max(1.0, _MAX_TRIAL_SHARE * len(vms))


def _place_task(task: Task, candidates: Candidates) -> list[Placed]:
    """Place a task on the best candidate, if there is one."""
    vm = candidates.reserve(task)
    return [] if vm is None else [Placed(task, vm, task.run + 1, task.checkpoint)]


def _queue_order(task: Task, now: float) -> tuple[int, bool, float, str]:
    """Return the sort key of a waiting task; the smallest is placed first.

    Within a priority, jobs that can still meet their objective come first, in the order
    of their objectives. The others are late whatever is done.
    """
    job = task.job
    late = now > job.objective_at
    return (job.spec.queue.priority, late, job.objective_at, task.task_id)
