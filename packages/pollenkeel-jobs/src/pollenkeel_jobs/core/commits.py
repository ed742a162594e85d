"""Commits of many rows, of which the table service may reject some as invalid."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import logbook
from result import Err

from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.progress_rows import get_job_id
from pollenkeel_jobs.core.tables import RowWrite

logger = logbook.Logger("leader")


@attrs.frozen
class RejectedProgress:
    """Progress of a job that the table service rejected as invalid."""

    job_id: str
    cause: str


def commit_rows(
    leadership: Leadership, writes: tuple[RowWrite, ...]
) -> Iterator[RejectedProgress]:
    """Write rows of the leader's partition; yield the jobs whose rows are rejected.

    The rows are written in one transaction. If it is rejected, its halves are written
    instead, and so on, until only the rejected rows remain. The rows of a job are
    always written together. Rejected rows that belong to no job are logged.

    Raises
    ------
    LeadershipLost
        As ``Leadership.commit``, and if a transaction without these rows is rejected,
        too.
    """
    rejected = leadership.try_commit(writes)
    if not isinstance(rejected, Err):
        return
    groups = list(_group_by_owner(writes).items())
    if len(groups) > 1:
        middle = len(groups) // 2
        for half in (groups[:middle], groups[middle:]):
            rows = tuple(row for _, group in half for row in group)
            yield from commit_rows(leadership, rows)
        return
    leadership.commit(())
    cause = rejected.err_value.detail
    for (table, owner), _ in groups:
        if table == PROGRESS:
            yield RejectedProgress(owner, cause)
        else:
            logger.error("row rejected", extra={"table": table, "cause": cause})


def _group_by_owner(
    writes: tuple[RowWrite, ...],
) -> dict[tuple[str, str], list[RowWrite]]:
    """Return the rows by their table and, if it has progress, their job."""
    groups: dict[tuple[str, str], list[RowWrite]] = {}
    for write in writes:
        owner = get_job_id(write.key) if write.table == PROGRESS else write.key
        groups.setdefault((write.table, owner), []).append(write)
    return groups
