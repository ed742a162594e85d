"""Tests of the VMs ranked for a step: same choices as a search, at less cost."""

import random

import attrs
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.candidates import Candidates
from pollenkeel_jobs.core.gangs import choose_for_gang
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import Job
from pollenkeel_jobs.core.placement import LeastLoaded
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.vms import Vm

NOW = 1_700_000_000.0
STEPS = {
    "plain": StepSpec(30, Demand(7000, 9000), 3.0),
    "best effort": StepSpec(30, Demand(7000, 9000), 3.0, fills=True, image="b1"),
    "latency-critical": StepSpec(
        20, Demand(9000, 9000), 3.0, image="s1", latency_target=20.0
    ),
    "spread": StepSpec(30, Demand(3000, 9000), 3.0, spread_limit=2),
    "data rack": StepSpec(30, Demand(7000, 9000), 3.0, data_rack="r1"),
}


class CountingPlacement(LeastLoaded):
    """Counts how often a VM is scored."""

    scores = 0

    def score(self, task, vm):
        self.scores += 1
        return super().score(task, vm)


@pytest.fixture
def placement():
    policy = CountingPlacement(InterferenceModel())
    policy.now = NOW
    return policy


def make_vms(count, seed):
    """VMs of random load with tasks of other jobs, the same for each call."""
    rng = random.Random(seed)
    others = make_tasks(
        StepSpec(count, Demand(4000, 4000), image="s1", latency_target=20.0),
        StepSpec(count, Demand(4000, 4000), fills=True, image="b2"),
    )
    vms = []
    for number in range(count):
        vm = Vm(
            f"vm-{number:03}", "", service="desk", incarnation=f"vm-{number:03}/w~1"
        )
        vm.capacity = Demand(rng.choice((32_000, 64_000)), 128_000)
        vm.labels = frozenset({f"r{number // 4}"})
        vm.slowness = rng.choice((1.0, 1.0, 1.4))
        for task in rng.sample(others, rng.randrange(4)):
            vm.add(task)
        vms.append(vm)
    return vms


def make_tasks(*steps):
    job = Job(make_job("j", list(steps)), NOW)
    job.add_occurrence(0)
    tasks = list(job.tasks())
    for task in tasks:
        task.ready_at = NOW
    return tasks


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("kind", STEPS)
def test_choices_are_those_of_a_search_through_all_vms(placement, kind, seed):
    """Guards against a worse placement for the sake of speed."""
    chosen = []
    for task in make_tasks(STEPS[kind]):
        if not chosen:
            searched = make_vms(24, seed)
        vm = placement.choose(task, searched)
        if vm is not None:
            vm.add(task)
        chosen.append(vm and vm.name)
    ranked = None
    reserved = []
    for task in make_tasks(STEPS[kind]):
        ranked = ranked or Candidates(task, make_vms(24, seed), placement)
        vm = ranked.reserve(task)
        reserved.append(vm and vm.name)
    assert reserved == chosen


def test_step_does_not_score_every_vm_for_every_task(placement):
    """Guards against passes that block reports for long on a large fleet."""
    tasks = make_tasks(attrs.evolve(STEPS["plain"], count=39))
    ranked = Candidates(tasks[0], make_vms(160, 1), placement)
    assert all(ranked.reserve(task) for task in tasks)
    assert placement.scores <= 160 + 39


def test_gang_does_not_score_every_vm_for_every_member(placement):
    """Guards against a large gang that blocks reports for long."""
    tasks = make_tasks(attrs.evolve(STEPS["plain"], count=39, gang=True))
    assert choose_for_gang(tasks, make_vms(160, 1), placement) is not None
    assert placement.scores <= 160 + 39


def test_task_that_failed_on_a_vm_is_not_treated_like_its_peers(clock):
    """Guards against placing a task where it failed because its peers go there."""
    site = Site(clock, vms=2, cpu=4000)
    site.scheduler.add_job(make_job(steps=[StepSpec(2, Demand(1000, 1000), 1.0)]))
    site.step()
    failing = next(vm for vm in site.vms if vm.running)
    task_id = failing.running[0].task_id
    failing.end(task_id, "failed")
    site.step()
    other = next(vm for vm in site.vms if vm is not failing)
    assert task_id in [run.task_id for run in other.running]
