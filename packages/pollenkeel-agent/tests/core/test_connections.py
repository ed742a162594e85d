"""Guards against dead idle connections that fail one request each."""

from pollenkeel_agent.core.connections import UpstreamConnections
from pollenkeel_kernel import ManualClock


def test_calls_before_the_deadline_keep_the_pool():
    """Guards against discarding the connections although no call is late."""
    connections = UpstreamConnections(ManualClock(100.0))
    with connections.borrow_pool(101.0) as first:
        connections.replace_stale()
    with connections.borrow_pool(101.0) as second:
        assert second is first


def test_late_call_in_progress_replaces_the_pool_once():
    """Guards against replacing the new pool, too, for the same late call."""
    clock = ManualClock(100.0)
    connections = UpstreamConnections(clock)
    with connections.borrow_pool(101.0) as first:
        clock.advance(1.0)
        connections.replace_stale()
        with connections.borrow_pool(105.0) as second:
            assert second is not first
            connections.replace_stale()
    # The late call used the old pool, so its end does not replace the new one.
    with connections.borrow_pool(105.0) as third:
        assert third is second


def test_call_that_ends_late_replaces_the_pool():
    """Guards against keeping dead connections if no check ran while a call was late."""
    clock = ManualClock(100.0)
    connections = UpstreamConnections(clock)
    with connections.borrow_pool(101.0) as first:
        clock.advance(2.0)
    with connections.borrow_pool(105.0) as second:
        assert second is not first
