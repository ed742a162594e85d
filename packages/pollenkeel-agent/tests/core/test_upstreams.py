"""Guards against calls to leaving or expired upstreams and early resource release."""

import pytest

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.upstreams import (
    UpstreamAnnouncement,
    UpstreamRegistry,
    refuses_connections,
)
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.messages import Resources

FIRST = UpstreamAnnouncement("http://127.0.0.1:1", 2, 0, Resources(2))


class Probe:
    gone = False

    def __call__(self, url):
        return self.gone


@pytest.fixture
def probe():
    return Probe()


@pytest.fixture
def ledger():
    return Ledger(Resources(8, 32))


@pytest.fixture
def registry(clock, ledger, probe):
    registry = UpstreamRegistry(ledger, clock, 5.0, probe)
    registry.announce("desk", FIRST)
    return registry


def test_expired_upstream_gets_no_calls_and_keeps_its_resources(
    clock, registry, ledger, probe
):
    """Guards against reusing the memory of a process that is only suspended."""
    clock.advance(5)
    registry.remove_expired()
    assert registry.find("desk").err_value.code is Code.NO_UPSTREAM
    assert registry.statuses() == []
    assert ledger.free() == Resources(6, 32)
    probe.gone = True
    registry.remove_expired()
    assert ledger.free() == Resources(8, 32)


def test_announcement_returns_its_expiry(clock, registry):
    """Guards against upstreams that do not know how often to announce themselves."""
    assert registry.announce("desk", FIRST) == clock.now() + 5.0


def test_in_flight_requests_of_a_returning_upstream_use_slots(clock, registry, ledger):
    """Guards against reusing slots of requests that a suspended upstream still has."""
    clock.advance(5)
    registry.remove_expired()
    registry.announce("desk", UpstreamAnnouncement(FIRST.url, 2, 2))
    assert registry.find("desk").is_ok()
    assert ledger.free_slots("desk") == 0


def test_delayed_announcement_does_not_undo_leaving(clock, registry):
    """Guards against new work on a leaving upstream; a later return is accepted."""
    assert registry.mark_leaving("desk")
    registry.announce("desk", FIRST)
    assert registry.find("desk").err_value.code is Code.UPSTREAM_LEAVING
    assert registry.statuses()[0].leaving
    clock.advance(5)
    registry.announce("desk", FIRST)
    assert registry.find("desk").is_ok()


def test_probe_distinguishes_ended_and_running_processes(upstream):
    """Guards against releasing the resources of a running upstream."""
    assert not refuses_connections(upstream.url)
    upstream.close()
    assert refuses_connections(upstream.url)
