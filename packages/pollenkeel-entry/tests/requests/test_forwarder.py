"""Tests of forwarding: answers, retries, hedged attempts and outcomes."""

import threading

import attrs
import pytest
from result import Ok

from pollenkeel_kernel import Code, Outcome
from pollenkeel_kernel.core.messages import HeartbeatReply
from pollenkeel_kernel.core.transport import TIMEOUT_ROUNDING


def code(result):
    return result.ok_value.code if isinstance(result, Ok) else result.err_value.code


def damage(**changes):
    """Return a reply function that changes fields of a correct reply."""
    return lambda agent, dispatch: attrs.evolve(agent.run(dispatch), **changes)


BROKEN_REPLIES = {
    "other attempt": damage(attempt_id="late"),
    "truncated": damage(body=b"fo"),
    "digest": damage(body_digest="0"),
    "status": damage(status=99),
    "type": lambda agent, dispatch: HeartbeatReply("a", 1.0, "e"),
    "no code": damage(code=1),
}


def test_requests_get_their_own_answers(rig):
    """Guards against mixed-up answers when replies arrive out of order."""
    rig.add_agent("a1", slots=20).default = _slow_for_even
    results = {}

    def send(i):
        results[i] = rig.forward(body=str(i).encode()).unwrap().body

    threads = [threading.Thread(target=send, args=(i,)) for i in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert results == {i: b"for " + str(i).encode() for i in range(40)}


def _slow_for_even(agent, dispatch):
    if int(dispatch.body) % 2 == 0:
        threading.Event().wait(0.05)
    return agent.run(dispatch)


def test_start_ends_before_the_call_can_be_given_up(rig):
    """Guards against a woken agent that runs what its caller was told is given up."""
    agent = rig.add_agent()
    assert rig.forward("POST", seconds=0.5).is_ok()
    dispatch = agent.dispatches[0]
    assert dispatch.start_before <= dispatch.deadline - TIMEOUT_ROUNDING


@pytest.mark.parametrize("fault", BROKEN_REPLIES)
def test_broken_reply_of_a_non_idempotent_request_is_unknown(rig, fault):
    """Guards against a retry, or an answer built from a damaged reply."""
    rig.add_agent().default = BROKEN_REPLIES[fault]
    result = rig.forward("POST").unwrap_err()
    assert result.outcome is Outcome.UNKNOWN
    assert rig.runs() <= 1
    assert len(rig.agents[0].dispatches) == 1


@pytest.mark.parametrize("fault", sorted(BROKEN_REPLIES.keys() - {"no code"}))
def test_idempotent_request_is_retried_after_a_broken_reply(rig, fault):
    """Guards against a failure that a second attempt would have avoided."""
    for name in ("a1", "a2"):
        rig.add_agent(name)
    rig.agents[0].script = [BROKEN_REPLIES[fault]]
    rig.agents[1].script = [BROKEN_REPLIES[fault]]
    assert rig.forward().unwrap().body == b"for x"


@pytest.mark.parametrize(
    "refusal", [Code.VM_FULL, Code.AGENT_LEAVING, Code.UPSTREAM_UNREACHABLE]
)
def test_request_that_did_not_run_is_retried(rig, refusal):
    """Guards against failing a POST whose first attempt provably did not run."""
    agent = rig.add_agent()
    agent.script = [lambda a, d: a.refuse(d, refusal)]
    assert code(rig.forward("POST")) is Code.OK
    assert rig.runs() == 1


def test_attempts_are_bounded(rig):
    """Guards against endless retries."""
    agent = rig.add_agent()
    agent.default = lambda a, d: a.refuse(d, Code.AGENT_LEAVING)
    assert code(rig.forward()) is Code.AGENT_LEAVING
    assert len(agent.dispatches) == rig.settings.attempts


def test_full_upstream_is_waited_for_until_the_deadline(rig):
    """Guards against rejecting a request for a full upstream before its deadline."""
    agent = rig.add_agent()
    agent.script = [lambda a, d: a.refuse(d, Code.VM_FULL)] * 40
    assert code(rig.forward("POST", seconds=20)) is Code.OK
    assert rig.runs() == 1


def test_upstream_that_is_gone_uses_no_retry_budget(rig, fakes):
    """Guards against refusing requests just after the entry was paused.

    A delayed announcement then names an upstream that is gone, and the announcement of
    the sound one comes later.
    """
    gone = rig.add_agent("a1")
    gone.default = lambda a, d: a.refuse(d, Code.NO_UPSTREAM)
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(code(rig.forward("POST"))))
        for _ in range(20)
    ]
    for thread in threads:
        thread.start()
    fakes.wait_until(lambda: gone.dispatches)
    fakes.wait_until(
        lambda: results or rig.context.dump.collect()["router"]["desk"]["waiting"] == 20
    )
    rig.add_agent("a2")
    for thread in threads:
        thread.join(30)
    assert results == [Code.OK] * 20


def test_retry_budget_is_exhausted(rig):
    """Guards against a retry storm when an upstream fails every request."""
    agent = rig.add_agent()
    agent.default = lambda a, d: a.refuse(d, Code.ANSWER_BROKEN)
    for _ in range(50):
        assert rig.forward().unwrap_err().outcome is Outcome.UNKNOWN
    # 10 initial tokens, and one for every 10 requests
    assert len(agent.dispatches) <= 50 + 10 + 5


def test_not_run_after_an_unknown_attempt_stays_unknown(rig):
    """Guards against the outcome not-run if the first attempt may have run."""
    agent = rig.add_agent()
    agent.script = [BROKEN_REPLIES["truncated"]]
    agent.default = lambda a, d: a.refuse(d, Code.AGENT_LEAVING)
    assert rig.forward().unwrap_err().outcome is Outcome.UNKNOWN


def test_silent_agent_is_skipped_and_its_requests_are_retried(rig, fakes):
    """Guards against requests that hang on a silent connection until the deadline."""
    first, second = rig.add_agent("a1"), None
    first.default = type(first).stay_running
    results = []
    thread = threading.Thread(target=lambda: results.append(rig.forward(seconds=20)))
    thread.start()
    fakes.wait_until(lambda: first.dispatches)
    second = rig.add_agent("a2")
    rig.silent.add("a1")
    rig.context.agents.get("a1").client.redial()
    thread.join(10)
    assert code(results[0]) is Code.OK
    assert len(second.dispatches) == 1


def test_unreachable_agent_means_not_run(rig):
    """Guards against an unknown outcome for a POST that never left the entry."""
    agent = rig.add_agent("a1")
    agent.server.close()
    result = rig.forward("POST", seconds=0.4).unwrap_err()
    assert result.outcome is Outcome.NOT_RUN
    assert not agent.dispatches


def test_hedge_uses_one_other_agent(make_rig):
    """Guards against waiting for a slow upstream, and against more than one hedge."""
    rig = make_rig(hedge=True)
    for name in ("a1", "a2", "a3"):
        rig.add_agent(name).default = _slow_first(rig)
    answer = rig.forward(hedge=True, seconds=10).unwrap()
    assert answer.body == b"for x"
    assert sum(len(a.dispatches) for a in rig.agents) == 2


def _slow_first(rig):
    def reply(agent, dispatch):
        if sum(len(a.dispatches) for a in rig.agents) == 1:
            return agent.stay_running(dispatch)
        return agent.run(dispatch)

    return reply


def test_post_is_never_hedged(make_rig):
    """Guards against two runs of a non-idempotent request by hedging."""
    rig = make_rig(hedge=True)
    rig.add_agent("a1").default = _delayed
    rig.add_agent("a2").default = _delayed
    assert code(rig.forward("POST", hedge=True)) is Code.OK
    assert rig.runs() == 1


def _delayed(agent, dispatch):
    threading.Event().wait(0.1)
    return agent.run(dispatch)


@pytest.mark.parametrize(
    "refusal", [Code.AGENT_LEAVING, Code.UPSTREAM_LEAVING, Code.NO_UPSTREAM]
)
def test_request_waits_for_an_upstream_that_is_not_leaving(rig, refusal):
    """Guards against using up all attempts at an upstream that is leaving or gone.

    The agent rejects requests before an announcement says so.
    """
    rig.add_agent("a1").default = lambda a, d: a.refuse(d, refusal)
    rig.add_agent("a2", slots=1).default = _run_slowly
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(code(rig.forward("POST"))))
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert results == [Code.OK] * 4


def _run_slowly(agent, dispatch):
    threading.Event().wait(0.1)
    return agent.run(dispatch)
