"""Prometheus metrics of the request path."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from pollenkeel_kernel.core.metrics import LATENCY_BUCKETS, REGISTRY

REQUESTS = Counter(
    "pollenkeel_requests",
    "Requests of callers by service and result code.",
    ["service", "code"],
    registry=REGISTRY,
)
REQUEST_SECONDS = Histogram(
    "pollenkeel_request_seconds",
    "Time from the arrival of a request to its answer or refusal.",
    ["service"],
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
WAIT_SECONDS = Histogram(
    "pollenkeel_slot_wait_seconds",
    "Time that a request waited for a free slot.",
    ["service", "team"],
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
ATTEMPTS = Counter(
    "pollenkeel_attempts",
    "Attempts sent to agents by service and result code.",
    ["service", "code"],
    registry=REGISTRY,
)
RETRIES_DENIED = Counter(
    "pollenkeel_retries_denied",
    "Retries and hedges not made because the retry budget was used up.",
    ["service"],
    registry=REGISTRY,
)
HEDGES = Counter(
    "pollenkeel_hedges",
    "Second attempts sent because the first was slow.",
    ["service"],
    registry=REGISTRY,
)
CLAIMS = Counter(
    "pollenkeel_claims",
    "Results of claims: new, taken-over, replayed, unknown, refused.",
    ["result"],
    registry=REGISTRY,
)
ANSWERS_UNSTORED = Counter(
    "pollenkeel_answers_unstored",
    "Answers of keyed requests that could not be stored in time.",
    registry=REGISTRY,
)
CLAIMS_DELETED = Counter(
    "pollenkeel_claims_deleted",
    "Claims deleted after their retention.",
    registry=REGISTRY,
)
WAITING = Gauge(
    "pollenkeel_waiting_requests",
    "Requests that wait for a free slot.",
    registry=REGISTRY,
)
