"""Distribution of a job's progress over rows, and of rows over transactions.

The progress of a job is one row. If it outgrows that, the tasks are in rows of their
own, the pages, whose keys are ``<job id>/<number>``. A job id has no slash.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import logbook
import xxhash

from pollenkeel_jobs.core.model import Job
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.records import (
    RecordError,
    encode_pages,
    encode_progress,
    encode_progress_head,
    join_pages,
)
from pollenkeel_jobs.core.tables import Row, RowWrite

logger = logbook.Logger("jobs")

#: Maximum size of a row's value in bytes. The platform's store accepts 65,536.
MAX_ROW_BYTES = 60_000
#: Maximum number of pages of a job. All of them and the learned weights take 944,000
#: bytes in base64, and a transaction of the platform's store may have 1 MB.
MAX_PAGES = 11
#: Maximum number of rows and bytes of progress in one transaction. The platform's store
#: accepts 100 entries and 1 MB in base64; the lease and the learned weights are added.
_MAX_BATCH_ROWS = 90
_MAX_BATCH_BYTES = 600_000
_PAGE_SEPARATOR = "/"


class ProgressTooLargeError(Exception):
    """The progress of a job does not fit into its rows."""


@attrs.frozen
class ProgressRows:
    """Rows of one job's progress that have changed.

    Attributes
    ----------
    writes : tuple of RowWrite
        The changed rows.
    page_digests : tuple of int
        Digests of all pages, to be kept in the job once the rows are written.
    """

    writes: tuple[RowWrite, ...]
    page_digests: tuple[int, ...]

    @property
    def size(self) -> int:
        """Total size of the values in bytes."""
        return sum(len(write.value or b"") for write in self.writes)


def encode_progress_rows(job: Job) -> ProgressRows:
    """Return the rows to write for a job whose progress has changed.

    Raises
    ------
    ProgressTooLargeError
        If the progress does not fit into ``MAX_PAGES`` pages.
    """
    job_id = job.spec.job_id
    if job.status.final:
        removed = (
            RowWrite(PROGRESS, _make_page_key(job_id, number), None)
            for number in range(len(job.page_digests))
        )
        head = RowWrite(PROGRESS, job_id, encode_progress(job))
        return ProgressRows((head, *removed), ())
    if not job.page_digests:
        value = encode_progress(job)
        if len(value) <= MAX_ROW_BYTES:
            return ProgressRows((RowWrite(PROGRESS, job_id, value),), ())
    return _encode_changed_pages(job)


def _encode_changed_pages(job: Job) -> ProgressRows:
    count = len(job.page_digests) or 2
    pages = encode_pages(job, count)
    while max(map(len, pages)) > MAX_ROW_BYTES:
        if count == MAX_PAGES:
            size = sum(map(len, pages))
            raise ProgressTooLargeError(
                f"progress has {size} bytes; at most {MAX_PAGES} pages of "
                f"{MAX_ROW_BYTES} bytes"
            )
        count = min(2 * count, MAX_PAGES)
        pages = encode_pages(job, count)
    digests = tuple(map(xxhash.xxh64_intdigest, pages))
    recorded = job.page_digests if len(job.page_digests) == count else (0,) * count
    job_id = job.spec.job_id
    head = RowWrite(PROGRESS, job_id, encode_progress_head(job, count))
    changed = (
        RowWrite(PROGRESS, _make_page_key(job_id, number), pages[number])
        for number in range(count)
        if digests[number] != recorded[number]
    )
    return ProgressRows((head, *changed), digests)


def _make_page_key(job_id: str, number: int) -> str:
    return f"{job_id}{_PAGE_SEPARATOR}{number}"


def get_job_id(key: str) -> str:
    """Return the job id from the key of a progress row or a page."""
    return key.partition(_PAGE_SEPARATOR)[0]


def join_progress_rows(rows: Iterable[Row]) -> dict[str, bytes]:
    """Return the progress of each job as one value, by job id.

    A job with a missing page is logged, and its value cannot be decoded. It must not be
    taken for a job without progress, whose tasks have never run.
    """
    heads_by_id: dict[str, bytes] = {}
    pages_by_id: dict[str, dict[int, bytes]] = {}
    for row in rows:
        job_id, separator, number = row.key.partition(_PAGE_SEPARATOR)
        value = row.value or b""
        if not separator:
            heads_by_id[job_id] = value
        elif number.isdecimal():
            pages_by_id.setdefault(job_id, {})[int(number)] = value
    for job_id, pages in pages_by_id.items():
        try:
            heads_by_id[job_id] = join_pages(heads_by_id.get(job_id, b""), pages)
        except RecordError as error:
            logger.error(
                "pages of a job cannot be read",
                extra={"job": job_id, "cause": str(error)},
            )
            heads_by_id[job_id] = b""
    return heads_by_id


class ProgressBatch:
    """Progress rows of several jobs for one transaction.

    Attributes
    ----------
    jobs : list of Job
        Jobs of the batch.
    writes : list of RowWrite
        Their rows.
    """

    def __init__(self) -> None:
        self.jobs: list[Job] = []
        self.writes: list[RowWrite] = []
        self._size = 0

    def add(self, job: Job) -> bool:
        """Add the changed rows of a job; return False if they do not fit any more.

        Raises
        ------
        ProgressTooLargeError
            If the progress of the job does not fit into its rows.
        """
        rows = encode_progress_rows(job)
        if self.jobs and (
            len(self.writes) + len(rows.writes) > _MAX_BATCH_ROWS
            or self._size + rows.size > _MAX_BATCH_BYTES
        ):
            return False
        self.jobs.append(job)
        self.writes += rows.writes
        self._size += rows.size
        # A leader whose transaction fails loses its term and this state with it.
        job.page_digests = rows.page_digests
        return True
