"""Guards against rows of any writer that end each process that becomes leader."""

import threading

import msgpack
import pytest
from jobs_doubles import Site, make_job
from result import Err

from pollenkeel_jobs.core.agent import VmAgent
from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import TAKEOVER_SECONDS, Leadership
from pollenkeel_jobs.core.messages import JobQuery
from pollenkeel_jobs.core.names import (
    LEADER,
    LEADER_KEY,
    LEADER_PARTITION,
    MEMBER_PARTITION,
    MEMBERS,
)
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_jobs.core.worker import WorkerAnnouncement, WorkerFailure
from pollenkeel_standins.processes import wait_until

PLACED = [1, 1, 0, 0, ""]


@pytest.mark.parametrize(
    "task",
    [
        [1, "x", 0, 0, ""],
        [1, -1, 0, 0, ""],
        [1, 1, 1e999, 0, ""],
        [1, 1, 0, 7, ""],
        [1, 1, 0, 0, 5],
        [1, 1, 0, 0, "", [5]],
        [1, 1, 0, 0, "", [], []],
        [1, 1, 0, 0, "", [], 0, ["x"]],
        [1, 1, 0, 0, "", [], 0, [], 1],
        [9, 1, 0, 0, ""],
        "task",
    ],
)
def test_job_with_an_odd_progress_row_is_left_out(clock, task):
    """The other jobs go on."""
    site = Site(clock)
    progress = ["running", False, True, ["vm-0/w~1"], [[0, 0, [PLACED, task]]]]
    site.scheduler.load(
        [
            (encode_job(make_job("odd")), msgpack.packb(progress)),
            (encode_job(make_job("good")), None),
        ]
    )
    site.step()
    assert site.running == ["good.0.0.0", "good.0.0.1"]


@pytest.mark.parametrize("weight", [float("nan"), float("inf"), "x", None])
def test_odd_interference_row_is_ignored(weight):
    """Guards against weights that no task can be placed with."""
    model = InterferenceModel()
    model.load(msgpack.packb([2, [["odd", [["filling", weight]]]]]))
    assert model.weight("odd", "filling") == model.weight("unknown", "filling")


@pytest.mark.parametrize(
    "fields", [[1, 2, 3, 4], ["1", "h/1", "a", 1], [1, "h/1", "a"], {}, [[]] * 4]
)
def test_odd_lease_row_is_taken_over(tables, clock, ask, fields):
    """Guards against a lease that no entry can acquire."""
    row = RowWrite(LEADER, LEADER_KEY, msgpack.packb(fields))
    tables.transact(Transaction(LEADER_PARTITION, (), (row,)))
    leadership = Leadership("entry-1", "tcp://entry-1", tables, clock)
    assert not leadership.observe(ask)
    clock.advance(TAKEOVER_SECONDS + 0.1)
    assert leadership.observe(ask)


@pytest.mark.parametrize(
    "value",
    [
        msgpack.packb(["nowhere"]),
        msgpack.packb(["tcp://"]),
        msgpack.packb([""]),
        msgpack.packb([["tcp://127.0.0.1:1"]]),
        msgpack.packb(7),
        b"\xc1",
        b"",
    ],
)
def test_odd_member_row_does_not_hide_the_others(tables, clock, value):
    """Guards against a leader that stops following the table of VMs."""
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    leadership.observe(lambda leader: True)
    term = Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)
    good = msgpack.packb(["tcp://127.0.0.1:1"])
    rows = (RowWrite(MEMBERS, "a-odd", value), RowWrite(MEMBERS, "b-good", good))
    tables.transact(Transaction(MEMBER_PARTITION, (), rows))
    poll = threading.Thread(target=term._poll_members, daemon=True)
    poll.start()
    wait_until(lambda: term._senders_by_vm, 5.0)
    term.over.set()
    poll.join(5.0)
    assert [vm.name for vm in term._senders_by_vm] == ["b-good"]


def test_odd_address_of_the_leader_is_no_peer(tables, clock, ask):
    """Guards against an entry that ends because it can't reach the lease's holder."""
    fields = [1, "other/1", "tcp://", 1]
    row = RowWrite(LEADER, LEADER_KEY, msgpack.packb(fields))
    tables.transact(Transaction(LEADER_PARTITION, (), (row,)))
    leadership = Leadership("entry-1", "tcp://entry-1", tables, clock)
    contact = LeaderContact("entry-1", leadership, clock)
    query = JobQuery("entry-1", clock.now(), "j1")
    assert not leadership.observe(lambda leader: contact.ask(query, 0.1) is None)
    assert contact.ask(query, 0.1) is None


class FailingWorker:
    """Worker whose first poll fails in a way that nobody expects."""

    def __init__(self):
        self.polls = 0

    def hold(self, *_):
        self.polls += 1
        if self.polls == 1:
            raise ZeroDivisionError
        return Err(WorkerFailure(False, "no reply"))


def test_unexpected_error_in_a_poll_does_not_end_the_agent(clock):
    """Guards against one message or reply that ends the agent's process."""
    worker = FailingWorker()
    agent = VmAgent("vm-1", clock, worker)
    announcement = WorkerAnnouncement("w", 1, "desk", "z1", 1, False, Demand(), ())
    agent.record_announcement(announcement)
    stop = threading.Event()
    thread = threading.Thread(target=agent.run, args=(stop,), daemon=True)
    thread.start()
    wait_until(lambda: worker.polls > 1, 5.0)
    stop.set()
    thread.join(5.0)
    assert not thread.is_alive()
