"""Guards against errors and spoilt figures from declared or measured extremes.

A resource that a job doesn't request is 0, which is valid. The largest values are those
that the platform's interface accepts.
"""

import itertools
import json
import math
import sys

import attrs
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.headroom import compute_headroom
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import InterferingPair, RunningTask, TaskProfile
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.pacing import PaceController
from pollenkeel_jobs.core.specs import Demand, StepSpec

MAX_INTEGER = 2**53
MAX_NUMBER = sys.float_info.max
MIN_NUMBER = 5e-324
PAIRS = [InterferingPair("shop", "cut", 3.0)]
CORES = 16_000


def pace(cores, capacity=CORES, target=25.0, latency=20.0, used=0.0):
    """Return the paces of a best-effort run at its start and beside a serving run."""
    controller = PaceController()
    profiles = {
        "s": TaskProfile("s", "shop", latency_target=target, cores=13_000),
        "b": TaskProfile("b", "cut", fills=True, cores=cores),
    }
    running = [RunningTask("s", 1, "", 100, latency)]
    list(controller.decide(running, profiles, PAIRS, capacity, 10.0))
    first = controller.admit(("b", 1), profiles["b"], PAIRS, capacity, 10.1)
    running.append(RunningTask("b", 1, "", 10, used))
    later = list(controller.decide(running, profiles, PAIRS, capacity, 10.5))
    return [change.percent for change in (first, *later) if change is not None]


def test_best_effort_run_without_cpu_is_paced():
    """The agent divided by 0 before its report, and all runs on the VM lapsed."""
    assert set(pace(cores=0)) <= {100}


@pytest.mark.parametrize(
    "cores, capacity", itertools.product((0, 1, MAX_INTEGER), repeat=2)
)
@pytest.mark.parametrize("target", [MIN_NUMBER, 1.0, MAX_NUMBER])
@pytest.mark.parametrize("figure", [0.0, MIN_NUMBER, 1.0, MAX_NUMBER])
def test_paces_are_percents_for_all_figures(cores, capacity, target, figure):
    """Guards against an agent that fails on one task's figures."""
    percents = pace(cores, capacity, target, latency=figure, used=figure)
    assert all(0 <= percent <= 100 for percent in percents)


@pytest.mark.parametrize("target", [MIN_NUMBER, 1.0, MAX_NUMBER])
@pytest.mark.parametrize("latency", [0.0, MIN_NUMBER, 1.0, MAX_NUMBER])
def test_headroom_has_a_finite_reciprocal(latency, target):
    """Pressure is the reciprocal; a target far below the latency made it fail."""
    assert 0 < 1.0 / compute_headroom(latency, target) < math.inf


@pytest.mark.parametrize("figure", [0.0, MIN_NUMBER, 1.0, MAX_NUMBER])
@pytest.mark.parametrize("capacity", [0, 1, MAX_INTEGER])
def test_learned_weights_stay_finite(figure, capacity):
    """Guards against weights that one VM's figures spoil for all."""
    model = InterferenceModel()
    profiles = {
        "s": TaskProfile("s", "shop", latency_target=25.0, cores=1_000),
        "b": TaskProfile("b", "cut", fills=True, cores=0),
    }
    for second in range(20):
        used = figure if second % 2 else 0.0
        running = [
            RunningTask("s", 1, "", 100, 10.0 + second % 3),
            RunningTask("b", 1, "", 10, used),
        ]
        model.observe("vm", running, profiles, capacity, float(second))
    assert math.isfinite(model.weight("shop", "cut"))
    following = InterferenceModel()
    following.load(model.encode())
    assert following.weight("shop", "cut") == pytest.approx(
        model.weight("shop", "cut"), rel=0.01
    )


STEPS = [
    {"demand": demand, "estimate": estimate, **fields}
    for demand in (Demand(), Demand(1, 1), Demand(MAX_INTEGER, MAX_INTEGER))
    for estimate in (0.0, MIN_NUMBER, 1.0, MAX_NUMBER)
    for fields in (
        {},
        {"fills": True, "image": "cut"},
        {"latency_target": MIN_NUMBER, "image": "shop"},
        {"latency_target": MAX_NUMBER, "image": "shop"},
        {"long_running": True, "latency_target": 1.0, "image": "shop"},
    )
]


@pytest.mark.parametrize("fields", STEPS)
@pytest.mark.parametrize("figure", [0.0, MIN_NUMBER, MAX_NUMBER])
def test_job_with_extreme_figures_is_placed_and_explained(clock, fields, figure):
    """Guards against one job whose figures end the leader's passes or reports."""
    site = Site(clock, vms=2, cpu=MAX_INTEGER, memory=MAX_INTEGER)
    steps = (StepSpec(2, **fields), StepSpec(1, after=(0,), **fields))
    site.scheduler.add_job(make_job(steps=steps, accepted_at=clock.now()))
    beside = StepSpec(1, Demand(), latency_target=25.0, image="shop")
    site.scheduler.add_job(make_job("j2", (beside,), accepted_at=clock.now()))
    for number in range(12):
        clock.advance(0.5)
        site.step()
        for vm in site.vms:
            vm.running = [
                attrs.evolve(run, percent=min(100, 10 * number), figure=figure)
                for run in vm.running
            ]
        described = json.dumps(site.scheduler.explain("j1"), allow_nan=False)
    assert described
    assert site.running
    if fields.get("long_running"):
        return
    for _ in range(3):
        for vm in site.vms:
            for run in list(vm.running):
                vm.end(run.task_id)
        clock.advance(0.5)
        site.step()
    assert site.scheduler.find_status("j1") is JobStatus.DONE


@pytest.mark.parametrize("declared", [MIN_NUMBER, 1e-6])
def test_run_time_declared_as_almost_0_spoils_no_other_job(clock, declared):
    """Guards against a queue whose expected run times one job makes useless."""
    site = Site(clock)
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(), declared),)))
    site.step()
    clock.advance(2.0)
    site.vms[0].end("j1.0.0.0")
    site.step()
    site.scheduler.add_job(make_job("j2", (StepSpec(1, Demand(), 1.0),)))
    site.step()
    task = site.scheduler._jobs.find_task("j2.0.0.0")
    assert 0.5 < site.scheduler._reports._speeds.expect_seconds(task) < 2.0
