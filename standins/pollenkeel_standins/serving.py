"""HTTP server of the stand-ins, which can withhold, drop or truncate its answers."""

from __future__ import annotations

import enum
import json
import os
import socket
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qsl, unquote

import attrs
import cheroot.wsgi

_MAX_BODY_BYTES = 64 * 1024 * 1024


class DeliveryFault(enum.Enum):
    """Fault in the delivery of an answer.

    ``BREAK`` closes the connection instead of answering, ``HANG`` keeps it open without
    an answer, ``TRUNCATE`` closes it after half of the body.
    """

    NONE = "none"
    BREAK = "break"
    HANG = "hang"
    TRUNCATE = "truncate"


@attrs.frozen
class Request:
    """One HTTP request; ``path`` holds the decoded path segments."""

    method: str
    uri: str
    path: list[str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Answer:
    """One HTTP answer, and the fault (``cut``) with which it is delivered."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = attrs.field(factory=dict)
    cut: DeliveryFault = DeliveryFault.NONE


def json_answer(value: Any, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    return Answer(status, body, {"Content-Type": "application/json"})


class _Gateway(cheroot.wsgi.Gateway_10):
    # cheroot's stub declares the base method without a return value.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()
        environ["standin.connection"] = self.req.conn
        return environ


class StandinServer:
    """HTTP server that calls a handler in its own threads.

    Parameters
    ----------
    handler : callable
        Returns the answer to a request.
    port : int
        Port on 127.0.0.1; 0 lets the kernel choose.
    threads : int
        Number of requests served at the same time.
    """

    def __init__(
        self, handler: Callable[[Request], Answer], port: int, threads: int
    ) -> None:
        self._handler = handler
        self._parked = _ParkedConnections()
        self._idle = threading.Condition()
        self._active = 0
        self._server = cheroot.wsgi.Server(
            ("127.0.0.1", port), self._respond, numthreads=threads
        )
        self._server.request_queue_size = 256
        self._server.max_request_body_size = _MAX_BODY_BYTES
        self._server.shutdown_timeout = 1
        # cheroot keeps only 10 idle connections by default and closes them after 10 s.
        self._server.keep_alive_conn_limit = 1000
        self._server.timeout = 600
        self._server.gateway = _Gateway
        self._server.prepare()
        # A restarted process can bind the same port only if the sockets of its
        # predecessor had this option; cheroot does not set it for port 0.
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        threading.Thread(target=self._server.serve, daemon=True).start()

    @property
    def url(self) -> str:
        """Base URL at which the server listens."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def release_parked(self) -> None:
        """Close the connections whose answers are withheld."""
        self._parked.release()

    def wait_until_idle(self) -> None:
        """Wait until no request is being served and no answer is being sent."""
        with self._idle:
            self._idle.wait_for(lambda: self._active == 0)

    def close(self) -> None:
        """Stop the server."""
        self._parked.release()
        self._server.stop()

    def _respond(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        with self._idle:
            self._active += 1
        try:
            return self._deliver(environ, start_response)
        except BaseException:
            self._end_request()
            raise

    def _deliver(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        request = _read_request(environ)
        if len(request.body) < int(environ.get("CONTENT_LENGTH") or 0):
            # The client has gone while it sent the body.
            answer = json_answer({"detail": "incomplete body"}, 400)
        else:
            answer = self._handler(request)
        connection = environ["standin.connection"]
        headers = {**answer.headers, "Content-Length": str(len(answer.body))}
        if answer.cut is not DeliveryFault.NONE:
            headers["Connection"] = "close"
        if answer.cut is DeliveryFault.HANG:
            self._parked.park(connection.socket)
        elif answer.cut is DeliveryFault.BREAK:
            connection.socket.shutdown(socket.SHUT_RDWR)
        start_response(f"{answer.status} Standin", list(headers.items()))
        return self._send(answer, connection.socket)

    def _send(self, answer: Answer, connection: socket.socket) -> Iterator[bytes]:
        try:
            if answer.cut is DeliveryFault.TRUNCATE:
                yield answer.body[: len(answer.body) // 2]
                connection.shutdown(socket.SHUT_RDWR)
            else:
                yield answer.body
        finally:
            self._end_request()

    def _end_request(self) -> None:
        with self._idle:
            self._active -= 1
            self._idle.notify_all()


class _ParkedConnections:
    """Connections that stay open without an answer and without a server thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._descriptors: list[int] = []

    def park(self, connection: socket.socket) -> None:
        """Keep the client's connection open and give the server a closed one.

        The server thread is then free for other requests.
        """
        ours, discarded = socket.socketpair()
        with self._lock:
            self._descriptors.append(os.dup(connection.fileno()))
        os.dup2(ours.fileno(), connection.fileno())
        ours.close()
        discarded.close()

    def release(self) -> None:
        """Close all parked connections."""
        with self._lock:
            descriptors, self._descriptors = self._descriptors, []
        for descriptor in descriptors:
            os.close(descriptor)


def _read_request(environ: dict[str, Any]) -> Request:
    uri = environ["REQUEST_URI"]
    path, _, query = uri.partition("?")
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Request(
        method=environ["REQUEST_METHOD"],
        uri=uri,
        path=[unquote(part) for part in path.strip("/").split("/")],
        query=dict(parse_qsl(query, keep_blank_values=True)),
        headers=headers,
        body=environ["wsgi.input"].read(),
    )
