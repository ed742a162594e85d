"""Guards against entries of other writers that end a process or stop a reader."""

from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.tables import Row
from pollenkeel_platform import api
from pollenkeel_platform.http import JsonClient
from pollenkeel_platform.operator import PlatformOperationsDecoder

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
