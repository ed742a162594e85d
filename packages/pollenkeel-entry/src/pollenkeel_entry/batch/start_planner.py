"""Planning of task starts from the shard's queue, the fleet and the policies."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.forecast import DeadlineForecast, LateJob
from pollenkeel_entry.batch.inbox import InboxItem
from pollenkeel_entry.batch.ownership import limit_task_lease
from pollenkeel_entry.batch.planning import Plan, Planner
from pollenkeel_entry.batch.services import OwnedShard
from pollenkeel_entry.batch.state import ShardState
from pollenkeel_kernel.config.model import ClusterConfig, PolicyConfig
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources, TaskExchangeReply, TaskKey
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS, Placement, VmHint
from pollenkeel_kernel.policy.run_time import RUN_TIME_MODELS, DeclaredRunTime

#: Maximum number of starts planned in one commit.
STARTS_PER_COMMIT = 400
#: Interval between forecasts of jobs that will miss their deadline.
_FORECAST_INTERVAL_SECONDS = 5.0
#: Interval between planning passes while no task is queued. Such a pass only hands the
#: announcements, which arrive once a second, to the placement policy; a pass in each
#: commit interval would examine every agent 20 times a second for each shard.
_IDLE_INTERVAL_SECONDS = 1.0


@attrs.define
class _Candidates:
    """VMs that can get starts, with the start deadline and VM name of each agent."""

    vms: list[VmHint] = attrs.field(factory=list)
    start_before_by_agent: dict[str, float] = attrs.field(factory=dict)
    vm_by_agent: dict[str, str] = attrs.field(factory=dict)


class StartPlanner:
    """Plans the starts of a shard and reserves their capacity.

    Not thread-safe; the shard's lock protects it.

    Parameters
    ----------
    shard : OwnedShard
        Lease and log of the shard, and the objects shared with other shards.

    Attributes
    ----------
    forecast : DeadlineForecast
        Observed run times, and the forecast of jobs that will miss their deadline.
    unchecked_agents : set of str
        Agents of lapsed attempts that have not listed their worker's tasks since; they
        get no starts.
    """

    def __init__(self, shard: OwnedShard) -> None:
        self.forecast = DeadlineForecast(DeclaredRunTime())
        self.unchecked_agents: set[str] = set()
        self._context, self._services = shard.context, shard.services
        self._lease, self._log = shard.lease, shard.log
        self._timing = shard.context.settings.timing
        self._planner: Planner | None = None
        self._policy: PolicyConfig | None = None
        self._placement: Placement | None = None
        self._next_forecast_at = 0.0
        self._next_idle_pass_at = 0.0

    def reset(self) -> None:
        """Discard the planner and the placement policy; the next plan rebuilds them."""
        self._planner = None

    def plan(self) -> list[ev.Event]:
        """Return the events of new starts, with their capacity reserved."""
        config, now = self._context.config.effective(), self._context.clock.now()
        state = self._log.state
        # Starts need a valid shard lease, which bounds ``start_before``: the worker
        # rejects a late start before another owner can have claimed the shard.
        if config is None or now >= self._lease.row.lease_until:
            return []
        if not state.queued:
            if now < self._next_idle_pass_at:
                return []
            self._next_idle_pass_at = now + _IDLE_INTERVAL_SECONDS
        planner = self._get_planner(config)
        for key in state.queued:
            planner.add(state.tasks_by_key[key], state)
        candidates = self._find_candidates(now)
        budgets = self._find_budgets(candidates.vms, now)
        plan = self._make_plan(planner, config, candidates.vms, budgets, now)
        self._record_plan(planner, plan, candidates.vms, now)
        return list(self._reserve_starts(plan, candidates, budgets, now))

    def _find_budgets(self, vms: list[VmHint], now: float) -> dict[str, float]:
        """Return the number of starts that each data centre may get in this commit."""
        budgets: dict[str, float] = {}
        interval = self._timing.commit_interval
        for vm in vms:
            name = vm.data_centre
            budgets[name] = self._services.ramp.budget(name, now, interval)
        return budgets

    def _make_plan(
        self,
        planner: Planner,
        config: ClusterConfig,
        vms: list[VmHint],
        budgets: dict[str, float],
        now: float,
    ) -> Plan:
        """Return a plan within the teams' quotas, and count its starts to them."""
        state = self._log.state
        limit = int(min(STARTS_PER_COMMIT, sum(budgets.values())))
        quarantine = self._services.quarantine
        quota = self._services.quota
        with quota.lock:
            plan = planner.plan(
                state,
                vms,
                config.teams,
                limit,
                lambda vm: quarantine.allowed(vm.agent_id, now),
                quota.view(self._lease.shard),
                now,
            )
            quota.set(
                self._lease.shard, state.usage_by_team, _planned_sizes(state, plan)
            )
        return plan

    def _record_plan(
        self, planner: Planner, plan: Plan, vms: list[VmHint], now: float
    ) -> None:
        """Record late jobs and why tasks wait."""
        for late in plan.late:
            self._record_late_job(late, now)
        self._run_forecast(planner, vms, now)
        for key, code in plan.waiting:
            self._services.decisions.record(now, key, "wait", code.value)

    def _reserve_starts(
        self,
        plan: Plan,
        candidates: _Candidates,
        budgets: dict[str, float],
        now: float,
    ) -> Iterator[ev.Event]:
        """Yield the events of planned starts, with their capacity reserved."""
        state, quarantine = self._log.state, self._services.quarantine
        # The plan's limit is a sum over all data centres, and a quarantined agent that
        # is due for a probe gets one start only. Other planned starts stay queued for
        # the next pass.
        for start in plan.starts:
            task, agent_id = state.tasks_by_key[start.key], start.vm.agent_id
            budgets[start.vm.data_centre] -= 1
            if budgets[start.vm.data_centre] < 0:
                continue
            if not quarantine.allowed(agent_id, now):
                continue
            quarantine.started(agent_id, now)
            kind = state.jobs_by_id[task.job_id].kind
            attempt = TaskKey(start.key, task.attempts + 1)
            size = task.spec.resources
            self._services.hints.reserve(agent_id, attempt, size, now, kind)
            yield ev.AttemptStarted(
                attempt.task_id,
                attempt.attempt,
                agent_id,
                candidates.vm_by_agent[agent_id],
                start.vm.data_centre,
                self._lease.row.epoch,
                candidates.start_before_by_agent[agent_id],
                limit_task_lease(self._lease, self._timing, now),
            )

    def release_reservations(self, items: list[InboxItem]) -> None:
        """Release the capacity reserved for starts that will not be sent."""
        for item in items:
            event = item.event
            if isinstance(event, ev.AttemptStarted):
                attempt = TaskKey(event.key, event.attempt)
                self._services.hints.release(event.agent_id, attempt)

    def observe_usage(self, reply: TaskExchangeReply) -> None:
        """Pass the measured usage of running tasks to the placement policy."""
        state = self._log.state
        for reported in reply.tasks:
            task = state.task_with_attempt(reported.task_id, reported.attempt)
            if task is None or self._placement is None or reported.state != rec.RUNNING:
                continue
            kind = state.jobs_by_id[task.job_id].kind
            declared = task.spec.resources
            self._placement.observe_use(kind, declared, reported.usage)

    def _find_candidates(self, now: float) -> _Candidates:
        """Return the VMs that can get starts now."""
        found = _Candidates()
        config = self._context.config
        effective = config.effective()
        services = effective.services if effective else {}
        for record in self._context.agents.live():
            announce = record.announce
            permit = config.permit_until(announce.data_centre)
            if announce.state == "leaving" or not announce.worker_ready:
                continue
            # The agent's first reply may list tasks that were done before their leases
            # lapsed.
            if announce.sender in self.unchecked_agents:
                continue
            # Announcements may still arrive from an agent that cannot be reached.
            if self._services.is_silent(announce.sender):
                continue
            if permit <= now or announce.data_centre in config.drained():
                continue
            latest = min(now + self._timing.start_window, permit)
            before = min(latest, self._lease.row.lease_until)
            found.start_before_by_agent[announce.sender] = before
            found.vm_by_agent[announce.sender] = announce.vm
            found.vms.append(self._services.hints.view(record, services))
        return found

    def _get_planner(self, config: ClusterConfig) -> Planner:
        """Return the planner, rebuilt if the configured policies have changed."""
        policy = config.policy
        if self._planner is None or self._policy != policy:
            order = TASK_ORDERS.get(policy.task_order)()
            self._placement = PLACEMENTS.get(policy.placement)(self._lease.shard)
            models = self._services.run_times_by_name
            if policy.run_time not in models:
                models[policy.run_time] = RUN_TIME_MODELS.get(policy.run_time)()
            self.forecast.run_times = models[policy.run_time]
            self._planner = Planner(order, self._placement, self.forecast)
            self._policy = policy
        return self._planner

    def _run_forecast(self, planner: Planner, vms: list[VmHint], now: float) -> None:
        """Record jobs that will be late, at most once per forecast interval."""
        if now < self._next_forecast_at:
            return
        self._next_forecast_at = now + _FORECAST_INTERVAL_SECONDS
        for late in planner.find_late(self._log.state, vms, now):
            self._record_late_job(late, now)

    def _record_late_job(self, late: LateJob, now: float) -> None:
        reason = f"{late.key}: {late.reason}"
        for key in (late.job_id, late.key):
            self._services.decisions.record(
                now, key, "late", Code.WILL_MISS_DEADLINE.value, reason
            )


def _planned_sizes(state: ShardState, plan: Plan) -> Iterator[tuple[str, Resources]]:
    """Yield the team and the declared resources of each planned start."""
    for start in plan.starts:
        task = state.tasks_by_key[start.key]
        yield state.jobs_by_id[task.job_id].team, task.spec.resources
