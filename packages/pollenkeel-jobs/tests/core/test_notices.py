"""Guards against stored jobs and cancellations that the leader learns of too late."""

import types

import pytest
from jobs_doubles import make_job
from result import Err, Ok

from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leadership import LeaseRecord
from pollenkeel_jobs.core.messages import Done, JobNotice, JobQueryReply
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import JOBS, get_intake_partition
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_kernel import Code, Refusal, SystemClock
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.relay import Relay

CLOCK = SystemClock()
#: Time within which a stored cancellation must reach the leader, in seconds: half of
#: the shortest time that a deployment allows until the tasks of the job end.
NOTICE_BOUND_SECONDS = 1.5


class LeaderDouble:
    """Leader that acknowledges notices and records them."""

    def __init__(self, port):
        self.notices = []
        self.server = ReplyServer(
            f"tcp://127.0.0.1:{port}", "leader", CLOCK, self.handle
        )

    def handle(self, message):
        if isinstance(message, JobNotice):
            self.notices.append(message)
            return Done("leader", CLOCK.now())
        return JobQueryReply("leader", CLOCK.now(), JobStatus.RUNNING.value)


@pytest.fixture
def leader(free_ports):
    double = LeaderDouble(free_ports[0])
    yield double
    double.server.close()


def deadline():
    return CLOCK.now() + 3.0


def store_job(tables, job_id):
    write = RowWrite(JOBS, job_id, encode_job(make_job(job_id)))
    tables.apply(Transaction(get_intake_partition(job_id), (), (write,)))


def test_cancellations_reach_the_leader_after_silence(leader, free_ports, tables):
    """Guards against tasks that go on for seconds after the cancel of their job.

    The notice was sent once, into a connection that had gone silent (review/13).
    """
    with Relay(f"tcp://127.0.0.1:{free_ports[0]}") as relay:
        lease = types.SimpleNamespace(leader=LeaseRecord(5, "e", relay.address, 1))
        contact = LeaderContact("entry-1", lease, CLOCK)
        gateway = Gateway("entry-1", tables, contact, CLOCK)
        jobs = {f"j{number}" for number in range(1, 6)}
        for job in ("j0", *jobs):
            store_job(tables, job)
        assert gateway.cancel("j0", deadline()).unwrap()
        wait_until(lambda: leader.notices, 5.0, "the first notice arrives")
        relay.silence_established()
        for job in jobs:
            assert gateway.cancel(job, deadline()).unwrap()
        wait_until(
            lambda: jobs <= {notice.job_id for notice in leader.notices},
            NOTICE_BOUND_SECONDS,
            "all notices arrive",
        )


class FailingContact:
    """Contact whose first ``failures`` calls fail; records the acknowledged jobs."""

    def __init__(self, failures):
        self.failures = failures
        self.acknowledged = []

    def ask(self, message, seconds):
        return self.call(message, seconds).ok()

    def call(self, message, seconds):
        if not isinstance(message, JobNotice):
            return Err(Refusal(Code.NOT_OWNER, "no leader is known"))
        if self.failures:
            self.failures -= 1
            return Err(Refusal(Code.NOT_OWNER, "no leader is known"))
        self.acknowledged.append(message.job_id)
        return Ok(Done("leader", 0.0))


def test_accepted_job_is_announced_until_a_leader_acknowledges_it(tables):
    """Guards against accepted jobs that the leader does not count (review/13)."""
    contact = FailingContact(failures=3)
    gateway = Gateway("entry-1", tables, contact, CLOCK)
    gateway.submit(make_job("j1"), deadline()).unwrap()
    wait_until(lambda: contact.acknowledged == ["j1"], 5.0, "the notice arrives")
