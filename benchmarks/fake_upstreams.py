"""Fake upstreams behind the real router and admission, for the request benchmarks."""

from __future__ import annotations

import collections
import random
import threading
from collections.abc import Iterable
from typing import cast

import attrs
from result import Err

from pollenkeel_entry.core.config_source import ConfigSource
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentRecord, AgentTable
from pollenkeel_entry.requests.admission import Admission
from pollenkeel_entry.requests.request import ServiceRequest
from pollenkeel_entry.requests.router import Router
from pollenkeel_kernel.config.model import (
    ClusterConfig,
    DataCentreConfig,
    PolicyConfig,
    ServiceConfig,
    TeamConfig,
)
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import Announce, Resources, UpstreamStatus
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_kernel.core.transport import PeerClient
from pollenkeel_kernel.policy.request_share import REQUEST_SHARES
from pollenkeel_kernel.store.base import Backend

CLOCK = SystemClock()
SERVICE = "desk"
ANNOUNCE_INTERVAL = 1.0
#: The benchmarks neither call agents nor use the table service.
NO_CLIENT = cast(PeerClient, None)
NO_BACKEND = cast(Backend, None)


class FixedConfig(ConfigSource):
    """Configuration that never changes."""

    def __init__(self, policy: PolicyConfig, shares_by_team: dict[str, float]) -> None:
        self._config = ClusterConfig(
            {"d": DataCentreConfig("r", "s")},
            {SERVICE: ServiceConfig()},
            {team: TeamConfig(share) for team, share in shares_by_team.items()},
            policy,
        )

    def snapshot(self) -> None:
        """Return None; the router and admission do not use it."""

    def effective(self) -> ClusterConfig:
        """Return the configuration."""
        return self._config

    def drained(self) -> frozenset[str]:
        """Return no data centre."""
        return frozenset()

    def permit_until(self, data_centre: str) -> float:
        """Return no permit."""
        return 0.0


class FakeUpstream:
    """Slots of one upstream, which rejects requests when all are in use."""

    def __init__(self, name: str, slots: int) -> None:
        self.name, self.slots = name, slots
        self.free = slots
        self.lock = threading.Lock()

    def try_reserve(self) -> bool:
        """Reserve a slot; return whether one was free."""
        with self.lock:
            reserved = self.free > 0
            self.free -= reserved
            return reserved

    def release_slot(self) -> None:
        """Release a slot."""
        with self.lock:
            self.free += 1

    def announce(self) -> Announce:
        """Return an announcement of the current state."""
        status = UpstreamStatus(SERVICE, self.slots, self.free)
        return Announce(
            self.name, CLOCK.now(), "e", self.name, "d", "r", "tcp://x", "active", 1,
            [status], Resources(), Resources(), {}, False,
        )  # fmt: skip


class AgentList(AgentTable):
    """Agent table of an entry, without clients."""

    def __init__(self, upstreams: list[FakeUpstream]) -> None:
        self._records = {
            u.name: AgentRecord(u.announce(), NO_CLIENT, float("inf"))
            for u in upstreams
        }

    def live(self) -> list[AgentRecord]:
        """Return the records of all agents."""
        return list(self._records.values())

    def get(self, agent_id: str) -> AgentRecord | None:
        """Return the record of an agent, if there is one."""
        return self._records.get(agent_id)

    def get_all(self, agent_ids: Iterable[str]) -> dict[str, AgentRecord]:
        """Return the records of these agents, by id and in the given order."""
        return {i: self._records[i] for i in agent_ids if i in self._records}


@attrs.define
class Load:
    """Requests of one team at a mean rate per second over several connections."""

    team: str
    rate: float
    connections: int


@attrs.define
class Outcome:
    """Latencies of answered requests in seconds, result codes and numbers of attempts.

    ``full`` counts attempts that an upstream rejected for lack of a free slot.
    """

    latencies_by_team: dict[str, list[float]] = attrs.field(factory=dict)
    codes_by_team: dict[str, collections.Counter[str]] = attrs.field(factory=dict)
    attempts: int = 0
    full: int = 0

    def add(self, other: Outcome) -> None:
        """Add the results of another run."""
        for team, latencies in other.latencies_by_team.items():
            self.latencies_by_team.setdefault(team, []).extend(latencies)
        for team, codes in other.codes_by_team.items():
            self.codes_by_team.setdefault(team, collections.Counter()).update(codes)
        self.attempts += other.attempts
        self.full += other.full

    def percentile(self, fraction: float, teams: list[str]) -> float:
        """Return a percentile of the latencies in milliseconds; 0 if there are none."""
        values = sorted(v for t in teams for v in self.latencies_by_team.get(t, []))
        index = min(len(values) - 1, int(fraction * len(values)))
        return values[index] * 1000 if values else 0.0

    def answered(self, teams: list[str]) -> int:
        """Return the number of answered requests."""
        return sum(len(self.latencies_by_team.get(team, [])) for team in teams)


class Entry:
    """Router and admission of one entry in front of shared fake upstreams."""

    def __init__(
        self,
        upstreams: list[FakeUpstream],
        policy: PolicyConfig,
        shares_by_team: dict[str, float],
        seed: int,
    ) -> None:
        settings = EntrySettings("e", "d", StoreSettings("none"))
        self.policy, self.shares_by_team = policy, shares_by_team
        config = FixedConfig(policy, shares_by_team)
        agents = AgentList(upstreams)
        context = EntryContext(settings, CLOCK, NO_BACKEND, agents, config, StateDump())
        self.router = Router(context, lambda agent_id: False, seed)
        self.admission = Admission(settings.http.threads, 1000)
        self.router.start()

    def send(
        self, upstreams: dict[str, FakeUpstream], team: str, work: float, seconds: float
    ) -> tuple[Code, int]:
        """Send one request; return its code and the number of full upstreams it met."""
        share = REQUEST_SHARES.get(self.policy.request_share)()
        entered = self.admission.enter(team, self.shares_by_team[team], share)
        if isinstance(entered, Err):
            return entered.err_value.code, 0
        try:
            return self._attempt(upstreams, team, work, CLOCK.now() + seconds)
        finally:
            self.admission.leave(team)

    def _attempt(
        self, upstreams: dict[str, FakeUpstream], team: str, work: float, until: float
    ) -> tuple[Code, int]:
        request = ServiceRequest(SERVICE, team, "GET", "/", {}, b"", True, "", until)
        full, arrival = 0, None
        while True:
            acquired = self.router.acquire(request, arrival=arrival)
            if isinstance(acquired, Err):
                return acquired.err_value.code, full
            lease = acquired.ok_value
            arrival = lease.arrival
            upstream = upstreams[lease.announce.sender]
            if upstream.try_reserve():
                threading.Event().wait(work)
                upstream.release_slot()
                self.router.release(lease, Code.OK, upstream.free)
                return Code.OK, full
            full += 1
            self.router.release(lease, Code.VM_FULL, 0)


def run_load(
    entries: list[Entry],
    upstreams: list[FakeUpstream],
    loads: list[Load],
    work: float,
    seconds: float,
    promised: float,
    seed: int,
) -> Outcome:
    """Send all loads concurrently, spread over the entries."""
    outcome, lock, stop = Outcome(), threading.Lock(), threading.Event()
    by_name = {upstream.name: upstream for upstream in upstreams}

    def announce() -> None:
        while True:
            for upstream in upstreams:
                message = upstream.announce()
                for entry in entries:
                    entry.router.handle_announcement(message)
            if stop.wait(ANNOUNCE_INTERVAL):
                return

    def send(load: Load, number: int) -> None:
        generator = random.Random(f"{seed}-{load.team}-{number}")
        entry = entries[number % len(entries)]
        end = CLOCK.now() + seconds
        send_at = CLOCK.now()
        while True:
            send_at += generator.expovariate(load.rate / load.connections)
            if max(send_at, CLOCK.now()) >= end:
                return
            threading.Event().wait(max(0.0, send_at - CLOCK.now()))
            begun = CLOCK.now()
            code, full = entry.send(by_name, load.team, work, promised)
            with lock:
                codes = outcome.codes_by_team.setdefault(
                    load.team, collections.Counter()
                )
                codes[str(code.value)] += 1
                outcome.attempts += full + (code is Code.OK)
                outcome.full += full
                if code is Code.OK:
                    team_latencies = outcome.latencies_by_team.setdefault(load.team, [])
                    team_latencies.append(CLOCK.now() - begun)

    announcer = threading.Thread(target=announce)
    announcer.start()
    threads = [
        threading.Thread(target=send, args=(load, number))
        for load in loads
        for number in range(load.connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    stop.set()
    announcer.join()
    for entry in entries:
        entry.router.close()
    return outcome
