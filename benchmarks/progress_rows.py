"""Measures the rows that progress of jobs takes and the time to load them.

Run with ``PYTHONPATH=standins python benchmarks/progress_rows.py``. A scheduler places
the tasks of one job on simulated VMs until the job is done or a row exceeds the limit
of the store. Then a new leader reads the rows of many jobs from the stand-in of the
store, up to its first plan. The seed of the run times is fixed.
"""

from __future__ import annotations

import argparse
import gc
import random
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast

import attrs

from pollenkeel_jobs.core.advice import AdviceService
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.messages import EndedTask, RunningTask, VmReport
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import (
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.progress_rows import join_progress_rows
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_jobs.core.tables import Row, RowWrite, Transaction
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_platform.store import PlatformTables
from pollenkeel_standins.metadata_store import MetadataStore

SEED = 7
#: Limit of the platform's store.
ROW_BYTES = 65_536
TICK_SECONDS = 0.1
#: Shortest and longest run time of a task, in seconds.
RUN_SECONDS = (0.3, 3.0)
LOADED_JOBS = 10_000
#: Rows of one transaction of the store.
TRANSACTION_ROWS = 50
STORE_THREADS = 4
TASK = StepSpec(1, Demand(1, 1), 1.0)


class SimulatedVm:
    """A VM whose worker runs all starts and reports each tick."""

    def __init__(self, number: int, site: Site) -> None:
        self.name = f"vm-{number}"
        self._site = site
        self._ends_by_run: dict[tuple[str, int], float] = {}
        self._ended: list[EndedTask] = []
        self._count = 0
        self.vm = site.scheduler.add_vm(self.name, "tcp://nowhere")

    def start(self, task_id: str, run: int) -> None:
        """Start a run."""
        seconds = self._site.rng.uniform(*RUN_SECONDS)
        self._ends_by_run[task_id, run] = self._site.clock.now() + seconds

    def report(self) -> None:
        """Report all runs and drop the acknowledged ends."""
        now = self._site.clock.now()
        for task_id, run in [r for r, end in self._ends_by_run.items() if end <= now]:
            del self._ends_by_run[task_id, run]
            self._count += 1
            self._ended.append(EndedTask(self._count, task_id, run, "done", ""))
        report = VmReport(
            self.name,
            now,
            self.name,
            self._site.scheduler.epoch,
            fenced_epoch=self._site.scheduler.epoch,
            worker=f"{self.name}/w~1",
            service="desk",
            zone="z1",
            state="ready",
            capacity=Demand(self._site.slots, 1_000_000),
            clock=now * 1000,
            running=[RunningTask(*run) for run in self._ends_by_run],
            ended=list(self._ended),
        )
        through = self._site.scheduler.process_report(report, True).recorded_through
        self._ended = [ended for ended in self._ended if ended.number > through]


class Site:
    """A scheduler with simulated VMs, and counts of what it writes."""

    def __init__(self, vms: int, slots: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(SEED)
        self.slots = slots
        self.scheduler = Scheduler(1, self.clock, InterferenceModel())
        self._vms_by_name = {
            vm.name: vm for vm in (SimulatedVm(n, self) for n in range(vms))
        }
        self.rows_by_key: dict[str, bytes] = {}
        self.transactions = self.rows = self.bytes = self.largest = 0
        self.plan_seconds: list[float] = []

    def step(self) -> None:
        """Do one pass of the scheduler."""
        self.clock.advance(TICK_SECONDS)
        self.scheduler.update_operations(Operations(1), self.clock.now())
        for vm in self._vms_by_name.values():
            vm.report()
        began = time.perf_counter()
        planned = self.scheduler.plan()
        self.plan_seconds.append(time.perf_counter() - began)
        writes = [write for write in planned.writes if write.table == PROGRESS]
        self.transactions += bool(writes)
        for write in writes:
            size = len(write.value or b"")
            self.rows += 1
            self.bytes += size
            self.largest = max(self.largest, size)
            if write.value is None:
                self.rows_by_key.pop(write.key, None)
            else:
                self.rows_by_key[write.key] = write.value
        self.scheduler.confirm(planned)
        for batch in planned.order_batches:
            orders = self.scheduler.make_starts(batch.vm, batch.starts).orders
            for order in orders:
                self._vms_by_name[batch.vm.name].start(order.task_id, order.run)

    def load(self, specs: list[JobSpec]) -> float:
        """Return the seconds in which a new scheduler loads the recorded jobs."""
        rows = [Row(PROGRESS, key, value, 1) for key, value in self.rows_by_key.items()]
        encoded = [(spec.job_id, encode_job(spec)) for spec in specs]
        scheduler = Scheduler(2, self.clock, InterferenceModel())
        began = time.perf_counter()
        progress = join_progress_rows(iter(rows))
        scheduler.load((row, progress.get(job_id)) for job_id, row in encoded)
        scheduler.plan()
        return time.perf_counter() - began


@attrs.frozen
class Case:
    """One job, and the fleet that runs it."""

    name: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    interval: float = 0.0
    slots: int = 50
    vms: int = 8


CASES = (
    Case("20 tasks", (attrs.evolve(TASK, count=20),)),
    Case("1,000 tasks", (attrs.evolve(TASK, count=1_000),)),
    Case("10,000 tasks", (attrs.evolve(TASK, count=10_000),), slots=500),
    Case(
        "2 x 8 tasks, 220 times",
        (attrs.evolve(TASK, count=8), attrs.evolve(TASK, count=8, after=(0,))),
        occurrences=220,
        interval=0.3,
    ),
    Case("1 task, 20,000 times", (TASK,), occurrences=20_000, interval=0.002),
)


def make_spec(case: Case, now: float, job_id: str = "job") -> JobSpec:
    """Return the job of a case."""
    queue = QueuePolicy("queue", "desk", attempts=3)
    first_at = now + 1.0 if case.occurrences else 0.0
    times = (case.occurrences, first_at, case.interval)
    return JobSpec(job_id, queue, "x" * 100, case.steps, *times, accepted_at=now)


def play(case: Case) -> None:
    """Run a job and print a line of the table."""
    site = Site(case.vms, case.slots)
    spec = make_spec(case, site.clock.now())
    site.scheduler.add_job(spec)
    load_seconds = 0.0
    total = max(1, case.occurrences) * sum(step.count for step in case.steps)
    while site.scheduler.find_status(spec.job_id) is not JobStatus.DONE:
        site.step()
        if site.largest > ROW_BYTES:
            break
        if len(site.plan_seconds) % 40 == 5:
            load_seconds = max(load_seconds, site.load([spec]))
    result = "done" if site.largest <= ROW_BYTES else "row too large"
    plan_seconds = sorted(site.plan_seconds)[len(site.plan_seconds) * 99 // 100]
    print(
        f"{case.name:24} {result:14} {site.largest:>10,} {site.bytes / 1e6:>9.2f} "
        f"{site.bytes / total:>10.0f} {site.rows:>7,} {site.transactions:>7,} "
        f"{plan_seconds * 1000:>9.1f} {load_seconds * 1000:>9.1f}",
        flush=True,
    )


def load_many() -> None:
    """Print the time to load many jobs, of which each has run for some time."""
    site = Site(400, 500)
    rng = random.Random(SEED)
    specs = []
    for number in range(LOADED_JOBS):
        step = attrs.evolve(TASK, count=rng.randint(1, 39))
        case = Case("", (step, attrs.evolve(TASK, count=5, after=(0,))))
        specs.append(make_spec(case, site.clock.now(), f"job-{number:05}"))
        site.scheduler.add_job(specs[-1])
    for _ in range(8):
        site.step()
    while len(site.rows_by_key) < LOADED_JOBS:
        site.step()
    size = sum(map(len, site.rows_by_key.values()))
    seconds = sorted(site.load(specs) for _ in range(3))[1]
    print(f"\n{LOADED_JOBS:,} jobs: {size / 1e6:.2f} MB, loaded in {seconds:.2f} s")
    with open_store() as tables:
        write_rows(tables, site, specs)
        # The collector must not visit the objects of the simulated site, which a new
        # leader does not have in its memory.
        gc.collect()
        gc.freeze()
        for _ in range(3):
            passed, used = measure_handover(tables, site.clock)
            print(f"hand-over: {passed:.2f} s, of which {used:.2f} s of processor time")


@contextmanager
def open_store() -> Iterator[PlatformTables]:
    """Run the stand-in of the store and yield a client of it."""
    store = MetadataStore()
    url = store.start(0, STORE_THREADS)
    try:
        yield PlatformTables(url.removeprefix("http://"))
    finally:
        store.shut_down()


def write_rows(tables: PlatformTables, site: Site, specs: list[JobSpec]) -> None:
    """Store the jobs and their progress."""
    rows_by_partition: dict[str, list[RowWrite]] = {}
    for spec in specs:
        partition = get_intake_partition(spec.job_id)
        row = RowWrite(JOBS, spec.job_id, encode_job(spec))
        rows_by_partition.setdefault(partition, []).append(row)
    rows_by_partition[LEADER_PARTITION] = [
        RowWrite(PROGRESS, key, value) for key, value in site.rows_by_key.items()
    ]
    for partition, rows in rows_by_partition.items():
        for first in range(0, len(rows), TRANSACTION_ROWS):
            batch = tuple(rows[first : first + TRANSACTION_ROWS])
            tables.transact(Transaction(partition, (), batch), 10.0).unwrap()


def measure_handover(tables: PlatformTables, clock: ManualClock) -> tuple[float, float]:
    """Return the time from a new leader's lease to its first plan, and processor time.

    Both are in seconds. The processor time includes that of the store's stand-in.
    """
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    while not leadership.observe(lambda leader: True):
        clock.advance(1.0)
    # Objects of the previous term must not be collected in the measured time.
    gc.collect()
    began, used = time.perf_counter(), time.process_time()
    # The term asks for no advice before it has loaded the jobs.
    advice = cast(AdviceService, None)
    term = Term("entry-1", "tcp://nowhere", leadership, tables, clock, advice)
    term._load(threading.Event())
    term.scheduler.plan()
    return time.perf_counter() - began, time.process_time() - used


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--cases", type=int, default=len(CASES))
    chosen = parser.parse_args().cases
    print(
        f"{'job':24} {'result':14} {'largest B':>10} {'MB':>9} {'B a task':>10} "
        f"{'rows':>7} {'writes':>7} {'plan ms':>9} {'load ms':>9}"
    )
    for case in CASES[:chosen]:
        play(case)
    load_many()


if __name__ == "__main__":
    main()
