"""Demonstration of a small cluster of real processes.

Starts a stand-in for the platform and two data centres, each with an entry, an agent, a
worker and an upstream; applies a configuration, sends requests, runs a batch job,
applies an overlay change, checks the stand-ins' records and stops everything. Exits
with 1 if a check fails.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import attrs
import click
import urllib3

from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_standins.cluster import (
    Cluster,
    ManagedProcess,
    find_records,
    wait_until,
)
from pollenkeel_standins.recording import Execution

CALLERS = 8
REQUESTS_PER_CALLER = 40
TASKS = 12
TASK_SECONDS = 2
WAIT_SECONDS = 30.0
CLOCK = SystemClock()

BASE: dict[str, Any] = {
    "data_centres": {
        "kingston": {"region": "jamaica", "site": "kingston"},
        "portmore": {"region": "jamaica", "site": "portmore"},
    },
    "services": {"desk": {"promised_time": 5.0}},
    "teams": {"quotes": {"share": 0.6}, "cutting": {"share": 0.4}},
}
OVERLAYS: dict[str, Any] = {"portmore": {"services": {"desk": {"promised_time": 4.0}}}}


@attrs.frozen
class Reply:
    """A request and its reply as received by the caller."""

    key: str
    sent: str
    status: int
    outcome: str
    body: str


@attrs.define
class Checks:
    """Results of the checks; prints each one."""

    failed: int = 0

    def expect(self, text: str, holds: bool) -> None:
        """Print one check and count it if it failed."""
        click.echo(f"  {'ok  ' if holds else 'FAIL'} {text}")
        self.failed += not holds


@attrs.frozen
class Site:
    """Processes of the demonstration."""

    cluster: Cluster
    entries: list[ManagedProcess]
    agents: list[ManagedProcess]


def main() -> int:
    """Run the demonstration and return the exit status."""
    checks = Checks()
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="pollenkeel-demo-") as directory:
        with Cluster(Path(directory)) as cluster:
            try:
                run_demo(start_site(cluster), checks)
            except Exception:
                print_log_tails(cluster)
                raise
    click.echo(f"{checks.failed} checks failed; {time.monotonic() - began:.1f} s")
    return 1 if checks.failed else 0


def run_demo(site: Site, checks: Checks) -> None:
    """Run all steps on a started site."""
    click.echo("Apply the configuration")
    first = apply_config(site, 0, OVERLAYS)
    wait_for_version(site, first)
    wait_for_upstreams(site)
    click.echo(f"Send {CALLERS * REQUESTS_PER_CALLER} requests, {CALLERS} at a time")
    replies = send_requests(site)
    check_replies(site, replies, checks)
    click.echo(f"Submit a batch job of {TASKS} tasks")
    status = run_job(site)
    click.echo(f"  {json.dumps(status)[:300]}")
    check_tasks(site, checks)
    click.echo("Change the overlay of portmore")
    overlay = {"portmore": {"services": {"desk": {"promised_time": 3.0}}}}
    second = apply_config(site, first, overlay)
    versions_by_name = wait_for_version(site, second)
    click.echo(f"  version in each dump: {versions_by_name}")
    checks.expect("the version has grown", second > first)
    print_records(site)
    click.echo("Stop everything")
    statuses_by_name = site.cluster.stop_all()
    checks.expect(
        f"every process exits with 0: {statuses_by_name}",
        not any(statuses_by_name.values()),
    )


def start_site(cluster: Cluster) -> Site:
    """Start the stand-ins, entries and agents."""
    platform = cluster.platform(writes_per_second=400, reads_per_second=2000)
    entries = [
        cluster.entry(f"entry-{name}", name, platform.url)
        for name in BASE["data_centres"]
    ]
    agents = []
    for number, name in enumerate(BASE["data_centres"], start=1):
        vm = f"vm-{number}"
        worker = cluster.worker(vm, platform.url, cores=16, memory_gb=64)
        agent = cluster.agent(
            f"agent-{vm}",
            name,
            platform.url,
            worker_url=worker.url,
            entries=[entry.peer_address for entry in entries],
        )
        cluster.upstream("desk", vm, agent.url, slots=4, work_ms=10)
        agents.append(agent)
    click.echo(f"Started {len(cluster.processes_by_name)} processes")
    return Site(cluster, entries, agents)


def apply_config(site: Site, expected: int, overlays: dict[str, Any]) -> int:
    """Apply a configuration and return its version."""
    change = {
        "base": BASE,
        "overlays_by_site": overlays,
        "expected_version": expected,
        "change_id": f"demo-{expected}",
    }
    status, value = site.cluster.call(site.entries[0], "POST", "/v1/config", change)
    if status != 200:
        raise RuntimeError(f"configuration refused with {status}: {value}")
    version = int(value["version"])
    click.echo(f"  accepted as version {version}")
    return version


def wait_for_version(site: Site, version: int) -> dict[str, int]:
    """Wait until every entry and agent shows a version in its dump."""
    processes = [*site.entries, *site.agents]
    began = time.monotonic()

    def read_versions() -> dict[str, int]:
        dumps = {p.name: site.cluster.call(p, "GET", "/v1/dump")[1] for p in processes}
        found = {n: max(find_versions(d), default=0) for n, d in dumps.items()}
        return found if set(found.values()) == {version} else {}

    found = wait_until(read_versions, WAIT_SECONDS, f"version {version} everywhere")
    click.echo(f"  in force everywhere after {time.monotonic() - began:.2f} s")
    return found


def find_versions(value: Any, in_config: bool = False) -> Iterator[int]:
    """Yield the configuration versions found in a state dump."""
    if isinstance(value, list):
        for item in value:
            yield from find_versions(item, in_config)
    if not isinstance(value, dict):
        return
    for key, item in value.items():
        if key == "config_version" or (in_config and key == "version"):
            if isinstance(item, int):
                yield item
        else:
            yield from find_versions(item, in_config or "config" in key)


def wait_for_upstreams(site: Site) -> None:
    """Wait until each entry answers a request."""

    def answers(entry: ManagedProcess) -> bool:
        return send(urllib3.PoolManager(), entry, "GET", "warm-up", "").status == 200

    for entry in site.entries:
        wait_until(partial(answers, entry), WAIT_SECONDS, "an upstream serves")


def send_requests(site: Site) -> list[Reply]:
    """Send requests from concurrent callers and return all replies."""
    replies: list[Reply] = []

    def run_caller(caller: int) -> None:
        pool = urllib3.PoolManager(retries=False)
        entry = site.entries[caller % len(site.entries)]
        for number in range(REQUESTS_PER_CALLER):
            name = f"{caller}-{number}"
            if number % 2:
                replies.append(send(pool, entry, "GET", name, ""))
                continue
            replies.append(send(pool, entry, "POST", name, f"key-{name}"))
            if number % 10 == 0:
                # Repeat the request at the other entry, as after a lost answer.
                other = site.entries[(caller + 1) % len(site.entries)]
                replies.append(send(pool, other, "POST", name, f"key-{name}"))

    threads = [threading.Thread(target=run_caller, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies


def send(
    pool: urllib3.PoolManager, entry: ManagedProcess, method: str, name: str, key: str
) -> Reply:
    """Send one request to the service."""
    headers = {"Pollenkeel-Team": "quotes"}
    if key:
        headers["Idempotency-Key"] = key
    body = f"order {name}" if method == "POST" else ""
    url = f"{entry.url}/v1/services/desk/orders/{name}"
    response = pool.request(
        method, url, body=body.encode() or None, headers=headers, timeout=10.0
    )
    outcome = response.headers.get("Pollenkeel-Outcome", "")
    sent = body or f"GET /orders/{name}"
    return Reply(key, sent, response.status, outcome, response.data.decode())


def check_replies(site: Site, replies: list[Reply], checks: Checks) -> None:
    """Compare the replies with the upstreams' records."""
    outcomes = Counter((reply.status, reply.outcome) for reply in replies)
    click.echo(f"  replies by status and outcome: {dict(outcomes)}")
    answered = [reply for reply in replies if reply.outcome == "answered"]
    checks.expect("every request was answered", len(answered) == len(replies))
    checks.expect(
        "every caller got the answer to its own request",
        all(reply.body == reply.sent for reply in answered),
    )
    executions = find_records(site.cluster, "upstream-")
    runs_by_key = Counter(e.fields["key"] for e in executions if e.fields["key"])
    keys = {reply.key for reply in replies if reply.key}
    checks.expect(
        f"each of {len(keys)} keyed requests ran exactly once",
        set(runs_by_key) == keys and set(runs_by_key.values()) == {1},
    )
    checks.expect(
        "no upstream got more than its slots",
        not any(execution.fields["overload"] for execution in executions),
    )


def run_job(site: Site) -> Any:
    """Submit a job with the command line, wait for its end and return its status."""
    job = {
        "job_id": "cutting-plan-1",
        "team": "cutting",
        "kind": "cutting",
        "deadline": CLOCK.now() + 60,
        "urgent": False,
        "tasks": [
            {
                "task_id": f"cutting-plan-1-{number}",
                "command": f"run {TASK_SECONDS}",
                "resources": {"cores": 4.0, "memory_gb": 8.0, "accelerators": 0},
                "run_time": float(TASK_SECONDS),
            }
            for number in range(TASKS)
        ],
    }
    path = site.cluster.directory / "job.json"
    path.write_text(json.dumps(job))
    submit(site.entries[0], path)
    wait_until(
        lambda: len(find_done(site)) >= TASKS, WAIT_SECONDS + TASK_SECONDS, "job done"
    )
    # The other entry answers too; it forwards to the owner of the job's shard.
    answer = site.cluster.call(site.entries[1], "GET", "/v1/jobs/cutting-plan-1")[1]
    return {name: answer[name] for name in ("job_id", "state", "tasks_by_state")}


def submit(entry: ManagedProcess, path: Path) -> None:
    """Submit a job file with ``pollenkeel submit`` and wait for the job's end."""
    program = str(Path(sys.executable).parent / "pollenkeel")
    command = [program, "submit", "--entry", entry.url, "--wait", str(path)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=60)
    for line in run.stdout.splitlines():
        click.echo(f"  {line}")
    if run.returncode:
        raise RuntimeError(f"submit exited with {run.returncode}: {run.stderr}")


def find_done(site: Site) -> list[Execution]:
    """Return the task attempts that ended as done."""
    executions = find_records(site.cluster, "worker-")
    return [execution for execution in executions if execution.outcome == "done"]


def check_tasks(site: Site, checks: Checks) -> None:
    """Check that every task ran once and never in two places."""
    runs = [e for e in find_records(site.cluster, "worker-") if e.outcome != "refused"]
    done_by_task = Counter(e.name for e in runs if e.outcome == "done")
    checks.expect(
        f"{TASKS} tasks ended, each once",
        len(done_by_task) == TASKS and set(done_by_task.values()) == {1},
    )
    overlaps = [
        (first.name, first.vm, second.vm)
        for first in runs
        for second in runs
        if first is not second
        and first.name == second.name
        and first.start <= second.start < (first.end or CLOCK.now())
    ]
    checks.expect(f"no task ran in two places at once {overlaps}", not overlaps)


def print_records(site: Site) -> None:
    """Print a summary of the stand-ins' records."""
    click.echo("Records of the stand-ins")
    for name, process in site.cluster.processes_by_name.items():
        if name.startswith(("worker-", "upstream-")):
            outcomes = Counter(e.outcome for e in site.cluster.executions(name))
            click.echo(f"  {name}: {dict(outcomes)}")
        elif name.startswith("platform"):
            counts = site.cluster.get_record(process)["counts"]
            click.echo(f"  {name}: {counts}")


def print_log_tails(cluster: Cluster) -> None:
    """Print the end of each process's log after an error."""
    for name, process in cluster.processes_by_name.items():
        click.echo(f"--- {name} (alive: {process.alive})\n{process.log_tail()}")


if __name__ == "__main__":
    sys.exit(main())
