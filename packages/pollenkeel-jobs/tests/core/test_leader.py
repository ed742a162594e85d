"""Guards against a leader that misses jobs or overloads a slow store by relaying."""

import threading

import msgpack
import pytest
from jobs_doubles import make_job
from result import Err

from pollenkeel_jobs.core import job_table, leader
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
from pollenkeel_jobs.core.messages import (
    RelayedRow,
    RelayWrite,
    VmOrdersReply,
    VmReport,
)
from pollenkeel_jobs.core.names import (
    INTAKE_PARTITIONS,
    JOBS,
    LEADER_PARTITION,
    MEMBER_PARTITION,
    MEMBERS,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.operations import (
    Operations,
    OperationsDecoder,
    OperationsFeed,
)
from pollenkeel_jobs.core.records import decode_job, encode_job
from pollenkeel_jobs.core.tables import Failure, FailureKind, RowWrite, Transaction
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_standins.processes import wait_until


@pytest.fixture
def term(tables, clock):
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    assert leadership.observe(lambda leader: True)
    return Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)


def relay_job(term, job_id="j1"):
    row = RelayedRow(JOBS, job_id, encode_job(make_job(job_id)), 0)
    message = RelayWrite("entry-2", 0.0, get_intake_partition(job_id), [row])
    return term.handle(message).failure


def test_leader_relays_while_its_own_writes_are_fast(term, tables):
    """Guards against refusing jobs at an entry that has no access to the store."""
    assert relay_job(term) == ""
    assert (get_intake_partition("j1"), JOBS, "j1") in tables.rows_by_key


def test_leader_relays_nothing_while_the_store_is_slow(term, tables):
    """Guards against duplicate writes that fill a slow store's queue (inc-f97b)."""
    term.leadership.write_seconds = 0.4
    assert relay_job(term) == "NOT_DONE"
    assert (get_intake_partition("j1"), JOBS, "j1") not in tables.rows_by_key


def test_jobs_of_all_intake_partitions_are_loaded(term, tables):
    """Guards against a leader that does not read all intake partitions.

    There are several, as a slow store accepted fewer jobs in one partition than
    arrived (inc-f97b).
    """
    job_ids = [f"job-{number}" for number in range(40)]
    for job_id in job_ids:
        write = RowWrite(JOBS, job_id, encode_job(make_job(job_id)))
        tables.apply(Transaction(get_intake_partition(job_id), (), (write,)))
    assert {get_intake_partition(job_id) for job_id in job_ids} == set(
        INTAKE_PARTITIONS
    )
    term._load(threading.Event())
    assert all(term.scheduler.find_status(job_id) for job_id in job_ids)


class FlakyDecoder(OperationsDecoder):
    """Decoder that fails for the row ``bad``."""

    def decode(self, rows, known):
        if any(row.key == "bad" for row in rows):
            raise ValueError("bad row")
        return Operations(known.version + 1, (), frozenset())


def test_feed_goes_on_after_a_row_that_cannot_be_decoded(tables, clock):
    """Guards against a feed that ends, and against starts without the latest rows."""
    feed = OperationsFeed("op", tables, FlakyDecoder(), clock)
    tables.apply(Transaction("", (), (RowWrite("op", "bad", b"x"),)))
    stop = threading.Event()
    thread = threading.Thread(target=feed.run, args=(stop,), daemon=True)
    thread.start()
    wait_until(lambda: feed._has_undecoded_rows, 5.0)
    assert feed.confirmed_at == 0.0
    tables.apply(Transaction("", (), (RowWrite("op", "bad", None),)))
    wait_until(lambda: feed.current.version > 0, 5.0)
    wait_until(lambda: feed.confirmed_at > 0, 5.0)
    stop.set()
    thread.join(5.0)


def test_row_that_cannot_be_applied_does_not_end_the_feed(term, tables, monkeypatch):
    """Guards against jobs that are missed because of one that comes before them."""
    add_job = term.scheduler.add_job

    def fail_for_bad(spec):
        if spec.job_id == "bad":
            raise KeyError("bad")
        add_job(spec)

    monkeypatch.setattr(term.scheduler, "add_job", fail_for_bad)
    term.apply_row("bad", encode_job(make_job("bad")))
    term.apply_row("good", encode_job(make_job("good")))
    assert term.scheduler.find_status("good") is not None


def end_and_forget(term, tables, clock, fault, job):
    """End a job and drop it after its retention, with a fault in the deletion."""
    write = RowWrite(JOBS, "j1", encode_job(job))
    tables.apply(Transaction(get_intake_partition("j1"), (), (write,)))
    term._load(threading.Event())
    term.scheduler.cancel_job("j1")
    planned = term.scheduler.plan()
    term.leadership.commit(planned.writes)
    term.scheduler.confirm(planned)
    clock.advance(620.0)
    term.leadership.renew()
    tables.faults = [fault]
    term._cleanup.run_if_due()
    return write.value


@pytest.mark.parametrize("fault", ["refused", "lost", "dropped"])
def test_old_job_does_not_run_again_while_its_row_remains(term, tables, clock, fault):
    """Guards against an ended job that begins anew when the table is read again."""
    row = end_and_forget(term, tables, clock, fault, make_job(accepted_at=clock.now()))
    term.apply_row("j1", row)
    assert term.scheduler.describe()["waiting"] == []


@pytest.mark.parametrize("fault", ["refused", "lost", "dropped"])
def test_rows_of_an_old_job_are_deleted_after_a_failure(term, tables, clock, fault):
    """Guards against rows that are left behind by a store that refuses for a while."""
    end_and_forget(term, tables, clock, fault, make_job(accepted_at=clock.now()))
    clock.advance(10.1)
    term.leadership.renew()
    term._cleanup.run_if_due()
    assert tables.rows_by_key[get_intake_partition("j1"), JOBS, "j1"].value is None
    assert tables.rows_by_key[LEADER_PARTITION, PROGRESS, "j1"].value is None


def test_job_with_the_id_of_an_old_one_is_not_deleted(term, tables, clock):
    """Guards against a new job that is lost with the rows of an earlier one (LOST)."""
    end_and_forget(term, tables, clock, "lost", make_job(accepted_at=clock.now()))
    row = encode_job(make_job(accepted_at=clock.now()))
    write = RowWrite(JOBS, "j1", row)
    tables.apply(Transaction(get_intake_partition("j1"), (), (write,)))
    term.apply_row("j1", row)
    clock.advance(10.1)
    term.leadership.renew()
    term._cleanup.run_if_due()
    assert tables.rows_by_key[get_intake_partition("j1"), JOBS, "j1"].value == row
    assert term.scheduler.describe()["waiting"] == ["j1.0.0.0", "j1.0.0.1"]


@pytest.mark.parametrize("fault", ["refused", "lost", "dropped"])
def test_progress_is_kept_while_the_row_of_its_job_may_remain(
    term, tables, clock, fault
):
    """Guards against an ended job that the next leader runs again."""
    end_and_forget(term, tables, clock, fault, make_job())
    assert tables.rows_by_key[LEADER_PARTITION, PROGRESS, "j1"].value is not None


def test_lease_is_kept_while_old_jobs_cannot_be_deleted(
    term, tables, clock, monkeypatch
):
    """Guards against a leader that is lost because one partition does not answer."""
    for number in range(20):
        job = make_job(f"job-{number}")
        write = RowWrite(JOBS, job.job_id, encode_job(job))
        tables.apply(Transaction(get_intake_partition(job.job_id), (), (write,)))
    term._load(threading.Event())
    for number in range(20):
        term.scheduler.cancel_job(f"job-{number}")
    planned = term.scheduler.plan()
    term.leadership.commit(planned.writes)
    term.scheduler.confirm(planned)
    clock.advance(620.0)
    term.leadership.renew()
    transact = tables.transact

    def transact_slowly(transaction, timeout=1.0):
        if transaction.partition not in INTAKE_PARTITIONS:
            return transact(transaction, timeout)
        clock.advance(timeout)
        return Err(Failure(FailureKind.UNKNOWN))

    monkeypatch.setattr(tables, "transact", transact_slowly)
    term._cleanup.run_if_due()
    assert term.leadership.leads


def test_lease_is_kept_while_many_jobs_are_loaded(term, tables, clock, monkeypatch):
    """Guards against leaders that replace each other before any has loaded the jobs."""
    for number in range(40):
        job = make_job(f"job-{number}")
        write = RowWrite(JOBS, job.job_id, encode_job(job))
        tables.apply(Transaction(get_intake_partition(job.job_id), (), (write,)))
    standby = Leadership("entry-2", "tcp://nowhere", tables, clock)
    acquired = []

    def decode_slowly(row):
        clock.advance(0.2)
        acquired.append(standby.observe(lambda leader: True))
        return decode_job(row)

    monkeypatch.setattr(job_table, "decode_job", decode_slowly)
    term._load(threading.Event())
    assert len(acquired) == 40
    assert not any(acquired)
    assert term.leadership.leads


def add_member(tables, name, address):
    row = RowWrite(MEMBERS, name, msgpack.packb([address]))
    tables.apply(Transaction(MEMBER_PARTITION, (), (row,)))


def test_agents_are_greeted_while_the_jobs_are_loaded(
    tables, clock, free_ports, monkeypatch
):
    """Guards against starts that wait for connections after all rows were read."""
    greeted = threading.Event()
    address = f"tcp://127.0.0.1:{free_ports[0]}"

    def handle(message):
        greeted.set()
        return VmOrdersReply("vm-1", 0.0, message.epoch, [])

    server = ReplyServer(address, "vm-1", SystemClock(), handle)
    add_member(tables, "vm-1", address)
    leadership = Leadership("entry-1", "tcp://nowhere", tables, SystemClock())
    assert leadership.observe(lambda leader: True)
    term = Term("entry-1", "tcp://nowhere", leadership, tables, SystemClock(), None)
    stop, read = threading.Event(), tables.read
    report = VmReport("vm-1", 0.0, "vm-1", leadership.epoch, worker="vm-1/w~1")
    states = []

    def read_slowly(partition, table, *keys):
        if table == PROGRESS and not states:
            states.append(greeted.wait(5.0))
            # Its runs would be unknown, and stopped.
            states.append(term.handle(report))
            stop.set()
        return read(partition, table, *keys)

    monkeypatch.setattr(tables, "read", read_slowly)
    term.run(stop)
    assert states == [True, None]
    server.close()


def fail_once(value):
    """Return a function that raises an unexpected error first and then ``value``."""
    calls = []

    def call(*_):
        calls.append(1)
        if len(calls) == 1:
            raise ZeroDivisionError
        return value

    return call


def test_error_while_deleting_old_rows_does_not_end_the_term(term, monkeypatch):
    """Guards against a row that ends each leader's term after ten seconds."""
    monkeypatch.setattr(term._cleanup, "run_if_due", fail_once(None))
    term._clean_up()


def test_lost_lease_while_deleting_old_rows_ends_the_term(term, monkeypatch):
    """Guards against a leader that goes on without its lease."""

    def lose():
        raise LeadershipLost("another entry leads")

    monkeypatch.setattr(term._cleanup, "run_if_due", lose)
    with pytest.raises(LeadershipLost):
        term._clean_up()


def test_error_in_one_check_does_not_end_the_watch_of_unreadable_jobs(
    term, monkeypatch
):
    """Guards against repaired jobs that stay left out until the next leader."""
    monkeypatch.setattr(leader, "_REPAIR_CHECK_INTERVAL", 0.01)
    monkeypatch.setattr(term, "_is_any_repaired", fail_once(True))
    threading.Thread(target=term._watch_unreadable_jobs, daemon=True).start()
    wait_until(term._repaired.is_set, 5.0, "the repair is noticed")
    term.over.set()
