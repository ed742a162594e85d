"""Short soak runs with fixed seeds, among them every seed that ever failed."""

import pytest

from soak.checks import find_violations
from soak.clients import SoakJob
from soak.idle import IdleJobs
from soak.loads import LOADS_BY_NAME, choose_loads
from soak.run import run_soak, shorten

#: Seeds that failed before, each with the cause.
FAILED_SEEDS = {
    101: "connections to the leader that passed no more data were not replaced",
    103: "a cancellation that arrived before its job was lost; no process ended itself",
    229: "an entry that stopped while the store hung used more than the grace time",
}
SEEDS = [1, *FAILED_SEEDS]
SECONDS = 10.0


# A run that finds violations waits for the end of each time limit.
@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_random_faults(seed, tmp_path):
    """Guards against failures that only occur when injected faults overlap."""
    result = run_soak(seed, SECONDS, tmp_path)
    assert result.jobs > 0
    assert list(shorten(result.violations)) == []


def test_each_load_is_played():
    """Guards against a load that none of the seeds plays."""
    assert set().union(*(choose_loads(seed) for seed in SEEDS)) == set(LOADS_BY_NAME)


def test_violations_of_each_rule_are_shown():
    """Guards against a rule that is hidden behind many violations of another one."""
    lines = [f"first: {number}" for number in range(9)]
    assert list(shorten([*lines, "second: 0"]))[-2:] == ["first: 6 more", "second: 0"]
    assert list(shorten([])) == []


def make_run(task="a.0.0.0", run=1, start=1.0, end=2.0, how="done", noted=True):
    return {
        "task": task,
        "run": run,
        "start": start,
        "end": end,
        "how": how,
        "noted": noted,
        "runner": 0,
    }


def make_job(**fields):
    steps = [{"Count": 1, "Cpu": 3000}, {"Count": 1, "Cpu": 3000, "After": [0]}]
    return SoakJob("a", steps, False, accepted_at=0.5, **fields)


def make_speculative_job():
    return SoakJob("a", [{"Count": 1, "Speculative": True}], False, accepted_at=0.5)


@pytest.mark.parametrize(
    ("runs", "job", "found"),
    [
        ([make_run(), make_run("a.0.1.0", 1, 2.0, 3.0)], make_job(), ""),
        ([make_run(), make_run(run=2, start=1.5)], make_job(), "two runs at a time"),
        ([make_run(), make_run(run=2, start=1.5)], make_speculative_job(), ""),
        ([make_run(), make_run(start=1.5)], make_speculative_job(), "used twice"),
        (
            [make_run(), make_run(run=2, start=5.0)],
            make_job(),
            "run after an acknowledged",
        ),
        ([make_run("a.0.1.0")], make_job(), "start before a step it depends on"),
        ([make_run("b.0.0.0")], make_job(), "never submitted"),
        (
            [make_run(start=20.0)],
            make_job(cancelled_at=1.0),
            "start after the cancellation",
        ),
        (
            [make_run(), make_run("a.0.1.0", 1, 1.0, 3.0)],
            make_job(),
            "runner 0 has 6000",
        ),
        ([], make_job(states=["done", "failed"]), "was shown as"),
        ([], make_job(unknown_at=9.0), "is not found"),
        (
            [make_run(how="failed"), make_run(run=2, start=3.0, end=4.0)],
            make_job(states=["running", "failed"]),
            "without cause",
        ),
    ],
)
def test_violations_are_found(runs, job, found):
    """Guards against checks that no longer detect a violation."""
    lines = find_violations(runs, {"a": job})
    assert any(found in line for line in lines) if found else not lines


@pytest.mark.parametrize(
    ("end", "now", "idle"), [(9.0, 11.0, False), (9.0, 13.0, True), (1.0, 7.0, False)]
)
def test_jobs_without_a_run_are_found(end, now, idle):
    """Guards against a check that misses jobs that wait beside free VMs."""
    jobs = IdleJobs(since=0.0, vms=1)
    jobs.check([make_run(end=end)], {"a": make_job()}, now)
    assert ("a" in jobs.seconds_by_job) is idle


def test_job_may_wait_while_there_is_little_room():
    """Guards against waiting that is counted while the VMs are busy."""
    runs = [make_run(end=1.0), make_run("b.0.0.0", how="running", end=20.0)]
    jobs = IdleJobs(since=0.0, vms=1)
    jobs.check(runs, {"a": make_job(), "b": make_job()}, 20.0)
    jobs.check(runs[:1], {"a": make_job()}, 22.0)
    assert not jobs.seconds_by_job


def test_job_that_was_refused_must_not_run():
    """Guards against a missed run of a job that was rejected as not run."""
    job = SoakJob("a", make_job().steps, False, refused_at=0.5)
    lines = find_violations([make_run()], {"a": job})
    assert "rejected as not run" in lines[0]
