"""Test rig: a site whose connections pass through relays, with load and checks.

The relays are on the connections to the store and between peers, so that a test can cut
or delay each of them.
"""

from __future__ import annotations

import contextlib
import itertools
import random
import threading
import uuid
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Self

import attrs
import urllib3

from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_standins.cluster import (
    Cluster,
    ManagedProcess,
    find_records,
    wait_until,
)
from pollenkeel_standins.recording import Execution
from pollenkeel_standins.relay import Mode, Relay
from pollenkeel_standins.site import SERVICE, TEAM, Reply, Site, start_site

CLOCK = SystemClock()
ENTRIES = ("entry-0", "entry-1")
AGENTS = ("vm-kingston", "vm-portmore")
_POLL_SECONDS = 0.05
_HEAL_TIMEOUT_SECONDS = 30.0


@attrs.frozen
class Rig:
    """Two entries and two VMs with a relay on each connection.

    Attributes
    ----------
    site : Site
        Processes of the site.
    store_relays_by_name : dict
        Relay between the entry or agent of this name and the store.
    peer_relays_by_name : dict
        Relay through which peers connect to the entry or agent of this name.
    """

    site: Site
    store_relays_by_name: dict[str, Relay]
    peer_relays_by_name: dict[str, Relay]
    _served_since_heal: set[tuple[str, str | None]] = attrs.field(factory=set)

    @property
    def cluster(self) -> Cluster:
        """Cluster that owns the processes."""
        return self.site.cluster

    def process(self, name: str) -> ManagedProcess:
        """Return the latest process with this name."""
        return self.cluster.processes_by_name[name]

    def restart(self, name: str) -> ManagedProcess:
        """Restart an entry or agent that has ended, at the same addresses."""
        process = self.cluster.restart(name)
        if name in self.peer_relays_by_name:
            self.peer_relays_by_name[name].set_target(process.peer_address)
        return process

    def set_store_faults(self, **faults: Any) -> None:
        """Change fault switches of the platform stand-in."""
        self.cluster.set_faults(self.site.platform, **faults)

    def change(
        self, entry: str, path: str, change_id: str, **members: Any
    ) -> tuple[int, Any]:
        """Send a change as an operator and return the HTTP status and JSON body.

        The status is 0 if there was no answer.
        """
        value = {"change_id": change_id, **members}
        try:
            return self.cluster.call(self.process(entry), "POST", path, value)
        except urllib3.exceptions.HTTPError as error:
            return 0, {"code": 0, "detail": str(error)}

    def set_drained(
        self, entry: str, data_centre: str, drained: bool, change_id: str
    ) -> int:
        """Drain or undrain a data centre and return the new configuration version.

        Raises
        ------
        RuntimeError
            If the change was refused.
        """
        action = "drain" if drained else "undrain"
        path = f"/v1/data-centres/{data_centre}/{action}"
        status, answer = self.change(entry, path, change_id)
        if status != 200:
            raise RuntimeError(f"{action} refused with {status}: {answer}")
        return int(answer["version"])

    def version(self) -> int:
        """Return the configuration version in force at entry-0."""
        shown = self.cluster.call(self.process("entry-0"), "GET", "/v1/config")[1]
        return int(shown["version"])

    def heal(self) -> None:
        """End all faults, restart ended processes and wait until requests are served.

        Raises
        ------
        TimeoutError
            If the site does not serve requests again in time.
        """
        for relay in (
            *self.store_relays_by_name.values(),
            *self.peer_relays_by_name.values(),
        ):
            relay.set_mode(Mode.PASS)
            relay.set_delay(0.0)
        self.set_store_faults(down="off", lose_answers=0)
        processes = list(self.cluster.processes_by_name.values())
        for process in processes:
            process.thaw()
        for process in processes:
            if not process.alive:
                self.restart(process.name)
        for process in self.site.upstreams_by_vm.values():
            self.cluster.set_faults(self.process(process.name), mute=False)
        self.set_drained("entry-0", "kingston", False, make_tag())
        self.set_drained("entry-0", "portmore", False, make_tag())
        wait_until(self._serves, _HEAL_TIMEOUT_SECONDS, "the site serves again")

    def _restart_stopped(self) -> None:
        """Restart the processes that have ended properly since ``heal`` began.

        One that was sent SIGTERM before may still have been running then.
        """
        for process in list(self.cluster.processes_by_name.values()):
            if not process.alive and process.wait() == 0:
                self.restart(process.name)

    def _serves(self) -> bool:
        """Send one request through each entry.

        Returns whether, since ``heal`` began, every entry has reached every VM.
        """
        self._restart_stopped()
        served = set()
        for name in ENTRIES:
            path = "/ready"
            reply = self.site.call(self.process(name), "GET", path, timeout=2.0)
            served.add((name, reply.headers.get("Standin-Vm")))
        self._served_since_heal.update(served)
        wanted = {(entry, vm) for entry in ENTRIES for vm in AGENTS}
        if wanted <= self._served_since_heal:
            self._served_since_heal.clear()
            return True
        return False

    def accepted_at(self, version: int) -> float:
        """Return when the store accepted the write of a configuration version."""
        for write in self.cluster.get_record(self.site.platform)["writes"]:
            if (write["table"], write["version"]) == ("config", version):
                return float(write["at"])
        raise LookupError(f"no write of version {version}")

    def starts(self, vm: str, after: float = 0.0) -> list[Execution]:
        """Return the task attempts that actually started on a VM."""
        return [
            run
            for run in self.cluster.executions(f"worker-{vm}")
            if run.outcome != "refused" and run.start > after
        ]

    def requests(self) -> list[Execution]:
        """Return the requests that actually ran on any upstream."""
        return find_records(self.cluster, "upstream-")


def make_tag() -> str:
    """Return a random string that makes names unique."""
    return uuid.uuid4().hex[:8]


@contextlib.contextmanager
def start_rig(directory: Path, **options: Any) -> Iterator[Rig]:
    """Start a rig; on exit, end all of its processes and relays.

    Parameters
    ----------
    directory : Path
        Directory of settings, logs and records.
    **options
        As for ``start_site``.
    """
    with contextlib.ExitStack() as stack:
        names = (*ENTRIES, *AGENTS)
        # Nothing listens on port 1; the targets are set after the processes start.
        stores, peers = (
            {n: stack.enter_context(Relay(f"{scheme}://127.0.0.1:1")) for n in names}
            for scheme in ("http", "tcp")
        )
        cluster = stack.enter_context(Cluster(directory))
        relays: dict[str, Any] = {
            "store_relays_by_name": stores,
            "peer_relays_by_name": peers,
        }
        yield Rig(start_site(cluster, **relays, **options), stores, peers)


class RepeatedCalls:
    """Threads that call a function repeatedly until the context exits.

    Parameters
    ----------
    step : callable
        Function to call; its argument is a counter that is shared by the threads.
    threads : int
        Number of threads.
    pause : float
        Longest pause between two calls in seconds. The pauses are random with a fixed
        seed.

    Attributes
    ----------
    errors : list of Exception
        Exceptions that the calls raised.
    """

    def __init__(
        self, step: Callable[[int], None], threads: int = 1, pause: float = 0.0
    ) -> None:
        self.errors: list[Exception] = []
        self._step = step
        self._pause = pause
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(seed,), daemon=True)
            for seed in range(threads)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Wait for the current calls and stop the threads."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        while not self._stopped.is_set():
            try:
                self._step(next(self._numbers))
            except Exception as error:
                self.errors.append(error)
            self._stopped.wait(rng.uniform(0.0, self._pause))


@attrs.frozen
class Call:
    """One request of the load; ``reply`` is None if the connection failed."""

    path: str
    sent_at: float
    ended_at: float
    reply: Reply | None
    entry: str = ""


class Callers:
    """Callers behind a load balancer.

    The load balancer sends requests to the entries whose ``/readyz`` returns 200.

    Parameters
    ----------
    rig : Rig
        Site to call.
    entries : tuple of str
        Names of the entries behind the load balancer.
    threads : int
        Number of callers.
    method : str
        Method of the requests.
    work_ms : tuple of float
        Service times of the requests in milliseconds, used in turn.

    Attributes
    ----------
    calls : list of Call
        Requests that have ended.
    open_by_path : dict of str to str
        Entry of each request under way, by path.
    """

    def __init__(
        self,
        rig: Rig,
        entries: tuple[str, ...] = ENTRIES,
        threads: int = 6,
        method: str = "GET",
        work_ms: tuple[float, ...] = (10, 20, 50),
    ) -> None:
        self.calls: list[Call] = []
        self.open_by_path: dict[str, str] = {}
        self._rig = rig
        self._tag = make_tag()
        self._method = method
        self._work_ms = work_ms
        self._entries = entries
        self._ready = list(entries)
        self._pool = urllib3.PoolManager(retries=False, timeout=0.5)
        self._balancer = RepeatedCalls(self._poll, pause=_POLL_SECONDS)
        self._callers = RepeatedCalls(self._call, threads, pause=0.02)

    def __enter__(self) -> Self:
        self._balancer.__enter__()
        self._callers.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self._callers.stop()
        self._balancer.stop()

    def answered(self, after: float = 0.0, vm: str = "") -> list[Call]:
        """Return the requests sent after a time and answered with 200."""
        return [
            call
            for call in list(self.calls)
            if call.sent_at > after
            and call.reply is not None
            and call.reply.status == 200
            and vm in ("", call.reply.headers.get("Standin-Vm"))
        ]

    def failed(self) -> list[Call]:
        """Return the requests that were not answered with 200."""
        answered = {call.path for call in self.answered()}
        return [call for call in list(self.calls) if call.path not in answered]

    def _poll(self, _: int) -> None:
        self._ready = [name for name in self._entries if self._is_ready(name)]

    def _is_ready(self, name: str) -> bool:
        try:
            url = self._rig.process(name).url + "/readyz"
            return self._pool.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _call(self, number: int) -> None:
        ready = self._ready
        if not ready:
            return
        name = ready[number % len(ready)]
        path = f"/{self._tag}/{number}"
        work = self._work_ms[number % len(self._work_ms)]
        sent_at = CLOCK.now()
        self.open_by_path[path] = name
        reply = None
        try:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                reply = self._rig.site.call(
                    self._rig.process(name),
                    self._method,
                    path,
                    Work_Ms=str(work),
                )
        finally:
            del self.open_by_path[path]
            self.calls.append(Call(path, sent_at, CLOCK.now(), reply, name))


class VersionWatch:
    """Polls the configuration version in the state dump of each process.

    Parameters
    ----------
    rig : Rig
        Site to watch.

    Attributes
    ----------
    samples_by_pid : dict of int to list of (float, int)
        Time and version of each sample, by process id.
    """

    def __init__(self, rig: Rig) -> None:
        self.samples_by_pid: dict[int, list[tuple[float, int]]] = {}
        self._rig = rig
        self._pool = urllib3.PoolManager(retries=False, timeout=1.0, maxsize=4)
        self._watchers = [
            RepeatedCalls(self._watch(name), pause=_POLL_SECONDS)
            for name in (*ENTRIES, *AGENTS)
        ]

    def __enter__(self) -> Self:
        for watcher in self._watchers:
            watcher.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        for watcher in self._watchers:
            watcher.stop()

    def version(self, name: str) -> int:
        """Return the latest version in the dump of a process; 0 without a sample."""
        samples = self.samples_by_pid.get(self._rig.process(name).pid, [])
        return samples[-1][1] if samples else 0

    def reached_at(self, name: str, version: int) -> float | None:
        """Return when a process first had at least this version, or None."""
        samples = self.samples_by_pid.get(self._rig.process(name).pid, [])
        return next((at for at, seen in samples if seen >= version), None)

    def reversions(self) -> list[tuple[int, int, int]]:
        """Return the process id and both versions wherever a version decreased."""
        return [
            (pid, before[1], after[1])
            for pid, samples in self.samples_by_pid.items()
            for before, after in itertools.pairwise(list(samples))
            if after[1] < before[1]
        ]

    def _watch(self, name: str) -> Callable[[int], None]:
        section = "entry" if name in ENTRIES else "site"

        def sample(_: int) -> None:
            process = self._rig.process(name)
            response = self._pool.request("GET", process.url + "/v1/dump")
            version = int(response.json()[section]["config_version"])
            samples = self.samples_by_pid.setdefault(process.pid, [])
            samples.append((CLOCK.now(), version))

        return sample


def make_document(promised_time: float) -> dict[str, Any]:
    """Return the body of a change that sets the promised time in seconds."""
    places = {
        name: {"region": "jamaica", "site": "portmore"}
        for name in ("kingston", "portmore")
    }
    base = {
        "data_centres": places,
        "services": {SERVICE: {"promised_time": promised_time}},
        "teams": {TEAM: {"share": 1.0}},
    }
    return {"base": base, "overlays_by_site": {"portmore": {}}}
