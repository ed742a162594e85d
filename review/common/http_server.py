"""Small threaded HTTP/1.1 server with JSON bodies, for the stand-ins."""

from __future__ import annotations

import json
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class Request:
    """A received request; ``size`` is the length of its body in bytes."""

    def __init__(self, path: str, headers: Any, content: bytes) -> None:
        parts = urlsplit(path)
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.size = len(content)
        self.body: Any = json.loads(content) if content else {}


Handler = Callable[[Request], tuple[int, dict[str, Any]]]


class JsonServer(ThreadingHTTPServer):
    """Server on a loopback port that passes each request to ``handler``."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, port: int, handler: Handler) -> None:
        self.handler = handler
        super().__init__(("127.0.0.1", port), _Exchange)


class _Exchange(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Headers and body leave in one segment.
    wbufsize = -1

    def _answer(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        request = Request(self.path, self.headers, self.rfile.read(length))
        server = self.server
        assert isinstance(server, JsonServer)
        status, body = server.handler(request)
        content = json.dumps(body).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = _answer  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""
