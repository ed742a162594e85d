"""Interference control compared with two baselines on one simulated VM.

Run: ``python benchmarks/interference.py``. The simulated VM slows a service down by a
factor that depends on the pair of service and batch kind and on the load, and reports
its latency with a lag. Phases: steady load, waves of tasks that interfere strongly, and
a shift of the load.
"""

from __future__ import annotations

import math
import random
from collections import deque

import attrs
import click

from pollenkeel_kernel.policy.interference import (
    CONTROLLERS,
    Action,
    ActionKind,
    BatchTask,
    InterferenceSettings,
    ServiceSample,
)

SEED = 20261204
#: Seconds in a step, and seconds after which a latency is reported.
STEP_SECONDS = 1.0
LAG_SECONDS = 4.0
#: Promised time and latency without interference of each service, in seconds.
PROMISED = {"quotes": 0.25, "stock": 0.4}
BASE_LATENCY = {"quotes": 0.04, "stock": 0.06}
CORES = 8.0
#: Increase of the logarithm of a service's latency per core of a batch kind, at full
#: load.
INTERFERENCE_PER_CORE = {
    ("quotes", "cutting"): 0.015,
    ("quotes", "render"): 0.11,
    ("quotes", "labels"): 0.03,
    ("stock", "cutting"): 0.06,
    ("stock", "render"): 0.03,
    ("stock", "labels"): 0.01,
}
PHASES = ("quiet", "wave", "load shift")
PHASE_STEPS = 600
REQUESTS_PER_STEP = 40


@attrs.define
class SimulatedVm:
    """Simulated VM with two services and batch tasks of three kinds.

    The dictionaries hold results by phase, except ``tasks_by_id``.
    """

    random: random.Random
    tasks_by_id: dict[str, BatchTask] = attrs.field(factory=dict)
    reports: deque[ServiceSample] = attrs.field(factory=deque)
    latencies: dict[str, list[tuple[str, float]]] = attrs.field(factory=dict)
    work: dict[str, float] = attrs.field(factory=dict)
    evictions: dict[str, int] = attrs.field(factory=dict)
    changes: dict[str, int] = attrs.field(factory=dict)
    started: int = 0

    def load(self, phase: str, step: int) -> float:
        """Return the fraction of the services' slots that are in use."""
        if phase == "load shift":
            return 0.45 if step < PHASE_STEPS // 3 else 0.85
        return 0.45 + 0.1 * math.sin(step / 60)

    def fill(self, phase: str, step: int) -> None:
        """Start batch tasks until four run; waves bring strongly interfering ones."""
        noisy = phase == "wave" and (step // 60) % 2 == 0
        if phase == "wave" and not noisy:
            for task in list(self.tasks_by_id.values()):
                if task.kind == "render" and step % 60 == 0:
                    del self.tasks_by_id[task.task_id]
        while len(self.tasks_by_id) < 4:
            self.started += 1
            kind = "render" if noisy else ("cutting", "labels")[self.started % 2]
            task = BatchTask(f"t{self.started}", kind, CORES, 1.0)
            self.tasks_by_id[task.task_id] = task
        if noisy and step % 60 == 0:
            for task_id in list(self.tasks_by_id)[:2]:
                del self.tasks_by_id[task_id]
            self.fill(phase, step + 1)

    def serve(self, phase: str, step: int, now: float) -> None:
        """Simulate the requests of one step and queue the delayed report."""
        load = self.load(phase, step)
        for service, promised in PROMISED.items():
            pressure = sum(
                INTERFERENCE_PER_CORE[service, task.kind] * task.cores * task.share
                for task in self.tasks_by_id.values()
            )
            scale = BASE_LATENCY[service] * (0.7 + load) * math.exp(pressure * load)
            samples = sorted(
                scale * self.random.lognormvariate(0.0, 0.35)
                for _ in range(REQUESTS_PER_STEP)
            )
            kept = self.latencies.setdefault(phase, [])
            kept.extend((service, value) for value in samples)
            p99 = samples[int(0.99 * (len(samples) - 1))]
            self.reports.append(ServiceSample(service, now, p99, promised, load))
        used = sum(task.cores * task.share for task in self.tasks_by_id.values())
        self.work[phase] = self.work.get(phase, 0.0) + used * STEP_SECONDS

    def apply(self, phase: str, action: Action) -> None:
        """Carry out one decision."""
        task = self.tasks_by_id[action.task_id]
        if action.kind is ActionKind.EVICT:
            del self.tasks_by_id[action.task_id]
            self.evictions[phase] = self.evictions.get(phase, 0) + 1
        elif action.kind is not ActionKind.CHECKPOINT:
            self.tasks_by_id[action.task_id] = attrs.evolve(task, share=action.share)
            self.changes[phase] = self.changes.get(phase, 0) + 1


def run(name: str, seed: int) -> SimulatedVm:
    """Run one controller through all phases."""
    vm = SimulatedVm(random.Random(seed))
    controller = CONTROLLERS.get(name)(InterferenceSettings())
    now = 0.0
    for phase in PHASES:
        for step in range(PHASE_STEPS):
            now += STEP_SECONDS
            vm.fill(phase, step)
            vm.serve(phase, step, now)
            while vm.reports and vm.reports[0].measured_at <= now - LAG_SECONDS:
                controller.observe(vm.reports.popleft())
            for action in controller.decide(now, list(vm.tasks_by_id.values())):
                vm.apply(phase, action)
    return vm


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of values in ascending order."""
    return values[min(len(values) - 1, int(fraction * len(values)))]


@click.command()
@click.option("--seed", default=SEED, show_default=True)
def main(seed: int) -> None:
    """Print latency, batch work and evictions of each controller and phase."""
    click.echo(
        f"seed {seed}, lag {LAG_SECONDS:g} s, "
        f"{PHASE_STEPS} steps of {STEP_SECONDS:g} s a phase"
    )
    click.echo(
        "| controller | phase | p99 / promise | p99.9 / promise | in time "
        "| batch core-seconds | evictions | share changes |"
    )
    click.echo("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for name in ("none", "fixed-cap", "learned"):
        vm = run(name, seed)
        for phase in PHASES:
            ratios = sorted(v / PROMISED[s] for s, v in vm.latencies[phase])
            in_time = sum(1 for ratio in ratios if ratio <= 1.0) / len(ratios)
            click.echo(
                f"| {name} | {phase} | {percentile(ratios, 0.99):.2f} "
                f"| {percentile(ratios, 0.999):.2f} | {in_time:.2%} "
                f"| {vm.work[phase]:.0f} | {vm.evictions.get(phase, 0)} "
                f"| {vm.changes.get(phase, 0)} |"
            )


if __name__ == "__main__":
    main()
