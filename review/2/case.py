"""A runner crashes and starts again under the Id that it had."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from deployment import Site, find_doubled_tasks, has_trouble, make_job_id, run_case

VMS = 7
#: Jobs before, during and after the crash; one each ``JOB_INTERVAL_SECONDS``.
JOBS_BEFORE, JOBS_MEANWHILE, JOBS_AFTER = 16, 10, 16
#: Tasks of a job, and their work in seconds.
TASKS, WORK_SECONDS = 3 * VMS, 2.0
JOB_INTERVAL_SECONDS = 0.3
FIRST_HEARTBEAT_SECONDS = float(os.environ.get("FIRST_HEARTBEAT", "1.5"))


def play(site: Site) -> str:
    """Return what broke the rule, or an empty string."""
    site.start_store()
    site.write_config(1, {"quotes": {}})
    for number in range(2):
        site.start_entry(f"entry-{number}", "kingston")
    for number in range(VMS):
        labels = f"a,r{number // 3}"
        site.start_vm(
            str(number), labels=labels, first_heartbeat=FIRST_HEARTBEAT_SECONDS
        )
    site.wait_until_serving("quotes")
    jobs = [submit(site) for _ in range(JOBS_BEFORE)]
    if has_trouble():
        site.kill("runner-0")
    jobs += [submit(site) for _ in range(JOBS_MEANWHILE)]
    if has_trouble():
        site.restart("runner-0")
    jobs += [submit(site) for _ in range(JOBS_AFTER)]
    for job in jobs:
        site.wait_for_state("quotes", job, {"done", "failed"}, 15.0)
    time.sleep(2.0)
    return find_doubled_tasks(site)


def submit(site: Site) -> str:
    """Hand in a job of short tasks, about three a runner."""
    job = make_job_id()
    step = {"Count": TASKS, "Cpu": 960, "MemMb": 1900, "EstimateMs": 2000}
    site.submit("quotes", job, {"s": WORK_SECONDS}, [step])
    time.sleep(JOB_INTERVAL_SECONDS)
    return job


if __name__ == "__main__":
    run_case(__file__, play)
