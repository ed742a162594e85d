"""Counters and histograms of the scheduler."""

from __future__ import annotations

from prometheus_client import Counter, Histogram

from pollenkeel_kernel.core.metrics import LATENCY_BUCKETS, REGISTRY

JOBS_SUBMITTED = Counter(
    "pollenkeel_jobs_submitted",
    "Jobs that clients have handed in, by result code.",
    ["code"],
    registry=REGISTRY,
)
RUNS_PLACED = Counter(
    "pollenkeel_runs_placed", "Runs that were placed on a VM.", registry=REGISTRY
)
RUNS_ENDED = Counter(
    "pollenkeel_runs_ended", "Runs that ended, by how.", ["how"], registry=REGISTRY
)
RUNS_LOST = Counter(
    "pollenkeel_runs_lost",
    "Runs that were put back, by cause.",
    ["cause"],
    registry=REGISTRY,
)
WAIT_SECONDS = Histogram(
    "pollenkeel_task_wait_seconds",
    "Time from a task's turn to its placement.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
COMMIT_SECONDS = Histogram(
    "pollenkeel_commit_seconds",
    "Duration of the leader's transactions, with their retries.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
