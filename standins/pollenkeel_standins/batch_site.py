"""Sites that run batch jobs, with relays on the connections that the tests cut."""

from __future__ import annotations

import base64
import json
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from itertools import pairwise
from typing import Any
from urllib.parse import quote

import attrs

from pollenkeel_entry.batch.events import AttemptStarted, unpack_row
from pollenkeel_standins.cluster import (
    Cluster,
    ManagedProcess,
    find_records,
    wait_until,
)
from pollenkeel_standins.recording import Execution
from pollenkeel_standins.relay import Relay
from pollenkeel_standins.site import FAST_TIMING, TEAM, make_config

LIMIT = 60.0
DATA_CENTRES = ("kingston", "portmore")
#: Short intervals in seconds, so that every lease can lapse within a test.
BATCH_TIMING: dict[str, float] = {
    **FAST_TIMING,
    "peer_silent_after": 0.8,
    "announce_ttl": 1.5,
    "shard_lease": 1.5,
    "task_lease": 2.5,
    "task_renewal": 0.4,
    "outage_grace": 4.0,
    "start_window": 1.0,
    "entry_ttl": 2.0,
}
#: Tolerance in comparisons of recorded times. A worker computes when a run ended, and
#: the end of a killed process is read by the test, so that the two differ slightly.
_CLOCK_TOLERANCE_SECONDS = 0.05


@attrs.frozen
class BatchSite:
    """Processes of a site with one VM in each data centre.

    Attributes
    ----------
    agent_relays_by_vm : dict
        Relay between the entries and the agent of a VM. Only connections to the agent
        pass through it; its announcements go to the entries directly.
    store_relays_by_entry : dict
        Relay between an entry and the platform.
    """

    cluster: Cluster
    platform: ManagedProcess
    agent_relays_by_vm: dict[str, Relay]
    store_relays_by_entry: dict[str, Relay]

    def process(self, name: str) -> ManagedProcess:
        """Return the latest process with a name."""
        return self.cluster.processes_by_name[name]

    def entries(self) -> list[ManagedProcess]:
        """Return the entries."""
        return [self.process(name) for name in self.store_relays_by_entry]

    def submit(self, entry: str, job_id: str, *tasks: tuple[float, float]) -> None:
        """Submit a job of tasks given as (cores, seconds).

        Retries while the entry answers 503 or 504, as it does while the shard has no
        owner.
        """
        specs = [
            {
                "task_id": f"t{number}",
                "command": f"run {seconds}",
                "resources": {"cores": cores, "memory_gb": 1.0, "accelerators": 0},
                "run_time": seconds,
            }
            for number, (cores, seconds) in enumerate(tasks)
        ]
        job = {"job_id": job_id, "team": TEAM, "kind": "cutting", "deadline": 0.0}
        value = {**job, "urgent": False, "tasks": specs}
        wait_until(partial(self._is_accepted, entry, value), LIMIT, f"job {job_id}")

    def _is_accepted(self, entry: str, job: dict[str, Any]) -> bool:
        process = self.process(entry)
        status, answer = self.cluster.call(process, "POST", "/v1/jobs", job)
        if status == 200:
            return True
        # Submitting is idempotent, so a retry is safe whatever became of the call.
        if status not in (503, 504):
            raise RuntimeError(f"job refused with {status}: {answer}")
        return False

    def drain(self, entry: str, data_centre: str) -> None:
        """Drain a data centre."""
        path = f"/v1/data-centres/{data_centre}/drain"
        value = {"change_id": f"drain-{data_centre}"}
        status, answer = self.cluster.call(self.process(entry), "POST", path, value)
        if status != 200:
            raise RuntimeError(f"drain refused with {status}: {answer}")

    def is_finished(self, entry: str, job_id: str) -> bool:
        """Return whether a job has no open tasks any more, as reported by an entry."""
        path = f"/v1/jobs/{job_id}"
        status, job = self.cluster.call(self.process(entry), "GET", path)
        return status == 200 and not job["open_tasks"]

    def owner(self, shard: int = 0) -> tuple[str, int]:
        """Return the stored owner of a shard and its epoch; ``("", 0)`` without one."""
        rows = self._read_rows("owners")
        if str(shard) not in rows:
            return "", 0
        row = json.loads(rows[str(shard)])
        return row["owner"], row["epoch"]

    def wait_for_owner(self, epoch: int, shard: int = 0) -> str:
        """Wait for an owner with at least this epoch and return its id."""
        wait_until(
            lambda: self.owner(shard)[0] and self.owner(shard)[1] >= epoch,
            LIMIT,
            f"epoch {epoch}",
        )
        return self.owner(shard)[0]

    def starts(self) -> list[tuple[int, AttemptStarted]]:
        """Return the start events in the shard logs as (shard, event)."""
        rows = self._read_rows("log")
        return [
            (int(key.partition("/")[0]), event)
            for key, value in rows.items()
            if not key.endswith("/snapshot")
            for event in unpack_row(value).events
            if isinstance(event, AttemptStarted)
        ]

    def _read_rows(self, table: str) -> dict[str, bytes]:
        path = f"/tables/{table}/rows?prefix=&after=&limit=1000"
        rows = self.cluster.call(self.platform, "GET", path)[1]
        rows = rows["rows"] if isinstance(rows, dict) else rows
        return {row["key"]: base64.b64decode(row["value"]) for row in rows}

    def read_checkpoint(self, run: Execution) -> float:
        """Return the seconds of work in the stored checkpoint of an evicted run."""
        key = quote(f"checkpoints/{run.name}/{run.attempt}", safe="")
        checkpoint = self.cluster.call(self.platform, "GET", f"/objects/{key}")[1]
        return float(checkpoint["done_seconds"])

    def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of an entry or agent."""
        value: dict[str, Any] = self.cluster.call(
            self.process(name), "GET", "/v1/dump"
        )[1]
        return value

    def has_ready_agent(self, entry: str, vm: str) -> bool:
        """Return whether an entry lists a VM's agent as live with a ready worker."""
        agents = self.dump(entry)["entry"]["agents"]
        return any(a["vm"] == vm and a["worker_ready"] for a in agents)

    def executions(self) -> list[Execution]:
        """Return what actually ran on the workers, without rejected starts."""
        return [e for e in self._read_records() if e.outcome != "refused"]

    def refusals(self) -> list[Execution]:
        """Return the starts that the workers rejected."""
        return [e for e in self._read_records() if e.outcome == "refused"]

    def _read_records(self) -> list[Execution]:
        return find_records(self.cluster, "worker-")

    def running(self, vm: str = "") -> list[Execution]:
        """Return what is running, on one VM or on all."""
        return [e for e in self.executions() if not e.end and vm in ("", e.vm)]

    def wait_for_running(self, count: int, vm: str = "") -> list[Execution]:
        """Wait until at least ``count`` tasks run and return them."""
        wait_until(lambda: len(self.running(vm)) >= count, LIMIT, f"{count} running")
        return self.running(vm)

    def wait_for_done(self, names: list[str], limit: float = LIMIT) -> None:
        """Wait until each task has completed at least once."""
        wait_until(lambda: self.count_done().keys() >= set(names), limit, "tasks done")

    def count_done(self) -> Counter[str]:
        """Return how many runs of each task have completed."""
        return Counter(e.name for e in self.executions() if e.outcome == "done")


def start_batch_site(
    cluster: Cluster,
    entries: int = 2,
    shards: int = 1,
    timing: dict[str, float] | None = None,
    worker_options: dict[str, Any] | None = None,
    cores: float = 16.0,
) -> BatchSite:
    """Start entries ``entry-<n>`` and one VM ``vm-<name>`` in each data centre.

    With one shard, ``entry-0`` is its first owner. Returns once every entry lists every
    agent and the shards are spread evenly over the entries.
    """
    intervals = {**BATCH_TIMING, **(timing or {})}
    platform = cluster.platform(writes_per_second=400, reads_per_second=2000)
    site = BatchSite(cluster, platform, {}, {})
    _start_entry(site, 0, intervals, shards)
    config = make_config(list(DATA_CENTRES))
    status, answer = cluster.call(site.entries()[0], "POST", "/v1/config", config)
    if status != 200:
        raise RuntimeError(f"configuration refused with {status}: {answer}")
    wait_until(lambda: site.owner(shards - 1)[0], LIMIT, "first owner")
    with ThreadPoolExecutor() as pool:
        started = [
            pool.submit(_start_vm, site, name, intervals, cores, worker_options or {})
            for name in DATA_CENTRES
        ]
        started += [
            pool.submit(_start_entry, site, number, intervals, shards)
            for number in range(1, entries)
        ]
    for future in started:
        future.result()
    wait_until(partial(_is_ready, site, entries, shards), LIMIT, "site is ready")
    return site


def _start_entry(
    site: BatchSite, number: int, timing: dict[str, float], shards: int
) -> None:
    name = f"entry-{number}"
    relay = site.store_relays_by_entry[name] = Relay(site.platform.url)
    place = DATA_CENTRES[number % len(DATA_CENTRES)]
    site.cluster.entry(name, place, relay.address, timing=timing, shards=shards)


def _start_vm(
    site: BatchSite,
    data_centre: str,
    timing: dict[str, float],
    cores: float,
    worker_options: dict[str, Any],
) -> None:
    vm, cluster, url = f"vm-{data_centre}", site.cluster, site.platform.url
    options = {"cores": cores, "memory_gb": 64, **worker_options}
    worker = cluster.worker(vm, url, **options)
    # The agent's port is not known yet. Nothing connects before the target is set.
    relay = site.agent_relays_by_vm[vm] = Relay("tcp://127.0.0.1:1")
    agent = cluster.agent(
        vm,
        data_centre,
        url,
        worker_url=worker.url,
        # Lets a restarted agent reach entry-0 even if the entry's row has expired.
        entries=[site.process("entry-0").peer_address],
        timing=timing,
        advertise=relay.address,
        vm={"cores": cores, "memory_gb": 64.0},
    )
    relay.set_target(agent.peer_address)


def _is_ready(site: BatchSite, entries: int, shards: int) -> bool:
    """Return whether the shards are balanced and every entry lists every agent."""
    owners = Counter(site.owner(shard)[0] for shard in range(shards))
    balanced = not owners[""] and max(owners.values()) <= -(-shards // entries)
    return balanced and all(
        site.has_ready_agent(entry, vm)
        for entry in site.store_relays_by_entry
        for vm in site.agent_relays_by_vm
    )


def close_relays(site: BatchSite) -> None:
    """Close the relays of a site."""
    for relays in (site.agent_relays_by_vm, site.store_relays_by_entry):
        for relay in relays.values():
            relay.close()


def find_overlaps(executions: list[Execution]) -> list[tuple[Execution, Execution]]:
    """Return pairs of runs of one task that overlap in time."""
    found = []
    for runs in _group_by_task(executions):
        for first, second in pairwise(runs):
            if not first.end or second.start < first.end - _CLOCK_TOLERANCE_SECONDS:
                found.append((first, second))
    return found


def find_lost_progress(site: BatchSite) -> list[tuple[Execution, Execution]]:
    """Return pairs of an evicted run and a later run that lost progress.

    A later run has to resume at least from the checkpoint of the eviction.
    """
    found = []
    for runs in _group_by_task(site.executions()):
        for index, run in enumerate(runs):
            if run.outcome != "evicted":
                continue
            reached = site.read_checkpoint(run)
            found += [
                (run, later)
                for later in runs[index + 1 :]
                if later.fields["resumed_seconds"] < reached
            ]
    return found


def find_overcommitted(
    site: BatchSite, cores: float, factor: float = 1.0, settled: float = 0.0
) -> list[Execution]:
    """Return runs that were started on a VM with too few free cores.

    Includes starts that a worker rejected because they did not fit.

    Parameters
    ----------
    site : BatchSite
        Site to check.
    cores : float
        Cores of each VM.
    factor : float
        Actual usage of a task as a multiple of its declared size.
    settled : float
        Seconds after which a running task counts with its actual usage; until then it
        counts as declared. 0: always as declared.
    """
    executions = site.executions()
    found = []
    for run in executions:
        used_cores = 0.0
        for other in executions:
            if other is run or other.vm != run.vm or other.start > run.start:
                continue
            if other.end and other.end <= run.start + _CLOCK_TOLERANCE_SECONDS:
                continue
            is_measured = settled and run.start - other.start >= settled
            used_cores += _declared_cores(other) * (factor if is_measured else 1.0)
        if used_cores + _declared_cores(run) > cores:
            found.append(run)
    refused = [e for e in site.refusals() if e.fields["detail"] == "does not fit"]
    return found + refused


def find_missing(names: list[str], executions: list[Execution]) -> dict[str, int]:
    """Return the completion counts of tasks that did not complete exactly once."""
    done = Counter(e.name for e in executions if e.outcome == "done")
    return {name: done[name] for name in names if done[name] != 1}


def _declared_cores(execution: Execution) -> float:
    return float(execution.fields["resources"]["cores"])


def _group_by_task(executions: list[Execution]) -> Iterator[list[Execution]]:
    """Yield the runs of each task in the order of their starts."""
    runs_by_name: dict[str, list[Execution]] = {}
    for execution in sorted(executions, key=lambda e: e.start):
        runs_by_name.setdefault(execution.name, []).append(execution)
    yield from runs_by_name.values()
