"""Guards against two owners of a shard and against early take-over."""

import pytest

from pollenkeel_entry.batch.ownership import Ownership
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.settings import TimingSettings

TIMING = TimingSettings()


@pytest.fixture
def owners(backend, clock):
    return [Ownership(backend, TIMING, clock, i, f"tcp://{i}") for i in ("a", "b")]


def test_only_one_of_two_claims_wins(owners):
    """Guards against two entries that claim the same free shard."""
    first, second = owners
    assert first.claim(0, None, 0).is_ok()
    assert second.claim(0, None, 0).unwrap_err().code is Code.VERSION_CONFLICT


def test_take_over_waits_for_expiry_and_skew(owners, clock):
    """Guards against a take-over while the owner may still act."""
    first, second = owners
    lease = first.claim(0, None, 0).unwrap()
    row, version = second.read_all().unwrap()[0]
    clock.advance(TIMING.shard_lease + TIMING.max_clock_skew - 0.1)
    assert not second.is_free(row)
    clock.advance(0.2)
    assert second.is_free(row)
    taken = second.claim(0, row, version).unwrap()
    assert taken.row.epoch == 2
    bound = row.lease_until + TIMING.outage_grace + TIMING.task_lease
    assert taken.inherited_until == bound
    assert first.renew(lease).unwrap_err().code is Code.VERSION_CONFLICT
    assert first.is_held(lease).unwrap() is False


def test_lost_answers_of_claim_and_renewal(owners, backend):
    """Guards against an owner that gives up a shard it still holds."""
    backend.lost_answers = 1
    lease = owners[0].claim(0, None, 0).unwrap()
    backend.lost_answers = 1
    assert owners[0].renew(lease).is_ok()
    assert owners[0].renew(lease).is_ok()


def test_released_shard_is_free_at_once(owners):
    """Guards against waiting for the lease to expire after a graceful release."""
    first, second = owners
    lease = first.claim(0, None, 0).unwrap()
    assert first.release(lease, 77.0).is_ok()
    row, version = second.read_all().unwrap()[0]
    assert second.is_free(row)
    assert second.claim(0, row, version).unwrap().inherited_until == 77.0
