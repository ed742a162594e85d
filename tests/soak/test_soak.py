"""Short seeded runs of the soak, and every seed that ever failed."""

import pytest

from soak.checks import find_violations
from soak.clients import SoakJob
from soak.run import run_soak

#: Seeds that failed once, each with the cause.
FAILED_SEEDS = {
    101: "connections to the leader that were silent for good were kept",
    103: "a cancellation was lost that came before its job; no process ended itself",
    229: "an entry that stopped while the store hung used more than the grace time",
}
SECONDS = 10.0


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
def test_promises_hold_under_random_faults(seed, tmp_path):
    """Guards against faults that only appear when others overlap."""
    result = run_soak(seed, SECONDS, tmp_path)
    assert result.jobs > 0
    assert result.violations == []


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


@pytest.mark.parametrize(
    ("runs", "job", "found"),
    [
        ([make_run(), make_run("a.0.1.0", 1, 2.0, 3.0)], make_job(), ""),
        ([make_run(), make_run(run=2, start=1.5)], make_job(), "two runs at a time"),
        ([make_run(), make_run(run=2, start=5.0)], make_job(), "run after a noted"),
        ([make_run("a.0.1.0")], make_job(), "start before the step before"),
        ([make_run("b.0.0.0")], make_job(), "nobody asked"),
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
        ([], make_job(unknown_at=9.0), "is not known"),
    ],
)
def test_broken_promises_are_found(runs, job, found):
    """A check that finds nothing would make the soak worthless."""
    lines = find_violations(runs, {"a": job})
    assert any(found in line for line in lines) if found else not lines


def test_job_that_was_refused_must_not_run():
    """A refusal as not run must be true."""
    job = SoakJob("a", make_job().steps, False, refused_at=0.5)
    lines = find_violations([make_run()], {"a": job})
    assert "refused as not run" in lines[0]
