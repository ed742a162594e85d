"""Tests of requests in progress whose key is refused as not run for another request."""

import threading

import pytest
from result import Ok

from pollenkeel_entry.requests.claims import Claim
from pollenkeel_kernel import Code, Outcome


def code(result):
    return result.ok_value.code if isinstance(result, Ok) else result.err_value.code


def post(rig, **options):
    return rig.forward("POST", key="k", **options)


class Background:
    """A request in a thread of its own."""

    def __init__(self, rig, **options):
        self._results = []
        self._thread = threading.Thread(
            target=lambda: self._results.append(post(rig, **options))
        )
        self._thread.start()

    def result(self):
        self._thread.join(20)
        return self._results[0]


class Site:
    """Two entries with one agent, which the first dispatch reaches only late.

    The data centre is taken out, but only the second entry knows it.
    """

    def __init__(self, rig, other):
        self.rig, self.other = rig, other
        self.arrives = threading.Event()
        self.agent = rig.add_agent()
        self.agent.script = [self._run_late]
        other.announce(self.agent)
        other.config.drained_names = frozenset({"kgn"})

    def _run_late(self, agent, dispatch):
        self.arrives.wait(20)
        return agent.run(dispatch)


@pytest.fixture
def site(rig, make_rig):
    return Site(rig, make_rig(backend=rig.backend))


def test_call_in_progress_is_not_sent_again_after_a_refusal_of_its_key(site, fakes):
    """Guards against a run after the key was reported as not run."""
    first = Background(site.rig)
    fakes.wait_until(lambda: site.agent.dispatches)
    assert code(post(site.other)) is Code.DATA_CENTRE_DRAINED
    site.arrives.set()
    assert code(first.result()) is Code.TOMBSTONED
    assert site.rig.runs() == 0


def test_repeat_after_the_refusals_runs(site, fakes):
    """Guards against a key that is refused for ever."""
    first = Background(site.rig)
    fakes.wait_until(lambda: site.agent.dispatches)
    post(site.other)
    site.arrives.set()
    first.result()
    site.other.config.drained_names = frozenset()
    assert code(post(site.other)) is Code.OK
    assert site.rig.runs() == 1


def test_call_that_waits_for_a_slot_is_not_sent_after_a_refusal_of_its_key(
    rig, make_rig, fakes
):
    """Guards against a late first send by a request that had not read the claim."""
    agent = rig.add_agent()
    agent.script = [
        lambda a, d: fakes.reply(a.id, d.attempt_id, code=Code.NO_REPLY.value)
    ]
    assert code(post(rig)) is Code.NO_REPLY
    other = make_rig(backend=rig.backend)
    waiting = Background(other, seconds=20)
    fakes.wait_until(
        lambda: other.context.dump.collect()["router"].get("desk", {}).get("waiting")
    )
    rig.config.drained_names = frozenset({"kgn"})
    assert code(post(rig)) is Code.DATA_CENTRE_DRAINED
    other.announce(agent)
    assert code(waiting.result()) is Code.TOMBSTONED
    assert rig.runs() == 0


@pytest.mark.parametrize("faults", [["down"], ["dropped"] * 3])
def test_refusal_that_is_not_recorded_is_unknown(site, fakes, faults):
    """Guards against the outcome not-run while the first call may be sent again."""
    first = Background(site.rig)
    fakes.wait_until(lambda: site.agent.dispatches)
    site.rig.backend.faults = list(faults)
    refusal = post(site.other).unwrap_err()
    assert (refusal.code, refusal.outcome) == (Code.WRITE_UNKNOWN, Outcome.UNKNOWN)
    site.arrives.set()
    first.result()


@pytest.mark.parametrize("fault", ["lost", "dropped"])
def test_refusal_is_recorded_although_the_reply_of_the_store_is_lost(
    site, fakes, fault
):
    """Guards against an unknown outcome that reading the row back would resolve."""
    first = Background(site.rig)
    fakes.wait_until(lambda: site.agent.dispatches)
    site.rig.backend.faults = [fault]
    assert code(post(site.other)) is Code.DATA_CENTRE_DRAINED
    site.arrives.set()
    assert code(first.result()) is Code.TOMBSTONED


def test_refused_call_gets_the_answer_of_one_that_was_sent_again(
    site, fakes, monkeypatch
):
    """Guards against the outcome not-run if the first call was sent before it."""
    record = Claim._record_refusal
    first = Background(site.rig)

    def record_after_the_first_call(claim):
        site.arrives.set()
        first.result()
        return record(claim)

    fakes.wait_until(lambda: site.agent.dispatches)
    monkeypatch.setattr(Claim, "_record_refusal", record_after_the_first_call)
    assert code(post(site.other)) is Code.REPLAYED
    assert code(first.result()) is Code.OK
    assert site.rig.runs() == 1
