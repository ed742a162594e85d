"""Quota of a team across the shards of one entry.

Rule: the owner of ``n`` of ``s`` shards may use ``n / s`` of each quota, counted over
all its shards. Every shard has one owner, so the parts of all entries add up to the
quota. A team that holds nothing in an entry may still start one task that fits the
whole quota, because a part can be smaller than any of its tasks; a team can therefore
exceed its quota by at most one task for each entry.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

import attrs

from pollenkeel_entry.batch.state import TeamUsage
from pollenkeel_kernel.config.model import QuotaConfig
from pollenkeel_kernel.core.messages import Resources


@attrs.frozen
class QuotaView:
    """Usage of the entry's other shards, and the entry's part of each quota."""

    others_by_team: dict[str, TeamUsage] = attrs.field(factory=dict)
    part: float = 1.0

    def add_to(self, usage_by_team: dict[str, TeamUsage]) -> dict[str, TeamUsage]:
        """Return the usage of one shard plus that of the others."""
        return _sum_usage([usage_by_team, self.others_by_team])


class QuotaTable:
    """Usage of every team on every shard of one entry.

    Parameters
    ----------
    shards : int
        Number of shards of the whole system.
    """

    def __init__(self, shards: int) -> None:
        self._shards = shards
        self._usage_by_shard: dict[int, dict[str, TeamUsage]] = {}
        #: Held while starts are planned, so that two shards do not plan the same
        #: part of a quota.
        self.lock = threading.RLock()

    def view(self, shard: int) -> QuotaView:
        """Return the quota data that a shard needs to plan its starts."""
        with self.lock:
            others = [u for n, u in self._usage_by_shard.items() if n != shard]
            owned = len(others) + 1
            return QuotaView(_sum_usage(others), owned / self._shards)

    def set(
        self,
        shard: int,
        usage_by_team: dict[str, TeamUsage],
        planned: Iterable[tuple[str, Resources]] = (),
    ) -> None:
        """Record the usage of a shard and the starts it has planned."""
        usage = _sum_usage([usage_by_team])
        for team, size in planned:
            used = usage.setdefault(team, TeamUsage())
            used.resources, used.tasks = used.resources + size, used.tasks + 1
        with self.lock:
            self._usage_by_shard[shard] = usage

    def remove(self, shard: int) -> None:
        """Remove a shard that this entry no longer owns."""
        with self.lock:
            self._usage_by_shard.pop(shard, None)


def is_over_quota(
    quota: QuotaConfig, size: Resources, used: TeamUsage, part: float
) -> bool:
    """Return whether one more task of a team would exceed the entry's part.

    A team without tasks may start any one that fits the whole quota.
    """
    if not used.tasks and not exceeds_alone(quota, size):
        return False
    return _exceeds(quota, used.resources + size, used.tasks + 1, part)


def exceeds_alone(quota: QuotaConfig, size: Resources) -> bool:
    """Return whether a task can never start because it exceeds the whole quota."""
    return _exceeds(quota, size, 1, 1.0)


def _exceeds(quota: QuotaConfig, wanted: Resources, tasks: int, part: float) -> bool:
    """Return whether a total exceeds a part of the quota; limits of 0 do not apply."""
    return (
        0 < quota.cores * part < wanted.cores
        or 0 < quota.memory_gb * part < wanted.memory_gb
        or 0 < quota.accelerators * part < wanted.accelerators
        or 0 < quota.tasks * part < tasks
    )


def _sum_usage(usages: list[dict[str, TeamUsage]]) -> dict[str, TeamUsage]:
    total: dict[str, TeamUsage] = {}
    for usage_by_team in usages:
        for team, usage in usage_by_team.items():
            sum_ = total.setdefault(team, TeamUsage())
            sum_.resources = sum_.resources + usage.resources
            sum_.tasks += usage.tasks
    return total
