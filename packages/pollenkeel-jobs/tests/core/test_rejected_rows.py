"""Guards against one row that ends the work of the leader for all jobs."""

import threading

import pytest
from jobs_doubles import VmDouble, make_job
from result import Ok

from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
from pollenkeel_jobs.core.messages import JobQuery
from pollenkeel_jobs.core.model import JobState, JobStatus
from pollenkeel_jobs.core.names import INTERFERENCE, LEADER, LEADER_PARTITION, PROGRESS
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.tables import RowWrite
from pollenkeel_kernel import Code

STOPPED = JobState(JobStatus.FAILED, Code.PROGRESS_NOT_RECORDED)


@pytest.fixture
def leadership(tables, clock):
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    assert leadership.observe(lambda leader: True)
    return leadership


@pytest.fixture
def term(leadership, tables, clock):
    term = Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)
    term._load(threading.Event())
    term.scheduler.update_operations(Operations(1, (), frozenset()), clock.now())
    return term


def reject(tables, job_id):
    """Reject the rows of a job that has not ended."""

    def is_rejected(write):
        running = write.table == PROGRESS and len(write.value or b"") > 30
        return running and write.key == job_id

    tables.rejects = is_rejected


def run_pass(term):
    term.scheduler.wake.set()
    term._run_pass()


def find_row(tables, table, key):
    row = tables.rows_by_key.get((LEADER_PARTITION, table, key))
    return row.value if row else None


def test_rejected_row_stops_only_its_own_job(term, tables, leadership, clock):
    """All leaders gave up their terms one after another, and nothing ran (review 1)."""
    vm = VmDouble(term.scheduler, clock, cpu=100_000, memory=100_000)
    reject(tables, "j7")
    for number in range(20):
        term.scheduler.add_job(make_job(f"j{number}"))
    vm.report()
    run_pass(term)
    assert leadership.leads
    for number in range(20):
        recorded = find_row(tables, PROGRESS, f"j{number}")
        assert (recorded is None) == (number == 7)
    run_pass(term)
    assert term.scheduler.find_state("j7") == STOPPED
    reply = term.handle(JobQuery("e", 0.0, "j7"))
    assert (reply.status, reply.failure_code) == ("failed", 6010)
    assert term.scheduler.find_status("j8") is JobStatus.QUEUED


def test_starts_of_a_rejected_row_are_not_sent(term, tables, clock):
    """Guards against a run whose placement is not recorded."""
    vm = VmDouble(term.scheduler, clock)
    reject(tables, "j1")
    term.scheduler.add_job(make_job())
    vm.report()
    current = term.scheduler.plan()
    starts = [start for batch in current.order_batches for start in batch.starts]
    assert starts
    term.scheduler.reject_progress(current, "j1", "status 400")
    assert term.scheduler.make_starts(vm.vm, starts).orders == []


def test_end_is_not_acknowledged_with_a_rejected_row(term, tables, clock):
    """Guards against an end that is acknowledged before its effect is recorded."""
    vm = VmDouble(term.scheduler, clock)
    term.scheduler.add_job(make_job())
    vm.report()
    current = term.scheduler.plan()
    term.leadership.commit(current.writes)
    term.scheduler.confirm(current)
    for batch in current.order_batches:
        vm.start(term.scheduler.make_starts(batch.vm, batch.starts).orders)
    vm.report()
    reject(tables, "j1")
    vm.end("j1.0.0.0")
    vm.report()
    run_pass(term)
    assert vm.report().recorded_through == 0
    run_pass(term)
    assert term.scheduler.find_state("j1") == STOPPED
    assert vm.report().recorded_through == 1


def test_rejected_weights_keep_the_jobs_going(term, tables, leadership, clock):
    """Guards against learned weights that end the term."""
    tables.rejects = lambda write: write.table == INTERFERENCE
    vm = VmDouble(term.scheduler, clock)
    term.scheduler.add_job(make_job())
    vm.report()
    run_pass(term)
    assert leadership.leads
    assert find_row(tables, PROGRESS, "j1")
    assert find_row(tables, INTERFERENCE, "model") is None


def test_lease_is_given_up_if_the_store_rejects_every_write(
    term, tables, leadership, clock
):
    """Guards against failing all jobs because of a fault that is not theirs."""
    tables.rejects = lambda write: write.table == LEADER
    vm = VmDouble(term.scheduler, clock)
    term.scheduler.add_job(make_job())
    vm.report()
    with pytest.raises(LeadershipLost):
        run_pass(term)
    assert not leadership.leads
    assert term.scheduler.find_status("j1") is JobStatus.QUEUED


def test_caller_sees_the_code_without_a_leader(tables, clock):
    """Guards against a job that fails without a reason that its owner can see."""
    leadership = Leadership("entry-2", "", tables, clock)
    contact = LeaderContact("entry-2", leadership, clock)
    gateway = Gateway("entry-2", tables, contact, clock)
    writer = Leadership("entry-1", "", tables, clock)
    assert writer.observe(lambda leader: True)
    row = b"\x93\xa6failed\xc2\xcd\x17\x7a"
    writer.commit((RowWrite(PROGRESS, "j1", row),))
    assert gateway.find_state("j1") == Ok(STOPPED)
    assert gateway.find_status("j1") == Ok(JobStatus.FAILED)
