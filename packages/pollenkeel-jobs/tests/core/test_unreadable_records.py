"""Guards against a job whose record cannot be read and that runs again or vanishes."""

import threading
from concurrent.futures import ThreadPoolExecutor

import msgpack
import pytest
from jobs_doubles import make_job
from result import Ok

from pollenkeel_jobs.core import job_table
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
from pollenkeel_jobs.core.messages import JobQuery
from pollenkeel_jobs.core.metrics import UNREADABLE_JOBS
from pollenkeel_jobs.core.model import Job, JobStatus
from pollenkeel_jobs.core.names import (
    CANCELS,
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.records import decode_job, encode_job, encode_progress
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_kernel import Code

JOB = encode_job(make_job("odd"))
#: Progress row of a later version, and one whose page is missing.
LATER = msgpack.packb(["running", False, True, 99, 1, []])
WITHOUT_PAGE = msgpack.packb(["running", False, True, 2, 1, 2])


def write(tables, table, key, value):
    partition = LEADER_PARTITION if table == PROGRESS else get_intake_partition(key)
    row = RowWrite(table, key, value)
    assert tables.apply(Transaction(partition, (), (row,))).is_ok()


def make_progress(status=JobStatus.RUNNING):
    job = Job(make_job("odd"), 1.0)
    job.add_occurrence(0)
    job.status, job.started = status, True
    return encode_progress(job)


def begin_term(tables, clock):
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    assert leadership.observe(lambda leader: True)
    term = Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)
    term._load(threading.Event())
    return term


class LeaderDouble:
    """Contact of an entry with the leader in this process."""

    def __init__(self, term):
        self.term = term

    def ask(self, message, seconds):
        return self.term.handle(message)

    def call(self, message, seconds):
        return Ok(self.term.handle(message))


@pytest.fixture(
    params=[
        (JOB, b"\xc1"),
        (JOB, b""),
        (JOB, LATER),
        (JOB, WITHOUT_PAGE),
        (b"\xc1", None),
        (b"\xc1", LATER),
    ],
    ids=["bytes", "empty", "later", "page", "job", "both"],
)
def term(request, tables, clock):
    """Term of a leader with an unreadable job, and one that it can read."""
    job, progress = request.param
    write(tables, JOBS, "odd", job)
    if progress is not None:
        write(tables, PROGRESS, "odd", progress)
    write(tables, JOBS, "good", encode_job(make_job("good")))
    return begin_term(tables, clock)


def test_unreadable_job_does_not_begin_anew(term):
    """Guards against a second execution after its row is received again (TWICE).

    The change feed repeats rows, and after a gap the whole table is read again.
    """
    term.apply_row("odd", JOB)
    term.apply_row("good", encode_job(make_job("good")))
    assert term.scheduler.describe()["waiting"] == ["good.0.0.0", "good.0.0.1"]


def test_unreadable_job_has_an_error_of_its_own(term, tables, clock):
    """Guards against a job that is shown as unknown, or as queued for ever."""
    reply = term.handle(JobQuery("entry-2", 0.0, "odd"))
    assert (reply.status, reply.failure_code) == ("", Code.JOB_UNREADABLE.value)
    gateway = Gateway("entry-2", tables, LeaderDouble(term), clock)
    assert gateway.find_state("odd").unwrap_err().code is Code.JOB_UNREADABLE
    assert gateway.find_state("good").unwrap().status is JobStatus.QUEUED
    assert UNREADABLE_JOBS._value.get() == 1


def test_unreadable_job_can_be_cancelled(term, tables, clock):
    """Guards against a job that can't be cancelled until its record is repaired."""
    gateway = Gateway("entry-2", tables, LeaderDouble(term), clock)
    assert gateway.cancel("odd", clock.now() + 3.0).unwrap()
    term.apply_row("odd", b"")
    assert (get_intake_partition("odd"), CANCELS, "odd") in tables.rows_by_key
    write(tables, JOBS, "odd", JOB)
    write(tables, PROGRESS, "odd", make_progress())
    clock.advance(5.0)
    successor = begin_term(tables, clock)
    successor.scheduler.confirm(successor.scheduler.plan())
    assert successor.scheduler.find_status("odd") is JobStatus.CANCELLED


def test_unreadable_job_has_an_error_without_a_leader(tables, clock):
    """Guards against a job that is shown as queued although nobody can read it."""
    write(tables, JOBS, "odd", b"\xc1")
    gateway = Gateway("entry-2", tables, NoLeader(), clock)
    assert gateway.find_state("odd").unwrap_err().code is Code.JOB_UNREADABLE


class NoLeader:
    """Contact of an entry that knows no leader."""

    def ask(self, message, seconds):
        return None


def test_term_ends_once_an_unreadable_job_is_repaired(term, tables, clock):
    """Guards against a repaired job that waits until the leader is lost."""
    term._end_if_repaired()
    term._repaired.set()
    with pytest.raises(LeadershipLost):
        term._end_if_repaired()
    assert Leadership("entry-2", "tcp://nowhere", tables, clock).observe(lambda _: True)


@pytest.mark.parametrize("status", [JobStatus.RUNNING, JobStatus.DONE])
def test_repaired_job_is_loaded_by_the_next_term(term, tables, clock, status):
    """Guards against a job that waits for a restart after its record was repaired."""
    assert not term._is_any_repaired()
    write(tables, JOBS, "odd", JOB)
    write(tables, PROGRESS, "odd", make_progress(status))
    assert term._is_any_repaired()
    clock.advance(5.0)
    successor = begin_term(tables, clock)
    assert successor.scheduler.find_status("odd") is status
    assert UNREADABLE_JOBS._value.get() == 0


def test_query_is_answered_while_jobs_are_loaded(tables, clock, monkeypatch):
    """Guards against clients without an answer for as long as a leader loads jobs."""
    write(tables, JOBS, "good", encode_job(make_job("good")))
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    assert leadership.observe(lambda leader: True)
    term = Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)
    replies = []

    def decode_after_query(row):
        query = JobQuery("entry-2", 0.0, "good")
        replies.append(pool.submit(term.handle, query).result(5.0).status)
        return decode_job(row)

    monkeypatch.setattr(job_table, "decode_job", decode_after_query)
    with ThreadPoolExecutor(1) as pool:
        term._load(threading.Event())
    assert replies == [""]


def test_row_under_the_key_of_another_job_does_not_end_each_term(tables, clock):
    """Guards against a leader that resigns every few seconds because of one row."""
    write(tables, JOBS, "odd", encode_job(make_job("another")))
    assert not begin_term(tables, clock)._is_any_repaired()
