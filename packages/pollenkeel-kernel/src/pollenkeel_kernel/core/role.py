"""Base class of the process roles that ``pollenkeeld`` can run."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from typing import Any, ClassVar

from pollenkeel_kernel.core.registry import Registry


class Role(ABC):
    """A type of process, such as the entry or the agent.

    Parameters
    ----------
    settings : Any
        Validated settings, an instance of ``settings_class``.
    """

    settings_class: ClassVar[type[Any]]

    @abstractmethod
    def __init__(self, settings: Any) -> None: ...

    @abstractmethod
    def start(self) -> dict[str, str]:
        """Start serving and return the bound addresses by name."""

    def reload(self, settings: Any) -> bool:
        """Apply changed settings; return False if they need a restart."""
        return False

    @abstractmethod
    def run(self, stop: threading.Event) -> None:
        """Serve until ``stop`` is set, then shut down gracefully and return."""


ROLES: Registry[Role] = Registry("pollenkeel.roles")
