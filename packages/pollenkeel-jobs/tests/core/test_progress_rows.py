"""Guards against progress that outgrows the rows and transactions of the store."""

import random

import attrs
import msgpack
import pytest
from jobs_doubles import MemoryTables, Site, make_job

from pollenkeel_jobs.core.model import (
    TASK_WINDOW,
    Job,
    JobState,
    JobStatus,
    TaskState,
)
from pollenkeel_jobs.core.names import LEADER_PARTITION, PROGRESS
from pollenkeel_jobs.core.progress_rows import (
    MAX_PAGES,
    MAX_ROW_BYTES,
    ProgressTooLargeError,
    encode_progress_rows,
    get_job_id,
    join_progress_rows,
)
from pollenkeel_jobs.core.records import (
    RecordError,
    apply_progress,
    decode_state,
    encode_job,
    encode_progress,
)
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.tables import Row, Transaction
from pollenkeel_kernel import Code

TASK = StepSpec(1, Demand(1, 1), 1.0)


def make_scheduled_job(occurrences, steps=(TASK,), interval=0.0, first_at=0.0):
    return attrs.evolve(
        make_job(steps=steps),
        occurrences=occurrences,
        interval=interval,
        first_at=first_at,
    )


def make_large_job(count=5_000):
    """Return a job of one step whose tasks are all placed."""
    job = Job(make_job(steps=(attrs.evolve(TASK, count=count),)), 1.0)
    job.add_occurrence(0)
    for task in job.tasks():
        task.state, task.run = TaskState.PLACED, 1 + task.key.index % 7
        task.runner = f"vm-{task.key.index % 40}/w~1764900000000"
        task.checkpoint = f"{task.key.index:016x}"
    return job


def write(rows_by_key, job):
    """Write the changed rows of a job; return their number."""
    rows = encode_progress_rows(job)
    assert max(len(row.value or b"") for row in rows.writes) <= MAX_ROW_BYTES
    for row in rows.writes:
        rows_by_key[row.key] = row.value
    job.page_digests = rows.page_digests
    return len(rows.writes)


def load(rows_by_key, spec):
    """Return the job as the next leader loads it."""
    rows = [
        Row(PROGRESS, key, value, 1)
        for key, value in rows_by_key.items()
        if value is not None
    ]
    job = Job(spec, 1.0)
    apply_progress(job, join_progress_rows(rows)[spec.job_id])
    return job


def describe(job):
    """Return the recorded fields of all tasks that are not done."""
    return {
        task.key: (task.state, task.run, task.failures, task.runner, task.checkpoint)
        for task in job.tasks()
        if task.state is not TaskState.DONE
    }


def finish_all(site):
    """End all runs as done and let the scheduler record it."""
    for vm in site.vms:
        for run in list(vm.running):
            vm.end(run.task_id)
    return site.step()


def test_row_of_many_occurrences_stays_small(clock):
    """Guards against the row of a scheduled job that grows with each occurrence.

    That of a job of 16 tasks outgrew the store at its 187th occurrence (review 1).
    """
    site = Site(clock, cpu=10**9, memory=10**9)
    steps = (attrs.evolve(TASK, count=8), attrs.evolve(TASK, count=8, after=(0,)))
    site.scheduler.add_job(make_scheduled_job(400, steps, 0.3, clock.now()))
    while site.scheduler.find_status("j1") is not JobStatus.DONE:
        clock.advance(0.3)
        site.step()
        finish_all(site)
        assert all(
            len(value or b"") < 2_000
            for (table, _), value in site.rows_by_key.items()
            if table == PROGRESS
        )


def test_many_overdue_occurrences_do_not_all_exist_at_once(clock):
    """Guards against a million tasks in memory after a long time without a leader."""
    scheduler = Scheduler(7, clock, Site(clock).interference)
    clock.advance(1_000.0)
    scheduler.add_job(make_scheduled_job(1_000_000))
    scheduler.plan()
    waiting = len(scheduler.describe()["waiting"])
    assert 1_000 <= waiting <= TASK_WINDOW


def test_occurrences_that_are_done_are_not_run_again(clock):
    """Guards against a new leader that starts a finished occurrence once more."""
    site = Site(clock, cpu=10**9, memory=10**9)
    spec = make_scheduled_job(4, interval=10.0, first_at=clock.now())
    site.scheduler.add_job(spec)
    for _ in range(2):
        site.step()
        finish_all(site)
        clock.advance(10.0)
    job = load({"j1": site.rows_by_key[PROGRESS, "j1"]}, spec)
    assert job.next_occurrence == 2
    assert not list(job.tasks())
    assert not job.is_done()


def test_large_step_is_recorded_in_pages_and_read_again():
    """Guards against placements and runs lost when a job needs more than one row."""
    job = make_large_job()
    rows_by_key = {}
    assert write(rows_by_key, job) > 2
    assert describe(load(rows_by_key, job.spec)) == describe(job)


def test_largest_lasting_job_of_the_platform_fits():
    """Guards against a job of 10,000 lasting tasks that fails on a large fleet."""
    step = attrs.evolve(TASK, count=10_000, long_running=True)
    job = Job(make_job(steps=(step,)), 1.0)
    job.add_occurrence(0)
    for task in job.tasks():
        task.state, task.run = TaskState.PLACED, 3
        task.runner = f"ptsc-vm-{task.key.index * 7 % 2_000}/w~1764900000000"
        task.checkpoint = f"{task.key.index:016x}"
    rows_by_key = {}
    write(rows_by_key, job)
    assert sum(map(len, rows_by_key.values())) * 4 / 3 < 900_000
    assert describe(load(rows_by_key, job.spec)) == describe(job)


def test_change_of_one_task_writes_one_page():
    """Guards against writing all pages of a large job in each pass."""
    job = make_large_job()
    write({}, job)
    job.tasks_by_step[0, 0][700].checkpoint = "later"
    assert len(encode_progress_rows(job).writes) == 2


def test_random_changes_survive_each_change_of_leader():
    """Guards against pages that fit together only if all of them are written."""
    rng = random.Random(3)
    job = make_large_job(TASK_WINDOW + 900)
    rows_by_key = {}
    for _ in range(8):
        for task in rng.sample(list(job.tasks()), 1_500):
            if rng.random() < 0.7:
                job.tasks_by_step[0, 0].drop(task)
            else:
                task.state, task.run = TaskState.WAITING, task.run + 1
        job.tasks_by_step[0, 0].create_next()
        write(rows_by_key, job)
        loaded = load(rows_by_key, job.spec)
        assert describe(loaded) == describe(job)
        job = loaded
    assert {get_job_id(key) for key in rows_by_key} == {"j1"}


def test_pages_of_an_ended_job_are_removed():
    """Guards against pages that nobody deletes once the job's own row is deleted."""
    job = make_large_job()
    rows_by_key = {}
    write(rows_by_key, job)
    job.status = JobStatus.CANCELLED
    write(rows_by_key, job)
    assert [key for key, value in rows_by_key.items() if value] == ["j1"]


@pytest.mark.parametrize("lost", ["j1", "j1/0", "j1/1"])
def test_job_with_a_missing_row_is_not_taken_for_a_new_one(lost):
    """Guards against starting tasks a second time, or counting them as done."""
    job = make_large_job()
    rows_by_key = {}
    write(rows_by_key, job)
    rows_by_key[lost] = None
    with pytest.raises(RecordError):
        load(rows_by_key, job.spec)


def test_rows_of_one_pass_fit_into_a_transaction(clock, tables):
    """Guards against a pass whose rows the store rejects together."""
    scheduler = Scheduler(7, clock, Site(clock).interference)
    jobs = []
    for number in range(300):
        spec = attrs.evolve(make_large_job(1).spec, job_id=f"j{number}")
        scheduler.add_job(spec)
        jobs.append(scheduler._jobs.find(spec.job_id))
    large = [make_large_job() for _ in range(4)]
    for number, job in enumerate(large):
        job.spec = attrs.evolve(job.spec, job_id=f"large-{number}")
    scheduler._jobs.dirty = dict.fromkeys([*large, *jobs])
    recorded = 0
    while scheduler._jobs.dirty:
        planned = scheduler.plan()
        result = tables.apply(Transaction(LEADER_PARTITION, (), planned.writes))
        assert result.is_ok()
        recorded += len(planned.statuses_by_job)
    assert recorded == 304


def test_job_whose_progress_fits_no_pages_fails_with_a_code(clock):
    """Guards against a job that stops the term, or that fails without a reason."""
    site = Site(clock, cpu=10**9, memory=10**9)
    site.scheduler.add_job(make_job(steps=(attrs.evolve(TASK, count=100),)))
    site.scheduler.add_job(make_job("j2", steps=(TASK,)))
    site.step()
    for task in site.scheduler._jobs.find("j1").tasks():
        task.checkpoint = "x" * MAX_PAGES * MAX_ROW_BYTES
    with pytest.raises(ProgressTooLargeError):
        encode_progress_rows(site.scheduler._jobs.find("j1"))
    site.vms[0].end("j1.0.0.5")
    site.vms[0].end("j2.0.0.0")
    site.step()
    state = JobState(JobStatus.FAILED, Code.PROGRESS_NOT_RECORDED)
    assert site.scheduler.find_state("j1") == state
    assert decode_state(site.rows_by_key[PROGRESS, "j1"]) == state
    assert site.scheduler.find_status("j2") is JobStatus.DONE
    site.step()
    assert not site.running


def encode_without_version(job):
    """Return a row in the format before the version."""
    runners = {}
    steps = []
    for (occurrence, step), tasks in job.tasks_by_step.items():
        rows = []
        for index in range(tasks.spec.count):
            task = tasks.find(index)
            if task is None:
                rows.append([2, 1, 0, runners.setdefault("vm/w~1", len(runners)), ""])
                continue
            runner = runners.setdefault(task.runner, len(runners))
            row = [int(task.state), task.run, task.failures, runner, task.checkpoint]
            rows.append(row)
        steps.append([occurrence, step, rows])
    fields = [job.status.value, job.cancelled, job.started, list(runners), steps]
    return msgpack.packb(fields)


def test_rows_of_earlier_versions_are_read():
    """Guards against an upgrade that loses placements, runs or finished tasks."""
    steps = (attrs.evolve(TASK, count=5), attrs.evolve(TASK, count=2, after=(0,)))
    spec = make_scheduled_job(9, steps)
    job = Job(spec, 1.0)
    for occurrence in range(3):
        job.add_occurrence(occurrence)
    for step in range(2):
        for task in list(job.tasks_by_step[0, step]):
            job.tasks_by_step[0, step].drop(task)
    first = job.tasks_by_step[1, 0][1]
    first.state, first.run, first.runner = TaskState.PLACED, 3, "vm-1/w~1"
    job.tasks_by_step[1, 0].drop(job.tasks_by_step[1, 0][4])
    loaded = Job(spec, 1.0)
    apply_progress(loaded, encode_without_version(job))
    assert describe(loaded) == describe(job)
    assert loaded.next_occurrence == 3
    assert not loaded.list_steps(0)
    again = Job(spec, 1.0)
    apply_progress(again, encode_progress(loaded))
    assert describe(again) == describe(job)


@pytest.mark.parametrize(
    "fields",
    [
        ["running", False, True, 3, 1, []],
        ["running", False, True, 2, -1, []],
        ["running", False, True, 2, 1, 4],
        ["running", False, True, 2, 1, [msgpack.packb([[], [], [[1, 0, 0, [], []]]])]],
        ["running", False, True, 2, 1, [msgpack.packb([[], [], [[0, 0, 9, [], []]]])]],
        [
            "running",
            False,
            True,
            2,
            1,
            [msgpack.packb([["v"], [], [[0, 0, 2, [], [[5, 1, 1, 0, 0, ""]]]]])],
        ],
        ["running", False, True, 2, 1, [msgpack.packb([[], [0, 10**9], []])]],
        ["running", False, True, 2, 1, [msgpack.packb([[], [-1, 1], []])]],
        ["running", False, True, [], [[1, 0, [[0, 0, 0, 0, ""]] * 2]]],
    ],
)
def test_malformed_progress_is_rejected(fields):
    """Guards against malformed rows that raise anything but ``RecordError``."""
    with pytest.raises(RecordError):
        apply_progress(Job(make_job(), 1.0), msgpack.packb(fields))


def test_gang_is_removed_from_its_vms_after_its_occurrence(clock):
    """Members that are still placed when their occurrence ends kept their resources."""
    site = Site(clock, vms=2, cpu=1000)
    gang = StepSpec(2, Demand(1000, 1000), 1.0, gang=True)
    site.scheduler.add_job(make_scheduled_job(2, (gang,), 20.0, clock.now()))
    site.step()
    holder = next(vm for vm in site.vms if vm.running)
    holder.end(holder.running[0].task_id)
    for _ in range(3):
        site.step()
    assert not site.running
    assert all(not vm.vm.tasks_by_id for vm in site.vms)
    clock.advance(20.0)
    site.step()
    assert site.running == ["j1.1.0.0", "j1.1.0.1"]
    assert not site.scheduler._jobs.find("j1").list_steps(0)


def test_tasks_beyond_the_window_run_in_the_end(clock):
    """Guards against tasks that are never created, and against steps without a gap."""
    count = TASK_WINDOW + 50
    site = Site(clock, cpu=10**9, memory=10**9)
    steps = (attrs.evolve(TASK, count=count), attrs.evolve(TASK, after=(0,)))
    spec = make_job(steps=steps)
    site.scheduler.add_job(spec)
    site.step()
    assert len(site.running) == TASK_WINDOW
    finish_all(site)
    assert len(site.running) == 50
    successor = Scheduler(8, clock, site.interference)
    rows = [
        Row(PROGRESS, key, value, 1)
        for (table, key), value in site.rows_by_key.items()
        if table == PROGRESS and value
    ]
    progress = join_progress_rows(rows)["j1"]
    successor.load([(encode_job(spec), progress)])
    assert len(list(successor._jobs.find("j1").tasks())) == 51
    finish_all(site)
    assert site.running == ["j1.0.1.0"]
    finish_all(site)
    assert site.scheduler.find_status("j1") is JobStatus.DONE


def test_store_double_has_the_limits_of_the_platform():
    """Guards against tests that pass because the double accepts any row."""
    tables = MemoryTables()
    row = encode_progress_rows(make_large_job(1)).writes[0]
    large = attrs.evolve(row, value=bytes(tables.ROW_BYTES + 1))
    for writes in ((large,), (row,) * 101):
        assert tables.apply(Transaction(LEADER_PARTITION, (), writes)).is_err()
