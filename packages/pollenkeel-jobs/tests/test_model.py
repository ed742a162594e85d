"""Simulates two entries and several workers under random faults.

The real leadership, scheduler and record code runs against the stand-in's model of a
worker. Orders and replies are lost, delayed, duplicated and reordered; writes are
rejected, lost or executed late; entries pause and take over leadership; workers crash.
The runs on the workers show whether each task ran in one place at a time, with
increasing run numbers, and whether every accepted job completed.
"""

import functools
import itertools
import random

import attrs
import pytest
from jobs_doubles import AskRecorder, MemoryTables, make_job

from pollenkeel_jobs.core import job_table, model, progress_rows, records
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
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
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_standins.runner_model import RunnerModel

STEPS = 260
SETTLE_STEPS = 400
JOB_COUNT = 3


class SimulatedVm:
    """A worker together with its agent, which rejects orders of older epochs."""

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.incarnation_count = 0
        self.record = []
        self.crash()

    def crash(self):
        """End all runs and start a new incarnation of the worker."""
        if self.incarnation_count:
            self.model.end_due_runs()
            for run in list(self.model.runs_by_task.values()):
                self.model._end(run, "crashed", self.clock.now())
            self.record += self.model.record
        self.incarnation_count += 1
        self.model = RunnerModel(self.clock)
        self.epoch = 0
        self.lease_until = 0.0
        self.recorded_through = 0
        self.withdrawn = []

    @property
    def incarnation(self):
        return f"{self.name}/w~{self.incarnation_count}"

    def runs(self):
        """Return all runs, ended or not."""
        self.model.end_due_runs()
        now = self.clock.now()
        current_runs = [
            {"task": r.task, "run": r.run, "start": r.started_at, "end": now, "how": ""}
            for r in self.model.runs_by_task.values()
        ]
        return [*self.record, *self.model.record, *current_runs]

    def make_report(self):
        """Read the worker's state and return the agent's report."""
        body = {
            "FencingToken": self.epoch,
            "DeadlineMs": self.lease_until,
            "AckedThrough": self.recorded_through,
        }
        fenced = not self.model.hold(body)
        lists = self.model.list_runs() if fenced else {"Running": [], "Ended": []}
        return VmReport(
            self.name,
            0.0,
            self.name,
            self.epoch,
            fenced_epoch=self.epoch if fenced else 0,
            worker=self.incarnation,
            service="desk",
            zone="z1",
            capacity=Demand(2000, 8000),
            clock=float(self.model.now_ms()) if fenced else 0.0,
            running=[RunningTask(*row[:4]) for row in lists["Running"]],
            ended=[EndedTask(*row) for row in lists["Ended"]],
            withdrawn=list(self.withdrawn),
        )

    def apply_reply(self, incarnation, reply):
        """Apply the lease and the acknowledged ends, as the agent does."""
        if (
            incarnation == self.incarnation
            and reply.epoch == self.epoch
            and reply.worker == incarnation
        ):
            self.lease_until = max(self.lease_until, reply.lease_until)
            known = max(self.recorded_through, reply.recorded_through)
            self.recorded_through = known

    def apply_orders(self, epoch, incarnation, deadline, starts, stops):
        """Execute orders as the agent does."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        if incarnation != self.incarnation:
            return
        for stop in stops:
            body = {"Task": stop.task_id, "Run": stop.run, "FencingToken": epoch}
            if not self.model.stop(body):
                self.withdrawn.append(stop)
        for start in starts:
            body = {
                "Task": start.task_id,
                "Run": start.run,
                "Spec": "run 1.5",
                "DeadlineMs": deadline,
                "FencingToken": epoch,
            }
            self.model.start(body)


@attrs.define
class SimulatedEntry:
    """An entry; ``scheduler`` is set while the entry assumes that it leads."""

    leadership: Leadership
    scheduler: Scheduler | None = None
    paused: bool = False


class Simulation:
    """Two entries, three VMs and a table service with random faults.

    ``inject_faults`` is cleared at the end to let all jobs complete.
    """

    def __init__(self, seed, counts=(2, 2), occurrences=0):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.tables = MemoryTables()
        self.vms = [SimulatedVm(f"vm-{n}", self.clock) for n in range(3)]
        self.entries = [
            SimulatedEntry(
                Leadership(f"e{n}", f"tcp://e{n}", self.tables, self.clock, 0.0)
            )
            for n in range(2)
        ]
        self.delayed = []
        self.inject_faults = True
        first, second = (StepSpec(count, Demand(1000, 100), 1.5) for count in counts)
        steps = (first, attrs.evolve(second, after=(0,)))
        self.specs = [
            attrs.evolve(
                make_job(f"j{n}", steps, attempts=99),
                occurrences=occurrences,
                first_at=self.clock.now(),
                interval=0.5,
            )
            for n in range(JOB_COUNT)
        ]
        for spec in self.specs:
            write = RowWrite(JOBS, spec.job_id, encode_job(spec))
            self.tables.apply(
                Transaction(get_intake_partition(write.key), (), (write,))
            )

    def should_inject(self, share):
        return self.inject_faults and self.rng.random() < share

    def step(self):
        """Advance the clock, run the entries, and execute some delayed calls."""
        self.clock.advance(self.rng.choice([0.02, 0.1, 0.3, 0.6]))
        if self.should_inject(0.03):
            self.rng.choice(self.vms).crash()
        for entry in self.entries:
            if self.should_inject(0.08):
                entry.paused = not entry.paused
            if not self.inject_faults:
                entry.paused = False
            if not entry.paused:
                self.run_entry(entry)
        for call in [c for c in self.delayed if self.rng.random() < 0.3]:
            self.delayed.remove(call)
            call()
        for transaction in [t for t in self.tables.held if self.rng.random() < 0.2]:
            self.tables.held.remove(transaction)
            self.tables.apply(transaction)

    def run_entry(self, entry):
        if not entry.leadership.holds_lease:
            entry.scheduler = None
            if entry.leadership.observe(AskRecorder()):
                entry.scheduler = self.load(entry.leadership.epoch)
            return
        if entry.scheduler is None:
            return
        scheduler = entry.scheduler
        scheduler.update_operations(Operations(1), self.clock.now())
        for vm in self.vms:
            scheduler.add_vm(vm.name, "")
            self.exchange_report(entry, vm)
        current = scheduler.plan()
        if self.should_inject(0.15):
            faults = ["refused", "lost", "dropped"]
            self.tables.faults = [self.rng.choice(faults)]
        try:
            entry.leadership.commit(current.writes)
        except LeadershipLost:
            entry.scheduler = None
            return
        scheduler.confirm(current)
        # The process may pause between the write and the orders.
        if self.should_inject(0.1):
            self.clock.advance(self.rng.choice([1.0, 4.0]))
        self.send(entry, current)

    def exchange_report(self, entry, vm):
        """Announce the leader to an agent and process its report; both may be lost."""
        epoch = entry.scheduler.epoch
        if not self.should_inject(0.2):
            vm.apply_orders(epoch, vm.incarnation, 0.0, [], [])
        report = vm.make_report()
        if self.should_inject(0.2):
            return
        incarnation = vm.incarnation
        reply = entry.scheduler.process_report(report, entry.leadership.leads)
        if self.should_inject(0.1):
            self.delayed.append(functools.partial(vm.apply_reply, incarnation, reply))
        else:
            vm.apply_reply(incarnation, reply)

    def send(self, entry, current):
        scheduler = entry.scheduler
        for batch in current.order_batches:
            if not entry.leadership.leads:
                scheduler.drop_orders(batch.vm, batch.starts)
                continue
            starts = scheduler.make_starts(batch.vm, batch.starts).orders
            vm = next(vm for vm in self.vms if vm.name == batch.vm.name)
            orders = (
                scheduler.epoch,
                batch.vm.incarnation,
                batch.vm.lease_until,
                starts,
                batch.stops,
            )
            scheduler.drop_orders(batch.vm, batch.starts)
            if self.should_inject(0.15):
                continue
            if self.should_inject(0.2):
                self.delayed.append(functools.partial(vm.apply_orders, *orders))
                if self.should_inject(0.5):
                    continue
            vm.apply_orders(*orders)

    def load(self, epoch):
        scheduler = Scheduler(epoch, self.clock, InterferenceModel())
        stored = self.tables.read_all(LEADER_PARTITION, PROGRESS).unwrap().rows
        rows = [row for row in stored if row.value is not None]
        progress_by_id = join_progress_rows(rows)
        scheduler.load(
            (encode_job(spec), progress_by_id.get(spec.job_id)) for spec in self.specs
        )
        return scheduler

    def statuses(self):
        leaders = [e.scheduler for e in self.entries if e.scheduler is not None]
        found = [s.find_status(spec.job_id) for s in leaders for spec in self.specs]
        return found if leaders else [None]


def check(simulation):
    """Assert that no two runs of a task overlap; return the runs of each task."""
    runs_by_task_id = {}
    runs = [run for vm in simulation.vms for run in vm.runs()]
    for run in sorted(runs, key=lambda run: (run["start"], run["run"])):
        runs_by_task_id.setdefault(run["task"], []).append(run)
    for task_runs in runs_by_task_id.values():
        for before, after in itertools.pairwise(task_runs):
            assert before["end"] <= after["start"], (before, after)
            assert before["run"] < after["run"], (before, after)
    return runs_by_task_id


@pytest.mark.parametrize("seed", range(60))
def test_each_task_runs_once_at_a_time_and_every_job_completes(seed):
    """Guards against tasks that run in two places and jobs that never complete."""
    simulation = Simulation(seed)
    play(simulation)
    assert len(check(simulation)) == JOB_COUNT * 4


@pytest.mark.parametrize("seed", range(30))
def test_jobs_on_several_pages_run_as_others(seed, monkeypatch):
    """Guards against runs that a page, a window or a range of done tasks loses."""
    monkeypatch.setattr(model, "TASK_WINDOW", 2)
    monkeypatch.setattr(records, "_BLOCK_SIZE", 1)
    monkeypatch.setattr(job_table, "_MAX_OPEN_TASKS", 5)
    monkeypatch.setattr(progress_rows, "MAX_ROW_BYTES", 90)
    simulation = Simulation(seed, counts=(5, 2), occurrences=3)
    play(simulation)
    assert len(check(simulation)) == JOB_COUNT * 21
    transactions = simulation.tables.transactions
    keys = {write.key for item in transactions for write in item.writes}
    assert any("/" in key for key in keys)


def play(simulation):
    """Let the jobs run under faults and then complete, with all checks."""
    for _ in range(STEPS):
        simulation.step()
        check(simulation)
    simulation.inject_faults = False
    for _ in range(SETTLE_STEPS):
        simulation.step()
        if set(simulation.statuses()) == {JobStatus.DONE}:
            break
    runs_by_task_id = check(simulation)
    assert set(simulation.statuses()) == {JobStatus.DONE}
    for runs in runs_by_task_id.values():
        assert any(run["how"] == "done" for run in runs)
