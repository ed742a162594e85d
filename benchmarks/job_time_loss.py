"""Splits the time of jobs by cause, using the log lines of the leader's decisions.

Run with ``python benchmarks/job_time_loss.py LOG...``. A log holds the standard output
of all entries; text before the JSON object of a line is ignored. For jobs with
best-effort tasks (printed as "filling") and for other jobs, a table shows how they
ended and how the last task of each step spent its time.
"""

from __future__ import annotations

import datetime
import json
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

#: Causes in the order of the table. ``slow``: time lost to throttling; ``moved``,
#: ``failed`` and ``lost``: time of runs that were stopped, failed or were lost.
CAUSES = ("waiting", "moved", "failed", "lost", "slow", "work")


@attrs.define
class _TaskTime:
    """Seconds of one task by cause; ``work`` is the time of a run at full speed."""

    seconds_by_cause: dict[str, float] = attrs.field(
        factory=lambda: dict.fromkeys(CAUSES, 0.0)
    )
    placed_at: float = 0.0
    done_at: float = 0.0
    moves: int = 0


@attrs.define
class _JobTime:
    """Times and tasks of one job; ``fills``: it has best-effort tasks."""

    accepted_at: float
    fills: bool = False
    ended_at: float = 0.0
    status: str = ""
    tasks_by_step: dict[str, dict[str, _TaskTime]] = attrs.field(
        factory=lambda: defaultdict(lambda: defaultdict(_TaskTime))
    )


def read_lines(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the JSON lines of logs, with their Unix time added as ``at``."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as log:
            for text in log:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:  # interleaved with the output of another process
                    continue
                if "event" not in line or "time" not in line:
                    continue
                moment = datetime.datetime.fromisoformat(line["time"])
                line["at"] = moment.timestamp()
                yield line


def collect_jobs(lines: Iterable[dict[str, Any]]) -> dict[str, _JobTime]:
    """Return the jobs by ID, with the time of their tasks by cause."""
    jobs: dict[str, _JobTime] = {}
    for line in lines:
        event = line["event"]
        if event == "job taken":
            jobs.setdefault(line["job"], _JobTime(line["at"]))
        elif event == "job ended" and line["job"] in jobs:
            jobs[line["job"]].ended_at = line["at"]
            jobs[line["job"]].status = line["status"]
        elif event in ("task placed", "run ended", "run lost"):
            job_id, _, step, index = line["task"].split(".")
            job = jobs.get(job_id)
            if job is not None:
                job.fills = job.fills or line.get("use") is not None
                _add_time(job.tasks_by_step[step][index], line)
    return jobs


def _add_time(task: _TaskTime, line: dict[str, Any]) -> None:
    """Add the time that a log line reports to its cause."""
    seconds = task.seconds_by_cause
    if line["event"] == "task placed":
        task.placed_at = line["at"]
        seconds["waiting"] += line["waited"]
        return
    if not task.placed_at:
        return
    ran = line["at"] - task.placed_at
    if line["event"] == "run lost":
        seconds["lost"] += ran
    elif line["how"] == "done":
        share = min(1.0, line.get("use") or 1.0)
        seconds["work"] += ran * share
        seconds["slow"] += ran * (1.0 - share)
        task.done_at = line["at"]
    elif line["how"] == "stopped":
        seconds["moved"] += ran
        task.moves += 1
    else:
        seconds["failed"] += ran
    task.placed_at = 0.0


def find_last_task(tasks: dict[str, _TaskTime]) -> _TaskTime:
    """Return the task of a step that ended last."""
    return max(tasks.values(), key=lambda task: task.done_at)


def print_kind(kind: str, jobs: list[_JobTime]) -> None:
    """Print the final states of the jobs of a kind and their mean seconds by cause."""
    done = [job for job in jobs if job.status == "done"]
    not_done_by_status: dict[str, int] = defaultdict(int)
    for job in jobs:
        if job.status != "done":
            not_done_by_status[job.status or "not ended"] += 1
    print(f"{kind}: {len(jobs)} jobs, {len(done)} done, {dict(not_done_by_status)}")
    if not done:
        return
    times = sorted(job.ended_at - job.accepted_at for job in done)
    print(
        f"  seconds: half {statistics.median(times):.1f}, "
        f"9 of 10 {times[int(0.9 * (len(times) - 1))]:.1f}"
    )
    totals = dict.fromkeys(CAUSES, 0.0)
    moves = 0
    for job in done:
        for tasks in job.tasks_by_step.values():
            last = find_last_task(tasks)
            moves += last.moves
            for cause, seconds in last.seconds_by_cause.items():
                totals[cause] += seconds
    shares = ", ".join(f"{cause} {totals[cause] / len(done):.2f}" for cause in CAUSES)
    print(f"  last task of each step, seconds a job: {shares}")
    print(f"  moves of these tasks a job: {moves / len(done):.2f}")


def main(paths: list[str]) -> None:
    """Print the tables for logs."""
    jobs = [job for path in paths for job in collect_jobs(read_lines([path])).values()]
    print_kind("filling", [job for job in jobs if job.fills])
    print_kind("other", [job for job in jobs if not job.fills])


if __name__ == "__main__":
    main(sys.argv[1:])
