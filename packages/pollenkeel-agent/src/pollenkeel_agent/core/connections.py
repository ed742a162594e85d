"""HTTP connection pool for calls to the upstreams."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

import attrs
import logbook
import urllib3

from pollenkeel_agent.core.metrics import UPSTREAM_POOLS_REPLACED
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("connections")


@attrs.frozen(eq=False)
class _Call:
    pool: urllib3.PoolManager
    deadline: float


class UpstreamConnections:
    """Connection pool that is replaced when a call misses its deadline.

    A dead connection on which nothing arrives any more cannot be told from a slow
    upstream. The whole pool is therefore discarded as soon as one call has no answer at
    its deadline; otherwise each dead idle connection would fail one more request.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._pool = _make_pool()
        self._calls: set[_Call] = set()

    @contextlib.contextmanager
    def borrow_pool(self, deadline: float) -> Iterator[urllib3.PoolManager]:
        """Provide the current pool for one call.

        Parameters
        ----------
        deadline : float
            Time by which the answer is due, in seconds since the Unix epoch. The call
            itself may take longer.
        """
        with self._lock:
            call = _Call(self._pool, deadline)
            self._calls.add(call)
        try:
            yield call.pool
        finally:
            with self._lock:
                self._calls.remove(call)
                self._replace_if_late(call)

    def replace_stale(self) -> None:
        """Replace the pool if a call in progress has passed its deadline."""
        with self._lock:
            for call in self._calls:
                self._replace_if_late(call)

    def _replace_if_late(self, call: _Call) -> None:
        if call.pool is not self._pool or self._clock.now() < call.deadline:
            return
        # Calls in progress keep a reference to the old pool. Its idle connections are
        # closed once the last of these calls has ended.
        self._pool = _make_pool()
        UPSTREAM_POOLS_REPLACED.inc()
        log_change(logger, "upstream connection pool replaced")


def _make_pool() -> urllib3.PoolManager:
    return urllib3.PoolManager(
        num_pools=32,
        maxsize=128,
        retries=False,
        # urllib3 would otherwise add these headers to the forwarded requests.
        headers={
            "User-Agent": urllib3.util.SKIP_HEADER,
            "Accept-Encoding": urllib3.util.SKIP_HEADER,
        },
    )
