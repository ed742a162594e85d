"""Entries with more open connections than threads, as real processes."""

import http.client
import threading
import time

import pytest

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.processes import wait_until

#: More than an entry has threads for clients.
CONNECTIONS = 40
#: Seconds that the platform leaves a process between SIGTERM and SIGKILL.
GRACE_SECONDS = 6.0
#: Seconds within which a client expects an answer.
CLIENT_SECONDS = 3.0
STEPS = [{"Count": 1, "Cpu": 100, "MemMb": 10}]


def connect(site):
    address = site._settings_by_name["entry-0"]["clients_address"]
    connection = http.client.HTTPConnection(address, timeout=2 * CLIENT_SECONDS)
    connection.connect()
    return connection


class Client(threading.Thread):
    """Queries a job on one connection until the entry closes it.

    Attributes
    ----------
    slowest : float
        Longest time from a request to its complete answer, in seconds.
    cut_after : float
        Time in seconds after which a request ended without a complete answer; -1 if
        none has, or if the connection was closed before the request.
    """

    def __init__(self, site):
        super().__init__(daemon=True)
        self._connection = connect(site)
        self.answers = 0
        self.slowest = 0.0
        self.cut_after = -1.0

    def run(self):
        while True:
            began = time.monotonic()
            try:
                self._connection.request(
                    "GET", "/jobs/j", headers={"Host": "desk.example"}
                )
                self._connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                self.cut_after = time.monotonic() - began
                return
            self.answers += 1
            self.slowest = max(self.slowest, time.monotonic() - began)
            time.sleep(0.05)


@pytest.fixture
def site(tmp_path):
    with JobSite(tmp_path, entries=1, vms=1) as site:
        site.submit("j", STEPS, "run 0.1")
        site.wait_for_state("j", "done")
        yield site


def test_idle_connections_keep_no_client_waiting(site):
    """Guards against an entry that serves nobody while connections are unused."""
    idle = [connect(site) for _ in range(CONNECTIONS)]
    assert site.call("GET", "j", 0).status == 200
    assert site.processes_by_name["entry-0"].stop(GRACE_SECONDS) == 0
    assert len(idle) == CONNECTIONS


def test_stop_cuts_no_answer_of_many_clients(site):
    """Guards against requests that an entry reads and never answers as it stops."""
    clients = [Client(site) for _ in range(CONNECTIONS)]
    for client in clients:
        client.start()
    wait_until(
        lambda: all(client.answers for client in clients),
        GRACE_SECONDS,
        "every client has an answer",
    )
    assert site.processes_by_name["entry-0"].stop(GRACE_SECONDS) == 0
    for client in clients:
        client.join(2 * CLIENT_SECONDS)
    assert all(client.answers for client in clients)
    assert max(client.slowest for client in clients) < CLIENT_SECONDS
    # A client may send just as its connection is closed; it learns so at once.
    assert max(client.cut_after for client in clients) < 0.2
