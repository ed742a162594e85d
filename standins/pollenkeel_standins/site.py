"""Small sites of real processes for tests: entries, agents and stand-ins."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

import attrs
import urllib3

from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_standins.cluster import Cluster, ManagedProcess, wait_until
from pollenkeel_standins.relay import Links, Relay

CLOCK = SystemClock()
SERVICE = "desk"
TEAM = "counters"
READY_LIMIT = 30.0

#: Short intervals in seconds, so that leases and permits can lapse within a test.
FAST_TIMING: dict[str, float] = {
    "heartbeat_interval": 0.25,
    # On a busy machine a healthy process can take a second to answer, and replacing its
    # connection would abort the requests on it.
    "peer_silent_after": 2.0,
    "announce_ttl": 4.0,
    "head_interval": 0.2,
    "permit_ttl": 1.5,
    "entry_ttl": 3.0,
    "shard_lease": 2.0,
    "task_lease": 4.0,
    "task_renewal": 0.5,
    "outage_grace": 8.0,
    "stop_deadline": 20.0,
}


@attrs.frozen
class Reply:
    """A response of an entry's HTTP interface, as received by the caller."""

    status: int
    code: int
    outcome: str
    body: bytes
    headers: dict[str, str]


@attrs.frozen
class Site:
    """Processes of one site."""

    cluster: Cluster
    platform: ManagedProcess
    entries: list[ManagedProcess]
    agents_by_vm: dict[str, ManagedProcess]
    workers_by_vm: dict[str, ManagedProcess]
    upstreams_by_vm: dict[str, ManagedProcess]

    def call(
        self,
        entry: ManagedProcess,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float = 20.0,
        **headers: str,
    ) -> Reply:
        """Send a request to the service as a caller.

        Parameters
        ----------
        entry : ManagedProcess
            Entry that the request goes to.
        timeout : float
            Time-out of the caller in seconds.
        **headers
            Extra headers; underscores in the names become hyphens.
        """
        sent = {"Pollenkeel-Team": TEAM, "Content-Type": "text/plain"}
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        with urllib3.PoolManager(retries=False, timeout=timeout) as pool:
            response = pool.request(
                method,
                f"{entry.url}/v1/services/{SERVICE}{path}",
                body=body,
                headers=sent,
            )
            return Reply(
                response.status,
                int(response.headers.get("Pollenkeel-Code", "0")),
                response.headers.get("Pollenkeel-Outcome", ""),
                response.data,
                dict(response.headers),
            )

    def submit(
        self,
        entry: ManagedProcess,
        job_id: str,
        tasks: int,
        command: str,
        cores: float = 1.0,
        **job: Any,
    ) -> None:
        """Submit a job of identical tasks.

        Raises
        ------
        RuntimeError
            If the entry rejected the job.
        """
        task = {
            "command": command,
            "resources": {"cores": cores, "memory_gb": cores, "accelerators": 0},
            "run_time": 1.0,
        }
        value = {
            "job_id": job_id,
            "team": TEAM,
            "kind": "cutting",
            "deadline": 0.0,
            "urgent": False,
            "tasks": [{**task, "task_id": f"t{number}"} for number in range(tasks)],
            **job,
        }
        # A shard has no owner for a short time during a hand-over.
        wait_until(partial(self._is_accepted, entry, value), READY_LIMIT, job_id)

    def _is_accepted(self, entry: ManagedProcess, job: dict[str, Any]) -> bool:
        status, answer = self.cluster.call(entry, "POST", "/v1/jobs", job)
        if status == 200:
            return True
        if answer.get("code") != Code.NOT_OWNER.value:
            raise RuntimeError(f"job refused with {status}: {answer}")
        return False

    def dump(self, process: ManagedProcess) -> dict[str, Any]:
        """Return the state dump of an entry or agent."""
        value: dict[str, Any] = self.cluster.call(process, "GET", "/v1/dump")[1]
        return value


def make_config(data_centres: list[str]) -> dict[str, Any]:
    """Return the request body that applies the first configuration."""
    places = {name: {"region": "jamaica", "site": "portmore"} for name in data_centres}
    return {
        "base": {
            "data_centres": places,
            "services": {SERVICE: {"promised_time": 5.0}},
            "teams": {TEAM: {"share": 1.0}},
        },
        "overlays_by_site": {"portmore": {}},
        "expected_version": 0,
        "change_id": "first",
    }


def start_site(
    cluster: Cluster,
    data_centres: tuple[str, ...] = ("kingston", "portmore"),
    entries: int = 2,
    timing: dict[str, float] | None = None,
    upstream_options: dict[str, Any] | None = None,
    worker_options: dict[str, Any] | None = None,
    entry_settings: dict[str, Any] | None = None,
    agent_settings: dict[str, Any] | None = None,
    store_relays_by_name: dict[str, Relay] | None = None,
    peer_relays_by_name: dict[str, Relay] | None = None,
    links: Links | None = None,
    with_workers: bool = True,
) -> Site:
    """Start entries and one VM in each data centre; wait until requests are served.

    Parameters
    ----------
    cluster : Cluster
        Cluster that owns the processes.
    data_centres : tuple of str
        Names of the data centres. Each has one VM; the entries are assigned to them in
        turn.
    entries : int
        Number of entries.
    timing : dict, optional
        Changes to ``FAST_TIMING``.
    upstream_options, worker_options : dict, optional
        Options of the stand-ins' command lines.
    entry_settings, agent_settings : dict, optional
        Additions to the settings files.
    store_relays_by_name : dict, optional
        Relay between the entry or agent of a name and the store.
    peer_relays_by_name : dict, optional
        Relay through which peers connect to the entry or agent of a name.
    links : Links, optional
        If given, gets a relay in front of every entry, agent and upstream.
    with_workers : bool
        Whether the VMs run batch tasks; a site without workers starts faster.
    """
    store_relays = store_relays_by_name or {}
    peer_relays = peer_relays_by_name or {}
    intervals = {**FAST_TIMING, **(timing or {})}
    platform = cluster.platform(writes_per_second=400, reads_per_second=2000)
    for relay in store_relays.values():
        relay.set_target(platform.url)

    def make_address_settings(name: str) -> dict[str, Any]:
        """Return the settings of the store address and the advertised address."""
        store = store_relays[name].address if name in store_relays else platform.url
        relay = peer_relays.get(name)
        return {"store": store, "advertise": relay.address if relay else ""}

    def connect_peer_relay(process: ManagedProcess) -> str:
        """Return the address for peers, and point the relay there at the process."""
        relay = peer_relays.get(process.name)
        if relay is None:
            return process.peer_address
        relay.set_target(process.peer_address)
        return relay.address

    started = [
        cluster.entry(
            f"entry-{number}",
            data_centres[number % len(data_centres)],
            timing=intervals,
            **{
                **make_address_settings(f"entry-{number}"),
                **_make_advertise_option(links, f"entry-{number}", "tcp"),
            },
            **(entry_settings or {}),
        )
        for number in range(entries)
    ]
    seeds = [connect_peer_relay(entry) for entry in started]
    config = make_config(list(data_centres))
    status, answer = cluster.call(started[0], "POST", "/v1/config", config)
    if status != 200:
        raise RuntimeError(f"configuration refused with {status}: {answer}")
    agents, workers, upstreams = {}, {}, {}
    for name in data_centres:
        vm = f"vm-{name}"
        options = {"cores": 16, "memory_gb": 64, **(worker_options or {})}
        if with_workers:
            workers[vm] = cluster.worker(vm, platform.url, **options)
        agents[vm] = cluster.agent(
            vm,
            name,
            worker_url=workers[vm].url if with_workers else "",
            timing=intervals,
            entries=seeds,
            **{**make_address_settings(vm), **_make_advertise_option(links, vm, "tcp")},
            **(agent_settings or {}),
        )
        connect_peer_relay(agents[vm])
        options = {"slots": 4, "work_ms": 10, **(upstream_options or {})}
        options.update(_make_advertise_option(links, f"upstream-{vm}", "http"))
        upstreams[vm] = cluster.upstream(SERVICE, vm, agents[vm].url, **options)
    site = Site(cluster, platform, started, agents, workers, upstreams)
    if links is not None:
        for process in [*started, *agents.values()]:
            links.relays_by_name[process.name].set_target(process.peer_address)
        for vm, upstream in upstreams.items():
            links.relays_by_name[f"upstream-{vm}"].set_target(upstream.url)
    for entry in started:
        wait_until(partial(_serves, site, entry), READY_LIMIT)
    return site


def _make_advertise_option(
    links: Links | None, name: str, scheme: str
) -> dict[str, str]:
    return {} if links is None else {"advertise": links.open(name, scheme)}


def _serves(site: Site, entry: ManagedProcess) -> bool:
    """Return whether an entry lists every VM and a request is answered."""
    agents = json.dumps(site.dump(entry))
    known = all(f'"{vm}"' in agents for vm in site.agents_by_vm)
    return known and site.call(entry, "GET", "/ready").status == 200
