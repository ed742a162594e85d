"""Objects that the shards of one entry share, and those of one shard."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from pollenkeel_entry.batch.decisions import DecisionRecord
from pollenkeel_entry.batch.hints import CapacityHints, StartRamp
from pollenkeel_entry.batch.log import ShardLog
from pollenkeel_entry.batch.ownership import Lease, Ownership
from pollenkeel_entry.batch.quota import QuotaTable
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.policy.quarantine import Quarantine
from pollenkeel_kernel.policy.run_time import RunTimeModel


@attrs.frozen
class ShardServices:
    """Objects shared by the shards of one entry.

    ``wake`` starts the next exchange with an agent without delay, and ``is_silent``
    returns whether an agent leaves heartbeats unanswered; both take an agent id.
    ``run_times_by_name`` holds the run-time models in use by plug-in name.
    """

    ownership: Ownership
    hints: CapacityHints
    ramp: StartRamp
    quarantine: Quarantine
    decisions: DecisionRecord
    quota: QuotaTable
    wake: Callable[[str], None]
    is_silent: Callable[[str], bool]
    run_times_by_name: dict[str, RunTimeModel] = attrs.field(factory=dict)


@attrs.frozen
class OwnedShard:
    """Objects that the components of a shard share while this entry owns it.

    Attributes
    ----------
    context : EntryContext
        Shared objects of the entry.
    lease : Lease
        Ownership lease, renewed by the manager.
    log : ShardLog
        Log of the shard after its recovery.
    services : ShardServices
        Objects shared with the entry's other shards.
    """

    context: EntryContext
    lease: Lease
    log: ShardLog
    services: ShardServices
