"""Guards against jobs of a million tasks or occurrences that outgrow store or memory.

The leader's own code runs pass by pass against the stand-in of the store. The worker is
a double: in each pass one half of its runs ends, and the other lists a checkpoint.
"""

import threading
import tracemalloc

import attrs
import pytest
from jobs_doubles import VmDouble, make_job

from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import TAKEOVER_SECONDS, Leadership
from pollenkeel_jobs.core.messages import EndedTask, JobNotice
from pollenkeel_jobs.core.model import TASK_WINDOW, JobStatus
from pollenkeel_jobs.core.names import (
    CANCELS,
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_platform.store import PlatformTables
from pollenkeel_standins.metadata_store import MetadataStore

MILLION = 1_000_000
#: Tasks that run at a time.
SLOTS = 4_000
#: Limits of the platform's store: bytes of a row, entries and bytes of a transaction.
ROW_BYTES = 65_536
ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
#: Memory that one job may take in a leader, in bytes; 2 KB for a task of the window.
MEMORY_BYTES = 2_000 * TASK_WINDOW

TASK = StepSpec(1, Demand(1, 1), 1.0)
JOBS_BY_NAME = {
    "tasks": make_job(steps=(attrs.evolve(TASK, count=MILLION),)),
    "occurrences": attrs.evolve(make_job(steps=(TASK,)), occurrences=MILLION),
    "both": attrs.evolve(
        make_job(steps=(attrs.evolve(TASK, count=10_000),)), occurrences=100
    ),
}


class MeasuringTables(PlatformTables):
    """Client of the store that keeps the largest row and transaction it has sent."""

    def __init__(self, address):
        super().__init__(address)
        self.row_bytes = self.transaction_bytes = self.entries = self.most_pages = 0

    def transact(self, transaction, timeout=5.0):
        sizes = [len(write.value or b"") for write in transaction.writes]
        self.row_bytes = max(self.row_bytes, *sizes)
        self.transaction_bytes = max(self.transaction_bytes, sum(sizes) * 4 // 3)
        pages = sum("/" in write.key for write in transaction.writes)
        self.most_pages = max(self.most_pages, pages)
        self.entries = max(self.entries, len(sizes) + len(transaction.conditions))
        return super().transact(transaction, timeout)


class SenderDouble:
    """Keeps the orders for the VM."""

    def __init__(self):
        self.batches = []

    def add(self, batch):
        self.batches.append(batch)

    def pop_batches(self):
        batches, self.batches = self.batches, []
        return batches


class Leader:
    """A term of leadership, and the VM that it knows."""

    def __init__(self, name, tables, clock, former=None):
        self.clock = clock
        self.leadership = Leadership(name, "tcp://nowhere", tables, clock)
        self.leadership.observe(lambda leader: True)
        if not self.leadership.leads:
            clock.advance(TAKEOVER_SECONDS + 0.1)
            assert self.leadership.observe(lambda leader: True)
        self.term = Term(name, "tcp://nowhere", self.leadership, tables, clock, None)
        self.term._load(threading.Event())
        self.scheduler = self.term.scheduler
        self.vm = VmDouble(self.scheduler, clock, "vm-0", "z0", SLOTS, SLOTS)
        self.sender = SenderDouble()
        self.term._senders_by_vm[self.vm.vm] = self.sender
        self.ran = []
        if former is not None:
            self.vm.running, self.vm.ended = former.vm.running, former.vm.ended

    def run_pass(self):
        """Let runs end or go on, report them, and record and start what follows."""
        self.clock.advance(0.1)
        self._advance_runs()
        self.scheduler.update_operations(Operations(1), self.clock.now())
        self.vm.report()
        self.scheduler.wake.set()
        self.term._run_pass()
        self.vm.report()
        for batch in self.sender.pop_batches():
            orders = self.scheduler.make_starts(batch.vm, batch.starts).orders
            self.vm.start(orders)
            self.ran += [order.task_id for order in orders]

    def _advance_runs(self):
        vm = self.vm
        first = len(vm.ended) + 1
        vm.ended += [
            EndedTask(number, run.task_id, run.run, "done", "")
            for number, run in enumerate(vm.running[::2], first)
        ]
        vm.running = [
            attrs.evolve(run, checkpoint=f"{number:016x}")
            for number, run in enumerate(vm.running[1::2])
        ]


@pytest.fixture
def tables():
    store = MetadataStore()
    url = store.start(0, 4)
    yield MeasuringTables(url.removeprefix("http://"))
    store.shut_down()


def accept(tables, job):
    """Store a job as an entry does."""
    row = encode_job(job)
    write = RowWrite(JOBS, job.job_id, row)
    partition = get_intake_partition(job.job_id)
    assert tables.transact(Transaction(partition, (), (write,))).is_ok()
    return row


def cancel(tables, job):
    write = RowWrite(CANCELS, job.job_id, b"")
    partition = get_intake_partition(job.job_id)
    assert tables.transact(Transaction(partition, (), (write,))).is_ok()


@pytest.mark.parametrize("name", JOBS_BY_NAME)
def test_job_of_a_million_tasks_keeps_within_the_limits(name, tables):
    """Guards against rows, transactions and memory that grow with the whole job."""
    job, clock = JOBS_BY_NAME[name], ManualClock()
    first = Leader("entry-1", tables, clock)
    row = accept(tables, job)
    tracemalloc.start()
    try:
        first.term.handle(JobNotice("entry-2", clock.now(), job.job_id, row))
        for _ in range(4):
            first.run_pass()
        second = Leader("entry-2", tables, clock, first)
        for _ in range(2):
            second.run_pass()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    ran = first.ran + second.ran
    assert len(ran) == len(set(ran)) == SLOTS + 5 * SLOTS // 2
    assert second.scheduler.find_status(job.job_id) is JobStatus.RUNNING
    cancel(tables, job)
    second.term.apply_row(job.job_id, b"")
    second.run_pass()
    third = Leader("entry-3", tables, clock, second)
    third.run_pass()
    assert third.scheduler.find_status(job.job_id) is JobStatus.CANCELLED
    assert not third.ran
    assert tables.most_pages > 1
    rows = tables.read_all(LEADER_PARTITION, PROGRESS).unwrap().rows
    assert [row.key for row in rows] == [job.job_id]
    assert tables.row_bytes <= ROW_BYTES
    assert tables.entries <= ENTRIES
    assert tables.transaction_bytes <= TRANSACTION_BYTES
    # Two leaders are in the memory of this process.
    assert peak <= 2 * MEMORY_BYTES
