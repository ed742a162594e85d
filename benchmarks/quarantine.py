"""Quarantine of failing workers, and urgent jobs during mass cancellation.

Run: ``PYTHONPATH=standins python benchmarks/quarantine.py``. The first part plans
tasks on ten simulated VMs, of which one fails every task immediately until it is
repaired; one job fits on no VM. The second part runs the real shard owner with an
in-memory store and scripted agents: 10,000 running tasks are cancelled while urgent
jobs are submitted.
"""

from __future__ import annotations

import json
import random
import threading
import time

import click

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.manager import ShardManager
from pollenkeel_entry.batch.planning import Planner
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS, VmHint
from pollenkeel_kernel.policy.quarantine import QUARANTINES
from pollenkeel_standins.memory_backend import MemoryBackend
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.scripted import (
    CLOCK,
    ScriptedAgent,
    ScriptedAgentTable,
    ScriptedConfig,
)

SEED = 20261204
VMS, SECONDS, REPAIRED_AT = 10, 600, 400
SMALL = {"memory_gb": 1, "accelerators": 0, "cores": 1}


def simulate_failing_worker(name: str, seed: int) -> str:
    """Simulate a VM that fails every task until its repair; return table cells."""
    generator, state = random.Random(seed), ShardState()
    quarantine = QUARANTINES.get(name)()
    placement = PLACEMENTS.get("spread")(seed)
    planner = Planner(TASK_ORDERS.get("fcfs")(), placement)
    size = Resources(8.0, 100.0, 0)
    vms = [VmHint(f"m{i}", "r", "d", size, size) for i in range(VMS)]
    running: list[tuple[float, str, VmHint]] = []
    failed_attempts, used_after_repair, never_fits = 0, 0, 0
    _submit(state, planner, "impossible", Resources(99.0))
    for now in range(SECONDS):
        for index in range(4):
            _submit(state, planner, f"j{now}-{index}", Resources(1.0))
        for end in [entry for entry in running if entry[0] <= now]:
            running.remove(end)
            _, key, vm = end
            failed = vm.agent_id == "m0" and now <= REPAIRED_AT
            outcome = rec.FAILED if failed else rec.DONE
            failed_attempts += failed
            quarantine.record(vm.agent_id, key, failed, now)
            task = state.tasks_by_key[key]
            vm.free = vm.free + task.spec.resources
            apply(ev.AttemptEnded(key, task.attempts, outcome, 1000), state)
            if task.state == rec.QUEUED:
                planner.add(task, state)
        at = float(now)

        def is_allowed(vm: VmHint, at: float = at) -> bool:
            return quarantine.allowed(vm.agent_id, at)

        plan = planner.plan(state, vms, {}, 100, is_allowed)
        never_fits += any(code is Code.NEVER_FITS for _, code in plan.waiting)
        for start in plan.starts:
            key, vm = start.key, start.vm
            if not quarantine.allowed(vm.agent_id, now):
                vm.free = vm.free + state.tasks_by_key[key].spec.resources
                planner.add(state.tasks_by_key[key], state)
                continue
            quarantine.started(vm.agent_id, now)
            attempt = state.tasks_by_key[key].attempts + 1
            apply(
                ev.AttemptStarted(key, attempt, vm.agent_id, "v", "d", 1, 0, 0), state
            )
            broken = vm.agent_id == "m0" and now < REPAIRED_AT
            used_after_repair += vm.agent_id == "m0" and not broken
            seconds = 1.0 if broken else generator.uniform(5, 15)
            running.append((now + seconds, key, vm))
    lost = sum(task.state == rec.FAILED for task in state.tasks_by_key.values())
    return f"{failed_attempts} | {lost} | {used_after_repair} | {never_fits > 0}"


def _submit(state: ShardState, planner: Planner, job: str, size: Resources) -> None:
    spec = rec.TaskSpec("t", "run", size, 10.0)
    event = ev.JobSubmitted(job, "a", "k", 0.0, False, "d", 0.0, 0, [spec])
    apply(event, state)
    planner.add(state.tasks_by_key[f"{job}:t"], state)


def measure_urgent(wave: bool, tasks: int, urgent: int) -> tuple[list[float], float]:
    """Return the sorted seconds from submission to start of urgent jobs, and the
    seconds until all cancelled tasks have ended.
    """
    agents = [ScriptedAgent(f"m{i}", "d0") for i in range(10)]
    settings = EntrySettings("e0", "d0", StoreSettings("memory"), shards=1)
    context = EntryContext(
        settings,
        CLOCK,
        MemoryBackend(),
        ScriptedAgentTable(agents),
        ScriptedConfig(),
        StateDump(),
    )
    manager = ShardManager(context)
    manager.start()
    try:
        wait_until(
            lambda: manager.status("x").unwrap_err().code is Code.NOT_FOUND, 60.0
        )
        jobs = [f"bulk-{i}" for i in range(10)]
        for job in jobs:
            manager.submit(_make_job(job, tasks // 10, False)).unwrap()
        wait_until(lambda: sum(len(a.ran) for a in agents) >= tasks, 120.0)
        cancels = []
        if wave:
            cancels = [
                threading.Thread(target=manager.cancel, args=(job,)) for job in jobs
            ]
        begun = time.monotonic()
        for thread in cancels:
            thread.start()
        waits = sorted(_time_urgent(manager, agents, i) for i in range(urgent))
        for thread in cancels:
            thread.join()
        if wave:
            wait_until(
                lambda: not any(_open_tasks(manager, job) for job in jobs), 120.0
            )
        return waits, time.monotonic() - begun
    finally:
        manager.close()


def _time_urgent(
    manager: ShardManager, agents: list[ScriptedAgent], number: int
) -> float:
    key, begun = f"urgent-{number}:t0", time.monotonic()
    manager.submit(_make_job(f"urgent-{number}", 1, True)).unwrap()
    wait_until(lambda: any(s.task_id == key for a in agents for s in a.ran[-50:]), 60.0)
    return time.monotonic() - begun


def _open_tasks(manager: ShardManager, job: str) -> int:
    return int(json.loads(manager.status(job).unwrap())["open_tasks"])


def _make_job(job_id: str, tasks: int, urgent: bool) -> bytes:
    specs = [
        {"task_id": f"t{i}", "command": "run", "resources": SMALL, "run_time": 1}
        for i in range(tasks)
    ]
    job = {"job_id": job_id, "team": "a", "kind": "cut", "deadline": 0}
    return json.dumps({**job, "urgent": urgent, "tasks": specs}).encode()


@click.command()
@click.option("--seed", default=SEED, show_default=True)
@click.option("--tasks", default=10_000, show_default=True)
def main(seed: int, tasks: int) -> None:
    """Print the effects of quarantine and of a mass cancellation."""
    click.echo(f"seed {seed}, {VMS} VMs, one fails everything until {REPAIRED_AT} s")
    click.echo(
        "| quarantine | failed attempts | tasks given up | starts after repair "
        "| impossible job named |"
    )
    click.echo("| --- | ---: | ---: | ---: | --- |")
    for name in ("none", "consecutive"):
        click.echo(f"| {name} | {simulate_failing_worker(name, seed)} |")
    click.echo()
    click.echo(f"{tasks} running tasks of 10 jobs, 30 urgent jobs one after the other")
    click.echo("| cancellations | urgent start p50 s | longest s | all ended after s |")
    click.echo("| --- | ---: | ---: | ---: |")
    for wave in (False, True):
        waits, ended = measure_urgent(wave, tasks, 30)
        click.echo(
            f"| {tasks if wave else 0} | {waits[len(waits) // 2]:.2f} "
            f"| {waits[-1]:.2f} | {f'{ended:.1f}' if wave else '-'} |"
        )


if __name__ == "__main__":
    main()
