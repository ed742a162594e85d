"""Guards against requests that run twice, get lost or get a wrong reply."""

import threading

import attrs
import pytest

from pollenkeel_agent.core.attempts import AttemptTable
from pollenkeel_agent.core.dispatch import DispatchHandler
from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.upstreams import UpstreamAnnouncement, UpstreamRegistry
from pollenkeel_kernel import Code, ManualClock, SystemClock
from pollenkeel_kernel.core.digest import body_digest
from pollenkeel_kernel.core.messages import Dispatch, QueryAttempt, Resources

BODY_LIMIT = 1000


class Agent:
    def __init__(self, clock, upstream):
        self.clock = clock
        self.ledger = Ledger(Resources(8, 32))
        self.upstreams = UpstreamRegistry(self.ledger, clock, 5.0, lambda url: True)
        self.leaving = threading.Event()
        self.url = upstream.url
        table = AttemptTable(clock, 10)
        self.handler = DispatchHandler(
            "agent",
            "e1",
            clock,
            self.ledger,
            table,
            self.upstreams,
            BODY_LIMIT,
            self.leaving,
        )
        self.announce()

    def announce(self, in_flight=0):
        self.upstreams.announce("desk", UpstreamAnnouncement(self.url, 2, in_flight))

    def dispatch(self, **fields):
        return self.handler.dispatch(self.make(**fields))

    def make(self, **fields):
        now = self.clock.now()
        values = {
            "attempt_id": "a",
            "agent_epoch": "e1",
            "service": "desk",
            "team": "north",
            "method": "POST",
            "path": "/quote?x=1",
            "headers": {},
            "body": b"body",
            "idempotent": False,
            "start_before": now + 5,
            "deadline": now + 10,
            **fields,
        }
        return Dispatch("entry", now, **values)

    def query(self, tombstone=True, epoch="e1"):
        message = QueryAttempt("entry", self.clock.now(), "a", epoch, tombstone)
        return self.handler.query(message)


@pytest.fixture
def agent(upstream):
    return Agent(SystemClock(), upstream)


def test_request_and_answer_are_forwarded_unchanged(agent, upstream):
    """Guards against forwarded hop-by-hop headers and altered bodies."""
    headers = {"X-A": "1", "Connection": "X-B", "X-B": "2", "TE": "trailers"}
    reply = agent.dispatch(headers=headers, path="/quote?x=%2F1")
    method, path, seen, body = upstream.seen[0]
    assert (method, path, body) == ("POST", "/quote?x=%2F1", b"body")
    assert seen["X-A"] == "1"
    assert seen["Pollenkeel-Attempt"] == "a"
    assert seen["Pollenkeel-Team"] == "north"
    assert not {"X-B", "TE", "User-Agent"} & set(seen)
    assert (reply.code, reply.status, reply.body) == (Code.OK, 200, b"body")
    assert (reply.body_length, reply.body_digest) == (4, body_digest(b"body"))
    assert reply.headers["X-Name"] == "1"
    assert not {"X-Hop", "Connection", "Content-Length"} & set(reply.headers)
    assert reply.free_slots == 2


def test_head_and_redirect_are_forwarded(agent, upstream):
    """Guards against following redirects and waiting for a body that never comes."""
    head = agent.dispatch(method="HEAD", body=b"", idempotent=True)
    assert (head.code, head.status) == (Code.OK, 200)
    upstream.mode = "redirect"
    reply = agent.dispatch(attempt_id="b")
    assert (reply.status, reply.headers["Location"]) == (302, "/other")
    assert len(upstream.seen) == 2


def test_repeat_of_an_attempt_gets_the_same_reply(agent, upstream):
    """Guards against a second execution after a duplicate delivery."""
    first = agent.dispatch()
    assert agent.dispatch() == first
    assert agent.query().reply == first
    assert len(upstream.seen) == 1


def test_delayed_dispatch_after_a_tombstone_is_refused(agent, upstream):
    """Guards against executing a request that was reported as not run."""
    delayed = agent.make()
    assert agent.query().state == "tombstoned"
    assert agent.handler.dispatch(delayed).code == Code.TOMBSTONED
    assert upstream.seen == []


def test_query_for_another_epoch_returns_lost(agent, upstream):
    """Guards against a not-run report for an attempt of an earlier agent process."""
    assert agent.dispatch(agent_epoch="e0").code == Code.STALE_AGENT_EPOCH
    assert agent.query(epoch="e0").state == "lost"
    assert upstream.seen == []


def test_start_before_is_checked_just_before_the_call(upstream):
    """Guards against a start after ``start_before`` by a process that was suspended."""

    class SteppingClock(ManualClock):
        def now(self):
            # Each reading is 1 s later, as if the process were suspended between its
            # checks.
            self.advance(1.0)
            return super().now()

    agent = Agent(SteppingClock(), upstream)
    message = agent.make()
    message = attrs.evolve(message, start_before=message.sent_at + 3)
    assert agent.handler.dispatch(message).code == Code.START_EXPIRED
    assert upstream.seen == []
    assert agent.ledger.free_slots("desk") == 2


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"service": "other"}, Code.NO_UPSTREAM),
        ({"body": bytes(BODY_LIMIT + 1)}, Code.BODY_TOO_LARGE),
        ({"path": "quote"}, Code.BAD_REQUEST),
        ({"start_before": 0.0}, Code.START_EXPIRED),
        ({"start_before": 1e12}, Code.BAD_REQUEST),
    ],
)
def test_refusals_send_nothing(agent, upstream, fields, code):
    """Guards against reporting a request as not run although it was sent."""
    assert agent.dispatch(**fields).code == code
    assert agent.query().state == "refused"
    assert upstream.seen == []
    assert agent.ledger.free_slots("desk") == 2


def test_leaving_upstream_and_agent_refuse_requests(agent, upstream):
    """Guards against new work on a leaving upstream or agent."""
    agent.upstreams.mark_leaving("desk")
    assert agent.dispatch().code == Code.UPSTREAM_LEAVING
    agent.upstreams.announce("desk", UpstreamAnnouncement(agent.url + "/", 2))
    agent.leaving.set()
    assert agent.dispatch(attempt_id="b").code == Code.AGENT_LEAVING
    assert upstream.seen == []
    assert agent.ledger.in_flight() == 0


def test_refused_connection_is_reported_as_not_run(agent, upstream):
    """Guards against an unknown outcome although nothing was sent."""
    upstream.close()
    assert agent.dispatch().code == Code.UPSTREAM_UNREACHABLE
    assert agent.ledger.free_slots("desk") == 2


@pytest.mark.parametrize(
    ("mode", "size", "code"),
    [
        ("truncate", 4, Code.ANSWER_BROKEN),
        ("reset", 4, Code.ANSWER_BROKEN),
        ("unbounded", 4, Code.ANSWER_BROKEN),
        ("echo", BODY_LIMIT, Code.OK),
    ],
)
def test_truncated_answers_are_never_forwarded(agent, upstream, mode, size, code):
    """Guards against a truncated answer that is forwarded as complete."""
    upstream.mode = mode
    reply = agent.dispatch(body=bytes(size))
    assert reply.code == code
    assert len(reply.body) == (size if code is Code.OK else 0)


def test_too_large_answer_is_refused(agent, upstream):
    """Guards against unbounded memory use by large answers."""
    upstream.answer = lambda handler, body: send_large(handler)
    assert agent.dispatch().code == Code.ANSWER_TOO_LARGE


def send_large(handler):
    handler.send_response(200)
    handler.send_header("Content-Length", str(BODY_LIMIT + 1))
    handler.end_headers()
    handler.wfile.write(bytes(BODY_LIMIT + 1))


def test_timed_out_call_keeps_its_slot_until_it_ends(agent, upstream):
    """Guards against reusing the slot of a timed-out call that is still running."""
    upstream.mode = "hold"
    now = agent.clock.now()
    assert agent.dispatch(idempotent=True, deadline=now + 0.2).code == Code.NO_REPLY
    assert agent.ledger.free_slots("desk") == 1
    for in_flight, free in ((0, 1), (1, 1), (0, 2)):
        agent.announce(in_flight)
        assert agent.ledger.free_slots("desk") == free


def test_slots_bound_the_calls_in_progress(agent, upstream):
    """Guards against more requests at the upstream than it has slots."""
    upstream.mode = "hold"
    replies = []
    threads = [
        threading.Thread(
            target=lambda i=i: replies.append(agent.dispatch(attempt_id=f"a{i}"))
        )
        for i in range(2)
    ]
    for thread in threads:
        thread.start()
    assert upstream.entered.wait(10)
    while agent.ledger.free_slots("desk"):
        threading.Event().wait(0.01)
    assert agent.dispatch(attempt_id="b").code == Code.VM_FULL
    assert agent.dispatch(attempt_id="a0").code == Code.ATTEMPT_RUNNING
    upstream.release.set()
    for thread in threads:
        thread.join()
    assert [reply.code for reply in replies] == [Code.OK, Code.OK]
    assert agent.ledger.free_slots("desk") == 2
