"""Tests of placement by the interference between images."""

import attrs
import msgpack
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.specs import Demand, StepSpec


def test_interfering_tasks_are_not_all_placed_on_one_vm_in_one_pass(clock):
    """Ten tasks placed in one pass drove a latency to eleven times its target.

    Each was judged by the latency before the pass, without the others.
    """
    site = Site(clock, cpu=64_000, memory=640_000)
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(10, Demand(7_000, 100), image="heavy", fills=True)
    row = msgpack.packb([2, [["shop", [["heavy", 3.0]]]]])
    site.interference.load(row)
    site.scheduler.add_job(make_job("lasting", steps=(serving,)))
    site.step()
    site.scheduler.add_job(make_job("batch", steps=(filling,)))
    site.step()
    filled = [task for task in site.running if task.startswith("batch")]
    assert 0 < len(filled) * 3.0 * 7_000 / 64_000 <= 1.0


def report_latency(site, latency):
    """Report a latency of serving tasks and slow progress of best-effort tasks."""
    for vm in site.vms:
        vm.running = [
            attrs.evolve(run, percent=100, figure=latency)
            if run.task_id.startswith("lasting")
            else attrs.evolve(run, percent=run.percent + 1, figure=1_750.0)
            for run in vm.running
        ]
    site.clock.advance(0.5)
    site.step()


def test_headroom_gained_by_throttling_does_not_attract_more_tasks(clock):
    """VMs whose best-effort tasks were throttled to a quarter got ever more of them."""
    site = Site(clock, cpu=64_000, memory=640_000)
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(2, Demand(7_000, 100), image="heavy", fills=True)
    site.interference.load(msgpack.packb([2, [["shop", [["heavy", 0.7]]]]]))
    site.scheduler.add_job(make_job("lasting", steps=(serving,)))
    site.step()
    report_latency(site, 75.0)
    for number in range(5):
        site.scheduler.add_job(make_job(f"batch{number}", steps=(filling,)))
        report_latency(site, 75.0)
    filled = [task for task in site.running if task.startswith("batch")]
    # Of a headroom of 1.33, 1.1 are kept; each task consumes 0.08 at full speed.
    assert 1 <= len(filled) <= 3


def test_serving_tasks_of_one_image_share_vms(clock):
    """Mixed on each VM, serving images left no VM without interference."""
    site = Site(clock, vms=4, cpu=64_000, memory=640_000)
    for image in ("shop", "desk"):
        step = StepSpec(
            8, Demand(13_000, 100), long_running=True, image=image, latency_target=100.0
        )
        site.scheduler.add_job(make_job(image, steps=(step,)))
    site.step()
    images = [{run.task_id.split(".")[0] for run in vm.running} for vm in site.vms]
    assert all(len(found) == 1 for found in images)


def test_task_that_interferes_everywhere_is_placed_eventually(clock):
    """A job never ended, as no VM had the headroom for its tasks at full speed."""
    site = Site(clock, vms=2, cpu=64_000, memory=640_000)
    serving = StepSpec(
        2, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(4, Demand(7_000, 100), image="heavy", fills=True)
    site.interference.load(msgpack.packb([2, [["shop", [["heavy", 40.0]]]]]))
    site.scheduler.add_job(
        make_job("lasting", steps=(attrs.evolve(serving, spread_limit=1),))
    )
    site.step()
    site.scheduler.add_job(make_job("batch", steps=(filling,)))
    report_latency(site, 75.0)
    assert not [task for task in site.running if task.startswith("batch")]
    for _ in range(12):
        report_latency(site, 75.0)
    assert [task for task in site.running if task.startswith("batch")]


def test_few_tasks_of_an_unknown_image_join_a_serving_one(clock):
    """Five tasks of a new image drove a latency to six times its target.

    The image was assumed to be harmless until its interference was learned.
    """
    site = Site(clock, cpu=64_000, memory=640_000)
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(10, Demand(7_000, 100), image="new", fills=True)
    site.scheduler.add_job(make_job("lasting", steps=(serving,)))
    site.step()
    report_latency(site, 50.0)
    site.scheduler.add_job(make_job("batch", steps=(filling,)))
    report_latency(site, 50.0)
    assert 1 <= len([task for task in site.running if task.startswith("batch")]) <= 3
