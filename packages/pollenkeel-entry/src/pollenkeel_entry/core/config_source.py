"""Interface through which the parts of an entry read the configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod

from pollenkeel_kernel.config.model import ClusterConfig
from pollenkeel_kernel.core.messages import ConfigSnapshot


class ConfigSource(ABC):
    """Latest accepted configuration and the start permits derived from it.

    A start permit allows the agents of a data centre to start tasks until a given
    time. Permits expire, so starts stop in a drained data centre even if its agents
    cannot be reached.
    """

    @abstractmethod
    def snapshot(self) -> ConfigSnapshot | None:
        """Return the newest loaded configuration, or None before the first."""

    def offer(self, snapshot: ConfigSnapshot) -> bool:
        """Load a snapshot from a peer; return whether it is now in force here."""
        return False

    @abstractmethod
    def effective(self) -> ClusterConfig | None:
        """Return the configuration in force at this entry's site, or None."""

    @abstractmethod
    def drained(self) -> frozenset[str]:
        """Return the names of the drained data centres."""

    @abstractmethod
    def permit_until(self, data_centre: str) -> float:
        """Return the time until which tasks may start in a data centre.

        Returns
        -------
        float
            Start of the last successful read of the configuration head plus
            ``permit_ttl``; 0 if the data centre is drained or unknown, or no head has
            been read.
        """
