"""Test doubles for an agent: its worker, and orders of a leader."""

import pytest
from result import Err, Ok

from pollenkeel_jobs.core.agent import VmAgent
from pollenkeel_jobs.core.messages import StartOrder, StopOrder, TaskProfile, VmOrders
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.worker import (
    Worker,
    WorkerAnnouncement,
    WorkerFailure,
    WorkerLists,
)

EPOCH = 5
#: Time on the worker's clock at which it lists its runs, in milliseconds.
LISTED_AT = 1_000.0
#: Deadline of the orders, on the worker's clock in milliseconds.
DEADLINE = LISTED_AT + 5_000.0


class WorkerDouble(Worker):
    """Worker that answers as one incarnation and records its calls.

    It rejects the starts of the tasks in ``rejected`` and, unless ``answers_starts``,
    does not respond to the others. ``listens`` tells whether a call that fails was
    certainly not executed.
    """

    def __init__(self):
        self.worker_id, self.born = "w", 1
        self.answers = True
        self.answers_starts = True
        self.listens = True
        self.rejected = set()
        self.lists = WorkerLists(LISTED_AT, [], [])
        self.holds = []
        self.started = []
        self.stopped = []

    def start(self, order, start, payload, deadline):
        if start.task_id in self.rejected:
            return Err(WorkerFailure(True, "room"))
        self.started.append((start.task_id, start.run))
        if not self.answers_starts:
            return Err(WorkerFailure(False, "no response", timed_out=True))
        return self._answer(order, None)

    def stop(self, order, task_id, run):
        self.stopped.append((order.born, task_id, run))
        return self._answer(order, None)

    def hold(self, order, deadline, recorded_through, wait):
        self.holds.append((order.born, deadline, recorded_through))
        return self._answer(order, self.lists)

    def pace(self, order, task_id, run, percent):
        return self._answer(order, None)

    def _answer(self, order, value):
        if not self.answers:
            listens = self.listens
            return Err(WorkerFailure(not listens, "no response", timed_out=listens))
        if order.worker_id != self.worker_id:
            return Err(WorkerFailure(True, "421", True))
        if order.born != self.born:
            return Err(WorkerFailure(False, "another incarnation", True, self.born))
        return Ok(value)


def announce(born=1, sequence=1, service="desk", **fields):
    """Return an announcement of the worker ``w``."""
    fields = {"draining": False, "capacity": Demand(4000, 8000), **fields}
    return WorkerAnnouncement(
        "w", born, service, "z1", sequence, labels=("a",), **fields
    )


def poll(agent, times=1):
    """Let an agent poll its worker and report."""
    for _ in range(times):
        agent._poll_worker(0.01)


def restart(agent, worker, born):
    """Let the worker answer as an incarnation that announces itself to the agent."""
    worker.born = born
    agent.record_announcement(announce(born))
    poll(agent)


def make_orders(agent, *task_ids, stops=(), deadline=DEADLINE):
    """Return orders for the worker that the agent knows."""
    starts = [
        StartOrder(task_id, 1, TaskProfile(task_id), "", "") for task_id in task_ids
    ]
    return VmOrders(
        "e",
        0.0,
        EPOCH,
        "tcp://127.0.0.1:1",
        agent._tracker.get_vm_incarnation(agent._tracker.state),
        deadline,
        starts,
        [StopOrder(*stop) for stop in stops],
    )


def order_starts(agent, *task_ids):
    """Let an agent start the first runs of tasks; return the outcomes."""
    return agent.handle(make_orders(agent, *task_ids)).outcomes


@pytest.fixture
def worker():
    return WorkerDouble()


@pytest.fixture
def reports():
    return []


@pytest.fixture
def agent(clock, worker, reports, monkeypatch):
    """Agent of a VM whose reports go to ``reports``."""
    agent = VmAgent("vm-1", clock, worker)
    monkeypatch.setattr(
        agent,
        "_send_report",
        lambda report, state: bool(reports.append(report)) or True,
    )
    return agent
