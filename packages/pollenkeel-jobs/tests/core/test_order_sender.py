"""Tests of when the orders for a VM leave the leader."""

import threading
import types

import pytest
from jobs_doubles import Site, make_job
from result import Err, Ok

from pollenkeel_jobs.core.messages import VmOrdersReply
from pollenkeel_jobs.core.order_sender import VmOrderSender
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.term_context import TermContext
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_standins.processes import wait_until


class BusyPeer:
    """Connection to an agent that answers starts only once ``released`` is set."""

    address = "tcp://nowhere"

    def __init__(self):
        self.messages = []
        self.released = threading.Event()
        self.is_lost = False

    def call(self, message, deadline, connect_deadline):
        self.messages.append(message)
        if self.is_lost:
            return Err(Refusal(Code.NO_REPLY, "lost"))
        if message.starts:
            self.released.wait(5.0)
        return Ok(VmOrdersReply("vm-0", 0.0, message.epoch, []))

    def redial(self):
        pass

    def close(self):
        pass

    def list_stopped(self):
        return {stop.task_id for message in self.messages for stop in message.stops}

    def list_started(self):
        return [start.task_id for message in self.messages for start in message.starts]


class Leader:
    """A scheduler with one VM and the sender of its orders."""

    def __init__(self, clock):
        self.site = Site(clock, cpu=8000)
        self.peer = BusyPeer()
        self.over = threading.Event()
        leadership = types.SimpleNamespace(leads=True)
        term = TermContext(
            "entry-1",
            "tcp://nowhere",
            leadership,
            self.site.scheduler,
            clock,
            self.over,
        )
        self.sender = VmOrderSender(term, self.site.vms[0].vm, self.peer)

    def add_job(self, job_id):
        step = StepSpec(2, Demand(1000, 100))
        self.site.scheduler.add_job(make_job(job_id, steps=(step,)))

    def run_pass(self):
        self.site.vms[0].report()
        planned = self.site.scheduler.plan()
        self.site.scheduler.confirm(planned)
        for batch in planned.order_batches:
            self.sender.add(batch)


@pytest.fixture
def leader(clock):
    leader = Leader(clock)
    yield leader
    leader.peer.released.set()
    leader.over.set()
    leader.sender.wake()


def test_stop_does_not_wait_for_the_reply_to_starts(leader):
    """Guards against runs of a cancelled job that start while its stop is queued."""
    leader.add_job("j1")
    leader.run_pass()
    wait_until(leader.peer.list_started, 5.0, "starts")
    leader.site.scheduler.cancel_job("j1")
    leader.run_pass()
    wait_until(leader.peer.list_stopped, 2.0, "stops")
    assert leader.peer.list_stopped() == {"j1.0.0.0", "j1.0.0.1"}
    assert not leader.peer.released.is_set()


def test_start_that_is_queued_behind_others_is_not_sent_after_a_cancellation(leader):
    """Guards against starts that leave the leader after the job was cancelled."""
    leader.add_job("j1")
    leader.run_pass()
    wait_until(leader.peer.list_started, 5.0, "starts")
    leader.add_job("j2")
    leader.run_pass()
    leader.site.scheduler.cancel_job("j2")
    leader.peer.released.set()
    leader.add_job("j3")
    leader.run_pass()
    wait_until(lambda: "j3.0.0.0" in leader.peer.list_started(), 5.0, "next starts")
    assert not [task for task in leader.peer.list_started() if task.startswith("j2")]


def test_lost_stop_does_not_end_the_sender(leader):
    """Guards against a VM that gets no orders after a stop was lost."""
    leader.add_job("j1")
    leader.run_pass()
    wait_until(leader.peer.list_started, 5.0, "starts")
    leader.site.scheduler.cancel_job("j1")
    leader.peer.is_lost = True
    leader.run_pass()
    wait_until(leader.peer.list_stopped, 2.0, "stops")
    leader.peer.is_lost = False
    leader.peer.released.set()
    leader.add_job("j2")
    leader.run_pass()
    wait_until(lambda: "j2.0.0.0" in leader.peer.list_started(), 5.0, "next starts")
