"""Guards against mismatched replies, hangs and crashes on invalid input."""

import threading
import time

import pynng
import pytest
from result import Err, Ok

from pollenkeel_kernel import Code, SystemClock
from pollenkeel_kernel.core.codec import decode
from pollenkeel_kernel.core.messages import Heartbeat, HeartbeatReply, Message
from pollenkeel_kernel.core.transport import PeerClient, ReplyServer

CLOCK = SystemClock()


def echo_epoch(message: Message) -> Message:
    return HeartbeatReply("server", CLOCK.now(), message.sender)


@pytest.fixture
def server():
    server = ReplyServer("tcp://127.0.0.1:0", "server", CLOCK, echo_epoch)
    yield server
    server.close()


@pytest.fixture
def client(server):
    client = PeerClient(server.address, CLOCK)
    yield client
    client.close()


def test_concurrent_calls_get_their_own_replies(client):
    """Guards against replies delivered to the wrong caller."""
    results = {}

    def call(name):
        message = Heartbeat(name, CLOCK.now())
        results[name] = client.call(message, CLOCK.now() + 5)

    threads = [threading.Thread(target=call, args=(f"c{i}",)) for i in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert {n: r.unwrap().epoch for n, r in results.items()} == {n: n for n in results}


def test_unreachable_peer_is_reported_as_not_sent():
    """Guards against "outcome unknown" for a message that was never sent."""
    client = PeerClient("tcp://127.0.0.1:1", CLOCK)
    result = client.call(Heartbeat("c", CLOCK.now()), CLOCK.now() + 0.2)
    client.close()
    assert isinstance(result, Err)
    assert result.err_value.code is Code.PEER_UNREACHABLE


def test_redial_fails_pending_calls_immediately():
    """Guards against calls that wait until their deadline on a replaced connection."""
    release = threading.Event()
    received = threading.Event()

    def wait(message):
        received.set()
        release.wait(20)
        return echo_epoch(message)

    server = ReplyServer("tcp://127.0.0.1:0", "server", CLOCK, wait)
    client = PeerClient(server.address, CLOCK)
    results = []

    def call():
        results.append(client.call(Heartbeat("c", CLOCK.now()), CLOCK.now() + 20))

    thread = threading.Thread(target=call)
    thread.start()
    assert received.wait(5)
    started = time.monotonic()
    client.redial()
    thread.join(10)
    release.set()
    assert time.monotonic() - started < 5
    assert results[0].err_value.code is Code.NO_REPLY
    server.close()
    client.close()


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"", Code.BAD_MESSAGE),
        (b"\xc1garbage", Code.BAD_MESSAGE),
        (b"\x93\x63\xa9Heartbeat\x80", Code.UNSUPPORTED_PROTOCOL),
        (b"\x93\x01\xa6Nobody\x80", Code.UNKNOWN_MESSAGE),
        (b"\x93\x01\xa9Heartbeat\x80", Code.BAD_MESSAGE),
    ],
)
def test_bad_input_gets_a_result_code(server, client, data, code):
    """Guards against a process that crashes or does not reply on malformed messages."""
    with pynng.Req0(dial=server.address, recv_timeout=5000) as socket:
        socket.send(data)
        reply = decode(socket.recv()).unwrap()
    assert reply.code == code
    result = client.call(Heartbeat("c", CLOCK.now()), CLOCK.now() + 5)
    assert isinstance(result, Ok)


def test_close_and_redial_under_load_never_block():
    """Guards against nng blocking or aborting if a socket is closed while in use."""
    for round_number in range(6):
        server = ReplyServer("tcp://127.0.0.1:0", "server", CLOCK, echo_epoch)
        clients = [PeerClient(server.address, CLOCK) for _ in range(3)]
        stop = threading.Event()
        calls = []

        def run(client, stop=stop, calls=calls):
            while not stop.is_set():
                message = Heartbeat("c", CLOCK.now())
                calls.append(client.call(message, CLOCK.now() + 1))

        threads = [
            threading.Thread(target=run, args=(client,), daemon=True)
            for client in clients * 4
        ]
        for thread in threads:
            thread.start()
        for _ in range(3):
            wanted = len(calls) + 20
            while len(calls) < wanted:
                stop.wait(0.005)
            for client in clients:
                client.redial()
        parts = [server, *clients] if round_number % 2 else [*clients, server]
        for part in parts:
            part.close()
        stop.set()
        for thread in threads:
            thread.join(10)
        assert not any(thread.is_alive() for thread in threads)
