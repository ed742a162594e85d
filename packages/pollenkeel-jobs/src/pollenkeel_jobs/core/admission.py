"""Decision of an entry whether a new job can still end in time to be of use.

Answers a backlog that is longer than a job may take. Its client is told at once, and
when to come back, instead of waiting for a result that it cannot use any more; the
capacity goes to jobs that can be in time.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

import attrs
import xxhash

from pollenkeel_jobs.core.messages import ServiceWait
from pollenkeel_jobs.core.specs import JobSpec

#: Seconds after which an estimate of the leader is not used any more.
MAX_ESTIMATE_AGE_SECONDS = 2.0
#: Multiple of the time that a job is allowed after which its result is of no use.
_USELESS_AFTER_OBJECTIVES = 3.0
#: Minimum delay before a client may come back, in seconds.
_MIN_RETRY_SECONDS = 1.0
#: Share of the remaining wait over which the clients' returns are spread, so that they
#: do not all arrive when the backlog is short enough.
_SPREAD_SHARE = 0.5


@attrs.frozen
class Rejection:
    """Decision that a job is not accepted.

    Attributes
    ----------
    wait : float
        Seconds for which the job would wait for its first start.
    allowed : float
        Seconds after which its result would be of no use.
    retry_at : float
        Time from which the client may submit it again, in seconds since the Unix
        epoch.
    """

    wait: float
    allowed: float
    retry_at: float


class Admission:
    """Rejects jobs that would end too late, by the leader's latest estimate.

    Thread-safe. Without a recent estimate every job is admitted.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waits: tuple[ServiceWait, ...] = ()
        self._valid_until = 0.0

    def record(self, waits: Iterable[ServiceWait], now: float) -> None:
        """Replace the estimate by one that the leader has just sent."""
        with self._lock:
            self._waits = tuple(waits)
            self._valid_until = now + MAX_ESTIMATE_AGE_SECONDS

    def find_rejection(self, spec: JobSpec, now: float) -> Rejection | None:
        """Return why a job is not accepted, or None if it is.

        Parameters
        ----------
        spec : JobSpec
            The job as submitted.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if spec.occurrences or any(step.long_running for step in spec.steps):
            # Neither has an objective that a wait at its submission would miss.
            return None
        wait = self._find_wait(spec, now)
        chain = spec.longest_chain()
        objective = spec.queue.stretch * chain + spec.queue.target_latency
        allowed = _USELESS_AFTER_OBJECTIVES * objective
        if wait + chain <= allowed:
            return None
        delay = max(_MIN_RETRY_SECONDS, wait + chain - max(chain, objective))
        spread = _SPREAD_SHARE * delay * _draw_fraction(spec.job_id)
        return Rejection(wait, allowed, now + delay + spread)

    def _find_wait(self, spec: JobSpec, now: float) -> float:
        """Return the wait behind all work of the same or a higher priority."""
        with self._lock:
            waits = self._waits if now < self._valid_until else ()
        queue = spec.queue
        return max(
            (
                wait.seconds
                for wait in waits
                if wait.service == queue.service and wait.priority <= queue.priority
            ),
            default=0.0,
        )


def _draw_fraction(job_id: str) -> float:
    """Return a number from 0 to 1 that is fixed for a job and evenly spread."""
    return float(xxhash.xxh32_intdigest(job_id.encode())) / 2**32
