"""Objects that the shards of one entry share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from pollenkeel_entry.batch.decisions import DecisionRecord
from pollenkeel_entry.batch.hints import CapacityHints, StartRamp
from pollenkeel_entry.batch.ownership import Ownership
from pollenkeel_entry.batch.quota import QuotaTable
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
