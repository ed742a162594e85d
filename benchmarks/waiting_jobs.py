"""Time of a scheduling pass over jobs that fit on no VM.

Run with ``PYTHONPATH=standins python benchmarks/waiting_jobs.py``. Half of the VMs have
memory left and hardly any CPU, the others CPU and hardly any memory. A kind of demand
is a label that no VM has, a size that needs both, or an image of best-effort tasks; in
the last column each job has a size of its own. The seed is fixed; each figure is the
median of several passes.
"""

from __future__ import annotations

import random
import statistics
import time

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import RunningTask, VmReport
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_kernel.core.clock import ManualClock

SEED = 20261205
EPOCH = 1
VMS = 40
CORES = Demand(64_000, 250_000)
#: Sizes of the tasks that run on the two halves of the VMs.
LITTLE_CPU_LEFT = Demand(60_000, 20_000)
LITTLE_MEMORY_LEFT = Demand(5_000, 240_000)
JOBS = (10, 100, 1_000, 10_000)
KINDS = (1, 10, 200, None)
PASSES = 9
#: Seconds between two passes of the simulated clock.
PASS_SECONDS = 0.1


def make_sized_step(rng: random.Random) -> StepSpec:
    """Return a step of a random size that needs both CPU and memory."""
    size = Demand(rng.randrange(5_000, 40_000), rng.randrange(20_000, 150_000))
    return StepSpec(1, size, 5.0)


def make_step(kind: int) -> StepSpec:
    """Return the step of a kind; a third each waits for a label, for room, for load."""
    match kind % 3:
        case 0:
            return StepSpec(1, Demand(1_000, 1_000), 5.0, label=f"label-{kind}")
        case 1:
            return make_sized_step(random.Random(kind))
        case _:
            size = Demand(8_000, 20_000)
            return StepSpec(1, size, 5.0, fills=True, image=f"i{kind}")


class Bench:
    """A scheduler with full VMs."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.scheduler = Scheduler(EPOCH, self.clock, InterferenceModel())
        self._names = [f"vm-{number}" for number in range(VMS)]
        self._running: dict[str, list[RunningTask]] = {n: [] for n in self._names}
        for name in self._names:
            self.scheduler.add_vm(name, "tcp://nowhere")
        self._report()
        self._fill()

    def _fill(self) -> None:
        queue = QueuePolicy("busy", "desk")
        for number, size in enumerate((LITTLE_CPU_LEFT, LITTLE_MEMORY_LEFT)):
            step = StepSpec(VMS // 2, size, 1e6, spread_limit=1)
            self.scheduler.add_job(JobSpec(f"busy-{number}", queue, "", (step,)))
        planned = self.scheduler.plan()
        self.scheduler.confirm(planned)
        for batch in planned.order_batches:
            orders = self.scheduler.make_starts(batch.vm, batch.starts).orders
            self._running[batch.vm.name] = [
                RunningTask(order.task_id, order.run) for order in orders
            ]
        assert all(len(runs) == 1 for runs in self._running.values())

    def _report(self) -> None:
        now = self.clock.now()
        self.scheduler.update_operations(Operations(1, (), frozenset()), now)
        percent = int(now) % 100
        for name in self._names:
            report = VmReport(
                name,
                0.0,
                name,
                EPOCH,
                fenced_epoch=EPOCH,
                worker=f"{name}/w~1",
                service="desk",
                zone="z",
                state="ready",
                capacity=CORES,
                labels=["a"],
                clock=now * 1000,
                running=[
                    RunningTask(run.task_id, run.run, percent=percent)
                    for run in self._running[name]
                ],
            )
            self.scheduler.process_report(report, may_grant_lease=True)

    def add_jobs(self, count: int, kinds: int | None) -> None:
        """Add waiting jobs of one task each, in three queues of different priority.

        Without a number of kinds each job has a size of its own.
        """
        rng = random.Random(SEED)
        for number in range(count):
            priority = rng.randrange(3)
            queue = QueuePolicy(
                f"queue-{priority}", "desk", priority, stretch=rng.uniform(1.0, 20.0)
            )
            step = make_step(rng.randrange(kinds)) if kinds else make_sized_step(rng)
            self.scheduler.add_job(JobSpec(f"job-{number}", queue, "", (step,)))

    def run_pass(self) -> float:
        """Return the processor time of one pass, in milliseconds."""
        self.clock.advance(PASS_SECONDS)
        self._report()
        began = time.process_time()
        planned = self.scheduler.plan()
        taken = (time.process_time() - began) * 1e3
        self.scheduler.confirm(planned)
        return taken


def measure(jobs: int, kinds: int | None) -> float:
    """Return the median processor time of a pass, in milliseconds."""
    bench = Bench()
    bench.add_jobs(jobs, kinds)
    return statistics.median(bench.run_pass() for _ in range(PASSES))


def main() -> None:
    """Print a row for each number of waiting jobs."""
    print("| waiting jobs |", " | ".join(f"{k or 'own'} kinds, ms" for k in KINDS), "|")
    print("| ---: |" + " ---: |" * len(KINDS))
    for jobs in JOBS:
        cells = " | ".join(f"{measure(jobs, kinds):.2f}" for kinds in KINDS)
        print(f"| {jobs} | {cells} |")


if __name__ == "__main__":
    main()
