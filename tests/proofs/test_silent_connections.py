"""Detection and replacement of connections that stay open but pass no more data.

This is section 4.8 of the design.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path

import pytest

from pollenkeel_standins.callers import (
    Call,
    Harness,
    find_executions,
    find_wrong_outcomes,
    open_harness,
    read_metric,
    wait_until_idle,
)
from pollenkeel_standins.cluster import wait_until

WAIT_SECONDS = 20.0
VM = "vm-kingston"
ONE_VM = ("kingston",)
#: Seconds until the requests' deadline, far beyond ``DETECTION_SECONDS``.
LONG_DEADLINE = 25.0
#: Seconds within which a silent connection between processes must be detected.
DETECTION_SECONDS = 8.0


def silence(*names: str) -> Callable[[Harness], None]:
    def inject(harness: Harness) -> None:
        for name in names:
            harness.relay(name).silence_established()

    return inject


#: Function that silences connections, and whether requests in flight use them.
SILENCED_LINKS: dict[str, tuple[Callable[[Harness], None], bool]] = {
    "entry to agent": (silence(VM), True),
    "agent to entry": (silence("entry-0"), False),
    "both ways": (silence(VM, "entry-0"), True),
}


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("name", SILENCED_LINKS)
def test_silent_connection_between_entry_and_agent(
    tmp_path: Path, name: str, times: int
) -> None:
    """Guards against waits on a dead connection until the deadline or without end."""
    inject, in_flight_lost = SILENCED_LINKS[name]
    with open_harness(tmp_path, data_centres=ONE_VM, entries=1) as harness:
        calls: list[Call] = []
        for round_number in range(times):
            futures = _start_requests(harness, round_number, LONG_DEADLINE)
            redials_before = read_metric(
                harness.site.entries[0], "pollenkeel_peer_redials"
            )
            inject(harness)
            for future in futures:
                calls.append(future.result())
                seconds_left = calls[-1].deadline - calls[-1].answered_at
                assert seconds_left >= LONG_DEADLINE - DETECTION_SECONDS, calls[-1]
                if calls[-1].method == "POST" and in_flight_lost:
                    assert calls[-1].code == 3002, calls[-1]
            _wait_for_answer(harness, calls, f"/after/{round_number}")
            if in_flight_lost:
                redials = read_metric(
                    harness.site.entries[0], "pollenkeel_peer_redials"
                )
                assert redials > redials_before
        wait_until_idle(harness.site)
        assert find_wrong_outcomes(harness.site, calls) == []
        assert {call.outcome for call in calls} <= {"answered", "not-run", "unknown"}


@pytest.mark.parametrize("times", [1, 2])
def test_silent_connections_between_agent_and_upstream(
    tmp_path: Path, times: int
) -> None:
    """Guards against dead pooled connections that each fail another request."""
    with open_harness(tmp_path, data_centres=ONE_VM, entries=1) as harness:
        calls: list[Call] = []
        for round_number in range(times):
            _open_connections(harness, calls, round_number)
            futures = _start_requests(harness, round_number, 2.0)
            silence(f"upstream-{VM}")(harness)
            for future in futures:
                calls.append(future.result())
                assert calls[-1].answered_at < calls[-1].deadline + 2.0, calls[-1]
            _wait_for_new_pool(harness, round_number + 1)
            path = f"/after/{round_number}"
            new_calls = [
                harness.callers.call(
                    harness.site.entries[0], "POST", f"{path}/{n}", b"x"
                )
                for n in range(8)
            ]
            assert {call.outcome for call in new_calls} == {"answered"}, new_calls
            calls += new_calls
        wait_until_idle(harness.site)
        assert find_wrong_outcomes(harness.site, calls) == []


def test_silent_idle_connections_between_agent_and_upstream(tmp_path: Path) -> None:
    """Guards against a pool of dead idle connections that each fail a request."""
    with open_harness(tmp_path, data_centres=ONE_VM, entries=1) as harness:
        calls: list[Call] = []
        _open_connections(harness, calls, 0)
        silence(f"upstream-{VM}")(harness)
        entry = harness.site.entries[0]
        calls.append(harness.callers.call(entry, "POST", "/lost", b"x", 0.8))
        assert calls[-1].code == 3002, calls[-1]
        _wait_for_new_pool(harness, 1)
        for number in range(8):
            calls.append(harness.callers.call(entry, "POST", f"/idle/{number}", b"x"))
            assert calls[-1].outcome == "answered", calls[-1]
        assert find_wrong_outcomes(harness.site, calls) == []


def _wait_for_new_pool(harness: Harness, times: int) -> None:
    agent = harness.site.agents_by_vm[VM]
    name = "pollenkeel_agent_upstream_pools_replaced_total"
    wait_until(lambda: read_metric(agent, name) >= times, WAIT_SECONDS, "pool replaced")


def _open_connections(harness: Harness, calls: list[Call], round_number: int) -> None:
    """Make the agent open several connections to the upstream."""
    futures = [
        harness.callers.send(
            harness.site.entries[0], "GET", f"/fill/{round_number}/{n}", Work_Ms="100"
        )
        for n in range(4)
    ]
    calls += [future.result() for future in futures]


def _start_requests(
    harness: Harness, round_number: int, within: float
) -> list[Future[Call]]:
    """Send a GET and a POST request; return them when the upstream runs both."""
    futures = [
        harness.callers.send(
            harness.site.entries[0],
            method,
            f"/held/{round_number}/{method}",
            within=within,
            Work_Ms="400",
        )
        for method in ("GET", "POST")
    ]
    for method in ("GET", "POST"):
        path = f"/held/{round_number}/{method}"
        wait_until(
            lambda p=path: find_executions(harness.site, path=p),
            WAIT_SECONDS,
            f"{path} runs",
        )
    return futures


def _wait_for_answer(harness: Harness, calls: list[Call], path: str) -> None:
    def answered() -> bool:
        entry = harness.site.entries[0]
        target = f"{path}/{len(calls)}"
        calls.append(harness.callers.call(entry, "POST", target, b"x", within=2.0))
        return calls[-1].outcome == "answered"

    wait_until(answered, WAIT_SECONDS, "requests are answered again")
