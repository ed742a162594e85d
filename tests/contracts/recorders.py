"""Recording relays for HTTP and peer messages, and normalisation of recordings."""

import base64
import json
import re
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import cattrs
import msgpack
import urllib3

from pollenkeel_kernel import SystemClock
from pollenkeel_kernel.core.messages import ErrorReply, Message
from pollenkeel_kernel.core.transport import PeerClient, ReplyServer

CLOCK = SystemClock()
_ID = re.compile(r"\b[0-9a-f]{32}\b|(?<=entry-0-)[0-9a-f]{12}(?=-)")
_USER_AGENT = re.compile(r"python-urllib3/\S+")
_PORT = re.compile(r"127\.0\.0\.1:\d+")
#: Fields with measurements, which differ in each run.
_MEASURED = {"progress", "p99_seconds", "usage", "usage_at"}
#: Headers set by the HTTP libraries or different in each run.
_LIBRARY_HEADERS = {"date", "server", "host", "connection", "content-length"}


class HttpRecorder:
    """Forwards HTTP requests to ``target`` and records them in ``exchanges``."""

    def __init__(self, target="", change_body=lambda body: body):
        recorder = self
        self.target = target
        self.exchanges = []
        self._change_body = change_body
        self._pool = urllib3.PoolManager(retries=False, timeout=30, maxsize=16)

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def serve(self):
                recorder._forward(self)

            do_GET = do_POST = do_PUT = do_DELETE = serve  # noqa: N815

            def log_message(self, *args):
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self._server.server_address[1]}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )
        self._thread.start()

    def _forward(self, handler):
        length = int(handler.headers.get("Content-Length") or 0)
        body = self._change_body(handler.rfile.read(length))
        headers = dict(handler.headers.items())
        headers.pop("Content-Length", None)
        try:
            response = self._pool.request(
                handler.command,
                self.target + handler.path,
                body=body or None,
                headers=headers,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError:
            handler.close_connection = True
            return
        self.exchanges.append(
            {
                "request": f"{handler.command} {handler.path}",
                "headers": _filter_headers(handler.headers),
                "body": read_content(body),
                "status": response.status,
                "reply_headers": _filter_headers(response.headers),
                "reply": read_content(response.data),
            }
        )
        handler.send_response(response.status)
        for name, value in response.headers.items():
            if name.lower() not in _LIBRARY_HEADERS - {"content-length"}:
                handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.write(response.data)

    def close(self):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


class PeerRecorder:
    """Forwards messages to ``target`` and records them.

    While ``hold`` is set, dispatches are withheld until ``released`` is set.
    """

    def __init__(self):
        self.target = ""
        self.exchanges = []
        self.hold = False
        self.released = threading.Event()
        self._lock = threading.Lock()
        self._client = None
        self._server = ReplyServer("tcp://127.0.0.1:0", "relay", CLOCK, self._forward)
        self.address = self._server.address

    def _forward(self, message):
        name = type(message).__name__
        if name == "Dispatch" and self.hold:
            self.released.wait(30)
            return self._reply_with_error(message, "withheld")
        with self._lock:
            if self._client is None:
                self._client = PeerClient(self.target, CLOCK)
        reply = self._client.call(message, CLOCK.now() + 10)
        if reply.is_err():
            return self._reply_with_error(message, str(reply.err_value))
        self._record(message, reply.ok_value)
        return reply.ok_value

    def _reply_with_error(self, message, detail):
        reply = ErrorReply("relay", CLOCK.now(), 9000, detail)
        if detail == "withheld":
            self._record(message, reply)
        return reply

    def _record(self, message: Message, reply: Message):
        self.exchanges.append(
            {
                "message": type(message).__name__,
                "fields": cattrs.unstructure(message),
                "reply": type(reply).__name__,
                "reply_fields": cattrs.unstructure(reply),
            }
        )

    def close(self):
        self.released.set()
        self._server.close()
        if self._client is not None:
            self._client.close()


def read_row(write):
    """Return a copy of a row write with its value decoded."""
    value = base64.b64decode(write["value"] or "")
    return {**write, "value": read_content(value)}


def read_content(content):
    """Return JSON or msgpack as plain values, other content as text."""
    if not content:
        return ""
    try:
        return json.loads(content)
    except ValueError:
        pass
    try:
        found = msgpack.unpackb(content)
        if isinstance(found, list | dict):
            return found
    except Exception:  # msgpack raises several unrelated types
        pass
    return content.decode(errors="replace")


def normalise(value):
    """Return a recording with placeholders for values that differ between runs."""
    ids = {}

    def replace_id(match):
        return ids.setdefault(match.group(), f"<id {len(ids) + 1}>")

    def normalise_item(item, key=""):
        if key in _MEASURED and not isinstance(item, str):
            return "<measured>"
        if isinstance(item, bytes):
            item = read_content(item)
        if isinstance(item, dict):
            kept = _filter_headers(item) if key == "headers" else item
            return {normalise_item(k): normalise_item(v, k) for k, v in kept.items()}
        if isinstance(item, list):
            return [normalise_item(v) for v in item]
        if isinstance(item, float) and item > 1e9:
            return "<time>"
        if isinstance(item, str):
            text = re.sub(r"\b1\d{9}\.\d+", "<time>", item)
            text = _USER_AGENT.sub("python-urllib3", _ID.sub(replace_id, text))
            return _PORT.sub("127.0.0.1:<port>", text)
        return item

    return normalise_item(value)


def _filter_headers(headers):
    names = sorted(n for n in headers if n.lower() not in _LIBRARY_HEADERS)
    return {name: headers[name] for name in names}
