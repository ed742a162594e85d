"""Safety property P9: a planned stop of a process fails no request in flight.

The load consists of POST requests without an idempotency key, which are never retried
once they may have run.
"""

import pytest

from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.rig import CLOCK, Callers, make_tag, start_rig
from pollenkeel_standins.site import SERVICE

WAIT_SECONDS = 30.0
CALLERS = 8
#: Limit in seconds, below ``stop_deadline`` (20 s): a stop that takes that long has
#: waited for something that never happened.
STOP_SECONDS = 12.0
UPSTREAM = f"upstream-{SERVICE}-vm-kingston"
#: Service times in milliseconds. The longest requests are still in flight when a
#: process that does not wait for them would have exited.
WORK_MS = (10, 50, 200, 2500)
#: Process that is stopped, by its kind.
PROCESS_BY_KIND = {
    "entry": "entry-0",
    "agent": "vm-kingston",
    "upstream": UPSTREAM,
}
#: Peer that is frozen during the stop, by the kind of the process that stops. The
#: frozen agent is in a drained data centre, so that no request of the load is there.
FROZEN_PEER_BY_KIND = {
    "entry": "vm-portmore",
    "agent": "entry-1",
    "upstream": "entry-1",
}


@pytest.fixture(scope="module")
def shared_rig(tmp_path_factory):
    # One VM has slots for all callers, so that no request is rejected for lack of one.
    with start_rig(
        tmp_path_factory.mktemp("rig"), upstream_options={"slots": CALLERS}
    ) as rig:
        yield rig


@pytest.fixture
def rig(shared_rig):
    yield shared_rig
    shared_rig.heal()


def count_in_flight(rig, callers, name):
    """Return the requests in flight that keep a process from stopping."""
    running = {
        run.fields["uri"]
        for run in rig.requests()
        if not run.end and ("entry" in name or run.vm == "vm-kingston")
    }
    open_by_path = dict(callers.open_by_path)
    return sum("entry" not in name or open_by_path.get(u) == name for u in running)


def stop_under_load(rig, name, entries, signals=1):
    """Stop a process while several requests are in flight there."""
    with Callers(
        rig, entries, threads=CALLERS, method="POST", work_ms=WORK_MS
    ) as callers:
        wait_until(
            lambda: len(callers.answered()) > 20, WAIT_SECONDS, "callers get answers"
        )
        wait_until(
            lambda: count_in_flight(rig, callers, name) >= 2,
            WAIT_SECONDS,
            "requests are in flight",
        )
        process = rig.process(name)
        signalled_at = CLOCK.now()
        for _ in range(signals):
            process.terminate()
            next_at = CLOCK.now() + 0.2
            wait_until(lambda at=next_at: CLOCK.now() > at, WAIT_SECONDS)
        assert process.wait(STOP_SECONDS) == 0
        ended_at = CLOCK.now()
        calls_before = len(callers.calls)
        if name != "entry-0" or "entry-1" in entries:
            wait_until(
                lambda: len(callers.calls) > calls_before + 10,
                WAIT_SECONDS,
                "callers get answers",
            )
    in_flight = [c for c in callers.calls if c.sent_at < signalled_at < c.ended_at]
    assert len(in_flight) >= 2
    assert ended_at - signalled_at < STOP_SECONDS
    return callers


@pytest.mark.parametrize("signals", [1, 3])
@pytest.mark.parametrize("kind", PROCESS_BY_KIND)
def test_every_request_is_answered(rig, kind, signals):
    """Guards against requests that fail when their process gets one signal or more."""
    callers = stop_under_load(
        rig, PROCESS_BY_KIND[kind], ("entry-0", "entry-1"), signals
    )
    assert [(c.path, c.reply) for c in callers.failed()] == []


@pytest.mark.parametrize("kind", PROCESS_BY_KIND)
def test_frozen_peer_does_not_delay_or_break_the_stop(rig, kind):
    """Guards against a stop that waits for a frozen peer or drops its callers."""
    frozen = FROZEN_PEER_BY_KIND[kind]
    if frozen == "vm-portmore":
        rig.set_drained("entry-0", "portmore", True, make_tag())
        # The other entry sends requests there until it has read the drain.
        for name in ("entry-0", "entry-1"):
            wait_until(
                lambda n=name: rig.site.dump(rig.process(n))["entry"]["drained"],
                WAIT_SECONDS,
                "the drain is known",
            )
    rig.process(frozen).freeze()
    entries = ("entry-0", "entry-1") if frozen == "vm-portmore" else ("entry-0",)
    callers = stop_under_load(rig, PROCESS_BY_KIND[kind], entries, signals=2)
    assert [(c.path, c.reply) for c in callers.failed()] == []


@pytest.mark.parametrize("first", ["entry-0", "vm-kingston"])
def test_two_stops_at_once_and_again(rig, first):
    """Guards against simultaneous stops that fail requests, also after a restart."""
    with Callers(rig, threads=CALLERS, method="POST", work_ms=WORK_MS) as callers:
        for _ in range(2):
            started_at = CLOCK.now()
            wait_until(
                lambda at=started_at: callers.answered(at, "vm-kingston"),
                WAIT_SECONDS,
                "both upstreams serve",
            )
            stopping = [first, UPSTREAM]
            for name in stopping:
                rig.process(name).terminate()
            assert [rig.process(n).wait(STOP_SECONDS) for n in stopping] == [0, 0]
            for name in stopping:
                rig.restart(name)
    assert [(c.path, c.reply) for c in callers.failed()] == []
