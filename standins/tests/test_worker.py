"""Contract tests of the worker interface."""

import json

import pytest
import urllib3

from pollenkeel_kernel import SystemClock
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.platform import Platform, PlatformOptions
from pollenkeel_standins.worker import Worker, WorkerOptions

CLOCK = SystemClock()
LIMIT = 20.0


class Client:
    def __init__(self, url, worker):
        self.url = url
        self.worker = worker
        self.pool = urllib3.PoolManager(retries=False, timeout=10.0)

    def call(self, method, path, **body):
        data = json.dumps(body).encode() if body else None
        response = self.pool.request(method, f"{self.url}/v1/{path}", body=data)
        value = json.loads(response.data)
        assert value["now"] > 0
        return response.status, value

    def start(self, task_id="t", attempt=1, command="run 60", **changes):
        body = {
            "kind": "cutting",
            "team": "portmore",
            "command": command,
            "resources": {"cores": 2.0, "memory_gb": 4.0, "accelerators": 0},
            "checkpoint_key": "",
            "start_before": CLOCK.now() + 30,
            "lease_until": CLOCK.now() + 30,
        }
        return self.call("PUT", f"tasks/{task_id}/{attempt}", **{**body, **changes})[0]

    def tasks(self):
        tasks = self.call("GET", "tasks")[1]["tasks"]
        return {(task["task_id"], task["attempt"]): task for task in tasks}

    def state(self, attempt=1):
        return self.tasks()[("t", attempt)]["state"]

    def wait_for_state(self, state, attempt=1):
        wait_until(lambda: self.state(attempt) == state, LIMIT, state)

    def executions(self):
        return self.worker.record()["executions"]


@pytest.fixture
def platform():
    platform = Platform(PlatformOptions())
    platform.url = platform.start(0, 4)
    yield platform
    platform.shut_down()


@pytest.fixture
def open_client(platform):
    workers = []

    def open_one(**options):
        size = Resources(4.0, 16.0, 0)
        worker = Worker(WorkerOptions("vm-1", size, platform.url, **options))
        workers.append(worker)
        return Client(worker.start(0, 8), worker)

    yield open_one
    for worker in workers:
        worker.shut_down()


@pytest.fixture
def client(open_client):
    return open_client()


@pytest.mark.parametrize(
    ("command", "state"), [("run 0.1", "done"), ("fail 0.1", "failed")]
)
def test_completed_tasks_stay_listed_until_deleted(client, command, state):
    """Guards against an outcome that is dropped before the agent has read it."""
    assert client.start(command=command) == 201
    client.wait_for_state(state)
    assert client.call("DELETE", "tasks/t/1")[0] == 200
    assert client.tasks() == {}
    assert client.start(command=command) == 200
    assert [e["outcome"] for e in client.executions()] == [state]


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"start_before": 1.0}, 410),
        ({"resources": {"cores": 5.0}}, 409),
        ({"resources": {"accelerators": 1}}, 409),
        ({"command": "dance"}, 500),
        ({"checkpoint_key": "no-such-object"}, 500),
        ({"lease_until": "soon"}, 400),
    ],
)
def test_rejected_starts_never_run(client, changes, status):
    """Guards against a rejected attempt that is started by a repeated order."""
    assert client.start(**changes) == status
    if status != 400:
        assert client.start() == status
        assert [e["outcome"] for e in client.executions()] == ["refused"]
    assert client.tasks() == {}


def test_one_attempt_of_a_task_at_a_time(client):
    """Guards against concurrent attempts of a task on one VM, and against overload."""
    assert client.start() == 201
    assert client.start() == 200
    assert client.start(attempt=2) == 409
    assert client.start("u", command="run 60") == 201
    assert client.start("v") == 409


def test_start_before_is_read_on_the_workers_clock(open_client):
    """Guards against a late start on a VM whose clock is off."""
    client = open_client(clock_offset=100.0)
    assert client.start(start_before=CLOCK.now() + 90) == 410
    assert client.start(attempt=2, start_before=CLOCK.now() + 110) == 201


def test_task_ends_with_its_lease_which_is_never_shortened(client):
    """Guards against a task that outlives its lease, and a lease that is shortened."""
    lease_until = CLOCK.now() + 0.5
    assert client.start(lease_until=lease_until) == 201
    lease = {"task_id": "t", "attempt": 1, "lease_until": lease_until - 0.4}
    assert client.call("POST", "leases", leases=[lease])[0] == 200
    assert client.tasks()[("t", 1)]["lease_until"] == lease_until
    client.wait_for_state("lapsed")
    assert client.executions()[0]["end"] == pytest.approx(lease_until, abs=0.1)
    lease["lease_until"] = CLOCK.now() + 60
    assert client.call("POST", "leases", leases=[lease])[1]["renewed"] == 0
    assert client.state() == "lapsed"


def test_eviction_resumes_from_the_checkpoint(client):
    """Guards against lost progress and against a task that runs on after eviction."""
    client.start(command="run 2")
    wait_until(lambda: client.tasks()[("t", 1)]["progress"] > 0.2, LIMIT)
    order = {"key": "checkpoints/t", "stop": True}
    assert client.call("POST", "tasks/t/1/checkpoint", **order)[0] == 200
    assert client.call("POST", "tasks/t/1/checkpoint", **order)[0] == 200
    ended = client.tasks()[("t", 1)]
    assert (ended["state"], ended["checkpoint_key"]) == ("evicted", "checkpoints/t")
    resumed = {"command": "run 2", "checkpoint_key": "checkpoints/t"}
    assert client.start(attempt=2, **resumed) == 201
    client.wait_for_state("done", attempt=2)
    first, second = client.executions()
    assert first["end"] <= second["start"]
    done = second["fields"]["resumed_seconds"]
    assert done >= 0.4
    assert second["end"] - second["start"] == pytest.approx(2 - done, abs=0.5)


def test_task_continues_if_the_checkpoint_cannot_be_stored(platform, client):
    """Guards against an eviction without a checkpoint."""
    client.start()
    platform.switches.change({"down": "refuse"}).unwrap()
    order = {"key": "checkpoints/t", "stop": True}
    assert client.call("POST", "tasks/t/1/checkpoint", **order)[0] == 503
    assert client.tasks()[("t", 1)]["checkpoint_key"] == ""
    assert client.state() == "running"


def test_throttle_slows_the_task(client):
    """Guards against a throttle without an effect."""
    client.start(command="run 0.2")
    assert client.call("POST", "tasks/t/1/throttle", share=0.0)[0] == 200
    before = client.tasks()[("t", 1)]["progress"]
    assert client.call("POST", "tasks/t/1/throttle", share=1.5)[0] == 400
    assert client.tasks()[("t", 1)]["progress"] == before
    assert client.call("POST", "tasks/t/1/throttle", share=1.0)[0] == 200
    client.wait_for_state("done")


def test_usage_lags_and_may_differ_from_the_declared_size(open_client):
    """Guards against usage data more timely or exact than the real platform's."""
    client = open_client(usage_lag=0.3)
    client.worker.switches.change({"usage_factor": 1.5}).unwrap()
    client.start()
    task = client.tasks()[("t", 1)]
    assert task["usage"]["cores"] == 0.0
    wait_until(lambda: client.tasks()[("t", 1)]["usage"]["cores"] == 3.0, LIMIT)
    assert client.tasks()[("t", 1)]["resources"]["cores"] == 2.0


def test_repeated_starts_after_faults(client):
    """Guards against an attempt that is started twice by a repeated order."""
    client.worker.switches.change({"lose_answers": 1}).unwrap()
    with pytest.raises(urllib3.exceptions.HTTPError):
        client.start()
    assert client.start() == 200
    client.worker.switches.change({"fail_starts": True}).unwrap()
    assert client.start("u") == 500
    client.worker.switches.change({"fail_tasks": True}).unwrap()
    client.wait_for_state("failed")


def test_stop_ends_the_attempt(client):
    """Guards against a stop that leaves the attempt running."""
    client.start()
    assert client.call("POST", "tasks/t/1/stop")[1]["state"] == "stopped"
    assert client.call("POST", "tasks/x/1/stop")[0] == 404
    assert client.call("DELETE", "tasks/t/1")[0] == 200
