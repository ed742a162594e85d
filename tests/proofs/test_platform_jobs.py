"""Jobs on the users' platform: real processes against the platform's stand-ins.

Checks read the runners' records: a task never runs in two places at once, nothing
runs again after it was done, and every accepted job is finished.
"""

import itertools

import pytest

from pollenkeel_standins.job_site import JobSite

STEPS = [
    {"Count": 4, "Cpu": 800, "MemMb": 200, "EstimateMs": 500},
    {"Count": 3, "Cpu": 800, "MemMb": 200, "EstimateMs": 500, "After": [0]},
]
TASKS = 7
#: Seconds from SIGTERM to SIGKILL on the platform.
GRACE_SECONDS = 6.0
JOBS = 6


def kill_leader(site):
    name = f"entry-{site.find_leader()}"
    site.processes_by_name[name].kill()
    site.restart(name)


def freeze_leader(site):
    process = site.processes_by_name[f"entry-{site.find_leader()}"]
    process.freeze()
    site.wait_for_state("job-0", "done")
    process.thaw()


def kill_agent(site):
    site.processes_by_name["agent-0"].kill()
    site.restart("agent-0")


def kill_all(site):
    names = [name for name in site.processes_by_name if name.startswith(("e", "a"))]
    for name in names:
        site.processes_by_name[name].kill()
    for name in names:
        site.restart(name)


def lose_answers(site):
    site.set_store_faults(lose_answers=4)


def stop_store(site):
    site.set_store_faults(down="refuse")
    assert site.call("POST", "while-down", 0, {"Steps": STEPS}).status in (503, 504)
    site.set_store_faults(down="off")


def kill_leader_while_answers_are_lost(site):
    lose_answers(site)
    kill_leader(site)


def kill_leader_twice(site):
    kill_leader(site)
    site.submit("between", STEPS, "run 0.2")
    kill_leader(site)


FAULTS = [
    kill_leader,
    freeze_leader,
    kill_agent,
    kill_all,
    lose_answers,
    stop_store,
    kill_leader_while_answers_are_lost,
    kill_leader_twice,
]


def check_runs(runs):
    """No task runs twice at a time or after it was done; runs are numbered upwards."""
    by_task = {}
    for run in sorted(runs, key=lambda run: run["start"]):
        by_task.setdefault(run["task"], []).append(run)
    for task_runs in by_task.values():
        for before, after in itertools.pairwise(task_runs):
            assert before["how"] != "done", (before, after)
            assert before["end"] <= after["start"], (before, after)
            assert before["run"] < after["run"], (before, after)
    return by_task


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_jobs_survive_a_fault(fault, tmp_path):
    """Every accepted job is done once, whatever fails while it runs."""
    with JobSite(tmp_path) as site:
        for number in range(JOBS):
            site.submit(f"job-{number}", STEPS, "run 0.5")
        fault(site)
        for number in range(JOBS):
            site.wait_for_state(f"job-{number}", "done")
        by_task = check_runs(site.read_runs())
        done = [task for task, runs in by_task.items() if runs[-1]["how"] == "done"]
        ours = [task for task in done if task.startswith("job-")]
        assert len(ours) == JOBS * TASKS


def test_step_starts_after_the_steps_before(tmp_path):
    """The order of dependent steps holds in what truly ran."""
    with JobSite(tmp_path, entries=1) as site:
        site.submit("job", STEPS, "run 0.3")
        site.wait_for_state("job", "done")
        runs = site.read_runs()
        first = max(run["end"] for run in runs if ".0.0." in run["task"])
        second = min(run["start"] for run in runs if ".0.1." in run["task"])
        assert first <= second


def test_cancelled_job_stops(tmp_path):
    """Nothing of a cancelled job runs on."""
    with JobSite(tmp_path, entries=1) as site:
        site.submit("job", STEPS, "run 60")
        site.wait_for_state("job", "running")
        assert site.call("DELETE", "job", 0).status == 200
        site.wait_for_state("job", "cancelled")
        runs = site.read_runs()
        assert {run["how"] for run in runs} <= {"stopped", "running"}


def test_failing_task_is_given_up(tmp_path):
    """A job that can never be done ends as failed after its attempts."""
    with JobSite(tmp_path, entries=1) as site:
        site.submit("job", [{"Count": 1, "Cpu": 100, "MemMb": 10}], "fail 0.1")
        site.wait_for_state("job", "failed")
        assert sorted(run["run"] for run in site.read_runs()) == [1, 2, 3]


@pytest.mark.parametrize("store", ["off", "hang"])
@pytest.mark.parametrize("name", ["agent-0", "entry-0", "entry-1"])
def test_stopped_process_ends_within_the_grace_time(name, store, tmp_path):
    """All processes stayed until SIGKILL, because threads waited for ever."""
    with JobSite(tmp_path) as site:
        site.submit("job", STEPS, "run 0.2")
        site.wait_for_state("job", "done")
        site.set_store_faults(down=store)
        assert site.processes_by_name[name].stop(GRACE_SECONDS) == 0
