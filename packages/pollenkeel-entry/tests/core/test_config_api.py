"""Tests of the configuration routes over HTTP."""

import json
import threading

import pytest
import urllib3

from pollenkeel_entry.core.config_api import ConfigApi
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.head import HeadWatcher
from pollenkeel_entry.core.membership import AgentTable
from pollenkeel_kernel import SystemClock
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import HttpServer, OperationsApi
from pollenkeel_kernel.core.settings import (
    EntrySettings,
    HttpSettings,
    StoreSettings,
    TimingSettings,
)
from pollenkeel_standins.memory_backend import MemoryBackend

BASE = {"data_centres": {"may-pen": {"region": "jm", "site": "jm"}}}
SETTINGS = EntrySettings(
    "e1",
    "may-pen",
    StoreSettings("memory:"),
    timing=TimingSettings(head_interval=0.02),
)


class Entry:
    """HTTP server with the configuration routes and an in-memory store."""

    def __init__(self):
        self.backend = MemoryBackend()
        clock, dump = SystemClock(), StateDump()
        self.watcher = HeadWatcher(SETTINGS, clock, self.backend)
        agents = AgentTable(SETTINGS.timing, clock)
        context = EntryContext(
            SETTINGS, clock, self.backend, agents, self.watcher, dump
        )
        root = OperationsApi(dump)
        ConfigApi(context).mount(root.v1)
        self.server = HttpServer(HttpSettings(threads=4), root)
        self.thread = threading.Thread(target=self.server.serve)
        self.watcher.start()
        self.thread.start()

    def call(self, method, path, members=None):
        body = None if members is None else json.dumps(members)
        response = urllib3.request(
            method, self.server.url + path, body=body, retries=False, timeout=20
        )
        return response.status, response.json()

    def apply(self, change_id, version, base=BASE):
        members = {
            "base": base,
            "overlays_by_site": {},
            "expected_version": version,
            "change_id": change_id,
        }
        return self.call("POST", "/v1/config", members)

    def close(self):
        self.server.close()
        self.watcher.close()
        self.thread.join(20)


@pytest.fixture
def entry():
    entry = Entry()
    yield entry
    entry.close()


def test_change_is_in_force_when_answered(entry):
    """Guards against a reply that is sent before the entry uses the change."""
    assert entry.call("GET", "/v1/config")[1]["code"] == 5004
    status, answer = entry.apply("a", 0)
    assert (status, answer["version"], answer["in_force"]) == (200, 1, True)
    drain = "/v1/data-centres/may-pen/drain"
    answer = entry.call("POST", drain, {"change_id": "d", "operator": "ana"})[1]
    assert (answer["version"], answer["in_force"]) == (2, True)
    shown = entry.call("GET", "/v1/config")[1]
    assert (shown["version"], shown["drained"]) == (2, ["may-pen"])
    assert shown["base"] == BASE
    assert entry.apply("a", 0)[1]["version"] == 1
    undrain = "/v1/data-centres/may-pen/undrain"
    assert entry.call("POST", undrain, {"change_id": "u"})[1]["version"] == 3


def test_invalid_changes_are_rejected(entry):
    """Guards against wrong status codes and against exceptions on invalid bodies."""
    assert entry.apply("a", 0)[0] == 200
    status, answer = entry.apply("b", 0)
    assert (status, answer["code"], answer["outcome"]) == (409, 5002, "not-run")
    status, answer = entry.apply("b", 1, base={"data_centres": 1})
    assert (status, answer["code"]) == (422, 5001)
    assert "base: data_centres" in answer["detail"]
    calls = [
        ("POST", "/v1/data-centres/lima/drain", {"change_id": "x"}, 404, 5003),
        ("POST", "/v1/data-centres/may-pen/close", {"change_id": "x"}, 404, 4009),
        ("GET", "/v1/data-centres/may-pen/drain", None, 400, 4000),
        ("POST", "/v1/data-centres/may-pen/drain", {"change_id": 1}, 400, 4000),
        ("POST", "/v1/data-centres/may-pen/drain", [], 400, 4000),
        ("POST", "/v1/config", {"base": {}}, 400, 4000),
        ("PUT", "/v1/config", None, 400, 4000),
    ]
    for method, path, members, status, code in calls:
        found = entry.call(method, path, members)
        assert (found[0], found[1]["code"]) == (status, code), path
    entry.backend.down = True
    status, answer = entry.apply("c", 1)
    assert (status, answer["code"]) == (503, 2003)
