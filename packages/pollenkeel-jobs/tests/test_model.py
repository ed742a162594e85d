"""Random schedules of two entries, their leases, lost messages and runners.

The real code of lease, scheduler and records runs against the stand-in's model of the
runner. Orders and replies are lost, delayed, doubled and overtaken; writes are refused,
lost or carried out late; entries pause and take the lead from each other; runners
crash. Checked from what the runners ran: one place at a time, runs numbered upwards,
and no accepted job lost.
"""

import functools
import itertools
import random

import attrs
import pytest
from jobs_doubles import AskRecorder, MemoryTables, make_job

from pollenkeel_jobs.core.harm import HarmModel
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
from pollenkeel_jobs.core.messages import EndedTask, RunningTask, VmReport
from pollenkeel_jobs.core.model import Demand, JobStatus, StepSpec
from pollenkeel_jobs.core.names import (
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_standins.runner_model import RunnerModel

STEPS = 260
SETTLE_STEPS = 400
JOB_COUNT = 3


class SimulatedVm:
    """A runner with the epoch rule of the agent beside it."""

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.lives = 0
        self.record = []
        self.crash()

    def crash(self):
        """Begin a new life; what ran has ended."""
        if self.lives:
            self.model.end_due_runs()
            for run in list(self.model.runs_by_task.values()):
                self.model._end(run, "crashed", self.clock.now())
            self.record += self.model.record
        self.lives += 1
        self.model = RunnerModel(self.clock)
        self.epoch = 0
        self.lease_until = 0.0
        self.recorded_through = 0
        self.withdrawn = []

    @property
    def life(self):
        return f"{self.name}/w~{self.lives}"

    def runs(self):
        """Return all runs, ended or not."""
        self.model.end_due_runs()
        now = self.clock.now()
        going = [
            {"task": r.task, "run": r.run, "start": r.started_at, "end": now, "how": ""}
            for r in self.model.runs_by_task.values()
        ]
        return [*self.record, *self.model.record, *going]

    def make_report(self):
        """Look at the runner and return the report."""
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
            worker=self.life,
            service="desk",
            zone="z1",
            capacity=Demand(2000, 8000),
            clock=float(self.model.now_ms()) if fenced else 0.0,
            running=[RunningTask(*row[:4]) for row in lists["Running"]],
            ended=[EndedTask(*row) for row in lists["Ended"]],
            withdrawn=list(self.withdrawn),
        )

    def take_reply(self, life, reply):
        """Take the lease and the acknowledgement."""
        if life == self.life and reply.epoch == self.epoch and reply.worker == life:
            self.lease_until = max(self.lease_until, reply.lease_until)
            known = max(self.recorded_through, reply.recorded_through)
            self.recorded_through = known

    def take_orders(self, epoch, life, deadline, starts, stops):
        """Carry orders out as the agent does."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        if life != self.life:
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
    """An entry; ``scheduler`` exists while it believes that it leads."""

    leadership: Leadership
    scheduler: Scheduler | None = None
    paused: bool = False


class World:
    """Two entries, three VMs and a table service under a random schedule."""

    def __init__(self, seed):
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
        self.trouble = True
        step = StepSpec(2, Demand(1000, 100), 1.5)
        self.specs = [
            make_job(f"j{n}", (step, attrs.evolve(step, after=(0,))), attempts=99)
            for n in range(JOB_COUNT)
        ]
        for spec in self.specs:
            write = RowWrite(JOBS, spec.job_id, encode_job(spec))
            self.tables.apply(
                Transaction(get_intake_partition(write.key), (), (write,))
            )

    def chance(self, share):
        return self.trouble and self.rng.random() < share

    def step(self):
        """Let something happen."""
        self.clock.advance(self.rng.choice([0.02, 0.1, 0.3, 0.6]))
        if self.chance(0.03):
            self.rng.choice(self.vms).crash()
        for entry in self.entries:
            if self.chance(0.08):
                entry.paused = not entry.paused
            if not self.trouble:
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
        if not entry.leadership.holds:
            entry.scheduler = None
            if entry.leadership.observe(AskRecorder()):
                entry.scheduler = self.load(entry.leadership.epoch)
            return
        if entry.scheduler is None:
            return
        scheduler = entry.scheduler
        scheduler.follow_operations(Operations(1), self.clock.now())
        for vm in self.vms:
            scheduler.add_vm(vm.name, "")
            self.exchange(entry, vm)
        current = scheduler.plan()
        if self.chance(0.15):
            faults = ["refused", "lost", "dropped"]
            self.tables.faults = [self.rng.choice(faults)]
        try:
            entry.leadership.commit(current.writes)
        except LeadershipLost:
            entry.scheduler = None
            return
        scheduler.confirm(current)
        # A pause between the record and the orders.
        if self.chance(0.1):
            self.clock.advance(self.rng.choice([1.0, 4.0]))
        self.send(entry, current)

    def exchange(self, entry, vm):
        """Greet an agent and take its report, each of which may be lost."""
        epoch = entry.scheduler.epoch
        if not self.chance(0.2):
            vm.take_orders(epoch, vm.life, 0.0, [], [])
        report = vm.make_report()
        if self.chance(0.2):
            return
        life = vm.life
        reply = entry.scheduler.take_report(report, entry.leadership.leads)
        if self.chance(0.1):
            self.delayed.append(functools.partial(vm.take_reply, life, reply))
        else:
            vm.take_reply(life, reply)

    def send(self, entry, current):
        scheduler = entry.scheduler
        for work in current.works:
            if not entry.leadership.leads:
                scheduler.drop_orders(work.vm, work.starts)
                continue
            starts, _ = scheduler.make_starts(work.vm, work.starts)
            vm = next(vm for vm in self.vms if vm.name == work.vm.name)
            orders = (
                scheduler.epoch,
                work.vm.life,
                work.vm.lease_until,
                starts,
                work.stops,
            )
            scheduler.drop_orders(work.vm, work.starts)
            if self.chance(0.15):
                continue
            if self.chance(0.2):
                self.delayed.append(functools.partial(vm.take_orders, *orders))
                if self.chance(0.5):
                    continue
            vm.take_orders(*orders)

    def load(self, epoch):
        scheduler = Scheduler(epoch, self.clock, HarmModel())
        rows = []
        for spec in self.specs:
            key = (LEADER_PARTITION, PROGRESS, spec.job_id)
            progress = self.tables.rows_by_key.get(key)
            rows.append((encode_job(spec), progress.value if progress else None))
        scheduler.load(rows)
        return scheduler

    def statuses(self):
        leaders = [e.scheduler for e in self.entries if e.scheduler is not None]
        found = [s.find_status(spec.job_id) for s in leaders for spec in self.specs]
        return found if leaders else [None]


def check(world):
    by_task = {}
    runs = [run for vm in world.vms for run in vm.runs()]
    for run in sorted(runs, key=lambda run: (run["start"], run["run"])):
        by_task.setdefault(run["task"], []).append(run)
    for task_runs in by_task.values():
        for before, after in itertools.pairwise(task_runs):
            assert before["end"] <= after["start"], (before, after)
            assert before["run"] < after["run"], (before, after)
    return by_task


@pytest.mark.parametrize("seed", range(60))
def test_random_schedule_keeps_the_promises(seed):
    """No schedule runs a task in two places, and every job ends."""
    world = World(seed)
    for _ in range(STEPS):
        world.step()
        check(world)
    world.trouble = False
    for _ in range(SETTLE_STEPS):
        world.step()
        if set(world.statuses()) == {JobStatus.DONE}:
            break
    by_task = check(world)
    assert set(world.statuses()) == {JobStatus.DONE}
    assert len(by_task) == JOB_COUNT * 4
    for runs in by_task.values():
        assert any(run["how"] == "done" for run in runs)
