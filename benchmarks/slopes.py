"""Scaling of processor time, memory and message sizes per role, for docs/CAPACITY.md.

Run: ``PYTHONPATH=standins python benchmarks/slopes.py``. Every slope is that of
a least-squares line through at least three sizes. Processor time and memory are those
that the real processes report on ``/metrics``; message sizes are those of the codec.
"""

from __future__ import annotations

import contextlib
import functools
import gc
import statistics
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import click
import urllib3
from prometheus_client.parser import text_string_to_metric_families

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch.records import TaskSpec
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_kernel.config.document import encode_document
from pollenkeel_kernel.config.model import ConfigDocument
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.codec import encode
from pollenkeel_kernel.core.messages import (
    Announce,
    AnnounceReply,
    EntryAddress,
    Heartbeat,
    HeartbeatReply,
    Message,
    Resources,
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
    TaskState,
    UpstreamStatus,
)
from pollenkeel_kernel.core.settings import TimingSettings
from pollenkeel_kernel.core.transport import PeerClient, ReplyServer
from pollenkeel_standins.cluster import (
    Cluster,
    ManagedProcess,
    find_records,
    wait_until,
)
from pollenkeel_standins.site import TEAM, make_config, start_site

CLOCK = SystemClock()
WARM_UP_SECONDS = 3.0
MEGABYTE = 1024 * 1024
#: Tasks on a VM at the design size: 554,000 tasks on 20,000 VMs.
RUNNING_TASKS = 28
#: Default intervals of the product; the stand-ins' sites use shorter ones.
DEFAULT_TIMING: dict[str, float] = attrs.asdict(TimingSettings())


@attrs.frozen
class Usage:
    """Resource usage of one process: processor use in cores, memory in megabytes."""

    cores: float
    memory_mb: float


@attrs.frozen
class Slope:
    """Measurements at several sizes, to which a line is fitted."""

    name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    unit: str

    def format_row(self) -> str:
        """Return the measurements and the fitted line as a table row."""
        line = statistics.linear_regression(self.sizes, self.values)
        points = ", ".join(
            f"{size}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"| {self.name} | {points} | {line.slope:.4g} | {line.intercept:.4g} "
            f"| {self.unit} |"
        )


def read_process(process: ManagedProcess) -> tuple[float, float]:
    """Return processor seconds and resident megabytes of a process."""
    with urllib3.PoolManager(timeout=10.0) as pool:
        text = pool.request("GET", f"{process.url}/metrics").data.decode()
    values = {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    memory = values["process_resident_memory_bytes"] / MEGABYTE
    return values["process_cpu_seconds_total"], memory


def measure_usage(process: ManagedProcess, seconds: float) -> Usage:
    """Return the usage of a process over an interval after the warm-up."""
    time.sleep(WARM_UP_SECONDS)
    began, first = time.monotonic(), read_process(process)[0]
    time.sleep(seconds)
    last, memory = read_process(process)
    return Usage((last - first) / (time.monotonic() - began), memory)


class FakeAgent:
    """Announces itself to one entry every second and answers its messages."""

    def __init__(self, number: int, entry: ManagedProcess) -> None:
        self._id = f"vm-{number}"
        self._epoch = f"epoch-{number}"
        self._server = ReplyServer("tcp://127.0.0.1:0", self._id, CLOCK, self._answer)
        self._client = PeerClient(entry.peer_address, CLOCK)
        self._stop = threading.Event()
        threading.Thread(target=self._announce, daemon=True).start()

    def close(self) -> None:
        """Stop announcing."""
        self._stop.set()
        self._client.close()
        self._server.close()

    def _announce(self) -> None:
        while not self._stop.is_set():
            now = CLOCK.now()
            message = make_announce(self._id, self._epoch, self._server.address, now)
            self._client.call(message, now + 2)
            self._stop.wait(1.0)

    def _answer(self, message: Message) -> Message:
        now = CLOCK.now()
        if isinstance(message, TaskExchange):
            return TaskExchangeReply(self._id, now, 1000, "", True)
        return HeartbeatReply(self._id, now, self._epoch)


def make_announce(agent_id: str, epoch: str, address: str, now: float) -> Announce:
    """Return an announcement of typical size."""
    upstream = UpstreamStatus("desk", 8, 5)
    return Announce(
        sender=agent_id,
        sent_at=now,
        agent_epoch=epoch,
        vm=agent_id,
        data_centre="kingston",
        rack="rack-1",
        address=address,
        state="serving",
        config_version=1,
        upstreams=[upstream],
        capacity=Resources(64, 250, 2),
        free=Resources(10, 40, 0),
        running_kinds={"cutting": 12, "labels": 12},
        worker_ready=True,
    )


@contextlib.contextmanager
def open_cluster() -> Iterator[Cluster]:
    """Open a cluster in a temporary directory."""
    with (
        tempfile.TemporaryDirectory() as directory,
        Cluster(Path(directory)) as opened,
    ):
        yield opened


def measure_entry(agents: int, seconds: float) -> Usage:
    """Return the usage of one entry to which idle agents announce themselves."""
    with open_cluster() as cluster:
        platform = cluster.platform()
        entry = cluster.entry("entry-0", "kingston", platform.url)
        cluster.call(entry, "POST", "/v1/config", make_config(["kingston"]))
        fakes = [FakeAgent(number, entry) for number in range(agents)]
        try:
            wait_until(
                lambda: (
                    len(cluster.call(entry, "GET", "/v1/dump")[1]["entry"]["agents"])
                    == agents
                ),
                60.0,
            )
            return measure_usage(entry, seconds)
        finally:
            for fake in fakes:
                fake.close()


def measure_agent(entries: int, seconds: float) -> Usage:
    """Return the usage of an idle agent that is attached to several entries."""
    with open_cluster() as cluster:
        platform = cluster.platform()
        for number in range(entries):
            cluster.entry(f"entry-{number}", "kingston", platform.url)
        agent = cluster.agent("vm-0", "kingston", platform.url)
        return measure_usage(agent, seconds)


def measure_agent_tasks(tasks: int, seconds: float) -> Usage:
    """Return the usage of an agent whose worker runs tasks of one shard owner."""
    with open_cluster() as cluster:
        site = start_site(
            cluster,
            ("kingston",),
            entries=1,
            timing={"task_renewal": 3.0, "task_lease": 15.0, "heartbeat_interval": 1.0},
            worker_options={"cores": 64, "memory_gb": 250},
        )
        if tasks:
            site.submit(site.entries[0], "job", tasks, "run 600", cores=0.25)
            worker = site.workers_by_vm["vm-kingston"]
            wait_until(
                lambda: len(cluster.get_record(worker)["executions"]) >= tasks, 60.0
            )
        return measure_usage(site.agents_by_vm["vm-kingston"], seconds)


def measure_agent_shards(shards: int, seconds: float) -> Usage:
    """Return the usage of an agent whose 28 tasks belong to several shards."""
    with open_cluster() as cluster:
        site = start_site(
            cluster,
            ("kingston",),
            entries=1,
            timing={"task_renewal": 3.0, "task_lease": 15.0, "heartbeat_interval": 1.0},
            worker_options={"cores": 64, "memory_gb": 250},
            entry_settings={"shards": shards},
        )
        for number in range(RUNNING_TASKS):
            site.submit(site.entries[0], f"job-{number}", 1, "run 600", cores=0.25)
        worker = site.workers_by_vm["vm-kingston"]
        wait_until(
            lambda: len(cluster.get_record(worker)["executions"]) >= RUNNING_TASKS, 60.0
        )
        return measure_usage(site.agents_by_vm["vm-kingston"], seconds)


def measure_urgent_starts(jobs: int) -> list[float]:
    """Return the sorted seconds from submission to start of urgent jobs."""
    with open_cluster() as cluster:
        site = start_site(cluster, timing=DEFAULT_TIMING)
        delays = []
        for number in range(jobs):
            submitted = CLOCK.now()
            entry = site.entries[number % len(site.entries)]
            site.submit(entry, f"urgent-{number}", 1, "run 0.1", urgent=True)
            find_start = functools.partial(_find_start, cluster, f"urgent-{number}:t0")
            started = wait_until(find_start, 20.0)
            delays.append(started - submitted)
        return sorted(delays)


def _find_start(cluster: Cluster, name: str) -> float:
    starts = (e.start for e in find_records(cluster, "worker-") if e.name == name)
    return next(starts, 0.0)


def measure_requests(rate: int, seconds: float) -> tuple[Usage, Usage]:
    """Return the usage of entry and agent at a rate of service requests per second."""
    with open_cluster() as cluster:
        site = start_site(cluster, ("kingston",), entries=1)
        entry, agent = site.entries[0], site.agents_by_vm["vm-kingston"]
        stop = threading.Event()
        threads = [
            threading.Thread(target=send_requests, args=(entry, rate / 20, stop))
            for _ in range(20)
        ]
        for thread in threads:
            thread.start()
        usages: list[Usage] = []
        time.sleep(WARM_UP_SECONDS)
        before = [read_process(process)[0] for process in (entry, agent)]
        began = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - began
        for process, first in zip((entry, agent), before, strict=True):
            last, memory = read_process(process)
            usages.append(Usage((last - first) / elapsed, memory))
        stop.set()
        for thread in threads:
            thread.join()
        return usages[0], usages[1]


def send_requests(entry: ManagedProcess, rate: float, stop: threading.Event) -> None:
    """Send GET requests at a steady rate until ``stop`` is set."""
    with urllib3.PoolManager(retries=False, timeout=10.0) as pool:
        while not stop.wait(1 / rate):
            headers = {"Pollenkeel-Team": TEAM}
            pool.request("GET", f"{entry.url}/v1/services/desk/x", headers=headers)


def measure_state(tasks: int) -> float:
    """Return the megabytes that a shard owner allocates for running tasks."""
    gc.collect()
    tracemalloc.start()
    state = ShardState()
    for job in range(tasks // 100):
        specs = [
            TaskSpec(f"t{n}", "run 600", Resources(1, 1, 0), 600.0) for n in range(100)
        ]
        apply(
            ev.JobSubmitted(
                f"job-{job}", "team", "cutting", 0.0, False, "d", 0.0, 0, specs
            ),
            state,
        )
        for spec in specs:
            key = f"job-{job}:{spec.task_id}"
            agent = f"vm-{job % 500}"
            apply(
                ev.AttemptStarted(key, 1, agent, agent, "kingston", 1, 1.0, 2.0), state
            )
            apply(ev.AttemptRunning(key, 1), state)
    size = tracemalloc.get_traced_memory()[0] / MEGABYTE
    tracemalloc.stop()
    return size


def format_message_sizes() -> Iterator[str]:
    """Yield the sizes of the regular messages in bytes, as rows of a table."""
    now = CLOCK.now()
    entries = [
        EntryAddress(
            f"entry-{n}", "tcp://10.0.0.1:7000", "http://10.0.0.1:80", "dc", now
        )
        for n in range(4)
    ]
    announce = make_announce("vm-12345", "e" * 32, "tcp://10.0.0.1:7000", now)
    reply = AnnounceReply("entry-0", now, "e" * 32, None, now, entries)
    yield f"| Announce | {len(encode(announce))} |"
    yield f"| AnnounceReply with 4 entries | {len(encode(reply))} |"
    encoded_heartbeat = encode(Heartbeat("entry-0", now))
    # The reply also carries the agent's epoch, about 40 bytes.
    yield f"| Heartbeat and its reply | {len(encoded_heartbeat) * 2 + 40} |"
    for tasks in (0, 7, 28):
        keys = [TaskKey(f"job-12345:task-{n}", 1) for n in range(tasks)]
        exchange = TaskExchange(
            "entry-0", now, "e" * 32, 1, 1, now, [], [], [], [], running=keys
        )
        states = [TaskState(key.task_id, 1, "running") for key in keys]
        answer = TaskExchangeReply("vm-12345", now, 1000, "", True, states)
        size = len(encode(exchange)) + len(encode(answer))
        yield f"| TaskExchange and reply, {tasks} tasks | {size} |"
    started = ev.AttemptStarted(
        "job-12345:task-1", 1, "vm-12345", "vm-12345", "kingston", 1, now, now
    )
    yield f"| configuration of the design size | {measure_config()} |"
    yield f"| log event of a start | {len(ev.pack_event(started))} |"


def measure_config() -> int:
    """Return the bytes of a configuration of 670 teams and 10 data centres."""
    quota = {"cores": 100.0, "memory_gb": 400.0, "accelerators": 2, "tasks": 1000}
    base = {
        "data_centres": {
            f"dc-{n}": {"region": f"region-{n % 3}", "site": f"dc-{n}"}
            for n in range(10)
        },
        "services": {f"service-{n}": {"promised_time": 0.5} for n in range(300)},
        "teams": {f"team-{n}": {"share": 0.001, "quota": quota} for n in range(670)},
    }
    overlays = {f"dc-{n}": {"policy": {"task_order": "slack"}} for n in range(10)}
    return len(encode_document(ConfigDocument(base, overlays)))


def measure_slopes(
    name: str, sizes: tuple[int, ...], measure: Callable[[int], Usage]
) -> Iterator[Slope]:
    """Yield the slopes of processor time and memory over several sizes."""
    usages = [measure(size) for size in sizes]
    cores = tuple(usage.cores * 100 for usage in usages)
    yield Slope(f"{name}, processor", sizes, cores, "% of a core")
    memory = tuple(usage.memory_mb for usage in usages)
    yield Slope(f"{name}, memory", sizes, memory, "MB")


def measure_all(seconds: float) -> Iterator[Slope]:
    """Run all measurements in turn and yield their slopes."""
    # With more fake agents, one process cannot answer all of them in time.
    sizes = (50, 100, 200)
    yield from measure_slopes(
        "entry by agents", sizes, lambda n: measure_entry(n, seconds)
    )
    entries = (1, 2, 4)
    yield from measure_slopes(
        "agent by entries", entries, lambda n: measure_agent(n, seconds)
    )
    tasks = (0, 14, 28, 56)
    yield from measure_slopes(
        "agent by running tasks", tasks, lambda n: measure_agent_tasks(n, seconds)
    )
    shards = (1, 4, 8, 16)
    yield from measure_slopes(
        "agent by shards of its tasks",
        shards,
        lambda n: measure_agent_shards(n, seconds),
    )
    rates = (50, 100, 200)
    usages = [measure_requests(rate, seconds) for rate in rates]
    for index, role in enumerate(("entry", "agent")):
        cores = tuple(usage[index].cores * 100 for usage in usages)
        yield Slope(f"{role} by requests/s, processor", rates, cores, "% of a core")
    counts = (10_000, 20_000, 40_000)
    memory = tuple(measure_state(count) for count in counts)
    yield Slope("owner by running tasks, memory", counts, memory, "MB")


@click.command()
@click.option("--seconds", default=8.0, show_default=True, help="Measured interval.")
def main(seconds: float) -> None:
    """Print the slopes and the message sizes."""
    click.echo("| slope | size: value | per unit | at zero | unit |")
    click.echo("| --- | --- | ---: | ---: | --- |")
    for slope in measure_all(seconds):
        click.echo(slope.format_row())
    delays = measure_urgent_starts(40)
    click.echo(
        f"\nurgent starts: {len(delays)}, median {statistics.median(delays):.2f} s, "
        f"longest {delays[-1]:.2f} s"
    )
    click.echo("\n| message | bytes |\n| --- | ---: |")
    for row in format_message_sizes():
        click.echo(row)


if __name__ == "__main__":
    main()
