"""Encoding and decoding of jobs and their progress as rows of the table service."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, cast

import attrs
import msgpack

from pollenkeel_jobs.core.model import (
    Job,
    JobState,
    JobStatus,
    StepTasks,
    Task,
    TaskState,
)
from pollenkeel_jobs.core.run_copies import restore_copy
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec

#: Version of the progress rows of jobs that have not ended. Earlier rows have no
#: version and a list of all tasks instead.
_PROGRESS_VERSION = 2
#: Number of fields of such a row.
_HEAD_FIELDS = 6
#: Index of the copy among the fields of a task's earlier runs.
_COPY_FIELD = 4
#: Number of consecutive tasks of a step, and of consecutive occurrences, that are on
#: the same page.
_BLOCK_SIZE = 16


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


def _encode_history(task: Task, runners: dict[str, int]) -> list[Any]:
    """Return the fields of earlier runs, up to the last one that has a value.

    The copy is one of them. ``runners`` has the indexes of the page's runners; that of
    the copy is added to it.
    """
    fields: list[Any] = [
        sorted(task.crashed_on),
        task.acquitted_through,
        sorted(task.unheard_runs),
        sorted(task.crashed_at_once),
        _encode_copy(task, runners),
    ]
    while fields and not fields[-1]:
        fields.pop()
    return fields


def _encode_copy(task: Task, runners: dict[str, int]) -> list[int]:
    """Return the run and the runner of a task's copy.

    Of an earlier copy it is the run alone, and nothing if a later run was placed.
    """
    if task.copy is not None:
        runner = runners.setdefault(task.copy.runner, len(runners))
        return [task.copy.run, runner]
    return [task.copied_run] if 0 < task.copied_run >= task.run else []


def _apply_copy(task: Task, fields: list[int], runners: list[str]) -> None:
    """Restore a task's copy from its run and its runner."""
    if not fields:
        return
    run, *runner = fields
    _check_count("run of a copy", run, task.run)
    task.copied_run = run
    if not runner:
        return
    if len(runner) > 1 or task.state is not TaskState.PLACED or run == task.run:
        raise ValueError(f"copy {fields!r:.40} of run {task.run!r:.40}")
    _check_count("runner of a copy", runner[0], 0)
    incarnation = _check_text("runner of a copy", runners[runner[0]])
    restore_copy(task, run, incarnation)


def _apply_history(
    task: Task,
    crashed_on: Iterable[object] = (),
    acquitted_through: int = 0,
    unheard_runs: Iterable[int] = (),
    crashed_at_once: Iterable[object] = (),
) -> None:
    _check_count("acquitted_through", acquitted_through, 0)
    for run in unheard_runs:
        _check_count("unheard run", run, 1)
    task.crashed_on = _check_workers(crashed_on)
    task.acquitted_through = acquitted_through
    task.unheard_runs = frozenset(unheard_runs)
    task.crashed_at_once = _check_workers(crashed_at_once)


def _check_workers(workers: Iterable[object]) -> frozenset[str]:
    return frozenset(_check_text("crashed worker", worker) for worker in workers)


def _check_text(name: str, value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{name} is {value!r:.40}; expected a string")
    return value


def _check_seconds(name: str, value: object) -> None:
    if type(value) not in (int, float) or not 0 <= cast(float, value) < math.inf:
        raise ValueError(f"{name} is {value!r:.40}; expected a finite number >= 0")


def encode_progress(job: Job) -> bytes:
    """Return a job's progress as one value, whatever its size.

    The value of an ended job has its status, whether it was cancelled and, if there is
    one, the code of the error that stopped it. Other values have a list of pages, see
    ``encode_pages``.
    """
    pages = [] if job.status.final else encode_pages(job, 1)
    return encode_progress_head(job, pages)


def encode_progress_head(job: Job, pages: int | list[bytes]) -> bytes:
    """Return the row value of a job's progress without the tasks.

    Parameters
    ----------
    job : Job
        The job.
    pages : int or list of bytes
        Number of the pages with the tasks, or these pages if they are part of the row.
    """
    fields: list[object] = [job.status.value, job.cancelled]
    if not job.status.final:
        fields += [job.started, _PROGRESS_VERSION, job.next_occurrence, pages]
    elif job.failure_code:
        fields.append(job.failure_code)
    return bytes(msgpack.packb(fields))


def encode_pages(job: Job, count: int) -> list[bytes]:
    """Return the tasks of a job that are not done, distributed over pages.

    A page has

    - a list of runners, to which tasks refer by index,
    - the occurrences without a task that was ever placed, as ranges,
    - a record of each step of the other occurrences: the occurrence, the step,
      ``StepTasks.next_index``, the tasks that were never placed, as ranges, and the
      other tasks.

    A range is a first value and a length. All lower occurrences and indices that no
    page has are done, so the pages of a job are only valid together. The place of a
    task depends only on its key, so that a change of one task changes one page.
    """
    pages = [_PageEncoder() for _ in range(count)]
    for occurrence in dict.fromkeys(key[0] for key in job.tasks_by_step):
        first = occurrence // _BLOCK_SIZE
        steps = job.list_steps(occurrence)
        if all(map(_is_untouched, steps)):
            _append_to_ranges(pages[first % count].untouched, occurrence)
        elif not job.is_occurrence_done(occurrence):
            for tasks in steps:
                pages[first % count].get_record(tasks)
                for task in tasks:
                    block = first + task.key.index // _BLOCK_SIZE
                    pages[block % count].add(tasks, task)
    return [page.encode() for page in pages]


def _is_untouched(tasks: StepTasks) -> bool:
    """Return whether none of the tasks of a step was ever placed."""
    return len(tasks) == tasks.next_index and not any(map(_has_progress, tasks))


def _has_progress(task: Task) -> bool:
    return bool(
        task.run
        or task.failures
        or task.checkpoint
        or task.crashed_on
        or task.acquitted_through
        or task.unheard_runs
    )


def _append_to_ranges(ranges: list[int], number: int) -> None:
    """Add the next number to a list of ranges, each a first number and a length."""
    if ranges and ranges[-2] + ranges[-1] == number:
        ranges[-1] += 1
    else:
        ranges += [number, 1]


def _iter_ranges(ranges: list[int], end: int) -> Iterator[int]:
    """Yield the numbers of ranges; raise ValueError unless they are below ``end``."""
    for first, length in zip(ranges[::2], ranges[1::2], strict=True):
        if not 0 <= first < first + length <= end:
            raise ValueError(f"range of {length!r:.40} from {first!r:.40}")
        yield from range(first, first + length)


@attrs.define
class _PageEncoder:
    """Collects the content of one page, see ``encode_pages``."""

    runners: dict[str, int] = attrs.field(factory=dict)
    untouched: list[int] = attrs.field(factory=list)
    records_by_step: dict[tuple[int, int], list[Any]] = attrs.field(factory=dict)

    def get_record(self, tasks: StepTasks) -> list[Any]:
        """Return the record of a step, added if needed."""
        key = (tasks.occurrence, tasks.number)
        record = self.records_by_step.get(key)
        if record is None:
            record = self.records_by_step[key] = [*key, tasks.next_index, [], []]
        return record

    def add(self, tasks: StepTasks, task: Task) -> None:
        """Add a task unless it is done."""
        if task.state is TaskState.DONE:
            return
        unplaced, rows = self.get_record(tasks)[3:]
        if not _has_progress(task):
            _append_to_ranges(unplaced, task.key.index)
            return
        runner = self.runners.setdefault(task.runner, len(self.runners))
        row = [task.key.index, int(task.state), task.run, task.failures, runner]
        history = _encode_history(task, self.runners)
        rows.append([*row, task.checkpoint, *history])

    def encode(self) -> bytes:
        """Return the page."""
        records = list(self.records_by_step.values())
        return bytes(msgpack.packb([list(self.runners), self.untouched, records]))


def join_pages(head: bytes, pages_by_number: Mapping[int, bytes]) -> bytes:
    """Return a job's progress as one value from its row and the rows of its pages.

    Raises
    ------
    RecordError
        If a page is missing.
    """
    try:
        fields = msgpack.unpackb(head)
        if len(fields) != _HEAD_FIELDS or type(fields[-1]) is not int:
            return head
        fields[-1] = [pages_by_number[number] for number in range(fields[-1])]
        return bytes(msgpack.packb(fields))
    except Exception as error:
        raise RecordError(f"pages of progress: {error!r}") from error


def decode_status(value: bytes) -> JobStatus:
    """Return the status in a progress row.

    Raises
    ------
    RecordError
        If the row is malformed.
    """
    return decode_state(value).status


def decode_state(value: bytes) -> JobState:
    """Return the state of the job in a progress row.

    Raises
    ------
    RecordError
        If the row is malformed.
    """
    try:
        fields = msgpack.unpackb(value)
        status = JobStatus(fields[0])
        return JobState(status, int(fields[2]) if fields[2:] and status.final else 0)
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
        if fields[2:]:
            _check_count("failure code", fields[2], 0)
            job.failure_code = fields[2]
        return
    if isinstance(fields[3], list):
        job.started, runners, steps = fields[2:]
        _apply_steps_without_version(job, runners, steps)
    else:
        job.started, version, job.next_occurrence, pages = fields[2:]
        if version != _PROGRESS_VERSION:
            raise ValueError(f"version {version!r:.40}; expected {_PROGRESS_VERSION}")
        _apply_pages(job, pages)
        # All pages are written again at the first change.
        job.page_digests = (0,) * len(pages) if len(pages) > 1 else ()
    for tasks in job.tasks_by_step.values():
        tasks.create_next()


def _apply_pages(job: Job, pages: list[bytes]) -> None:
    _check_count("next occurrence", job.next_occurrence, 0)
    for page in pages:
        runners, untouched, records = msgpack.unpackb(page)
        for occurrence in _iter_ranges(untouched, job.next_occurrence):
            job.restore_occurrence(occurrence)
        for record in records:
            _apply_record(job, record, runners)


def _apply_record(job: Job, record: list[Any], runners: list[str]) -> None:
    occurrence, step, next_index, unplaced, rows = record
    if not 0 <= occurrence < job.next_occurrence:
        raise ValueError(f"occurrence {occurrence!r:.40} is not added")
    if (occurrence, step) not in job.tasks_by_step:
        job.restore_occurrence(occurrence)
    tasks = job.tasks_by_step[occurrence, step]
    if not 0 <= next_index <= tasks.spec.count:
        raise ValueError(f"next index {next_index!r:.40} is out of range")
    tasks.next_index = next_index
    for index in _iter_ranges(unplaced, next_index):
        tasks.create(index)
    for index, *fields in rows:
        if not 0 <= index < next_index:
            raise ValueError(f"index {index!r:.40} is out of range")
        _apply_task(tasks.create(index), fields, runners)


def _apply_steps_without_version(
    job: Job, runners: list[str], steps: list[Any]
) -> None:
    """Restore the steps of a row without a version, which has all tasks."""
    for occurrence, step, rows in steps:
        if (occurrence, step) not in job.tasks_by_step:
            job.restore_occurrence(occurrence)
            job.next_occurrence = max(job.next_occurrence, occurrence + 1)
        tasks = job.tasks_by_step[occurrence, step]
        tasks.next_index = tasks.spec.count
        indexes = range(tasks.spec.count)
        for index, fields in zip(indexes, rows, strict=True):
            if fields[0] != TaskState.DONE:
                _apply_task(tasks.create(index), fields, runners)
    occurrences = sorted({occurrence for occurrence, _ in job.tasks_by_step})
    if occurrences != list(range(job.next_occurrence)):
        raise ValueError("an occurrence is missing")
    for occurrence in occurrences:
        if job.is_occurrence_done(occurrence):
            job.drop_occurrence(occurrence)


def _apply_task(task: Task, fields: list[Any], runners: list[str]) -> None:
    state, run, failures, runner, checkpoint, *history = fields
    copies = history[_COPY_FIELD:]
    _check_count("run", run, 0)
    _check_count("failures", failures, 0)
    task.state = TaskState(state)
    task.run, task.failures = run, failures
    task.runner = _check_text("runner", runners[runner])
    task.checkpoint = _check_text("checkpoint", checkpoint)
    _apply_history(task, *history[:_COPY_FIELD])
    for copy in copies[:1]:
        _apply_copy(task, copy, runners)
    if copies[1:]:
        raise ValueError(f"unknown fields {copies[1:]!r:.40}")


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
