"""What a leader does for the other entries."""

import threading

import pytest
from jobs_doubles import make_job

from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.messages import RelayedRow, RelayWrite
from pollenkeel_jobs.core.names import (
    INTAKE_PARTITIONS,
    JOBS,
    get_intake_partition,
)
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.tables import RowWrite, Transaction


@pytest.fixture
def term(tables, clock):
    leadership = Leadership("entry-1", "tcp://nowhere", tables, clock)
    assert leadership.observe(lambda leader: True)
    return Term("entry-1", "tcp://nowhere", leadership, tables, clock, None)


def relay(term, job_id="j1"):
    row = RelayedRow(JOBS, job_id, encode_job(make_job(job_id)), 0)
    message = RelayWrite("entry-2", 0.0, get_intake_partition(job_id), [row])
    return term.handle(message).failure


def test_leader_relays_while_its_own_writes_are_fast(term, tables):
    """An entry that the store turns away accepts jobs through the leader."""
    assert relay(term) == ""
    assert (get_intake_partition("j1"), JOBS, "j1") in tables.rows_by_key


def test_leader_relays_nothing_while_the_store_is_slow_for_it_too(term, tables):
    """Doubled writes filled the queue of a slow store (incident inc-f97b)."""
    term.leadership.write_seconds = 0.4
    assert relay(term) == "NOT_DONE"
    assert (get_intake_partition("j1"), JOBS, "j1") not in tables.rows_by_key


def test_jobs_of_all_intake_partitions_are_loaded(term, tables):
    """With one partition a slow store took fewer jobs than came (inc-f97b)."""
    job_ids = [f"job-{number}" for number in range(40)]
    for job_id in job_ids:
        write = RowWrite(JOBS, job_id, encode_job(make_job(job_id)))
        tables.apply(Transaction(get_intake_partition(job_id), (), (write,)))
    assert {get_intake_partition(job_id) for job_id in job_ids} == set(
        INTAKE_PARTITIONS
    )
    term._load(threading.Event())
    assert all(term.scheduler.find_status(job_id) for job_id in job_ids)
