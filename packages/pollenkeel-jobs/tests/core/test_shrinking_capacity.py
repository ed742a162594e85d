"""Guards against starts that bring a VM over a capacity that has shrunk."""

import random

import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.specs import Demand, StepSpec


def test_start_is_not_sent_after_the_capacity_has_shrunk(clock):
    """Guards against a start that brings a VM over its new capacity."""
    site = Site(clock, cpu=2000)
    site.scheduler.add_job(make_job())
    vm = site.vms[0]
    vm.report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    vm.capacity = Demand(1000, 8000)
    vm.report()
    starts = planned.order_batches[0].starts
    assert len(starts) == 2
    assert site.scheduler.make_starts(vm.vm, starts).orders == []
    site.scheduler.drop_orders(vm.vm, starts)
    site.step()
    assert len(site.running) == 1


@pytest.mark.parametrize("seed", range(20))
def test_no_start_exceeds_a_capacity_that_shrinks_and_grows(clock, seed):
    """Guards against starts beside runs that a shrunken VM still holds."""
    rng = random.Random(seed)
    site = Site(clock, vms=3)
    for number in range(60):
        clock.advance(0.2)
        for vm in site.vms:
            if rng.random() < 0.2:
                vm.capacity = Demand(rng.randrange(0, 5) * 1000, 8000)
            for run in list(vm.running):
                if rng.random() < 0.3:
                    vm.end(run.task_id, rng.choice(("done", "failed", "lapsed")))
        step = StepSpec(rng.randrange(1, 5), Demand(1000, 500), 1.0)
        site.scheduler.add_job(make_job(f"j{number}", steps=(step,), attempts=9))
        if rng.random() < 0.2:
            site.scheduler.cancel_job(f"j{rng.randrange(number + 1)}")
        before = {vm.name: len(vm.running) for vm in site.vms}
        site.step()
        for vm in site.vms:
            if len(vm.running) > before[vm.name]:
                assert len(vm.running) * 1000 <= vm.capacity.cpu
    for vm in site.vms:
        vm.capacity = Demand(4000, 8000)
    for _ in range(200):
        site.step()
        for vm in site.vms:
            for run in list(vm.running):
                vm.end(run.task_id)
    assert not site.running
