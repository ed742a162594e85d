"""Faults that a soak run injects, and their random schedule."""

from __future__ import annotations

import itertools
import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterator, Mapping

import attrs

from pollenkeel_standins.other_writer import FORGERIES_BY_NAME
from pollenkeel_standins.relay import Mode
from soak.site import SoakSite

#: Longest time from SIGTERM to SIGKILL, in seconds, as on the platform.
_GRACE_SECONDS = 6.0
#: Pause between a kill and the restart, in seconds.
_RESTART_SECONDS = 0.3


class Fault(ABC):
    """One kind of fault; ``apply`` returns when the fault has ended."""

    @abstractmethod
    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Inject the fault into a process or link for a time."""

    @abstractmethod
    def choose(self, site: SoakSite, rng: random.Random) -> str:
        """Return a target."""


@attrs.define
class ProcessFault(Fault):
    """Fault of one process; each process has at most one at a time."""

    kinds: tuple[str, ...] = ("entry", "agent")
    _pause: threading.Event = attrs.field(factory=threading.Event)

    def choose(self, site: SoakSite, rng: random.Random) -> str:
        """Return the name of a process."""
        names = [n for n in site.processes_by_name if n.startswith(self.kinds)]
        return rng.choice(names)

    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Inject the fault unless the process already has one."""
        lock = site.locks_by_process[target]
        if lock.acquire(blocking=False):
            try:
                self.inject(site, target, seconds)
            finally:
                lock.release()

    @abstractmethod
    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Inject the fault into a process."""


class Kill(ProcessFault):
    """SIGKILL followed by a restart."""

    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Kill and restart the process."""
        site.processes_by_name[target].kill()
        self._pause.wait(_RESTART_SECONDS)
        site.restart(target)


class Terminate(ProcessFault):
    """SIGTERM, SIGKILL after the grace time, and a restart."""

    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Stop and restart the process; record a stop beyond the grace period."""
        process = site.processes_by_name[target]
        process.terminate()
        try:
            process.wait(_GRACE_SECONDS)
        except TimeoutError:
            site.add_finding(f"{target} did not stop within the grace time")
        site.restart(target)


class Freeze(ProcessFault):
    """SIGSTOP, followed by SIGCONT."""

    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Suspend the process for a time."""
        process = site.processes_by_name[target]
        process.freeze()
        self._pause.wait(seconds)
        process.thaw()


class Reload(ProcessFault):
    """SIGHUP, three times."""

    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Make the process reload its settings."""
        for _ in range(3):
            site.processes_by_name[target].reload()
            self._pause.wait(seconds / 10)


class KillAll(ProcessFault):
    """SIGKILL to all entries and agents at once."""

    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Kill all processes that have no other fault, and restart them."""
        locked_names = [target]
        for name, lock in site.locks_by_process.items():
            # Waiting for a lock while holding others could deadlock two such faults.
            if name.startswith(self.kinds) and lock.acquire(blocking=False):
                locked_names.append(name)
        try:
            for name in locked_names:
                site.processes_by_name[name].kill()
            self._pause.wait(seconds / 2)
            site.restart_all(locked_names)
        finally:
            for name in locked_names[1:]:
                site.locks_by_process[name].release()


@attrs.define
class LinkFault(Fault):
    """Fault of one link."""

    mode: Mode = Mode.PASS
    _pause: threading.Event = attrs.field(factory=threading.Event)

    def choose(self, site: SoakSite, rng: random.Random) -> str:
        """Return the two ends of a link."""
        return " ".join(rng.choice(sorted(site.relays_by_link)))

    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Set the relay's mode for a time."""
        source, _, name = target.partition(" ")
        relay = site.relays_by_link[source, name]
        relay.set_mode(self.mode)
        self._pause.wait(seconds)
        relay.set_mode(Mode.PASS)


class Delay(LinkFault):
    """Delayed data."""

    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Delay data in both directions for a time."""
        source, _, name = target.partition(" ")
        relay = site.relays_by_link[source, name]
        relay.set_delay(0.15, 0.3)
        self._pause.wait(seconds)
        relay.set_delay(0.0)


class SilenceEstablished(LinkFault):
    """Established connections pass no more data; new ones work."""

    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Silence the established connections."""
        source, _, name = target.partition(" ")
        site.relays_by_link[source, name].silence_established()


@attrs.define
class StoreFault(Fault):
    """Faults of the store; ``reset_values`` holds the values that end them."""

    changes: dict[str, object] = attrs.field(factory=dict)
    reset_values: dict[str, object] = attrs.field(factory=dict)
    _pause: threading.Event = attrs.field(factory=threading.Event)

    def choose(self, site: SoakSite, rng: random.Random) -> str:
        """Return the name of the store."""
        return "store"

    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Set the faults for a time."""
        site.set_store_faults(**self.changes)
        self._pause.wait(seconds)
        site.set_store_faults(**self.reset_values)


class RestartRunner(ProcessFault):
    """SIGKILL of a runner, which is back under its id with a late first heartbeat."""

    def inject(self, site: SoakSite, target: str, seconds: float) -> None:
        """Kill and restart the runner; ``seconds`` is until its first heartbeat."""
        number = int(target.rpartition("-")[2])
        site.crash_runner(number)
        self._pause.wait(_RESTART_SECONDS)
        site.restart_runner(number, seconds)


class ForeignHeartbeats(Fault):
    """Another writer sends heartbeats for a runner's id."""

    def choose(self, site: SoakSite, rng: random.Random) -> str:
        """Return the name of a runner and the kind of heartbeat."""
        names = [n for n in site.processes_by_name if n.startswith("runner")]
        return f"{rng.choice(names)} {rng.choice(sorted(FORGERIES_BY_NAME))}"

    def apply(self, site: SoakSite, target: str, seconds: float) -> None:
        """Send them once; ``seconds`` is not used."""
        runner, _, kind = target.partition(" ")
        site.send_foreign_heartbeats(int(runner.rpartition("-")[2]), kind)


FAULTS_BY_NAME: dict[str, Fault] = {
    "kill": Kill(),
    "terminate": Terminate(),
    "freeze": Freeze(("entry", "agent", "runner")),
    "reload": Reload(),
    "kill all": KillAll(),
    "cut": LinkFault(Mode.CUT),
    "silent": LinkFault(Mode.SILENT),
    "one way": LinkFault(Mode.ONE_WAY),
    "delay": Delay(),
    "silent for ever": SilenceEstablished(),
    "store refuses": StoreFault({"down": "refuse"}, {"down": "off"}),
    "store hangs": StoreFault({"down": "hang"}, {"down": "off"}),
    "store is slow": StoreFault({"slow": 0.4}, {"slow": 0.0}),
    "store loses answers": StoreFault({"lose_answers": 4}, {"lose_answers": 0}),
    "store writes late": StoreFault({"late_writes": 3}, {"late_writes": 0}),
    "store forgets": StoreFault({"lost_feeds": 4}, {"lost_feeds": 0}),
}
#: Faults of runners and of their heartbeats. Their schedule is separate, so that the
#: seeds that failed before keep their schedule of the other faults.
RUNNER_FAULTS_BY_NAME: dict[str, Fault] = {
    "restart runner": RestartRunner(("runner",)),
    "other writer": ForeignHeartbeats(),
}
ALL_FAULTS_BY_NAME = {**FAULTS_BY_NAME, **RUNNER_FAULTS_BY_NAME}
#: Mean time in seconds between two faults of a schedule.
_FAULT_INTERVAL = 1.2
_RUNNER_FAULT_INTERVAL = 2.5


@attrs.frozen
class PlannedFault:
    """One fault of a schedule; ``at`` and ``seconds`` are in seconds from the start."""

    at: float
    name: str
    target: str
    seconds: float


def plan_faults(
    site: SoakSite,
    rng: random.Random,
    seed: int,
    seconds: float,
    names: Collection[str] = (),
) -> list[PlannedFault]:
    """Return the random faults of a run; some of them overlap.

    ``rng`` determines all faults but those of runners, which ``seed`` determines. If
    ``names`` are given, only these faults are played, and each ends within a second.
    """
    runner_rng = random.Random(f"runner faults {seed}")
    if names:
        chosen = {name: ALL_FAULTS_BY_NAME[name] for name in names}
        planned = _plan(site, runner_rng, seconds, chosen, _RUNNER_FAULT_INTERVAL)
        return [attrs.evolve(f, seconds=min(f.seconds, 1.0)) for f in planned]
    return [
        *_plan(site, rng, seconds, FAULTS_BY_NAME, _FAULT_INTERVAL),
        *_plan(
            site, runner_rng, seconds, RUNNER_FAULTS_BY_NAME, _RUNNER_FAULT_INTERVAL
        ),
    ]


def _plan(
    site: SoakSite,
    rng: random.Random,
    seconds: float,
    faults_by_name: Mapping[str, Fault],
    interval: float,
) -> Iterator[PlannedFault]:
    """Yield random faults, some of which overlap, grouped by start time."""
    at = rng.uniform(0.5, 1.5)
    while at < seconds:
        name = rng.choice(sorted(faults_by_name))
        fault = faults_by_name[name]
        for offset in itertools.accumulate(
            rng.uniform(0.0, 1.0) for _ in range(rng.choice((1, 1, 2, 3)))
        ):
            target = fault.choose(site, rng)
            yield PlannedFault(at + offset, name, target, rng.uniform(0.3, 4.0))
        at += rng.expovariate(1 / interval)
