"""Tests of what keeps a task from a VM: capacity, labels, state of the VM."""

import pytest
from jobs_doubles import EPOCH, Site, make_job

from pollenkeel_jobs.core.fleet import WORKER_LEASE
from pollenkeel_jobs.core.messages import RunningTask, VmReport
from pollenkeel_jobs.core.specs import Demand, StepSpec


def test_vm_never_gets_more_than_its_capacity(clock):
    """Guards against overcommitted workers, which do not check their capacity."""
    site = Site(clock, vms=2)
    site.scheduler.add_job(make_job(steps=(StepSpec(30, Demand(1500, 100)),)))
    for _ in range(5):
        site.step()
        assert all(len(vm.running) <= 2 for vm in site.vms)
    assert len(site.running) == 4


def test_stopping_run_still_counts_against_the_capacity(site):
    """Guards against a start on capacity that a stopping run still holds."""
    site.scheduler.add_job(make_job(steps=(StepSpec(4, Demand(1000, 100)),)))
    site.step()
    site.scheduler.cancel_job("j1")
    site.scheduler.add_job(make_job("j2"))
    site.vms[0].report()
    planned = site.scheduler.plan()
    assert not [task for batch in planned.order_batches for task in batch.starts]


def test_long_running_task_leaves_a_worker_that_drains(clock):
    """The task ran until the worker was gone, then waited for its lease to expire."""
    site = Site(clock, vms=2, cpu=1000)
    step = StepSpec(1, Demand(1000, 100), long_running=True)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    leaving = next(vm for vm in site.vms if vm.running)
    other = next(vm for vm in site.vms if vm is not leaving)
    leaving.draining = True
    clock.advance(0.5)
    site.step()
    site.step()
    assert [run.task_id for run in other.running] == ["j1.0.0.0"]


@pytest.mark.parametrize("cause", ["closed zone", "draining", "old orders", "silent"])
def test_vm_that_may_not_receive_starts_gets_none(site, cause):
    """Guards against starts on a VM that is closed, draining or not up to date."""
    site.vms[0].report()
    if cause == "closed zone":
        site.open(closed=["z0"])
    elif cause == "draining":
        site.vms[0].draining = True
        site.vms[0].report()
    else:
        site.clock.advance(4.5)
    if cause == "old orders":
        site.vms[0].report()
    site.scheduler.add_job(make_job())
    planned = site.scheduler.plan()
    assert not [task for batch in planned.order_batches for task in batch.starts]


def test_zone_that_closes_after_the_placement_gets_no_order(site):
    """Guards against a start whose placement precedes the evacuation of the zone."""
    site.scheduler.add_job(make_job())
    site.vms[0].report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    site.open(closed=["z0"])
    batch = planned.order_batches[0]
    starts = site.scheduler.make_starts(batch.vm, batch.starts).orders
    assert not starts


def test_spread_limit_is_kept(clock):
    """Guards against more tasks of a step on one VM than its spread limit."""
    site = Site(clock, vms=2, cpu=8000)
    step = StepSpec(6, Demand(100, 100), spread_limit=2)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    assert [len(vm.running) for vm in site.vms] == [2, 2]


def test_label_of_the_worker_is_required(site):
    """Guards against a task on a VM without its required label."""
    step = StepSpec(1, Demand(100, 100), label="gpu")
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    assert not site.running


def test_jobs_that_can_meet_their_objective_go_before_late_ones(clock):
    """Under overload, jobs that are already late must not make other jobs late."""
    site = Site(clock, cpu=1000)
    step = StepSpec(1, Demand(1000, 100), 1.0)
    site.scheduler.add_job(make_job("late", steps=(step,)))
    clock.advance(10.0)
    site.scheduler.add_job(make_job("fresh", steps=(step,)))
    site.step()
    assert site.running == ["fresh.0.0.0"]


def test_vm_whose_worker_does_not_answer_gets_nothing(site):
    """A VM whose worker was gone got the same tasks many times a second.

    Its agent kept reporting, and the writes overloaded the table service.
    """
    site.vms[0].report()
    site.clock.advance(2.0)
    site.open()
    report = VmReport(
        "vm-0",
        0.0,
        "vm-0",
        EPOCH,
        worker=site.vms[0].incarnation,
        service="desk",
        zone="z0",
    )
    site.scheduler.process_report(report, may_grant_lease=True)
    site.scheduler.add_job(make_job())
    assert not site.scheduler.plan().order_batches


def test_vm_without_a_valid_lease_gets_nothing(site):
    """A run placed under an expired lease was requeued in the next pass."""
    site.vms[0].report()
    site.clock.advance(WORKER_LEASE)
    site.open()
    site.vms[0].report(may_grant_lease=False)
    site.scheduler.add_job(make_job())
    assert not site.scheduler.plan().order_batches


def test_vm_with_a_run_of_an_unknown_job_gets_no_starts(clock):
    """The demand of such a run is unknown; any start may overcommit the VM."""
    site = Site(clock, cpu=4_000)
    site.vms[0].running = [RunningTask("unknown.0.0.0", 1)]
    site.scheduler.add_job(make_job("new"))
    site.vms[0].report()
    assert not [batch for batch in site.scheduler.plan().order_batches if batch.starts]
    site.vms[0].running = []
    site.vms[0].report()
    assert [batch for batch in site.scheduler.plan().order_batches if batch.starts]
