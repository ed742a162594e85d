"""Safety property P8: an upstream that leaves the cluster gets no new requests.

The checks use the upstreams' records: a request that a caller sent more than a few
seconds after the upstream began to leave must not run there.
"""

import pytest
import urllib3

from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.relay import Mode
from pollenkeel_standins.rig import CLOCK, ENTRIES, Callers, start_rig
from pollenkeel_standins.site import SERVICE

LEAVING_VM, REMAINING_VM = "vm-kingston", "vm-portmore"
UPSTREAM = f"upstream-{SERVICE}-{LEAVING_VM}"
WAIT_SECONDS = 25.0
#: Seconds after which an upstream must get no new requests: a planned leave takes
#: effect with the next announcement, a crash is detected by missed heartbeats before
#: ``announce_ttl``.
LEAVE_BOUND, CRASH_BOUND = 1.0, 3.0
#: Seconds for which the load continues beyond ``CRASH_BOUND`` after a crash, before the
#: faults are healed. Attempts at a hung upstream end after the promised time, so only
#: later ones show whether it still gets requests.
EXTRA_LOAD_SECONDS = 4.0
MIN_ANSWERS = 30


@pytest.fixture(scope="module")
def shared_rig(tmp_path_factory):
    # One VM has slots for all callers, so that no request is rejected for lack of one.
    with start_rig(
        tmp_path_factory.mktemp("rig"), upstream_options={"slots": 8}
    ) as rig:
        yield rig


@pytest.fixture
def rig(shared_rig):
    yield shared_rig
    shared_rig.heal()


def ask_to_leave(rig):
    """Send the leave request; the upstream itself continues to serve.

    It is muted, so that its announcements do not register it again.
    """
    rig.cluster.set_faults(rig.process(UPSTREAM), mute=True)
    with urllib3.PoolManager(retries=False, timeout=5.0) as pool:
        url = f"{rig.process(LEAVING_VM).url}/v1/upstreams/{SERVICE}"
        assert pool.request("DELETE", url).status == 200


LEAVE_METHODS = {
    "leave-request": (ask_to_leave, LEAVE_BOUND),
    "upstream-sigterm": (lambda rig: rig.process(UPSTREAM).terminate(), LEAVE_BOUND),
    "agent-sigterm": (lambda rig: rig.process(LEAVING_VM).terminate(), LEAVE_BOUND),
    "upstream-killed": (lambda rig: rig.process(UPSTREAM).kill(), CRASH_BOUND),
    "upstream-frozen": (lambda rig: rig.process(UPSTREAM).freeze(), CRASH_BOUND),
}
NO_FAULT = (lambda rig: None, lambda rig: None)
FAULTS = {
    "none": NO_FAULT,
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
    *((way, "none") for way in LEAVE_METHODS),
    ("leave-request", "entry-frozen"),
    ("leave-request", "store-down"),
    ("leave-request", "announcements-silent"),
    ("agent-sigterm", "entry-frozen"),
    ("upstream-frozen", "entry-frozen"),
]


def leave_under_load(rig, callers, way, fault):
    """Make the upstream leave under load; return the time when it began to leave."""
    leave, bound = LEAVE_METHODS[way]
    set_fault, heal = FAULTS[fault]
    before = CLOCK.now()
    wait_until(
        lambda: len(callers.answered(before, LEAVING_VM)) > 5,
        WAIT_SECONDS,
        "both upstreams serve",
    )
    set_fault(rig)
    left_at = CLOCK.now()
    leave(rig)
    load_seconds = (
        CRASH_BOUND if bound == LEAVE_BOUND else CRASH_BOUND + EXTRA_LOAD_SECONDS
    )
    wait_until(lambda: CLOCK.now() > left_at + load_seconds, WAIT_SECONDS)
    heal(rig)
    healed_at = CLOCK.now()
    wait_until(
        lambda: len(callers.answered(healed_at, REMAINING_VM)) > MIN_ANSWERS,
        WAIT_SECONDS,
        "the other upstream serves",
    )
    return left_at


def find_late_requests(rig, callers, after, until):
    """Return the requests of a time window that ran at the leaving upstream."""
    paths = {call.path for call in callers.calls if after < call.sent_at < until}
    return [
        run.fields["uri"]
        for run in rig.cluster.executions(UPSTREAM)
        if run.fields["uri"] in paths
    ]


@pytest.mark.parametrize(("way", "fault"), CASES)
def test_no_new_requests(rig, way, fault):
    """Guards against requests to an upstream that has left, crashed or hangs."""
    with Callers(rig) as callers:
        left_at = leave_under_load(rig, callers, way, fault)
        until = CLOCK.now()
    rig.process(UPSTREAM).thaw()
    bound = left_at + LEAVE_METHODS[way][1]
    assert find_late_requests(rig, callers, bound, until) == []
    late_failures = [call for call in callers.failed() if call.sent_at > left_at + 6]
    assert late_failures == []


def test_leaves_and_returns_twice(rig):
    """Guards against an upstream excluded after its return, or not excluded again."""
    with Callers(rig) as callers:
        for _ in range(2):
            left_at = leave_under_load(rig, callers, "leave-request", "none")
            until = CLOCK.now()
            rig.cluster.set_faults(rig.process(UPSTREAM), mute=False)
            returned_at = CLOCK.now()
            wait_until(
                lambda at=returned_at: callers.answered(at, LEAVING_VM),
                WAIT_SECONDS,
                "the upstream serves again",
            )
            assert find_late_requests(rig, callers, left_at + LEAVE_BOUND, until) == []
    assert callers.failed() == []


def test_entry_leaves(rig):
    """Guards against an entry that accepts requests after it began to leave."""
    with Callers(rig) as callers:
        wait_until(
            lambda: len(callers.answered()) > MIN_ANSWERS,
            WAIT_SECONDS,
            "callers get answers",
        )
        left_at = CLOCK.now()
        rig.process("entry-0").terminate()
        assert rig.process("entry-0").wait(WAIT_SECONDS) == 0
        ended_at = CLOCK.now()
        wait_until(
            lambda: len(callers.answered(ended_at)) > MIN_ANSWERS,
            WAIT_SECONDS,
            "callers get answers",
        )
    late = [
        c for c in callers.calls if c.entry == "entry-0" and c.sent_at > left_at + 1
    ]
    assert late == []
    assert callers.failed() == []
