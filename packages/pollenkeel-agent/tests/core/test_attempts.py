"""Guards against running an attempt twice and wrongly reporting it as not run."""

import threading

import pytest

from pollenkeel_agent.core.attempts import AttemptTable
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.messages import Dispatch, DispatchReply


def make_dispatch(clock, attempt_id="a", idempotent=False, **fields):
    now = clock.now()
    values = {
        "agent_epoch": "e1",
        "service": "desk",
        "team": "north",
        "method": "POST",
        "path": "/quote?x=1",
        "headers": {},
        "body": b"body",
        "start_before": now + 1,
        "deadline": now + 5,
        **fields,
    }
    return Dispatch("entry", now, attempt_id, idempotent=idempotent, **values)


def make_reply(attempt_id="a", code=Code.OK, body=b""):
    return DispatchReply("agent", 0.0, attempt_id, code.value, body=body)


@pytest.fixture
def table(clock):
    return AttemptTable(clock, 2)


def test_tombstone_and_start_never_both_succeed(clock):
    """Guards against a start that races with a tombstone."""
    table = AttemptTable(clock, 10)
    for number in range(200):
        barrier = threading.Barrier(2)
        results = []

        def start(number=number, barrier=barrier, results=results):
            barrier.wait()
            results.append(table.begin(make_dispatch(clock, f"a{number}")) is None)

        thread = threading.Thread(target=start)
        thread.start()
        barrier.wait()
        tombstoned = table.query(f"a{number}", True).state == "tombstoned"
        thread.join()
        assert results[0] is not tombstoned


def test_removed_attempt_is_never_reported_as_not_run(clock, table):
    """Guards against a second execution when a request is repeated much later."""
    table.begin(make_dispatch(clock))
    table.finish(make_reply())
    clock.advance(1000)
    table.purge_expired()
    assert table.query("a", True).state == "lost"
    assert table.query("b", True).state == "tombstoned"


def test_kept_replies_are_bounded(clock, table):
    """Guards against unbounded memory and a new run after a reply was discarded."""
    for attempt_id in "abc":
        table.begin(make_dispatch(clock, attempt_id))
        table.finish(make_reply(attempt_id))
    assert table.query("a", True).reply is None
    assert table.query("a", True).state == "finished"
    assert table.begin(make_dispatch(clock, "c")) == make_reply("c")


def test_refusals_do_not_displace_kept_replies(clock, table):
    """Guards against answers that are displaced by a burst of refusals."""
    table.begin(make_dispatch(clock))
    table.finish(make_reply())
    for number in range(5):
        table.begin(make_dispatch(clock, f"r{number}"))
        table.finish(make_reply(f"r{number}", Code.VM_FULL))
    assert table.query("a", False).reply == make_reply()
    clock.advance(1)
    table.purge_expired()
    assert table.query("r1", False).state == "unseen"


def test_kept_bytes_are_bounded(clock, table):
    """Guards against exceeding the memory limit with a few large answers."""
    for attempt_id in "ab":
        table.begin(make_dispatch(clock, attempt_id))
        table.finish(make_reply(attempt_id, body=bytes(20 * 1024 * 1024)))
    assert table.query("a", False).reply is None
    assert table.query("b", False).reply is not None
