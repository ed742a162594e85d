"""Guards against wrong conclusions from replies, missing replies and take-overs."""

import pytest

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.exchange import evaluate_error, evaluate_reply, find_lapsed
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import (
    Resources,
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
    TaskStart,
    TaskState,
)
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import TimingSettings

TIMING = TimingSettings()
START = TaskStart("j:t", 1, "k", "a", Resources(1.0), "run 1", "", 10.0, 20.0)


@pytest.fixture
def state():
    state = ShardState(epoch=1)
    spec = rec.TaskSpec("t", "run 1", Resources(1.0), 1.0)
    apply(ev.JobSubmitted("j", "a", "k", 0.0, False, "d", 1.0, 0, [spec]), state)
    apply(ev.AttemptStarted("j:t", 1, "m", "vm", "dc", 1, 10.0, 20.0), state)
    return state


def evaluate(state, sent_at, *tasks, complete=True, code=Code.OK):
    message = TaskExchange("e", sent_at, "p", 0, 1, 30.0, [START])
    reply = TaskExchangeReply("m", sent_at, code.value, "", complete, list(tasks))
    return evaluate_reply(state, "m", message, reply, TIMING)


def test_missing_reply_does_not_end_starts(state):
    """Guards against starting a task again because its first start had no reply."""
    assert not evaluate_error([START], Refusal(Code.NO_REPLY)).events
    assert evaluate_error([START], Refusal(Code.PEER_UNREACHABLE)).events
    assert evaluate(state, 9.0, code=Code.STALE_AGENT_EPOCH).events


@pytest.mark.parametrize(
    ("sent_at", "complete", "lapsed"),
    [(12.0, True, False), (14.0, False, False), (14.0, True, True)],
)
def test_missing_attempt_needs_a_late_complete_list(state, sent_at, complete, lapsed):
    """Guards against ending an attempt whose start is still in transit."""
    assert bool(evaluate(state, sent_at, complete=complete).events) is lapsed


@pytest.mark.parametrize("repeats", [1, 2])
def test_repeated_eviction_report_has_no_further_effect(state, repeats):
    """Guards against releasing an attempt twice when its eviction is reported again."""
    evicted = TaskState("j:t", 1, "evicted", 6003, "", "ck")
    for _ in range(repeats):
        events = evaluate(state, 9.0, evicted).events
    for event in events:
        apply(event, state)
    assert state.tasks_by_key["j:t"].checkpoint_key == "ck"
    late = evaluate(state, 9.0, evicted)
    assert (late.events, late.acknowledged) == ([], [TaskKey("j:t", 1)])
    assert evaluate(state, 9.0, TaskState("j:t", 1, "running")).stops


def test_lease_rule_before_and_after_take_over(state):
    """Guards against starting a task again before its latest possible lease ends."""

    def lapsed(now, granted, answered, inherited):
        return list(find_lapsed(state, granted, answered, inherited, now, 0.5))

    assert not lapsed(20.4, {}, {}, 0.0)
    assert lapsed(20.6, {}, {}, 0.0)
    assert not lapsed(30.4, {"m": 30.0}, {}, 0.0)
    apply(ev.TakenOver("b", 2), state)
    assert not lapsed(900.0, {}, {}, 900.0)
    assert lapsed(901.0, {}, {}, 900.0)
    assert not lapsed(40.4, {}, {"m": 40.0}, 900.0)
    assert lapsed(40.6, {}, {"m": 40.0}, 900.0)


DONE = TaskState("j:t", 1, "done")
LAPSED = ev.AttemptEnded("j:t", 1, rec.LAPSED, Code.LEASE_LAPSED.value)


def test_end_of_a_lapsed_attempt_counts_while_the_task_is_queued(state):
    """Guards against a task that runs again although its worker had finished it."""
    apply(LAPSED, state)
    (event,) = evaluate(state, 22.0, DONE).events
    for _ in range(2):
        apply(event, state)
    assert (state.tasks_by_key["j:t"].state, state.queued) == (rec.DONE, {})
    assert state.open_jobs() == 0
    assert evaluate(state, 23.0, DONE).acknowledged == [TaskKey("j:t", 1)]


@pytest.mark.parametrize("reported", ["failed", "evicted", "stopped"])
def test_other_ends_of_a_lapsed_attempt_are_only_acknowledged(state, reported):
    """Guards against a failure or checkpoint that counts for the next attempt."""
    apply(LAPSED, state)
    effects = evaluate(state, 22.0, TaskState("j:t", 1, reported))
    assert (effects.events, effects.acknowledged) == ([], [TaskKey("j:t", 1)])


def test_end_of_a_lapsed_attempt_does_not_count_after_the_next_start(state):
    """Guards against a task that is done while its next attempt runs."""
    apply(LAPSED, state)
    (event,) = evaluate(state, 22.0, DONE).events
    apply(ev.AttemptStarted("j:t", 2, "m", "vm", "dc", 1, 30.0, 40.0), state)
    apply(event, state)
    assert state.tasks_by_key["j:t"].state == rec.STARTING
    effects = evaluate(state, 23.0, DONE)
    assert (effects.events, effects.acknowledged) == ([], [TaskKey("j:t", 1)])
