"""Counters and histograms of the agent."""

from __future__ import annotations

from prometheus_client import Counter, Histogram

from pollenkeel_kernel.core.metrics import LATENCY_BUCKETS, REGISTRY

DISPATCHES = Counter(
    "pollenkeel_agent_dispatches",
    "Dispatched attempts by result code.",
    ["code"],
    registry=REGISTRY,
)
UPSTREAM_SECONDS = Histogram(
    "pollenkeel_agent_upstream_seconds",
    "Duration of calls of upstreams.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
SLOTS_ORPHANED = Counter(
    "pollenkeel_agent_slots_orphaned",
    "Upstream calls whose end was not seen; their slots stay reserved.",
    registry=REGISTRY,
)
UPSTREAM_POOLS_REPLACED = Counter(
    "pollenkeel_agent_upstream_pools_replaced",
    "Pools of upstream connections given up after a call without an answer.",
    registry=REGISTRY,
)
QUERIES = Counter(
    "pollenkeel_agent_queries",
    "Queries about earlier attempts by the state found.",
    ["state"],
    registry=REGISTRY,
)
EXCHANGES = Counter(
    "pollenkeel_agent_task_exchanges",
    "Task exchanges with shard owners by result code.",
    ["code"],
    registry=REGISTRY,
)
TASK_STARTS = Counter(
    "pollenkeel_agent_task_starts",
    "Task starts by result code.",
    ["code"],
    registry=REGISTRY,
)
TASKS_ENDED = Counter(
    "pollenkeel_agent_tasks_ended",
    "Attempts that ended on the worker by state.",
    ["state"],
    registry=REGISTRY,
)
WORKER_CALLS = Counter(
    "pollenkeel_agent_worker_calls",
    "Calls of the worker by operation and HTTP status (0 without an answer).",
    ["operation", "status"],
    registry=REGISTRY,
)
INTERFERENCE_ACTIONS = Counter(
    "pollenkeel_agent_interference_actions",
    "Actions of the interference control by kind.",
    ["kind"],
    registry=REGISTRY,
)
ANNOUNCEMENTS = Counter(
    "pollenkeel_agent_announcements",
    "Announcements to entries by result code.",
    ["code"],
    registry=REGISTRY,
)
