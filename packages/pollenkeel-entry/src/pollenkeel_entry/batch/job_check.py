"""Validation of submitted jobs."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable, Iterator
from typing import Any

import xxhash
from result import Err, Ok, Result

from pollenkeel_entry.batch.events import JobSubmitted
from pollenkeel_entry.batch.records import TaskSpec
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.core.refusal import Refusal

#: Limits the size of a task, so that it fits in one log row beside other events.
MAX_COMMAND_BYTES = 8_000
MAX_TASKS_PER_JOB = 100_000
#: msgpack, the format of messages and log rows, has no integers beyond 64 bits.
MAX_ACCELERATORS = 1_000_000
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_ID_DESCRIPTION = "1 to 128 letters, digits, '.', '_' or '-', first a letter or digit"

#: Test of a field's value, and a description of the valid values.
_Check = tuple[Callable[[Any], bool], str]


def _is_id(value: Any) -> bool:
    return isinstance(value, str) and _ID.fullmatch(value) is not None


def _is_amount(value: Any) -> bool:
    # A larger integer cannot be converted to a float.
    return type(value) in (int, float) and 0 <= value <= sys.float_info.max


def _is_command(value: Any) -> bool:
    # JSON may hold lone surrogates, which cannot be encoded.
    return (
        isinstance(value, str)
        and not any("\ud800" <= character <= "\udfff" for character in value)
        and 0 < len(value.encode()) <= MAX_COMMAND_BYTES
    )


def _is_task_list(value: Any) -> bool:
    return isinstance(value, list) and 0 < len(value) <= MAX_TASKS_PER_JOB


_IDENTIFIER: _Check = (_is_id, _ID_DESCRIPTION)
_AMOUNT: _Check = (_is_amount, "a finite number, 0 or more")
_JOB_FIELDS: dict[str, _Check] = {
    "job_id": _IDENTIFIER,
    "team": _IDENTIFIER,
    "kind": _IDENTIFIER,
    "deadline": (_is_amount, "a point in time in seconds, or 0 for none"),
    "urgent": (lambda value: type(value) is bool, "true or false"),
    "tasks": (_is_task_list, f"a list of 1 to {MAX_TASKS_PER_JOB} tasks"),
}
_TASK_FIELDS: dict[str, _Check] = {
    "task_id": _IDENTIFIER,
    "command": (_is_command, f"text of 1 to {MAX_COMMAND_BYTES} bytes"),
    "resources": (lambda value: isinstance(value, dict), "a mapping"),
    "run_time": _AMOUNT,
}
_RESOURCE_FIELDS: dict[str, _Check] = {
    "cores": _AMOUNT,
    "memory_gb": _AMOUNT,
    "accelerators": (
        lambda value: type(value) is int and 0 <= value <= MAX_ACCELERATORS,
        f"a whole number from 0 to {MAX_ACCELERATORS}",
    ),
}


def parse_job(
    body: bytes, teams: list[str], now: float
) -> Result[JobSubmitted, Refusal]:
    """Validate a submitted job.

    Parameters
    ----------
    body : bytes
        JSON text.
    teams : list[str]
        Names of the configured teams; empty if any team is allowed.
    now : float
        Time of submission.

    Returns
    -------
    Result[JobSubmitted, Refusal]
        ``BAD_JOB`` with the first 5 faults, each with field, value and valid values.
    """
    try:
        raw = parse_json(body)
    except ValueError as error:
        return Err(Refusal(Code.BAD_JOB, f"not JSON: {error}"[:200]))
    faults = [
        fault for fault, _ in zip(_find_faults(raw, teams), range(5), strict=False)
    ]
    if faults:
        return Err(Refusal(Code.BAD_JOB, "; ".join(faults)))
    canonical = json.dumps(raw, sort_keys=True).encode()
    return Ok(
        JobSubmitted(
            raw["job_id"],
            raw["team"],
            raw["kind"],
            float(raw["deadline"]),
            raw["urgent"],
            xxhash.xxh3_128_hexdigest(canonical),
            now,
            0,
            [_make_task(task) for task in raw["tasks"]],
        )
    )


def _make_task(raw: dict[str, Any]) -> TaskSpec:
    sizes = raw["resources"]
    size = Resources(
        float(sizes["cores"]), float(sizes["memory_gb"]), sizes["accelerators"]
    )
    return TaskSpec(raw["task_id"], raw["command"], size, float(raw["run_time"]))


def _find_faults(raw: Any, teams: list[str]) -> Iterator[str]:
    faults = list(_check_fields(raw, _JOB_FIELDS, "job"))
    yield from faults
    if faults:
        return
    if teams and raw["team"] not in teams:
        choices = ", ".join(sorted(teams)[:20])
        yield f"job.team: {raw['team']!r}; choices: {choices}"
    seen: set[str] = set()
    for index, task in enumerate(raw["tasks"]):
        path = f"job.tasks[{index}]"
        task_faults = list(_check_fields(task, _TASK_FIELDS, path))
        yield from task_faults
        if task_faults:
            continue
        yield from _check_fields(
            task["resources"], _RESOURCE_FIELDS, f"{path}.resources"
        )
        if task["task_id"] in seen:
            yield f"{path}.task_id: {task['task_id']!r} occurs twice in the job"
        seen.add(task["task_id"])


def _check_fields(raw: Any, fields: dict[str, _Check], path: str) -> Iterator[str]:
    if not isinstance(raw, dict):
        yield f"{path}: {raw!r:.60}; expected a mapping of {', '.join(fields)}"
        return
    for name in raw.keys() - fields.keys():
        yield f"{path}.{name!s:.60}: unknown field; choices: {', '.join(fields)}"
    for name, (check, choices) in fields.items():
        if name not in raw:
            yield f"{path}.{name}: missing; expected {choices}"
        elif not check(raw[name]):
            yield f"{path}.{name}: {raw[name]!r:.60}; expected {choices}"
