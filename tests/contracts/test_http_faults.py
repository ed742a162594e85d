"""Guards against wrong statuses, missing result codes and crashes on invalid HTTP.

Each invalid request is rejected with the JSON body of section 5.1 of the design page.
"""

import json
import socket
from urllib.parse import urlsplit

import pytest
import urllib3

from pollenkeel_kernel import Code
from pollenkeel_standins.site import TEAM

HTTP = urllib3.PoolManager(retries=False, timeout=20)
BODY_LIMIT = 100_000
TASK = {
    "task_id": "t",
    "command": "run 0.1",
    "resources": {"cores": 1, "memory_gb": 1, "accelerators": 0},
    "run_time": 1,
}
JOB = {
    "job_id": "bad",
    "team": TEAM,
    "kind": "cutting",
    "deadline": 0,
    "urgent": False,
    "tasks": [TASK],
}
CONFIG = {
    "base": {"data_centres": {"kingston": {"region": "r", "site": "s"}}},
    "overlays_by_site": {},
    "expected_version": 0,
    "change_id": "bad",
}
DRAIN = "/v1/data-centres/kingston/drain"
SERVICE = "/v1/services/desk/x"
BODIES = ("/v1/jobs", "/v1/config", DRAIN)
READ_ONLY = ("/v1/status", "/v1/dump", "/metrics", "/healthz", "/readyz")


def with_size(name, value):
    return JOB | {"tasks": [TASK | {"resources": TASK["resources"] | {name: value}}]}


def invalid_bodies():
    for path in BODIES:
        code = Code.BAD_JOB if path == "/v1/jobs" else Code.BAD_REQUEST
        for body in (b"", b"{", b"\xff\xfe", b"[" * 50_000, b"null", b"[]", b'{"a":1}'):
            yield "POST", path, body, {}, 400, code
        for size in (BODY_LIMIT + 1, 8 * BODY_LIMIT, 20_000_000):
            yield "POST", path, b" " * size, {}, 413, Code.BODY_TOO_LARGE
        for kind in ("application/x-www-form-urlencoded", "multipart/form-data"):
            yield "POST", path, b"a=1", {"Content-Type": kind}, 400, code
        for length in ("-1", "x", "+1"):
            header = {"Content-Length": length}
            yield "POST", path, b"a", header, 400, Code.BAD_REQUEST
    for change in (
        {"deadline": "soon"},
        {"urgent": 1},
        {"team": "nobody"},
        {"job_id": "a/b"},
        {"tasks": []},
        {"tasks": [TASK, TASK]},
        {"tasks": [TASK | {"command": "\ud800"}]},
        {"tasks": [TASK | {"run_time": float("nan")}]},
    ):
        yield "POST", "/v1/jobs", json.dumps(JOB | change), {}, 400, Code.BAD_JOB
    for name, value in (("cores", 10**400), ("cores", -1), ("accelerators", 10**20)):
        body = json.dumps(with_size(name, value))
        yield "POST", "/v1/jobs", body, {}, 400, Code.BAD_JOB
    for change, status, code in (
        ({"base": 1}, 422, Code.BAD_CONFIG),
        ({"base": {"data_centres": {"k": {"region": 1}}}}, 422, Code.BAD_CONFIG),
        ({"overlays_by_site": []}, 400, Code.BAD_REQUEST),
        ({"expected_version": "1"}, 400, Code.BAD_REQUEST),
        ({"expected_version": True}, 400, Code.BAD_REQUEST),
        ({"change_id": 7}, 400, Code.BAD_REQUEST),
        ({"extra": 1}, 400, Code.BAD_REQUEST),
        ({}, 409, Code.VERSION_CONFLICT),
    ):
        yield "POST", "/v1/config", json.dumps(CONFIG | change), {}, status, code
    for change_id in ("", "\ud800", None, 5):
        body = json.dumps({"change_id": change_id})
        yield "POST", DRAIN, body, {}, 400, Code.BAD_REQUEST


def invalid_routes():
    for path in ("/", "/nope", "/v1", "/v1/nope", "/v1/jobs/a/b", "/v1/jobs?x=1"):
        yield "GET", path, None, {}, 404, Code.NOT_FOUND
    for path in ("/v1/status/x", "/healthz?x=1", "/v1/jobs/none", "/v1/explain/none"):
        yield "GET", path, None, {}, 404, Code.NOT_FOUND
    yield "DELETE", "/v1/jobs/none", None, {}, 404, Code.NOT_FOUND
    yield "GET", "/v1/explain", None, {}, 400, Code.BAD_REQUEST
    for path in READ_ONLY:
        for method in ("POST", "DELETE", "BREW"):
            yield method, path, None, {}, 400, Code.BAD_REQUEST
    for method, path in (
        ("PUT", "/v1/jobs"),
        ("DELETE", "/v1/jobs"),
        ("POST", "/v1/jobs/x"),
        ("DELETE", "/v1/explain/x"),
        ("DELETE", "/v1/config"),
        ("GET", DRAIN),
    ):
        yield method, path, None, {}, 400, Code.BAD_REQUEST
    body = b'{"change_id": "x"}'
    lima = "/v1/data-centres/lima/drain"
    yield "POST", lima, body, {}, 404, Code.UNKNOWN_DATA_CENTRE
    yield "POST", "/v1/data-centres/kingston/x", body, {}, 404, Code.NOT_FOUND
    yield "GET", "/v1/config", None, {"X-Long": "x" * 600_000}, 413, Code.BODY_TOO_LARGE


def invalid_service_requests():
    team = {"Pollenkeel-Team": TEAM}
    for headers in (
        {},
        {"Pollenkeel-Team": "nobody"},
        team | {"Pollenkeel-Idempotent": "yes"},
        team | {"Idempotency-Key": "a b"},
        team | {"Idempotency-Key": "x" * 300},
        team | {"Pollenkeel-Deadline": "soon"},
        team | {"Pollenkeel-Deadline": "nan"},
        team | {"Pollenkeel-Deadline": "1e99"},
        team | {"Content-Length": "-1"},
    ):
        yield "POST", SERVICE, b"a", headers, 400, Code.BAD_REQUEST
    yield "BREW", SERVICE, None, team, 400, Code.BAD_REQUEST
    late = team | {"Pollenkeel-Deadline": "1"}
    yield "GET", SERVICE, None, late, 503, Code.DEADLINE_TOO_CLOSE
    yield "GET", "/v1/services/none/x", None, team, 404, Code.NOT_FOUND
    yield "GET", "/v1/services", None, team, 404, Code.NOT_FOUND
    for size in (BODY_LIMIT + 1, 8 * BODY_LIMIT, 20_000_000):
        yield "POST", SERVICE, b" " * size, team, 413, Code.BODY_TOO_LARGE


def invalid_announcements():
    path = "/v1/upstreams/desk"
    good = {"url": "http://127.0.0.1:1", "slots": 1, "in_flight": 0, "resources": {}}
    for body in (b"", b"{", b"[]", b"\xff", b"[" * 60_000, b"x" * 70_000):
        yield "POST", path, body, {}, 400, Code.BAD_REQUEST
    yield "POST", path, b"x" * 20_000_000, {}, 413, Code.BODY_TOO_LARGE
    for change in (
        {"url": "nope"},
        {"url": "http://[/"},
        {"url": "http://127.0.0.1:99999"},
        {"slots": "8"},
        {"slots": 0},
        {"slots": 10**20},
        {"in_flight": -1},
        {"in_flight": 10**20},
        {"resources": {"cores": 10**400}},
        {"resources": {"cores": float("inf")}},
        {"resources": {"accelerators": 10**20}},
        {"extra": 1},
    ):
        yield "POST", path, json.dumps(good | change), {}, 400, Code.BAD_REQUEST
    for path in ("/", "/v1/nope", "/v1/upstreams", "/v1/upstreams/desk?x=1"):
        yield "POST", path, json.dumps(good), {}, 404, Code.NOT_FOUND
    yield "DELETE", "/v1/upstreams/none", None, {}, 404, Code.NOT_FOUND
    yield "PUT", "/v1/upstreams/desk", None, {}, 405, Code.BAD_REQUEST
    yield "POST", "/v1/dump", None, {}, 400, Code.BAD_REQUEST


def check_rejection(url, method, path, body, headers, status, code):
    response = HTTP.request(method, url + path, body=body, headers=headers)
    context = f"{method} {path} {body!s:.60} {headers!s:.60}: {response.data!r:.200}"
    assert (response.status, response.headers.get("Pollenkeel-Code")) == (
        status,
        str(code.value),
    ), context
    assert response.headers["Content-Type"] == "application/json", context
    refusal = response.json()
    assert refusal.pop("detail"), context
    outcome = response.headers["Pollenkeel-Outcome"]
    assert refusal == {
        "code": code.value,
        "name": code.name,
        "outcome": outcome,
    }, context
    assert outcome == "not-run", context


@pytest.mark.parametrize(
    "table", [invalid_bodies, invalid_routes, invalid_service_requests]
)
def test_entry_rejects_with_code(site, table):
    """Guards against an entry that accepts invalid requests or fails on them."""
    entry = site.entries[0]
    for invalid_request in table():
        check_rejection(entry.url, *invalid_request)
    assert entry.alive
    assert site.call(entry, "GET", "/after").status == 200
    assert site.cluster.call(entry, "GET", "/v1/jobs")[1]["jobs"] == []


def test_agent_rejects_with_code(site):
    """Guards against an agent that accepts invalid announcements or fails on them."""
    agent = site.agents_by_vm["vm-kingston"]
    for invalid_request in invalid_announcements():
        check_rejection(agent.url, *invalid_request)
    assert site.call(site.entries[0], "GET", "/after").status == 200


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01garbage\r\n\r\n",
        b"GET /v1/jobs HTTP/9.9\r\nHost: x\r\n\r\n",
        b"PUT /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST /v1/config HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"POST /nope HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1a\r\nDELETE /v1/jobs/a HTTP/1.1\r\n\r\n0\r\n\r\n",
        b"GET /v1/jobs HTTP/1.1\r\nno colon\r\n\r\n",
    ],
)
def test_malformed_http_is_rejected(site, data):
    """Guards against threads that end or hang, and bodies parsed as requests."""
    for process in (site.entries[0], *site.agents_by_vm.values()):
        parts = urlsplit(process.url)
        with socket.create_connection((parts.hostname, parts.port), 20) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            with connection.makefile("rb") as reader:
                answer = reader.read()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 4"), answer
        assert json.loads(body)["code"] in (Code.BAD_REQUEST, Code.NOT_FOUND, 4007)
        assert site.cluster.call(process, "GET", "/v1/dump")[0] == 200
