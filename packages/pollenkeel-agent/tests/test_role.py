"""Guards against faults in starting, serving, announcing and stopping the role."""

import json
import threading
from importlib.metadata import entry_points

import pytest
import urllib3

import pollenkeel_agent.role as role_module
from pollenkeel_kernel import Code, SystemClock
from pollenkeel_kernel.core.messages import (
    AnnounceReply,
    Dispatch,
    Heartbeat,
    OwnerCall,
    QueryAttempt,
)
from pollenkeel_kernel.core.settings import (
    AgentSettings,
    StoreSettings,
    TimingSettings,
    VmSettings,
)
from pollenkeel_kernel.core.transport import PeerClient, ReplyServer

CLOCK = SystemClock()
HTTP = urllib3.PoolManager(retries=False)


class RunningAgent:
    def __init__(self, worker_url):
        self.announces = []
        self.entry = ReplyServer("tcp://127.0.0.1:0", "entry-1", CLOCK, self.accept)
        settings = AgentSettings(
            "vm-1",
            "kingston",
            StoreSettings("http://127.0.0.1:1"),
            timing=TimingSettings(heartbeat_interval=0.05),
            vm=VmSettings(8.0, 32.0),
            worker_url=worker_url,
            entries=[self.entry.address],
        )
        self.stop = threading.Event()
        role = role_module.AgentRole(settings)
        addresses = role.start()
        self.url = addresses["http"]
        self.peer = PeerClient(addresses["peer"], CLOCK)
        self.thread = threading.Thread(target=role.run, args=(self.stop,))
        self.thread.start()

    def accept(self, message):
        self.announces.append(message)
        return AnnounceReply("entry-1", CLOCK.now(), "e", None, CLOCK.now() + 3, [])

    def call(self, make, *fields):
        return self.peer.call(make("entry-1", CLOCK.now(), *fields), CLOCK.now() + 20)

    def dispatch(self, attempt_id, epoch):
        now = CLOCK.now()
        fields = ("desk", "north", "POST", "/q", {}, b"x", False, now + 5, now + 20)
        return self.call(Dispatch, attempt_id, epoch, *fields).unwrap()

    def announce(self, body, method="POST"):
        return HTTP.request(method, f"{self.url}/v1/upstreams/desk", body=body)

    def wait_for(self, condition):
        for _ in range(1000):
            if any(condition(announce) for announce in self.announces):
                return self.announces[-1]
            threading.Event().wait(0.01)
        raise AssertionError("no such announcement within 10 s")

    def close(self):
        self.stop.set()
        self.thread.join(30)
        self.peer.close()
        self.entry.close()


@pytest.fixture
def agent(worker):
    worker.clock = CLOCK
    agent = RunningAgent(worker.url)
    yield agent
    agent.close()


def test_role_is_registered():
    """Guards against a daemon that does not offer the role."""
    (entry_point,) = entry_points(group="pollenkeel.roles", name="agent")
    assert entry_point.load().AgentRole is role_module.AgentRole


def test_request_in_flight_finishes_during_graceful_stop(agent, upstream, monkeypatch):
    """Guards against requests that are aborted by a graceful stop."""
    monkeypatch.setattr(role_module, "_CLOSE_DELAY_SECONDS", 0.05)
    epoch = agent.call(Heartbeat).unwrap().epoch
    body = json.dumps({"url": upstream.url, "slots": 2, "in_flight": 0})
    assert agent.announce(body).status == 200
    announced = agent.wait_for(lambda a: a.upstreams and a.worker_ready)
    assert (announced.state, announced.upstreams[0].free_slots) == ("active", 2)
    assert agent.dispatch("a", epoch).body == b"x"
    upstream.mode = "hold"
    upstream.entered.clear()
    replies = []
    held = threading.Thread(target=lambda: replies.append(agent.dispatch("b", epoch)))
    held.start()
    assert upstream.entered.wait(10)
    agent.stop.set()
    agent.wait_for(lambda a: a.state == "leaving")
    assert agent.dispatch("c", epoch).code == Code.AGENT_LEAVING
    agent.stop.set()
    assert agent.thread.is_alive()
    upstream.release.set()
    held.join(10)
    assert replies[0].code == Code.OK
    agent.thread.join(20)
    assert not agent.thread.is_alive()


def test_invalid_input_gets_error_codes(agent):
    """Guards against a missing reply or a crash on invalid input."""
    assert agent.call(OwnerCall, 1, "status", b"").err_value.code == (
        Code.UNKNOWN_MESSAGE
    )
    query = agent.call(QueryAttempt, "a", "other", True).unwrap()
    assert query.state == "lost"
    for body in ("", "{", "[]", '{"url": "ftp://x", "slots": 1}', '{"url": 1}'):
        answer = agent.announce(body)
        assert (answer.status, answer.json()["code"]) == (400, Code.BAD_REQUEST)
    assert agent.announce("", "DELETE").json()["code"] == Code.NOT_FOUND
    assert agent.announce(None, "GET").status == 405
    dump = HTTP.request("GET", f"{agent.url}/v1/dump").json()
    assert set(dump) >= {"agent", "ledger", "attempts", "site", "tasks", "entries"}
    metrics = HTTP.request("GET", f"{agent.url}/metrics").data
    assert b"pollenkeel_agent_dispatches" in metrics
