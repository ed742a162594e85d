"""Tests of the reservation of ports."""

import socket

import pynng
import pytest

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.ports import PortReservations

ADDRESSES = {"entry-0": ("clients", "ready", "peers"), "agent-0": ("runner", "peers")}


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


def test_ports_of_a_site_are_held_while_its_processes_are_down(tmp_path):
    """Guards against a process that fails with AddressInUse when it starts.

    Another site could get a port between its choice and the start of the process that
    listens on it, and between two runs of that process.
    """
    with JobSite(tmp_path, entries=1, vms=1) as site:
        for name in ("entry-0", "agent-0"):
            process = site.processes_by_name[name]
            values = [process.ready[key] for key in ADDRESSES[name]]
            process.kill()
            for value in values:
                port = value.rpartition(":")[2]
                with pytest.raises(OSError), socket.socket() as other:
                    other.bind(("127.0.0.1", int(port)))
            site.restart(name)
