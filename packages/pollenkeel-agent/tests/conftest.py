"""Fakes of an upstream and of the worker."""

import contextlib
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from pollenkeel_kernel import ManualClock


class Server:
    """HTTP server that passes each request to ``answer`` of a subclass."""

    def __init__(self):
        fake = self
        self.closed = False

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                if fake.closed:
                    self.close_connection = True
                    return
                # The agent may have closed the connection.
                with contextlib.suppress(ConnectionError):
                    fake.answer(self, self.rfile.read(length))

            do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = serve  # noqa: N815

            def log_message(self, *args):
                pass

        self.http = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.http.daemon_threads = True
        self.url = f"http://127.0.0.1:{self.http.server_address[1]}"
        self.thread = threading.Thread(target=self.http.serve_forever, args=(0.02,))
        self.thread.start()

    def close(self):
        self.closed = True
        if self.thread.is_alive():
            self.http.shutdown()
            self.thread.join()
        self.http.server_close()


def send(handler, status, body, **headers):
    handler.send_response(status)
    for name, value in {"Content-Length": str(len(body)), **headers}.items():
        handler.send_header(name, value)
    handler.end_headers()
    if handler.command != "HEAD":
        handler.wfile.write(body)


class FakeUpstream(Server):
    """Upstream that echoes bodies.

    ``mode`` selects a fault; in mode ``hold`` requests wait until ``release`` is set.
    """

    def __init__(self):
        self.mode = "echo"
        self.seen = []
        self.entered = threading.Event()
        self.release = threading.Event()
        super().__init__()

    def answer(self, handler, body):
        self.seen.append((handler.command, handler.path, dict(handler.headers), body))
        self.entered.set()
        if self.mode == "hold":
            self.release.wait(20)
        if self.mode == "reset":
            handler.close_connection = True
        elif self.mode == "truncate":
            handler.close_connection = True
            send(handler, 200, body, **{"Content-Length": str(len(body) + 10)})
        elif self.mode == "unbounded":
            handler.close_connection = True
            handler.send_response(200)
            handler.end_headers()
            handler.wfile.write(body)
        elif self.mode == "redirect":
            send(handler, 302, b"moved", Location="/other")
        else:
            headers = {"X-Name": "1", "X-Hop": "1", "Connection": "X-Hop"}
            send(handler, 200, body, **headers)


class FakeWorker(Server):
    """Worker whose own clock is ``offset`` seconds ahead of ``clock``."""

    def __init__(self, clock):
        self.clock = clock
        self.offset = 0.0
        self.tasks = {}
        self.starts = []
        self.leases = []
        self.orders = []
        self.start_status = 201
        self.hold_starts = None
        super().__init__()

    def now(self):
        return self.clock.now() + self.offset

    def answer(self, handler, body):
        content = json.loads(body) if body else {}
        parts = handler.path.split("/")[2:]
        status, reply = self.route(handler.command, parts, content)
        send(handler, status, json.dumps({"now": self.now(), **reply}).encode())

    def route(self, method, parts, content):
        if parts == ["leases"]:
            self.leases.append(content["leases"])
        elif parts == ["tasks"]:
            return 200, {"tasks": list(self.tasks.values())}
        elif method == "DELETE":
            self.tasks.pop((parts[1], int(parts[2])), None)
        elif method == "PUT":
            return self.start((parts[1], int(parts[2])), content)
        else:
            self.orders.append((parts[1], parts[3]))
            if parts[3] == "throttle" or content.get("stop") is False:
                return 200, {}
            state = "evicted" if parts[3] == "checkpoint" else "stopped"
            task = self.tasks[parts[1], int(parts[2])]
            task.update(state=state, checkpoint_key=content.get("key", ""))
        return 200, {}

    def start(self, key, content):
        self.starts.append((key, content))
        if self.hold_starts is not None:
            self.hold_starts.wait(20)
        if content["start_before"] <= self.now():
            return 410, {}
        if self.start_status == 201:
            self.add(key, content["resources"], kind=content["kind"])
        return self.start_status, {}

    def add(self, key, resources, **fields):
        self.tasks[key] = {
            "task_id": key[0],
            "attempt": key[1],
            "state": "running",
            "resources": resources,
            **fields,
        }


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def upstream():
    fake = FakeUpstream()
    yield fake
    fake.release.set()
    fake.close()


@pytest.fixture
def worker(clock):
    fake = FakeWorker(clock)
    yield fake
    if fake.hold_starts is not None:
        fake.hold_starts.set()
    fake.close()
