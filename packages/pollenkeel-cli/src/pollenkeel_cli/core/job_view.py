"""Flattens jobs and scheduling decisions into rows for tables."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from pollenkeel_kernel.core.codes import SUMMARY_BY_CODE, find_code

_MISSING_VALUE = "-"


def flatten_job(job: dict[str, Any]) -> dict[str, Any]:
    """Return a job with one flat row for each task and each decision.

    Parameters
    ----------
    job : dict
        Response of ``/v1/jobs/<job_id>`` or ``/v1/explain/<job_id>``.

    Returns
    -------
    dict
        The same keys; ``tasks`` holds flat rows, and ``decisions`` is added if the
        tasks have any.
    """
    tasks = job.get("tasks")
    if not isinstance(tasks, list):
        return job
    flat = {**job, "tasks": [_make_task_row(task) for task in tasks]}
    decisions = list(_make_decision_rows(tasks))
    return {**flat, "decisions": decisions} if decisions else flat


def _make_task_row(task: dict[str, Any]) -> dict[str, Any]:
    attempt = task.get("attempt") or {}
    code = find_code(int(task.get("code", 0)))
    return {
        "task": (task.get("spec") or {}).get(
            "task_id", task.get("key", _MISSING_VALUE)
        ),
        "state": task.get("state", _MISSING_VALUE),
        "vm": attempt.get("vm", _MISSING_VALUE),
        "attempts": task.get("attempts", 0),
        "failures": task.get("failures", 0),
        "code": code.value,
        "detail": task.get("detail") or "",
    }


def _make_decision_rows(tasks: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yield a row for each decision, by task and then in order of time."""
    for task in tasks:
        row = _make_task_row(task)
        for decision in task.get("decisions") or []:
            code = find_code(int(decision.get("code", 0)))
            yield {
                "task": row["task"],
                "decided_at": decision.get("at", 0.0),
                "action": decision.get("action", _MISSING_VALUE),
                "vm": decision.get("vm") or _MISSING_VALUE,
                "code": code.value,
                "reason": decision.get("reason") or SUMMARY_BY_CODE[code],
            }
