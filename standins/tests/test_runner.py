"""Contract tests of the runner's interface."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
import urllib3

from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_standins.runner import Runner, RunnerOptions
from pollenkeel_standins.runner_model import MAX_LEASE_SECONDS, RunnerModel

#: Nothing listens there; heartbeats of these runners are lost.
NO_AGENT = "http://127.0.0.1:1"


class Client:
    def __init__(self, url):
        self.url = url
        self.pool = urllib3.PoolManager(retries=False, timeout=10.0)

    def call(self, verb, **fields):
        url = f"{self.url}/api/{verb}"
        reply = self.pool.request("POST", url, json={"FencingToken": 1, **fields})
        return reply.status, reply.json()


@pytest.fixture
def runner():
    runner = Runner(RunnerOptions("i-0", NO_AGENT, "z1"))
    runner.client = Client(runner.start(0, 4))
    yield runner
    runner.shut_down()


def test_each_answer_names_the_boot(runner):
    """Guards against lists that cannot be told from those of the boot before."""
    status, lists = runner.client.call("hold")
    assert status == 200
    assert set(lists) == {"ClockMs", "born", "Running", "Ended"}
    assert type(lists["born"]) is int
    assert 0 < lists["born"] <= int(time.time() * 1000)
    runner.client.call("hold", FencingToken=2)
    status, refusal = runner.client.call("hold", FencingToken=1)
    assert status == 409
    assert refusal["born"] == lists["born"]


def make_start(model, task, seconds=1.0):
    deadline = model.now_ms() + 60_000
    return {"Task": task, "Run": 1, "DeadlineMs": deadline, "Spec": f"run {seconds}"}


def test_list_holds_at_most_500_ends():
    """Guards against a stand-in that lists more ends at a time than the platform."""
    clock = ManualClock()
    model = RunnerModel(clock)
    for number in range(600):
        assert model.start(make_start(model, f"t{number}")) == ""
    clock.advance(2.0)
    first = model.list_runs()["Ended"]
    assert [end[0] for end in first] == list(range(1, 501))
    assert model.hold({"AckedThrough": 500}) == ""
    assert [end[0] for end in model.list_runs()["Ended"]] == list(range(501, 601))


def test_lease_is_shortened_to_its_maximum():
    """Guards against runs that last beyond the longest lease of the platform."""
    clock = ManualClock()
    model = RunnerModel(clock)
    assert model.start(make_start(model, "t", seconds=100.0)) == ""
    clock.advance(MAX_LEASE_SECONDS - 0.1)
    assert model.list_runs()["Running"]
    clock.advance(0.2)
    assert [end[3] for end in model.list_runs()["Ended"]] == ["lapsed"]


def test_crash_ends_all_runs(runner):
    """Guards against a runner that carries out orders after its record was read."""
    deadline = int((time.time() + 30) * 1000)
    start = {"Task": "t", "Run": 1, "DeadlineMs": deadline, "Spec": "run 30"}
    assert runner.client.call("run-start", **start)[0] == 200
    record = runner.client.pool.request("POST", f"{runner.client.url}/crash").json()
    assert [(run["task"], run["how"]) for run in record["runs"]] == [("t", "crashed")]
    with pytest.raises(urllib3.exceptions.HTTPError):
        runner.client.call("run-start", **{**start, "Task": "u"})
    assert runner.record() == record


def test_heartbeats_have_all_fields_and_the_first_one_can_be_late():
    """Guards against heartbeats that the platform would not send."""
    received = []
    came = threading.Event()

    class Agent(BaseHTTPRequestHandler):
        def do_POST(self):
            body = self.rfile.read(int(self.headers["Content-Length"]))
            received.append((time.monotonic(), self.path, json.loads(body)))
            self.send_response(200)
            self.end_headers()
            came.set()

        def log_message(self, *_):
            pass

    agent = HTTPServer(("127.0.0.1", 0), Agent)
    threading.Thread(target=agent.serve_forever, daemon=True).start()
    url = f"http://127.0.0.1:{agent.server_port}"
    runner = Runner(RunnerOptions("i-0", url, "z1", first_heartbeat=0.8))
    started_at = time.monotonic()
    address = runner.start(0, 4).removeprefix("http://")
    assert came.wait(10.0)
    runner.shut_down()
    agent.shutdown()
    at, path, body = received[0]
    assert at - started_at >= 0.8
    assert path == "/api/instances/i-0/heartbeat"
    assert body.pop("born") > 0
    assert body.pop("ClockMs") > 0
    assert body == {
        "Backend": "desk",
        "Address": address,
        "Zone": "z1",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 0},
        "Labels": ["a", "r1"],
        "Seq": 1,
    }


def test_tasks_with_a_common_end_finish_together():
    """Guards against a load of many ends that are spread over a longer time."""
    clock = ManualClock(time.time())
    model = RunnerModel(clock)
    for task in ("t", "u"):
        command = {"Spec": f"until {time.time() + 3.0}"}
        assert model.start({**make_start(model, task), **command}) == ""
    clock.advance(2.8)
    assert len(model.list_runs()["Running"]) == 2
    clock.advance(0.3)
    assert [end[3] for end in model.list_runs()["Ended"]] == ["done", "done"]
