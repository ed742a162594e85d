"""Invariants of a soak run, checked on clients' replies and runners' records."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import Any

from soak.clients import SoakJob

Run = dict[str, Any]

#: Tolerance in seconds for the rounding of recorded times.
_ROUNDING = 0.05
#: Seconds after the reply to a cancellation during which an unreachable agent may still
#: start tasks: the longest lease of a worker.
_CANCEL_SECONDS = 6.2
#: Seconds after its acceptance within which every entry must show a job.
_VISIBILITY_SECONDS = 3.0
#: Capacity of a runner in thousandths of a core.
CAPACITY = 4000
#: Failed runs of one task after which its job fails, as configured by ``JobSite``.
_ATTEMPTS = 3


def find_violations(runs: list[Run], jobs_by_id: Mapping[str, SoakJob]) -> list[str]:
    """Return a line for each violated invariant."""
    runs_by_task: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run["start"]):
        runs_by_task[run["task"]].append(run)
    return [
        *_find_repeated_runs(runs_by_task, jobs_by_id),
        *_find_early_starts(runs_by_task, jobs_by_id),
        *_find_unexpected_runs(runs_by_task, jobs_by_id),
        *_find_overloaded_runners(runs, jobs_by_id),
        *_find_wrong_states(jobs_by_id),
        *_find_unfounded_failures(runs_by_task, jobs_by_id),
    ]


def _find_repeated_runs(
    runs_by_task: Mapping[str, list[Run]], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    # ``noted``: the end of the run was acknowledged before its lease lapsed.
    for task, runs in runs_by_task.items():
        if _may_have_copies(task, jobs_by_id):
            # A copy may start before an order for the original that is late.
            numbers = [run["run"] for run in runs]
            if len(set(numbers)) < len(numbers):
                yield f"run number used twice: {runs}"
            continue
        for before, after in itertools.pairwise(runs):
            if before["end"] > after["start"] + _ROUNDING:
                yield f"two runs at a time: {before} and {after}"
            if before["how"] == "done" and before["noted"]:
                yield f"run after an acknowledged end: {before} and {after}"
            if before["run"] >= after["run"]:
                yield f"run numbers do not increase: {before} and {after}"


def _may_have_copies(task: str, jobs_by_id: Mapping[str, SoakJob]) -> bool:
    job_id, _, step, _ = task.split(".")
    job = jobs_by_id.get(job_id)
    return job is not None and job.steps[int(step)].get("Speculative", False)


def _find_early_starts(
    runs_by_task: Mapping[str, list[Run]], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    for task, runs in runs_by_task.items():
        job_id, occurrence, step, _ = task.split(".")
        job = jobs_by_id.get(job_id)
        for number in job.steps[int(step)].get("After", []) if job else []:
            for index in range(job.steps[number]["Count"]):
                earlier = runs_by_task.get(
                    f"{job_id}.{occurrence}.{number}.{index}", []
                )
                ends = [run["end"] for run in earlier if run["how"] == "done"]
                if not ends or min(ends) > runs[0]["start"] + _ROUNDING:
                    yield f"start before a step it depends on was done: {runs[0]}"


def _find_unexpected_runs(
    runs_by_task: Mapping[str, list[Run]], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    for task, runs in runs_by_task.items():
        job = jobs_by_id.get(task.split(".")[0])
        if job is None:
            yield f"run of a job that was never submitted: {task}"
        elif job.refused_at and not job.accepted_at:
            yield f"rejected as not run, but it ran: {runs[0]}"
        elif job.cancelled_at:
            late = job.cancelled_at + _CANCEL_SECONDS
            yield from (
                f"start after the cancellation at {job.cancelled_at}: {run}"
                for run in runs
                if run["start"] > late
            )


def _find_overloaded_runners(
    runs: list[Run], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    changes: dict[int, list[tuple[float, int, str]]] = defaultdict(list)
    for run in runs:
        job_id, _, step, _ = run["task"].split(".")
        job = jobs_by_id.get(job_id)
        cpu = job.steps[int(step)].get("Cpu", 0) if job else 0
        changes[run["runner"]].append((run["start"] + _ROUNDING, cpu, run["task"]))
        changes[run["runner"]].append((run["end"], -cpu, run["task"]))
    for runner, rows in changes.items():
        used = 0
        for at, cpu, task in sorted(rows):
            used += cpu
            if used > CAPACITY:
                yield f"runner {runner} has {used} of {CAPACITY} at {at}: {task}"


def _find_wrong_states(jobs_by_id: Mapping[str, SoakJob]) -> Iterator[str]:
    for job in jobs_by_id.values():
        finals = {state for state in job.states if state not in ("queued", "running")}
        if len(finals) > 1:
            yield f"{job.job_id} was shown as {finals}"
        if job.accepted_at and job.unknown_at > job.accepted_at + _VISIBILITY_SECONDS:
            yield f"{job.job_id} was accepted and is not found"
        if job.accepted_at and "cancelled" in finals and not job.cancels:
            yield f"{job.job_id} was shown as cancelled without a cancellation"


def _find_unfounded_failures(
    runs_by_task: Mapping[str, list[Run]], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    # No task of these jobs crashes a runner, so only failed runs are a cause.
    failures_by_job: dict[str, int] = defaultdict(int)
    for task, runs in runs_by_task.items():
        job_id = task.split(".")[0]
        failures = sum(run["how"] == "failed" for run in runs)
        failures_by_job[job_id] = max(failures_by_job[job_id], failures)
    for job in jobs_by_id.values():
        if "failed" in job.states and failures_by_job[job.job_id] < _ATTEMPTS:
            yield (
                f"shown as failed without cause: {job.job_id} after"
                f" {failures_by_job[job.job_id]} failed runs"
            )
