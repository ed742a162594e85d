"""Callers of a service, and a check of their answers against what actually ran."""

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

#: Time in seconds after its deadline for which a caller still waits for an answer.
_GRACE_SECONDS = 10.0
_IDLE_TIMEOUT_SECONDS = 30.0


@attrs.frozen
class Call:
    """One request and its result for the caller.

    Attributes
    ----------
    reply : Reply or None
        None if the connection failed.
    deadline, answered_at : float
        Deadline of the request and time of its answer, on the system clock.
    """

    method: str
    path: str
    body: bytes
    reply: Reply | None
    deadline: float
    answered_at: float

    @property
    def outcome(self) -> str:
        """The outcome in the reply; ``broken`` if the connection failed."""
        return "broken" if self.reply is None else self.reply.outcome

    @property
    def code(self) -> int:
        """The result code; 0 if the connection failed."""
        return 0 if self.reply is None else self.reply.code


class Callers:
    """Sends requests from a pool of threads.

    Parameters
    ----------
    site : Site
        Site to call.
    threads : int
        Maximum number of concurrent requests.
    """

    def __init__(self, site: Site, threads: int = 64) -> None:
        self._site = site
        self._executor = ThreadPoolExecutor(threads)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown(wait=True, cancel_futures=True)

    def send(
        self,
        entry: ManagedProcess,
        method: str,
        path: str,
        body: bytes = b"",
        within: float = 5.0,
        **headers: str,
    ) -> Future[Call]:
        """Send a request in the background; its deadline is in ``within`` seconds."""
        return self._executor.submit(
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
        timeout = within + _GRACE_SECONDS
        reply: Reply | None
        try:
            reply = self._site.call(entry, method, path, body, timeout, **headers)
        except urllib3.exceptions.HTTPError:
            reply = None
        return Call(method, path, body, reply, deadline, CLOCK.now())


@attrs.frozen
class Harness:
    """A site with relays and callers, and callbacks that undo the injected faults."""

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
        """Register a callback that ``repair`` calls to undo a fault."""
        self._repairs.append(repair)

    def repair(self) -> None:
        """Undo the injected faults, the latest first."""
        while self._repairs:
            self._repairs.pop()()

    def restart(self, process: ManagedProcess) -> None:
        """Restart an ended process and replace it in the site."""
        restarted = self.site.cluster.restart(process.name)
        for vm, agent in self.site.agents_by_vm.items():
            if agent is process:
                self.site.agents_by_vm[vm] = restarted
        for vm, upstream in self.site.upstreams_by_vm.items():
            if upstream is process:
                self.site.upstreams_by_vm[vm] = restarted
        if process in self.site.entries:
            self.site.entries[self.site.entries.index(process)] = restarted


@contextlib.contextmanager
def open_harness(directory: Path, **options: Any) -> Iterator[Harness]:
    """Start a site with relays and without workers; options as for ``start_site``."""
    with Links() as links, Cluster(directory) as cluster:
        site = start_site(cluster, links=links, with_workers=False, **options)
        with Callers(site) as callers:
            yield Harness(site, links, callers)


def wait_until_idle(site: Site) -> None:
    """Wait until no request is running on an upstream or in progress at an agent.

    Raises
    ------
    TimeoutError
        With the requests that still run.
    """
    open_requests: list[str] = []

    def is_idle() -> bool:
        open_requests[:] = _find_open_requests(site)
        return not open_requests

    try:
        wait_until(is_idle, _IDLE_TIMEOUT_SECONDS, "no request runs")
    except TimeoutError as error:
        raise TimeoutError(f"{error}; {'; '.join(open_requests)}") from error


def _find_open_requests(site: Site) -> list[str]:
    """Return descriptions of the requests that run at an upstream or agent."""
    runs = find_executions(site)
    ended = {run.name for run in runs if run.end}
    found = [
        f"{run.fields['uri']} runs on {run.vm} as {run.name} since {run.start:.3f}"
        for run in runs
        if not run.end
    ]
    # If a connection is silent, an agent still waits for the answer to an attempt
    # that has ended at the upstream.
    found += [
        f"{attempt} in progress at {vm}"
        for vm, agent in site.agents_by_vm.items()
        for attempt in site.dump(agent)["attempts"]["running"]
        if attempt not in ended
    ]
    names = [run.name for run in runs]
    found += [
        f"{name} ran {names.count(name)} times"
        for name in sorted(set(names))
        if names.count(name) > 1
    ]
    return found


def find_executions(site: Site, key: str = "", path: str = "") -> list[Execution]:
    """Return the executions on all upstreams, of a key or path if one is given."""
    return [
        run
        for run in find_records(site.cluster, f"upstream-{SERVICE}-")
        if run.fields["key"] == key or not key
        if run.fields["uri"] == path or not path
    ]


def read_metric(process: ManagedProcess, name: str) -> float:
    """Return the sum of the samples whose name and labels start with ``name``."""
    text = urllib3.request("GET", f"{process.url}/metrics").data.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.split()[-1]) for line in lines)


def find_wrong_outcomes(site: Site, calls: Iterable[Call]) -> list[str]:
    """Check the results of calls against the upstreams' record.

    Every call must have a unique path.

    Returns
    -------
    list of str
        Descriptions of calls that have no valid outcome or a wrong answer, that ran
        although they were reported as not run, or whose POST ran more than once.
    """
    runs_by_path: dict[str, int] = {}
    for run in find_executions(site):
        path = run.fields["uri"]
        runs_by_path[path] = runs_by_path.get(path, 0) + 1
    faults = []
    for call in calls:
        runs = runs_by_path.get(call.path, 0)
        if not _is_consistent(call, runs):
            faults.append(f"{call.path}: {call.outcome} {call.code}, {runs} runs")
    return faults


def _is_consistent(call: Call, runs: int) -> bool:
    """Return whether a result is valid for a request that ran ``runs`` times."""
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
