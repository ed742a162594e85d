"""Guards against relay modes that do not cause the network fault they stand for."""

import socket
import time

import pytest

from pollenkeel_standins.relay import Mode, Relay


@pytest.fixture
def target():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


@pytest.fixture
def relay(target):
    with Relay(f"tcp://127.0.0.1:{target.getsockname()[1]}") as relay:
        yield relay


def connect(relay, target):
    host, port = relay.address.removeprefix("tcp://").split(":")
    client = socket.create_connection((host, int(port)), timeout=5)
    server = target.accept()[0]
    server.settimeout(5)
    return client, server


def test_forwards_data_and_the_end_of_a_connection(relay, target):
    client, server = connect(relay, target)
    with client, server:
        client.sendall(b"there")
        assert server.recv(10) == b"there"
        server.sendall(b"back")
        assert client.recv(10) == b"back"
        server.close()
        assert client.recv(10) == b""


def test_held_data_waits_for_its_release(relay, target):
    client, server = connect(relay, target)
    other, other_server = connect(relay, target)
    held = relay.hold(b"key")
    with client, server, other, other_server:
        client.sendall(b"a key")
        assert held.arrived.wait(5)
        other.sendall(b"another key")
        assert other_server.recv(20) == b"another key"
        client.close()
        server.settimeout(0.2)
        with pytest.raises(TimeoutError):
            server.recv(20)
        held.release()
        server.settimeout(5)
        assert server.recv(20) == b"a key"


def test_established_connections_go_silent_and_new_ones_work(relay, target):
    client, server = connect(relay, target)
    relay.silence_established()
    other, other_server = connect(relay, target)
    with client, server, other, other_server:
        client.sendall(b"lost")
        other.sendall(b"works")
        assert other_server.recv(10) == b"works"
        server.settimeout(0.3)
        with pytest.raises(TimeoutError):
            server.recv(10)


def test_cut_closes_connections_and_pass_accepts_new_ones(relay, target):
    client, server = connect(relay, target)
    relay.set_mode(Mode.CUT)
    with client, server:
        assert client.recv(10) == b""
    relay.set_mode(Mode.PASS)
    client, server = connect(relay, target)
    client.close()
    server.close()


def test_delay_applies_to_forwarded_data(relay, target):
    client, server = connect(relay, target)
    relay.set_delay(0.3)
    with client, server:
        began = time.monotonic()
        client.sendall(b"slow")
        assert server.recv(10) == b"slow"
        assert time.monotonic() - began >= 0.3


def test_block_closes_only_the_connections_of_one_sender(relay, target):
    relay.block(b"entry-1")
    client, server = connect(relay, target)
    other, other_server = connect(relay, target)
    with client, server, other, other_server:
        client.sendall(b"from entry-1")
        other.sendall(b"from entry-2")
        assert other_server.recv(20) == b"from entry-2"
        assert client.recv(20) == b""


def test_one_way_carries_only_what_is_sent_to_the_target(relay, target):
    client, server = connect(relay, target)
    relay.set_mode(Mode.ONE_WAY)
    with client, server:
        client.sendall(b"there")
        assert server.recv(10) == b"there"
        server.sendall(b"back")
        client.settimeout(0.3)
        with pytest.raises(TimeoutError):
            client.recv(10)
        client.sendall(b"again")
        assert server.recv(10) == b"again"
