"""Tests of the HTTP server: work per request, and connections that stay idle."""

import contextlib
import socket
import threading
import time

import cherrypy
import pytest
import urllib3

from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import HttpServer, OperationsApi
from pollenkeel_kernel.core.settings import HttpSettings


def test_no_access_line_is_formatted(monkeypatch):
    """Guards against access log lines that are formatted and then discarded."""
    lines = []
    log = cherrypy._cplogging.LogManager
    monkeypatch.setattr(log, "access", lambda self: lines.append(self))
    server = HttpServer(HttpSettings(threads=2), OperationsApi(StateDump()))
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        with urllib3.PoolManager(retries=False, timeout=20.0) as pool:
            assert pool.request("GET", f"{server.url}/healthz").status == 200
            assert pool.request("GET", f"{server.url}/healthz").status == 200
    finally:
        server.close()
        thread.join()
    assert not lines


THREADS = 2
#: Seconds within which a request must be answered or a stop be over.
LIMIT = 3.0
REQUEST = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def server():
    server = HttpServer(HttpSettings(threads=THREADS), OperationsApi(StateDump()))
    thread = threading.Thread(target=server.serve)
    thread.start()
    yield server
    server.close()
    thread.join()


@pytest.fixture
def idle_connections(server):
    """More connections than the server has threads; nothing was sent on them."""
    host, _, port = server.url.removeprefix("http://").rpartition(":")
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(socket.create_connection((host, int(port)), LIMIT))
            for _ in range(2 * THREADS)
        ]
        # Nothing shows a client that its connection has been accepted.
        time.sleep(0.2)
        yield connections


def test_idle_new_connections_keep_no_request_waiting(server, idle_connections):
    """Guards against connections without a request that take up all threads."""
    with urllib3.PoolManager(retries=False, timeout=LIMIT) as pool:
        assert pool.request("GET", f"{server.url}/healthz").status == 200


def test_request_on_a_connection_that_was_idle_is_answered(server, idle_connections):
    for connection in 2 * idle_connections:
        connection.sendall(REQUEST)
        answer = b""
        while not answer.endswith(b"ok\n"):
            answer += connection.recv(1000)
        assert answer.startswith(b"HTTP/1.1 200")


def test_idle_new_connections_do_not_delay_a_stop(server, idle_connections):
    began = time.monotonic()
    server.close()
    assert time.monotonic() - began < LIMIT
