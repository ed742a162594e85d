"""Loss of power of all VMs at the same moment, with a learnt state to load.

Real processes against stand-ins of the platform. The runners lose all runs, and the
ends that no leader has recorded.
"""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import msgpack
import pytest

from pollenkeel_jobs.core.names import INTERFERENCE, INTERFERENCE_KEY, LEADER_PARTITION
from pollenkeel_jobs.core.tables import RowWrite, Transaction
from pollenkeel_platform.store import PlatformTables
from pollenkeel_standins.job_site import JobSite

#: Seconds from the return of the VMs within which accepted jobs are at work or done.
RECOVERY_SECONDS = 12.0
IMAGES = 40
LASTING = [
    {
        "Count": 2,
        "Cpu": 700,
        "MemMb": 100,
        "LongRunning": True,
        "Image": "serving-0",
        "TargetMs": 50.0,
    }
]
BEST_EFFORT = [
    {
        "Count": 3,
        "Cpu": 1000,
        "MemMb": 100,
        "EstimateMs": 2000,
        "Fills": True,
        "Image": "filling-0",
    }
]
ORDINARY = [
    {"Count": 3, "Cpu": 300, "MemMb": 100, "EstimateMs": 1000},
    {"Count": 1, "Cpu": 300, "MemMb": 100, "EstimateMs": 1000, "After": [0]},
]
GANG = [{"Count": 2, "Cpu": 300, "MemMb": 100, "EstimateMs": 1000, "Gang": True}]
STEPS_BY_KIND = {
    "lasting": LASTING,
    "best-effort": BEST_EFFORT,
    "ordinary": ORDINARY,
    "gang": GANG,
}
SPEC_BY_KIND = {"lasting": "run 600"}
JOBS_OF_A_KIND = 3


def submit_all(site):
    """Submit the jobs of all kinds; return their ids."""
    job_ids = []
    for number, kind in itertools.product(range(JOBS_OF_A_KIND), STEPS_BY_KIND):
        job_id = f"{kind}-{number}"
        site.submit(job_id, STEPS_BY_KIND[kind], SPEC_BY_KIND.get(kind, "run 2"))
        job_ids.append(job_id)
    return job_ids


def write_weights(site):
    """Write the weights that an earlier leader has learned for many images."""
    weights = [(f"filling-{number}", 17.0) for number in range(IMAGES)]
    rows = [(f"serving-{number}", weights) for number in range(IMAGES)]
    store = site.processes_by_name["store"].url.removeprefix("http://")
    write = RowWrite(INTERFERENCE, INTERFERENCE_KEY, msgpack.packb([2, rows]))
    written = PlatformTables(store).transact(
        Transaction(LEADER_PARTITION, (), (write,))
    )
    assert written.is_ok()


def cut_power(site, vms, new_ids):
    """Kill all processes but the store at once, and start them again together."""
    runner_ids = [f"i-new-{number}" if new_ids else "" for number in range(vms)]
    names = [
        name for name in site.processes_by_name if name.startswith(("entry", "agent"))
    ]
    with ThreadPoolExecutor(len(names) + vms) as pool:
        kills = [pool.submit(site.processes_by_name[name].kill) for name in names]
        kills += [pool.submit(site.crash_runner, number) for number in range(vms)]
        for kill in kills:
            kill.result()
        write_weights(site)
        starts = [pool.submit(site.restart, name) for name in names]
        starts += [
            pool.submit(site.restart_runner, number, 0.5, runner_id)
            for number, runner_id in enumerate(runner_ids)
        ]
        for start in starts:
            start.result()


def check_runs(runs):
    """Check that the runs of each task do not overlap, and none follows a noted end."""
    runs_by_task = {}
    for run in sorted(runs, key=lambda run: run["start"]):
        runs_by_task.setdefault(run["task"], []).append(run)
    for task_runs in runs_by_task.values():
        for before, after in itertools.pairwise(task_runs):
            assert not (before["how"] == "done" and before["noted"]), (before, after)
            assert before["end"] <= after["start"], (before, after)


def find_idle_jobs(site, job_ids, returned_at):
    """Return the open jobs without a run since the return, and lasting ones down."""
    runs = site.read_runs()
    idle = []
    for job_id in job_ids:
        if site.find_state(job_id) == "done":
            continue
        own = [run for run in runs if run["task"].startswith(f"{job_id}.")]
        if job_id.startswith("lasting"):
            at_work = sum(run["how"] == "running" for run in own) == LASTING[0]["Count"]
        else:
            at_work = any(run["end"] > returned_at for run in own)
        if not at_work:
            idle.append(job_id)
    return idle


@pytest.mark.parametrize("new_ids", [False, True])
@pytest.mark.parametrize("seconds", [0.0, 0.15, 1.0])
def test_all_vms_lose_power_at_the_same_moment(seconds, new_ids, tmp_path):
    """Guards against accepted jobs that are not taken up again within the bound (LOST).

    A job was accepted, a job cancelled and a configuration changed ``seconds`` before.
    The runners come back under their old ids or under new ones.
    """
    with JobSite(tmp_path, entries=3, vms=3) as site:
        job_ids = submit_all(site)
        site.submit("cancelled", ORDINARY, "run 60")
        site.wait_for_state("cancelled", "running")
        site.write_config(2)
        assert site.call("DELETE", "cancelled", 0).status == 200
        site.submit("latest", ORDINARY, "run 1")
        # The loss follows at a given moment, whatever has been done by then.
        time.sleep(seconds)
        cut_power(site, 3, new_ids)
        returned_at = time.time()
        job_ids.append("latest")
        # The bound itself: what is at work is looked at when it has passed.
        time.sleep(RECOVERY_SECONDS)
        assert find_idle_jobs(site, job_ids, returned_at) == []
        assert site.find_state("cancelled") == "cancelled"
        for job_id in job_ids:
            if not job_id.startswith("lasting"):
                site.wait_for_state(job_id, "done")
        runs = site.read_runs()
        check_runs(runs)
        assert not any(
            run["task"].startswith("cancelled.") and run["how"] == "running"
            for run in runs
        )
