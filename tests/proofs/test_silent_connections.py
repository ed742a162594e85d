"""Section 4.8: connections that go silent for good are found and replaced."""

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

LIMIT = 20.0
VM = "vm-kingston"
ONE_VM = ("kingston",)
#: Far beyond the time in which a silent connection between processes must be found.
FAR = 25.0
FOUND_WITHIN = 8.0


def silence(*names: str) -> Callable[[Harness], None]:
    def provoke(harness: Harness) -> None:
        for name in names:
            harness.relay(name).silence_established()

    return provoke


#: Connections that go silent, and whether requests in flight pass through them.
SILENT: dict[str, tuple[Callable[[Harness], None], bool]] = {
    "entry to agent": (silence(VM), True),
    "agent to entry": (silence("entry-0"), False),
    "both ways": (silence(VM, "entry-0"), True),
}


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("name", SILENT)
def test_silent_connection_between_entry_and_agent(
    tmp_path: Path, name: str, times: int
) -> None:
    """Guards against waiting on a dead connection until the deadline, or for ever."""
    provoke, in_flight_lost = SILENT[name]
    with open_harness(tmp_path, data_centres=ONE_VM, entries=1) as harness:
        calls: list[Call] = []
        for turn in range(times):
            futures = _start(harness, turn, FAR)
            dialled = read_metric(harness.site.entries[0], "pollenkeel_peer_redials")
            provoke(harness)
            for future in futures:
                calls.append(future.result())
                left = calls[-1].deadline - calls[-1].answered_at
                assert left >= FAR - FOUND_WITHIN, calls[-1]
                if calls[-1].method == "POST" and in_flight_lost:
                    assert calls[-1].code == 3002, calls[-1]
            _expect_traffic(harness, calls, f"/after/{turn}")
            if in_flight_lost:
                metric = read_metric(harness.site.entries[0], "pollenkeel_peer_redials")
                assert metric > dialled
        wait_until_idle(harness.site)
        assert find_wrong_outcomes(harness.site, calls) == []
        assert {call.outcome for call in calls} <= {"answered", "not-run", "unknown"}


@pytest.mark.parametrize("times", [1, 2])
def test_silent_connections_between_agent_and_upstream(
    tmp_path: Path, times: int
) -> None:
    """Guards against idle dead connections that each cost another request."""
    with open_harness(tmp_path, data_centres=ONE_VM, entries=1) as harness:
        calls: list[Call] = []
        for turn in range(times):
            _fill_pool(harness, calls, turn)
            futures = _start(harness, turn, 2.0)
            silence(f"upstream-{VM}")(harness)
            for future in futures:
                calls.append(future.result())
                assert calls[-1].answered_at < calls[-1].deadline + 2.0, calls[-1]
            _wait_replaced(harness, turn + 1)
            path = f"/after/{turn}"
            sent = [
                harness.callers.call(
                    harness.site.entries[0], "POST", f"{path}/{n}", b"x"
                )
                for n in range(8)
            ]
            assert {call.outcome for call in sent} == {"answered"}, sent
            calls += sent
        wait_until_idle(harness.site)
        assert find_wrong_outcomes(harness.site, calls) == []


def test_silent_idle_connections_between_agent_and_upstream(tmp_path: Path) -> None:
    """Guards against a pool of dead idle connections that fails request by request."""
    with open_harness(tmp_path, data_centres=ONE_VM, entries=1) as harness:
        calls: list[Call] = []
        _fill_pool(harness, calls, 0)
        silence(f"upstream-{VM}")(harness)
        entry = harness.site.entries[0]
        calls.append(harness.callers.call(entry, "POST", "/lost", b"x", 0.8))
        assert calls[-1].code == 3002, calls[-1]
        _wait_replaced(harness, 1)
        for number in range(8):
            calls.append(harness.callers.call(entry, "POST", f"/idle/{number}", b"x"))
            assert calls[-1].outcome == "answered", calls[-1]
        assert find_wrong_outcomes(harness.site, calls) == []


def _wait_replaced(harness: Harness, times: int) -> None:
    agent = harness.site.agents_by_vm[VM]
    name = "pollenkeel_agent_upstream_pools_replaced_total"
    wait_until(lambda: read_metric(agent, name) >= times, LIMIT, "pool replaced")


def _fill_pool(harness: Harness, calls: list[Call], turn: int) -> None:
    """Let the agent open several connections to the upstream."""
    futures = [
        harness.callers.send(
            harness.site.entries[0], "GET", f"/fill/{turn}/{n}", Work_Ms="100"
        )
        for n in range(4)
    ]
    calls += [future.result() for future in futures]


def _start(harness: Harness, turn: int, within: float) -> list[Future[Call]]:
    """Return requests in flight that the upstream has started to run."""
    futures = [
        harness.callers.send(
            harness.site.entries[0],
            method,
            f"/held/{turn}/{method}",
            within=within,
            Work_Ms="400",
        )
        for method in ("GET", "POST")
    ]
    for method in ("GET", "POST"):
        path = f"/held/{turn}/{method}"
        wait_until(
            lambda p=path: find_executions(harness.site, path=p), LIMIT, f"{path} runs"
        )
    return futures


def _expect_traffic(harness: Harness, calls: list[Call], path: str) -> None:
    def answered() -> bool:
        entry = harness.site.entries[0]
        target = f"{path}/{len(calls)}"
        calls.append(harness.callers.call(entry, "POST", target, b"x", within=2.0))
        return calls[-1].outcome == "answered"

    wait_until(answered, LIMIT, "requests are answered again")
