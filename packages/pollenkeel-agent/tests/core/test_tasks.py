"""Guards against tasks that run twice, without a lease or beyond the VM's capacity."""

import threading

import attrs
import pytest

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.site import SiteState
from pollenkeel_agent.core.tasks import TaskHandler
from pollenkeel_agent.core.worker import WorkerClient
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.messages import (
    AnnounceReply,
    Resources,
    TaskExchange,
    TaskKey,
    TaskStart,
)
from pollenkeel_kernel.core.settings import TimingSettings

KEY = TaskKey("t", 1)
TASK_RESOURCES = {"cores": 2.0, "memory_gb": 4.0, "accelerators": 0}


class Agent:
    def __init__(self, clock, worker, permit=3.0):
        self.clock = clock
        self.worker = worker
        self.ledger = Ledger(Resources(8, 32))
        self.site = SiteState("kingston", clock, 0.5)
        self.leaving = threading.Event()
        if permit:
            self.grant(permit)
        self.handler = TaskHandler(
            "agent",
            "e1",
            clock,
            TimingSettings(),
            self.ledger,
            self.site,
            WorkerClient(worker.url, clock),
            self.leaving,
        )

    def grant(self, permit, ahead=0.0):
        now = self.clock.now()
        reply = AnnounceReply("entry", now + ahead, "x", None, now + ahead + permit, [])
        self.site.accept(reply, now, now)

    def start(self, task_id="t", attempt=1, **fields):
        now = self.clock.now()
        values = {"start_before": now + 2, "lease_until": now + 15, **fields}
        return TaskStart(
            task_id, attempt, "cut", "north", Resources(2, 4), "run 1", "", **values
        )

    def exchange(self, *starts, **fields):
        now = self.clock.now()
        values = {
            "agent_epoch": "e1",
            "shard": 3,
            "shard_epoch": 7,
            "lease_until": now + 15,
            "shard_lease_until": now + 6,
            **fields,
        }
        return self.handler.exchange(
            TaskExchange("owner", now, starts=list(starts), **values)
        )

    def states(self, **fields):
        reply = self.exchange(**fields)
        return {(t.task_id, t.attempt): (t.state, t.code) for t in reply.tasks}


@pytest.fixture
def agent(clock, worker):
    agent = Agent(clock, worker)
    agent.handler.poll()
    yield agent
    agent.handler.close()


def only_state(reply):
    assert len(reply.tasks) == 1
    return reply.tasks[0].state, reply.tasks[0].code


def wait_for(condition):
    for _ in range(1000):
        if condition():
            return
        threading.Event().wait(0.01)
    raise AssertionError("condition not met within 10 s")


def test_duplicate_start_gets_the_same_reply(agent, worker):
    """Guards against a second start by a duplicate delivery."""
    start = agent.start()
    assert only_state(agent.exchange(start)) == ("running", Code.OK)
    assert only_state(agent.exchange(start)) == ("running", Code.OK)
    assert len(worker.starts) == 1
    refused = agent.start("u", start_before=agent.clock.now())
    for _ in range(2):
        agent.exchange(refused)
        assert agent.states()["u", 1] == ("refused", Code.START_EXPIRED)


def test_restarted_agent_lists_running_tasks_before_it_admits(clock, worker):
    """Guards against overcommitting the VM and renewing leases for unknown owners."""
    worker.add(("t", 1), TASK_RESOURCES, usage={**TASK_RESOURCES, "cores": 7.0})
    agent = Agent(clock, worker)
    reply = agent.exchange(agent.start("u"))
    assert (only_state(reply), reply.complete) == (
        ("refused", Code.CAPACITY_UNKNOWN),
        False,
    )
    agent.handler.poll()
    agent.exchange(agent.start("v"))
    assert agent.states()["v", 1] == ("refused", Code.VM_FULL)
    clock.advance(3.6)
    reply = agent.exchange(shard=4)
    assert (reply.tasks, reply.complete, worker.leases) == ([], False, [])
    assert agent.states(running=[KEY])["t", 1] == ("running", Code.OK)
    assert [lease["task_id"] for lease in worker.leases[-1]] == ["t"]
    assert agent.exchange().complete
    assert agent.exchange(shard=4).complete
    agent.handler.close()


def test_orders_with_old_epochs_are_refused(agent, worker):
    """Guards against two owners of a shard that both start tasks on one VM."""
    assert agent.exchange(shard_epoch=8).code == Code.OK
    assert agent.exchange(agent.start()).code == Code.STALE_SHARD_EPOCH
    assert agent.exchange(agent.start(), shard=4).code == Code.OK
    assert agent.exchange(agent_epoch="e0").code == Code.STALE_AGENT_EPOCH
    assert len(worker.starts) == 1


def test_start_requires_a_permit_and_is_bounded_by_it(clock, worker):
    """Guards against starts in a drained data centre."""
    agent = Agent(clock, worker, permit=0)
    agent.handler.poll()
    assert only_state(agent.exchange(agent.start())) == ("refused", Code.NO_PERMIT)
    agent.grant(1)
    agent.exchange(agent.start("u"))
    assert worker.starts[0][1]["start_before"] == clock.now() + 1
    clock.advance(1)
    agent.exchange(agent.start("v"))
    assert agent.states()["v", 1] == ("refused", Code.NO_PERMIT)
    agent.handler.close()


@pytest.mark.parametrize("offset", [-40.0, 40.0])
def test_deadlines_are_sent_on_the_clock_of_the_worker(clock, worker, offset):
    """Guards against leases that outlast the owner's because the clocks differ."""
    worker.offset = offset
    agent = Agent(clock, worker)
    agent.handler.poll()
    start = agent.start()
    assert only_state(agent.exchange(start)) == ("running", Code.OK)
    sent = worker.starts[0][1]
    assert sent["lease_until"] == pytest.approx(start.lease_until + offset)
    agent.handler.close()


def test_deadlines_become_earlier_by_the_round_trip(clock, worker):
    """Guards against a late start after a slow reply to the list."""
    agent = Agent(clock, worker)
    route = worker.route

    def answer_slowly(*args):
        reply = route(*args)
        reply[1]["now"] = worker.now()
        clock.advance(0.3)
        return reply

    worker.route = answer_slowly
    agent.handler.poll()
    worker.route = route
    start = agent.start()
    agent.exchange(start)
    sent = worker.starts[0][1]["start_before"]
    assert sent == pytest.approx(start.start_before - 0.3)
    agent.handler.close()


def test_starts_are_refused_but_leases_renewed_under_clock_skew(agent, worker):
    """Guards against starts whose leases cannot be compared between clocks."""
    agent.exchange(agent.start())
    agent.grant(3, ahead=0.8)
    agent.exchange(agent.start("u"))
    assert agent.states()["u", 1] == ("refused", Code.CLOCK_SKEW)
    assert worker.leases


def test_start_delayed_by_a_suspended_agent_is_refused_by_the_worker(agent, worker):
    """Guards against a late start by an agent suspended between check and call."""
    send = agent.handler._worker.start

    def send_late(start, start_before):
        agent.clock.advance(60)
        return send(start, start_before)

    agent.handler._worker.start = send_late
    assert only_state(agent.exchange(agent.start())) == ("refused", Code.START_EXPIRED)
    assert worker.tasks == {}
    assert agent.ledger.free() == Resources(8, 32)


@pytest.mark.parametrize(
    ("status", "code"), [(409, Code.VM_FULL), (500, Code.WORKER_UNAVAILABLE)]
)
def test_refusal_of_the_worker_frees_the_resources(agent, worker, status, code):
    """Guards against leaking reservations of refused starts."""
    worker.start_status = status
    assert only_state(agent.exchange(agent.start())) == ("refused", code)
    assert agent.ledger.free() == Resources(8, 32)


@pytest.mark.parametrize("arrives", [True, False])
def test_unanswered_start_keeps_its_reservation_until_resolved(agent, worker, arrives):
    """Guards against reporting a start as failed that the worker executes late."""
    worker.hold_starts = threading.Event()
    agent.handler._worker = WorkerClient(worker.url, agent.clock, 0.2)
    agent.handler.poll()
    agent.clock.advance(3.6)
    agent.grant(3)
    reply = agent.exchange(agent.start(), agent.start("u"))
    assert [(t.task_id, t.state) for t in reply.tasks] == [("u", "refused")]
    assert not reply.complete
    agent.handler.poll()
    assert agent.ledger.free() == Resources(6, 28)
    assert not agent.exchange().complete
    if arrives:
        worker.hold_starts.set()
        wait_for(lambda: worker.tasks)
    else:
        agent.clock.advance(10)
    agent.handler.poll()
    expected = ("running", Code.OK) if arrives else ("refused", Code.WORKER_UNAVAILABLE)
    assert agent.states()["t", 1] == expected
    assert agent.ledger.free() == (Resources(6, 28) if arrives else Resources(8, 32))


def test_leases_are_renewed_and_never_shortened(agent, worker):
    """Guards against a delayed exchange that shortens a lease."""
    agent.exchange(agent.start())
    later = agent.clock.now() + 30
    agent.exchange(lease_until=later)
    agent.exchange(lease_until=later - 20)
    assert [leases[0]["lease_until"] for leases in worker.leases] == [later, later]


def test_eviction_is_reported_until_acknowledged_then_removed(agent, worker):
    """Guards against losing a checkpoint when the owner or the agent crashes."""
    agent.exchange(agent.start())
    agent.exchange(evicts=[KEY])
    wait_for(lambda: agent.states()["t", 1][0] == "evicted")
    assert agent.ledger.free() == Resources(8, 32)
    reply = agent.exchange()
    assert reply.tasks[0].checkpoint_key == "checkpoints/t/1"
    assert agent.exchange(acknowledged=[KEY]).tasks == []
    agent.clock.advance(5)
    agent.handler.poll()
    assert worker.tasks == {}
    agent.handler.poll()
    assert agent.handler.records.describe() == {}


def test_ended_attempt_without_known_shard_is_kept_then_removed(clock, worker):
    """Guards against losing the end of an attempt and against unbounded lists."""
    worker.add(("t", 1), TASK_RESOURCES, checkpoint_key="c")
    worker.tasks["t", 1]["state"] = "evicted"
    agent = Agent(clock, worker)
    agent.handler.poll()
    clock.advance(900)
    agent.handler.poll()
    reply = agent.exchange(running=[KEY])
    assert reply.tasks[0].checkpoint_key == "c"
    worker.tasks["u", 1] = {**worker.tasks["t", 1], "task_id": "u"}
    agent.handler.poll()
    clock.advance(1000)
    agent.handler.poll()
    assert list(worker.tasks) == [("t", 1)]
    agent.handler.close()


def test_duplicate_start_after_the_end_does_not_run_again(agent, worker):
    """Guards against running a task again after a delayed duplicate of its start."""
    start = agent.start()
    agent.exchange(start)
    agent.exchange(stops=[KEY])
    wait_for(lambda: agent.states()["t", 1][0] == "stopped")
    agent.exchange(acknowledged=[KEY])
    agent.handler.poll()
    agent.exchange(start)
    assert len(worker.starts) == 1


def test_attempt_that_the_worker_lost_is_reported(agent, worker):
    """Guards against waiting forever for a task that a replaced worker ran."""
    agent.exchange(agent.start())
    worker.tasks.clear()
    agent.handler.poll()
    assert agent.states()["t", 1] == ("lapsed", Code.ATTEMPT_LOST)
    assert agent.ledger.free() == Resources(8, 32)


def test_stopping_agent_starts_nothing_and_keeps_tasks_alive(agent, worker):
    """Guards against losing batch work when an agent is replaced."""
    agent.exchange(agent.start())
    agent.leaving.set()
    agent.exchange(agent.start("u"))
    states = agent.states()
    assert states["t", 1][0] == "running"
    assert states["u", 1] == ("refused", Code.AGENT_LEAVING)
    assert worker.leases


def test_starts_are_refused_while_the_worker_does_not_respond(agent, worker):
    """Guards against starts that queue up for an unreachable worker."""
    worker.close()
    agent.handler.poll()
    assert not agent.handler.worker_ready
    reply = agent.exchange(attrs.evolve(agent.start(), task_id="x"))
    assert only_state(reply) == ("refused", Code.WORKER_UNAVAILABLE)


def test_restarted_agent_accepts_a_first_owner_only_within_its_lease(agent, clock):
    """Guards against leases renewed by an owner that an earlier process refused."""
    late = {"shard_epoch": 4, "shard_lease_until": clock.now()}
    assert agent.exchange(agent.start(), **late).code == Code.NOT_OWNER.value
    assert agent.exchange(**{**late, "shard_epoch": 5}).code == Code.NOT_OWNER.value
    assert agent.exchange(shard_epoch=6).code == Code.OK.value
    # An owner that was accepted before may continue during a store outage.
    assert agent.exchange(**{**late, "shard_epoch": 6}).code == Code.OK.value
    assert agent.exchange(**late).code == Code.STALE_SHARD_EPOCH.value


@pytest.mark.parametrize(("ahead", "earlier"), [(2.0, 2.0), (-2.0, 0.0)])
def test_renewed_lease_is_converted_to_the_local_clock(agent, clock, ahead, earlier):
    """Guards against a task that keeps running after its owner declared it lost."""
    now = clock.now()
    reply = AnnounceReply("owner", now + ahead, "x", None, now + ahead + 3, [])
    agent.site.accept(reply, now, now)
    until = now + 60
    agent.exchange(lease_until=until)
    renewed = agent.handler.describe()["lease_until_by_shard"]
    assert list(renewed.values()) == [pytest.approx(until - earlier, abs=0.05)]
