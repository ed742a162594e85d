"""Tests of slot assignment: choice of upstream, fairness and slot accounting."""

import threading

import attrs
import pytest
from result import Ok

from pollenkeel_kernel import Code, SystemClock
from pollenkeel_kernel.config.model import PolicyConfig
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings, TimingSettings


def code(result):
    return result.err_value.code if not isinstance(result, Ok) else Code.OK


def set_policy(rig, **names):
    rig.config.config = attrs.evolve(rig.config.config, policy=PolicyConfig(**names))


@pytest.mark.parametrize("choice", ["random", "two-choices"])
def test_all_upstreams_share_the_load(rig, choice):
    """Guards against a policy that leaves an upstream idle."""
    set_policy(rig, upstream_choice=choice)
    for i in range(4):
        rig.add_agent(f"a{i}")
    leases = [rig.router.acquire(rig.request()).unwrap() for _ in range(24)]
    used = {lease.announce.sender for lease in leases}
    assert used == {"a0", "a1", "a2", "a3"}


def test_no_more_than_the_announced_slots_are_used(rig):
    """Guards against sending more requests than there are slots."""
    rig.add_agent("a1", slots=3)
    leases = [rig.router.acquire(rig.request()).unwrap() for _ in range(3)]
    assert code(rig.router.acquire(rig.request(seconds=0.1))) is Code.DEADLINE_TOO_CLOSE
    rig.router.release(leases[0], Code.OK)
    assert code(rig.router.acquire(rig.request(seconds=0.1))) is Code.OK


def test_announcement_does_not_count_own_attempts_twice(rig):
    """Guards against idle slots because own attempts are counted twice."""
    agent = rig.add_agent("a1", slots=4)
    for _ in range(2):
        rig.router.acquire(rig.request()).unwrap()
    upstream = attrs.evolve(agent.announce().upstreams[0], free_slots=2)
    rig.announce(agent, upstreams=[upstream])
    for _ in range(2):
        assert code(rig.router.acquire(rig.request(seconds=0.1))) is Code.OK


def test_waiting_request_gets_a_released_slot(rig, fakes):
    """Guards against a lost wake-up of a waiting request."""
    rig.add_agent("a1", slots=1)
    lease = rig.router.acquire(rig.request()).unwrap()
    results = []
    thread = threading.Thread(
        target=lambda: results.append(rig.router.acquire(rig.request(seconds=20)))
    )
    thread.start()
    fakes.wait_until(lambda: rig.context.dump.collect()["router"]["desk"]["waiting"])
    rig.router.release(lease, Code.OK)
    thread.join(10)
    assert code(results[0]) is Code.OK


def test_unusable_agents_are_skipped(rig):
    """Guards against requests for silent, leaving or drained upstreams."""
    agents = [rig.add_agent(n) for n in ("ok", "silent", "leaving", "gone")]
    rig.add_agent("drained", data_centre="pmr")
    rig.silent.add("silent")
    rig.announce(agents[2], state="leaving")
    rig.announce(agents[3], upstreams=[])
    rig.config.drained_names = frozenset({"pmr"})
    leases = [rig.router.acquire(rig.request()).unwrap() for _ in range(8)]
    assert {lease.announce.sender for lease in leases} == {"ok"}


def test_refusal_code_matches_the_cause(rig):
    """Guards against refusals with the code of a different cause."""
    assert code(rig.router.acquire(rig.request(seconds=0.1))) is Code.NO_UPSTREAM
    rig.add_agent("a1", data_centre="pmr")
    rig.config.drained_names = frozenset({"pmr"})
    assert code(rig.router.acquire(rig.request())) is Code.DATA_CENTRE_DRAINED
    late = rig.request(seconds=-1)
    assert code(rig.router.acquire(late)) is Code.DEADLINE_TOO_CLOSE


def test_request_waits_for_the_first_announcement(rig, fakes):
    """Guards against rejecting requests just after the entry has started."""
    results = []
    thread = threading.Thread(
        target=lambda: results.append(rig.router.acquire(rig.request(seconds=20)))
    )
    thread.start()
    fakes.wait_until(
        lambda: rig.context.dump.collect()["router"].get("desk", {}).get("waiting")
    )
    rig.add_agent("a1")
    thread.join(10)
    assert code(results[0]) is Code.OK


@pytest.mark.parametrize("refusal", [Code.UPSTREAM_LEAVING, Code.NO_UPSTREAM])
def test_request_waits_for_another_upstream_while_the_only_one_leaves(
    rig, fakes, refusal
):
    """Guards against using up all attempts at the only known upstream, which leaves."""
    leaving = rig.add_agent("a1")
    leaving.default = lambda a, d: a.refuse(d, refusal)
    results = []
    thread = threading.Thread(
        target=lambda: results.append(rig.forward("POST", seconds=20))
    )
    thread.start()
    fakes.wait_until(lambda: leaving.dispatches)
    fakes.wait_until(lambda: rig.context.dump.collect()["router"]["desk"]["waiting"])
    rig.add_agent("a2")
    thread.join(10)
    assert code(results[0]) is Code.OK
    assert len(leaving.dispatches) == 1


def test_refusal_names_the_drain_if_the_upstream_was_announced_meanwhile(rig, fakes):
    """Guards against code 2002 for a request that waited for an announcement."""
    rig.config.drained_names = frozenset({"pmr"})
    results = []
    thread = threading.Thread(
        target=lambda: results.append(rig.router.acquire(rig.request(seconds=0.5)))
    )
    thread.start()
    fakes.wait_until(
        lambda: rig.context.dump.collect()["router"].get("desk", {}).get("waiting")
    )
    rig.add_agent("a1", data_centre="pmr")
    thread.join(10)
    assert code(results[0]) is Code.DATA_CENTRE_DRAINED


def test_wait_for_an_announcement_is_bounded(make_rig):
    """Guards against requests that wait for an upstream until a distant deadline."""
    timing = TimingSettings(heartbeat_interval=0.05, peer_silent_after=0.2)
    settings = EntrySettings("e", "kgn", StoreSettings("none"), timing=timing)
    rig = make_rig(settings=settings)
    before = SystemClock().now()
    assert code(rig.router.acquire(rig.request(seconds=60))) is Code.NO_UPSTREAM
    assert SystemClock().now() < before + 10


def test_full_upstream_is_probed(rig):
    """Guards against an upstream that stays unused after it was full once."""
    rig.add_agent("a1", slots=2)
    lease = rig.router.acquire(rig.request()).unwrap()
    rig.router.release(lease, Code.VM_FULL)
    assert code(rig.router.acquire(rig.request(seconds=5))) is Code.OK


def test_retried_request_keeps_its_position(rig, fakes):
    """Guards against a request that is overtaken whenever an upstream is full."""
    rig.add_agent("a1", slots=1)
    lease = rig.router.acquire(rig.request()).unwrap()
    order = []

    def wait(name, arrival=None):
        held = rig.router.acquire(rig.request(seconds=20), arrival=arrival).unwrap()
        order.append(name)
        rig.router.release(held, Code.NO_REPLY)

    def waiting():
        return rig.context.dump.collect()["router"]["desk"]["waiting"]

    threads = []
    for name, arrival in (("later", None), ("first", lease.arrival)):
        threads.append(threading.Thread(target=wait, args=(name, arrival)))
        threads[-1].start()
        fakes.wait_until(lambda: waiting() == len(threads))
    rig.router.release(lease, Code.OK)
    for thread in threads:
        thread.join(20)
    assert order == ["first", "later"]


def test_failed_upstream_is_avoided(rig):
    """Guards against a dead upstream that receives every request."""
    for name in ("a1", "a2"):
        rig.add_agent(name, slots=50)
    lease = rig.router.acquire(rig.request()).unwrap()
    rig.router.release(lease, Code.UPSTREAM_UNREACHABLE)
    leases = [rig.router.acquire(rig.request()).unwrap() for _ in range(20)]
    assert lease.announce.sender not in {i.announce.sender for i in leases}


@pytest.mark.parametrize(("policy", "wins"), [("fair", True), ("none", False)])
def test_busy_team_does_not_delay_the_other(rig, fakes, policy, wins):
    """Guards against starvation by a busy team; the baseline policy allows it."""
    set_policy(rig, request_share=policy)
    rig.add_agent("a1", slots=1)
    lease = rig.router.acquire(rig.request()).unwrap()
    order = []

    def wait(team):
        held = rig.router.acquire(rig.request(seconds=30, team=team)).unwrap()
        order.append(team)
        rig.router.release(held, Code.NO_REPLY)

    def waiting():
        return rig.context.dump.collect()["router"]["desk"]["waiting"]

    threads = []
    for i, team in enumerate("aaaaaaaaaab"):
        threads.append(threading.Thread(target=wait, args=(team,)))
        threads[-1].start()
        fakes.wait_until(lambda n=i + 1: waiting() == n)
    rig.router.release(lease, Code.OK)
    for thread in threads:
        thread.join(30)
    assert (order.index("b") <= 2) is wins


def test_unused_share_is_lent(rig):
    """Guards against idle slots while only one team has work."""
    rig.add_agent("a1", slots=8)
    for _ in range(8):
        assert code(rig.router.acquire(rig.request(seconds=0.1))) is Code.OK


def test_configuration_is_read_once_for_all_upstreams(rig, monkeypatch):
    """Guards against configuration reads per request that grow with the upstreams."""
    for i in range(20):
        rig.add_agent(f"a{i}")
    reads = []
    for name in ("effective", "drained"):
        read = getattr(rig.config, name)
        monkeypatch.setattr(
            rig.config, name, lambda n=name, read=read: reads.append(n) or read()
        )
    rig.router.acquire(rig.request()).unwrap()
    assert len(reads) < 20


def test_request_with_a_free_slot_wakes_no_other_thread(rig, monkeypatch):
    """Guards against waking the probing thread for each request."""
    rig.add_agent("a1", slots=2)
    wakes = []
    monkeypatch.setattr(rig.router._probe_needed, "notify", lambda: wakes.append(1))
    leases = [rig.router.acquire(rig.request()).unwrap() for _ in range(2)]
    assert not wakes
    rig.router.acquire(rig.request(seconds=0.1))
    assert wakes
    rig.router.release(leases[0], Code.OK)


def test_upstream_that_expired_during_an_attempt_is_removed(make_rig, fakes):
    """Guards against slots of a removed VM that are counted indefinitely."""
    timing = TimingSettings(announce_ttl=0.2)
    settings = EntrySettings("e", "kgn", StoreSettings("none"), timing=timing)
    rig = make_rig(settings=settings)
    rig.add_agent("a1")
    lease = rig.router.acquire(rig.request()).unwrap()
    fakes.wait_until(lambda: rig.context.agents.get("a1") is None)
    rig.router.reassign_slots()
    rig.router.release(lease, Code.NO_REPLY)
    assert not rig.context.dump.collect()["router"]["desk"]["hints_by_agent"]
