"""Safety property P2: a task never runs in two places at once.

The checks use the workers' records, not the state that the system reports.
"""

import random
from itertools import combinations

import pytest

from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.messages import Resources, TaskExchange, TaskStart
from pollenkeel_kernel.core.transport import PeerClient
from pollenkeel_standins.batch_faults import (
    AgentFrozen,
    AgentKilled,
    AgentRestartedThenCut,
    AgentSilent,
    AgentSlow,
    NewOwnerCutFromAgent,
    OwnerCutFromStore,
    OwnerFault,
    OwnerFrozen,
    OwnerKilled,
)
from pollenkeel_standins.batch_site import (
    LIMIT,
    close_relays,
    find_missing,
    find_overlaps,
    start_batch_site,
)
from pollenkeel_standins.cluster import Cluster, wait_until

CLOCK = SystemClock()
TASKS = 4


FAULTS = [
    OwnerFrozen,
    OwnerKilled,
    OwnerCutFromStore,
    AgentFrozen,
    AgentKilled,
    AgentSlow,
    AgentSilent,
]
COMBINABLE_FAULTS = [
    OwnerFrozen,
    OwnerKilled,
    OwnerCutFromStore,
    AgentKilled,
    AgentSlow,
]
FAULT_PAIRS = random.Random(5).sample(
    [p for p in combinations(COMBINABLE_FAULTS, 2) if not issubclass(p[1], OwnerFault)],
    4,
)
REPEATED_FAULTS = [OwnerFrozen, OwnerKilled, AgentKilled, AgentFrozen]


@pytest.fixture
def start_site(tmp_path):
    sites = []
    with Cluster(tmp_path) as cluster:

        def start_site(**options):
            sites.append(start_batch_site(cluster, **options))
            return sites[-1]

        yield start_site
        for site in sites:
            close_relays(site)


def submit(site, seconds):
    """Submit a job and wait until all of its tasks run."""
    task_names = [f"j:t{number}" for number in range(TASKS)]
    site.submit("entry-0", "j", *[(4.0, seconds)] * TASKS)
    wait_until(lambda: {r.name for r in site.executions()} >= set(task_names), LIMIT)
    return task_names


def check_runs(site, task_names):
    """Wait for the end of every task and check where and when it ran."""
    site.wait_for_done(task_names)
    executions = site.executions()
    assert find_overlaps(executions) == []
    assert find_missing(task_names, executions) == {}


def run_faults(site, faults):
    # Leaves capacity for half of the tasks on each VM, so that a fault of one VM has
    # an effect.
    site.submit("entry-0", "fill", (8.0, 2.0), (8.0, 2.0))
    site.wait_for_running(2)
    task_names = submit(site, max(fault.seconds for fault in faults))
    for fault in faults:
        fault.begin()
    for fault in faults:
        fault.end()
    return task_names


@pytest.mark.parametrize("fault", FAULTS)
def test_fault(start_site, fault):
    """Guards against a second run of a task that is restarted after a fault."""
    site = start_site()
    check_runs(site, run_faults(site, [fault(site)]))


def test_new_owner_cut_off_from_an_agent(start_site):
    """Guards against an old owner that keeps tasks running at one agent."""
    site = start_site(timing={"outage_grace": 8.0})
    check_runs(site, run_faults(site, [NewOwnerCutFromAgent(site)]))


def test_restarted_agent_reached_by_old_owner_only(start_site):
    """Guards against a restarted agent that accepts renewals of the old owner."""
    # The old owner can still renew leases long after the new one gave up a task.
    site = start_site(timing={"task_lease": 8.0, "outage_grace": 30.0})
    check_runs(site, run_faults(site, [AgentRestartedThenCut(site)]))


@pytest.mark.parametrize(("first", "second"), FAULT_PAIRS)
def test_two_faults_at_once(start_site, first, second):
    """Guards against recovery from one fault that another fault defeats."""
    site = start_site()
    check_runs(site, run_faults(site, [first(site), second(site)]))


@pytest.mark.parametrize("fault", REPEATED_FAULTS)
def test_same_fault_twice(start_site, fault):
    """Guards against recovery that works only once."""
    site = start_site()
    task_names = run_faults(site, [fault(site)])
    second_fault = fault(site)
    second_fault.begin()
    second_fault.end()
    check_runs(site, task_names)


@pytest.mark.parametrize("offset", [-30.0, 30.0])
@pytest.mark.parametrize("fault", [OwnerFrozen, AgentFrozen])
def test_clocks_of_worker_and_agent_differ(start_site, fault, offset):
    """Guards against leases that are compared with the wrong clock."""
    site = start_site(worker_options={"clock_offset": offset})
    check_runs(site, run_faults(site, [fault(site)]))


@pytest.mark.parametrize("late", [False, True])
def test_start_delivered_again(start_site, late):
    """Guards against a second run when a start order is delivered again.

    Each recorded start is sent to its agent twice more, before or after it expired.
    """
    site = start_site()
    task_names = submit(site, 1.0)
    if late:
        site.wait_for_done(task_names)
    orders = site.starts()
    deadline = max(event.start_before for _, event in orders)
    if late:
        wait_until(lambda: CLOCK.now() > deadline, LIMIT, "starts expired")
    for shard, event in orders:
        codes = [send_start(site, shard, event) for _ in range(2)]
        assert codes == [1000, 1000]
    check_runs(site, task_names)
    assert len(site.executions()) == len(task_names)


def send_start(site, shard, event):
    start = TaskStart(
        event.key,
        event.attempt,
        kind="cutting",
        team="counters",
        resources=Resources(4.0, 1.0, 0),
        command="run 1.0",
        checkpoint_key="",
        start_before=event.start_before,
        lease_until=event.lease_until,
    )
    message = TaskExchange(
        "entry-0",
        CLOCK.now(),
        site.dump(event.agent_id)["agent"]["epoch"],
        shard,
        event.epoch,
        CLOCK.now(),
        [start],
    )
    client = PeerClient(site.process(event.agent_id).peer_address, CLOCK)
    try:
        return client.call(message, CLOCK.now() + 10.0).unwrap().code
    finally:
        client.close()
