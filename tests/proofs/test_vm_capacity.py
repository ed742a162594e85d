"""Proof of P1: no VM is ever given more work than it holds.

The check reads the workers' records. A start that a worker refused because it does
not fit counts as given, since only the agent may admit work.
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
#: Seconds after which the agent surely knows the true use of a task: the lag of the
#: worker's figures and two polls, with a reserve for a busy machine.
SETTLED = 2.0
JOBS = 2


@pytest.fixture
def start(tmp_path):
    sites = []
    with Cluster(tmp_path) as cluster:

        def start(**options):
            # Announcements are rare, so that the entries' hints are stale.
            # Tasks outlive the restart of an agent.
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

        yield start
        for site in sites:
            close_relays(site)


def submit(site, seed):
    """Submit more work than fits, through every entry, and return the task names."""
    generator = random.Random(seed)
    names = []
    for number in range(JOBS):
        for entry in site.entries():
            tasks = [
                (generator.choice([1.0, 2.0]), generator.choice([0.3, 1.0, 3.0]))
                for _ in range(3)
            ]
            site.submit(entry.name, f"{entry.name}-{number}", *tasks)
            names += [f"{entry.name}-{number}:t{i}" for i in range(3)]
    return names


def check(site, names, **use):
    site.wait_for_done(names, 90.0)
    assert find_overcommitted(site, CORES, **use) == []
    assert find_missing(names, site.executions()) == {}


@pytest.mark.parametrize("seed", [1, 2])
def test_entries_dispatch_at_once_with_stale_hints(start, seed):
    site = start()
    check(site, submit(site, seed))


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
def test_agent_and_owner_faults(start, faults):
    """Guards against an agent that forgets what its worker runs, among others."""
    site = start()
    # Fills both VMs for longer than an agent takes to restart.
    site.submit("entry-0", "hold", (CORES, 12.0), (CORES, 12.0))
    site.wait_for_running(2)
    names = submit(site, seed=3)
    for fault in faults:
        site.wait_for_running(1, VM)
        step = fault(site)
        step.begin()
        step.end()
    check(site, names)


@pytest.mark.parametrize("fault", [None, AgentKilled])
def test_declared_sizes_are_too_small(start, fault):
    """Guards against starts beside tasks that use more than they declare."""
    factor = 2.0
    site = start(worker_options={"usage_factor": factor, "usage_lag": 0.2})
    names = submit(site, seed=4)
    if fault is not None:
        site.wait_for_running(1, VM)
        step = fault(site)
        step.begin()
        step.end()
    check(site, names, factor=factor, settled=SETTLED)
