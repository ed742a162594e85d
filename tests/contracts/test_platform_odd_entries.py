"""Guards against entries of other writers that end a process or stop a reader."""

import pytest
from platform_heartbeat import HEARTBEAT
from result import Ok

from pollenkeel_jobs.core.agent import VmAgent
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.tables import Row
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_platform import api
from pollenkeel_platform.http import JsonClient, Reply
from pollenkeel_platform.operator import PlatformOperationsDecoder
from pollenkeel_platform.store import PlatformTables
from pollenkeel_platform.worker import _decode_lists, decode_announcement

DEEP = b"[" * 100_000


class _Response:
    status = 200

    def __init__(self, data):
        self.data = data


def test_deeply_nested_reply_counts_as_empty(monkeypatch):
    """Guards against a reply of the store or of a worker that ends its reader."""
    client = JsonClient("127.0.0.1:1", 1)
    monkeypatch.setattr(client._pool, "request", lambda *_, **__: _Response(DEEP))
    assert client.call("GET", "/", 1.0).unwrap().body == {}


def test_deeply_nested_request_has_no_body(monkeypatch):
    """Guards against a request or a heartbeat that is answered with an error page."""
    source = type("Source", (), {"read": lambda self: DEEP})()
    body = type("Body", (), {"fp": source})()
    monkeypatch.setattr(api.cherrypy, "request", type("Request", (), {"body": body})())
    assert api._read_body() is None


def test_deeply_nested_configuration_is_left_out():
    """Guards against a row that keeps a closed data centre open."""
    rows = [Row("op", "config", DEEP, 3), Row("op", "evacuate/z1", b"{}", 4)]
    decoded = PlatformOperationsDecoder().decode(rows, Operations(2))
    assert decoded == Operations(2, closed_zones=frozenset({"z1"}))


def read_rows(monkeypatch, rows):
    """Return the page that a reply of the store with these rows is decoded to."""
    tables = PlatformTables("127.0.0.1:1")
    reply = Reply(200, {"rows": rows, "Ver": 9})
    monkeypatch.setattr(tables._client, "call", lambda *_, **__: Ok(reply))
    return tables.read("", "t").unwrap()


GOOD_ROW = {"Table": "t", "Key": "good", "Ver": 3, "Value": "eA=="}


@pytest.mark.parametrize(
    "row",
    [
        {**GOOD_ROW, "Ver": float("inf")},
        {**GOOD_ROW, "Ver": None},
        {**GOOD_ROW, "Value": "not base64"},
        {**GOOD_ROW, "Value": 7},
        {"Key": "no version"},
        "text",
        None,
    ],
)
def test_odd_row_is_left_out_and_the_others_used(monkeypatch, row):
    """Guards against one row that ends the reader of the whole table."""
    page = read_rows(monkeypatch, [row, GOOD_ROW])
    assert [found.value for found in page.rows] == [b"x"]


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"rows": 7, "Ver": 9},
        {"rows": None, "Ver": 9},
        {"rows": []},
        {"rows": [], "Ver": "9"},
        {"rows": [{"Value": "eA=="}], "Ver": 9, "HasMore": True},
    ],
)
def test_reply_without_rows_is_a_failed_read(monkeypatch, body):
    """Guards against a table that seems empty, and a reply that ends its reader."""
    tables = PlatformTables("127.0.0.1:1")
    monkeypatch.setattr(tables._client, "call", lambda *_, **__: Ok(Reply(200, body)))
    assert tables.read_all("", "t").is_err()
    assert tables.watch("t", 3, 1.0).is_err()


def test_pages_with_odd_rows_alone_do_not_end_the_table(monkeypatch):
    """Guards against rows that are hidden by a page of another writer's rows."""
    tables = PlatformTables("127.0.0.1:1")
    odd = {"rows": [{"Key": "a"}], "Ver": 8, "HasMore": True}
    replies = {"": odd, "a\0": {"rows": [GOOD_ROW], "Ver": 9, "HasMore": False}}

    def call(*_, query, **__):
        return Ok(Reply(200, replies[query.get("From", "")]))

    monkeypatch.setattr(tables._client, "call", call)
    page = tables.read_all("", "t").unwrap()
    assert ([row.key for row in page.rows], page.version) == (["good"], 8)


@pytest.mark.parametrize(
    "change",
    [
        {"Capacity": {"Cpu": 10**30, "MemMb": 1}},
        {"Capacity": {"Cpu": float("inf"), "MemMb": 1}},
        {"Capacity": {"Cpu": -1, "MemMb": 1}},
        {"Seq": 10**30},
        {"born": 10**30},
        {"born": float("inf")},
    ],
)
def test_heartbeat_with_a_number_too_large_is_rejected(change):
    """Guards against a report that can't be encoded, which ended the agent."""
    assert decode_announcement("w", HEARTBEAT) is not None
    assert decode_announcement("w", {**HEARTBEAT, **change}) is None


def test_heartbeat_from_the_future_does_not_hide_later_ones():
    """Guards against a worker that stays unknown until the end of its agent."""
    clock = ManualClock()
    agent = VmAgent("vm-1", clock, worker=None)
    now = int(clock.now() * 1000)
    for born, expected in ((now + 10**9, False), (now, True), (now + 10**9, False)):
        announcement = decode_announcement("w", {**HEARTBEAT, "born": born})
        assert agent.record_announcement(announcement) is expected


@pytest.mark.parametrize(
    "change",
    [
        {"Running": [["j.0.0.0", float("inf"), "", 50]]},
        {"Running": [["j.0.0.0", "x", "", 50]]},
        {"Ended": [[float("inf"), "j.0.0.1", 1, "done", ""]]},
        {"ClockMs": 10**400},
        {"Running": None},
        {"Ended": {}},
    ],
    ids=["run", "text", "number of an end", "clock", "no runs", "no ends"],
)
def test_lists_with_an_odd_run_are_no_lists(change):
    """A run that is left out of the lists would be started a second time."""
    body = {"ClockMs": 5, "Running": [], "Ended": []}
    assert _decode_lists(Reply(200, body)).is_ok()
    assert _decode_lists(Reply(200, {**body, **change})).is_err()


@pytest.mark.parametrize("name", ["Running", "Ended"])
def test_missing_list_is_not_an_empty_one(name):
    """Guards against runs that are given up since an answer doesn't list any."""
    body = {"ClockMs": 5, "Running": [], "Ended": []}
    del body[name]
    assert _decode_lists(Reply(200, body)).is_err()


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0])
def test_odd_figure_of_one_run_spoils_neither_its_list_nor_what_is_learned(figure):
    """Guards against a load of a VM that is no number, by which no VM is chosen."""
    row = ["j.0.0.0", 1, "", 50, figure]
    body = {"ClockMs": 5, "Running": [row], "Ended": []}
    (run,) = _decode_lists(Reply(200, body)).unwrap().running
    assert run.figure == 0.0
