"""Guards against lost, duplicated or wrongly fenced rows of the shard log."""

import pytest

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch.log import TABLE, ShardLog, count_fitting_events
from pollenkeel_entry.batch.records import TaskSpec
from pollenkeel_entry.batch.state import apply, dump_state
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources


def open_log(backend, owner, epoch):
    log = ShardLog(backend, 3, owner, epoch)
    log.recover().unwrap()
    return log


def make_job(job_id, tasks=1):
    specs = [TaskSpec(f"t{i}", "run 1", Resources(1.0), 1.0) for i in range(tasks)]
    return ev.JobSubmitted(job_id, "a", "cut", 0.0, False, "d", 1.0, 0, specs)


def commit(log, *events):
    result = log.append(log.prepare(list(events)))
    if result.is_ok():
        for event in events:
            apply(event, log.state)
    return result


def test_lost_answer_is_resolved_by_reading_back(backend):
    """Guards against a duplicate row, or wrong fencing, after a lost commit reply."""
    log = open_log(backend, "a", 1)
    backend.lost_answers = 1
    assert commit(log, make_job("j")).is_ok()
    assert commit(log, make_job("k")).is_ok()
    assert list(open_log(backend, "b", 2).state.jobs_by_id) == ["j", "k"]


def test_append_stays_repeatable_while_unresolved(backend, monkeypatch):
    """Guards against a commit that is discarded although it took effect."""
    log = open_log(backend, "a", 1)
    pending = log.prepare([make_job("j")])
    backend.lost_answers = 1
    with monkeypatch.context() as patch:
        patch.setattr(backend, "get", lambda *_: backend_error())
        assert log.append(pending).unwrap_err().code is Code.WRITE_UNKNOWN
    assert log.append(pending).is_ok()


def backend_error():
    from result import Err

    from pollenkeel_kernel.core.refusal import Refusal

    return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))


def test_second_owner_fences_the_first(backend):
    """Guards against two owners that both append."""
    first = open_log(backend, "a", 1)
    second = open_log(backend, "b", 2)
    assert commit(first, make_job("j")).unwrap_err().code is Code.NOT_OWNER
    assert commit(second, make_job("k")).is_ok()
    stale = ShardLog(backend, 3, "a", 1)
    assert stale.recover().unwrap_err().code is Code.NOT_OWNER


def test_store_down_is_refused_without_effect(backend):
    """Guards against a refused write that is later replayed."""
    log = open_log(backend, "a", 1)
    backend.down = True
    assert commit(log, make_job("j")).unwrap_err().code is Code.STORE_UNAVAILABLE
    backend.down = False
    assert not open_log(backend, "b", 2).state.jobs_by_id


@pytest.mark.parametrize("lost", [0, 1])
def test_recovery_from_snapshot_equals_replay(backend, lost):
    """Guards against state lost with rows deleted after a snapshot."""
    log = open_log(backend, "a", 1)
    commit(log, make_job("j", 3))
    start = ev.AttemptStarted("j:t0", 1, "agent", "vm", "dc", 1, 5.0, 9.0)
    commit(log, start)
    backend.lost_answers = lost
    assert log.snapshot().is_ok()
    assert len([key for table, key in backend.rows if table == TABLE]) == 1
    commit(log, ev.AttemptEnded("j:t0", 1, "evicted", 6003, "", "key"))
    recovered = open_log(backend, "b", 2)
    apply(ev.TakenOver("b", 2), log.state)
    assert dump_state(recovered.state) == dump_state(log.state)
    assert recovered.state.tasks_by_key["j:t0"].checkpoint_key == "key"


def test_row_is_filled_up_to_its_size_limit(backend):
    """Guards against a row above the table service's limit."""
    log = open_log(backend, "a", 1)
    events = [make_job(f"j{i}", 10) for i in range(1000)]
    count = count_fitting_events(events)
    assert 50 < count < 1000
    assert commit(log, *events[:count]).is_ok()
