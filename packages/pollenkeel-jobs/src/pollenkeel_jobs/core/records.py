"""Encoding and decoding of jobs and their progress as rows of the table service."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, cast

import attrs
import msgpack

from pollenkeel_jobs.core.model import (
    Demand,
    Job,
    JobSpec,
    JobStatus,
    QueuePolicy,
    StepSpec,
    Task,
    TaskState,
)


class RecordError(Exception):
    """A row cannot be decoded."""


def encode_job(spec: JobSpec) -> bytes:
    """Return the row value of a submitted job.

    The first field is the time of acceptance. Earlier versions wrote 1 there.
    """
    steps = [_encode_step(step) for step in spec.steps]
    queue = attrs.astuple(spec.queue)
    times = [spec.occurrences, spec.first_at, spec.interval]
    return bytes(
        msgpack.packb(
            [spec.accepted_at, spec.job_id, queue, spec.payload, steps, times]
        )
    )


def decode_job(value: bytes) -> JobSpec:
    """Return the job stored in a row.

    Raises
    ------
    RecordError
        If the row is malformed.
    """
    try:
        accepted_at, job_id, queue, payload, steps, times = msgpack.unpackb(value)
        occurrences, first_at, interval = times
        spec = JobSpec(
            job_id,
            QueuePolicy(*queue),
            payload,
            tuple(_decode_step(step) for step in steps),
            occurrences,
            first_at,
            interval,
            0.0 if accepted_at == 1 else accepted_at,
        )
        _check_job(spec)
        return spec
    except Exception as error:
        raise RecordError(f"job row: {error}") from error


def _check_job(spec: JobSpec) -> None:
    """Raise ValueError if the scheduler cannot work with a job."""
    _check_count("occurrences", spec.occurrences, 0)
    _check_seconds("first_at", spec.first_at)
    _check_seconds("interval", spec.interval)
    _check_seconds("accepted_at", spec.accepted_at)
    for number, step in enumerate(spec.steps):
        _check_count("count", step.count, 1)
        _check_count("cpu", step.demand.cpu, 0)
        _check_count("memory", step.demand.memory, 0)
        _check_count("accelerators", step.demand.accelerators, 0)
        _check_count("spread_limit", step.spread_limit, 0)
        _check_seconds("estimate", step.estimate)
        _check_seconds("latency_target", step.latency_target)
        if not all(type(i) is int and 0 <= i < number for i in step.after):
            raise ValueError(
                f"after of step {number} is {step.after!r:.40}; "
                "expected indexes of prior steps"
            )


def _check_count(name: str, value: object, least: int) -> None:
    if type(value) is not int or value < least:
        raise ValueError(f"{name} is {value!r:.40}; expected an integer >= {least}")


def _encode_crashes(task: Task) -> list[Any]:
    if task.acquitted_through:
        return [sorted(task.crashed_on), task.acquitted_through]
    return [sorted(task.crashed_on)] if task.crashed_on else []


def _decode_crashes(
    workers: Iterable[object] = (), acquitted_through: int = 0
) -> tuple[set[str], int]:
    _check_count("acquitted_through", acquitted_through, 0)
    return {_check_text("crashed worker", w) for w in workers}, acquitted_through


def _check_text(name: str, value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{name} is {value!r:.40}; expected a string")
    return value


def _check_seconds(name: str, value: object) -> None:
    if type(value) not in (int, float) or not 0 <= cast(float, value) < math.inf:
        raise ValueError(f"{name} is {value!r:.40}; expected a finite number >= 0")


def encode_progress(job: Job) -> bytes:
    """Return the row value of a job's progress.

    The row of an ended job holds only its status and whether it was cancelled. In other
    rows, tasks refer to their runner by its index in a list, and only tasks that were
    suspected of crashes have a list of these and the run up to which none counts.
    """
    if job.status.final:
        return bytes(msgpack.packb([job.status.value, job.cancelled]))
    runners: dict[str, int] = {}
    steps = []
    for (occurrence, step), tasks in job.tasks_by_step.items():
        rows = [
            [
                int(task.state),
                task.run,
                task.failures,
                runners.setdefault(task.runner, len(runners)),
                task.checkpoint,
                *_encode_crashes(task),
            ]
            for task in tasks
        ]
        steps.append([occurrence, step, rows])
    return bytes(
        msgpack.packb(
            [job.status.value, job.cancelled, job.started, list(runners), steps]
        )
    )


def decode_status(value: bytes) -> JobStatus:
    """Return the status in a progress row.

    Raises
    ------
    RecordError
        If the row is malformed.
    """
    try:
        return JobStatus(msgpack.unpackb(value)[0])
    except Exception as error:
        raise RecordError(f"progress row: {error}") from error


def apply_progress(job: Job, value: bytes) -> None:
    """Restore a job's progress from its row.

    Raises
    ------
    RecordError
        If the row is malformed.
    """
    try:
        _apply_fields(job, msgpack.unpackb(value))
    except Exception as error:
        raise RecordError(f"progress row of {job.spec.job_id}: {error}") from error


def _apply_fields(job: Job, fields: list[Any]) -> None:
    job.status = job.recorded_status = JobStatus(fields[0])
    job.cancelled = bool(fields[1])
    if job.status.final:
        return
    job.started, runners, steps = fields[2:]
    for occurrence, step, rows in steps:
        if not job.has_occurrence(occurrence):
            job.add_occurrence(occurrence)
        for task, row in zip(job.tasks_by_step[occurrence, step], rows, strict=True):
            state, run, failures, runner, checkpoint, *crashes = row
            _check_count("run", run, 0)
            _check_count("failures", failures, 0)
            task.state = TaskState(state)
            task.run, task.failures = run, failures
            task.runner = _check_text("runner", runners[runner])
            task.checkpoint = _check_text("checkpoint", checkpoint)
            task.crashed_on, task.acquitted_through = _decode_crashes(*crashes)


def _encode_step(step: StepSpec) -> dict[str, Any]:
    fields: dict[str, Any] = {"d": attrs.astuple(step.demand)}
    for field in attrs.fields(StepSpec):
        value = getattr(step, field.name)
        if field.name != "demand" and value != field.default:
            fields[field.name] = value
    return fields


def _decode_step(fields: dict[str, Any]) -> StepSpec:
    demand = Demand(*fields.pop("d"))
    after = tuple(fields.pop("after", ()))
    return StepSpec(demand=demand, after=after, **fields)
