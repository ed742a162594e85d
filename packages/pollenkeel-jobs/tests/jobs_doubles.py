"""Test doubles: in-memory table service, VMs that report to a scheduler, fixtures."""

import threading

import attrs
import pytest
from result import Err, Ok

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import (
    EndedTask,
    OrderOutcome,
    RunningTask,
    VmReport,
    WorkerCrash,
)
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_jobs.core.tables import Failure, FailureKind, Page, Row, TableService
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_standins.ports import PortReservations

EPOCH = 7


class MemoryTables(TableService):
    """In-memory tables; ``faults`` lists the faults of the next transactions.

    A fault is ``refused`` (rejected), ``lost`` (executed, but the reply is lost) or
    ``dropped`` (neither executed nor answered). ``held`` has the dropped transactions,
    which a test may execute late. Each transaction advances ``clock``, if there is one,
    by ``TRANSACTION_SECONDS``. Transactions above the limits of the platform's store
    are rejected as invalid, as are those with a row of which ``rejects`` is true.
    """

    TRANSACTION_SECONDS = 0.04
    ROW_BYTES = 65_536
    ENTRIES = 100
    TRANSACTION_BYTES = 1_000_000

    def __init__(self, clock=None):
        self.clock = clock
        # A page has the rows of a single version.
        self._lock = threading.RLock()
        self.rows_by_key = {}
        self.version = 0
        self.faults = []
        self.held = []
        self.rejects = lambda write: False
        self.transactions = []
        self.reads_fail = False

    def transact(self, transaction, timeout=1.0):
        fault = self.faults.pop(0) if self.faults else ""
        if self.clock is not None:
            self.clock.advance(self.TRANSACTION_SECONDS)
        if fault == "refused":
            return Err(Failure(FailureKind.NOT_DONE))
        if fault == "dropped":
            self.held.append(transaction)
            return Err(Failure(FailureKind.UNKNOWN))
        result = self.apply(transaction)
        return Err(Failure(FailureKind.UNKNOWN)) if fault == "lost" else result

    def apply(self, transaction):
        with self._lock:
            return self._apply(transaction)

    def _apply(self, transaction):
        part = transaction.partition
        self.transactions.append(transaction)
        if self._is_invalid(transaction):
            return Err(Failure(FailureKind.INVALID, detail="status 400"))
        for condition in transaction.conditions:
            row = self.rows_by_key.get((part, condition.table, condition.key))
            if (row.version if row else 0) != condition.version:
                return Err(Failure(FailureKind.CONFLICT, (row,) if row else ()))
        self.version += 1
        for write in transaction.writes:
            key = (part, write.table, write.key)
            self.rows_by_key[key] = Row(
                write.table, write.key, write.value, self.version
            )
        return Ok(self.version)

    def _is_invalid(self, transaction):
        sizes = [len(write.value or b"") for write in transaction.writes]
        return (
            max(sizes, default=0) > self.ROW_BYTES
            or len(transaction.conditions) + len(sizes) > self.ENTRIES
            or sum(sizes) * 4 / 3 > self.TRANSACTION_BYTES
            or any(map(self.rejects, transaction.writes))
        )

    def read(self, partition, table, start="", end=""):
        if self.reads_fail:
            return Err(Failure(FailureKind.NOT_DONE))
        with self._lock:
            return self._read(partition, table, start, end)

    def _read(self, partition, table, start, end):
        rows = sorted(
            (
                row
                for (part, name, key), row in list(self.rows_by_key.items())
                if part == partition
                and name == table
                and key >= start
                and (not end or key < end)
            ),
            key=lambda row: row.key,
        )
        now = self.clock.now() if self.clock is not None else 0.0
        return Ok(Page(tuple(rows), self.version, now=now))

    def watch(self, table, after, wait):
        with self._lock:
            rows = [
                row
                for (_, name, _), row in list(self.rows_by_key.items())
                if name == table and row.version > after
            ]
            return Ok(Page(tuple(rows), self.version))


class VmDouble:
    """A VM whose worker executes all orders and reports to a scheduler."""

    def __init__(self, scheduler, clock, name="vm-1", zone="z1", cpu=4000, memory=8000):
        self.scheduler = scheduler
        self.clock = clock
        self.name = name
        self.zone = zone
        self.capacity = Demand(cpu, memory)
        self.incarnation = f"{name}/w~1"
        self.running = []
        self.ended = []
        self.withdrawn = []
        self.draining = False
        self.away = False
        self.crashes = []
        self.epoch = scheduler.epoch
        self.vm = scheduler.add_vm(name, "tcp://nowhere")

    def report(self, may_grant_lease=True):
        if self.away:
            return None
        report = VmReport(
            self.name,
            0.0,
            self.name,
            self.epoch,
            fenced_epoch=self.epoch,
            worker=self.incarnation,
            service="desk",
            zone=self.zone,
            state="draining" if self.draining else "ready",
            capacity=self.capacity,
            labels=["a", f"rack-{self.zone}"],
            clock=self.clock.now() * 1000,
            running=list(self.running),
            ended=list(self.ended),
            withdrawn=list(self.withdrawn),
            crashes=list(self.crashes),
        )
        return self.scheduler.process_report(report, may_grant_lease)

    def report_without_lists(self, rejecting=False):
        """Send the report of an agent whose worker does not answer or rejects it."""
        report = VmReport(
            self.name,
            0.0,
            self.name,
            self.epoch,
            worker=self.incarnation,
            service="desk",
            zone=self.zone,
            state="draining" if self.draining else "ready",
            capacity=self.capacity,
            rejecting=rejecting,
        )
        return self.scheduler.process_report(report, True)

    def start(self, orders):
        """Start the runs of the orders; no worker listens while the VM is away."""
        if self.away:
            refused = [
                OrderOutcome(order.task_id, order.run, "refused", "nothing listens")
                for order in orders
            ]
            self.scheduler.process_outcomes(self.vm, refused)
            return
        for order in orders:
            self.running.append(RunningTask(order.task_id, order.run))

    def crash(self, *suspects):
        """Replace the worker by a new incarnation; its agent suspects these runs."""
        if suspects:
            self.crashes.append(WorkerCrash(self.incarnation, list(suspects)))
        worker, _, born = self.incarnation.rpartition("~")
        self.incarnation = f"{worker}~{int(born) + 1}"
        self.running.clear()
        self.ended.clear()

    def end(self, task_id, how="done", checkpoint=""):
        """End the run of a task."""
        run = next(r for r in self.running if r.task_id == task_id)
        self.running.remove(run)
        number = len(self.ended) + 1
        self.ended.append(EndedTask(number, task_id, run.run, how, checkpoint))


class Site:
    """A scheduler with VMs; ``step`` does one iteration of the leader's loop."""

    def __init__(self, clock, vms=1, settings=None, **vm_settings):
        self.clock = clock
        self.interference = InterferenceModel()
        self.settings = settings
        self.scheduler = Scheduler(EPOCH, clock, self.interference, settings)
        self.vms = [
            VmDouble(self.scheduler, clock, f"vm-{n}", f"z{n}", **vm_settings)
            for n in range(vms)
        ]
        self.rows_by_key = {}
        self.open()

    def open(self, closed=()):
        """Open all data centres to the scheduler except those in ``closed``."""
        self.operations = Operations(1, (), frozenset(closed))
        self.scheduler.update_operations(self.operations, self.clock.now())

    def step(self, record=True):
        """Report, plan, write and send; return the start orders by VM.

        With ``record=False`` the leader fails before the write.
        """
        self.scheduler.update_operations(self.operations, self.clock.now())
        for vm in self.vms:
            vm.report()
        planned = self.scheduler.plan()
        if not record:
            return {}
        for write in planned.writes:
            self.rows_by_key[write.table, write.key] = write.value
        self.scheduler.confirm(planned)
        starts_by_vm = {}
        for batch in planned.order_batches:
            double = next(vm for vm in self.vms if vm.vm is batch.vm)
            orders = self.scheduler.make_starts(batch.vm, batch.starts).orders
            double.start(orders)
            starts_by_vm[double.name] = orders
            for stop in batch.stops:
                double.withdrawn.append(stop)
                if any(run.task_id == stop.task_id for run in double.running):
                    double.end(stop.task_id, "stopped", "saved")
        for vm in self.vms:
            vm.report()
        return starts_by_vm

    @property
    def running(self):
        """Sorted task ids of all runs on the VMs."""
        return sorted(run.task_id for vm in self.vms for run in vm.running)


def succeed(site, jobs=(), settings=None):
    """Return the site of a new leader; ``jobs`` are those that the site knows.

    Its settings are those of the site unless others are given.
    """
    successor = Site(site.clock, vms=len(site.vms), settings=settings or site.settings)
    successor.scheduler.load(
        (encode_job(job), site.rows_by_key.get((PROGRESS, job.job_id))) for job in jobs
    )
    for vm, before in zip(successor.vms, site.vms, strict=True):
        vm.incarnation, vm.draining, vm.away = (
            before.incarnation,
            before.draining,
            before.away,
        )
        vm.running, vm.ended = before.running, before.ended
        vm.withdrawn, vm.crashes = before.withdrawn, before.crashes
    successor.rows_by_key = site.rows_by_key
    return successor


def make_job(job_id="j1", steps=None, accepted_at=0.0, **policy):
    """Return a job of one step with two tasks unless told otherwise."""
    steps = steps or (StepSpec(2, Demand(1000, 1000), 1.0),)
    queue = QueuePolicy("q", "desk", **{"attempts": 2, "stretch": 2.0, **policy})
    return JobSpec(job_id, queue, "run 1", tuple(steps), accepted_at=accepted_at)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def site(clock):
    return Site(clock)


@pytest.fixture
def tables():
    return MemoryTables()


@attrs.define
class AskRecorder:
    """Answers whether the lease holder leads, and counts the calls."""

    leads: bool = True
    asked: int = 0

    def __call__(self, leader):
        self.asked += 1
        return self.leads


@pytest.fixture
def ask():
    return AskRecorder()


@pytest.fixture
def free_ports():
    """Two ports that nobody else gets while the test runs."""
    reservations = PortReservations()
    yield [reservations.reserve() for _ in range(2)]
    reservations.close()
