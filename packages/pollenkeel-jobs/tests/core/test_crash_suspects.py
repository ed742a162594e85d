"""Guards against tasks that wait or are given up for crashes of others (LOST)."""

import attrs
import pytest
from crash_play import STEP, RandomKills
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.messages import RunKey, WorkerCrash
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.specs import Demand, StepSpec

#: Maximum number of starts of a task that crashes each worker.
MAX_STARTS = 5
#: Seconds for which a suspect of up to two crashes waits where there is room (LOST).
MAX_WAIT = 3.0
SEEDS = range(8)


def add_random_job(play, number, tasks=10):
    """Add a job; seven such jobs a second use a third of four VMs."""
    rng = play.rng
    play.add_job(f"j{number}", rng.randint(1, tasks), rng.uniform(0.3, 1.6))


def play_random_kills(play, seconds=45.0):
    """Add jobs for a time and kill one or two workers every few seconds."""
    number = 0
    next_job_at = next_kill_at = play.clock.now()
    stop_at = next_job_at + seconds
    while play.clock.now() < stop_at:
        now = play.clock.now()
        while next_job_at <= now:
            add_random_job(play, number)
            number += 1
            next_job_at += play.rng.expovariate(7.0)
        if next_kill_at <= now:
            for vm in play.rng.sample(play.site.vms, play.rng.choice((1, 2))):
                play.kill(vm)
            next_kill_at = now + play.rng.uniform(1.0, 6.0)
        play.step()


def settle(play, seconds):
    for _ in range(int(seconds / STEP)):
        play.step()


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_beside_killed_workers_are_done(clock, seed):
    """Guards against jobs that fail, or wait, as workers were killed beside them."""
    play = RandomKills(clock, seed)
    play_random_kills(play)
    settle(play, 6.0)
    assert play.suspected
    assert play.find_jobs(JobStatus.FAILED) == set()
    assert play.open_jobs == set()


@pytest.mark.parametrize("seed", range(12))
def test_only_crashing_tasks_are_given_up_beside_killed_workers(clock, seed):
    """Guards against starts beyond the limit, and other jobs that are given up."""
    crashing_tasks = {f"j{number}.0.0.0" for number in (20, 90, 91, 160)}
    play = RandomKills(clock, seed, crashing_tasks=crashing_tasks)
    play_random_kills(play, 30.0)
    settle(play, 20.0)
    assert play.find_jobs(JobStatus.FAILED) == {"j20", "j90", "j91", "j160"}
    assert play.open_jobs == play.find_jobs(JobStatus.FAILED)
    assert max(play.starts_by_crashing_task.values()) <= MAX_STARTS


def crash_alone(site):
    """Crash the worker with the only run immediately after its start."""
    holder = next(vm for vm in site.vms if vm.running)
    run = holder.running[0]
    holder.crash(RunKey(run.task_id, run.run))
    site.step()
    site.step()


def test_run_that_failed_on_a_worker_that_lived_on_clears_its_task(clock):
    """Guards against crashes that count although the task has run since (LOST)."""
    site = Site(clock, vms=4)
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0),)))
    site.step()
    for _ in range(3):
        crash_alone(site)
    next(vm for vm in site.vms if vm.running).end("j1.0.0.0", "failed")
    site.step()
    for _ in range(3):
        crash_alone(site)
    assert site.scheduler.find_status("j1") is JobStatus.RUNNING


@pytest.mark.parametrize("is_agent_back", [True, False])
@pytest.mark.parametrize("began", [True, False])
def test_crash_counts_although_its_report_is_lost(clock, began, is_agent_back):
    """Guards against starts beyond the limit if agents are lost with the worker."""
    site = Site(clock, vms=4)
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0),)))
    site.step()
    for number in range(MAX_STARTS):
        assert site.scheduler.find_status("j1") is not JobStatus.FAILED
        holder = next(vm for vm in site.vms if vm.running)
        run = holder.running[0]
        crash = WorkerCrash(
            holder.incarnation, [RunKey(run.task_id, run.run)], began=began
        )
        holder.crash()
        if number < 3:
            holder.crashes.append(crash)
        elif is_agent_back:
            # It has started again, and does not know what its worker had started.
            holder.crashes.append(attrs.evolve(crash, suspects=[]))
        site.step()
        site.step()
    assert site.scheduler.find_status("j1") is JobStatus.FAILED


def play_crashes(clock, tasks, crashes, vms=4):
    """Return a play in which a worker is killed each time all tasks have started."""
    play = RandomKills(clock, 0, vms)
    play.add_job("j1", tasks, 600.0, cpu=10)
    for _ in range(crashes):
        play.step()
        play.step()
        for vm in play.site.vms:
            if vm.running:
                play.kill(vm, seconds=0.1)
    return play


@pytest.mark.parametrize("vms", [1, 2, 4])
@pytest.mark.parametrize("tasks", [25, 250, 1000])
def test_wait_of_suspects_does_not_grow_with_their_number(clock, tasks, vms):
    """Guards against long waits of suspects that are tried in small groups."""
    play = play_crashes(clock, tasks, 1, vms)
    settle(play, 5.0)
    assert len(play.site.running) == tasks
    assert max(play.longest_wait_by_crashes.values()) <= MAX_WAIT


@pytest.mark.parametrize("tasks", [25, 250])
def test_wait_of_suspects_of_two_crashes_is_bounded(clock, tasks):
    """Guards against 25 suspects of two crashes that were tried one by one."""
    play = play_crashes(clock, tasks, 2)
    settle(play, 5.0)
    assert len(play.site.running) == tasks
    assert max(play.longest_wait_by_crashes.values()) <= MAX_WAIT
