"""Tests of what an agent accepts as an announcement of its worker."""

import pytest

from pollenkeel_jobs.core.agent import VmAgent
from pollenkeel_jobs.core.messages import VmReportReply
from pollenkeel_jobs.core.model import Demand
from pollenkeel_jobs.core.worker import WorkerAnnouncement

EPOCH = 5


def announce(born=1, sequence=1, service="desk", **fields):
    """Return an announcement of the worker ``w``."""
    fields = {"draining": False, "capacity": Demand(4000, 8000), **fields}
    return WorkerAnnouncement(
        "w", born, service, "z1", sequence, labels=("a",), **fields
    )


@pytest.fixture
def agent(clock):
    return VmAgent("vm-1", clock, worker=None)


def send_services(agent, version, *services):
    agent._record_services(
        VmReportReply(
            "e", 0.0, EPOCH, operations_version=version, services=list(services)
        )
    )


def test_announcement_of_an_unnamed_service_is_rejected(agent):
    """Guards against an entry of another writer that ends the use of a worker."""
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce())
    assert not agent.record_announcement(announce(2, 9, "foreign"))
    assert not agent.record_announcement(announce(1, 9, "foreign"))
    assert agent.record_announcement(announce(1, 2))


def test_unnamed_service_gives_way_once_the_services_are_known(agent):
    """Guards against a worker that is hidden by an entry from before the services."""
    assert agent.record_announcement(announce(1, 10**6, "foreign"))
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce(1, 1, "desk"))
    assert not agent.record_announcement(announce(1, 10**6 + 1, "foreign"))


def test_worker_of_a_removed_service_may_announce_that_it_drains(agent):
    """Guards against a worker that leaves without an acknowledgement."""
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce())
    send_services(agent, 4, "other")
    assert agent.record_announcement(announce(1, 2, draining=True))


def test_older_configuration_does_not_replace_the_services(agent):
    """Guards against a new leader that reads an older configuration first."""
    send_services(agent, 4, "desk", "other")
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce(1, 1, "other"))
