"""Recorded jobs that this release cannot read, and whether they have been repaired."""

from __future__ import annotations

from collections.abc import Iterable

import logbook
from result import Err

from pollenkeel_jobs.core.metrics import UNREADABLE_JOBS
from pollenkeel_jobs.core.model import Job
from pollenkeel_jobs.core.names import (
    JOBS,
    LEADER_PARTITION,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.progress_rows import join_progress_rows
from pollenkeel_jobs.core.records import RecordError, apply_progress, decode_job
from pollenkeel_jobs.core.tables import TableService

logger = logbook.Logger("jobs")

#: End of the range of keys of a job's progress rows. Page keys have a slash after the
#: job id, and this is the character after it.
_AFTER_PAGES = "0"


class UnreadableJobs:
    """Ids of the recorded jobs that could not be loaded.

    Such a job must neither begin anew when its row is received again, nor be shown as
    unknown. Not thread-safe; the scheduler's lock protects it.
    """

    def __init__(self) -> None:
        self._ids: set[str] = set()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._ids

    def add_all(self, job_ids: Iterable[str]) -> None:
        """Add jobs that could not be loaded."""
        for job_id in job_ids:
            logger.error(
                "job is left out until its record can be read", extra={"job": job_id}
            )
            self._ids.add(job_id)
        UNREADABLE_JOBS.set(len(self._ids))

    def list_ids(self) -> list[str]:
        """Return the ids of the jobs."""
        return sorted(self._ids)


def can_load(tables: TableService, job_id: str) -> bool:
    """Return whether the stored record of a job can be read, or is deleted."""
    row = tables.read_row(get_intake_partition(job_id), JOBS, job_id)
    progress = tables.read(LEADER_PARTITION, PROGRESS, job_id, job_id + _AFTER_PAGES)
    if isinstance(row, Err) or isinstance(progress, Err):
        return False
    stored = row.ok_value
    if stored is None or stored.value is None:
        return True
    try:
        job = Job(decode_job(stored.value))
        if job.spec.job_id != job_id:
            return False
        value = join_progress_rows(progress.ok_value.rows).get(job_id)
        if value is not None:
            apply_progress(job, value)
    except RecordError:
        return False
    return True
