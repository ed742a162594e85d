"""Tests of how an agent executes the orders of a leader."""

import pytest
from agent_doubles import (
    DEADLINE,
    EPOCH,
    LISTED_AT,
    make_orders,
    order_starts,
    poll,
    restart,
)

from pollenkeel_jobs.core.messages import StopOrder

TASK = "j.0.0.0"


@pytest.fixture
def agent(agent, worker):
    """Agent that knows its worker and the leader, so that it polls only when told."""
    restart(agent, worker, 1)
    agent._epoch = EPOCH
    return agent


def test_start_is_not_sent_after_its_deadline(agent, clock, worker):
    """Guards against a task on two VMs after an agent was paused.

    The worker has restarted meanwhile. Its clock begins anew, so that it would accept
    the start long after the leader has given the run up.
    """
    orders = make_orders(agent, TASK)
    clock.advance((DEADLINE - LISTED_AT) / 1000 + 0.1)
    worker.born = 2
    outcomes = agent.handle(orders).outcomes
    assert worker.started == []
    assert [(o.outcome, o.reason) for o in outcomes] == [("refused", "late")]


def test_start_is_sent_until_its_deadline(agent, clock, worker):
    clock.advance((DEADLINE - LISTED_AT) / 1000 - 0.1)
    assert [o.outcome for o in order_starts(agent, TASK)] == ["started"]


def test_start_is_not_sent_to_the_next_incarnation(agent, clock, worker):
    """Guards against starts that wait for a free thread while the worker restarts."""
    state, orders = agent._tracker.state, make_orders(agent, TASK)
    restart(agent, worker, 2)
    outcomes = agent._execute_orders(orders, state, "")
    assert worker.started == []
    assert [(o.outcome, o.reason) for o in outcomes] == [("refused", "another worker")]


def test_start_that_the_next_incarnation_executes_is_revoked(agent, worker, reports):
    """Guards against a run that the leader can't see while it starts it elsewhere."""
    worker.born = 2
    assert [o.outcome for o in order_starts(agent, TASK)] == ["unknown"]
    assert worker.stopped == [(2, TASK, 1)]
    poll(agent)
    report = reports[-1]
    assert (report.worker, report.state) == ("vm-1/w~2", "starting")
    assert report.withdrawn == [StopOrder(TASK, 1)]
    assert [crash.suspects for crash in report.crashes] == [[]]


def test_starts_of_one_message_are_all_revoked_at_the_next_incarnation(agent, worker):
    worker.born = 2
    tasks = [f"j.0.0.{index}" for index in range(20)]
    order_starts(agent, *tasks)
    started = {task for task, _ in worker.started}
    assert started
    assert {task for _, task, _ in worker.stopped} == started
