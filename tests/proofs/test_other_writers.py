"""Heartbeats that another writer sends for a runner: it names no runner to use.

The checks use the runners' records: each task runs once, and all runners stay in use.
"""

import time
from collections import Counter

import pytest

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.other_writer import FORGERIES_BY_NAME

VMS = 3
#: A VM has room for 5 of these tasks, so a job needs all VMs.
STEPS = [{"Count": 12, "Cpu": 800, "MemMb": 200, "EstimateMs": 1000}]
REPEATS, INTERVAL_SECONDS = 3, 0.7


@pytest.mark.parametrize("name", FORGERIES_BY_NAME)
def test_heartbeats_of_another_writer_change_nothing(name, tmp_path):
    """Guards against foreign heartbeats that replace a runner or make it unusable."""
    with JobSite(tmp_path, vms=VMS) as site:
        site.submit("meanwhile", STEPS, "run 3.0")
        site.wait_for_state("meanwhile", "running")
        for _ in range(REPEATS):
            site.send_foreign_heartbeats(0, name)
            # Spreads the heartbeats over several polls; no result waits for it.
            time.sleep(INTERVAL_SECONDS)
        site.wait_for_state("meanwhile", "done")
        site.submit("after", STEPS, "run 1.0")
        site.wait_for_state("after", "done")
        runs = site.read_runs()
        counts = Counter(run["task"] for run in runs)
        assert {task: n for task, n in counts.items() if n > 1} == {}
        in_use = {run["runner"] for run in runs if run["task"].startswith("after")}
        assert in_use == set(range(VMS))
