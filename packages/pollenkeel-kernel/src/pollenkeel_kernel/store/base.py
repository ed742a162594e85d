"""Interface of the platform's table service and object store."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
from result import Result

from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.registry import Registry
from pollenkeel_kernel.core.settings import StoreSettings


@attrs.frozen
class Row:
    """One row of a table.

    Attributes
    ----------
    key : str
        Key of the row within its table.
    version : int
        Version assigned by the table service; starts at 1 and increases with each
        write.
    value : bytes
        Content, at most 64 KiB.
    """

    key: str
    version: int
    value: bytes


@attrs.frozen
class Put:
    """Conditional write of one row.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    value : bytes or None
        New content; None deletes the row.
    expected_version : int or None
        Current version required for the write; 0 requires that the row does not
        exist; None writes unconditionally.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None


class Backend(ABC):
    """Client of the platform's table service and object store.

    Every method may return code 2003 (not executed) or, for writes, 3006 (sent but not
    confirmed, so the write may have taken effect). Callers resolve 3006 by reading
    back.

    Parameters
    ----------
    settings : StoreSettings
        Address and timeout.
    """

    @abstractmethod
    def __init__(self, settings: StoreSettings) -> None: ...

    @abstractmethod
    def get(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return a row, or None if there is none."""

    @abstractmethod
    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Refusal]:
        """Return rows whose key starts with ``prefix`` and sorts after ``after``.

        Returns at most ``limit`` rows, ordered by key.
        """

    @abstractmethod
    def write(self, puts: list[Put]) -> Result[list[int], Refusal]:
        """Apply all writes or none, in one transaction.

        Returns
        -------
        Result[list[int], Refusal]
            New version of each row; code 5002 if a row did not have its expected
            version.
        """

    @abstractmethod
    def get_object(self, key: str) -> Result[bytes | None, Refusal]:
        """Return an object's content, or None if there is none."""

    @abstractmethod
    def put_object(self, key: str, content: bytes) -> Result[None, Refusal]:
        """Store an object; storing the same content again has no effect."""

    @abstractmethod
    def delete_object(self, key: str) -> Result[None, Refusal]:
        """Delete an object; deleting a missing object succeeds."""


BACKENDS: Registry[Backend] = Registry("pollenkeel.backends")


def open_backend(settings: StoreSettings) -> Backend:
    """Return an instance of the backend named in the settings.

    Raises
    ------
    PollenkeelError
        Code 4005 if there is no such backend.
    """
    return BACKENDS.get(settings.backend)(settings)
