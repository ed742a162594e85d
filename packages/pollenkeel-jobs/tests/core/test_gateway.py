"""Guards against lost or duplicated jobs while the table service fails."""

import pytest
from jobs_doubles import MemoryTables, make_job
from result import Err, Ok

from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.messages import JobQueryReply, RelayWrite, RelayWriteReply
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import JOBS, get_intake_partition
from pollenkeel_jobs.core.records import decode_job
from pollenkeel_jobs.core.tables import Condition, RowWrite, Transaction
from pollenkeel_kernel import Code, Refusal
from pollenkeel_kernel.core.clock import ManualClock

#: Advanced by the transactions alone, so that a busy machine does not use up deadlines.
CLOCK = ManualClock()


@pytest.fixture
def tables():
    return MemoryTables(CLOCK)


@pytest.fixture
def gateway(tables):
    leadership = Leadership("entry-1", "", tables, CLOCK)
    contact = LeaderContact("entry-1", leadership, CLOCK)
    return Gateway("entry-1", tables, contact, CLOCK)


def near_deadline():
    return CLOCK.now() + 0.3


def is_stored(tables):
    return (get_intake_partition("j1"), JOBS, "j1") in tables.rows_by_key


@pytest.mark.parametrize("faults", [[], ["lost"], ["refused"], ["dropped"]])
def test_accepted_job_is_stored_once(gateway, tables, faults):
    """Guards against losing a job, or storing it twice, after a failed first write."""
    tables.faults = list(faults)
    assert gateway.submit(make_job(), near_deadline()).is_ok()
    assert is_stored(tables)
    version = tables.version
    assert gateway.submit(make_job(), near_deadline()).is_ok()
    assert tables.version == version


def test_not_stored_is_reported_only_if_every_attempt_was_rejected(gateway, tables):
    """Guards against code 2003 for a job that a delayed write may still store."""
    tables.faults = ["refused"] * 20
    result = gateway.submit(make_job(), near_deadline())
    assert result.unwrap_err().code is Code.STORE_UNAVAILABLE
    tables.faults = ["refused", "dropped", *["refused"] * 20]
    result = gateway.submit(make_job(), near_deadline())
    assert result.unwrap_err().code is Code.WRITE_UNKNOWN
    assert tables.apply(tables.held[0]).is_ok()


def test_status_is_read_from_the_tables_without_a_leader(gateway, tables):
    """Guards against reporting a stored job as missing while no entry leads."""
    assert gateway.find_status("j1").unwrap() is None
    gateway.submit(make_job(), near_deadline())
    assert gateway.find_status("j1").unwrap() is JobStatus.QUEUED
    tables.reads_fail = True
    assert gateway.find_status("j1").is_err()


def test_cancellation_of_an_unknown_job(gateway):
    """Guards against accepting the cancellation of a job that is not stored."""
    assert gateway.cancel("j1", near_deadline()).unwrap() is False
    gateway.submit(make_job(), near_deadline())
    assert gateway.cancel("j1", near_deadline()).unwrap() is True


class RelayDouble:
    """Leader that writes to the table service, or replies that it does not lead."""

    def __init__(self, tables, leads=True):
        self.tables = tables
        self.leads = leads
        self.relayed = 0
        self.state = JobQueryReply("leader", 0.0, "")

    def ask(self, message, seconds):
        return self.call(message, seconds).ok()

    def call(self, message, seconds):
        if not self.leads:
            return Err(Refusal(Code.NOT_OWNER, "not here"))
        if not isinstance(message, RelayWrite):
            return Ok(self.state)
        self.relayed += 1
        row = message.rows[0]
        condition = Condition(row.table, row.key, row.expected_version)
        conditions = (condition,) if row.expected_version >= 0 else ()
        write = RowWrite(row.table, row.key, row.value)
        result = self.tables.apply(Transaction(message.partition, conditions, (write,)))
        failure = result.err().kind.name if result.is_err() else ""
        return Ok(RelayWriteReply("leader", 0.0, failure))


@pytest.mark.parametrize("fault", ["refused", "dropped", "lost"])
def test_entry_without_access_to_the_store_writes_through_the_leader(tables, fault):
    """Guards against 504 or missing replies while an entry has no store access."""
    relay = RelayDouble(tables)
    gateway = Gateway("entry-1", tables, relay, CLOCK)
    tables.faults = [fault] * 20
    assert gateway.submit(make_job(), near_deadline()).is_ok()
    assert relay.relayed == 1
    assert is_stored(tables)


def test_state_of_a_stopped_job_keeps_its_code(tables):
    """Guards against a job that fails without a reason that its owner can see."""
    relay = RelayDouble(tables)
    relay.state = JobQueryReply("leader", 0.0, "failed", 6010)
    state = Gateway("entry-1", tables, relay, CLOCK).find_state("j1").unwrap()
    assert (state.status, state.failure_code) == (JobStatus.FAILED, 6010)


def test_no_write_through_the_leader_while_the_store_answers(tables):
    """Guards against relaying each job, which doubles the load of the store."""
    relay = RelayDouble(tables)
    gateway = Gateway("entry-1", tables, relay, CLOCK)
    assert gateway.submit(make_job(), near_deadline()).is_ok()
    assert relay.relayed == 0


def test_row_of_an_accepted_job_has_the_time_of_acceptance(gateway, tables):
    """Guards against objectives that each new leader counts anew."""
    before = CLOCK.now()
    gateway.submit(make_job(), near_deadline()).unwrap()
    row = tables.read_row(get_intake_partition("j1"), JOBS, "j1").unwrap()
    assert before <= decode_job(row.value).accepted_at <= CLOCK.now()
