"""Promises that a soak checks, from what clients saw and runners truly ran."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import Any

from soak.clients import SoakJob

Run = dict[str, Any]

#: Differences of the record's times that are rounding, in seconds.
_ROUNDING = 0.05
#: Seconds after the reply to a cancellation until which tasks may still start where an
#: agent cannot be reached: the longest lease of a worker.
_CANCEL_SECONDS = 6.2
#: Seconds after its acceptance from which every entry shows a job.
_VISIBLE_SECONDS = 3.0
_CAPACITY = 4000


def find_violations(runs: list[Run], jobs_by_id: Mapping[str, SoakJob]) -> list[str]:
    """Return a line for each broken promise."""
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run["start"]):
        by_task[run["task"]].append(run)
    return [
        *_find_repeats(by_task),
        *_find_order(by_task, jobs_by_id),
        *_find_unasked(by_task, jobs_by_id),
        *_find_overload(runs, jobs_by_id),
        *_find_states(jobs_by_id),
    ]


def _find_repeats(by_task: Mapping[str, list[Run]]) -> Iterator[str]:
    for runs in by_task.values():
        for before, after in itertools.pairwise(runs):
            if before["end"] > after["start"] + _ROUNDING:
                yield f"two runs at a time: {before} and {after}"
            if before["how"] == "done" and before["noted"]:
                yield f"run after a noted end: {before} and {after}"
            if before["run"] >= after["run"]:
                yield f"numbers do not grow: {before} and {after}"


def _find_order(
    by_task: Mapping[str, list[Run]], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    for task, runs in by_task.items():
        job_id, occurrence, step, _ = task.split(".")
        job = jobs_by_id.get(job_id)
        for number in job.steps[int(step)].get("After", []) if job else []:
            for index in range(job.steps[number]["Count"]):
                earlier = by_task.get(f"{job_id}.{occurrence}.{number}.{index}", [])
                ends = [run["end"] for run in earlier if run["how"] == "done"]
                if not ends or min(ends) > runs[0]["start"] + _ROUNDING:
                    yield f"start before the step before was done: {runs[0]}"


def _find_unasked(
    by_task: Mapping[str, list[Run]], jobs_by_id: Mapping[str, SoakJob]
) -> Iterator[str]:
    for task, runs in by_task.items():
        job = jobs_by_id.get(task.split(".")[0])
        if job is None:
            yield f"nobody asked for {task}"
        elif job.refused_at and not job.accepted_at:
            yield f"refused as not run, and it ran: {runs[0]}"
        elif job.cancelled_at:
            late = job.cancelled_at + _CANCEL_SECONDS
            yield from (
                f"start after the cancellation at {job.cancelled_at}: {run}"
                for run in runs
                if run["start"] > late
            )


def _find_overload(runs: list[Run], jobs_by_id: Mapping[str, SoakJob]) -> Iterator[str]:
    changes: dict[int, list[tuple[float, int, str]]] = defaultdict(list)
    for run in runs:
        job_id, _, step, _ = run["task"].split(".")
        job = jobs_by_id.get(job_id)
        cpu = job.steps[int(step)]["Cpu"] if job else 0
        changes[run["runner"]].append((run["start"] + _ROUNDING, cpu, run["task"]))
        changes[run["runner"]].append((run["end"], -cpu, run["task"]))
    for runner, rows in changes.items():
        used = 0
        for at, cpu, task in sorted(rows):
            used += cpu
            if used > _CAPACITY:
                yield f"runner {runner} has {used} of {_CAPACITY} at {at}: {task}"


def _find_states(jobs_by_id: Mapping[str, SoakJob]) -> Iterator[str]:
    for job in jobs_by_id.values():
        finals = {state for state in job.states if state not in ("queued", "running")}
        if len(finals) > 1:
            yield f"{job.job_id} was shown as {finals}"
        if job.accepted_at and job.unknown_at > job.accepted_at + _VISIBLE_SECONDS:
            yield f"{job.job_id} was accepted and is not known"
        if job.accepted_at and "cancelled" in finals and not job.cancels:
            yield f"{job.job_id} was shown as cancelled and nobody cancelled it"
