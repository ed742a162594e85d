"""Prometheus metrics of the job scheduler.

The help texts are part of the metrics output and keep older terms: filling tasks are
best-effort tasks, serving tasks are latency-critical tasks, and a pace is the speed cap
of a task. A run that was put back is one whose task was requeued. A task's turn is the
time at which it became ready.
"""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from pollenkeel_kernel.core.metrics import LATENCY_BUCKETS, REGISTRY

JOBS_SUBMITTED = Counter(
    "pollenkeel_jobs_submitted",
    "Jobs that clients have handed in, by result code.",
    ["code"],
    registry=REGISTRY,
)
ANNOUNCEMENTS = Counter(
    "pollenkeel_worker_announcements",
    "Announcements of workers, by what the agent made of them.",
    ["result"],
    registry=REGISTRY,
)
RUNS_PLACED = Counter(
    "pollenkeel_runs_placed", "Runs that were placed on a VM.", registry=REGISTRY
)
CLOSED_WORKER_STARTS = Counter(
    "pollenkeel_closed_worker_starts",
    "Runs that were placed on a worker in quarantine, as no other could run them.",
    registry=REGISTRY,
)
RUNS_ENDED = Counter(
    "pollenkeel_runs_ended", "Runs that ended, by how.", ["how"], registry=REGISTRY
)
FAILURES_NOT_COUNTED = Counter(
    "pollenkeel_failures_not_counted",
    "Failed runs that do not count against their worker, as no other could run them.",
    registry=REGISTRY,
)
RUNS_LOST = Counter(
    "pollenkeel_runs_lost",
    "Runs that were put back, by cause.",
    ["cause"],
    registry=REGISTRY,
)
RUN_COPIES = Counter(
    "pollenkeel_run_copies",
    "Copies of slow runs, by what became of them: started; won and superseded, by"
    " which run was done first; lost; promoted, if the original was lost.",
    ["event"],
    registry=REGISTRY,
)
LONG_RUNNING_CRASHES = Counter(
    "pollenkeel_long_running_crashes",
    "Crashes of workers under lasting tasks that are retried alone for it.",
    registry=REGISTRY,
)
WAIT_SECONDS = Histogram(
    "pollenkeel_task_wait_seconds",
    "Time from a task's turn to its placement.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
EXPECTED_WAIT_SECONDS = Gauge(
    "pollenkeel_expected_wait_seconds",
    "Expected wait of a new job for its first start; none if it is short.",
    ["service", "priority"],
    registry=REGISTRY,
)
KEPT_ROOMS = Counter(
    "pollenkeel_kept_rooms",
    "Times that room on a VM was kept for a waiting task, by how that ended.",
    ["outcome"],
    registry=REGISTRY,
)
IDLE_JOBS = Gauge(
    "pollenkeel_idle_jobs",
    "Jobs with a task that waits for a VM and without a run.",
    registry=REGISTRY,
)
LONGEST_IDLE_SECONDS = Gauge(
    "pollenkeel_longest_idle_seconds",
    "Longest time for which a job has had a waiting task and no run.",
    registry=REGISTRY,
)
UNREADABLE_JOBS = Gauge(
    "pollenkeel_unreadable_jobs",
    "Jobs that the leader leaves out because their record cannot be read.",
    registry=REGISTRY,
)
LEASE_GIVEN_UP = Counter(
    "pollenkeel_lease_given_up",
    "Leases given up to another entry, by reason: stop, capacity or store.",
    ["reason"],
    registry=REGISTRY,
)
COMMIT_SECONDS = Histogram(
    "pollenkeel_commit_seconds",
    "Duration of the leader's transactions, with their retries.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
JOBS_ENDED = Counter(
    "pollenkeel_jobs_ended", "Jobs that ended.", ["queue", "status"], registry=REGISTRY
)
JOB_OBJECTIVE_RATIO = Histogram(
    "pollenkeel_job_objective_ratio",
    "Time of a job that is done, as a multiple of its objective.",
    ["queue"],
    buckets=(0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0),
    registry=REGISTRY,
)
AGENT_DECISION_ERRORS = Counter(
    "pollenkeel_agent_decision_errors",
    "Decisions of the agent that failed with an unexpected error.",
    ["decision"],
    registry=REGISTRY,
)
BEST_EFFORT_CORES = Gauge(
    "pollenkeel_filling_cores",
    "Cores of the filling tasks of a VM: declared, allowed by their pace, in use.",
    ["what"],
    registry=REGISTRY,
)
SERVING_PRESSURE = Gauge(
    "pollenkeel_serving_pressure",
    "Highest tail latency of a VM's serving tasks, as a multiple of its target.",
    registry=REGISTRY,
)
