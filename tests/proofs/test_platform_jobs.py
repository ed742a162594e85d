"""Batch jobs on the platform: real processes against stand-ins of the platform.

The checks use the runners' records: a task never has two runs at a time, no task runs
again after it was done, and every accepted job finishes.
"""

import itertools
import time
from pathlib import Path

import pytest

from pollenkeel_jobs.core.names import LEADER_PARTITION, PROGRESS
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_platform.store import PlatformTables
from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.processes import wait_until

STEPS = [
    {"Count": 4, "Cpu": 800, "MemMb": 200, "EstimateMs": 500},
    {"Count": 3, "Cpu": 800, "MemMb": 200, "EstimateMs": 500, "After": [0]},
]
TASKS = 7
#: Seconds that the platform leaves a process between SIGTERM and SIGKILL.
GRACE_SECONDS = 6.0
#: Seconds for which a stopping entry serves clients.
DRAIN_SECONDS = 2.5
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
    """Check that the runs of each task do not overlap, have increasing numbers and end
    with the first one that is done; return them by task.
    """
    runs_by_task = {}
    for run in sorted(runs, key=lambda run: run["start"]):
        runs_by_task.setdefault(run["task"], []).append(run)
    for task_runs in runs_by_task.values():
        for before, after in itertools.pairwise(task_runs):
            assert before["how"] != "done", (before, after)
            assert before["end"] <= after["start"], (before, after)
            assert before["run"] < after["run"], (before, after)
    return runs_by_task


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_jobs_survive_a_fault(fault, tmp_path):
    """Guards against accepted jobs that a fault loses and tasks that run twice."""
    with JobSite(tmp_path) as site:
        for number in range(JOBS):
            site.submit(f"job-{number}", STEPS, "run 0.5")
        fault(site)
        for number in range(JOBS):
            site.wait_for_state(f"job-{number}", "done")
        runs_by_task = check_runs(site.read_runs())
        done_tasks = [
            task for task, runs in runs_by_task.items() if runs[-1]["how"] == "done"
        ]
        own_tasks = [task for task in done_tasks if task.startswith("job-")]
        assert len(own_tasks) == JOBS * TASKS


def test_step_starts_after_its_dependencies(tmp_path):
    """Guards against a step that starts before the steps it depends on are done."""
    with JobSite(tmp_path, entries=1) as site:
        site.submit("job", STEPS, "run 0.3")
        site.wait_for_state("job", "done")
        runs = site.read_runs()
        first = max(run["end"] for run in runs if ".0.0." in run["task"])
        second = min(run["start"] for run in runs if ".0.1." in run["task"])
        assert first <= second


def test_cancelled_job_stops(tmp_path):
    """Guards against tasks that keep running after their job was cancelled."""
    with JobSite(tmp_path, entries=1) as site:
        site.submit("job", STEPS, "run 60")
        site.wait_for_state("job", "running")
        assert site.call("DELETE", "job", 0).status == 200
        site.wait_for_state("job", "cancelled")
        runs = site.read_runs()
        assert {run["how"] for run in runs} <= {"stopped", "running"}


def test_failing_task_fails_its_job(tmp_path):
    """Guards against a failing task that is retried forever and keeps its job open."""
    with JobSite(tmp_path, entries=1) as site:
        site.submit("job", [{"Count": 1, "Cpu": 100, "MemMb": 10}], "fail 0.1")
        site.wait_for_state("job", "failed")
        assert sorted(run["run"] for run in site.read_runs()) == [1, 2, 3]


@pytest.mark.parametrize("store", ["off", "hang"])
@pytest.mark.parametrize("name", ["agent-0", "entry-0", "entry-1"])
def test_stopped_process_ends_within_the_grace_time(name, store, tmp_path):
    """Guards against threads that wait without end and keep a process until SIGKILL."""
    with JobSite(tmp_path) as site:
        site.submit("job", STEPS, "run 0.2")
        site.wait_for_state("job", "done")
        site.set_store_faults(down=store)
        assert site.processes_by_name[name].stop(GRACE_SECONDS) == 0


def test_stopping_entry_serves_clients_until_the_load_balancer_knows(tmp_path):
    """Guards against requests that are dropped right after SIGTERM.

    An entry that did not lead ended 0.02 to 0.14 s after its SIGTERM.
    """
    with JobSite(tmp_path) as site:
        site.submit("job", STEPS, "run 0.2")
        number = 1 - site.find_leader()
        process = site.processes_by_name[f"entry-{number}"]
        process.terminate()
        stopped_at = time.time()
        while time.time() < stopped_at + DRAIN_SECONDS - 0.5:
            assert site.call("GET", "job", number) is not None
        assert process.wait(GRACE_SECONDS) == 0


@pytest.mark.parametrize("name", ["entry-0", "agent-0"])
def test_reload_signal_does_not_end_a_starting_process(name, tmp_path):
    """Guards against a SIGHUP during the imports, for which there was no handler."""
    with JobSite(tmp_path, entries=1, vms=1) as site:
        site.processes_by_name[name].kill()
        process = site.start(name)
        maps = Path(f"/proc/{process.pid}/maps")
        wait_until(lambda: "msgpack" in maps.read_text(), 20.0, "imports have begun")
        process.reload()
        process.wait_ready()


def write_progress(site, job_id, value):
    """Overwrite a job's progress row, as damage or a repair by hand would."""
    store = site.processes_by_name["store"].url.removeprefix("http://")
    write = RowWrite(PROGRESS, job_id, value)
    tables = PlatformTables(store)
    assert tables.transact(Transaction(LEADER_PARTITION, (), (write,))).is_ok()


def test_job_goes_on_once_its_record_is_repaired(tmp_path):
    """Guards against an unreadable job that runs anew, or waits after its repair."""
    with JobSite(tmp_path) as site:
        site.submit("job", STEPS[:1], "run 30")
        site.wait_for_state("job", "running")
        store = site.processes_by_name["store"].url.removeprefix("http://")
        tables = PlatformTables(store)
        recorded = tables.read_row(LEADER_PARTITION, PROGRESS, "job").unwrap().value
        write_progress(site, "job", b"\xc1")
        kill_leader(site)
        wait_until(lambda: site.call("GET", "job", 0).status == 500, 10.0, "error")
        site.set_store_faults(lost_feeds=4)
        site.submit("other", STEPS, "run 0.2")
        site.wait_for_state("other", "done")
        runs = [run for run in site.read_runs() if run["task"].startswith("job.")]
        assert {run["run"] for run in runs} == {1}
        write_progress(site, "job", recorded)
        site.wait_for_state("job", "running", 25.0)
        wait_until(
            lambda: (
                {r["run"] for r in site.read_runs() if r["how"] == "running"} == {2}
            ),
            10.0,
            "the tasks run again",
        )
        check_runs(site.read_runs())
