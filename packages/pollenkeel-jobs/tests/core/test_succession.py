"""Guards against hand-overs to entries that will be stopped next, or to none."""

import pytest

from pollenkeel_jobs.core.messages import LeaderQuery
from pollenkeel_jobs.core.succession import CANDIDATE_SECONDS, Succession
from pollenkeel_kernel.core.clock import ManualClock

DRAIN_SECONDS = 2.5
LEAD_SECONDS = 4.5


@pytest.fixture
def succession(clock):
    return Succession(clock, DRAIN_SECONDS, LEAD_SECONDS)


def ask(succession, clock, name, age=100.0, remaining=0.0, cpu=0.0, offset=0.0):
    """Record the query of an entry; ``offset`` is that of its clock."""
    now = clock.now() + offset
    leads_until = now + remaining if remaining else 0.0
    succession.record(LeaderQuery(name, now, 1, name, cpu, now - age, leads_until))


def test_leader_that_was_not_told_to_stop_has_no_successor(succession, clock):
    """Guards against changes of the leader that nobody asked for."""
    ask(succession, clock, "a")
    assert succession.choose_successor() == ""


def test_entry_started_after_the_restart_began_takes_over_at_once(succession, clock):
    """Guards against a hand-over to an entry that is the next to be stopped."""
    succession.begin_stop()
    clock.advance(1.0)
    ask(succession, clock, "old")
    assert succession.choose_successor() == ""
    ask(succession, clock, "new", age=0.5)
    assert succession.choose_successor() == "new"


def test_restart_begins_with_the_first_stop_that_is_seen(succession, clock):
    """Guards against taking a restarted entry for one that is still to be stopped."""
    ask(succession, clock, "first", remaining=4.0)
    clock.advance(6.0)
    succession.begin_stop()
    ask(succession, clock, "first", age=1.0)
    ask(succession, clock, "last")
    assert succession.choose_successor() == "first"


def test_an_entry_that_stays_takes_over_once_clients_are_drained(succession, clock):
    """Guards against a stopping process that stays although another can lead."""
    succession.begin_stop()
    clock.advance(DRAIN_SECONDS - 0.5)
    ask(succession, clock, "small", age=50.0, cpu=0.3)
    ask(succession, clock, "old", cpu=2.0)
    ask(succession, clock, "later", age=60.0, cpu=2.0)
    ask(succession, clock, "leaving", age=1.0, remaining=4.0, cpu=2.0)
    assert succession.choose_successor() == "later"


def test_stopping_entry_takes_over_only_if_it_can_lead_longer(succession, clock):
    """Guards against a time without a leader when all entries are being stopped."""
    succession.begin_stop()
    clock.advance(DRAIN_SECONDS)
    ask(succession, clock, "sooner", remaining=1.0)
    assert succession.choose_successor() == ""
    ask(succession, clock, "later", remaining=3.5)
    assert succession.choose_successor() == "later"


def test_silent_entry_is_no_successor(succession, clock):
    """Guards against waiting for a named successor that has ended."""
    succession.begin_stop()
    ask(succession, clock, "ended")
    clock.advance(DRAIN_SECONDS)
    assert CANDIDATE_SECONDS < DRAIN_SECONDS
    ask(succession, clock, "other", age=200.0)
    assert succession.choose_successor() == "other"


@pytest.mark.parametrize("offset", [-30.0, 30.0])
def test_clock_of_another_vm_does_not_matter(succession, clock, offset):
    """Guards against taking an old entry for a restarted one, or the reverse."""
    succession.begin_stop()
    clock.advance(1.0)
    ask(succession, clock, "old", offset=offset)
    assert succession.choose_successor() == ""
    ask(succession, clock, "new", age=0.5, offset=offset)
    assert succession.choose_successor() == "new"


def test_entry_of_an_earlier_release_can_take_over(succession, clock):
    """Guards against a release that cannot be rolled back."""
    succession.begin_stop()
    clock.advance(DRAIN_SECONDS)
    succession.record(LeaderQuery("old", clock.now(), 1, "old"))
    assert succession.choose_successor() == "old"


def test_capacity_does_not_matter_for_an_entry_that_is_stopped_soon(succession, clock):
    """Guards against a restarted leader that hands over to one that is to be stopped.

    During a restart its larger peers ask for the lease.
    """
    ask(succession, clock, "large", cpu=2.0)
    assert succession.can_be_preferred("large")
    ask(succession, clock, "leaving", remaining=4.0, cpu=2.0)
    assert not succession.can_be_preferred("leaving")
    assert not succession.can_be_preferred("large")
    clock.advance(2.0)
    ask(succession, clock, "new", age=1.0, cpu=2.0)
    assert succession.can_be_preferred("new")
    clock.advance(20.0)
    ask(succession, clock, "large", cpu=2.0)
    assert succession.can_be_preferred("large")


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_exists_while_one_process_can_lead(seed):
    """Guards against a chain of hand-overs that ends before a restarted entry is up.

    Simulates restarts of all entries with the rule alone: queries arrive every 0.9 s.
    """
    clock = ManualClock()
    gap, count, return_seconds = (1.1, 1.5, 2.0, 3.0)[seed], 4, 3.5
    stops = [clock.now() + 1.0 + gap * n for n in range(count)]
    chains = {n: Succession(clock, DRAIN_SECONDS, LEAD_SECONDS) for n in range(count)}
    started = dict.fromkeys(chains, clock.now() - 100.0)
    told, leader, unled = set(), 0, 0.0
    end = stops[-1] + 10.0
    while clock.now() < end:
        now = clock.now()
        for n, stop_at in enumerate(stops):
            if n not in told and now >= stop_at:
                told.add(n)
                chains[n].begin_stop()
            leaves = chains[n].is_drained and leader != n
            if now >= chains[n].leads_until or leaves:
                leader = None if leader == n else leader
                back_at = now + return_seconds
                chains[n] = Succession(clock, DRAIN_SECONDS, LEAD_SECONDS)
                started[n] = back_at - 1.0
                stops[n] = end
        present = [n for n in chains if started[n] + 1.0 <= now]
        if leader is None and present:
            leader = present[0]
        unled += 0.1 if leader is None else 0.0
        for n in present:
            if leader not in (None, n) and int(now * 10) % 9 == n:
                stopping = chains[n].is_stopping
                remaining = chains[n].leads_until - now if stopping else 0.0
                ask(chains[leader], clock, str(n), now - started[n], remaining)
                if chains[leader].choose_successor() == str(n):
                    leader = n
        clock.advance(0.1)
    assert unled == 0.0
