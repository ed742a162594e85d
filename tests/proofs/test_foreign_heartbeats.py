"""Heartbeats of another writer: real processes against stand-ins."""

import itertools
import threading
import time

import pytest
import urllib3

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.processes import wait_until

TASKS = 12
STEPS = [{"Count": TASKS, "Cpu": 480, "MemMb": 200, "EstimateMs": 800}]
#: Pause between two heartbeats of the other writer, in seconds.
FOREIGN_INTERVAL_SECONDS = 0.7
FOREIGN_COUNT = 3
FAR_SEQUENCE = 10**6
HEARTBEAT = {
    "Backend": "desk",
    "Address": "127.0.0.1:1",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 0},
    "Labels": ["a", "r1"],
    "ClockMs": 1000,
    "Seq": FAR_SEQUENCE,
}

#: Changes to a heartbeat of the runner that make it one of another writer.
FOREIGN = {
    "later-born-unnamed-service": {"Backend": "foreign", "born_ahead": 1},
    "same-born-unnamed-service": {"Backend": "foreign"},
    "later-born": {"born_ahead": 1},
    "same-born-without-slots": {"Slots": None, "Backend": "foreign"},
    "unnamed-state": {"State": "asleep", "born_ahead": 1},
}


class ForeignWriter:
    """Sends heartbeats in the name of a runner to the agent of its VM."""

    def __init__(self, site, number):
        settings = site._settings_by_name[f"agent-{number}"]
        self._url = f"http://{settings['register_address']}"
        self._id = f"i-{number}"
        self._born = wait_until(lambda: self._find_born(site, number), 20.0, "runner")

    def _find_born(self, site, number):
        for line in site.processes_by_name[f"agent-{number}"].log_lines():
            if line.get("event") == "worker started":
                return int(line["worker"].partition("~")[2])
        return 0

    def send(self, born_ahead=0, **changes):
        now_ms = int(time.time() * 1000)
        born = now_ms if born_ahead else self._born
        body = {**HEARTBEAT, **changes, "born": born}
        url = f"{self._url}/api/instances/{self._id}/heartbeat"
        return urllib3.PoolManager(retries=False).request("POST", url, json=body)


def count_overlaps(runs):
    """Return pairs of runs of a task that overlap or of which the first was done."""
    runs_by_task = {}
    for run in sorted(runs, key=lambda run: run["start"]):
        runs_by_task.setdefault(run["task"], []).append(run)
    return [
        (before, after)
        for task_runs in runs_by_task.values()
        for before, after in itertools.pairwise(task_runs)
        if before["how"] == "done" or after["start"] < before["end"]
    ]


@pytest.mark.parametrize("changes", FOREIGN.values(), ids=FOREIGN)
def test_heartbeat_of_another_writer_ends_no_sound_run(changes, tmp_path):
    """Guards against a heartbeat that ends the use of a VM or starts tasks twice."""
    with JobSite(tmp_path) as site:
        site.submit("first", STEPS, "run 0.2")
        site.wait_for_state("first", "done")
        writer = ForeignWriter(site, 0)
        stop = threading.Event()

        def disturb():
            for _ in range(FOREIGN_COUNT):
                writer.send(**changes)
                stop.wait(FOREIGN_INTERVAL_SECONDS)

        sender = threading.Thread(target=disturb)
        site.submit("during-0", STEPS, "run 1.5")
        site.wait_for_state("during-0", "running")
        sender.start()
        for number in range(1, 4):
            site.submit(f"during-{number}", STEPS, "run 0.8")
        sender.join()
        for number in range(4):
            site.wait_for_state(f"during-{number}", "done")
        for number in range(3):
            site.submit(f"after-{number}", STEPS, "run 0.5")
        for number in range(3):
            site.wait_for_state(f"after-{number}", "done")
        runs = site.read_runs()
        assert count_overlaps(runs) == []
        used = {run["runner"] for run in runs if run["task"].startswith("after")}
        assert used == {0, 1, 2}
