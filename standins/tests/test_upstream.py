"""Contract tests of the upstream interface."""

import json
import threading

import pytest
import urllib3

from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.serving import StandinServer, json_answer
from pollenkeel_standins.upstream import Upstream, UpstreamOptions

LIMIT = 20.0


class Agent:
    """Fake agent that records the calls of upstreams."""

    def __init__(self):
        self.calls = []
        self.server = StandinServer(self.handle, 0, 4)

    def handle(self, request):
        body = json.loads(request.body) if request.body else None
        self.calls.append((request.method, request.uri, body))
        return json_answer({})


@pytest.fixture
def agent():
    agent = Agent()
    yield agent
    agent.server.close()


@pytest.fixture
def upstream(agent):
    options = UpstreamOptions("desk", "vm-1", agent.server.url, slots=2, work_ms=1.0)
    upstream = Upstream(options)
    upstream.url = upstream.start(0, 16)
    yield upstream
    upstream.shut_down()


@pytest.fixture
def pool():
    return urllib3.PoolManager(maxsize=16, retries=False, timeout=5.0)


def send(pool, upstream, **headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return pool.request("POST", f"{upstream.url}/a/b?c=d", body=b"body", headers=names)


def test_announces_and_deregisters_itself(agent, upstream):
    """Guards against an upstream that is not registered, or that stays registered."""
    wait_until(lambda: len(agent.calls) >= 2, LIMIT)
    method, uri, body = agent.calls[0]
    assert (method, uri) == ("POST", "/v1/upstreams/desk")
    assert body["url"] == upstream.url
    assert (body["slots"], body["in_flight"]) == (2, 0)
    upstream.shut_down()
    assert agent.calls[-1][:2] == ("DELETE", "/v1/upstreams/desk")


def test_echoes_and_records_requests(pool, upstream):
    """Guards against answers that cannot be matched to their requests."""
    response = send(pool, upstream, Pollenkeel_Attempt="a-1", Idempotency_Key="k")
    assert (response.status, response.data) == (200, b"body")
    assert response.headers["Standin-Attempt"] == "a-1"
    execution = upstream.record()["executions"][0]
    assert execution["name"] == "a-1"
    assert execution["fields"]["key"] == "k"
    assert execution["fields"]["uri"] == "/a/b?c=d"
    assert execution["start"] < execution["end"]
    special = send(pool, upstream, Reply_Status="404", Reply_Bytes="100000")
    assert (special.status, len(special.data)) == (404, 100000)


def test_requests_above_the_slots_count_as_overloads(pool, upstream):
    """Guards against admission errors that do not appear in the record."""
    threads = [
        threading.Thread(target=send, args=(pool, upstream), kwargs={"Work_Ms": "500"})
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert upstream.record()["overloads"] == 1


@pytest.mark.parametrize(
    ("faults", "runs"),
    [
        ({"truncate": 1}, 1),
        ({"break_after": 1}, 1),
        ({"hang_after": 1}, 1),
        ({"lose_answers": 1}, 1),
        ({"down": "break"}, 0),
    ],
)
def test_broken_answers(upstream, faults, runs):
    """Guards against an incomplete answer that is accepted as complete."""
    upstream.switches.change(faults).unwrap()
    pool = urllib3.PoolManager(retries=False, timeout=1.0)
    with pytest.raises(urllib3.exceptions.HTTPError):
        send(pool, upstream)
    assert len(upstream.record()["executions"]) == runs


def test_shutdown_finishes_requests_in_flight(pool, upstream):
    """Guards against a planned stop that aborts a request."""
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(send(pool, upstream, Work_Ms="700"))
    )
    thread.start()
    wait_until(lambda: upstream.record()["executions"], LIMIT)
    upstream.shut_down()
    thread.join()
    assert responses[0].data == b"body"
