"""State dump of a process for debugging: named sections, collected on request."""

from __future__ import annotations

import enum
import threading
from collections.abc import Callable
from typing import Any

import attrs

Section = Callable[[], Any]


class StateDump:
    """Collects the state sections registered by the components of a process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sections_by_name: dict[str, Section] = {}

    def register(self, name: str, section: Section) -> None:
        """Add a section to the dump.

        Parameters
        ----------
        name : str
            Key of the section in the dump.
        section : callable
            Returns attrs objects, mappings, lists or plain values.
        """
        with self._lock:
            self._sections_by_name[name] = section

    def collect(self) -> dict[str, Any]:
        """Return all sections, converted to JSON types."""
        with self._lock:
            sections_by_name = dict(self._sections_by_name)
        return {name: to_plain(call()) for name, call in sections_by_name.items()}


def to_plain(value: Any) -> Any:
    """Convert a value to JSON types; bytes are replaced by their length.

    Parameters
    ----------
    value : Any
        attrs object, mapping, iterable, enum, bytes or plain value.
    """
    if attrs.has(type(value)):
        return {
            field.name: to_plain(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_plain(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.name
    if isinstance(value, bytes):
        return f"<{len(value)} bytes>"
    return value
