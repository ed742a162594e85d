"""Safety property P3: an evicted task resumes exactly once, and no task is lost.

The checks use the workers' records and the stored checkpoints.
"""

import random
from itertools import combinations

import pytest

from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_standins.batch_faults import (
    AgentFrozen,
    AgentKilled,
    CommitAnswerLost,
    OwnerCutFromStore,
    OwnerFrozen,
    OwnerKilled,
    WorkerFrozen,
    WorkerKilled,
)
from pollenkeel_standins.batch_site import (
    LIMIT,
    close_relays,
    find_lost_progress,
    find_missing,
    find_overlaps,
    start_batch_site,
)
from pollenkeel_standins.cluster import Cluster, wait_until

CLOCK = SystemClock()
FAULTS = [
    AgentFrozen,
    AgentKilled,
    OwnerFrozen,
    OwnerKilled,
    WorkerFrozen,
    WorkerKilled,
]
FAULT_PAIRS = random.Random(3).sample(
    [p for p in combinations(FAULTS, 2) if p not in {(WorkerFrozen, WorkerKilled)}], 4
)
TASK_NAMES = [f"j:t{number}" for number in range(4)]
TASK_SECONDS = 5.0


@pytest.fixture
def site(tmp_path):
    with Cluster(tmp_path) as cluster:
        site = start_batch_site(cluster)
        yield site
        close_relays(site)


def run_until_progress(site):
    """Submit a job that needs both VMs and wait until each task has made progress."""
    site.submit("entry-0", "j", *[(5.0, TASK_SECONDS)] * len(TASK_NAMES))
    wait_until(lambda: has_progress(site), LIMIT, "progress")


def has_progress(site):
    running = site.running()
    latest = max((run.start for run in running), default=0.0)
    return len(running) == len(TASK_NAMES) and CLOCK.now() > latest + 1.0


def wait_for_eviction(site):
    wait_until(lambda: any(r.outcome == "evicted" for r in site.executions()), LIMIT)


def drain(site):
    """Drain through an entry that does not own the shard."""
    owner = site.owner()[0]
    other = next(e.name for e in site.entries() if e.name != owner)
    site.drain(other, "kingston")


def check_completion(site):
    """Check that each task ended once and that none lost or repeated its progress."""
    site.wait_for_done(TASK_NAMES)
    executions = site.executions()
    assert find_overlaps(executions) == []
    assert find_lost_progress(site) == []
    assert find_missing(TASK_NAMES, executions) == {}


@pytest.mark.parametrize("moment", ["ordered", "checkpointed"])
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_during_drain(site, fault, moment):
    """Guards against a task that a fault during its eviction loses or repeats."""
    run_until_progress(site)
    drain(site)
    if moment == "checkpointed":
        wait_for_eviction(site)
    step = fault(site)
    step.begin()
    step.end()
    check_completion(site)


@pytest.mark.parametrize(("first", "second"), FAULT_PAIRS)
def test_two_faults_during_drain(site, first, second):
    """Guards against recovery from one fault that another fault prevents."""
    run_until_progress(site)
    drain(site)
    wait_for_eviction(site)
    steps = [first(site), second(site)]
    for step in steps:
        step.begin()
    # The first fault may not be able to end while the second one lasts.
    for step in reversed(steps):
        step.end()
    check_completion(site)


@pytest.mark.parametrize("fault", [AgentKilled, OwnerKilled, WorkerKilled])
def test_same_fault_twice_during_drain(site, fault):
    """Guards against recovery that works only once."""
    run_until_progress(site)
    drain(site)
    for _ in range(2):
        step = fault(site)
        step.begin()
        step.end()
    check_completion(site)


def test_lost_commit_answers_during_drain(site):
    """Guards against evictions whose commit took effect without an answer."""
    run_until_progress(site)
    drain(site)
    step = CommitAnswerLost(site)
    step.begin()
    step.end()
    check_completion(site)


@pytest.mark.parametrize("fault", [OwnerFrozen, OwnerCutFromStore])
def test_eviction_during_owner_change(site, fault):
    """Guards against a drain that is ignored while a shard changes its owner."""
    run_until_progress(site)
    step = fault(site)
    step.begin()
    drain(site)
    step.end()
    check_completion(site)
