"""Interface of a transactional table service with versions and change feeds."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod

import attrs
from result import Ok, Result

#: Default timeout for the reply to a write, in seconds; a slow table service needs half
#: of it.
WRITE_SECONDS = 1.0


@attrs.frozen
class Row:
    """A row; in a change feed, ``value`` is None if the row was deleted."""

    table: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Condition:
    """Version that a row must have; 0 if the row must not exist."""

    table: str
    key: str
    version: int


@attrs.frozen
class RowWrite:
    """New value of a row; None deletes the row."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen
class Transaction:
    """Writes to one partition, applied atomically if all conditions hold."""

    partition: str
    conditions: tuple[Condition, ...]
    writes: tuple[RowWrite, ...]


class FailureKind(enum.Enum):
    """Why a call to the table service failed."""

    CONFLICT = "a condition did not hold"
    NOT_DONE = "the service refused the call; nothing was done"
    UNKNOWN = "no reply; the call may have been carried out, or may be later"
    HISTORY_GONE = "the feed no longer has the requested changes"
    INVALID = "the service rejected the call as malformed"


@attrs.frozen
class Failure:
    """Error value of a call.

    Attributes
    ----------
    kind : FailureKind
        Kind of failure, which says whether the call may have been executed.
    rows : tuple of Row
        After a conflict, the current rows that the conditions refer to.
    detail : str
        Cause, for logs and error messages.
    """

    kind: FailureKind
    rows: tuple[Row, ...] = ()
    detail: str = ""


@attrs.frozen
class Page:
    """Result of a read: rows as of one version.

    Attributes
    ----------
    rows : tuple of Row
        Rows in key order; in a change feed, in version order.
    version : int
        Version of the table service at the time of the read.
    more : bool
        Further rows follow.
    last_key : str
        Key of the last row, which may be one that was left out as malformed.
    now : float
        Time of the read on the table service's steady clock, in seconds; 0 if it is not
        known.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False
    last_key: str = ""
    now: float = 0.0


class TableService(ABC):
    """Thread-safe client of a table service."""

    @abstractmethod
    def transact(
        self, transaction: Transaction, timeout: float = WRITE_SECONDS
    ) -> Result[int, Failure]:
        """Execute a transaction and return its version.

        Parameters
        ----------
        transaction : Transaction
            The writes and their conditions.
        timeout : float
            Timeout for the reply, in seconds.
        """

    @abstractmethod
    def read(
        self, partition: str, table: str, start: str = "", end: str = ""
    ) -> Result[Page, Failure]:
        """Return the rows of a partition whose keys are in a range.

        The range includes ``start`` and excludes ``end``; an empty ``end`` sets no
        upper limit.
        """

    @abstractmethod
    def watch(self, table: str, after: int, wait: float) -> Result[Page, Failure]:
        """Return the changes after a version, waiting up to ``wait`` s for one."""

    def read_row(
        self, partition: str, table: str, key: str
    ) -> Result[Row | None, Failure]:
        """Return one row, or None if it does not exist."""
        page = self.read(partition, table, key, key + "\0")
        return page.map(lambda found: found.rows[0] if found.rows else None)

    def read_all(self, partition: str, table: str) -> Result[Page, Failure]:
        """Return all rows of a table in one partition.

        Version and time of the result are those of the first page.
        """
        rows: list[Row] = []
        start = ""
        version = 0
        now = 0.0
        while True:
            page = self.read(partition, table, start)
            if page.is_err():
                return page
            found = page.unwrap()
            rows.extend(found.rows)
            # A change feed from the version of the first page also returns changes
            # made while the later pages were read.
            version = version or found.version
            now = now or found.now
            if not found.more:
                return Ok(Page(tuple(rows), version, now=now))
            start = found.last_key + "\0"
