"""Guards against unfair, oversized or late starts."""

import pytest

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.forecast import DeadlineForecast
from pollenkeel_entry.batch.planning import Planner
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_kernel.config.model import QuotaConfig, TeamConfig
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS, VmHint
from pollenkeel_kernel.policy.quarantine import ConsecutiveFailures
from pollenkeel_kernel.policy.run_time import LearnedRunTime

TEAMS = {"a": TeamConfig(0.5), "b": TeamConfig(0.5)}


def make_vms(count, cores):
    size = Resources(float(cores), 100.0, 0)
    return [VmHint(f"m{i}", "r", "d", size, size) for i in range(count)]


def plan(jobs, vms, order="fcfs", placement="first-fit", teams=TEAMS, limit=100):
    state = ShardState()
    planner = Planner(TASK_ORDERS.get(order)(), PLACEMENTS.get(placement)(1))
    for at, (job_id, team, deadline, urgent, cores, count) in enumerate(jobs):
        size = Resources(float(cores))
        specs = [rec.TaskSpec(f"t{i}", "run 1", size, 1.0) for i in range(count)]
        event = ev.JobSubmitted(
            job_id, team, "k", deadline, urgent, "d", float(at), 0, specs
        )
        apply(event, state)
    for key in state.queued:
        planner.add(state.tasks_by_key[key], state)
    return planner.plan(state, vms, teams, limit)


@pytest.mark.parametrize(
    ("order", "first"), [("fcfs", "x:t0"), ("edf", "y:t0"), ("slack", "y:t0")]
)
def test_order_and_urgent_first(order, first):
    """Guards against urgent tasks that start after others."""
    jobs = [("x", "a", 0.0, False, 1, 1), ("y", "a", 50.0, False, 1, 1)]
    assert plan(jobs, make_vms(1, 8), order).starts[0].key == first
    jobs.append(("u", "b", 0.0, True, 1, 1))
    assert plan(jobs, make_vms(1, 8), order).starts[0].key == "u:t0"


@pytest.mark.parametrize("team", ["a", "b"])
def test_tasks_that_never_fit_do_not_block_others(team):
    """Guards against a job that fits no VM and blocks its shard."""
    jobs = [("x", "a", 0.0, False, 100, 200), ("y", team, 0.0, False, 1, 3)]
    starts = plan(jobs, make_vms(2, 8)).starts
    assert [s.key for s in starts] == ["y:t0", "y:t1", "y:t2"]


def test_many_tasks_waiting_for_capacity_hold_back_others():
    """Guards against small tasks that take the capacity for which large ones wait.

    ``MAX_UNPLACED_TASKS`` is 64: so many waiting tasks end the pass, 63 do not.
    """
    vms = make_vms(1, 8)
    vms[0].free = Resources(4.0, 100.0, 0)
    jobs = [("x", "a", 0.0, False, 6, 64), ("y", "a", 0.0, False, 1, 3)]
    assert plan(jobs, vms).starts == []
    jobs[0] = ("x", "a", 0.0, False, 6, 63)
    assert [s.key for s in plan(jobs, vms).starts] == ["y:t0", "y:t1", "y:t2"]


def test_task_above_the_whole_quota_does_not_block_its_team():
    """Guards against a task that can never start and blocks its team."""
    teams = {"a": TeamConfig(1.0, QuotaConfig(cores=4))}
    jobs = [("x", "a", 0.0, False, 6, 200), ("y", "a", 0.0, False, 1, 5)]
    result = plan(jobs, make_vms(2, 8), teams=teams)
    assert [s.key for s in result.starts] == ["y:t0", "y:t1", "y:t2", "y:t3"]
    assert {code for _, code in result.waiting} == {Code.OVER_QUOTA}


@pytest.mark.parametrize("placement", ["first-fit", "two-choices", "spread"])
def test_no_vm_is_overfilled_and_teams_share(placement):
    """Guards against overfilled VMs and a team that takes all starts."""
    jobs = [("x", "a", 0.0, False, 1, 50), ("y", "b", 0.0, False, 1, 50)]
    starts = plan(jobs, make_vms(4, 5), placement=placement).starts
    assert len(starts) == 20
    assert sum(s.key.startswith("x") for s in starts) == 10
    assert all(s.vm.free.cores >= 0 for s in starts)


def test_quota_and_task_that_never_fits_are_explained():
    """Guards against starts beyond a quota and tasks that wait without a reason."""
    teams = {**TEAMS, "a": TeamConfig(0.5, QuotaConfig(tasks=2))}
    jobs = [("x", "a", 0.0, False, 1, 5), ("y", "b", 0.0, False, 99, 1)]
    result = plan(jobs, make_vms(2, 8), teams=teams)
    assert len(result.starts) == 2
    codes = {code for _, code in result.waiting}
    assert codes == {Code.OVER_QUOTA, Code.NEVER_FITS}


def test_quarantine_and_probe():
    """Guards against a broken worker that gets all starts or stays quarantined."""
    quarantine = ConsecutiveFailures(3, 30.0)
    for task in ("x", "x", "x", "y"):
        quarantine.record("m", task, True, 0.0)
    assert quarantine.allowed("m", 0.0)
    quarantine.record("m", "z", True, 0.0)
    assert not quarantine.allowed("m", 29.0)
    assert quarantine.allowed("m", 30.0)
    quarantine.started("m", 30.0)
    assert not quarantine.allowed("m", 31.0)
    quarantine.record("m", "p", False, 32.0)
    assert quarantine.allowed("m", 32.0)


def submit(state, planner, job_id, deadline, run_time, count=1):
    size = Resources(1.0)
    specs = [rec.TaskSpec(f"t{i}", "run", size, run_time) for i in range(count)]
    event = ev.JobSubmitted(job_id, "a", "k", deadline, False, "d", 0.0, 0, specs)
    apply(event, state)
    for spec in specs:
        planner.add(state.tasks_by_key[f"{job_id}:{spec.task_id}"], state)


def make_learning_planner():
    forecast = DeadlineForecast(LearnedRunTime())
    planner = Planner(
        TASK_ORDERS.get("slack")(), PLACEMENTS.get("first-fit")(1), forecast
    )
    return ShardState(), planner, forecast


def test_wrongly_declared_run_time_is_corrected_for_queued_tasks():
    """Guards against late jobs whose tasks run ten times as long as declared."""
    state, planner, forecast = make_learning_planner()
    submit(state, planner, "x", 1000.0, 50.0)
    submit(state, planner, "y", 960.0, 1.0)
    for _ in range(50):
        forecast.run_times.observe("a", "k", 10.0, 100.0)
    result = planner.plan(state, make_vms(1, 1), TEAMS, 1)
    assert [start.key for start in result.starts] == ["x:t0"]


def test_job_that_cannot_finish_is_reported_once_and_moved_back():
    """Guards against a late job that delays others, and late jobs not reported."""
    state, planner, forecast = make_learning_planner()
    for _ in range(50):
        forecast.run_times.observe("a", "k", 10.0, 100.0)
    submit(state, planner, "x", 500.0, 100.0)
    submit(state, planner, "y", 2000.0, 10.0)
    vms = make_vms(1, 1)
    first = planner.plan(state, vms, TEAMS, 1, now=1.0)
    assert [late.job_id for late in first.late] == ["x"]
    assert [start.key for start in first.starts] == ["y:t0"]
    assert not planner.plan(state, vms, TEAMS, 1, now=2.0).late


def test_overload_reports_only_the_largest_job_as_late():
    """Guards against a large job that makes many small ones late."""
    state, planner, forecast = make_learning_planner()
    for _ in range(50):
        forecast.run_times.observe("a", "k", 10.0, 10.0)
    submit(state, planner, "big", 90.0, 10.0, count=9)
    for name in ("s1", "s2", "s3"):
        submit(state, planner, name, 95.0, 10.0)
    late = list(planner.find_late(state, make_vms(1, 1), 0.0))
    assert [job.job_id for job in late] == ["big"]
    assert not list(planner.find_late(state, make_vms(1, 1), 0.0))
