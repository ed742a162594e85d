"""Objects shared by all parts of one entry."""

from __future__ import annotations

import threading

import attrs

from pollenkeel_entry.core.config_source import ConfigSource
from pollenkeel_entry.core.membership import AgentTable
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.settings import EntrySettings
from pollenkeel_kernel.store.base import Backend


@attrs.frozen
class EntryContext:
    """Shared objects of an entry; every part of the entry receives the context.

    ``stopping`` is set when the graceful shutdown begins.
    """

    settings: EntrySettings
    clock: Clock
    backend: Backend
    agents: AgentTable
    config: ConfigSource
    dump: StateDump
    stopping: threading.Event = attrs.field(factory=threading.Event)
