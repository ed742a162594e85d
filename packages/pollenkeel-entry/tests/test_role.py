"""Tests of a complete entry through its HTTP interface."""

import json
import threading

import pytest
import urllib3

from pollenkeel_entry import role as role_module
from pollenkeel_entry.role import EntryRole
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.settings import EntrySettings, LimitSettings, StoreSettings
from pollenkeel_kernel.core.transport import PeerClient


class Entry:
    """Running entry with one agent, called over HTTP."""

    def __init__(self, fakes, monkeypatch):
        self.backend, self.config = fakes.backend(), fakes.config()
        monkeypatch.setattr(role_module, "open_backend", lambda _: self.backend)
        self.config.start = self.config.close = lambda: None
        monkeypatch.setattr(role_module, "HeadWatcher", lambda *_: self.config)
        limits = LimitSettings(body_bytes=1000)
        settings = EntrySettings("e", "kgn", StoreSettings("none"), limits=limits)
        self.role = EntryRole(settings)
        addresses = self.role.start()
        self.url = addresses["http_url"]
        self.pool = urllib3.PoolManager(retries=False)
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.role.run, args=(self.stop,))
        self.thread.start()
        self.agent = fakes.agent("a1")
        client = PeerClient(addresses["peer_address"], fakes.clock)
        deadline = fakes.clock.now() + 10
        client.call(self.agent.announce(), deadline).unwrap()
        client.close()

    def send(self, method="GET", path="/v1/services/desk/p", **options):
        headers = {"Pollenkeel-Team": "a", **options.pop("headers", {})}
        url = self.url + path
        return self.pool.request(method, url, headers=headers, **options)

    def close(self):
        self.stop.set()
        self.agent.close()
        self.thread.join(30)
        self.pool.clear()


@pytest.fixture
def entry(fakes, monkeypatch):
    entry = Entry(fakes, monkeypatch)
    yield entry
    entry.close()


def test_request_reaches_the_upstream_unchanged(entry):
    """Guards against altered paths, headers and bodies, and a lost status."""
    headers = {"X-Own": "1", "Connection": "keep-alive"}
    answer = entry.send(
        "POST", "/v1/services/desk/a%2Fb?q=%20", headers=headers, body=b"x"
    )
    dispatch = entry.agent.dispatches[0]
    assert (dispatch.method, dispatch.path) == ("POST", "/a%2Fb?q=%20")
    assert (dispatch.team, dispatch.body, dispatch.idempotent) == ("a", b"x", False)
    assert dispatch.headers["X-Own"] == "1"
    assert "Connection" not in dispatch.headers
    assert (answer.status, answer.data) == (200, b"for x")
    assert answer.headers["X-Up"] == "1"
    assert answer.headers["Pollenkeel-Code"] == "1000"
    assert answer.headers["Pollenkeel-Outcome"] == "answered"
    assert answer.headers["Pollenkeel-Vm"] == "vm-a1"
    assert answer.headers["Pollenkeel-Attempt"] == dispatch.attempt_id


@pytest.mark.parametrize(
    ("options", "status", "code"),
    [
        ({"headers": {"Pollenkeel-Team": "nobody"}}, 400, Code.BAD_REQUEST),
        ({"headers": {"Pollenkeel-Deadline": "x"}}, 400, Code.BAD_REQUEST),
        ({"headers": {"Pollenkeel-Deadline": "1"}}, 503, Code.DEADLINE_TOO_CLOSE),
        ({"headers": {"Idempotency-Key": "a b"}}, 400, Code.BAD_REQUEST),
        ({"path": "/v1/services/nowhere/p"}, 404, Code.NOT_FOUND),
        ({"method": "TRACE"}, 400, Code.BAD_REQUEST),
        ({"method": "PUT", "body": b"x" * 1001}, 413, Code.BODY_TOO_LARGE),
        ({"method": "PUT", "body": iter([b"x" * 1001])}, 413, Code.BODY_TOO_LARGE),
    ],
)
def test_bad_requests_are_rejected_with_a_result_code(entry, options, status, code):
    """Guards against invalid input that reaches an upstream or crashes the entry."""
    answer = entry.send(**options)
    assert answer.status == status
    body = json.loads(answer.data)
    assert (body["code"], body["name"], body["outcome"]) == (code, code.name, "not-run")
    assert answer.headers["Pollenkeel-Code"] == str(code.value)
    assert not entry.agent.dispatches


def test_unknown_outcome_is_a_gateway_timeout(entry):
    """Guards against a POST of unknown outcome that is reported as not run."""
    entry.agent.default = type(entry.agent).stay_running
    deadline = str(entry.role.context.clock.now() + 0.5)
    answer = entry.send("POST", headers={"Pollenkeel-Deadline": deadline})
    assert (answer.status, json.loads(answer.data)["outcome"]) == (504, "unknown")


def test_graceful_stop_finishes_requests_in_flight(entry, fakes):
    """Guards against a graceful stop that aborts a request in flight."""
    release = threading.Event()

    def slow(agent, dispatch):
        release.wait(20)
        return agent.run(dispatch)

    entry.agent.script = [slow]
    deadline = str(entry.role.context.clock.now() + 20)
    answers = []

    def send():
        answers.append(entry.send("POST", headers={"Pollenkeel-Deadline": deadline}))

    thread = threading.Thread(target=send)
    thread.start()
    fakes.wait_until(lambda: entry.agent.dispatches)
    fakes.wait_until(lambda: ("entries", "e") in entry.backend.rows)
    assert entry.send(path="/readyz").status == 200
    entry.stop.set()
    fakes.wait_until(lambda: entry.send(path="/readyz").status == 503)
    assert entry.send().status == 200
    entry.stop.set()
    release.set()
    thread.join(20)
    entry.thread.join(20)
    assert answers[0].status == 200
    assert not entry.thread.is_alive()
    assert ("entries", "e") not in entry.backend.rows


def test_dump_and_metrics_describe_the_entry(entry):
    """Guards against dump sections and metrics that fail in a running entry."""
    entry.send()
    dump = json.loads(entry.send(path="/v1/dump").data)
    assert {"entry", "router", "heartbeats", "retry_budget"} <= dump.keys()
    assert dump["entry"]["agents"][0]["vm"] == "vm-a1"
    assert b"pollenkeel_requests_total" in entry.send(path="/metrics").data
