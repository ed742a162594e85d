"""Planning of the next task starts, without I/O and threads."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Sequence

import attrs

from pollenkeel_entry.batch.forecast import DeadlineForecast, LateJob
from pollenkeel_entry.batch.quota import QuotaView, exceeds_alone, is_over_quota
from pollenkeel_entry.batch.records import QUEUED, Job, Task
from pollenkeel_entry.batch.state import ShardState, TeamUsage
from pollenkeel_entry.batch.team_queue import QueueEntry, TaskGroup, TeamQueue
from pollenkeel_kernel.config.model import TeamConfig
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.policy.order import OrderInput, TaskOrder
from pollenkeel_kernel.policy.placement import Placement, VmHint
from pollenkeel_kernel.policy.run_time import DeclaredRunTime

#: Maximum number of tasks that one planning pass skips because they exceed a quota now
#: or no VM has capacity for them now. The bound keeps the pass short, and small tasks
#: from taking the capacity that large ones need.
MAX_UNPLACED_TASKS = 64
#: Groups that one pass skips because their tasks can never start.
MAX_SKIPPED_GROUPS = 100
#: Waiting tasks whose reason one pass records, also to keep it short.
MAX_RECORDED_REASONS = 64
#: Tasks of late jobs that one pass moves back in their queue, also to keep it short.
MAX_DEMOTIONS = 2_000
#: Queued tasks of a team that one forecast examines.
MAX_FORECAST_TASKS = 5_000
#: Factor by which a learned run time must change for a team's queue to be reordered.
_REORDER_FACTOR = 1.25


@attrs.frozen
class PlannedStart:
    """A task and the VM it is to start on."""

    key: str
    vm: VmHint


@attrs.define
class Plan:
    """Result of one planning pass.

    ``waiting`` gives the reason for the first tasks that keep waiting, ``late`` the
    jobs newly found to miss their deadline.
    """

    starts: list[PlannedStart] = attrs.field(factory=list)
    waiting: list[tuple[str, Code]] = attrs.field(factory=list)
    late: list[LateJob] = attrs.field(factory=list)


class Planner:
    """Queues the tasks of one shard by team and chooses the next starts.

    Parameters
    ----------
    order : TaskOrder
        Order of tasks within a team; urgent tasks always go first.
    placement : Placement
        Policy that chooses the VM of a task.
    forecast : DeadlineForecast, optional
        Finds late jobs and estimates run times; uses declared run times by default.
    """

    def __init__(
        self,
        order: TaskOrder,
        placement: Placement,
        forecast: DeadlineForecast | None = None,
    ) -> None:
        self._order = order
        self._placement = placement
        self._forecast = forecast or DeadlineForecast(DeclaredRunTime())
        self._factors_by_team_and_kind: dict[tuple[str, str], float] = {}
        self._queues_by_team: dict[str, TeamQueue] = {}
        self._queued_keys: set[str] = set()

    def add(self, task: Task, state: ShardState) -> None:
        """Put a queued task into its team's queue."""
        if task.key in self._queued_keys:
            return
        job = state.jobs_by_id[task.job_id]
        self._push(task, job, self._make_entry(task, job))
        self._queued_keys.add(task.key)

    def _push(self, task: Task, job: Job, entry: QueueEntry) -> None:
        queue = self._queues_by_team.setdefault(job.team, TeamQueue())
        queue.push(entry, _find_group(task, job))

    def _make_entry(self, task: Task, job: Job) -> QueueEntry:
        """Return the queue entry of a task from its estimated run time and deadline."""
        kind = (job.team, job.kind)
        factor = self._factors_by_team_and_kind.get(kind)
        if factor is None:
            factor = self._forecast.run_times.factor(*kind)
            self._factors_by_team_and_kind[kind] = factor
        run_time = task.spec.run_time * factor
        late = self._forecast.is_late(job.job_id)
        value = OrderInput(job.submitted_at, job.deadline, run_time, late)
        return not job.urgent, self._order.key(value), task.key

    def _reorder_queues(self, state: ShardState) -> None:
        """Rebuild the queues of teams whose learned run times have changed."""
        teams = set()
        for kind, old in self._factors_by_team_and_kind.items():
            new = self._forecast.run_times.factor(*kind)
            if not 1 / _REORDER_FACTOR < new / old < _REORDER_FACTOR:
                self._factors_by_team_and_kind[kind] = new
                teams.add(kind[0])
        for team in teams:
            entries = list(self._queues_by_team.pop(team, TeamQueue()))
            self._queued_keys.difference_update(entry[2] for entry in entries)
            for entry in entries:
                if _is_queued(state, entry[2]):
                    self.add(state.tasks_by_key[entry[2]], state)

    def find_late(
        self, state: ShardState, vms: Sequence[VmHint], now: float
    ) -> Iterator[LateJob]:
        """Yield jobs that will miss their deadline given the current queues.

        A team is assumed to use the cores that it holds and an equal share of the free
        cores.
        """
        self._forecast.prune_reports(state)
        yield from self._forecast.find_overrunning(state)
        waiting = [team for team, q in self._queues_by_team.items() if q.first()]
        free = sum(max(0.0, vm.free.cores) for vm in vms) / max(1, len(waiting))
        for team in waiting:
            usage = state.usage_by_team.get(team, TeamUsage())
            entries = heapq.nsmallest(MAX_FORECAST_TASKS, self._queues_by_team[team])
            keys = (entry[2] for entry in entries if _is_queued(state, entry[2]))
            cores = usage.resources.cores + free
            yield from self._forecast.find_late(
                state, keys, cores, now, self._order.late_jobs_yield
            )

    def plan(
        self,
        state: ShardState,
        vms: Sequence[VmHint],
        teams: dict[str, TeamConfig],
        limit: int,
        allow: Callable[[VmHint], bool] = lambda vm: True,
        quota: QuotaView | None = None,
        now: float = 0.0,
    ) -> Plan:
        """Choose at most ``limit`` starts and deduct them from the VMs' free capacity.

        A job that is certain to miss its deadline goes behind jobs that can still meet
        theirs.
        """
        plan = Plan()
        self._reorder_queues(state)
        quota = quota or QuotaView()
        usage = quota.add_to(state.usage_by_team)
        unplaced: list[tuple[Task, QueueEntry]] = []
        blocked: set[str] = set()
        unplaced_sizes: list[Resources] = []
        allowed = [vm for vm in vms if allow(vm)]
        for vm in vms:
            self._placement.observe_vm(vm)
        demotions = skipped_groups = 0
        while (
            len(plan.starts) < limit
            and len(unplaced) < MAX_UNPLACED_TASKS
            and skipped_groups < MAX_SKIPPED_GROUPS
            and demotions < MAX_DEMOTIONS
        ):
            team = self._next_team(state, usage, teams, blocked)
            if team is None:
                break
            entry = self._queues_by_team[team].pop()
            task = state.tasks_by_key[entry[2]]
            if self._report_and_requeue_late(task, state, entry, now, plan):
                demotions += 1
                continue
            size = task.spec.resources
            used = usage.setdefault(team, TeamUsage())
            code = _check_quota(size, used, teams.get(team), quota.part)
            never_code = Code.NEVER_FITS if _never_fits(size, vms) else None
            if code is Code.OVER_QUOTA:
                if exceeds_alone(teams[team].quota, size):
                    never_code = code
                else:
                    blocked.add(team)
            if never_code is not None:
                skipped_groups += 1
                self._skip_group(task, entry, state, plan, never_code)
                continue
            chosen = None
            kind = state.jobs_by_id[task.job_id].kind
            corrected_size = self._placement.correct(size, kind)
            # A task at least as large as one that found no VM in this pass waits too.
            if code is None and not any(
                unplaced_size.fits_in(corrected_size)
                for unplaced_size in unplaced_sizes
            ):
                chosen = self._choose(size, corrected_size, allowed, kind)
            if chosen is None:
                unplaced.append((task, entry))
                if code is None:
                    unplaced_sizes.append(corrected_size)
                    code = Code.WAITING_FOR_CAPACITY
                plan.waiting.append((task.key, code))
                continue
            chosen.free = chosen.free - corrected_size
            chosen.running_kinds[kind] = chosen.running_kinds.get(kind, 0) + 1
            used.resources, used.tasks = used.resources + size, used.tasks + 1
            self._queued_keys.discard(task.key)
            plan.starts.append(PlannedStart(task.key, chosen))
        for task, entry in unplaced:
            self._push(task, state.jobs_by_id[task.job_id], entry)
        for queue in self._queues_by_team.values():
            queue.restore()
        return plan

    def _skip_group(
        self, task: Task, entry: QueueEntry, state: ShardState, plan: Plan, code: Code
    ) -> None:
        """Requeue a task that can never start and skip its group in this pass."""
        job = state.jobs_by_id[task.job_id]
        self._push(task, job, entry)
        group_entries = self._queues_by_team[job.team].skip_group(
            _find_group(task, job)
        )
        remaining = max(1, MAX_RECORDED_REASONS - len(plan.waiting))
        waiting = (e[2] for e in group_entries[:remaining] if _is_queued(state, e[2]))
        plan.waiting.extend((key, code) for key in waiting)

    def _choose(
        self, size: Resources, corrected_size: Resources, vms: list[VmHint], kind: str
    ) -> VmHint | None:
        if vms and not any(corrected_size.fits_in(vm.capacity) for vm in vms):
            # The learned size may be wrong, and a VM of the declared size may exist.
            corrected_size = size
        return self._placement.choose(corrected_size, vms, kind)

    def _report_and_requeue_late(
        self,
        task: Task,
        state: ShardState,
        entry: QueueEntry,
        now: float,
        plan: Plan,
    ) -> bool:
        """Report the task's job if it is newly late, and requeue the task if needed.

        A late job is added to ``plan.late``. The task is requeued if its sort key is
        now later. Returns whether it was requeued.
        """
        job = state.jobs_by_id[task.job_id]
        late = self._forecast.check_queued(task, job, now)
        if late is not None:
            plan.late.append(late)
        new_entry = self._make_entry(task, job)
        if new_entry <= entry:
            return False
        self._push(task, job, new_entry)
        return True

    def _next_team(
        self,
        state: ShardState,
        usage: dict[str, TeamUsage],
        teams: dict[str, TeamConfig],
        blocked: set[str],
    ) -> str | None:
        """Return the team to serve next, or None if no team can start a task.

        Teams with urgent tasks go first, then those with the fewest cores per share.
        Removes entries at the head of a queue whose tasks are no longer queued.
        """
        best: tuple[bool, float, str] | None = None
        for team, queue in self._queues_by_team.items():
            first = queue.first()
            while first is not None and not _is_queued(state, first[2]):
                self._queued_keys.discard(queue.pop()[2])
                first = queue.first()
            if first is None or team in blocked:
                continue
            share = max(teams[team].share if team in teams else 1.0, 1e-6)
            used = usage[team].resources.cores if team in usage else 0.0
            rank = (first[0], used / share, team)
            best = rank if best is None else min(best, rank)
        return None if best is None else best[2]


def _find_group(task: Task, job: Job) -> TaskGroup:
    return task.spec.resources, job.kind


def _is_queued(state: ShardState, key: str) -> bool:
    task = state.tasks_by_key.get(key)
    return task is not None and task.state == QUEUED


def _check_quota(
    size: Resources, used: TeamUsage, team: TeamConfig | None, part: float
) -> Code | None:
    """Return ``OVER_QUOTA`` if one more task would exceed the quota, or None."""
    if team is None or not is_over_quota(team.quota, size, used, part):
        return None
    return Code.OVER_QUOTA


def _never_fits(size: Resources, vms: Sequence[VmHint]) -> bool:
    return bool(vms) and not any(size.fits_in(vm.capacity) for vm in vms)
