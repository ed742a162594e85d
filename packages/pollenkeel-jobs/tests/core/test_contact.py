"""Guards against entries and agents that lose the leader on a failed connection."""

import threading
import types

import pytest

from pollenkeel_jobs.core.agent import VmAgent
from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.leadership import LeaseRecord
from pollenkeel_jobs.core.messages import (
    JobQuery,
    JobQueryReply,
    VmOrders,
    VmReport,
    VmReportReply,
)
from pollenkeel_kernel import SystemClock
from pollenkeel_kernel.core.messages import ErrorReply
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.relay import Relay

CLOCK = SystemClock()


class LeaderDouble:
    """Leader that replies to reports and queries and records the reports."""

    def __init__(self, port):
        self.reports = []
        self.server = ReplyServer(
            f"tcp://127.0.0.1:{port}", "leader", CLOCK, self.handle
        )

    def handle(self, message):
        if isinstance(message, VmReport):
            self.reports.append(message)
            return VmReportReply("leader", CLOCK.now(), 5)
        return JobQueryReply("leader", CLOCK.now(), "running")


@pytest.fixture
def leader(free_ports):
    double = LeaderDouble(free_ports[0])
    yield double
    double.server.close()


@pytest.fixture
def relay(leader, free_ports):
    with Relay(f"tcp://127.0.0.1:{free_ports[0]}") as relay:
        yield relay


def test_entry_replaces_a_connection_that_stays_silent(relay):
    """Guards against an entry that accepts no jobs after a connection went silent.

    Seen with soak seed 101.
    """
    lease = types.SimpleNamespace(leader=LeaseRecord(5, "e", relay.address, 1))
    contact = LeaderContact("entry-1", lease, CLOCK)
    query = JobQuery("entry-1", CLOCK.now(), "j1")
    assert contact.ask(query, 2.0) is not None
    relay.silence_established()
    wait_until(lambda: contact.ask(query, 0.3), 10.0, "the leader answers again")


def test_entry_that_gave_up_its_lease_calls_its_successor(relay):
    """Guards against an entry without store access that calls itself (inc-a2a5)."""
    lease = types.SimpleNamespace(
        leader=LeaseRecord(0, "e", relay.address, 0), holds_lease=False
    )
    contact = LeaderContact("entry-1", lease, CLOCK)
    contact.term = types.SimpleNamespace(
        over=threading.Event(), handle=lambda message: ErrorReply("e", 0.0, 2003, "")
    )
    query = JobQuery("entry-1", CLOCK.now(), "j1")
    assert isinstance(contact.ask(query, 2.0), JobQueryReply)


def test_agent_replaces_a_connection_that_stays_silent(relay, leader):
    """Guards against an agent that starts no tasks after a connection went silent.

    Seen with soak seed 101.
    """
    agent = VmAgent("vm-1", CLOCK, worker=None)
    agent.handle(VmOrders("leader", CLOCK.now(), 5, relay.address, "", 0.0, [], [], {}))
    report = VmReport("vm-1", CLOCK.now(), "vm-1", 5)
    wait_until(
        lambda: agent._send_report(report, None) or leader.reports, 5.0, "reports"
    )
    relay.silence_established()
    count_before = len(leader.reports)

    def report_arrives():
        agent._send_report(report, None)
        return len(leader.reports) > count_before

    wait_until(report_arrives, 10.0, "the leader hears of the agent again")
