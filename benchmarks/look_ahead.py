"""Effect of look-ahead on large and small tasks, and its cost for each placement.

Run with ``PYTHONPATH=standins python benchmarks/look_ahead.py``. The scheduler is the
real one; the VMs are simulated. The first loads are those of the two deployments in
``docs/heavy-load-work.md``, the others add large tasks to a fleet whose CPU is mostly
reserved by small ones. The seed is fixed.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import groupby

import attrs

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import EndedTask, RunningTask, VmReport
from pollenkeel_jobs.core.metrics import KEPT_ROOMS
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.passes import Pass
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_kernel.core.clock import ManualClock

SEED = 20261206
#: Number of simulations that run at the same time.
PROCESSES = 2
TICK_SECONDS = 0.1
#: Megabytes of memory for each thousandth of a core, of tasks and of VMs.
MEMORY_FACTOR = 1.9
VM_MEMORY_FACTOR = 4.0
#: Standard deviations of the logarithms of the true run time in a step, and of declared
#: over true run times.
RUN_SPREAD = 0.2
DECLARED_SPREAD = 0.65
#: Intervals of higher load, in seconds from the first job, and the factor.
BURSTS = ((10.0, 15.0), (22.0, 26.0))
BURST_FACTOR = 2.0
SIZES = (40, 160, 640)
WARM_UP_SECONDS = 3.5
COST_SECONDS = 1.0


@attrs.frozen
class JobKind:
    """Jobs of one kind, as they arrive.

    Attributes
    ----------
    name : str
        Name of the kind, which is also that of its queue.
    per_second : float
        Arrival rate.
    steps : float
        Mean number of steps, at least one.
    tasks : int
        Number of tasks in a step.
    seconds : float
        Mean true run time of a task.
    cpu : tuple of int
        Bounds of the CPU of a task, in thousandths of a core.
    fills : bool
        Whether the tasks are best-effort.
    """

    name: str
    per_second: float
    steps: float
    tasks: int
    seconds: float
    cpu: tuple[int, int]
    fills: bool = False


@attrs.frozen
class Load:
    """A fleet and its jobs.

    Attributes
    ----------
    vm_cpu : tuple of int
        CPU of each VM, in thousandths of a core.
    kinds : tuple of JobKind
        Kinds of jobs.
    lasting_cpu : int
        CPU of each of the long-running tasks, in thousandths of a core.
    lasting_tasks : int
        Number of long-running tasks.
    slow_share : float
        Share of the tasks that take seven times as long.
    seconds : float
        Duration of the simulation.
    seeds : int
        Number of simulations, from the seed ``SEED`` on.
    """

    vm_cpu: tuple[int, ...]
    kinds: tuple[JobKind, ...]
    lasting_cpu: int
    lasting_tasks: int = 14
    slow_share: float = 0.0
    seconds: float = 28.0
    seeds: int = 2


def make_vm_cpu(count: int, cpu: int) -> tuple[int, ...]:
    """Return the CPU of VMs of which one in three is half as large again."""
    return tuple(cpu * 3 // 2 if number % 3 == 2 else cpu for number in range(count))


SHORT = JobKind("short", 5.9, 1.6, 10, 2.0, (540, 540))
SHORT_2 = JobKind("short", 8.0, 1.0, 10, 1.08, (290, 290))
LOADS_BY_NAME = {
    "Dílník": Load(
        make_vm_cpu(52, 32_000),
        (SHORT, JobKind("best-effort", 0.95, 2.0, 20, 5.4, (3500, 3500), fills=True)),
        6_400,
        seconds=24.0,
        seeds=1,
    ),
    "Sølvbæk": Load(
        make_vm_cpu(52, 16_000),
        (
            SHORT_2,
            JobKind("best-effort", 1.36, 1.0, 20, 2.8, (1800, 1800), fills=True),
        ),
        3_200,
        slow_share=0.03,
        seconds=24.0,
        seeds=1,
    ),
    "Dílník, 16 VMs, large tasks": Load(
        make_vm_cpu(16, 32_000),
        (
            attrs.evolve(SHORT, per_second=16.0),
            JobKind("large", 1.0, 1.0, 1, 5.0, (16_000, 28_000)),
        ),
        6_400,
        lasting_tasks=4,
    ),
    "Sølvbæk, 16 VMs, large tasks": Load(
        make_vm_cpu(16, 16_000),
        (
            attrs.evolve(SHORT_2, per_second=40.0),
            JobKind("large", 1.0, 1.0, 1, 5.0, (8_000, 14_000)),
        ),
        3_200,
        lasting_tasks=4,
        slow_share=0.03,
    ),
}


@attrs.define
class Run:
    """A run on a simulated VM."""

    task_id: str
    number: int
    began_at: float
    seconds: float


class SimulatedVm:
    """A VM that runs each task for its true run time, and reports every tick.

    Parameters
    ----------
    name : str
        Id of the VM.
    cpu : int
        Capacity in thousandths of a core.
    scheduler : Scheduler
        Scheduler that the VM reports to.
    """

    def __init__(self, name: str, cpu: int, scheduler: Scheduler) -> None:
        self.name = name
        self.vm = scheduler.add_vm(name, "tcp://nowhere")
        self._capacity = Demand(cpu, int(VM_MEMORY_FACTOR * cpu))
        self._scheduler = scheduler
        self.runs_by_id: dict[str, Run] = {}
        self._ended: list[EndedTask] = []
        self._end_count = 0

    def end(self, run: Run, how: str) -> None:
        """End a run."""
        del self.runs_by_id[run.task_id]
        self._end_count += 1
        self._ended.append(EndedTask(self._end_count, run.task_id, run.number, how))

    def report(self, now: float) -> None:
        """End the runs whose time has come, and report to the scheduler."""
        for run in list(self.runs_by_id.values()):
            if now >= run.began_at + run.seconds:
                self.end(run, "done")
        reply = self._scheduler.process_report(
            VmReport(
                self.name,
                0.0,
                self.name,
                self._scheduler.epoch,
                fenced_epoch=self._scheduler.epoch,
                worker=f"{self.name}/w~1",
                service="desk",
                zone=f"z{len(self.name) % 3}",
                state="ready",
                capacity=self._capacity,
                clock=now * 1000,
                running=[
                    RunningTask(
                        run.task_id,
                        run.number,
                        percent=int(100 * (now - run.began_at) / run.seconds),
                    )
                    for run in self.runs_by_id.values()
                ],
                ended=list(self._ended),
            ),
            may_grant_lease=True,
        )
        self._ended = [
            ended for ended in self._ended if ended.number > reply.recorded_through
        ]


@attrs.define
class KindResult:
    """Outcome of the jobs and tasks of one kind."""

    jobs: int = 0
    in_time: int = 0
    waits: list[float] = attrs.field(factory=list)


@attrs.define
class Result:
    """Outcome of a simulation.

    Attributes
    ----------
    kinds_by_name : dict of str to KindResult
        Outcome of each kind of job.
    kept : float
        Number of times that room was kept.
    reserved_share : float
        Mean share of the CPU that is reserved by placed tasks.
    plan_seconds : float
        Processor time of the passes.
    placements : int
        Number of placements in them.
    """

    kinds_by_name: dict[str, KindResult] = attrs.field(factory=dict)
    kept: float = 0.0
    reserved_share: float = 0.0
    plan_seconds: float = 0.0
    placements: int = 0


class Simulation:
    """Plays a load against the scheduler.

    Parameters
    ----------
    load : Load
        The fleet and its jobs.
    settings : SchedulingSettings
        Settings of the scheduler.
    seed : int
        Seed of the jobs and their run times.
    """

    def __init__(
        self, load: Load, settings: SchedulingSettings, seed: int = SEED
    ) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self.clock = ManualClock()
        self._scheduler = Scheduler(1, self.clock, InterferenceModel(), settings)
        self._vms = [
            SimulatedVm(f"vm-{number:03}", cpu, self._scheduler)
            for number, cpu in enumerate(load.vm_cpu)
        ]
        self._vms_by_record = {vm.vm: vm for vm in self._vms}
        self._seconds_by_task: dict[str, float] = {}
        self._objective_by_job: dict[str, float] = {}
        self._ended_at_by_job: dict[str, float] = {}
        self._reserved_shares: list[float] = []
        self._count = 0
        self._began_at = self.clock.now()
        self.result = Result({kind.name: KindResult() for kind in load.kinds})
        self._arrivals = [(self._iterate_arrivals(kind), kind) for kind in load.kinds]
        self._next_arrivals = [next(times) for times, _ in self._arrivals]
        lasting = Demand(load.lasting_cpu, int(MEMORY_FACTOR * load.lasting_cpu))
        step = StepSpec(load.lasting_tasks, lasting, long_running=True, spread_limit=1)
        self._scheduler.add_job(
            JobSpec("lasting-0", QueuePolicy("lasting", "desk"), "", (step,))
        )

    def run(self) -> Result:
        """Play the load; only jobs whose objective passes before its end count."""
        before = count_kept_rooms()
        while self.clock.now() < self._began_at + self._load.seconds:
            self.step()
        for job_id, objective_at in self._objective_by_job.items():
            ended_at = self._ended_at_by_job.get(job_id, float("inf"))
            if objective_at <= self.clock.now():
                kind = self.result.kinds_by_name[job_id.rpartition("-")[0]]
                kind.jobs += 1
                kind.in_time += ended_at <= objective_at
        for task in self._scheduler._jobs.ready:
            self._record_wait(task.task_id, self.clock.now() - task.ready_at)
        self.result.kept = count_kept_rooms() - before
        self.result.reserved_share = statistics.mean(self._reserved_shares)
        return self.result

    def _iterate_arrivals(self, kind: JobKind) -> Iterator[float]:
        at = 0.0
        while True:
            burst = any(begin <= at < end for begin, end in BURSTS)
            rate = kind.per_second * (BURST_FACTOR if burst else 1.0)
            at += self._rng.expovariate(rate)
            yield at

    def step(self) -> None:
        """Play one tick."""
        self.clock.advance(TICK_SECONDS)
        now = self.clock.now()
        self._scheduler.update_operations(Operations(1, (), frozenset()), now)
        for number, (times, kind) in enumerate(self._arrivals):
            while self._began_at + self._next_arrivals[number] <= now:
                self._next_arrivals[number] = next(times)
                self._add_job(kind)
        for vm in self._vms:
            vm.report(now)
        began = time.process_time()
        planned = self._scheduler.plan()
        self.result.plan_seconds += time.process_time() - began
        self._scheduler.confirm(planned)
        for job, status in planned.statuses_by_job.items():
            if status.final:
                self._ended_at_by_job[job.spec.job_id] = now
        self._execute(planned, now)
        used = sum(vm.vm.reserved_demand.cpu for vm in self._vms)
        self._reserved_shares.append(used / sum(self._load.vm_cpu))

    def _execute(self, planned: Pass, now: float) -> None:
        for batch in planned.order_batches:
            vm = self._vms_by_record[batch.vm]
            for stop in batch.stops:
                run = vm.runs_by_id.get(stop.task_id)
                if run is not None and run.number == stop.run:
                    vm.end(run, "stopped")
            for start in batch.starts:
                task = start.task
                self._record_wait(task.task_id, task.placed_at - task.ready_at)
                self.result.placements += 1
            for order in self._scheduler.make_starts(batch.vm, batch.starts).orders:
                seconds = self._seconds_by_task.get(order.task_id, float("inf"))
                run = Run(order.task_id, order.run, now, seconds)
                vm.runs_by_id[order.task_id] = run

    def _record_wait(self, task_id: str, seconds: float) -> None:
        name = task_id.partition(".")[0].rpartition("-")[0]
        kind = self.result.kinds_by_name.get(name)
        if kind is not None:
            kind.waits.append(seconds)

    def _add_job(self, kind: JobKind) -> None:
        rng, load = self._rng, self._load
        job_id = f"{kind.name}-{self._count}"
        self._count += 1
        cpu = rng.randint(*kind.cpu)
        demand = Demand(cpu, int(MEMORY_FACTOR * cpu))
        steps: list[StepSpec] = []
        longest = 0.0
        for number in range(1 + (rng.random() < kind.steps - 1.0)):
            seconds = kind.seconds * rng.lognormvariate(-0.125, 0.5)
            declared = seconds * rng.lognormvariate(0.0, DECLARED_SPREAD)
            works = [
                seconds
                * rng.lognormvariate(0.0, RUN_SPREAD)
                * (7.0 if rng.random() < load.slow_share else 1.0)
                for _ in range(kind.tasks)
            ]
            longest += max(works)
            for index, work in enumerate(works):
                self._seconds_by_task[f"{job_id}.0.{number}.{index}"] = work
            after = (number - 1,) if number else ()
            steps.append(
                StepSpec(kind.tasks, demand, declared, after, fills=kind.fills)
            )
        policy = QueuePolicy(
            kind.name, "desk", 1, attempts=3, stretch=2.0, target_latency=1.0
        )
        now = self.clock.now()
        self._objective_by_job[job_id] = now + 2.0 * longest + 1.0
        self._scheduler.add_job(
            JobSpec(job_id, policy, "", tuple(steps), accepted_at=now)
        )


def count_kept_rooms() -> float:
    """Return how often kept room has ended so far in this process."""
    return sum(
        sample.value
        for metric in KEPT_ROOMS.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


def play(item: tuple[str, bool, int]) -> Result:
    """Play a load of ``LOADS_BY_NAME`` with or without look-ahead."""
    name, look_ahead, seed = item
    settings = SchedulingSettings(look_ahead=look_ahead)
    return Simulation(LOADS_BY_NAME[name], settings, seed).run()


def merge(results: Iterable[Result]) -> Result:
    """Return the results of several seeds as one."""
    merged = Result()
    shares = []
    for result in results:
        shares.append(result.reserved_share)
        merged.kept += result.kept
        for name, found in result.kinds_by_name.items():
            kind = merged.kinds_by_name.setdefault(name, KindResult())
            kind.jobs += found.jobs
            kind.in_time += found.in_time
            kind.waits += found.waits
    merged.reserved_share = statistics.mean(shares)
    return merged


def measure_cost(item: tuple[int, bool]) -> float:
    """Return the microseconds of a pass for each placement on a fleet of a size."""
    size, look_ahead = item
    load = Load(
        make_vm_cpu(size, 32_000),
        (
            JobKind("short", size * 0.3, 1.0, 10, 2.0, (3_000, 3_000)),
            JobKind("large", size * 0.06, 1.0, 1, 4.0, (16_000, 28_000)),
        ),
        6_400,
    )
    simulation = Simulation(load, SchedulingSettings(look_ahead=look_ahead))
    for _ in range(round(WARM_UP_SECONDS / TICK_SECONDS)):
        simulation.step()
    result = simulation.result
    seconds, placements = result.plan_seconds, result.placements
    for _ in range(round(COST_SECONDS / TICK_SECONDS)):
        simulation.step()
    passed = result.plan_seconds - seconds
    return passed / max(1, result.placements - placements) * 1e6


def print_loads(pool: ProcessPoolExecutor) -> None:
    """Print a row for each load, kind of job and setting."""
    print(
        "| load | kind | look-ahead | jobs | in time | mean wait s | longest wait s"
        " | CPU reserved | room kept |"
    )
    print("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    items = [
        (name, on, SEED + number)
        for name, load in LOADS_BY_NAME.items()
        for on in (False, True)
        for number in range(load.seeds)
    ]
    played = zip(items, pool.map(play, items), strict=True)
    for (name, on), group in groupby(played, key=lambda pair: pair[0][:2]):
        result = merge(found for _, found in group)
        for kind, found in result.kinds_by_name.items():
            share = f"{found.in_time / found.jobs:.1%}" if found.jobs else "-"
            print(
                f"| {name} | {kind} | {'on' if on else 'off'} | {found.jobs}"
                f" | {share}"
                f" | {statistics.mean(found.waits):.2f} | {max(found.waits):.1f}"
                f" | {result.reserved_share:.1%} | {result.kept:.0f} |"
            )


def print_costs(pool: ProcessPoolExecutor) -> None:
    """Print the cost of a placement for each size of fleet."""
    print("| VMs | off, µs per placement | on, µs per placement |")
    print("| ---: | ---: | ---: |")
    items = [(size, on) for size in SIZES for on in (False, True)]
    costs = list(pool.map(measure_cost, items))
    for number, size in enumerate(SIZES):
        off, on = costs[2 * number : 2 * number + 2]
        print(f"| {size} | {off:.0f} | {on:.0f} |")


def main() -> None:
    """Print both tables."""
    began = time.monotonic()
    with ProcessPoolExecutor(PROCESSES) as pool:
        print_loads(pool)
        print()
        print_costs(pool)
    print(f"{time.monotonic() - began:.0f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
