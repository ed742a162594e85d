"""Tests of the leader's view of workers that restart and of late reports."""

import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.messages import OrderOutcome, RunningTask
from pollenkeel_jobs.core.report_log import MAX_LISTED_ENDS
from pollenkeel_jobs.core.specs import Demand, StepSpec

TASK, SECOND_TASK = "j1.0.0.0", "j2.0.0.0"


@pytest.fixture
def site(clock):
    """Two VMs, of which the first runs the only task."""
    site = Site(clock, vms=2)
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0),)))
    site.step()
    assert [run.task_id for run in site.vms[0].running] == [TASK]
    return site


def test_order_that_a_restarted_worker_executes_is_not_repeated(site):
    """Guards against a task on two VMs after its worker restarted under its id."""
    vm = send_order(site)
    vm.crash()
    vm.running = [RunningTask(SECOND_TASK, 1)]
    for _ in range(3):
        site.step()
    runs = [run for double in site.vms for run in double.running]
    assert [run.run for run in runs if run.task_id == SECOND_TASK] == [1]
    vm.end(SECOND_TASK)
    site.step()
    assert site.scheduler.find_status("j2").value == "done"


def test_run_that_was_listed_moves_at_once_when_its_worker_restarts(site):
    """Guards against a task that waits for a worker that can't run it any more.

    An order that one incarnation has executed isn't executed by the next.
    """
    site.vms[0].crash()
    site.step()
    runs = [run for double in site.vms for run in double.running]
    assert [(run.task_id, run.run) for run in runs] == [(TASK, 2)]


def send_order(site):
    """Send the start of a second job's only task, which no VM has listed yet."""
    step = StepSpec(1, Demand(1000, 1000), 1.0)
    site.scheduler.add_job(make_job("j2", (step,)))
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    batch = next(batch for batch in planned.order_batches if batch.starts)
    site.scheduler.make_starts(batch.vm, batch.starts)
    return next(double for double in site.vms if double.vm is batch.vm)


def test_run_is_revoked_at_a_restarted_worker_before_it_is_replaced(site):
    """Guards against an order that a restarted worker executes late."""
    vm = send_order(site)
    vm.crash()
    vm.report()
    planned = site.scheduler.plan()
    assert [stop.task_id for batch in planned.order_batches for stop in batch.stops]
    assert not any(batch.starts for batch in planned.order_batches)


def test_task_moves_at_once_from_a_worker_with_another_id(site):
    """A worker rejects the orders for one with another id."""
    vm, other = site.vms
    vm.incarnation = "vm-0/w2~5"
    vm.running.clear()
    site.step()
    assert site.running == [TASK]


def test_late_report_of_a_replaced_worker_is_ignored(site, clock):
    """Guards against sound runs that are given up for a report that was overtaken."""
    vm, other = site.vms
    earlier = vm.incarnation
    vm.incarnation = "vm-0/w2~5"
    vm.running.clear()
    site.step()
    holder = next(double for double in site.vms if double.running)
    later, vm.incarnation = vm.incarnation, earlier
    running, vm.running = vm.running, []
    vm.report()
    vm.incarnation, vm.running = later, running
    assert vm.vm.incarnation == later
    for _ in range(3):
        site.step()
    assert [double for double in site.vms if double.running] == [holder]
    assert holder.running[0].run == 2


def test_orders_carry_the_deadline_that_the_leader_counts_with(clock):
    """Guards against a start that a worker accepts after its task was placed anew."""
    site = Site(clock)
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0),)))
    vm = site.vms[0]
    vm.report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    batch = planned.order_batches[0]
    starts = site.scheduler.make_starts(vm.vm, batch.starts)
    clock.advance(0.4)
    worker = vm.incarnation
    vm.report()
    vm.incarnation = "vm-0/w2~5"
    vm.report()
    assert starts.deadline == batch.starts[0].task.order_deadline
    assert starts.worker == worker


def test_lists_that_were_overtaken_are_ignored(clock):
    """Guards against a lease that goes back, and starts on a VM that drains."""
    site = Site(clock)
    vm = site.vms[0]
    vm.report()
    clock.advance(0.4)
    vm.draining = True
    vm.report()
    lease, now = vm.vm.lease_until, clock.now()
    clock.advance(-0.3)
    vm.draining = False
    vm.report()
    clock.advance(now - clock.now())
    assert (vm.vm.lease_until, vm.vm.draining) == (lease, True)


def test_ends_beyond_a_cut_list_are_not_lost(clock):
    """Guards against runs that are started again since a list has no room for them."""
    site = Site(clock, cpu=10**6, memory=10**6)
    count = MAX_LISTED_ENDS + 20
    site.scheduler.add_job(make_job(steps=(StepSpec(count, Demand(1000, 1000), 1.0),)))
    site.step()
    vm = site.vms[0]
    for run in list(vm.running):
        vm.end(run.task_id)
    ends = vm.ended
    vm.ended = ends[:MAX_LISTED_ENDS]
    clock.advance(4.0)
    site.step()
    clock.advance(1.5)
    site.step()
    assert not vm.running
    vm.ended = ends[MAX_LISTED_ENDS:]
    site.step()
    assert not vm.running
    assert site.scheduler.find_status("j1").value == "done"


@pytest.mark.parametrize("worker_id", ["w", "w2"])
def test_very_late_report_of_a_replaced_worker_ends_no_sound_run(clock, worker_id):
    """Guards against a report that a link delivers long after it was sent."""
    site = Site(clock, vms=2)
    vm, other = site.vms
    site.step()
    earlier, vm.incarnation = vm.incarnation, f"vm-0/{worker_id}~5"
    site.step()
    clock.advance(30.0)
    other.draining = True
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0),)))
    site.step()
    assert [run.task_id for run in vm.running] == [TASK]
    other.draining = False
    later, vm.incarnation = vm.incarnation, earlier
    running, vm.running = vm.running, []
    vm.report()
    vm.incarnation, vm.running = later, running
    for _ in range(4):
        clock.advance(0.25)
        assert vm.report().worker == later
        site.step()
    assert other.running == []


def test_ends_are_processed_in_whatever_order_they_are_listed(clock):
    """Guards against an end that is acknowledged unread."""
    site = Site(clock)
    site.scheduler.add_job(make_job())
    site.step()
    vm = site.vms[0]
    vm.end("j1.0.0.1")
    vm.end("j1.0.0.0")
    vm.ended.reverse()
    site.step()
    assert site.scheduler.find_status("j1").value == "done"


def test_vm_that_refuses_a_start_is_not_tried_again_at_once(clock):
    """Guards against a task that goes round between the leader and one VM."""
    site = Site(clock, vms=2)
    site.step()
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0),)))
    refusing, other = site.vms
    refused = []

    def refuse(orders):
        refused.extend(orders)
        site.scheduler.process_outcomes(
            refusing.vm,
            [OrderOutcome(o.task_id, o.run, "refused", "late") for o in orders],
        )

    refusing.start = refuse
    for _ in range(20):
        clock.advance(0.05)
        site.step()
    assert (len(refused), len(other.running)) == (1, 1)
