"""Guards against work that waits since the only worker for it is in quarantine."""

import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.specs import Demand, StepSpec

#: Label that only the first VM of a site has.
SOLE = "rack-z0"
#: Seconds for which work may wait beside free room.
MAX_WAIT = 3.0
STEP_SECONDS = 0.1


def make_step(count=1, **fields):
    return StepSpec(count, Demand(1000, 1000), 1.0, **fields)


def fail_jobs(site, vm, count, **fields):
    """Let one job after the other fail until its attempts are used up on a VM."""
    for number in range(count):
        name = f"bad{number}"
        site.scheduler.add_job(make_job(name, (make_step(**fields),)))
        for _ in range(400):
            site.clock.advance(STEP_SECONDS)
            for run in list(vm.running):
                vm.end(run.task_id, "failed")
            site.step()
            if site.scheduler.find_status(name) is JobStatus.FAILED:
                break
        assert site.scheduler.find_status(name) is JobStatus.FAILED


def is_closed(site, vm):
    obstacle = site.scheduler._fleet.find_obstacle(vm.vm, site.clock.now())
    return obstacle == "quarantine"


def wait_for_runs(site, count, job="good"):
    """Return the seconds until this number of tasks of a job run."""
    began = site.clock.now()
    while sum(task_id.startswith(job) for task_id in site.running) < count:
        assert site.clock.now() - began < 60.0
        site.clock.advance(STEP_SECONDS)
        site.step()
    return site.clock.now() - began


def test_failures_that_no_other_worker_could_refute_close_no_worker(clock):
    """Guards against hopeless jobs that closed the only runner for their label (LOST).

    Seen in review/9: a long-running job waited for 16 s beside the idle worker.
    """
    site = Site(clock, vms=3)
    fail_jobs(site, site.vms[0], 4, label=SOLE)
    assert not is_closed(site, site.vms[0])
    good = make_job("good", (make_step(3, label=SOLE, long_running=True),))
    site.scheduler.add_job(good)
    site.step()
    assert len(site.running) == 3


def test_failures_close_no_worker_whose_peers_are_too_small(clock):
    """Guards against a closed worker that alone is large enough for the tasks."""
    site = Site(clock, vms=2)
    site.vms[1].capacity = Demand(500, 8000)
    fail_jobs(site, site.vms[0], 4)
    assert not is_closed(site, site.vms[0])


@pytest.mark.parametrize("out_of_use", ["draining", "closed data centre"])
def test_failures_close_no_worker_whose_peers_take_no_starts(clock, out_of_use):
    """Guards against a closed worker while all others drain or may not be used."""
    site = Site(clock, vms=2)
    if out_of_use == "draining":
        site.vms[1].draining = True
    else:
        site.open(closed=["z1"])
    fail_jobs(site, site.vms[0], 4)
    assert not is_closed(site, site.vms[0])


def close_first_vm(site):
    """Close the first VM by runs of jobs that other VMs run as well."""
    failing = site.vms[0]
    for number in range(12):
        site.scheduler.add_job(make_job(f"j{number}", (make_step(),), attempts=4))
    for _ in range(40):
        site.clock.advance(STEP_SECONDS)
        for vm in site.vms:
            for run in list(vm.running):
                vm.end(run.task_id, "failed" if vm is failing else "done")
        site.step()
        if is_closed(site, failing) and not site.running:
            return
    raise AssertionError("not closed")


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"long_running": True},
        {"fills": True},
        {"gang": True},
        {"spread_limit": 3},
    ],
)
def test_work_that_only_a_closed_worker_can_run_does_not_wait(clock, fields):
    """Guards against a wait for the end of a quarantine that nothing else can bound."""
    site = Site(clock, vms=3, cpu=8000)
    close_first_vm(site)
    fleet = site.scheduler._fleet
    # Many failed probes make the pause as long as it gets.
    fleet.quarantine._records_by_vm[site.vms[0].incarnation].probe_after += 26.0
    step = make_step(3, label=SOLE, **fields)
    site.scheduler.add_job(make_job("good", (step,), accepted_at=clock.now()))
    assert wait_for_runs(site, 3) < MAX_WAIT


def test_gang_that_needs_a_closed_worker_beside_open_ones_does_not_wait(clock):
    """Guards against a gang that waits since the open workers take most of it."""
    site = Site(clock, vms=3)
    close_first_vm(site)
    site.scheduler.add_job(make_job("good", (make_step(10, gang=True),)))
    assert wait_for_runs(site, 10) < MAX_WAIT
    assert {vm.name for vm in site.vms if vm.running} == {"vm-0", "vm-1", "vm-2"}


def test_long_running_task_does_not_wait_for_peers_that_never_end(clock):
    """Guards against a wait for the room of long-running tasks on open workers."""
    site = Site(clock, vms=3)
    close_first_vm(site)
    site.scheduler.add_job(make_job("first", (make_step(8, long_running=True),)))
    site.step()
    assert not site.vms[0].running
    site.scheduler.add_job(make_job("good", (make_step(long_running=True),)))
    assert wait_for_runs(site, 1) < MAX_WAIT


def test_success_of_such_work_ends_the_quarantine(clock):
    """Guards against a worker that stays closed although it does its work."""
    site = Site(clock, vms=3)
    close_first_vm(site)
    site.scheduler.add_job(make_job("good", (make_step(label=SOLE),)))
    wait_for_runs(site, 1)
    site.vms[0].end("good.0.0.0")
    site.step()
    assert not is_closed(site, site.vms[0])


def test_closed_worker_gets_no_work_that_others_could_run(clock):
    """Guards against jobs that fail on a bad worker while the others are full."""
    site = Site(clock, vms=3)
    close_first_vm(site)
    site.scheduler.add_job(make_job("busy", (make_step(8),)))
    site.scheduler.add_job(make_job("good", (make_step(4),)))
    for _ in range(int(3.5 / STEP_SECONDS)):
        clock.advance(STEP_SECONDS)
        site.step()
        assert not site.vms[0].running
    assert len(site.running) == 8


def test_closed_worker_gets_no_work_in_a_closed_data_centre(clock):
    """Guards against starts that operators have forbidden."""
    site = Site(clock, vms=3)
    close_first_vm(site)
    site.open(closed=["z0"])
    site.scheduler.add_job(make_job("good", (make_step(label=SOLE),)))
    for _ in range(int(5.0 / STEP_SECONDS)):
        clock.advance(STEP_SECONDS)
        site.step()
    assert not site.running
