"""Placement policies for batch tasks, compared with baselines.

Run: ``python benchmarks/placement.py``. Two shard owners place tasks using
announcements that are up to one second old; the real ledger of each VM admits them. The
actual usage of a task is its declared size times a factor of its kind, and each kind
slows each service down by its own factor. A simulated VM only computes the latency of
its service and the progress of tasks.
"""

from __future__ import annotations

import math
import random

import attrs
import click
from fake_upstreams import NO_CLIENT

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.hints import CapacityHints
from pollenkeel_entry.batch.planning import Planner
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_kernel.config.model import ServiceConfig, TeamConfig
from pollenkeel_kernel.core.messages import (
    Announce,
    Resources,
    TaskKey,
    UpstreamStatus,
)
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS

SEED = 20261204
#: Seconds in a simulation step.
STEP_SECONDS = 0.5
STEPS = 3600
#: Steps at the start that the results leave out.
WARM_UP_STEPS = 600
VMS = 24
VM_SIZE = Resources(32.0, 125.0, 0)
SERVICE_SIZE = Resources(8.0, 16.0, 0)
SLOTS = 8
PROMISED = {"quotes": 0.25, "stock": 0.4}
BASE_LATENCY = {"quotes": 0.08, "stock": 0.12}
#: Increase of the logarithm of a service's latency per task of a batch kind.
INTERFERENCE = {
    ("quotes", "cutting"): 0.02,
    ("quotes", "render"): 0.25,
    ("stock", "cutting"): 0.2,
    ("stock", "render"): 0.03,
    ("quotes", "labels"): 0.03,
    ("stock", "labels"): 0.02,
}
USE_FACTOR = {"cutting": 0.8, "render": 1.6, "labels": 1.2}
REQUESTS_PER_STEP = 20
TEAMS = {"batch": TeamConfig(1.0)}
SERVICES = {name: ServiceConfig(promised) for name, promised in PROMISED.items()}


@attrs.define
class SimulatedVm:
    """Simulated VM with its ledger, tasks and service."""

    name: str
    service: str
    ledger: Ledger
    remaining_by_key: dict[TaskKey, float] = attrs.field(factory=dict)
    specs_by_key: dict[TaskKey, tuple[str, Resources]] = attrs.field(factory=dict)
    record: AgentRecord | None = None
    p99: float = 0.0

    def announce(self, now: float, load: float) -> None:
        """Record the current state as the latest announcement."""
        kinds: dict[str, int] = {}
        for kind, _ in self.specs_by_key.values():
            kinds[kind] = kinds.get(kind, 0) + 1
        free = round(SLOTS * (1 - load))
        status = UpstreamStatus(self.service, SLOTS, free, False, self.p99)
        message = Announce(
            self.name, now, "e", self.name, "d", "r", "tcp://x", "active", 1,
            [status], VM_SIZE, self.ledger.free(), kinds, True,
        )  # fmt: skip
        self.record = AgentRecord(message, NO_CLIENT, now + 5)

    def progress(self) -> float:
        """Return the tasks' relative speed: below 1 if they need too many cores."""
        used = sum(
            size.cores * USE_FACTOR[kind] for kind, size in self.specs_by_key.values()
        )
        return min(1.0, (VM_SIZE.cores - SERVICE_SIZE.cores) / max(used, 1e-9))

    def serve(self, generator: random.Random, load: float) -> list[float]:
        """Return the latencies of one step as fractions of the promised time."""
        pressure = sum(
            INTERFERENCE[self.service, kind] for kind, _ in self.specs_by_key.values()
        )
        pressure += 2 * (1 / self.progress() - 1)
        scale = BASE_LATENCY[self.service] * (0.7 + load) * math.exp(pressure * load)
        samples = [
            scale * generator.lognormvariate(0, 0.3) for _ in range(REQUESTS_PER_STEP)
        ]
        # The announced p99 is averaged over about the last 20 steps.
        self.p99 += (scale * math.exp(2.33 * 0.3) - self.p99) / 20
        return [sample / PROMISED[self.service] for sample in samples]


@attrs.define
class Totals:
    """Results of one simulation after the warm-up."""

    starts: int = 0
    refused: int = 0
    work: float = 0.0
    ratios: list[float] = attrs.field(factory=list)


class Owner:
    """Shard owner with its own capacity hints; starts reach the ledger immediately."""

    def __init__(self, number: int, placement: str) -> None:
        self._number = number
        self._placement = PLACEMENTS.get(placement)(number)
        self._planner = Planner(TASK_ORDERS.get("fcfs")(), self._placement)
        self._hints = CapacityHints()
        self.state = ShardState()

    def submit(self, name: str, kind: str, spec: rec.TaskSpec, now: float) -> None:
        """Queue a job with one task."""
        event = ev.JobSubmitted(name, "batch", kind, 0.0, False, "d", now, 0, [spec])
        apply(event, self.state)
        self._planner.add(self.state.tasks_by_key[f"{name}:t"], self.state)

    def start(self, vms: dict[str, SimulatedVm], now: float, totals: Totals) -> None:
        """Plan and send starts; rejected tasks are requeued."""
        for vm in vms.values():
            for key, (kind, size) in vm.specs_by_key.items():
                if key.task_id in self.state.tasks_by_key:
                    used = Resources(size.cores * USE_FACTOR[kind], size.memory_gb)
                    self._placement.observe_use(kind, size, used)
        records = [vm.record for vm in vms.values() if vm.record is not None]
        hints = [self._hints.view(record, SERVICES) for record in records]
        for start in self._planner.plan(self.state, hints, TEAMS, 400).starts:
            task = self.state.tasks_by_key[start.key]
            kind = self.state.jobs_by_id[task.job_id].kind
            size, vm = task.spec.resources, vms[start.vm.agent_id]
            totals.starts += 1
            attempt = task.attempts + 1
            self._hints.reserve(vm.name, TaskKey(start.key, attempt), size, now, kind)
            apply(
                ev.AttemptStarted(start.key, attempt, vm.name, "v", "d", 1, now, now),
                self.state,
            )
            key = TaskKey(start.key, attempt)
            if vm.ledger.reserve_task(key, size).is_err():
                totals.refused += 1
                self.end(key, rec.REFUSED)
                self._planner.add(task, self.state)
                continue
            vm.remaining_by_key[key] = task.spec.run_time
            vm.specs_by_key[key] = (kind, size)

    def end(self, key: TaskKey, outcome: str) -> None:
        """Record the end of an attempt."""
        apply(ev.AttemptEnded(key.task_id, key.attempt, outcome, 1000), self.state)


def make_vms() -> dict[str, SimulatedVm]:
    """Return the VMs, with the services assigned in turn."""
    vms = {}
    for index in range(VMS):
        service = list(PROMISED)[index % len(PROMISED)]
        ledger = Ledger(VM_SIZE)
        ledger.add_upstream(service, SLOTS, 0, SERVICE_SIZE)
        ledger.record_running([])
        vms[f"m{index}"] = SimulatedVm(f"m{index}", service, ledger)
    return vms


def run(placement: str, seed: int, demand: float) -> Totals:
    """Simulate one placement; ``demand`` is the offered share of the batch cores."""
    generator, totals, vms = random.Random(seed), Totals(), make_vms()
    owners = [Owner(0, placement), Owner(1, placement)]
    capacity = VMS * (VM_SIZE.cores - SERVICE_SIZE.cores)
    core_seconds, count = 0.0, 0
    for step in range(STEPS):
        now = step * STEP_SECONDS
        load = 0.6 + 0.2 * math.sin(step / 200)
        if step == WARM_UP_STEPS:
            totals = Totals()
        core_seconds += demand * capacity * STEP_SECONDS
        while core_seconds > 0:
            kind = generator.choice(list(USE_FACTOR))
            size = Resources(float(generator.choice((1, 2, 4, 8))), 2.0, 0)
            seconds = generator.uniform(10, 60)
            core_seconds -= seconds * size.cores * USE_FACTOR[kind]
            spec = rec.TaskSpec("t", "run", size, seconds)
            owners[count % 2].submit(f"j{count}", kind, spec, now)
            count += 1
        for index, vm in enumerate(vms.values()):
            if vm.record is None or (step + index) % 2 == 0:
                vm.announce(now, load)
                vm.ledger.record_running(
                    (key, size, attrs.evolve(size, cores=size.cores * USE_FACTOR[kind]))
                    for key, (kind, size) in vm.specs_by_key.items()
                )
        for owner in owners:
            owner.start(vms, now, totals)
        for vm in vms.values():
            _advance(vm, owners, totals)
            totals.ratios += vm.serve(generator, load)
    totals.ratios.sort()
    return totals


def _advance(vm: SimulatedVm, owners: list[Owner], totals: Totals) -> None:
    speed = vm.progress()
    for key in list(vm.remaining_by_key):
        kind, size = vm.specs_by_key[key]
        totals.work += STEP_SECONDS * speed * size.cores * USE_FACTOR[kind]
        vm.remaining_by_key[key] -= STEP_SECONDS * speed
        if vm.remaining_by_key[key] <= 0:
            del vm.remaining_by_key[key], vm.specs_by_key[key]
            vm.ledger.release_task(key)
            for owner in owners:
                owner.end(key, rec.DONE)


@click.command()
@click.option("--seed", default=SEED, show_default=True)
def main(seed: int) -> None:
    """Print rejected starts, the services' tail latencies and the batch work done."""
    click.echo(
        f"seed {seed}, {VMS} VMs, "
        f"{(STEPS - WARM_UP_STEPS) * STEP_SECONDS:g} s after warm-up"
    )
    click.echo(
        "| demand | placement | starts | refused | p99 / promise | p99.9 / promise "
        "| in time | batch core-seconds |"
    )
    click.echo("| ---: | --- | " + " | ".join(["---:"] * 6) + " |")
    for demand in (0.5, 0.7, 1.2):
        for name in ("first-fit", "two-choices", "spread", "learned"):
            totals = run(name, seed, demand)
            ratios = totals.ratios
            in_time = sum(1 for r in ratios if r <= 1.0) / len(ratios)
            click.echo(
                f"| {demand:g} | {name} | {totals.starts} "
                f"| {totals.refused / max(1, totals.starts):.1%} "
                f"| {ratios[int(0.99 * len(ratios))]:.2f} "
                f"| {ratios[int(0.999 * len(ratios))]:.2f} | {in_time:.2%} "
                f"| {totals.work:.0f} |"
            )


if __name__ == "__main__":
    main()
