"""The leader's lease under lost replies, late writes and changes of the holder."""

import pytest

from pollenkeel_jobs.core.leadership import (
    LEASE_SECONDS,
    TAKEOVER_SECONDS,
    Leadership,
    LeadershipLost,
)
from pollenkeel_jobs.core.names import LEADER_PARTITION, PROGRESS
from pollenkeel_jobs.core.tables import RowWrite


def make(tables, clock, name="entry-1"):
    return Leadership(name, f"tcp://{name}", tables, clock)


def write(key="j1"):
    return (RowWrite(PROGRESS, key, b"x"),)


def test_first_entry_acquires_and_second_does_not(tables, clock, ask):
    """Two leaders at one time would start tasks twice."""
    first, second = make(tables, clock), make(tables, clock, "entry-2")
    assert first.observe(ask)
    assert not second.observe(ask)
    assert first.leads
    assert second.leader.epoch == first.epoch


def test_commit_whose_reply_is_lost_is_not_done_twice(tables, clock, ask):
    """A retry after a lost reply must be recognised as done."""
    leader = make(tables, clock)
    leader.observe(ask)
    tables.faults = ["lost"]
    before = tables.version
    leader.commit(write())
    assert tables.version == before + 1


def test_late_write_of_an_earlier_try_has_no_effect(tables, clock, ask):
    """A call without a reply may be carried out seconds later."""
    leader = make(tables, clock)
    leader.observe(ask)
    tables.faults = ["dropped"]
    leader.commit(write())
    version = tables.version
    assert tables.apply(tables.held[0]).is_err()
    assert tables.version == version


def test_old_leader_cannot_write_after_a_take_over(tables, clock, ask):
    """A holder that was paused must not record anything more."""
    first, second = make(tables, clock), make(tables, clock, "entry-2")
    first.observe(ask)
    second.observe(ask)
    clock.advance(TAKEOVER_SECONDS + 0.1)
    assert second.observe(ask)
    with pytest.raises(LeadershipLost):
        first.commit(write())
    assert (LEADER_PARTITION, PROGRESS, "j1") not in tables.rows_by_key
    assert not first.holds_lease


def test_lease_ends_before_another_entry_may_take_over(tables, clock, ask):
    """In between, workers' leases must not be extended by the old leader."""
    leader = make(tables, clock)
    leader.observe(ask)
    clock.advance(LEASE_SECONDS + 0.01)
    assert not leader.leads
    assert LEASE_SECONDS < TAKEOVER_SECONDS


def test_holder_gets_time_to_renew_after_an_outage(tables, clock, ask):
    """Else each outage of the table service would change the leader."""
    first, second = make(tables, clock), make(tables, clock, "entry-2")
    first.observe(ask)
    second.observe(ask)
    tables.reads_fail = True
    clock.advance(6.0)
    assert not second.observe(ask)
    tables.reads_fail = False
    assert not second.observe(ask)
    first.commit(())
    assert not second.observe(ask)


def test_restarted_holder_takes_its_own_lease_at_once(tables, clock, ask):
    """After a loss of power the entries waited 2.6 s for a lease of a dead process."""
    make(tables, clock).observe(ask)
    assert make(tables, clock).observe(ask)


def test_holder_that_does_not_lead_is_replaced_at_once(tables, clock, ask):
    """A holder that was restarted elsewhere or has lost its lease says so."""
    first, second = make(tables, clock), make(tables, clock, "entry-2")
    first.observe(ask)
    second.observe(ask)
    clock.advance(1.0)
    assert not second.observe(ask)
    ask.leads = False
    clock.advance(1.0)
    assert second.observe(ask)


def test_leader_that_cannot_write_yields(tables, clock, ask):
    """An entry that the table service turns away kept the lease for 2.5 s."""
    leader = make(tables, clock)
    leader.observe(ask)
    assert not leader.yields(leader.epoch, "tcp://entry-2")
    leader._failing_since = clock.now()
    clock.advance(1.0)
    epoch = leader.epoch
    assert leader.yields(epoch, "tcp://entry-2")
    # Else the entry would relay its clients' jobs to itself.
    assert leader.leader.address == "tcp://entry-2"
    assert not leader.leads
    with pytest.raises(LeadershipLost):
        leader.commit(write())


def test_lease_that_was_resigned_is_free(tables, clock, ask):
    """A planned stop must not leave the system without a leader."""
    first, second = make(tables, clock), make(tables, clock, "entry-2")
    first.observe(ask)
    second.observe(ask)
    first.resign()
    assert second.observe(ask)
