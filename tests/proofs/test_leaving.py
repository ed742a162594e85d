"""Guards against new work at an upstream that is leaving (P8).

The upstreams' records decide: a request that a caller sent more than a few seconds
after the upstream began to leave must not run there.
"""

import pytest
import urllib3

from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.relay import Mode
from pollenkeel_standins.rig import CLOCK, ENTRIES, Callers, start_rig
from pollenkeel_standins.site import SERVICE

LEAVES, STAYS = "vm-kingston", "vm-portmore"
UPSTREAM = f"upstream-{SERVICE}-{LEAVES}"
LIMIT = 25.0
#: Longest time until the last new request, in seconds: an announced leave takes one
#: announcement, a death is noticed by missed heartbeats before ``announce_ttl``.
TOLD, UNTOLD = 1.0, 3.0
#: How much longer the load goes on after a death before the faults are healed, in
#: seconds. Attempts at a hung upstream end after the promised time, so only later ones
#: show whether it still gets work.
HELD = 4.0
MIN_ANSWERS = 30


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    # One VM can serve all callers, so that no refusal comes from a lack of slots.
    with start_rig(
        tmp_path_factory.mktemp("rig"), upstream_options={"slots": 8}
    ) as rig:
        yield rig


@pytest.fixture
def rig(shared):
    yield shared
    shared.heal()


def ask_to_leave(rig):
    """Send the leave request; the upstream itself goes on serving."""
    rig.cluster.set_faults(rig.process(UPSTREAM), mute=True)
    with urllib3.PoolManager(retries=False, timeout=5.0) as pool:
        url = f"{rig.process(LEAVES).url}/v1/upstreams/{SERVICE}"
        assert pool.request("DELETE", url).status == 200


LEAVES_BY = {
    "leave-request": (ask_to_leave, TOLD),
    "upstream-sigterm": (lambda rig: rig.process(UPSTREAM).terminate(), TOLD),
    "agent-sigterm": (lambda rig: rig.process(LEAVES).terminate(), TOLD),
    "upstream-killed": (lambda rig: rig.process(UPSTREAM).kill(), UNTOLD),
    "upstream-frozen": (lambda rig: rig.process(UPSTREAM).freeze(), UNTOLD),
}
NOTHING = (lambda rig: None, lambda rig: None)
FAULTS = {
    "none": NOTHING,
    "entry-frozen": (
        lambda rig: rig.process("entry-1").freeze(),
        lambda rig: rig.process("entry-1").thaw(),
    ),
    "store-down": (
        lambda rig: rig.set_store_faults(down="hang"),
        lambda rig: rig.set_store_faults(down="off"),
    ),
    "announcements-silent": (
        lambda rig: [rig.peer_relays_by_name[n].set_mode(Mode.SILENT) for n in ENTRIES],
        lambda rig: [rig.peer_relays_by_name[n].set_mode(Mode.PASS) for n in ENTRIES],
    ),
}
CASES = [
    *((way, "none") for way in LEAVES_BY),
    ("leave-request", "entry-frozen"),
    ("leave-request", "store-down"),
    ("leave-request", "announcements-silent"),
    ("agent-sigterm", "entry-frozen"),
    ("upstream-frozen", "entry-frozen"),
]


def leave_under_load(rig, callers, way, fault):
    """Let the upstream leave and return when it began."""
    leave, bound = LEAVES_BY[way]
    set_fault, heal = FAULTS[fault]
    before = CLOCK.now()
    wait_until(lambda: len(callers.answered(before, LEAVES)) > 5, LIMIT, "both serve")
    set_fault(rig)
    left_at = CLOCK.now()
    leave(rig)
    held = UNTOLD if bound == TOLD else UNTOLD + HELD
    wait_until(lambda: CLOCK.now() > left_at + held, LIMIT)
    heal(rig)
    healed_at = CLOCK.now()
    wait_until(
        lambda: len(callers.answered(healed_at, STAYS)) > MIN_ANSWERS,
        LIMIT,
        "the other upstream serves",
    )
    return left_at


def find_late(rig, callers, after, until):
    """Return the requests sent in a time that ran at the leaving upstream."""
    paths = {call.path for call in callers.calls if after < call.sent_at < until}
    return [
        run.fields["uri"]
        for run in rig.cluster.executions(UPSTREAM)
        if run.fields["uri"] in paths
    ]


@pytest.mark.parametrize(("way", "fault"), CASES)
def test_no_new_work(rig, way, fault):
    """Guards against requests to an upstream that has left, died or hangs."""
    with Callers(rig) as callers:
        left_at = leave_under_load(rig, callers, way, fault)
        until = CLOCK.now()
    rig.process(UPSTREAM).thaw()
    bound = left_at + LEAVES_BY[way][1]
    assert find_late(rig, callers, bound, until) == []
    late_failures = [call for call in callers.failed() if call.sent_at > left_at + 6]
    assert late_failures == []


def test_leaves_and_returns_twice(rig):
    """Guards against an upstream that stays shut out after a leave, or is not."""
    with Callers(rig) as callers:
        for _ in range(2):
            left_at = leave_under_load(rig, callers, "leave-request", "none")
            until = CLOCK.now()
            rig.cluster.set_faults(rig.process(UPSTREAM), mute=False)
            returned_at = CLOCK.now()
            wait_until(
                lambda at=returned_at: callers.answered(at, LEAVES), LIMIT, "return"
            )
            assert find_late(rig, callers, left_at + TOLD, until) == []
    assert callers.failed() == []


def test_entry_leaves(rig):
    """Guards against requests that an entry accepts after it has left."""
    with Callers(rig) as callers:
        wait_until(lambda: len(callers.answered()) > MIN_ANSWERS, LIMIT, "load")
        left_at = CLOCK.now()
        rig.process("entry-0").terminate()
        assert rig.process("entry-0").wait(LIMIT) == 0
        ended_at = CLOCK.now()
        wait_until(lambda: len(callers.answered(ended_at)) > MIN_ANSWERS, LIMIT, "load")
    late = [
        c for c in callers.calls if c.entry == "entry-0" and c.sent_at > left_at + 1
    ]
    assert late == []
    assert callers.failed() == []
