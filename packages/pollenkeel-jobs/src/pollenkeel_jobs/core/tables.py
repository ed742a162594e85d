"""Interface of a transactional table service with versions and change feeds."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod

import attrs
from result import Ok, Result

#: Longest wait for the reply to a write, in seconds; a slow store needs half of it.
WRITE_SECONDS = 1.0


@attrs.frozen
class Row:
    """A row; ``value`` is None where a feed says that it was removed."""

    table: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Condition:
    """Version that a row must have; 0 means that it must not exist."""

    table: str
    key: str
    version: int


@attrs.frozen
class RowWrite:
    """New value of a row; None removes it."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen
class Transaction:
    """Writes of one partition, applied together if all conditions hold."""

    partition: str
    conditions: tuple[Condition, ...]
    writes: tuple[RowWrite, ...]


class FailureKind(enum.Enum):
    """Why a call of the table service gave no result."""

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
        What is known about the call.
    rows : tuple of Row
        Current rows of the conditions, after a conflict.
    detail : str
        Cause, for the log.
    """

    kind: FailureKind
    rows: tuple[Row, ...] = ()
    detail: str = ""


@attrs.frozen
class Page:
    """Rows as of one version.

    Attributes
    ----------
    rows : tuple of Row
        Rows in the order of their keys, or of their versions in a feed.
    version : int
        Version of the service at that moment.
    more : bool
        There are further rows.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False


class TableService(ABC):
    """Client of a table service; safe for use by several threads."""

    @abstractmethod
    def transact(
        self, transaction: Transaction, timeout: float = WRITE_SECONDS
    ) -> Result[int, Failure]:
        """Apply a transaction and return its version.

        Parameters
        ----------
        transaction : Transaction
            What to write under which conditions.
        timeout : float
            Longest wait for the reply, in seconds.
        """

    @abstractmethod
    def read(
        self, partition: str, table: str, start: str = "", end: str = ""
    ) -> Result[Page, Failure]:
        """Return the rows of a table's partition, from ``start`` to before ``end``."""

    @abstractmethod
    def watch(self, table: str, after: int, wait: float) -> Result[Page, Failure]:
        """Return the changes of a table after a version, waiting at most ``wait`` s."""

    def read_row(
        self, partition: str, table: str, key: str
    ) -> Result[Row | None, Failure]:
        """Return one row, or None if there is none."""
        page = self.read(partition, table, key, key + "\0")
        return page.map(lambda found: found.rows[0] if found.rows else None)

    def read_all(self, partition: str, table: str) -> Result[Page, Failure]:
        """Return all rows of a partition of a table."""
        rows: list[Row] = []
        start = ""
        version = 0
        while True:
            page = self.read(partition, table, start)
            if page.is_err():
                return page
            found = page.unwrap()
            rows.extend(found.rows)
            # Changes after the first page are repeated by a feed from its version.
            version = version or found.version
            if not found.more or not found.rows:
                return Ok(Page(tuple(rows), version))
            start = found.rows[-1].key + "\0"
