"""Tests of claims: one run per idempotency key and the right outcome."""

import threading

import pytest
from result import Err, Ok

from pollenkeel_entry.requests.claim_row import (
    ClaimState,
    unpack_pointer,
    unpack_row,
)
from pollenkeel_kernel import Code, Outcome

KEY = ("claims", "a/desk/k")


def post(rig, **options):
    return rig.forward("POST", key="k", **options)


def code(result):
    return result.ok_value.code if isinstance(result, Ok) else result.err_value.code


def stored_row(rig):
    pointer = rig.backend.rows.get(KEY)
    if pointer is None:
        return None
    return rig.backend.rows["claim_states", unpack_pointer(pointer.value).state_id]


def stored(rig):
    row = stored_row(rig)
    return None if row is None else unpack_row(row.value).unwrap()


def is_finished(rig):
    return stored(rig) is not None and stored(rig).state is ClaimState.FINISHED


def lose_reply(agent, dispatch):
    agent.run(dispatch)
    return agent.refuse(dispatch, Code.NO_REPLY)


@pytest.mark.parametrize("body", [b"x", b"x" * 100_000])
def test_repeat_gets_the_stored_answer(rig, fakes, body):
    """Guards against a second run of a repeated request.

    Covers answers stored in the row and in the object store.
    """
    agent = rig.add_agent()
    first = post(rig, body=body).unwrap()
    fakes.wait_until(lambda: is_finished(rig))
    agent.replies.clear()
    second = post(rig, body=body).unwrap()
    assert second.code is Code.REPLAYED
    assert (second.body, second.status) == (first.body, first.status)
    assert agent.ran[body] == 1


def test_key_of_another_request_is_refused(rig):
    """Guards against answering with another request's answer after a key is reused."""
    agent = rig.add_agent()
    assert code(post(rig)) is Code.OK
    assert code(post(rig, body=b"y")) is Code.KEY_REUSED
    assert agent.ran[b"y"] == 0


@pytest.mark.parametrize(
    ("faults", "expected", "runs"),
    [
        (["lost"], Code.OK, 1),
        (["dropped"], Code.OK, 1),
        (["dropped", "lost"], Code.OK, 1),
        (["down"], Code.STORE_UNAVAILABLE, 0),
        (["dropped"] * 3, Code.STORE_UNAVAILABLE, 0),
    ],
)
def test_faults_of_the_claim_write(rig, faults, expected, runs):
    """Guards against sending without a confirmed claim, and against lost replies."""
    rig.add_agent()
    rig.backend.faults = list(faults)
    assert code(post(rig)) is expected
    assert rig.runs() == runs
    assert code(post(rig)) in (Code.OK, Code.REPLAYED)
    assert rig.runs() == 1


def test_store_down_refuses_before_sending(rig):
    """Guards against sending without a claim while the store is down."""
    agent = rig.add_agent()
    rig.backend.all_down = True
    result = post(rig).unwrap_err()
    assert (result.code, result.outcome) == (Code.STORE_UNAVAILABLE, Outcome.NOT_RUN)
    assert not agent.dispatches


def test_lost_answer_is_unknown_and_the_repeat_gets_the_kept_reply(rig):
    """Guards against a second run after the agent's reply was lost."""
    agent = rig.add_agent()
    agent.script = [lose_reply]
    assert code(post(rig)) is Code.NO_REPLY
    assert code(post(rig)) is Code.REPLAYED
    assert rig.runs() == 1


def test_unseen_attempt_is_tombstoned_and_taken_over(rig, fakes):
    """Guards against a claim that stays open, and a late run of its attempt.

    The first dispatch is lost, so the agent tombstones the attempt when queried.
    """
    agent = rig.add_agent()
    late = []

    def drop_dispatch(agent, dispatch):
        late.append(dispatch)
        return fakes.reply(agent.id, dispatch.attempt_id, code=Code.NO_REPLY.value)

    agent.script = [drop_dispatch]
    assert code(post(rig)) is Code.NO_REPLY
    assert code(post(rig)) is Code.OK
    assert agent.run(late[0]).code == Code.TOMBSTONED
    assert rig.runs() == 1


def test_restarted_agent_leaves_the_outcome_unknown(rig):
    """Guards against a second run after the agent restarted and lost its records."""
    agent = rig.add_agent()
    agent.script = [lose_reply]
    assert code(post(rig)) is Code.NO_REPLY
    agent.epoch = "e2"
    rig.announce(agent)
    assert code(post(rig)) is Code.ATTEMPT_LOST
    assert rig.runs() == 1


def test_gone_agent_leaves_the_outcome_unknown(rig, make_rig):
    """Guards against a second run while the agent of the first is unreachable."""
    agent = rig.add_agent("gone")
    agent.script = [lose_reply]
    assert code(post(rig)) is Code.NO_REPLY
    other = make_rig(backend=rig.backend)
    other.add_agent("other")
    agent.close()
    assert code(post(other)) is Code.ATTEMPT_LOST
    assert other.runs() == 0


def test_running_attempt_is_waited_for_until_the_deadline(rig, fakes):
    """Guards against a second run while the first is in progress."""
    agent = rig.add_agent()
    agent.script = [type(agent).stay_running]
    first = threading.Thread(target=post, args=(rig,))
    first.start()
    fakes.wait_until(lambda: agent.ran[b"x"] == 1)
    assert code(post(rig, seconds=0.5)) is Code.ATTEMPT_RUNNING
    agent.release.set()
    first.join(20)
    assert rig.runs() == 1


def test_concurrent_repeats_run_once(rig, make_rig):
    """Guards against two runs when two entries receive requests with one key."""
    agent = rig.add_agent()
    other = make_rig(backend=rig.backend)
    other.announce(agent)
    codes = []
    threads = [
        threading.Thread(target=lambda r=r: codes.append(code(post(r))))
        for r in [rig, other] * 6
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert len(codes) == 12
    assert set(codes) <= {Code.OK, Code.REPLAYED}
    assert agent.ran[b"x"] == 1


def test_refused_attempt_moves_the_claim_to_another_agent(rig):
    """Guards against a claim that names a different agent from the one that ran it."""
    agents = [rig.add_agent(f"a{i}") for i in range(2)]
    for agent in agents:
        agent.script = [lambda a, d: a.refuse(d, Code.AGENT_LEAVING)]
    agents[0].script.append(type(agents[0]).run)
    agents[1].script.append(type(agents[1]).run)
    assert code(post(rig)) is Code.OK
    assert rig.runs() == 1
    assert stored_row(rig).version >= 3


def test_final_refusal_releases_the_claim(rig, fakes):
    """Guards against a repeat of unknown outcome after the agent restarted.

    The agent had rejected the first attempt, so the claim must be free again.
    """
    agent = rig.add_agent()
    agent.default = lambda a, d: a.refuse(d, Code.AGENT_LEAVING)
    assert code(post(rig)) is Code.AGENT_LEAVING
    fakes.wait_until(lambda: stored(rig).state is ClaimState.RELEASED)
    agent.epoch, agent.default = "e2", type(agent).run
    rig.announce(agent)
    assert code(post(rig)) is Code.OK
    assert rig.runs() == 1


def test_missing_upstream_does_not_hide_an_earlier_run(rig):
    """Guards against the outcome not-run for a key whose attempt has run."""
    agent = rig.add_agent()
    agent.script = [lose_reply]
    assert code(post(rig)) is Code.NO_REPLY
    rig.announce(agent, state="leaving")
    assert code(post(rig)) is Code.REPLAYED
    assert code(rig.forward("POST", key="new")) is Code.NO_UPSTREAM


def test_unreadable_earlier_claim_is_unknown(rig):
    """Guards against the outcome not-run while an earlier claim is unreadable."""
    agent = rig.add_agent()
    agent.script = [lose_reply]
    assert code(post(rig)) is Code.NO_REPLY
    rig.backend.reads_down = True
    result = post(rig, seconds=0.5)
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.UNKNOWN


def test_answer_is_stored_after_an_outage(rig, fakes):
    """Guards against answers that are lost in a short store outage."""
    rig.add_agent()
    rig.backend.faults = ["", "down", "lost"]
    assert code(post(rig)) is Code.OK
    fakes.wait_until(lambda: is_finished(rig))
