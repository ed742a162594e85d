"""Guards against two leaders, and against writes by a former leader."""

import pytest

from pollenkeel_jobs.core.leadership import (
    LEASE_SECONDS,
    TAKEOVER_SECONDS,
    Leadership,
    LeadershipLost,
)
from pollenkeel_jobs.core.names import LEADER_PARTITION, PROGRESS
from pollenkeel_jobs.core.tables import RowWrite


def make_leadership(tables, clock, name="entry-1"):
    return Leadership(name, f"tcp://{name}", tables, clock)


def write(key="j1"):
    return (RowWrite(PROGRESS, key, b"x"),)


def test_only_the_first_entry_acquires_the_lease(tables, clock, ask):
    """Guards against two leaders at the same time, which would start tasks twice."""
    first, second = (
        make_leadership(tables, clock),
        make_leadership(tables, clock, "entry-2"),
    )
    assert first.observe(ask)
    assert not second.observe(ask)
    assert first.leads
    assert second.leader.epoch == first.epoch


def test_commit_is_applied_once_after_a_lost_reply(tables, clock, ask):
    """Guards against a retry that applies the same transaction again."""
    leader = make_leadership(tables, clock)
    leader.observe(ask)
    tables.faults = ["lost"]
    before = tables.version
    leader.commit(write())
    assert tables.version == before + 1


def test_delayed_write_of_an_earlier_attempt_has_no_effect(tables, clock, ask):
    """Guards against a call without reply that is executed after its retry."""
    leader = make_leadership(tables, clock)
    leader.observe(ask)
    tables.faults = ["dropped"]
    leader.commit(write())
    version = tables.version
    assert tables.apply(tables.held[0]).is_err()
    assert tables.version == version


def test_former_leader_cannot_write_after_a_takeover(tables, clock, ask):
    """Guards against writes by a leader that was paused during the takeover."""
    first, second = (
        make_leadership(tables, clock),
        make_leadership(tables, clock, "entry-2"),
    )
    first.observe(ask)
    second.observe(ask)
    clock.advance(TAKEOVER_SECONDS + 0.1)
    assert second.observe(ask)
    with pytest.raises(LeadershipLost):
        first.commit(write())
    assert (LEADER_PARTITION, PROGRESS, "j1") not in tables.rows_by_key
    assert not first.holds_lease


def test_lease_expires_before_another_entry_may_take_over(tables, clock, ask):
    """Guards against a former leader that extends workers' leases after a takeover."""
    leader = make_leadership(tables, clock)
    leader.observe(ask)
    clock.advance(LEASE_SECONDS + 0.01)
    assert not leader.leads
    assert LEASE_SECONDS < TAKEOVER_SECONDS


@pytest.mark.parametrize("early_seconds", [0.3, -0.1])
def test_takeover_does_not_wait_for_the_reply_of_a_silent_holder(
    tables, clock, ask, early_seconds
):
    """Guards against a lease that stays free while its dead holder is asked."""
    make_leadership(tables, clock).observe(ask)
    second = make_leadership(tables, clock, "entry-2")
    second.observe(ask)
    asked = []
    clock.advance(TAKEOVER_SECONDS - early_seconds)
    acquired = second.observe(lambda leader: asked.append(leader) or True)
    assert not asked
    assert acquired == (early_seconds < 0)


def test_holder_can_renew_after_an_outage_of_the_store(tables, clock, ask):
    """Guards against a change of leader after each outage of the table service."""
    first, second = (
        make_leadership(tables, clock),
        make_leadership(tables, clock, "entry-2"),
    )
    first.observe(ask)
    second.observe(ask)
    tables.reads_fail = True
    clock.advance(6.0)
    assert not second.observe(ask)
    tables.reads_fail = False
    assert not second.observe(ask)
    first.commit(())
    assert not second.observe(ask)


def test_restarted_holder_acquires_its_own_lease_at_once(tables, clock, ask):
    """Guards against waiting 2.6 s, after a power loss, for a dead process's lease."""
    make_leadership(tables, clock).observe(ask)
    assert make_leadership(tables, clock).observe(ask)


def test_holder_that_does_not_lead_is_replaced_at_once(tables, clock, ask):
    """Guards against waiting for the lease of a holder that replies it does not lead.

    This happens when the holder was restarted elsewhere or has lost its lease.
    """
    first, second = (
        make_leadership(tables, clock),
        make_leadership(tables, clock, "entry-2"),
    )
    first.observe(ask)
    second.observe(ask)
    clock.advance(1.0)
    assert not second.observe(ask)
    ask.leads = False
    clock.advance(1.0)
    assert second.observe(ask)


def test_leader_that_cannot_write_gives_up_its_lease(tables, clock, ask):
    """Guards against a leader that keeps its lease for 2.5 s without store access."""
    leader = make_leadership(tables, clock)
    leader.observe(ask)
    assert not leader.yield_lease(leader.epoch, "tcp://entry-2")
    leader._failing_since = clock.now()
    clock.advance(1.0)
    epoch = leader.epoch
    assert leader.yield_lease(epoch, "tcp://entry-2")
    # Otherwise the entry would relay its clients' jobs to itself.
    assert leader.leader.address == "tcp://entry-2"
    assert not leader.leads
    with pytest.raises(LeadershipLost):
        leader.commit(write())


def test_released_lease_is_acquired_at_once(tables, clock, ask):
    """Guards against a period without a leader after a planned stop."""
    first, second = (
        make_leadership(tables, clock),
        make_leadership(tables, clock, "entry-2"),
    )
    first.observe(ask)
    second.observe(ask)
    first.resign()
    assert second.observe(ask)


def test_resigning_leader_does_not_lead_while_its_write_is_open(tables, clock, ask):
    """Guards against two leaders while the reply to the resignation is under way."""
    leader = make_leadership(tables, clock)
    leader.observe(ask)
    transact = tables.transact
    states = []

    def record_state(transaction, timeout=1.0):
        result = transact(transaction, timeout)
        states.append(leader.leads)
        return result

    tables.transact = record_state
    leader.resign()
    assert states == [False]
    assert make_leadership(tables, clock, "entry-2").observe(ask)


def make_sized_leadership(tables, clock, name, cpu):
    return Leadership(name, f"tcp://{name}", tables, clock, cpu)


def test_leader_hands_over_to_an_entry_with_much_more_capacity(tables, clock, ask):
    """Guards against a small VM that leads a large fleet although others could."""
    small = make_sized_leadership(tables, clock, "small", 0.3)
    large = make_sized_leadership(tables, clock, "large", 2.0)
    assert small.observe(ask)
    epoch = small.epoch
    assert large.observe(lambda leader: not small.yield_lease(epoch, "large", 2.0))
    assert large.epoch > epoch
    assert not small.leads
    with pytest.raises(LeadershipLost):
        small.commit(write())
    assert (LEADER_PARTITION, PROGRESS, "j1") not in tables.rows_by_key


@pytest.mark.parametrize("cpu", [0.0, 0.3, 0.4])
def test_leader_keeps_its_lease_beside_similar_entries(tables, clock, ask, cpu):
    """Guards against changes of the leader that gain nothing."""
    leader = make_sized_leadership(tables, clock, "entry-1", 0.3)
    leader.observe(ask)
    assert not leader.yield_lease(leader.epoch, "entry-2", cpu)
    assert leader.leads


def test_hand_over_leaves_the_lease_to_the_successor(tables, clock, ask):
    """Guards against a former leader that takes its own lease back at once."""
    small = make_sized_leadership(tables, clock, "small", 0.3)
    small.observe(ask)
    assert small.yield_lease(small.epoch, "large", 2.0)
    clock.advance(0.3)
    assert not small.observe(ask)
    # The successor could not write.
    clock.advance(2.0)
    assert small.observe(ask)
    assert not small.yield_lease(small.epoch, "large", 2.0)


def test_no_hand_over_while_a_write_is_open(tables, clock, ask):
    """Guards against a successor whose acquisition conflicts with an open write."""
    small = make_sized_leadership(tables, clock, "small", 0.3)
    small.observe(ask)
    transact = tables.transact
    replies = []

    def ask_during_the_write(transaction, timeout=1.0):
        replies.append(small.yield_lease(small.epoch, "large", 2.0))
        return transact(transaction, timeout)

    tables.transact = ask_during_the_write
    small.commit(write())
    assert replies == [False]
    assert small.leads


def test_only_the_named_successor_acquires_the_lease(tables, clock, ask):
    """Guards against a hand-over that another entry than the chosen one takes up."""
    leader = make_leadership(tables, clock)
    leader.observe(ask)
    epoch = leader.epoch
    assert leader.hand_over(epoch, "chosen")
    assert not leader.leads
    assert not leader.yield_lease(epoch, "other")
    assert leader.yield_lease(epoch, "chosen")
    # The reply to the chosen one may be lost.
    clock.advance(0.4)
    assert leader.yield_lease(epoch, "other")


def test_stopping_entry_leaves_a_free_lease_to_others(tables, clock, ask):
    """Guards against a lease that goes to an entry that has to hand it over again."""
    first = make_leadership(tables, clock, "first")
    stopping = make_leadership(tables, clock, "stopping")
    stopping.is_stopping = True
    first.observe(ask)
    stopping.observe(ask)
    first.resign()
    assert not stopping.observe(ask)
    clock.advance(0.8)
    assert stopping.observe(ask)


def test_small_entry_leaves_a_free_lease_to_larger_ones(tables, clock, ask):
    """Guards against a small entry that is the first to notice a free lease."""
    large = make_sized_leadership(tables, clock, "large", 2.0)
    small = make_sized_leadership(tables, clock, "small", 0.3)
    other = make_sized_leadership(tables, clock, "other", 2.0)
    large.observe(ask)
    small.record_leader_cpu(2.0)
    other.record_leader_cpu(2.0)
    assert not small.observe(ask)
    large.resign()
    assert not small.observe(ask)
    assert other.observe(ask)
    clock.advance(0.1)
    assert not small.observe(ask)
    other.resign()
    assert not small.observe(ask)
    clock.advance(1.0)
    assert small.observe(ask)


def test_small_entry_takes_over_if_no_larger_one_does(tables, clock, ask):
    """Guards against a fleet without a leader once its large entries are gone."""
    large = make_sized_leadership(tables, clock, "large", 2.0)
    small = make_sized_leadership(tables, clock, "small", 0.3)
    large.observe(ask)
    small.record_leader_cpu(2.0)
    small.observe(ask)
    clock.advance(TAKEOVER_SECONDS + 0.1)
    assert not small.observe(ask)
    clock.advance(1.0)
    assert small.observe(ask)


def test_entry_that_has_not_acquired_the_lease_says_so(tables, clock):
    """Guards against waiting for a successor that could not acquire the lease.

    A former leader records its successor without an epoch.
    """
    successor = make_sized_leadership(tables, clock, "large", 2.0)
    assert successor.yield_lease(0, "tcp://small", 0.3)
