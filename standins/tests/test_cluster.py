"""Tests of starting, stopping and restarting processes."""

import os
import subprocess
import sys

import pytest
import urllib3

from pollenkeel_kernel import SystemClock
from pollenkeel_standins.cluster import Cluster, wait_until


def process_exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def start_task(cluster, worker, command):
    now = SystemClock().now()
    body = {
        "kind": "k",
        "team": "t",
        "command": command,
        "resources": {},
        "start_before": now + 30,
        "lease_until": now + 60,
    }
    assert cluster.call(worker, "PUT", "/v1/tasks/a/1", body)[0] == 201


def test_processes_are_killed_after_an_error(tmp_path):
    """Guards against processes, also frozen ones, that are left behind by a test."""
    with pytest.raises(ZeroDivisionError), Cluster(tmp_path) as cluster:
        process = cluster.platform()
        process.freeze()
        raise ZeroDivisionError
    assert not process_exists(process.pid)


def test_processes_are_killed_with_their_parent(tmp_path):
    """Guards against processes left behind by a test run that was killed."""
    code = (
        "import os, pathlib, sys\n"
        "from pollenkeel_standins.cluster import Cluster\n"
        "process = Cluster(pathlib.Path(sys.argv[1])).platform()\n"
        "print(process.pid, flush=True)\n"
        "os._exit(1)\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path)], capture_output=True, text=True
    )
    pid = int(run.stdout)
    wait_until(lambda: not process_exists(pid), 10)


def test_fault_switches_and_restart_at_the_same_url(tmp_path):
    """Guards against ignored switches, unclean stops and restarts on another port."""
    with Cluster(tmp_path) as cluster:
        platform = cluster.platform(writes_per_second=100)
        assert cluster.set_faults(platform, down="refuse")["down"] == "refuse"
        assert cluster.call(platform, "GET", "/tables/t/rows/k")[0] == 503
        with pytest.raises(ValueError, match="unknown key"):
            cluster.set_faults(platform, nothing=1)
        url = platform.url
        assert platform.stop() == 0
        assert cluster.restart("platform").url == url


def test_freeze_and_thaw(tmp_path):
    """Guards against a frozen process that still answers, or stays frozen."""
    with Cluster(tmp_path) as cluster:
        platform = cluster.platform()
        platform.freeze()
        pool = urllib3.PoolManager(retries=False, timeout=0.3)
        with pytest.raises(urllib3.exceptions.HTTPError):
            pool.request("GET", platform.url + "/record")
        platform.thaw()
        assert cluster.get_record(platform)["counts"] == {}


def test_record_survives_a_kill(tmp_path):
    """Guards against executions lost from the record by a kill or restart."""
    with Cluster(tmp_path) as cluster:
        worker = cluster.worker("vm-1", object_store="")
        start_task(cluster, worker, "run 60")
        worker.kill()
        (killed,) = cluster.executions("worker-vm-1")
        assert killed.outcome == "killed"
        assert killed.end == worker.ended_at
        restarted = cluster.restart("worker-vm-1")
        start_task(cluster, restarted, "run 0")
        wait_until(lambda: cluster.executions("worker-vm-1")[-1].outcome == "done", 20)
        assert len(cluster.executions("worker-vm-1")) == 2


def test_failed_start_shows_the_log(tmp_path):
    """Guards against a failed start without its cause in the error."""
    with Cluster(tmp_path) as cluster:
        with pytest.raises(RuntimeError, match="no-such-option"):
            cluster.platform(no_such_option=1)
