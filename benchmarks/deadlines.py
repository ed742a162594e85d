"""Orders of batch tasks with wrongly declared run times, compared with baselines.

Run: ``python benchmarks/deadlines.py``. A generated series of jobs goes through the
planner, the shard state and the deadline forecast of the entry; simulated VMs only end
tasks after their true run time. The declared run times of each team and kind are wrong
by a factor between 0.1 and 10. The load oscillates around its mean. Code 6006
(``WILL_MISS_DEADLINE``) reports a job that is expected to miss its deadline.
"""

from __future__ import annotations

import heapq
import math
import random
import statistics

import attrs
import click

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.forecast import DeadlineForecast, LateJob
from pollenkeel_entry.batch.planning import Planner
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_kernel.config.model import TeamConfig
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS, VmHint
from pollenkeel_kernel.policy.run_time import RUN_TIME_MODELS

SEED = 20261204
#: Seconds in a simulation step.
STEP_SECONDS = 2.0
STEPS = 5400
#: Steps between two searches for jobs that will be late.
FORECAST_STEPS = 5
VMS = 12
CORES = 32.0
TEAMS = ("stock", "cutting", "labels")
#: Median run time in seconds of the tasks of each kind.
MEDIAN_BY_KIND = {"short": 40.0, "medium": 150.0, "long": 500.0}
#: Largest factor by which declared run times are wrong.
MAX_ERROR_FACTOR = 10.0

ORDERS = (
    ("fcfs", "declared"),
    ("edf", "declared"),
    ("edf", "learned"),
    ("slack", "declared"),
    ("slack", "learned"),
)


@attrs.define
class Series:
    """Jobs in the order of submission, and the true run time of each task."""

    jobs: list[ev.JobSubmitted]
    true_times_by_key: dict[str, float]


@attrs.define
class Outcome:
    """Time of the end and of the first report with code 6006 of each job."""

    ended_by_job: dict[str, float] = attrs.field(factory=dict)
    reported_by_job: dict[str, float] = attrs.field(factory=dict)


def make_series(seed: int, load: float) -> Series:
    """Generate jobs whose work is ``load`` times the capacity of the simulated VMs."""
    generator = random.Random(seed)
    factors = {
        (team, kind): MAX_ERROR_FACTOR ** generator.uniform(-1, 1)
        for team in TEAMS
        for kind in MEDIAN_BY_KIND
    }
    series = Series([], {})
    budget = 0.0
    for step in range(STEPS):
        load_factor = 1 + 0.5 * math.sin(2 * math.pi * step / 1350)
        budget += load * load_factor * VMS * CORES * STEP_SECONDS
        while budget > 0:
            job, work = _make_job(generator, step * STEP_SECONDS, factors, series)
            series.jobs.append(job)
            budget -= work
    return series


def _make_job(
    generator: random.Random,
    at: float,
    factors: dict[tuple[str, str], float],
    series: Series,
) -> tuple[ev.JobSubmitted, float]:
    team = generator.choice(TEAMS)
    kind = generator.choice(list(MEDIAN_BY_KIND))
    job_id = f"j{len(series.jobs)}"
    specs, work, longest = [], 0.0, 0.0
    for index in range(generator.randint(1, 12)):
        typical = MEDIAN_BY_KIND[kind] * generator.lognormvariate(0, 0.5)
        true_time = typical * generator.lognormvariate(0, 0.2)
        size = Resources(float(generator.choice((1, 2, 4))), 1.0, 0)
        spec = rec.TaskSpec(f"t{index}", "run", size, typical / factors[team, kind])
        specs.append(spec)
        series.true_times_by_key[f"{job_id}:t{index}"] = true_time
        work += true_time * size.cores
        longest = max(longest, true_time)
    deadline = at + longest * generator.uniform(1.3, 6.0) + 10.0
    event = ev.JobSubmitted(job_id, team, kind, deadline, False, "d", at, 0, specs)
    return event, work


def run(series: Series, order: str, model: str) -> Outcome:
    """Simulate the series with one task order and one run time model."""
    state, outcome = ShardState(), Outcome()
    forecast = DeadlineForecast(RUN_TIME_MODELS.get(model)())
    placement = PLACEMENTS.get("first-fit")(0)
    planner = Planner(TASK_ORDERS.get(order)(), placement, forecast)
    size = Resources(CORES, 1000.0, 0)
    vms = [VmHint(f"m{i}", "r", "d", size, size) for i in range(VMS)]
    vms_by_id = {vm.agent_id: vm for vm in vms}
    teams = {team: TeamConfig(1 / len(TEAMS)) for team in TEAMS}
    ends: list[tuple[float, str, str]] = []
    waiting = iter(series.jobs)
    upcoming = next(waiting, None)
    now, step = 0.0, 0
    while upcoming is not None or state.open_jobs():
        now, step = now + STEP_SECONDS, step + 1
        while upcoming is not None and upcoming.at <= now:
            apply(upcoming, state)
            for spec in upcoming.tasks:
                key = rec.make_task_key(upcoming.job_id, spec.task_id)
                planner.add(state.tasks_by_key[key], state)
            upcoming = next(waiting, None)
        while ends and ends[0][0] <= now:
            _, key, agent_id = heapq.heappop(ends)
            task = state.tasks_by_key[key]
            vms_by_id[agent_id].free = vms_by_id[agent_id].free + task.spec.resources
            forecast.ended(key, state, rec.DONE, now)
            apply(ev.AttemptEnded(key, task.attempts, rec.DONE, 1000), state)
            if not state.jobs_by_id[task.job_id].open_tasks:
                outcome.ended_by_job[task.job_id] = now
        plan = planner.plan(state, vms, teams, 10_000, now=now)
        for start in plan.starts:
            event = ev.AttemptStarted(
                start.key, 1, start.vm.agent_id, "vm", "d", 1, now, now
            )
            apply(event, state)
            forecast.started(start.key, now)
            end = now + series.true_times_by_key[start.key]
            heapq.heappush(ends, (end, start.key, start.vm.agent_id))
        late: list[LateJob] = plan.late
        if step % FORECAST_STEPS == 0:
            late += planner.find_late(state, vms, now)
        for job in late:
            outcome.reported_by_job.setdefault(job.job_id, now)
    return outcome


def format_results(series: Series, outcome: Outcome) -> str:
    """Return the measurements of one simulation as table cells."""
    lateness, leads, wrong, missed = [], [], 0, 0
    for job in series.jobs:
        seconds = outcome.ended_by_job[job.job_id] - job.deadline
        lateness.append(max(0.0, seconds - STEP_SECONDS))
        reported = outcome.reported_by_job.get(job.job_id)
        if lateness[-1] == 0.0:
            wrong += reported is not None
        elif reported is None or reported >= job.deadline:
            missed += 1
        else:
            leads.append((job.deadline - reported) / (job.deadline - job.at))
    lateness.sort()
    late = [seconds for seconds in lateness if seconds]
    on_time = 1 - len(late) / len(lateness)
    reports = len(outcome.reported_by_job)
    return (
        f"{on_time:.1%} | {statistics.fmean(lateness):.0f} "
        f"| {lateness[int(0.99 * len(lateness))]:.0f} "
        f"| {reports} | {statistics.median(leads or [0.0]):.0%} "
        f"| {wrong / max(1, reports):.1%} | {missed / max(1, len(late)):.1%}"
    )


@click.command()
@click.option("--seed", default=SEED, show_default=True)
@click.option("--loads", default="0.9,1.2,1.4", show_default=True)
def main(seed: int, loads: str) -> None:
    """Print the share of jobs on time, lateness and the accuracy of the reports."""
    click.echo(f"seed {seed}, {VMS} VMs of {CORES:g} cores, {STEPS * STEP_SECONDS:g} s")
    click.echo(
        "| load | order | run times | on time | mean late s | p99 late s "
        "| 6006 | median lead | wrong 6006 | late without early 6006 |"
    )
    click.echo("| ---: | --- | --- | " + " | ".join(["---:"] * 7) + " |")
    for load in map(float, loads.split(",")):
        series = make_series(seed, load)
        for order, model in ORDERS:
            outcome = run(series, order, model)
            click.echo(
                f"| {load:g} | {order} | {model} | {format_results(series, outcome)} |"
            )


if __name__ == "__main__":
    main()
