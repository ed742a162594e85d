"""Acceptance of jobs while the table service misbehaves."""

import pytest
from jobs_doubles import make_job
from result import Err, Ok

from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.messages import JobQueryReply, RelayWrite, RelayWriteReply
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import JOBS, get_intake_partition
from pollenkeel_jobs.core.tables import Condition, RowWrite, Transaction
from pollenkeel_kernel import Code, Refusal, SystemClock

CLOCK = SystemClock()


@pytest.fixture
def gateway(tables):
    leadership = Leadership("entry-1", "", tables, CLOCK)
    contact = LeaderContact("entry-1", leadership, CLOCK)
    return Gateway("entry-1", tables, contact, CLOCK)


def soon():
    return CLOCK.now() + 0.3


def is_stored(tables):
    return (get_intake_partition("j1"), JOBS, "j1") in tables.rows_by_key


@pytest.mark.parametrize("faults", [[], ["lost"], ["refused"], ["dropped"]])
def test_accepted_job_is_stored_once(gateway, tables, faults):
    """An accepted job must not be lost, whatever became of the first try."""
    tables.faults = list(faults)
    assert gateway.submit(make_job(), soon()).is_ok()
    assert is_stored(tables)
    version = tables.version
    assert gateway.submit(make_job(), soon()).is_ok()
    assert tables.version == version


def test_refusal_as_not_run_needs_a_refusal_of_every_try(gateway, tables):
    """A job that may be stored later must not be refused as not run."""
    tables.faults = ["refused"] * 20
    result = gateway.submit(make_job(), soon())
    assert result.unwrap_err().code is Code.STORE_UNAVAILABLE
    tables.faults = ["refused", "dropped", *["refused"] * 20]
    result = gateway.submit(make_job(), soon())
    assert result.unwrap_err().code is Code.WRITE_UNKNOWN
    assert tables.apply(tables.held[0]).is_ok()


def test_status_without_a_leader_comes_from_the_tables(gateway, tables):
    """A job must not be denied because no entry leads."""
    assert gateway.find_status("j1").unwrap() is None
    gateway.submit(make_job(), soon())
    assert gateway.find_status("j1").unwrap() is JobStatus.QUEUED
    tables.reads_fail = True
    assert gateway.find_status("j1").is_err()


def test_cancellation_of_an_unknown_job(gateway):
    """Only a job that is stored can be cancelled."""
    assert gateway.cancel("j1", soon()).unwrap() is False
    gateway.submit(make_job(), soon())
    assert gateway.cancel("j1", soon()).unwrap() is True


class RelayDouble:
    """A leader that reaches the table service, or says that it does not lead."""

    def __init__(self, tables, leads=True):
        self.tables = tables
        self.leads = leads
        self.relayed = 0

    def ask(self, message, seconds):
        return self.call(message, seconds).ok()

    def call(self, message, seconds):
        if not self.leads:
            return Err(Refusal(Code.NOT_OWNER, "not here"))
        if not isinstance(message, RelayWrite):
            return Ok(JobQueryReply("leader", 0.0, ""))
        self.relayed += 1
        row = message.rows[0]
        condition = Condition(row.table, row.key, row.expected_version)
        conditions = (condition,) if row.expected_version >= 0 else ()
        write = RowWrite(row.table, row.key, row.value)
        result = self.tables.apply(Transaction(message.partition, conditions, (write,)))
        failure = result.err().kind.name if result.is_err() else ""
        return Ok(RelayWriteReply("leader", 0.0, failure))


@pytest.mark.parametrize("fault", ["refused", "dropped", "lost"])
def test_entry_that_the_store_turns_away_accepts_through_the_leader(tables, fault):
    """Clients of such an entry got 504 or no answer for as long as it lasted."""
    relay = RelayDouble(tables)
    gateway = Gateway("entry-1", tables, relay, CLOCK)
    tables.faults = [fault] * 20
    assert gateway.submit(make_job(), soon()).is_ok()
    assert relay.relayed == 1
    assert is_stored(tables)


def test_leader_is_not_asked_while_the_store_answers(tables):
    """A relay for each job would double the load of the table service."""
    relay = RelayDouble(tables)
    gateway = Gateway("entry-1", tables, relay, CLOCK)
    assert gateway.submit(make_job(), soon()).is_ok()
    assert relay.relayed == 0
