"""Tests of how an agent executes the orders of a leader."""

import threading

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
from result import Ok

from pollenkeel_jobs.core import agent as agent_module
from pollenkeel_jobs.core.messages import StopOrder
from pollenkeel_jobs.core.worker import WorkerLists
from pollenkeel_standins.processes import wait_until

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


@pytest.mark.parametrize("seconds", [0.3, 3.5])
def test_start_is_not_sent_to_a_worker_that_restarted_unseen(
    agent, clock, worker, seconds
):
    """Guards against a task on a worker without the label that it needs (review/15).

    The agent was suspended; its worker is back under its id, maybe as another kind.
    """
    orders = make_orders(agent, TASK)
    clock.advance(seconds)
    worker.born = 2
    outcomes = agent.handle(orders).outcomes
    assert worker.started == []
    assert [o.outcome for o in outcomes] == ["refused"]
    assert not agent._tracker.state.announced


def test_start_is_not_sent_to_a_worker_that_does_not_answer(agent, clock, worker):
    """Guards against starts that a silent worker may execute after a restart."""
    orders = make_orders(agent, TASK, "j.0.0.1")
    clock.advance(3.5)
    worker.answers = False
    del worker.holds[:]
    outcomes = agent.handle(orders).outcomes
    assert worker.started == []
    assert [o.outcome for o in outcomes] == ["refused", "refused"]
    # The second start does not wait for another timeout.
    assert len(worker.holds) == 1


def test_list_read_after_a_suspension_tells_no_later_time(agent, clock, worker):
    """Guards against an order that has run out but seems valid (review/11).

    The worker made the list before the agent was suspended; it is read after it.
    """

    def hold_during_suspension(order, deadline, recorded_through, wait):
        clock.advance((DEADLINE - LISTED_AT) / 1000 + 0.1)
        return Ok(WorkerLists(LISTED_AT, [], []))

    worker.hold = hold_during_suspension
    poll(agent)
    assert agent._tracker.state.has_passed(DEADLINE, clock.now())


def test_starts_right_after_an_answer_need_no_further_call(agent, worker):
    """Guards against a call to the worker before each start."""
    poll(agent)
    del worker.holds[:]
    order_starts(agent, TASK, "j.0.0.1")
    assert worker.holds == []


def test_answer_of_a_long_poll_confirms_the_worker(agent, clock, worker):
    """Guards against a further call after an answer that the worker held back.

    The worker's clock tells how long.
    """

    def hold_for_a_while(order, deadline, recorded_through, wait):
        clock.advance(0.4)
        return Ok(WorkerLists(LISTED_AT + 400.0, [], []))

    answer_at_once, worker.hold = worker.hold, hold_for_a_while
    poll(agent)
    worker.hold = answer_at_once
    del worker.holds[:]
    order_starts(agent, TASK)
    assert worker.holds == []


def test_clock_of_a_malformed_answer_is_forgotten(agent, clock, worker):
    """Guards against a worker whose starts are all late after one odd answer."""
    for worker_clock in (1e15, LISTED_AT):
        worker.lists = WorkerLists(worker_clock, [], [])
        clock.advance(0.1)
        poll(agent)
    assert [o.outcome for o in order_starts(agent, TASK)] == ["started"]


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


@pytest.fixture
def slow_worker(worker, monkeypatch):
    """Worker whose starts wait until ``released`` is set, longer than the agent."""
    monkeypatch.setattr(agent_module, "_ORDER_TIMEOUT_SECONDS", 0.1)
    worker.released = threading.Event()
    worker.waiting = 0
    start = worker.start

    def wait_and_start(*args):
        worker.waiting += 1
        worker.released.wait(5.0)
        return start(*args)

    monkeypatch.setattr(worker, "start", wait_and_start)
    yield worker
    worker.released.set()


def test_start_that_waits_for_a_thread_too_long_is_refused(agent, slow_worker):
    """Guards against starts that are sent after the leader has cancelled the job."""
    tasks = [f"j.0.0.{index}" for index in range(12)]
    outcomes = order_starts(agent, *tasks)
    unknown = [o.task_id for o in outcomes if o.outcome == "unknown"]
    refused = [o for o in outcomes if o.outcome == "refused"]
    assert len(unknown) + len(refused) == 12
    assert {o.reason for o in refused} == {"not sent in time"}
    slow_worker.released.set()
    agent._start_pool.shutdown()
    assert sorted(task for task, _ in slow_worker.started) == sorted(unknown)


def test_stop_does_not_wait_for_starts(agent, slow_worker):
    """Guards against runs of a cancelled job that go on behind slow starts."""
    order_starts(agent, *(f"j.0.0.{index}" for index in range(12)))
    agent.handle(make_orders(agent, stops=[(TASK, 1)]))
    assert slow_worker.stopped == [(1, TASK, 1)]


def test_stops_that_are_not_answered_do_not_pile_up(agent, worker, monkeypatch):
    """Guards against a queue of stops that grows while a worker is silent."""
    monkeypatch.setattr(agent_module, "_ORDER_TIMEOUT_SECONDS", 0.1)
    released, stopped = threading.Event(), []

    def stop(order, task_id, run):
        stopped.append(task_id)
        released.wait(5.0)
        return Ok(None)

    monkeypatch.setattr(worker, "stop", stop)
    stops = [(f"j.0.0.{index}", 1) for index in range(12)]
    for _ in range(3):
        agent.handle(make_orders(agent, stops=stops))
    released.set()
    agent._control_pool.shutdown()
    assert len(stopped) == agent_module._CONTROL_THREADS


def test_start_that_waits_for_a_thread_is_not_sent_after_its_stop(
    agent, slow_worker, monkeypatch
):
    """Guards against runs that start after the cancellation of their job."""
    monkeypatch.setattr(agent_module, "_ORDER_TIMEOUT_SECONDS", 5.0)
    tasks = [f"j.0.0.{index}" for index in range(12)]
    outcomes = []
    orders = threading.Thread(
        target=lambda: outcomes.extend(order_starts(agent, *tasks))
    )
    orders.start()
    wait_until(lambda: slow_worker.waiting == agent_module._START_THREADS, 5.0)
    agent.handle(make_orders(agent, stops=[(task, 1) for task in tasks]))
    slow_worker.released.set()
    orders.join(5.0)
    started = [task for task, _ in slow_worker.started]
    assert len(started) == agent_module._START_THREADS
    refused = [o for o in outcomes if o.outcome == "refused"]
    assert {o.task_id for o in refused} == set(tasks) - set(started)
    assert {o.reason for o in refused} == {"stopped"}


def test_stop_of_an_earlier_run_does_not_prevent_a_later_one(agent, worker):
    """Guards against a task that never runs again after one of its runs was revoked."""
    agent.handle(make_orders(agent, stops=[(TASK, 0)]))
    assert [o.outcome for o in order_starts(agent, TASK)] == ["started"]
