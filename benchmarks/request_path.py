"""Request path through entry and agent compared with direct calls to the upstream.

Run: ``PYTHONPATH=standins python benchmarks/request_path.py``. One entry, one agent,
one upstream of 8 slots and 60 connections that send at random times of a fixed seed.
The first part compares latencies at half of the slots' capacity. The second part
offers half, full and twice the capacity and compares the callers' answers with the
upstream's record.
"""

from __future__ import annotations

import collections
import random
import tempfile
import threading
import time
from pathlib import Path

import attrs
import click
import urllib3

from pollenkeel_standins.cluster import Cluster, ManagedProcess, wait_until

SEED = 20261204
SLOTS = 8
CONNECTIONS = 60
WORK_MS = 20
CAPACITY = SLOTS * 1000 / WORK_MS
CONFIG = {
    "base": {
        "data_centres": {"kingston": {"region": "jamaica", "site": "portmore"}},
        "services": {"quotes": {"promised_time": 2.0}},
        "teams": {"counters": {"share": 1.0}},
    },
    "overlays_by_site": {"portmore": {}},
    "expected_version": 0,
    "change_id": "benchmark",
}


@attrs.define
class LoadResult:
    """Answers to the requests of all connections.

    ``latencies`` are in seconds, ascending; ``answers`` counts the result codes.
    """

    latencies: list[float]
    answers: collections.Counter[str]
    answered_keys: set[str]

    def percentile(self, fraction: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        index = min(len(self.latencies) - 1, int(fraction * len(self.latencies)))
        return self.latencies[index] * 1000


def run_load(url: str, rate: float, seconds: float, seed: int, tag: str) -> LoadResult:
    """Send keyed POST requests at a mean rate per second and collect the answers."""
    result = LoadResult([], collections.Counter(), set())
    lock = threading.Lock()
    # Connections are opened before the clock starts.
    barrier = threading.Barrier(CONNECTIONS)

    def send(connection: int) -> None:
        generator = random.Random(seed * 1000 + connection)
        pool = urllib3.PoolManager(maxsize=1, retries=False, timeout=10.0)
        barrier.wait()
        end = time.monotonic() + seconds
        sequence = 0
        while True:
            time.sleep(generator.expovariate(rate / CONNECTIONS))
            if time.monotonic() > end:
                return
            key = f"{tag}-{connection}-{sequence}"
            sequence += 1
            headers = {
                "Pollenkeel-Team": "counters",
                "Pollenkeel-Idempotent": "true",
                "Work-Ms": str(WORK_MS),
                "Idempotency-Key": key,
                "Content-Type": "text/plain",
            }
            started = time.perf_counter()
            response = pool.request("POST", url, body=key * 8, headers=headers)
            elapsed = time.perf_counter() - started
            code = response.headers.get("Pollenkeel-Code", str(response.status))
            with lock:
                result.answers[code] += 1
                if response.status == 200:
                    result.latencies.append(elapsed)
                    result.answered_keys.add(key)

    threads = [threading.Thread(target=send, args=(i,)) for i in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    result.latencies.sort()
    return result


def start_system(cluster: Cluster) -> tuple[ManagedProcess, ManagedProcess]:
    """Start platform, entry, agent and upstream; return entry and upstream."""
    platform = cluster.platform()
    entry = cluster.entry("entry-1", "kingston", platform.url)
    status, answer = cluster.call(entry, "POST", "/v1/config", CONFIG)
    if status != 200:
        raise SystemExit(f"configuration refused: {answer}")
    agent = cluster.agent("vm-1", "kingston", platform.url)
    upstream = cluster.upstream("quotes", "vm-1", agent.url, slots=SLOTS)
    pool = urllib3.PoolManager(retries=False)

    def serves() -> bool:
        url = f"{entry.url}/v1/services/quotes/ready"
        headers = {"Pollenkeel-Team": "counters"}
        return bool(pool.request("GET", url, headers=headers).status == 200)

    wait_until(serves, 20.0)
    return entry, upstream


@click.command()
@click.option("--seed", default=SEED, show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each run.")
def main(seed: int, seconds: float) -> None:
    """Print the added latency and the outcome under overload."""
    with (
        tempfile.TemporaryDirectory() as directory,
        Cluster(Path(directory)) as cluster,
    ):
        entry, upstream = start_system(cluster)
        direct_url = f"{upstream.url}/check"
        url = f"{entry.url}/v1/services/quotes/check"
        click.echo(f"seed {seed}, {CONNECTIONS} connections, {SLOTS} slots")
        click.echo(f"work {WORK_MS} ms, capacity {CAPACITY:.0f}/s, {seconds:g} s a run")
        click.echo("| path | offered/s | median ms | p99 ms | p99.9 ms |")
        click.echo("| --- | ---: | ---: | ---: | ---: |")
        rate = CAPACITY / 2
        by_path = {}
        for name, target in (("direct", direct_url), ("pollenkeel", url)):
            run_load(target, rate, 1.0, seed + 1, f"warm-{name}")
            by_path[name] = result = run_load(target, rate, seconds, seed, name)
            click.echo(
                f"| {name} | {rate:.0f} | {result.percentile(0.5):.2f} "
                f"| {result.percentile(0.99):.2f} | {result.percentile(0.999):.2f} |"
            )
        direct, through = by_path["direct"], by_path["pollenkeel"]
        click.echo(
            f"added: median {through.percentile(0.5) - direct.percentile(0.5):.2f} ms, "
            f"p99 {through.percentile(0.99) - direct.percentile(0.99):.2f} ms; ratio "
            f"{through.percentile(0.5) / direct.percentile(0.5):.2f} and "
            f"{through.percentile(0.99) / direct.percentile(0.99):.2f}"
        )
        click.echo()
        click.echo(
            "| load | offered/s | answered/s | p99 ms | codes | doubled | lost |"
        )
        click.echo("| --- | ---: | ---: | ---: | --- | ---: | ---: |")
        for name, factor in (("half", 0.5), ("full", 1.0), ("twice", 2.0)):
            result = run_load(url, CAPACITY * factor, seconds, seed, name)
            runs = collections.Counter(
                item["fields"].get("key", "")
                for item in cluster.get_record(upstream)["executions"]
                if item["fields"].get("key", "").startswith(f"{name}-")
            )
            doubled = sum(1 for count in runs.values() if count > 1)
            lost = len(result.answered_keys - set(runs))
            codes = ", ".join(f"{c}: {n}" for c, n in sorted(result.answers.items()))
            click.echo(
                f"| {name} | {CAPACITY * factor:.0f} "
                f"| {len(result.latencies) / seconds:.0f} "
                f"| {result.percentile(0.99):.1f} | {codes} | {doubled} | {lost} |"
            )
        cluster.stop_all()


if __name__ == "__main__":
    main()
