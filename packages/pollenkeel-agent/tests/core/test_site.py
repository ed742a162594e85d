"""Guards against task starts after a drain or with skewed clocks."""

import pytest

from pollenkeel_agent.core.site import SiteState
from pollenkeel_kernel.core.messages import AnnounceReply, ConfigSnapshot


@pytest.fixture
def site(clock):
    return SiteState("kingston", clock, 0.5)


def accept(site, clock, permit=0.0, config=None, ahead=0.0, sender="entry-1"):
    now = clock.now()
    permit_until = now + ahead + permit if permit else 0.0
    reply = AnnounceReply(sender, now + ahead, "e", config, permit_until, [])
    site.accept(reply, now, now)


def test_latest_permit_applies(site, clock):
    """Guards against a reply of another entry that shortens the permit."""
    accept(site, clock, permit=3)
    accept(site, clock, permit=1, sender="entry-2")
    accept(site, clock, sender="entry-3")
    assert site.permit_until == clock.now() + 3


@pytest.mark.parametrize("version", [4, 5])
def test_drain_ends_the_permit_at_once(site, clock, version):
    """Guards against starts after a drain, also with permits from outdated entries."""
    accept(site, clock, permit=3, config=ConfigSnapshot(4, [], b""))
    accept(site, clock, config=ConfigSnapshot(version, ["kingston"], b""))
    assert site.permit_until == 0
    accept(site, clock, permit=3, sender="entry-2")
    assert site.permit_until == 0
    accept(site, clock, permit=3, config=ConfigSnapshot(6, [], b""))
    assert site.permit_until == clock.now() + 3


def test_lower_version_has_no_effect(site, clock):
    """Guards against reverting to an older configuration."""
    accept(site, clock, config=ConfigSnapshot(5, ["kingston"], b""))
    accept(site, clock, permit=3, config=ConfigSnapshot(4, [], b""))
    assert site.config_version == 5
    assert site.permit_until == 0


def test_permit_is_converted_from_the_clock_of_the_entry(site, clock):
    """Guards against a permit that is too long because the entry's clock is ahead."""
    accept(site, clock, permit=3, ahead=0.4)
    assert site.permit_until == pytest.approx(clock.now() + 3)


@pytest.mark.parametrize(("ahead", "skewed"), [(0.4, False), (0.7, True), (-0.7, True)])
def test_clock_skew_to_an_entry_is_detected(site, clock, ahead, skewed):
    """Guards against comparing leases between clocks that differ too much."""
    accept(site, clock, ahead=ahead)
    assert (site.find_clock_skew("owner", clock.now()) is not None) is skewed
    site.remove_entry("entry-1")
    assert site.find_clock_skew("owner", clock.now()) is None
    assert site.find_clock_skew("owner", clock.now() + 0.7) is not None


def test_slow_exchange_does_not_count_as_skew(site, clock):
    """Guards against refusing starts only because a reply was slow."""
    sent = clock.now()
    clock.advance(2)
    site.accept(AnnounceReply("entry-1", sent, "e", None, 0.0, []), sent, clock.now())
    assert site.find_clock_skew("owner", clock.now()) is None


def test_newer_configuration_is_returned(site, clock):
    """Guards against entries that keep an old configuration while the store is down."""
    assert site.config_newer_than(0) is None
    snapshot = ConfigSnapshot(4, [], b"")
    accept(site, clock, config=snapshot)
    assert site.config_newer_than(3) == snapshot
    assert site.config_newer_than(4) is None
