"""Processor time of the leader for one report of a VM, and for learning from it.

Run with ``PYTHONPATH=standins python benchmarks/leader_reports.py``. The first table
has the time to decode a report, apply it and encode the reply, for several fleets whose
VMs each run six tasks. The second has one update of the regression of a
latency-critical image, which a report causes for each of them on its VM. The seed is
fixed.
"""

from __future__ import annotations

import random
import time

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import RunningTask, VmReport
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_kernel.core.codec import decode, encode
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares

SIZES = (20, 160, 640)
RUNS_PER_VM = 6
ROUNDS = 5
#: Seconds between two reports of an agent.
REPORT_INTERVAL = 0.4
FEATURES = (10, 30, 60)
#: Number of best-effort images whose use changes between two reports.
CHANGED_FEATURES = 5
UPDATES = 2_000
CAPACITY = Demand(64_000, 250_000)


class ReportingFleet:
    """VMs that report their runs to a scheduler.

    Parameters
    ----------
    size : int
        Number of VMs.
    """

    def __init__(self, size: int) -> None:
        self._rng = random.Random(1)
        self._clock = ManualClock()
        self._scheduler = Scheduler(1, self._clock, InterferenceModel())
        self._running_by_vm: dict[str, list[RunningTask]] = {}
        for number in range(size):
            self._scheduler.add_vm(f"vm-{number}", "tcp://nowhere")
            self._running_by_vm[f"vm-{number}"] = []
        self.report_all()
        self._start_tasks(size * RUNS_PER_VM)

    def _start_tasks(self, count: int) -> None:
        step = StepSpec(count, Demand(7_000, 13_000), 3.4)
        spec = JobSpec("job", QueuePolicy("queue", "desk"), "", (step,))
        self._scheduler.update_operations(Operations(), self._clock.now())
        self._scheduler.add_job(spec)
        planned = self._scheduler.plan()
        self._scheduler.confirm(planned)
        for batch in planned.order_batches:
            orders = self._scheduler.make_starts(batch.vm, batch.starts).orders
            runs = [RunningTask(order.task_id, order.run) for order in orders]
            self._running_by_vm[batch.vm.name] += runs

    def encode_reports(self) -> list[bytes]:
        """Return the encoded reports of all VMs for the next interval."""
        self._clock.advance(REPORT_INTERVAL)
        return [encode(self._make_report(name)) for name in self._running_by_vm]

    def _make_report(self, name: str) -> VmReport:
        return VmReport(
            name,
            0.0,
            name,
            1,
            fenced_epoch=1,
            worker=f"{name}/w~1",
            service="desk",
            zone="z1",
            capacity=CAPACITY,
            clock=self._clock.now() * 1000,
            running=[
                RunningTask(run.task_id, run.run, "", self._rng.randrange(100), 5_000.0)
                for run in self._running_by_vm[name]
            ],
        )

    def report_all(self) -> float:
        """Let the scheduler handle a report of each VM; return the seconds for one."""
        reports = self.encode_reports()
        began = time.process_time()
        for data in reports:
            report = decode(data).unwrap()
            assert isinstance(report, VmReport)
            encode(self._scheduler.process_report(report, True))
        return (time.process_time() - began) / len(reports)


def measure_update(features: int) -> float:
    """Return the seconds of one update of a regression."""
    rng = random.Random(1)
    names = [f"image-{number}" for number in range(features)]
    model = RecursiveLeastSquares(0.999, 400.0)
    for name in names:
        model.set_weight(name, 2.0, 400.0)
    updates = [
        {name: rng.uniform(-0.1, 0.1) for name in rng.sample(names, CHANGED_FEATURES)}
        for _ in range(UPDATES)
    ]
    began = time.process_time()
    for changes in updates:
        model.update(changes, rng.uniform(-0.3, 0.3))
    return (time.process_time() - began) / UPDATES


def main() -> None:
    """Print both tables."""
    print("| VMs | one report, ms |")
    print("| ---: | ---: |")
    for size in SIZES:
        fleet = ReportingFleet(size)
        seconds = min(fleet.report_all() for _ in range(ROUNDS))
        print(f"| {size} | {seconds * 1e3:.3f} |")
    print()
    print("| best-effort images | one update, ms |")
    print("| ---: | ---: |")
    for features in FEATURES:
        print(f"| {features} | {measure_update(features) * 1e3:.3f} |")


if __name__ == "__main__":
    main()
