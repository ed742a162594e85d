"""Time from a change of the leader to its first start, and of the start of an entry.

Run with ``PYTHONPATH=standins .venv/bin/python benchmarks/leader_change.py``. Each
round stops the leading entry of a small site with waiting tasks and starts it again,
first all rounds with SIGTERM, then all with SIGKILL. Times are in seconds after the
successor's log line ``became leader``; that of the process is from its start to its
ready line.
"""

from __future__ import annotations

import statistics
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.processes import wait_until

VMS = 4
ROUNDS = 3
JOBS = 80
STEPS = [{"Count": 48, "Cpu": 500, "MemMb": 10, "EstimateMs": 500}]


def parse_time(line: dict[str, Any]) -> float:
    """Return the time of a log line in seconds since the Unix epoch."""
    return datetime.fromisoformat(line["time"]).replace(tzinfo=UTC).timestamp()


def find_times(site: JobSite, entry: int, event: str, after: float) -> list[float]:
    """Return the times at which an entry has logged an event after a point in time."""
    lines = site.processes_by_name[f"entry-{entry}"].log_lines()
    times = [parse_time(line) for line in lines if line.get("event") == event]
    return [at for at in times if at >= after]


def change_leader(site: JobSite, kill: bool) -> dict[str, float]:
    """Stop the leader and return the times of its successor."""
    before = site.find_leader()
    process = site.processes_by_name[f"entry-{before}"]
    stopped_at = time.time()
    process.kill() if kill else process.terminate()
    other = 1 - before
    led_at = wait_until(
        lambda: find_times(site, other, "became leader", stopped_at), 20.0
    )[-1]
    wait_until(lambda: find_times(site, other, "task placed", led_at), 20.0)
    process.wait()
    started_at = time.time()
    site.restart(f"entry-{before}")
    ready_at = time.time()
    run_starts = [r["start"] for r in site.read_runs() if r["start"] > led_at]
    return {
        "loaded": find_times(site, other, "state loaded", led_at)[0] - led_at,
        "placed": find_times(site, other, "task placed", led_at)[0] - led_at,
        "first start": min(run_starts) - led_at,
        "process": ready_at - started_at,
    }


def main() -> None:
    """Print the times of each change and their medians."""
    for kill in (False, True):
        rows = []
        with (
            tempfile.TemporaryDirectory() as directory,
            JobSite(Path(directory), entries=2, vms=VMS) as site,
        ):
            for number in range(JOBS):
                site.submit(f"job-{number}", STEPS, "run 0.5")
            for _ in range(ROUNDS):
                rows.append(change_leader(site, kill))
                time.sleep(1.0)
        print("SIGKILL" if kill else "SIGTERM")
        for name in rows[0]:
            values = [row[name] for row in rows]
            listed = " ".join(f"{value:.3f}" for value in values)
            print(f"  {name:12} median {statistics.median(values):.3f}: {listed}")


if __name__ == "__main__":
    main()
