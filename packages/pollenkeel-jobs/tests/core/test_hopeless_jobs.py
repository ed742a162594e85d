"""Tests of jobs whose tasks fail on every worker."""

import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.specs import Demand, StepSpec

STEP = StepSpec(1, Demand(1000, 1000), 1.0)


def play(site, jobs, fails, steps=60):
    """End each run half a second after its start; return when each job has ended."""
    ended_at = {}
    for _ in range(steps):
        site.clock.advance(0.5)
        for vm in site.vms:
            for run in list(vm.running):
                vm.end(run.task_id, "failed" if fails(vm, run) else "done")
        site.step()
        for job in jobs:
            if site.scheduler.find_status(job).final:
                ended_at.setdefault(job, site.clock.now())
    return ended_at


@pytest.mark.parametrize("vms", [2, 3])
def test_hopeless_jobs_keep_no_sound_worker_out_of_use(clock, vms):
    """Guards against a good job that waits since others have failed everywhere."""
    site = Site(clock, vms=vms)
    hopeless = [f"bad{number}" for number in range(8)]
    for job in hopeless:
        site.scheduler.add_job(make_job(job, (STEP,)))
    began = clock.now()
    ended_at = play(site, hopeless, lambda vm, run: True)
    assert max(ended_at.values()) - began <= 12.0
    assert {site.scheduler.find_status(job) for job in hopeless} == {JobStatus.FAILED}
    site.scheduler.add_job(make_job("good", (STEP,)))
    site.step()
    assert site.running == ["good.0.0.0"]


def test_worker_that_fails_every_run_is_still_quarantined(clock):
    site = Site(clock, vms=3)
    jobs = [f"j{number}" for number in range(12)]
    for job in jobs:
        site.scheduler.add_job(make_job(job, (STEP,), attempts=4))
    failing = site.vms[0]
    play(site, jobs, lambda vm, run: vm is failing, steps=8)
    obstacle = site.scheduler._fleet.find_obstacle(failing.vm, clock.now())
    assert obstacle == "quarantine"
