"""Guards against suspects of three crashes that wait for each other (LOST)."""

import math

import pytest
from crash_play import STEP, RandomKills

from pollenkeel_jobs.core.crashes import record_crash
from pollenkeel_jobs.core.messages import RunKey, WorkerCrash
from pollenkeel_jobs.core.model import JobStatus

#: Seconds for which a job may have no run beside free room.
MAX_WAIT = 3.0


def settle(play, seconds):
    for _ in range(int(seconds / STEP)):
        play.step()


def play_suspects(clock, jobs, vms=1, crashes=3, shared=True):
    """Return a play with waiting tasks that are suspected of some crashes.

    They are suspected of the same crashes, or each alone of crashes of its own.
    """
    play = RandomKills(clock, 0, vms)
    for number in range(jobs):
        play.add_job(f"j{number}", 1, 600.0, cpu=10)
    for task in play.site.scheduler._jobs.ready:
        worker = "w" if shared else task.task_id
        task.suspects = jobs if shared else 1
        task.crashed_on = frozenset(f"vm-9/{worker}~{n}" for n in range(crashes))
        task.crashed_at_once = task.crashed_on
    return play


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize("vms", [1, 4])
@pytest.mark.parametrize("jobs", [2, 3, 10, 40, 300])
def test_wait_of_suspects_of_three_crashes_is_bounded(clock, jobs, vms, shared):
    """Ten tasks on one worker waited for 12.6 s as each was tried alone (review/10)."""
    play = play_suspects(clock, jobs, vms, shared=shared)
    settle(play, 5.0)
    assert len(play.site.running) == jobs
    assert play.longest_wait_by_crashes[3] <= MAX_WAIT


def test_wait_of_suspects_is_bounded_beside_trials_elsewhere(clock):
    """Guards against a wait for the few VMs that may be on trial while others wait."""
    play = play_suspects(clock, 40, vms=4, shared=False)
    play.add_job("large", 1, 600.0, cpu=10**6)
    settle(play, 6.0)
    suspects = [name for name in play.site.running if name.startswith("j")]
    assert len(suspects) == 40
    assert play.longest_wait_by_crashes[3] <= MAX_WAIT


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize(
    "jobs, bad", [(10, 0), (10, 4), (10, 9), (160, 40), (160, 159)]
)
def test_only_the_task_that_crashes_workers_is_given_up(clock, jobs, bad, shared):
    """Guards against innocent tasks given up with one that was tried beside them.

    Each crash of a group halves the suspects, so that a task that crashes each worker
    is found after few crashes.
    """
    play = play_suspects(clock, jobs, shared=shared)
    play.crashing_tasks = {f"j{bad}.0.0.0"}
    settle(play, 40.0)
    assert play.find_jobs(JobStatus.FAILED) == {f"j{bad}"}
    assert len(play.site.running) == jobs - 1
    most = math.ceil(math.log2(jobs)) + 4
    assert play.starts_by_crashing_task[f"j{bad}.0.0.0"] <= most


def test_first_of_many_suspects_is_tried_alone(clock):
    """Guards against groups whose crash proves nothing although no one waits long."""
    play = play_suspects(clock, 10)
    settle(play, 1.0)
    assert len(play.site.running) == 1


def test_later_suspects_are_tried_in_two_groups(clock):
    """Guards against a crash of all suspects at once for one of them."""
    play = play_suspects(clock, 10)
    settle(play, 1.5)
    assert len(play.site.running) == 6


def test_shared_crashes_keep_the_record_small(clock):
    """Guards against a progress row that grows with each crash of a worker."""
    play = play_suspects(clock, 2)
    jobs = play.site.scheduler._jobs
    tasks = list(jobs.iterate_open_tasks())
    for number in range(50):
        suspects = [RunKey(task.task_id, number + 1) for task in tasks]
        crash = WorkerCrash(f"vm-0/w~{number}", suspects, began=True)
        assert not list(record_crash(jobs, crash))
    assert [len(task.crashed_on) for task in tasks] == [5, 5]
    # The others of the crash have run soundly when its report is repeated.
    tasks[1].crashed_on, tasks[1].acquitted_through = frozenset(), 50
    assert not list(record_crash(jobs, crash))
