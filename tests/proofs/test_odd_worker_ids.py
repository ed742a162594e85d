"""Heartbeats under odd ids: real processes against stand-ins."""

import itertools

import pytest
import urllib3

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.processes import wait_until

TASKS = 12
STEPS = [{"Count": TASKS, "Cpu": 480, "MemMb": 200, "EstimateMs": 800}]
VMS = 3
#: Work of a task that outlasts the lease of a worker without polls, in seconds.
LONG_WORK_SECONDS = 7.0


def copy_heartbeat(site, worker_id):
    """Send the own heartbeat of the first runner again under another id."""
    body = wait_until(
        lambda: site._read_raw_record(0, 2.0)["heartbeat"], 20.0, "heartbeat"
    )
    url = f"{site._register_urls[0]}/api/instances/{worker_id}/heartbeat"
    return urllib3.PoolManager(retries=False).request("POST", url, json=body)


@pytest.mark.parametrize("worker_id", ["i-%E2%82%AC", "%20i-0", "%20"])
def test_heartbeat_under_an_odd_id_ends_no_sound_run(worker_id, tmp_path):
    """Guards against an id that ends the polls, or that the worker takes for its own.

    No header can hold the first one; spaces around an id are stripped from a header.
    """
    with JobSite(tmp_path, vms=VMS) as site:
        site.submit("during", STEPS, f"run {LONG_WORK_SECONDS}")
        wait_until(lambda: len(site.read_runs()) == TASKS, 20.0, "all tasks run")
        assert copy_heartbeat(site, worker_id).status == 400
        site.wait_for_state("during", "done")
        for number in range(VMS):
            site.submit(f"after-{number}", STEPS, "run 0.5")
        for number in range(VMS):
            site.wait_for_state(f"after-{number}", "done")
        runs = site.read_runs()
        tasks = sorted(run["task"] for run in runs)
        assert [pair for pair in itertools.pairwise(tasks) if len({*pair}) == 1] == []
        used = {run["runner"] for run in runs if run["task"].startswith("after")}
        assert used == set(range(VMS))
