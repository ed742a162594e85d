"""Safety property P5: a caller gets the complete answer to its own request, or none."""

from __future__ import annotations

import http.client
import random
import socket
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

import pytest

from pollenkeel_standins.callers import (
    Call,
    Harness,
    find_executions,
    find_wrong_outcomes,
    open_harness,
    wait_until_idle,
)
from pollenkeel_standins.cluster import ManagedProcess, wait_until
from pollenkeel_standins.relay import Mode
from pollenkeel_standins.site import SERVICE, TEAM

WAIT_SECONDS = 20.0
BODY_LIMIT = 8 * 1024 * 1024
VM = "vm-kingston"


def make_body(generator: random.Random, size: int) -> bytes:
    return generator.randbytes(size)


def _switch_upstreams(**switches: object) -> Callable[[Harness], None]:
    def inject(harness: Harness) -> None:
        for upstream in harness.site.upstreams_by_vm.values():
            harness.set_faults(upstream, **switches)

    return inject


def _delay_links(harness: Harness) -> None:
    for vm in harness.site.agents_by_vm:
        harness.relay(vm).set_delay(0.005, 0.06)
        harness.relay(f"upstream-{vm}").set_delay(0.005, 0.06)


def _freeze_agent(harness: Harness) -> None:
    agent = harness.site.agents_by_vm[VM]
    agent.freeze()
    harness.add_repair(agent.thaw)


def _cut_upstream(harness: Harness) -> None:
    relay = harness.relay(f"upstream-{VM}")
    relay.set_mode(Mode.CUT)
    harness.add_repair(lambda: relay.set_mode(Mode.PASS))


def _kill_upstream(harness: Harness) -> None:
    upstream = harness.site.upstreams_by_vm[VM]
    upstream.kill()
    harness.add_repair(lambda: harness.restart(upstream))


FAULTS: dict[str, Callable[[Harness], None]] = {
    "truncated": _switch_upstreams(truncate=6),
    "broken": _switch_upstreams(break_after=6),
    "withheld": _switch_upstreams(hang_after=3),
    "links delayed": _delay_links,
    "agent answers late": _freeze_agent,
    "upstream cut off": _cut_upstream,
    "upstream killed": _kill_upstream,
}
_FAULT_PAIRS = random.Random(5).sample(
    [(a, b) for a in sorted(FAULTS) for b in sorted(FAULTS) if a < b], 3
)
_FAULT_COMBINATIONS = [
    *[(name,) for name in FAULTS],
    *_FAULT_PAIRS,
    ("truncated", "truncated"),
]


@pytest.mark.parametrize("names", _FAULT_COMBINATIONS, ids=" and ".join)
def test_answers_under_faults(tmp_path: Path, names: tuple[str, ...]) -> None:
    """Guards against partial, swapped and late answers under concurrent requests."""
    generator = random.Random(11)
    with open_harness(tmp_path) as harness:
        site = harness.site
        futures = []
        for number in range(72):
            # Service times differ, so that answers arrive out of order.
            futures.append(
                harness.callers.send(
                    site.entries[number % 2],
                    ("GET", "POST", "PUT")[number % 3],
                    f"/quotes/{number}",
                    make_body(generator, generator.choice([1, 700, 70_000])),
                    within=1.5,
                    Work_Ms=str(generator.randrange(5, 80)),
                )
            )
            if number in (15, 35):
                for name in names[:1] if number == 15 else names[1:]:
                    FAULTS[name](harness)
            if number % 24 == 23:
                futures[-1].result()
        calls = [future.result() for future in futures]
        harness.repair()
        _wait_for_answer(harness, calls)
        wait_until_idle(site)
        assert find_wrong_outcomes(site, calls) == []
        assert sum(call.outcome == "answered" for call in calls) >= 20


@pytest.mark.parametrize("seed", [1, 2])
def test_many_requests_over_one_connection(tmp_path: Path, seed: int) -> None:
    """Guards against an answer that is truncated, padded or taken for the next one."""
    generator = random.Random(seed)
    small = [generator.randrange(1, 4096) for _ in range(60)]
    sizes = [*small, 65_536, 1_000_000, BODY_LIMIT - 1, BODY_LIMIT]
    generator.shuffle(sizes)
    with open_harness(tmp_path) as harness:
        connection = _connect(harness.site.entries[0])
        for number, size in enumerate(sizes):
            body = make_body(generator, size)
            connection.request(
                "POST", _target(f"/one/{number}"), body, {"Pollenkeel-Team": TEAM}
            )
            response = connection.getresponse()
            answer = response.read()
            assert response.headers["Pollenkeel-Code"] == "1000", (size, answer[:200])
            assert answer == body, f"{len(answer)} bytes for {size}"
        connection.close()
        assert len(find_executions(harness.site)) >= len(sizes)


def test_bodies_above_the_limit(tmp_path: Path) -> None:
    """Guards against a body that is truncated at the limit instead of rejected."""
    with open_harness(tmp_path) as harness:
        entry = harness.site.entries[0]
        body = b"x" * (BODY_LIMIT + 1)
        call = harness.callers.call(entry, "POST", "/large/request", body, 10.0)
        assert (call.code, call.outcome) == (4004, "not-run")
        assert find_executions(harness.site, path="/large/request") == []
        call = harness.callers.call(
            entry, "POST", "/large/answer", b"", 10.0, Reply_Bytes=str(BODY_LIMIT + 1)
        )
        assert (call.code, call.outcome) == (3004, "unknown")


def test_late_answer_reaches_no_other_request(tmp_path: Path) -> None:
    """Guards against a late answer that is read as the answer of a later request."""
    with open_harness(tmp_path, data_centres=("kingston",)) as harness:
        site, calls = harness.site, []
        for round_number in range(3):
            late_futures = [
                harness.callers.send(
                    site.entries[0],
                    method,
                    f"/late/{round_number}/{method}",
                    f"late {round_number} {method}".encode(),
                    within=0.8,
                    Work_Ms="1600",
                )
                for method in ("GET", "POST")
            ]
            calls += [future.result() for future in late_futures]
            assert {call.outcome for call in calls[-2:]} == {"unknown"}, calls[-2:]
            for number in range(10):
                path = f"/next/{round_number}/{number}"
                calls.append(
                    harness.callers.call(site.entries[0], "POST", path, path.encode())
                )
                assert calls[-1].outcome == "answered", calls[-1]
        wait_until_idle(site)
        assert find_wrong_outcomes(site, calls) == []


def test_callers_that_disconnect(tmp_path: Path) -> None:
    """Guards against slots that callers keep by disconnecting, and swapped answers."""
    with open_harness(tmp_path, data_centres=("kingston",)) as harness:
        site = harness.site
        for number in range(12):
            _send_and_disconnect(site.entries[number % 2], f"/gone/{number}")
        calls = [
            harness.callers.call(
                site.entries[number % 2], "POST", f"/stays/{number}", b"%d" % number
            )
            for number in range(24)
        ]
        assert {call.outcome for call in calls} == {"answered"}, calls
        assert find_wrong_outcomes(site, calls) == []
        assert all(
            len(find_executions(site, path=f"/gone/{n}")) <= 1 for n in range(12)
        )
        agent = site.agents_by_vm[VM]
        wait_until(
            lambda: site.dump(agent)["upstreams"][0]["free_slots"] == 4,
            WAIT_SECONDS,
            "every slot is free again",
        )


def _wait_for_answer(harness: Harness, calls: list[Call]) -> None:
    def answered() -> bool:
        path = f"/after/{len(calls)}"
        calls.append(harness.callers.call(harness.site.entries[0], "GET", path))
        return calls[-1].outcome == "answered"

    wait_until(answered, WAIT_SECONDS, "requests are answered after the repair")


def _target(path: str) -> str:
    return f"/v1/services/{SERVICE}{path}"


def _connect(entry: ManagedProcess) -> http.client.HTTPConnection:
    parts = urlsplit(entry.url)
    return http.client.HTTPConnection(parts.hostname or "", parts.port, timeout=30)


def _send_and_disconnect(entry: ManagedProcess, path: str) -> None:
    parts = urlsplit(entry.url)
    with socket.create_connection((parts.hostname, parts.port or 0)) as connection:
        head = f"POST {_target(path)} HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n"
        head += f"Pollenkeel-Team: {TEAM}\r\nWork-Ms: 150\r\n\r\nbody"
        connection.sendall(head.encode())
