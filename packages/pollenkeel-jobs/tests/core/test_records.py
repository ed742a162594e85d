"""Tests of the encoding of rows of the table service."""

import msgpack
import pytest
from jobs_doubles import make_job

from pollenkeel_jobs.core.model import Job, JobStatus, TaskState
from pollenkeel_jobs.core.records import (
    RecordError,
    apply_progress,
    decode_job,
    decode_status,
    encode_job,
    encode_progress,
)
from pollenkeel_jobs.core.specs import Demand, StepSpec

STEP = StepSpec(
    3,
    Demand(1500, 200, 1),
    2.5,
    (),
    checkpointing=True,
    gang=True,
    same_rack=True,
    label="a",
    data_rack="r1",
    spread_limit=2,
    speculative=True,
    image="i",
    latency_target=4.0,
    fills=True,
    may_miss=0,
)


def test_job_round_trips():
    """A field missing from the row would change the job under the next leader."""
    steps = (STEP, StepSpec(1, Demand(1, 1), after=(0,)))
    spec = make_job(steps=steps, accepted_at=1764900000.5)
    assert decode_job(encode_job(spec)) == spec


def test_row_of_an_earlier_version_has_no_time_of_acceptance():
    """Earlier versions wrote the constant 1 in place of the time."""
    fields = msgpack.unpackb(encode_job(make_job(accepted_at=1764900000.5)))
    assert decode_job(msgpack.packb([1, *fields[1:]])) == make_job()


@pytest.mark.parametrize("unheard_runs", [set(), {2, 5}])
@pytest.mark.parametrize("acquitted_through", [0, 3])
@pytest.mark.parametrize(
    "crashed_on, crashed_at_once",
    [
        (set(), set()),
        ({"vm-1/w~1", "vm-2/w~1"}, set()),
        ({"vm-1/w~1", "vm-2/w~1"}, {"vm-2/w~1"}),
    ],
)
def test_earlier_runs_round_trip(
    crashed_on, crashed_at_once, acquitted_through, unheard_runs
):
    """Guards against crashes and ends that a new leader forgets or counts again."""
    job = Job(make_job(), 1.0)
    job.add_occurrence(0)
    task = job.tasks_by_step[0, 0][1]
    task.crashed_on, task.acquitted_through = crashed_on, acquitted_through
    task.unheard_runs = unheard_runs
    task.crashed_at_once = crashed_at_once
    loaded = Job(make_job(), 1.0)
    apply_progress(loaded, encode_progress(job))
    copy = loaded.tasks_by_step[0, 0][1]
    assert copy.crashed_on == crashed_on
    assert copy.crashed_at_once == crashed_at_once
    assert copy.acquitted_through == acquitted_through
    assert copy.unheard_runs == unheard_runs


def test_progress_round_trips():
    """Guards against runs, failures and checkpoints lost in a change of leader."""
    job = Job(make_job(), 1.0)
    job.add_occurrence(0)
    task = job.tasks_by_step[0, 0][1]
    task.state, task.run, task.failures = TaskState.PLACED, 4, 2
    task.runner, task.checkpoint = "vm-1/w~1", "saved"
    loaded = Job(make_job(), 1.0)
    apply_progress(loaded, encode_progress(job))
    copy = loaded.tasks_by_step[0, 0][1]
    assert (copy.state, copy.run, copy.failures) == (TaskState.PLACED, 4, 2)
    assert (copy.runner, copy.checkpoint) == ("vm-1/w~1", "saved")


def test_ended_job_keeps_only_its_status():
    """Guards against rows of ended jobs that keep the progress of each task."""
    job = Job(make_job(), 1.0)
    job.add_occurrence(0)
    job.status = JobStatus.FAILED
    row = encode_progress(job)
    assert decode_status(row) is JobStatus.FAILED
    assert len(row) < 20


@pytest.mark.parametrize("row", [b"", b"\xc1", b"\x91\x01", b"\x93\x01\x02\x03"])
def test_malformed_rows_are_rejected(row):
    """Guards against malformed rows that raise anything but ``RecordError``."""
    with pytest.raises(RecordError):
        decode_job(row)
    with pytest.raises(RecordError):
        decode_status(row)


@pytest.mark.parametrize(
    "step",
    [
        StepSpec(1, Demand(1, 1), after=(5,)),
        StepSpec(1, Demand(1, 1), after=(0,)),
        StepSpec(0, Demand(1, 1)),
        StepSpec("two", Demand(1, 1)),
        StepSpec(1, Demand("one", 1)),
        StepSpec(1, Demand(1, 1), estimate=float("nan")),
    ],
)
def test_job_that_cannot_be_scheduled_is_rejected(step):
    """Guards against a row that ends each process that becomes leader."""
    job = make_job(steps=[step])
    with pytest.raises(RecordError):
        decode_job(encode_job(job))
