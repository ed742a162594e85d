"""Contract tests of the runner's interface."""

import time

import pytest
import urllib3

from pollenkeel_standins.runner import Runner, RunnerOptions

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
