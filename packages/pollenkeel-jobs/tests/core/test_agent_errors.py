"""Guards against an agent that stops reporting because one decision fails.

Without a report the leader grants no lease, and all runs on the VM end.
"""

import logbook
import pytest
from agent_doubles import LISTED_AT, order_starts, poll, restart

from pollenkeel_jobs.core.messages import RunningTask
from pollenkeel_jobs.core.metrics import AGENT_DECISION_ERRORS
from pollenkeel_jobs.core.pacing import Pace, PaceController
from pollenkeel_jobs.core.worker import WorkerLists
from pollenkeel_kernel.core.codes import Code

RUNS = [RunningTask("a.0.0.0", 1), RunningTask("b.0.0.0", 1)]


def fail(*args, **kwargs):
    raise ZeroDivisionError("float division by zero")


@pytest.fixture
def lines():
    """Log lines of errors."""
    with logbook.TestHandler() as handler:
        yield handler.records


@pytest.fixture
def carrying(agent, worker, reports):
    """Agent whose worker runs ``RUNS``; the reports so far are dropped."""
    restart(agent, worker, 1)
    worker.lists = WorkerLists(LISTED_AT, RUNS, [])
    reports.clear()
    return agent


def count_errors(decision):
    return AGENT_DECISION_ERRORS.labels(decision)._value.get()


def find_failures(lines):
    return [line for line in lines if line.message == "decision of the agent failed"]


def test_error_in_pacing_does_not_prevent_the_report(
    carrying, reports, monkeypatch, lines
):
    """A best-effort task without CPU made all runs on its VM lapse."""
    monkeypatch.setattr(PaceController, "decide", fail)
    before = count_errors("pacing")
    poll(carrying)
    assert [report.running for report in reports] == [RUNS]
    assert count_errors("pacing") == before + 1
    (line,) = find_failures(lines)
    assert line.extra["code"] == Code.AGENT_DECISION_FAILED
    assert line.extra["decision"] == "pacing"
    assert "ZeroDivisionError" in line.formatted_exception


def test_error_with_one_run_does_not_prevent_the_paces_of_others(
    carrying, worker, monkeypatch
):
    """Guards against best-effort tasks that are not throttled for another's error."""
    paces = [Pace("a.0.0.0", 1, 30), Pace("b.0.0.0", 1, 40)]
    monkeypatch.setattr(PaceController, "decide", lambda *args: iter(paces))
    paced = []

    def pace(order, task_id, run, percent):
        paced.append(task_id)
        if task_id == "a.0.0.0":
            fail()
        return worker._answer(order, None)

    worker.pace = pace
    poll(carrying)
    assert paced == ["a.0.0.0", "b.0.0.0"]


@pytest.mark.parametrize(
    "method, born", [("begin_unannounced", 2), ("confirm_next", 1)]
)
def test_error_with_an_incarnation_does_not_prevent_the_report(
    carrying, worker, reports, monkeypatch, method, born
):
    monkeypatch.setattr(carrying._tracker, method, fail)
    worker.born = born
    poll(carrying)
    assert len(reports) == 1


def test_error_in_the_call_to_the_worker_does_not_prevent_the_report(
    carrying, worker, reports
):
    """The leader must learn that the agent is alive and the worker gives no lists."""
    worker.hold = fail
    poll(carrying)
    (report,) = reports
    assert report.worker.endswith("w~1")
    assert not report.clock and not report.rejecting


def test_error_in_the_starts_of_a_worker_does_not_prevent_the_report(
    carrying, reports, monkeypatch
):
    monkeypatch.setattr(carrying._tracker.state.starts, "record_listed", fail)
    poll(carrying)
    assert [report.running for report in reports] == [RUNS]


def test_error_in_the_first_pace_of_a_run_hides_no_start(carrying, worker, monkeypatch):
    """Guards against a run that the leader takes for refused although it runs."""
    monkeypatch.setattr(PaceController, "admit", fail)
    outcomes = order_starts(carrying, "c.0.0.0")
    assert [outcome.outcome for outcome in outcomes] == ["started"]
    assert worker.started == [("c.0.0.0", 1)]


def test_error_in_one_start_hides_no_outcome_of_others(carrying, worker):
    """Guards against the outcomes of all starts lost for one of them."""
    start = worker.start

    def start_or_fail(order, item, payload, deadline):
        return (
            fail()
            if item.task_id == "c.0.0.0"
            else start(order, item, payload, deadline)
        )

    worker.start = start_or_fail
    outcomes = order_starts(carrying, "c.0.0.0", "d.0.0.0")
    assert [outcome.outcome for outcome in outcomes] == ["unknown", "started"]


def test_errors_in_each_round_are_logged_once_a_second(
    carrying, clock, monkeypatch, lines
):
    """Guards against a log that one recurring error fills."""
    monkeypatch.setattr(PaceController, "decide", fail)
    monkeypatch.setattr(carrying._tracker, "confirm_next", fail)
    for _ in range(30):
        poll(carrying)
        clock.advance(0.1)
    failures = find_failures(lines)
    assert len(failures) == 3
    # The lines name all decisions that failed meanwhile.
    assert set(failures[1].extra["errors"]) == {"pacing", "announcement"}
    assert sum(failures[1].extra["errors"].values()) > 10
