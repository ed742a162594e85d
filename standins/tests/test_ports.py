"""Tests of the reservation of ports."""

import socket

import pynng
import pytest

from pollenkeel_standins.ports import PortReservations


@pytest.fixture
def ports():
    reservations = PortReservations()
    yield reservations
    reservations.close()


def test_reserved_port_is_given_to_nobody_else(ports):
    """Guards against a restarted process whose port another one has got meanwhile."""
    reserved = {ports.reserve() for _ in range(50)}
    with pytest.raises(OSError), socket.socket() as other:
        other.bind(("127.0.0.1", min(reserved)))
    assert len(reserved) == 50


def test_servers_listen_on_a_reserved_port_again_and_again(ports):
    """Guards against a reservation that keeps out its own process."""
    port = ports.reserve()
    for _ in range(3):
        with pynng.Rep0(listen=f"tcp://127.0.0.1:{port}"):
            pass
        with socket.create_server(("127.0.0.1", port)) as server:
            client = socket.create_connection(("127.0.0.1", port))
            server.accept()[0].close()
            client.close()
