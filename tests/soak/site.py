"""A site of real processes whose connections all pass through relays."""

from __future__ import annotations

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, ClassVar

from pollenkeel_standins.job_site import JobSite
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.relay import Mode, Relay

#: Fault settings of a store without faults.
NO_STORE_FAULTS = {
    "down": "off",
    "slow": 0.0,
    "lose_answers": 0,
    "late_writes": 0,
    "lost_feeds": 0,
}
#: Rates of the runners' clocks in seconds per second. The platform allows clocks that
#: are 2% slow.
_CLOCK_RATES = (0.98, 1.0, 1.0, 1.01)
#: Largest offset of a runner's clock in seconds.
_CLOCK_OFFSET = 3600.0
#: Zone and label of the last VM, which are those of no other VM.
CLOSED_ZONE = "z2"
CLOSED_LABEL = "b"
#: Label of the first VM, which no other VM has.
CROWDED_LABEL = "c"
#: Longest time until the store takes a row of an operator, in seconds.
_OPERATOR_SECONDS = 30.0


class SoakSite(JobSite):
    """Entries, agents, runners and store with a relay on each link.

    Parameters
    ----------
    directory : Path
        Directory of settings and logs.
    rng : Random
        Source of the clocks' offsets and rates.
    entries, vms : int
        Numbers of entries and VMs.

    Attributes
    ----------
    relays_by_link : dict of (str, str) to Relay
        Relay of each link, by the names of its ends; an empty name means all.
    locks_by_process : dict of str to Lock
        Held while a fault of the process lasts.
    findings : list of str
        Violations found by faults, such as a process that does not stop.
    """

    scheduling: ClassVar[dict[str, bool]] = {
        "look_ahead": True,
        "parallel_copies": True,
        "admission": True,
    }

    def __init__(
        self, directory: Path, rng: random.Random, entries: int, vms: int
    ) -> None:
        super().__init__(directory, entries, vms)
        self._rng = rng
        self.relays_by_link: dict[tuple[str, str], Relay] = {}
        self.locks_by_process: dict[str, threading.Lock] = {}
        self.findings: list[str] = []

    def __enter__(self) -> SoakSite:
        super().__enter__()
        for name in self.processes_by_name:
            self.locks_by_process[name] = threading.Lock()
        return self

    def __exit__(self, *reason: object) -> None:
        super().__exit__(*reason)
        for relay in self.relays_by_link.values():
            relay.close()

    def route(self, source: str, target: str, address: str) -> str:
        """Return the address of a new relay in front of ``address``."""
        relay = Relay(address)
        self.relays_by_link[source, target] = relay
        return relay.address

    def add_finding(self, finding: str) -> None:
        """Add a violation found by a fault."""
        self.findings.append(finding)

    def restart_all(self, names: list[str]) -> None:
        """Restart processes concurrently."""
        with ThreadPoolExecutor(len(names)) as pool:
            list(pool.map(self.restart, names))

    def heal(self) -> None:
        """End all faults of links and of the store."""
        for relay in self.relays_by_link.values():
            relay.set_mode(Mode.PASS)
            relay.set_delay(0.0)
        self.set_store_faults(**NO_STORE_FAULTS)

    def write_operator_row(self, key: str, value: dict[str, Any] | None) -> None:
        """Write a row as an operator does, as soon as the store takes it."""
        wait_until(
            lambda: self.write_operator(key, value),
            _OPERATOR_SECONDS,
            f"{key} is written",
        )

    def find_zone(self, number: int) -> str:
        """Return the zone of a VM."""
        return CLOSED_ZONE if self._is_last(number) else super().find_zone(number)

    def find_dead(self) -> list[str]:
        """Return the names of processes that have ended unexpectedly."""
        return [n for n, process in self.processes_by_name.items() if not process.alive]

    def runner_options(self, number: int) -> list[str]:
        """Return the options that give a runner a random clock offset and rate."""
        offset = self._rng.uniform(-_CLOCK_OFFSET, _CLOCK_OFFSET)
        rate = self._rng.choice(_CLOCK_RATES)
        return ["--clock-offset", f"{offset}", "--clock-rate", f"{rate}"]

    def find_labels(self, number: int) -> str:
        """Return the labels of a VM, separated by commas."""
        labels = super().find_labels(number)
        if number == 0:
            return f"{labels},{CROWDED_LABEL}"
        return f"{labels},{CLOSED_LABEL}" if self._is_last(number) else labels

    def _is_last(self, number: int) -> bool:
        return number == self._vm_count - 1
