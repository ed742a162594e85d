"""Guards against wrong transitions of jobs, tasks and attempts."""

import pytest

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_kernel.core.messages import Resources


def make_state(tasks=1):
    specs = [rec.TaskSpec(f"t{i}", "run 1", Resources(2), 1.0) for i in range(tasks)]
    state = ShardState()
    apply(ev.JobSubmitted("j", "a", "cut", 0.0, False, "d", 1.0, 0, specs), state)
    return state


def start(state, attempt, key="j:t0"):
    event = ev.AttemptStarted(key, attempt, "agent", "vm", "dc", 1, 5.0, 9.0)
    apply(event, state)


def test_failed_task_is_retried_a_bounded_number_of_times():
    """Guards against a task that fails and is retried forever."""
    state = make_state()
    for attempt in (1, 2, 3):
        assert state.tasks_by_key["j:t0"].state == rec.QUEUED
        start(state, attempt)
        apply(ev.AttemptEnded("j:t0", attempt, "failed", 6001), state)
    assert state.tasks_by_key["j:t0"].state == rec.FAILED
    assert state.open_jobs() == 0


@pytest.mark.parametrize("outcome", ["evicted", "lapsed", "refused"])
def test_moved_task_resumes_once_and_late_end_is_ignored(outcome):
    """Guards against a late or repeated end that releases the next attempt."""
    state = make_state()
    start(state, 1)
    end = ev.AttemptEnded("j:t0", 1, outcome, 6003, "", "key")
    apply(end, state)
    start(state, 2)
    apply(end, state)
    apply(ev.AttemptEnded("j:t0", 1, "done", 1000), state)
    task = state.tasks_by_key["j:t0"]
    assert (task.state, task.attempts, task.checkpoint_key) == ("starting", 2, "key")
    assert state.usage_by_team["a"].tasks == 1


def test_cancellation_of_10000_tasks():
    """Guards against queued tasks that survive a cancellation, or lost usage."""
    state = make_state(10_000)
    start(state, 1)
    apply(ev.JobCancelled("j"), state)
    assert not state.queued
    assert state.jobs_by_id["j"].open_tasks == 1
    apply(ev.AttemptEnded("j:t0", 1, "cancelled", 6004), state)
    assert state.open_jobs() == 0
    assert state.usage_by_team["a"].resources == Resources()
    assert not state.keys_by_agent
