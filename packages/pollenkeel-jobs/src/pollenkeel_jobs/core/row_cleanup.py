"""Deletion of the rows of old jobs and cancellations."""

from __future__ import annotations

from collections.abc import Iterator

import logbook
from result import Err

from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.names import CANCELS, JOBS, PROGRESS, get_intake_partition
from pollenkeel_jobs.core.records import RecordError, decode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.tables import (
    Condition,
    FailureKind,
    RowWrite,
    TableService,
    Transaction,
)
from pollenkeel_kernel.core.clock import Clock

logger = logbook.Logger("leader")

#: Seconds between two deletions.
_INTERVAL_SECONDS = 10.0
#: Largest number of cancellations without a job that are deleted at a time, so that the
#: leader's next pass is not delayed for long.
MAX_CANCELLATIONS = 100
#: Number of cancellations in one transaction, which has a condition and a write for
#: each; the table service accepts 100 of both together.
_BATCH_SIZE = 40


class RowCleanup:
    """Deletes the rows that the leader no longer needs, a few at a time.

    Parameters
    ----------
    scheduler : Scheduler
        Knows the old jobs and cancellations.
    tables : TableService
        Service that stores the rows.
    leadership : Leadership
        Lease of the leader, whose partition has the progress of the jobs.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        tables: TableService,
        leadership: Leadership,
        clock: Clock,
    ) -> None:
        self._scheduler = scheduler
        self._tables = tables
        self._leadership = leadership
        self._clock = clock
        self._failed_deletions: set[str] = set()
        self._next_at = clock.now() + _INTERVAL_SECONDS

    def run_if_due(self) -> None:
        """Delete old rows if that is due."""
        now = self._clock.now()
        if now < self._next_at:
            return
        self._next_at = now + _INTERVAL_SECONDS
        self._delete_old_jobs()
        self._delete_early_cancellations()

    # Jobs.

    def _delete_old_jobs(self) -> None:
        """Delete the rows of jobs that ended long ago.

        The progress is deleted last: a job without progress would run again.
        """
        old = self._scheduler.forget_old_jobs()
        for job_id in sorted(old, key=self._failed_deletions.__contains__):
            if not self._delete_job(job_id):
                self._failed_deletions.add(job_id)
                logger.warning("rows of old job not deleted", extra={"job": job_id})
                # More failures in a row could take longer than the lease lasts.
                return
            self._failed_deletions.discard(job_id)
            self._scheduler.confirm_deletion(job_id)

    def _delete_job(self, job_id: str) -> bool:
        """Delete the rows of an old job; return False if that has to be tried again.

        After a failure the rows may be gone, and a client may have submitted another
        job with this id, whose rows must stay.
        """
        partition = get_intake_partition(job_id)
        conditions: tuple[Condition, ...] = ()
        if job_id in self._failed_deletions:
            found = self._tables.read_row(partition, JOBS, job_id)
            if isinstance(found, Err):
                return False
            row = found.ok_value
            if row is not None and row.value and not self._is_old(row.value):
                return True
            conditions = (Condition(JOBS, job_id, row.version if row else 0),)
        rows = (RowWrite(JOBS, job_id, None), RowWrite(CANCELS, job_id, None))
        removed = self._tables.transact(Transaction(partition, conditions, rows))
        if isinstance(removed, Err):
            return False
        self._leadership.commit((RowWrite(PROGRESS, job_id, None),))
        return True

    def _is_old(self, row: bytes) -> bool:
        """Return whether a row is that of a job that was dropped."""
        try:
            return self._scheduler.is_forgotten(decode_job(row))
        except RecordError:
            return False

    # Cancellations without a job.

    def _delete_early_cancellations(self) -> None:
        """Delete the cancellations whose job has not arrived for a long time.

        They stay in memory until their rows are deleted, since a job that arrives after
        all must not run.
        """
        expired = self._scheduler.early_cancellations.list_expired(MAX_CANCELLATIONS)
        for partition, job_ids in _iterate_batches(expired):
            if not self._delete_cancellations(partition, job_ids):
                return

    def _delete_cancellations(self, partition: str, job_ids: list[str]) -> bool:
        """Delete the cancellations of jobs that are not stored by now.

        Returns False if the table service does not answer.
        """
        self._leadership.renew()
        conditions = tuple(Condition(JOBS, job_id, 0) for job_id in job_ids)
        rows = tuple(RowWrite(CANCELS, job_id, None) for job_id in job_ids)
        removed = self._tables.transact(Transaction(partition, conditions, rows))
        cancellations = self._scheduler.early_cancellations
        if not isinstance(removed, Err):
            for job_id in job_ids:
                cancellations.pop(job_id)
            return True
        if removed.err_value.kind is not FailureKind.CONFLICT:
            cause = removed.err_value.detail
            logger.warning("cancellations not deleted", extra={"cause": cause})
            return False
        if len(job_ids) > 1:
            return all(self._delete_cancellations(partition, [i]) for i in job_ids)
        cancellations.keep(job_ids[0])
        return True


def _iterate_batches(job_ids: list[str]) -> Iterator[tuple[str, list[str]]]:
    """Yield the ids in batches of one partition each, with the partition."""
    ids_by_partition: dict[str, list[str]] = {}
    for job_id in job_ids:
        ids_by_partition.setdefault(get_intake_partition(job_id), []).append(job_id)
    for partition, ids in ids_by_partition.items():
        for start in range(0, len(ids), _BATCH_SIZE):
            yield partition, ids[start : start + _BATCH_SIZE]
