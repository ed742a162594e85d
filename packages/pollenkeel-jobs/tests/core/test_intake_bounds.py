"""Guards against change feeds that are too slow for what a deployment promises."""

import pytest

from pollenkeel_jobs.core.intake_bounds import IntakeBounds


@pytest.mark.parametrize("figure", [0, -1, float("inf"), float("nan")])
def test_impossible_bound_is_rejected(figure):
    """Guards against a leader whose feeds return at once, or never."""
    with pytest.raises(ValueError, match="cancel_ms"):
        IntakeBounds(cancel_ms=figure)


@pytest.mark.parametrize("bounds", [(3000, 10_000), (10_000, 3000)])
def test_shorter_promise_limits_the_wait(bounds):
    """Guards against a wait that fits only the longer promise of a deployment."""
    assert IntakeBounds(*bounds).feed_wait == IntakeBounds(3000, 3000).feed_wait


def test_wait_follows_the_promise():
    """Guards against a fixed wait, which was longer than some promises (review/13)."""
    assert IntakeBounds(1500, 1500).feed_wait < IntakeBounds(3000, 3000).feed_wait
