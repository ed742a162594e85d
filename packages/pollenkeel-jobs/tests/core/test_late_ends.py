"""Tests of ended runs that the leader hears of late."""

import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.fleet import WORKER_LEASE
from pollenkeel_jobs.core.messages import OrderOutcome
from pollenkeel_jobs.core.model import Demand, StepSpec

TASK = "j1.0.0.0"


def make_step(**fields):
    return StepSpec(1, Demand(1000, 1000), 1.0, **fields)


@pytest.fixture
def given_up(clock):
    """Site whose only task has ended on a silent VM and was requeued."""
    return give_up(clock, make_step())


def give_up(clock, step):
    site = Site(clock, vms=2)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    silent, other = site.vms
    other.draining = True
    silent.end(TASK)
    silent.away = True
    site.step()
    clock.advance(WORKER_LEASE + 1.0)
    site.step()
    other.draining = False
    other.report()
    silent.away = False
    return site


def plan_start(site):
    """Return the VM and the planned start of the task's next run."""
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    (batch,) = planned.order_batches
    return batch.vm, batch.starts


def test_end_of_an_earlier_run_counts_until_the_next_order_is_sent(given_up):
    """Guards against a start after an end that is acknowledged (TWICE)."""
    vm, starts = plan_start(given_up)
    given_up.vms[0].report()
    assert given_up.scheduler.make_starts(vm, starts).orders == []
    given_up.step()
    assert given_up.running == []
    assert given_up.scheduler.find_status("j1").value == "done"
    assert vm.tasks_by_id == {}


def test_end_of_an_earlier_run_counts_if_the_next_one_was_refused(given_up):
    silent, other = given_up.vms
    vm, starts = plan_start(given_up)
    given_up.scheduler.make_starts(vm, starts)
    refused = OrderOutcome(TASK, 2, "refused", "room")
    given_up.scheduler.process_outcomes(vm, [refused])
    silent.report()
    given_up.step()
    assert given_up.running == []
    assert given_up.scheduler.find_status("j1").value == "done"


def test_end_of_an_earlier_run_does_not_free_the_room_of_a_later_one(given_up):
    """Guards against more work on a VM than it holds."""
    silent, other = given_up.vms
    vm, starts = plan_start(given_up)
    other.start(given_up.scheduler.make_starts(vm, starts).orders)
    silent.report()
    assert list(vm.tasks_by_id) == [TASK]
    other.end(TASK)
    given_up.step()
    assert given_up.scheduler.find_status("j1").value == "done"


@pytest.mark.parametrize("kind", ["gang", "long_running"])
def test_end_of_an_earlier_run_ends_no_gang_and_no_service(clock, kind):
    site = give_up(clock, make_step(**{kind: True}))
    plan_start(site)
    site.vms[0].report()
    assert site.scheduler.find_status("j1").value != "done"
