"""Times within which stored jobs and cancellations must take effect."""

from __future__ import annotations

import math

import attrs

#: Share of the bound for one request of a change feed. The rest is for the timeout and
#: the repetition of a request whose connection has gone silent, and for the stops.
_FEED_WAIT_SHARE = 0.2
#: Shortest and longest wait of one request of a change feed, in seconds.
_MIN_FEED_WAIT_SECONDS = 0.2
_MAX_FEED_WAIT_SECONDS = 5.0


_is_positive = attrs.validators.and_(
    attrs.validators.gt(0.0), attrs.validators.lt(math.inf)
)


@attrs.frozen
class IntakeBounds:
    """What the deployment promises to clients whose request was acknowledged.

    Attributes
    ----------
    cancel_ms : float
        Longest time in milliseconds from the acknowledgement of a cancellation until no
        task of the job is started any more.
    visible_ms : float
        Longest time in milliseconds from the acceptance of a job until it is shown and
        counted everywhere.
    """

    cancel_ms: float = attrs.field(default=3000.0, validator=_is_positive)
    visible_ms: float = attrs.field(default=3000.0, validator=_is_positive)

    @property
    def feed_wait(self) -> float:
        """Longest wait in seconds of one request of the leader's change feeds."""
        seconds = min(self.cancel_ms, self.visible_ms) / 1000
        wait = seconds * _FEED_WAIT_SHARE
        return min(max(wait, _MIN_FEED_WAIT_SECONDS), _MAX_FEED_WAIT_SECONDS)
