"""Base class of the roles that ``pollenkeeld`` can run."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from typing import Any, ClassVar

from pollenkeel_kernel.core.registry import Registry


class Role(ABC):
    """One kind of process.

    Parameters
    ----------
    settings : Any
        Checked settings of the class ``settings_class``.
    """

    settings_class: ClassVar[type[Any]]

    @abstractmethod
    def __init__(self, settings: Any) -> None: ...

    @abstractmethod
    def start(self) -> dict[str, str]:
        """Start serving and return the addresses that the kernel chose."""

    def reload(self, settings: Any) -> bool:
        """Take changed settings; return False if they wait for the next start."""
        return False

    @abstractmethod
    def run(self, stop: threading.Event) -> None:
        """Serve until ``stop`` is set, then shut down gracefully and return."""


ROLES: Registry[Role] = Registry("pollenkeel.roles")
