"""Tests of what an agent accepts as an announcement of its worker."""

import attrs
import pytest
from agent_doubles import EPOCH, announce, make_orders, order_starts, poll
from result import Err

from pollenkeel_jobs.core.messages import EndedTask, VmReportReply
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.worker import WorkerFailure, WorkerLists


def send_services(agent, version, *services):
    agent._tracker.services.update(
        VmReportReply(
            "e", 0.0, EPOCH, operations_version=version, services=list(services)
        )
    )


def test_announcement_of_an_unnamed_service_is_rejected(agent):
    """Guards against an entry of another writer that ends the use of a worker."""
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce())
    poll(agent)
    assert not agent.record_announcement(announce(2, 9, "foreign"))
    assert not agent.record_announcement(announce(1, 9, "foreign"))
    assert agent.record_announcement(announce(1, 2))


def test_unnamed_service_gives_way_once_the_services_are_known(agent):
    """Guards against a worker that is hidden by an entry from before the services."""
    assert agent.record_announcement(announce(1, 10**6, "foreign"))
    poll(agent)
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce(1, 1, "desk"))
    assert not agent.record_announcement(announce(1, 10**6 + 1, "foreign"))


def test_worker_of_a_removed_service_may_announce_that_it_drains(agent):
    """Guards against a worker that leaves without an acknowledgement."""
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce())
    poll(agent)
    send_services(agent, 4, "other")
    assert agent.record_announcement(announce(1, 2, draining=True))


def test_older_configuration_does_not_replace_the_services(agent):
    """Guards against a new leader that reads an older configuration first."""
    send_services(agent, 4, "desk", "other")
    send_services(agent, 3, "desk")
    assert agent.record_announcement(announce(1, 1, "other"))


def test_incarnation_that_the_worker_denies_is_not_used(agent, worker, reports):
    """Guards against a sound worker whose runs are given up for an announcement."""
    agent.record_announcement(announce())
    poll(agent)
    agent.record_announcement(announce(2, 9))
    agent.record_announcement(attrs.evolve(announce(3), worker_id="other"))
    poll(agent, 2)
    assert [report.worker for report in reports] == ["vm-1/w~1"] * 3
    assert reports[-1].crashes == []
    assert agent.record_announcement(announce(1, 2))


def test_worker_with_an_earlier_start_time_is_used(agent, worker, reports):
    """Guards against a worker that is unknown since the time of day was set back."""
    agent.record_announcement(announce(2))
    worker.born = 2
    poll(agent)
    worker.born = 1
    agent.record_announcement(announce(1))
    poll(agent)
    assert reports[-1].worker == "vm-1/w~1"


def test_lists_of_a_restarted_worker_are_not_those_of_before(agent, worker, reports):
    """Guards against runs that are taken for lost since a new incarnation has none."""
    agent.record_announcement(announce())
    poll(agent)
    worker.born = 2
    poll(agent, 2)
    report = reports[-1]
    assert (report.worker, report.state) == ("vm-1/w~2", "starting")
    assert report.capacity == Demand()
    assert [crash.worker for crash in report.crashes] == ["vm-1/w~1"]
    agent.record_announcement(announce(2))
    poll(agent)
    assert (reports[-1].state, reports[-1].capacity.cpu) == ("ready", 4000)


def test_ends_are_acknowledged_only_while_they_are_listed(agent, worker):
    """Guards against an end of a new incarnation that is dropped before it is read."""
    agent.record_announcement(announce())
    poll(agent)
    agent._tracker.state.lease_until = 9000.0
    agent._tracker.state.recorded_through = 57
    worker.lists = WorkerLists(1.0, [], [EndedTask(57, "j.0.0.0", 1, "done")])
    poll(agent, 2)
    worker.lists = WorkerLists(2.0, [], [])
    poll(agent, 2)
    assert worker.holds[1:] == [(1, 0.0, 0), (1, 9000.0, 0)] + [
        (1, 9000.0, 57),
        (1, 9000.0, 57),
        (1, 9000.0, 0),
    ]


def test_no_ends_are_acknowledged_after_a_call_that_failed(agent, worker):
    """Guards against ends of a worker that restarted meanwhile."""
    agent.record_announcement(announce())
    poll(agent)
    agent._tracker.state.lease_until = 9000.0
    agent._tracker.state.recorded_through = 57
    worker.lists = WorkerLists(1.0, [], [EndedTask(57, "j.0.0.0", 1, "done")])
    poll(agent)
    worker.answers = False
    poll(agent)
    worker.answers = True
    del worker.holds[:]
    poll(agent, 2)
    assert worker.holds == [(1, 9000.0, 0), (1, 9000.0, 57)]


def test_worker_is_asked_for_its_incarnation_before_ends_are_dropped(
    agent, worker, clock
):
    """Guards against ends of a worker that restarted while the leader was silent."""
    agent.record_announcement(announce())
    poll(agent)
    agent._tracker.state.lease_until = 9000.0
    agent._tracker.state.recorded_through = 57
    worker.lists = WorkerLists(1.0, [], [EndedTask(57, "j.0.0.0", 1, "done")])
    poll(agent)
    clock.advance(0.9)
    del worker.holds[:]
    poll(agent)
    assert worker.holds == [(1, 0.0, 0), (1, 9000.0, 57)]
    clock.advance(0.9)
    worker.born = 2
    del worker.holds[:]
    poll(agent)
    assert worker.holds == [(1, 0.0, 0)]


def test_ends_are_not_dropped_once_any_answer_shows_a_restart(agent, worker):
    """Guards against ends of a worker that restarted between two polls."""
    agent.record_announcement(announce())
    poll(agent)
    agent._tracker.state.recorded_through = 57
    worker.lists = WorkerLists(1.0, [], [EndedTask(57, "j.0.0.0", 1, "done")])
    poll(agent)
    # The agent knows the leader, so that it polls only when told.
    agent._epoch = EPOCH
    worker.born = 2
    del worker.holds[:]
    agent.handle(make_orders(agent, stops=[("j.0.0.1", 1)]))
    poll(agent)
    assert worker.holds == [(2, 0.0, 0)]


def test_worker_that_has_not_announced_itself_gets_no_starts(agent, worker):
    """Guards against starts on a worker whose service and resources are unknown."""
    agent.record_announcement(announce())
    poll(agent)
    worker.born = 2
    poll(agent, 2)
    outcomes = order_starts(agent, "j.0.0.0")
    assert [outcome.outcome for outcome in outcomes] == ["refused"]


@pytest.mark.parametrize("failure", ["exception", "400"])
def test_announcement_that_cannot_be_confirmed_blocks_no_other(agent, worker, failure):
    """Guards against a worker that is never used, or loses its lease, for an odd id."""
    answer = worker.hold

    def hold(order, *args):
        if order.worker_id == "odd":
            if failure == "exception":
                raise ValueError("header can't be encoded")
            return Err(WorkerFailure(True, "400"))
        return answer(order, *args)

    worker.hold = hold
    agent.record_announcement(attrs.evolve(announce(), worker_id="odd"))
    agent.record_announcement(announce())
    poll(agent, 2)
    state = agent._tracker.state
    assert state.announcement.worker_id == "w"
    state.lease_until = 9000.0
    poll(agent, 2)
    assert worker.holds[-1] == (1, 9000.0, 0)


def test_pending_announcements_do_not_hold_up_the_lease(agent, worker, clock):
    """Guards against a slow worker whose lease lapses while others are denied."""
    agent.record_announcement(announce())
    poll(agent)
    agent._tracker.state.lease_until = 9000.0
    answer, leases = worker.hold, []

    def hold(order, deadline, *args):
        clock.advance(0.8)
        if deadline:
            leases.append(clock.now())
        return answer(order, deadline, *args)

    worker.hold = hold
    began = clock.now()
    for born in range(2, 10):
        agent.record_announcement(announce(born))
    poll(agent, 2)
    assert leases[0] - began < 5.0


def test_late_departure_of_an_earlier_incarnation_has_no_effect(agent, worker, reports):
    """Guards against sound runs that are moved for a late call."""
    agent.record_announcement(announce())
    poll(agent)
    agent.record_departure("w", 5)
    poll(agent)
    assert reports[-1].state == "ready"
    agent.record_departure("w", 1)
    poll(agent)
    assert reports[-1].state == "draining"


def test_service_is_checked_again_once_the_worker_has_confirmed(agent, reports):
    """Guards against a VM under a service of another writer."""
    agent.record_announcement(announce(1, 10**6, "foreign"))
    send_services(agent, 3, "desk")
    poll(agent)
    assert reports[-1].service == ""
    agent.record_announcement(announce(1, 5))
    poll(agent)
    assert reports[-1].service == "desk"
