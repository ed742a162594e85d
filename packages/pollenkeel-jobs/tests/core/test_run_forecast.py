"""Guards against forecasts that ignore the progress of a run or lie in the past."""

import pytest
from jobs_doubles import make_job

from pollenkeel_jobs.core.model import Job
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.vms import Vm

NOW = 1000.0
CLOCK_MS = 50_000.0


def place_task(estimate=10.0, **fields):
    """Return a VM and a task that was listed there 4 s ago, without any progress."""
    job = Job(make_job("j1", [StepSpec(1, Demand(1000, 1000), estimate, **fields)]))
    job.add_occurrence(0)
    (task,) = job.tasks()
    vm = Vm("vm-1", "tcp://nowhere", clock=CLOCK_MS)
    vm.add(task)
    task.placed_at = task.seen_at = NOW - 4.0
    task.progress.record(0, CLOCK_MS - 4000)
    return vm, task


def expect_end(vm, task):
    return RunForecast(VmSpeeds()).expect_end(vm, task, NOW)


def test_declared_run_time_counts_until_there_is_progress():
    assert expect_end(*place_task()) == pytest.approx(NOW + 6.0)


def test_progress_counts_more_than_a_wrong_declaration():
    vm, task = place_task(estimate=1.0)
    for percent in (1, 2, 3, 4, 5):
        task.progress.record(percent, CLOCK_MS - 4000 + percent * 800)
    # 1 s a percent, of which the first is left out, and 95 are still to do.
    assert expect_end(vm, task) == pytest.approx(NOW + 95.0)


def test_overdue_run_is_not_expected_to_end_in_the_past():
    assert expect_end(*place_task(estimate=1.0)) == NOW


def test_run_from_a_checkpoint_is_not_expected_to_begin_anew():
    vm, task = place_task()
    task.progress.percent = task.progress.initial_percent = 50
    assert expect_end(vm, task) == pytest.approx(NOW + 1.0)


@pytest.mark.parametrize("fields", [{"long_running": True}, {"estimate": 0.0}])
def test_end_is_unknown_without_any_figure(fields):
    assert expect_end(*place_task(**fields)) is None
