"""Fairness between teams, for requests and task starts, when one exceeds its share.

Run: ``python benchmarks/fair_shares.py``. The first part sends requests of four teams
through the real admission and router to two fake upstreams; the busy team offers its
share or ten times as much. The second part queues tasks of four teams in the real
planner. The busy team, with up to ten times the tasks of the others, starts alone and
borrows their shares; the others return later.
"""

from __future__ import annotations

import heapq
import random

import click
from fake_upstreams import Entry, FakeUpstream, Load, Outcome, run_load

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.planning import Planner
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_kernel.config.model import PolicyConfig, QuotaConfig, TeamConfig
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS, VmHint

SEED = 20261204
BUSY = "busy"
OTHERS = ["north", "south", "west"]
TEAMS = [BUSY, *OTHERS]
SHARES = dict.fromkeys(TEAMS, 0.25)
WORK, SLOTS = 0.08, 8
ROUNDS = 3
CAPACITY = 2 * SLOTS / WORK
VMS, CORES = 10, 16.0
RETURN_AT, END_AT = 300, 900


def measure_requests(seed: int, seconds: float) -> None:
    """Print the others' latencies with the busy team at and at ten times its share."""
    click.echo(
        "| share policy | busy team | others p50 ms | others p99 ms | others refused "
        "| busy answered/s |"
    )
    click.echo("| --- | --- | ---: | ---: | ---: | ---: |")
    for policy in ("none", "fair"):
        outcomes: dict[int, Outcome] = {1: Outcome(), 10: Outcome()}
        # Rounds alternate, since other load on the machine shifts the latencies.
        for number in range(ROUNDS):
            for factor, total in outcomes.items():
                total.add(_run_round(policy, factor, seed + number, seconds))
        for factor, outcome in outcomes.items():
            sent = sum(sum(outcome.codes_by_team[t].values()) for t in OTHERS)
            refused = 1 - outcome.answered(OTHERS) / sent
            click.echo(
                f"| {policy} | {factor} x | {outcome.percentile(0.5, OTHERS):.1f} "
                f"| {outcome.percentile(0.99, OTHERS):.1f} | {refused:.1%} "
                f"| {outcome.answered([BUSY]) / seconds / ROUNDS:.0f} |"
            )


def _run_round(policy: str, factor: int, seed: int, seconds: float) -> Outcome:
    upstreams = [FakeUpstream(f"m{i}", SLOTS) for i in range(2)]
    entry = Entry(upstreams, PolicyConfig(request_share=policy), SHARES, seed)
    loads = [Load(team, 0.6 * CAPACITY / 4, 10) for team in OTHERS]
    loads.append(Load(BUSY, factor * CAPACITY / 4, 12 * factor))
    return run_load([entry], upstreams, loads, WORK, seconds, 2.0, seed)


def simulate_starts(
    seed: int, fair: bool, factor: int, quota: float
) -> tuple[float, ...]:
    """Simulate the planner with one busy team.

    Returns the other teams' share of the starts and of the cores, their p99 wait, the
    share of the cores that the busy team holds before they return, and the seconds
    until they have their cores again. Unless ``fair``, all tasks belong to one team and
    start in order of submission.
    """
    generator, state = random.Random(seed), ShardState()
    planner = Planner(TASK_ORDERS.get("fcfs")(), PLACEMENTS.get("first-fit")(0))
    size = Resources(CORES, 1000.0, 0)
    vms = [VmHint(f"m{i}", "r", "d", size, size) for i in range(VMS)]
    vms_by_id = {vm.agent_id: vm for vm in vms}
    teams = {t: TeamConfig(0.25) for t in TEAMS}
    teams[BUSY] = TeamConfig(0.25, QuotaConfig(cores=quota))
    ends: list[tuple[float, str]] = []
    waits, others_starts, starts, count = [], 0, 0, 0
    busy_share, regained_after, others_cores, all_cores = 0.0, 0.0, 0.0, 0.0
    for now in range(END_AT):
        # A task uses 2 cores for 20 s on average, so the capacity is 4 tasks a second.
        for team in TEAMS:
            rate = 4 / len(TEAMS) * (factor if team == BUSY else 1)
            if team != BUSY and now < RETURN_AT:
                continue
            for _ in range(_draw_count(generator, rate)):
                spec = rec.TaskSpec("t", "run", Resources(2.0), 20.0)
                owner = team if fair else BUSY
                job = f"{team}-{count}"
                count += 1
                submitted = ev.JobSubmitted(
                    job, owner, "k", 0.0, False, "d", float(now), 0, [spec]
                )
                apply(submitted, state)
                planner.add(state.tasks_by_key[f"{job}:t"], state)
        while ends and ends[0][0] <= now:
            key = heapq.heappop(ends)[1]
            task = state.tasks_by_key[key]
            assert task.attempt is not None
            vm = vms_by_id[task.attempt.agent_id]
            vm.free = vm.free + task.spec.resources
            apply(ev.AttemptEnded(key, 1, rec.DONE, 1000), state)
        for start in planner.plan(state, vms, teams, 400).starts:
            agent_id = start.vm.agent_id
            apply(
                ev.AttemptStarted(start.key, 1, agent_id, "v", "d", 1, 0.0, 0.0), state
            )
            heapq.heappush(ends, (now + generator.uniform(10, 30), start.key))
            if now >= RETURN_AT:
                from_busy = start.key.startswith(BUSY)
                starts += 1
                others_starts += not from_busy
                started = state.jobs_by_id[state.tasks_by_key[start.key].job_id]
                if not from_busy:
                    waits.append(now - started.submitted_at)
        cores_by_team = {team: 0.0 for team in TEAMS}
        for _, key in ends:
            cores_by_team[key.split("-")[0]] += 2.0
        if now == RETURN_AT - 1:
            busy_share = cores_by_team[BUSY] / (VMS * CORES)
        others = sum(cores_by_team[team] for team in OTHERS)
        if now >= RETURN_AT:
            others_cores += others
            all_cores += sum(cores_by_team.values())
            if not regained_after and others >= 0.9 * 0.75 * VMS * CORES:
                regained_after = now - RETURN_AT
    waits.sort()
    p99 = waits[int(0.99 * len(waits))] if waits else float(END_AT)
    return (
        others_starts / starts,
        others_cores / all_cores,
        p99,
        busy_share,
        regained_after,
    )


def _draw_count(generator: random.Random, rate: float) -> int:
    """Return a random integer with the mean ``rate``."""
    count_below = int(rate)
    return count_below + (generator.random() < rate - count_below)


def measure_starts(seed: int) -> None:
    """Print the other teams' share of starts and cores."""
    click.echo(
        "| shares | busy team | quota | others' starts | others' cores "
        "| others p99 wait s | lent before | taken back after s |"
    )
    click.echo("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for fair, factor, quota in (
        (False, 1, 0.0),
        (False, 10, 0.0),
        (True, 1, 0.0),
        (True, 10, 0.0),
        (True, 10, 60.0),
    ):
        starts, cores, p99, busy_share, regained = simulate_starts(
            seed, fair, factor, quota
        )
        click.echo(
            f"| {'fair' if fair else 'none'} | {factor} x | {quota:g} | {starts:.1%} "
            f"| {cores:.1%} | {p99:.0f} | {busy_share:.0%} "
            f"| {f'{regained:.0f}' if regained else 'never'} |"
        )


@click.command()
@click.option("--seed", default=SEED, show_default=True)
@click.option("--seconds", default=6.0, show_default=True, help="Length of a round.")
def main(seed: int, seconds: float) -> None:
    """Print the effect of a team at ten times its share on the others."""
    click.echo(
        f"seed {seed}; requests: 4 teams of equal share, capacity {CAPACITY:.0f}/s, "
        f"others at 0.6 of their share, "
        f"{ROUNDS} rounds of {seconds:g} s a row"
    )
    measure_requests(seed, seconds)
    click.echo()
    click.echo(
        f"starts: {VMS} VMs of {CORES:g} cores, others return after {RETURN_AT} s"
    )
    measure_starts(seed)


if __name__ == "__main__":
    main()
