"""Prometheus registry and the metrics shared by all roles."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, ProcessCollector

REGISTRY = CollectorRegistry()
ProcessCollector(registry=REGISTRY)

LATENCY_BUCKETS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)

MESSAGES_REFUSED = Counter(
    "pollenkeel_messages_refused",
    "Messages from peers refused before they reached a handler.",
    ["code"],
    registry=REGISTRY,
)
PEER_REDIALS = Counter(
    "pollenkeel_peer_redials",
    "Connections to peers replaced after missed heartbeats.",
    registry=REGISTRY,
)
STORE_CALLS = Counter(
    "pollenkeel_store_calls",
    "Calls of the table service and the object store.",
    ["operation", "code"],
    registry=REGISTRY,
)
STORE_SECONDS = Histogram(
    "pollenkeel_store_seconds",
    "Duration of calls of the table service and the object store.",
    ["operation"],
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
