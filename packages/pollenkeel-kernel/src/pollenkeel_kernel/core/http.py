"""HTTP server of a process, based on cherrypy, with metrics and state dump routes."""

from __future__ import annotations

import json
import socket
from typing import Any

import cheroot.wsgi
import cherrypy
from prometheus_client import generate_latest

from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http_errors import (
    JsonErrorConnection,
    JsonErrorRequest,
    encode_refusal,
    make_refusal_headers,
)
from pollenkeel_kernel.core.metrics import REGISTRY
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import HttpSettings

_JSON = "application/json"
#: Maximum size of the request headers; cheroot does not limit it by default.
_MAX_HEADER_BYTES = 65536
#: Decorator for handlers without side effects; allows GET and HEAD only.
read_only = cherrypy.tools.allow(methods=["GET", "HEAD"])


class _NoAccessLog(cherrypy._cplogging.LogManager):
    """Disables the access log, which cherrypy formats even if there is no handler."""

    def access(self) -> None:
        """Skip the access log line."""


class _Server(cheroot.wsgi.Server):
    """WSGI server whose threads do not wait for the first byte of a connection.

    By default cheroot hands each new connection to a thread at once. As many unused
    connections as there are threads would keep all others waiting.
    """

    def process_conn(self, conn: JsonErrorConnection) -> None:
        """Hand a connection to a thread, a new one only once it has sent data."""
        if conn.is_new:
            conn.is_new = False
            self.put_conn(conn)
        else:
            super().process_conn(conn)


class HttpServer:
    """Serves a cherrypy application without cherrypy's process-wide engine.

    Parameters
    ----------
    settings : HttpSettings
        Address and number of threads.
    root : object
        Root of the cherrypy handler tree.
    config : dict, optional
        cherrypy application configuration.
    body_bytes : int
        Maximum size of a request body in bytes.
    close_seconds : int
        Time that ``close`` waits for requests in flight, in seconds.
    """

    def __init__(
        self,
        settings: HttpSettings,
        root: object,
        config: dict[str, Any] | None = None,
        body_bytes: int = 8 * 1024 * 1024,
        close_seconds: int = 1,
    ) -> None:
        cherrypy.config.update({"environment": "embedded", "log.screen": False})
        # The application checks the size itself to respond with a result code.
        cherrypy.server.max_request_body_size = 0
        application = cherrypy.Application(root, "", config=config or {})
        application.request_class = JsonErrorRequest
        application.log = _NoAccessLog(application.log.appid, cherrypy.log.logger_root)
        application.log.screen = False
        self._server = _Server(
            (settings.host, settings.port),
            application,
            numthreads=settings.threads,
            request_queue_size=256,
        )
        self._server.ConnectionClass = JsonErrorConnection
        self._server.max_request_body_size = body_bytes + 65536
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        self._server.shutdown_timeout = close_seconds
        # cheroot keeps only 10 idle connections by default.
        self._server.keep_alive_conn_limit = 1000
        self._server.prepare()
        # A restarted process can bind the same port again only if the sockets of its
        # predecessor had this option; cheroot does not set it for port 0.
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    @property
    def url(self) -> str:
        """Base URL at which the server listens."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def serve(self) -> None:
        """Serve until ``close`` is called."""
        self._server.serve()

    def close(self) -> None:
        """Stop accepting connections and wait up to ``close_seconds`` for requests."""
        self._server.stop()


class OperationsApi:
    """``/metrics``, ``/healthz`` and ``/v1/dump``; base class of handler trees.

    Parameters
    ----------
    dump : StateDump
        State dump of this process.
    """

    def __init__(self, dump: StateDump) -> None:
        self._dump = dump
        self.v1 = VersionOne()
        self.v1.dump = self.dump_state

    @cherrypy.expose
    @read_only
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return bytes(generate_latest(REGISTRY))

    @cherrypy.expose
    @read_only
    def healthz(self) -> bytes:
        """Respond with 200 while the process runs."""
        return b"ok\n"

    @cherrypy.expose
    @read_only
    def dump_state(self) -> bytes:
        """Return the state dump as JSON."""
        return write_json(self._dump.collect())


class VersionOne:
    """Attribute container for the cherrypy handlers below ``/v1``."""

    dump: Any
    explain: Any


def write_json(value: Any, status: int = 200) -> bytes:
    """Set status and content type of the response and return the JSON body.

    Parameters
    ----------
    value : Any
        Value made of JSON types.
    status : int
        HTTP status.
    """
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = _JSON
    return json.dumps(value, default=str).encode() + b"\n"


def write_refusal(refusal: Refusal, status: int) -> bytes:
    """Set status and headers for a refusal and return its JSON body."""
    cherrypy.response.status = status
    cherrypy.response.headers.update(make_refusal_headers(refusal))
    return encode_refusal(refusal)
