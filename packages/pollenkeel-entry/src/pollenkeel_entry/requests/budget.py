"""Retry budget: one token bucket per service."""

from __future__ import annotations

import threading

#: Capacity of a bucket. Buckets start full, so that a service with little traffic can
#: still retry this many requests in a row.
_MAX_TOKENS = 10.0


class RetryBudget:
    """Limits retries and hedged attempts to a fraction of the requests.

    Parameters
    ----------
    ratio : float
        Tokens added for each request, a fraction of 1.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._lock = threading.Lock()
        self._tokens_by_service: dict[str, float] = {}

    def add_request(self, service: str) -> None:
        """Add the tokens for one request of a caller."""
        with self._lock:
            tokens = self._tokens_by_service.get(service, _MAX_TOKENS)
            self._tokens_by_service[service] = min(_MAX_TOKENS, tokens + self._ratio)

    def try_spend(self, service: str) -> bool:
        """Spend one token; return False if there is none."""
        with self._lock:
            tokens = self._tokens_by_service.get(service, _MAX_TOKENS)
            if tokens < 1.0:
                return False
            self._tokens_by_service[service] = tokens - 1.0
            return True

    def dump(self) -> dict[str, float]:
        """Return the number of tokens of each service."""
        with self._lock:
            return dict(self._tokens_by_service)
