"""More than 500 runs end on each runner while the store refuses all calls."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployment import (
    CannotRun,
    Site,
    find_doubled_tasks,
    has_trouble,
    make_job_id,
    run_case,
)

VMS, TASKS = 2, 1600
WORK_SECONDS = 12.0
SETTLE_SECONDS = 3.0
#: Length of the outage, in seconds.
DOWN_SECONDS = 2.5
#: Time from the begin of the outage to the first of these ends, in seconds.
LEAD_SECONDS = 0.2


def play(site: Site) -> str:
    """Return what broke the rule, or an empty string."""
    site.start_store()
    site.write_config(1, {"plans": {}})
    for number in range(2):
        site.start_entry(f"entry-{number}", "kingston")
    for number in range(VMS):
        site.start_vm(str(number))
    site.wait_until_serving("plans")
    # The leader finds a new VM within about a second.
    time.sleep(SETTLE_SECONDS)
    job = make_job_id()
    step = {"Count": TASKS, "Cpu": 50, "MemMb": 100, "EstimateMs": 12_000}
    if not site.submit("plans", job, {"s": WORK_SECONDS}, [step]):
        raise CannotRun("the job is not accepted")
    starts = wait_for_starts(site, job, TASKS)
    # The outage covers the ends of as many runs as it can.
    most = max(starts, key=lambda at: sum(0 <= t - at < DOWN_SECONDS for t in starts))
    time.sleep(max(0.0, most + WORK_SECONDS - LEAD_SECONDS - time.time()))
    if has_trouble():
        site.set_store_busy(True)
        time.sleep(DOWN_SECONDS)
        site.set_store_busy(False)
    state = site.wait_for_state("plans", job, {"done", "failed"}, 40.0)
    site.note(f"the job is {state}")
    time.sleep(2.0)
    return find_doubled_tasks(site)


def wait_for_starts(site: Site, job: str, count: int) -> list[float]:
    """Wait until so many tasks have started; return the times of their starts."""
    ends_at = time.time() + 30.0
    while time.time() < ends_at:
        starts = [
            row["t"]
            for row in site.read_runs()
            if row["event"] == "start" and row["task"].startswith(job)
        ]
        if len(starts) >= count:
            return starts
        time.sleep(0.2)
    raise CannotRun("the tasks do not start")


if __name__ == "__main__":
    run_case(__file__, play)
