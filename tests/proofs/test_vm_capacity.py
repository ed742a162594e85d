"""Safety property P1: no VM is given more work than its capacity.

The checks use the workers' records, not the state that the system reports. A start
that a worker rejected for lack of capacity counts as a violation, since the agent must
not have admitted it.
"""

import random

import pytest

from pollenkeel_standins.batch_faults import (
    VM,
    AgentFrozen,
    AgentKilled,
    AgentSlow,
    OwnerKilled,
)
from pollenkeel_standins.batch_site import (
    close_relays,
    find_missing,
    find_overcommitted,
    start_batch_site,
)
from pollenkeel_standins.cluster import Cluster

CORES = 4.0
#: Longest time in seconds until an agent has measured the actual usage of a task: the
#: lag of the worker's measurements and two polls, with a margin for a busy machine.
MEASUREMENT_DELAY = 2.0
JOBS_PER_ENTRY = 2


@pytest.fixture
def start_site(tmp_path):
    sites = []
    with Cluster(tmp_path) as cluster:

        def start_site(**options):
            # Rare announcements make the entries' capacity hints stale. The long
            # task lease lets tasks survive the restart of an agent.
            timing = {"heartbeat_interval": 1.0, "announce_ttl": 4.0, "task_lease": 8.0}
            site = start_batch_site(
                cluster,
                entries=3,
                shards=3,
                timing={**timing, "peer_silent_after": 2.5},
                cores=CORES,
                **options,
            )
            sites.append(site)
            return site

        yield start_site
        for site in sites:
            close_relays(site)


def submit(site, seed):
    """Submit more work than fits, through every entry, and return the task names."""
    generator = random.Random(seed)
    task_names = []
    for number in range(JOBS_PER_ENTRY):
        for entry in site.entries():
            tasks = [
                (generator.choice([1.0, 2.0]), generator.choice([0.3, 1.0, 3.0]))
                for _ in range(3)
            ]
            site.submit(entry.name, f"{entry.name}-{number}", *tasks)
            task_names += [f"{entry.name}-{number}:t{i}" for i in range(3)]
    return task_names


def check_capacity(site, task_names, **use):
    site.wait_for_done(task_names, 90.0)
    assert find_overcommitted(site, CORES, **use) == []
    assert find_missing(task_names, site.executions()) == {}


@pytest.mark.parametrize("seed", [1, 2])
def test_concurrent_dispatch_with_stale_hints(start_site, seed):
    """Guards against agents that admit every start of entries with stale hints."""
    site = start_site()
    check_capacity(site, submit(site, seed))


@pytest.mark.parametrize(
    "faults",
    [
        (AgentKilled,),
        (AgentSlow,),
        (AgentFrozen,),
        (AgentKilled, AgentKilled),
        (OwnerKilled, AgentKilled),
    ],
)
def test_agent_and_owner_faults(start_site, faults):
    """Guards against an agent that restarts and ignores the tasks its worker runs."""
    site = start_site()
    # Occupies both VMs for longer than an agent takes to restart.
    site.submit("entry-0", "hold", (CORES, 12.0), (CORES, 12.0))
    site.wait_for_running(2)
    task_names = submit(site, seed=3)
    for fault in faults:
        site.wait_for_running(1, VM)
        step = fault(site)
        step.begin()
        step.end()
    check_capacity(site, task_names)


@pytest.mark.parametrize("fault", [None, AgentKilled])
def test_declared_sizes_are_too_small(start_site, fault):
    """Guards against starts admitted by declared sizes when tasks use more."""
    factor = 2.0
    site = start_site(worker_options={"usage_factor": factor, "usage_lag": 0.2})
    task_names = submit(site, seed=4)
    if fault is not None:
        site.wait_for_running(1, VM)
        step = fault(site)
        step.begin()
        step.end()
    check_capacity(site, task_names, factor=factor, settled=MEASUREMENT_DELAY)
