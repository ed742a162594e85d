"""Guards against tasks that wait although VMs have free capacity, on a manual clock."""

import attrs
import pytest
from result import Err, Ok

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.decisions import DecisionRecord
from pollenkeel_entry.batch.hints import CapacityHints, StartRamp
from pollenkeel_entry.batch.log import ShardLog
from pollenkeel_entry.batch.ownership import Ownership
from pollenkeel_entry.batch.quota import QuotaTable
from pollenkeel_entry.batch.shard import Shard, ShardServices
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentRecord, AgentTable
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import (
    Announce,
    Resources,
    TaskExchangeReply,
    TaskState,
)
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_kernel.policy.quarantine import NoQuarantine
from pollenkeel_standins.scripted import ScriptedConfig

STEP = 0.05
ANNOUNCED_EVERY = 0.25
SHARD_LEASE = 1e6


class ClockedConfig(ScriptedConfig):
    """Configuration whose permits follow a manual clock."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def permit_until(self, data_centre):
        return (
            0.0 if data_centre in self.drained_data_centres else self.clock.now() + 3.0
        )


class SimulatedVm(AgentTable):
    """Agent table with a single agent, which ends tasks after their run time.

    It accepts starts while cores are free. ``refused`` is the number of coming starts
    to refuse, ``lost`` the number of coming replies to lose.
    """

    def __init__(self, clock, cores):
        self.clock, self.size = clock, Resources(float(cores), 1000.0, 0)
        self.tasks, self.ran, self.refusals = {}, [], []
        self.refused = self.lost = 0
        self.epoch, self.ready = "e1", True
        self.announced = self.announce()

    def free(self):
        held = [size for state, size, _ in self.tasks.values() if state == "running"]
        return self.size - sum(held, Resources())

    def announce(self):
        now, free = self.clock.now(), self.free()
        self.announced = Announce(
            "m",
            now,
            self.epoch,
            "m",
            "d0",
            "r",
            "x",
            "ready",
            1,
            [],
            self.size,
            free,
            {},
            self.ready,
        )
        return self.announced

    def live(self):
        return [AgentRecord(self.announced, None, self.clock.now() + 5.0)]

    def advance(self, run_time):
        now = self.clock.now()
        for key, (state, size, since) in self.tasks.items():
            if state == "running" and now >= since + run_time:
                self.tasks[key] = ("done", size, since)
        if now >= self.announced.sent_at + ANNOUNCED_EVERY - STEP / 2:
            self.announce()

    def exchange(self, message):
        now = self.clock.now()
        for start in message.starts:
            fits = start.resources.fits_in(self.free()) and not self.refused
            self.refused -= bool(self.refused)
            state = "running" if fits else "refused"
            (self.ran if fits else self.refusals).append(start.task_id)
            self.tasks[start.task_id, start.attempt] = (state, start.resources, now)
        for key in message.acknowledged:
            self.tasks.pop((key.task_id, key.attempt), None)
        if self.lost:
            self.lost -= 1
            return Err(Refusal(Code.NO_REPLY, "lost"))
        tasks = [TaskState(t, n, s[0]) for (t, n), s in self.tasks.items()]
        return Ok(
            TaskExchangeReply(
                "m",
                now,
                1000,
                complete=self.ready,
                tasks=tasks if self.ready else [],
            )
        )


@attrs.define
class ShardHarness:
    """A shard and its VM, advanced step by step."""

    shard: Shard
    vm: SimulatedVm
    clock: object
    run_time: float = 0.2
    submitted: int = 0

    def submit(self, tasks, cores=1.0, team="a"):
        size = Resources(cores, 1.0, 0)
        specs = [rec.TaskSpec(f"t{i}", "run", size, 1.0) for i in range(tasks)]
        name, now = f"j{self.submitted}", self.clock.now()
        self.submitted += 1
        job = ev.JobSubmitted(name, team, "k", 0.0, False, "d", now, 0, specs)
        assert not self.shard.submit(job).done()
        return name

    def step(self):
        self.clock.advance(STEP)
        self.vm.advance(self.run_time)
        self.shard.tick()
        message = self.shard.begin_exchange(self.vm.live()[0])
        if message is not None:
            self.shard.finish_exchange("m", message, self.vm.exchange(message))

    def queued(self):
        return len(self.shard.log.state.queued)

    def wait_for_runs(self, job, tasks, limit=10.0):
        """Return the seconds until ``tasks`` tasks of a job have been started."""
        since = self.clock.now()
        while len({name for name in self.vm.ran if name.startswith(f"{job}:")}) < tasks:
            if self.clock.now() > since + limit:
                raise TimeoutError(f"{self.queued()} tasks are queued")
            self.step()
        return self.clock.now() - since


@pytest.fixture
def make_harness(backend, clock):
    def make(cores=16):
        timing = attrs.evolve(EntrySettings("e", "d0", StoreSettings("x")).timing)
        timing = attrs.evolve(timing, shard_lease=SHARD_LEASE)
        settings = EntrySettings("e", "d0", StoreSettings("x"), shards=1, timing=timing)
        vm = SimulatedVm(clock, cores)
        context = EntryContext(
            settings, clock, backend, vm, ClockedConfig(clock), StateDump()
        )
        ownership = Ownership(backend, timing, clock, "e", "x")
        services = ShardServices(
            ownership,
            CapacityHints(),
            StartRamp(),
            NoQuarantine(),
            DecisionRecord(settings.limits),
            QuotaTable(1),
            lambda agent_id: None,
            lambda agent_id: False,
        )
        lease = ownership.claim(0, None, 0).unwrap()
        log = ShardLog(backend, 0, "e", lease.row.epoch)
        assert log.recover().is_ok()
        return ShardHarness(Shard(context, lease, log, services), vm, clock)

    return make


def test_short_tasks_at_a_steady_rate_do_not_queue_up(make_harness):
    """Guards against reservations that outlast their tasks, so that VMs look full.

    20 tasks a second of 0.2 s need 4 of the 16 cores.
    """
    harness = make_harness()
    for _ in range(400):
        harness.submit(1)
        harness.step()
    assert harness.queued() <= 4


def test_refused_starts_release_capacity_at_once(make_harness):
    """Guards against a VM that counts as full after it refused its starts."""
    harness = make_harness()
    harness.vm.refused = 16
    assert harness.wait_for_runs(harness.submit(16), 16) <= 0.5


def test_unwritten_starts_release_capacity_at_once(make_harness, backend):
    """Guards against a VM that counts as full after the store refused the starts."""
    harness = make_harness()
    job = harness.submit(16)
    harness.shard.tick()
    backend.down = True
    harness.shard.tick()
    backend.down = False
    assert harness.wait_for_runs(job, 16) <= 0.5


def test_unanswered_starts_keep_their_reservation(make_harness):
    """Guards against planning twice with capacity that an unanswered start may use."""
    harness = make_harness()
    harness.run_time, harness.vm.lost = 100.0, 1
    assert harness.wait_for_runs(harness.submit(16), 16) <= 0.5
    harness.submit(4)
    for _ in range(40):
        harness.step()
    assert not harness.vm.refusals


@pytest.mark.parametrize("ready", [True, False])
def test_returned_agent_lists_its_ends_before_it_gets_starts(make_harness, ready):
    """Guards against a second run of tasks that were done while the agent was away.

    After a restart, an agent answers before it has listed its worker's tasks if
    ``ready`` is false.
    """
    harness = make_harness(cores=4)
    job = harness.submit(4)
    harness.wait_for_runs(job, 4)
    harness.clock.advance(harness.shard._context.settings.timing.task_lease + 1.0)
    harness.vm.advance(harness.run_time)
    harness.shard.end_lapsed_attempts()
    harness.shard.tick()
    assert harness.queued() == 4
    harness.vm.epoch, harness.vm.ready = "e2", ready
    harness.vm.announce()
    for _ in range(10):
        harness.step()
    harness.vm.ready = True
    for _ in range(10):
        harness.step()
    assert (len(harness.vm.ran), harness.queued()) == (4, 0)
    assert harness.wait_for_runs(harness.submit(4), 4) <= 1.0
