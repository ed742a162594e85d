"""Cancellations that the leader knows before their job."""

from __future__ import annotations

import threading

import logbook

from pollenkeel_jobs.core.job_table import RETENTION_SECONDS
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("jobs")


class EarlyCancellations:
    """Ids of cancelled jobs that have not arrived; thread-safe.

    Jobs and cancellations arrive by separate feeds and messages, so either may come
    first. A client may also cancel a job whose submission is stored much later: its
    entry was suspended, or the table service applied the write late. Such a job must
    not run. A cancellation without a job is kept as long as an ended job.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._expires_at_by_id: dict[str, float] = {}

    def add(self, job_id: str) -> None:
        """Record the cancellation of a job that has not arrived."""
        with self._lock:
            if job_id in self._expires_at_by_id:
                return
            self._expires_at_by_id[job_id] = self._clock.now() + RETENTION_SECONDS
        log_change(logger, "cancellation received before its job", job=job_id)

    def keep(self, job_id: str) -> None:
        """Keep a cancellation for another period."""
        with self._lock:
            if self._expires_at_by_id.pop(job_id, None) is not None:
                expires_at = self._clock.now() + RETENTION_SECONDS
                self._expires_at_by_id[job_id] = expires_at

    def pop(self, job_id: str) -> bool:
        """Remove the cancellation of a job; return whether there was one."""
        with self._lock:
            return self._expires_at_by_id.pop(job_id, None) is not None

    def list_expired(self, limit: int) -> list[str]:
        """Return the first ``limit`` cancellations that need not be kept any more."""
        now = self._clock.now()
        expired: list[str] = []
        with self._lock:
            # The dict is in order of expiry.
            for job_id, expires_at in self._expires_at_by_id.items():
                if expires_at > now or len(expired) == limit:
                    break
                expired.append(job_id)
        return expired
