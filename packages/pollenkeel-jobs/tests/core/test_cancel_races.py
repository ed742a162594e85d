"""Guards against jobs that run although their client has cancelled them.

A submission can be stored long after the cancel of its job: its entry was suspended, or
the table service applied the write late. The tables list the orders of both writes and
the ways in which a leader learns of them.
"""

import threading

import pytest
from jobs_doubles import MemoryTables, Site, make_job
from result import Err

from pollenkeel_jobs.core import row_cleanup
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import CANCELS, JOBS, get_intake_partition
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_kernel import Code, Refusal
from pollenkeel_kernel.core.clock import ManualClock

JOB = "j1"
CLOCK = ManualClock()
#: Longer than the time for which a cancellation without a job is kept, in seconds.
LONG_SECONDS = 700.0


class NoLeader:
    """Contact of an entry that knows no leader; ``on_query`` is called at a query."""

    def __init__(self):
        self.on_query = None

    def ask(self, message, seconds):
        if self.on_query is not None:
            on_query, self.on_query = self.on_query, None
            on_query()
        return

    def call(self, message, seconds):
        return Err(Refusal(Code.NOT_OWNER, "no leader is known"))


@pytest.fixture
def clock():
    return CLOCK


@pytest.fixture
def tables(clock):
    """Tables whose transactions take time, so that deadlines pass."""
    return MemoryTables(clock)


@pytest.fixture
def contact():
    return NoLeader()


@pytest.fixture
def gateway(tables, contact):
    return Gateway("entry-1", tables, contact, CLOCK)


@pytest.fixture
def term(tables, clock):
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    assert leadership.observe(lambda leader: True)
    return Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)


def submit(gateway):
    assert gateway.submit(make_job(JOB), CLOCK.now() + 3.0).is_ok()


def cancel(gateway):
    return gateway.cancel(JOB, CLOCK.now() + 3.0).unwrap()


def cancel_then_submit(gateway, contact, tables):
    """The entry of the submission wakes up after the cancel was answered."""
    assert cancel(gateway) is False
    submit(gateway)


def submit_then_cancel(gateway, contact, tables):
    """The usual order."""
    submit(gateway)
    assert cancel(gateway) is True


def submit_during_cancel(gateway, contact, tables):
    """The job is stored between the steps of the cancel."""
    contact.on_query = lambda: submit(gateway)
    cancel(gateway)


def submission_is_applied_late(gateway, contact, tables):
    """The table service applies a write whose client got no answer."""
    tables.faults = ["dropped", *["refused"] * 40]
    result = gateway.submit(make_job(JOB), CLOCK.now() + 0.3)
    tables.faults = []
    assert result.unwrap_err().code is Code.WRITE_UNKNOWN
    assert cancel(gateway) is False
    assert tables.apply(tables.held[0]).is_ok()


def load(term):
    """A new leader reads both tables."""
    term._load(threading.Event())


def job_first(term):
    """The notice of the job arrives before that of the cancel."""
    load_empty(term)
    term.apply_row(JOB, encode_job(make_job(JOB)))
    term.apply_row(JOB, b"")


def cancel_first(term):
    """The notice of the cancel arrives before that of the job."""
    load_empty(term)
    term.apply_row(JOB, b"")
    term.apply_row(JOB, encode_job(make_job(JOB)))


def load_empty(term):
    term._loaded.set()


ORDERS = [
    cancel_then_submit,
    submit_then_cancel,
    submit_during_cancel,
    submission_is_applied_late,
]


@pytest.mark.parametrize("order", ORDERS)
def test_cancelled_job_is_stored_with_its_cancellation(gateway, contact, tables, order):
    """Guards against a job that runs after its cancel was answered (review/14)."""
    order(gateway, contact, tables)
    for table in (JOBS, CANCELS):
        row = tables.read_row(get_intake_partition(JOB), table, JOB).unwrap()
        assert row is not None, table


@pytest.mark.parametrize("order", ORDERS)
def test_new_leader_starts_no_cancelled_job(gateway, contact, tables, term, order):
    """Guards against a job that a new leader runs after its cancel (review/14)."""
    order(gateway, contact, tables)
    load(term)
    assert term.scheduler._jobs.find(JOB).status is JobStatus.CANCELLED


@pytest.mark.parametrize("learn", [job_first, cancel_first])
def test_leader_starts_no_cancelled_job(term, learn):
    """Guards against a leader that loses a cancel which arrives before its job."""
    learn(term)
    assert term.scheduler._jobs.find(JOB).status is JobStatus.CANCELLED


def test_late_job_gets_no_run(clock):
    """Guards against a run between the arrival of a late job and its cancel."""
    site = Site(clock)
    site.scheduler.cancel_job(JOB)
    site.scheduler.add_job(make_job(JOB))
    site.step()
    assert site.running == []


def test_cancel_is_not_acknowledged_unless_stored(gateway, tables):
    """Guards against 410 for a cancel that a late submission does not meet."""
    tables.faults = ["refused"] * 60
    result = gateway.cancel(JOB, CLOCK.now() + 0.3)
    assert result.unwrap_err().code is Code.STORE_UNAVAILABLE


def test_cancel_is_acknowledged_although_the_job_cannot_be_looked_up(gateway, tables):
    """Guards against an error for a cancel that is stored and takes effect."""
    tables.reads_fail = True
    assert cancel(gateway) is True


def store(tables, table, value, job_id=JOB):
    write = RowWrite(table, job_id, value)
    tables.apply(Transaction(get_intake_partition(job_id), (), (write,)))


def has_row(tables, table, job_id=JOB):
    row = tables.rows_by_key.get((get_intake_partition(job_id), table, job_id))
    return row is not None and row.value is not None


def clean_up_later(term, clock):
    clock.advance(LONG_SECONDS)
    term.leadership.renew()
    term._cleanup.run_if_due()


def test_cancellation_without_a_job_is_removed(term, tables, clock):
    """Guards against rows that stay for ever, one for each unknown id of a cancel."""
    store(tables, CANCELS, b"1")
    load(term)
    term._cleanup.run_if_due()
    assert has_row(tables, CANCELS)
    clean_up_later(term, clock)
    assert not has_row(tables, CANCELS)


def test_cancellation_stays_if_its_job_was_stored_meanwhile(term, tables, clock):
    """Guards against a clean-up that revives a cancelled job."""
    store(tables, CANCELS, b"1")
    load(term)
    store(tables, JOBS, encode_job(make_job(JOB)))
    clean_up_later(term, clock)
    assert has_row(tables, CANCELS)
    term.apply_row(JOB, encode_job(make_job(JOB)))
    assert term.scheduler._jobs.find(JOB).status is JobStatus.CANCELLED


def test_clean_up_goes_on_after_a_cancellation_that_stays(term, tables, clock):
    """Guards against rows that stay behind that of a job that cannot be read."""
    store(tables, JOBS, b"not a job")
    other = next(
        job_id
        for job_id in map(str, range(100))
        if get_intake_partition(job_id) == get_intake_partition(JOB)
    )
    for job_id in (JOB, other):
        store(tables, CANCELS, b"1", job_id)
        term.apply_row(job_id, b"")
    clean_up_later(term, clock)
    assert has_row(tables, CANCELS)
    assert not has_row(tables, CANCELS, other)


def test_clean_up_of_many_cancellations_keeps_the_lease(term, tables, clock):
    """Guards against a leader that loses its lease over cancels of unknown ids."""
    for number in range(3000):
        term.apply_row(f"unknown-{number}", b"")
    clock.advance(LONG_SECONDS)
    term.leadership.renew()
    before = len(tables.transactions)
    term._cleanup.run_if_due()
    assert len(tables.transactions) - before <= 2 * row_cleanup.MAX_CANCELLATIONS
    assert term.leadership.leads
