"""Guards against malformed answers of upstreams and workers accepted as valid."""

import json
import socketserver
import threading
import uuid

import pytest
import urllib3
from result import Err

from pollenkeel_agent.core.worker import StartResult, WorkerClient
from pollenkeel_kernel import Code, SystemClock
from pollenkeel_kernel.core.messages import Dispatch, Resources, TaskKey, TaskStart
from pollenkeel_kernel.core.transport import PeerClient

CLOCK = SystemClock()
OK = b"HTTP/1.1 200 OK\r\n"
NOT_NUMBERS = ('"1"', "null", "true", "NaN", "Infinity", "1e400", "[]")


class RawServer:
    """Answers each connection with fixed bytes after the end of the headers."""

    def __init__(self):
        raw_server = self
        self.answer = b""

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                while self.rfile.readline().strip():
                    pass
                self.wfile.write(raw_server.answer)

        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self.server.server_address[1]}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,))
        self.thread.start()

    def close(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


@pytest.fixture
def raw():
    server = RawServer()
    yield server
    server.close()


@pytest.fixture
def dispatch(site, raw):
    """Return a function that sends an attempt through the agent to the raw server."""
    agent = site.agents_by_vm["vm-kingston"]
    epoch = site.dump(agent)["agent"]["epoch"]
    client = PeerClient(agent.peer_address, CLOCK)

    def send():
        # Slots of failed calls stay reserved until the upstream reports fewer in use.
        body = json.dumps({"url": raw.url, "slots": 1000, "in_flight": 0})
        url = f"{agent.url}/v1/upstreams/raw"
        assert urllib3.request("POST", url, body=body, retries=False).status == 200
        now = CLOCK.now()
        target = ("raw", "counters", "GET", "/x", {}, b"", True, now + 5, now + 10)
        message = Dispatch("tester", now, uuid.uuid4().hex, epoch, *target)
        return client.call(message, now + 15).unwrap()

    yield send
    client.close()


BROKEN_ANSWERS = [
    b"",
    b"\x00\xff\r\n\r\n",
    b"HTTP/1.1 abc OK\r\n\r\n",
    OK + b"Content-Length: x\r\n\r\nabc",
    OK + b"Content-Length: -3\r\n\r\nabc",
    OK + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
    OK + b"Content-Length: 3\r\n\r\nab",
    OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
    OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    OK + b"X: " + b"y" * 200_000 + b"\r\nContent-Length: 0\r\n\r\n",
    OK + b"X: y\r\n" * 500 + b"Content-Length: 0\r\n\r\n",
    OK + b"\r\nabc",
]


def test_broken_answers_of_an_upstream_have_a_code(raw, dispatch):
    """Guards against truncated or malformed answers that reach the caller."""
    for answer in BROKEN_ANSWERS:
        raw.answer = answer
        reply = dispatch()
        assert getattr(reply, "code", 0) == Code.ANSWER_BROKEN, (answer[:99], reply)
        assert getattr(reply, "body", b"") == b"", answer[:99]
    raw.answer = OK + b"Content-Length: 3\r\n\r\nabc"
    assert dispatch().body == b"abc"


def json_answer(text, status=b"200 OK"):
    body = text.encode()
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
    return head + body


def test_malformed_task_lists_are_rejected(raw):
    """Guards against a malformed task list that hides tasks or ends the poll thread."""
    client = WorkerClient(raw.url, CLOCK, 2.0)
    now = CLOCK.now()
    texts = ["", "<html>", "[]", "null", "{}", f'{{"now": {now}}}', "[" * 50_000]
    texts += [f'{{"now": {value}, "tasks": []}}' for value in NOT_NUMBERS]
    texts += [f'{{"now": {now}, "tasks": {value}}}' for value in ('"x"', "{}", "[1]")]
    for fields in ("", '"task_id": "a", "attempt": "x", "state": "running"'):
        texts.append(f'{{"now": {now}, "tasks": [{{{fields}}}]}}')
    for value in ("NaN", "-1", '"x"'):
        task = '"task_id": "a", "attempt": 1, "state": "running"'
        task += f', "usage": {{"cores": {value}}}'
        texts.append(f'{{"now": {now}, "tasks": [{{{task}}}]}}')
    for text in texts:
        raw.answer = json_answer(text)
        listed = client.list_tasks()
        assert isinstance(listed, Err), (text[:200], listed)
    assert not client.clock_measured or abs(client.to_worker_time(now) - now) < 20


def test_broken_answer_to_a_start_means_unknown(raw):
    """Guards against a start that is recorded as rejected although it may run."""
    client = WorkerClient(raw.url, CLOCK, 2.0)
    now = CLOCK.now()
    raw.answer = json_answer(f'{{"now": {now}, "tasks": []}}')
    assert client.list_tasks().is_ok()
    start = TaskStart("t", 1, "k", "team", Resources(), "run 1", "", now + 5, now + 9)
    for answer in (
        b"",
        b"\x00\xff\r\n\r\n",
        json_answer("{}", b"502 Bad Gateway"),
        json_answer("{}", b"404 Not Found"),
        json_answer("<html>", b"500 Oops"),
        json_answer("[" * 50_000, b"201 Created"),
        b"HTTP/1.1 409 Conflict\r\nContent-Length: 10\r\n\r\n{",
    ):
        raw.answer = answer
        outcome = client.start(start, now + 5)
        assert outcome.result is StartResult.UNKNOWN, (answer[:99], outcome)
        assert not client.stop(TaskKey("t", 1)) or answer.startswith(b"HTTP/1.1 201")
