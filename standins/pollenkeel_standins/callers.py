"""Callers of a service, and the comparison of their answers with what truly ran."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, Self

import attrs
import urllib3

from pollenkeel_standins.cluster import Cluster, find_records, wait_until
from pollenkeel_standins.processes import ManagedProcess
from pollenkeel_standins.recording import Execution
from pollenkeel_standins.relay import Links, Relay
from pollenkeel_standins.site import CLOCK, SERVICE, Reply, Site, start_site

#: A caller waits this many seconds past its deadline before it gives up.
_PATIENCE = 10.0
_QUIET_LIMIT = 30.0


@attrs.frozen
class Call:
    """One request and what its caller saw.

    Attributes
    ----------
    reply : Reply or None
        None if the caller's connection broke.
    deadline, answered_at : float
        Points in time.
    """

    method: str
    path: str
    body: bytes
    reply: Reply | None
    deadline: float
    answered_at: float

    @property
    def outcome(self) -> str:
        """The stated outcome; ``broken`` if the connection broke."""
        return "broken" if self.reply is None else self.reply.outcome

    @property
    def code(self) -> int:
        """The result code; 0 if the connection broke."""
        return 0 if self.reply is None else self.reply.code


class Callers:
    """Sends requests from threads.

    Parameters
    ----------
    site : Site
        Site that is called.
    threads : int
        Largest number of requests at the same time.
    """

    def __init__(self, site: Site, threads: int = 64) -> None:
        self._site = site
        self._threads = ThreadPoolExecutor(threads)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._threads.shutdown(wait=True, cancel_futures=True)

    def send(
        self,
        entry: ManagedProcess,
        method: str,
        path: str,
        body: bytes = b"",
        within: float = 5.0,
        **headers: str,
    ) -> Future[Call]:
        """Send a request whose deadline is ``within`` seconds from now."""
        return self._threads.submit(
            self.call, entry, method, path, body, within, **headers
        )

    def call(
        self,
        entry: ManagedProcess,
        method: str,
        path: str,
        body: bytes = b"",
        within: float = 5.0,
        **headers: str,
    ) -> Call:
        """Send a request and wait for its answer."""
        deadline = CLOCK.now() + within
        headers = {"Pollenkeel_Deadline": f"{deadline:.3f}", **headers}
        patience = within + _PATIENCE
        reply: Reply | None
        try:
            reply = self._site.call(entry, method, path, body, patience, **headers)
        except urllib3.exceptions.HTTPError:
            reply = None
        return Call(method, path, body, reply, deadline, CLOCK.now())


@attrs.frozen
class Testbed:
    """A site with relays and callers, and the repairs of the faults provoked in it."""

    site: Site
    links: Links
    callers: Callers
    _repairs: list[Callable[[], object]] = attrs.field(factory=list)

    def relay(self, name: str) -> Relay:
        """Return the relay in front of an entry, an agent or ``upstream-<vm>``."""
        return self.links.relays_by_name[name]

    def set_faults(self, process: ManagedProcess, **changes: Any) -> None:
        """Change fault switches of a stand-in."""
        self.site.cluster.set_faults(process, **changes)

    def add_repair(self, repair: Callable[[], object]) -> None:
        """Add a repair for ``repair``."""
        self._repairs.append(repair)

    def repair(self) -> None:
        """Undo the faults, the latest first."""
        while self._repairs:
            self._repairs.pop()()

    def restart(self, process: ManagedProcess) -> None:
        """Start an ended process again and replace it in the site."""
        again = self.site.cluster.restart(process.name)
        for vm, agent in self.site.agents_by_vm.items():
            if agent is process:
                self.site.agents_by_vm[vm] = again
        for vm, upstream in self.site.upstreams_by_vm.items():
            if upstream is process:
                self.site.upstreams_by_vm[vm] = again
        if process in self.site.entries:
            self.site.entries[self.site.entries.index(process)] = again


@contextlib.contextmanager
def open_testbed(directory: Path, **options: Any) -> Iterator[Testbed]:
    """Start a site with relays and no workers; options as of ``start_site``."""
    with Links() as links, Cluster(directory) as cluster:
        site = start_site(cluster, links=links, with_workers=False, **options)
        with Callers(site) as callers:
            yield Testbed(site, links, callers)


def wait_until_idle(site: Site) -> None:
    """Wait until no request runs or may still start at an agent."""

    def quiet() -> bool:
        runs = find_executions(site)
        ended = {run.name for run in runs if run.end}
        # An agent still waits for an answer that a silent connection holds back.
        running = {
            attempt
            for agent in site.agents_by_vm.values()
            for attempt in site.dump(agent)["attempts"]["running"]
        }
        return running <= ended and len(ended) == len(runs)

    wait_until(quiet, _QUIET_LIMIT, "no request runs")


def find_executions(site: Site, key: str = "", path: str = "") -> list[Execution]:
    """Return the executions of a key or path, or all, on all upstreams."""
    return [
        run
        for run in find_records(site.cluster, f"upstream-{SERVICE}-")
        if run.fields["key"] == key or not key
        if run.fields["uri"] == path or not path
    ]


def read_metric(process: ManagedProcess, name: str) -> float:
    """Return the sum of the samples whose name and labels start with a text."""
    text = urllib3.request("GET", f"{process.url}/metrics").data.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.split()[-1]) for line in lines)


def find_wrong_outcomes(site: Site, calls: Iterable[Call]) -> list[str]:
    """Compare answers with the upstreams' record; every path must be unique.

    Returns
    -------
    list of str
        Calls without an outcome, with a wrong answer, that ran although refused as
        not run, or that ran more often than allowed.
    """
    runs_by_path: dict[str, int] = {}
    for run in find_executions(site):
        path = run.fields["uri"]
        runs_by_path[path] = runs_by_path.get(path, 0) + 1
    faults = []
    for call in calls:
        runs = runs_by_path.get(call.path, 0)
        if not _agrees(call, runs):
            faults.append(f"{call.path}: {call.outcome} {call.code}, {runs} runs")
    return faults


def _agrees(call: Call, runs: int) -> bool:
    if call.method == "POST" and runs > 1:
        return False
    match call.outcome:
        case "answered":
            assert call.reply is not None
            expected = call.body or f"{call.method} {call.path}".encode()
            return runs >= 1 and call.reply.body == expected
        case "not-run":
            return runs == 0
    return call.outcome in ("unknown", "broken")
