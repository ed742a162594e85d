"""Tests of the calls of the cluster starter."""

import threading
import types
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from pollenkeel_standins.cluster import Cluster


class _OneReplyHandler(BaseHTTPRequestHandler):
    """Offers to keep the connection and closes it without a second reply."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"{}")
        self.rfile.readline()
        self.close_connection = True

    def log_message(self, *_):
        pass


@pytest.fixture
def server():
    with HTTPServer(("127.0.0.1", 0), _OneReplyHandler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield server
        server.shutdown()


def test_call_does_not_reuse_a_connection_that_may_be_closed(server, tmp_path):
    """Guards against a check that fails because the server ends idle connections."""
    process = types.SimpleNamespace(url=f"http://127.0.0.1:{server.server_port}")
    with Cluster(tmp_path) as cluster:
        assert [cluster.call(process, "GET", "/") for _ in range(2)] == [(200, {})] * 2
