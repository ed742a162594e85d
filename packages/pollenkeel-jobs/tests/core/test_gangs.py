"""Tests of steps whose tasks start and end together."""

import attrs
import msgpack
from jobs_doubles import Site, VmDouble, make_job

from pollenkeel_jobs.core.model import JobStatus, TaskState
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.specs import Demand, StepSpec

GANG = StepSpec(3, Demand(1000, 100), gang=True)


def test_gang_starts_together_or_not_at_all(clock):
    """Guards against gang members that hold capacity while they wait for others."""
    site = Site(clock, cpu=2000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    assert not site.running
    site.vms.append(VmDouble(site.scheduler, clock, "vm-1", "z1"))
    site.step()
    assert len(site.running) == 3
    assert {run.run for vm in site.vms for run in vm.running} == {1}


def test_gang_restarts_with_one_run_and_one_checkpoint(clock):
    """Guards against gang members with different run numbers or checkpoints."""
    site = Site(clock, vms=2, cpu=2000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    first = site.vms[0].running[0].task_id
    site.vms[0].end(first, "failed", "saved-7")
    orders = []
    for _ in range(4):
        for starts in site.step().values():
            orders += starts
    assert {order.run for order in orders} == {2}
    assert len(orders) == 3
    assert len({order.checkpoint for order in orders}) == 1


def _list_checkpoints(site, *checkpoints):
    """Report a checkpoint for each run of the site, by task id."""
    by_task = dict(zip(site.running, checkpoints, strict=True))
    for vm in site.vms:
        vm.running = [
            attrs.evolve(run, checkpoint=by_task[run.task_id]) for run in vm.running
        ]
        vm.report()


def _collect_starts(site, passes=4):
    return [
        order
        for _ in range(passes)
        for starts in site.step().values()
        for order in starts
    ]


def test_gang_that_loses_its_workers_restarts_from_one_checkpoint(clock):
    """Workers list their checkpoints at different times; no end tells a common one."""
    site = Site(clock, vms=3, cpu=1000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    _list_checkpoints(site, "saved-1", "saved-1", "saved-1")
    _list_checkpoints(site, "saved-2", "saved-1", "saved-2")
    for vm in site.vms:
        vm.crash()
    # The runs are revoked at the restarted workers first.
    orders = _collect_starts(site, passes=2)
    assert [order.run for order in orders] == [2, 2, 2]
    assert {order.checkpoint for order in orders} == {"saved-2"}


def test_gang_recorded_with_unlike_checkpoints_restarts_from_one(clock):
    """Earlier versions recorded the checkpoint of each member."""
    site = Site(clock, vms=3, cpu=1000)
    job = make_job(steps=(GANG,))
    site.scheduler.add_job(job)
    site.step()
    waiting = int(TaskState.WAITING)
    rows = [[waiting, 1, 0, 0, saved] for saved in ("", "saved-1", "saved-2")]
    fields = ["running", False, True, ["vm-0/w~1"], [[0, 0, rows]]]
    successor = Site(clock, vms=3, cpu=1000)
    successor.scheduler.load([(encode_job(job), msgpack.packb(fields))])
    orders = _collect_starts(successor)
    assert len(orders) == 3
    assert len({order.checkpoint for order in orders}) == 1
    assert orders[0].checkpoint


def test_start_orders_of_a_gang_carry_what_was_placed(clock):
    """A member may end with a new checkpoint before the orders of others are sent."""
    site = Site(clock, vms=3, cpu=1000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    for vm in site.vms:
        vm.report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    orders = []
    for batch in planned.order_batches:
        starts = site.scheduler.make_starts(batch.vm, batch.starts).orders
        orders += starts
        double = next(vm for vm in site.vms if vm.vm is batch.vm)
        double.start(starts)
        if len(orders) == 1:
            double.end(starts[0].task_id, "failed", "saved-1")
            double.report()
    assert {order.checkpoint for order in orders if order.run == 1} == {""}


def test_end_of_one_member_ends_the_gang(clock):
    """Guards against a second run of a member whose end was lost."""
    site = Site(clock, cpu=3000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    site.vms[0].end("j1.0.0.0")
    site.step()
    assert site.scheduler.find_status("j1") is JobStatus.DONE
