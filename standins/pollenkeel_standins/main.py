"""Command line of the stand-ins."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from pollenkeel_kernel.core.messages import Resources
from pollenkeel_standins.base import Standin
from pollenkeel_standins.metadata_store import MetadataStore
from pollenkeel_standins.platform import Platform, PlatformOptions
from pollenkeel_standins.runner import Runner, RunnerOptions
from pollenkeel_standins.upstream import Upstream, UpstreamOptions
from pollenkeel_standins.worker import Worker, WorkerOptions


@click.group()
def main() -> None:
    """Run one stand-in of an outside system until SIGTERM or SIGINT."""


def _serving_options(threads: int) -> Callable[[Any], Any]:
    def decorate(command: Any) -> Any:
        command = click.option("--threads", default=threads, show_default=True)(command)
        return click.option("--port", default=0, help="0: chosen by the kernel")(
            command
        )

    return decorate


def _size_options(cores: float, memory_gb: float) -> Callable[[Any], Any]:
    def decorate(command: Any) -> Any:
        command = click.option("--accelerators", default=0)(command)
        command = click.option("--memory-gb", default=memory_gb)(command)
        return click.option("--cores", default=cores)(command)

    return decorate


_record_option = click.option(
    "--record-file", type=click.Path(path_type=Path, dir_okay=False)
)


@main.command(name="metadata-store")
@_serving_options(threads=64)
def metadata_store(port: int, threads: int) -> None:
    """Metadata store of the users' platform."""
    _run(MetadataStore(), "metadata-store", port, threads)


@main.command()
@_serving_options(threads=16)
@click.option("--id", "runner_id", required=True)
@click.option("--agent", required=True, help="URL of the agent to register with")
@click.option("--zone", required=True)
@click.option("--labels", default="a,r1", help="separated by commas")
@click.option("--first-heartbeat", default=0.3, help="seconds after the start")
@click.option("--clock-offset", default=0.0, help="seconds")
@click.option("--clock-rate", default=1.0, help="seconds per second")
def runner(port: int, threads: int, runner_id: str, **options: Any) -> None:
    """Runner of the users' platform."""
    _run(Runner(RunnerOptions(runner_id, **options)), runner_id, port, threads)


@main.command()
@_serving_options(threads=48)
@click.option("--writes-per-second", default=0.0, help="rows; 0: no limit")
@click.option("--reads-per-second", default=0.0, help="0: no limit")
@click.option("--latency", default=0.0, help="seconds for each request")
def platform(port: int, threads: int, **options: Any) -> None:
    """Table service and object store."""
    _run(Platform(PlatformOptions(**options)), "platform", port, threads)


@main.command()
@_serving_options(threads=16)
@_size_options(cores=16.0, memory_gb=64.0)
@_record_option
@click.option("--vm", required=True)
@click.option("--object-store", default="", help="base URL of the platform")
@click.option("--clock-offset", default=0.0, help="seconds")
@click.option("--usage-lag", default=2.0, help="seconds")
@click.option(
    "--usage-factor",
    default=1.0,
    help="actual usage as a multiple of the declared size",
)
def worker(
    port: int,
    threads: int,
    cores: float,
    memory_gb: float,
    accelerators: int,
    usage_factor: float,
    vm: str,
    **options: Any,
) -> None:
    """Worker of one VM."""
    size = Resources(cores, memory_gb, accelerators)
    standin = Worker(WorkerOptions(vm=vm, size=size, **options), usage_factor)
    _run(standin, f"worker-{vm}", port, threads)


@main.command()
@_serving_options(threads=32)
@_size_options(cores=0.0, memory_gb=0.0)
@_record_option
@click.option("--service", required=True)
@click.option("--vm", required=True)
@click.option("--agent", default="", help="base URL of the agent of the VM")
@click.option("--advertise", default="", help="base URL to announce; default: its own")
@click.option("--slots", default=8, show_default=True)
@click.option("--work-ms", default=5.0, show_default=True)
def upstream(
    port: int,
    threads: int,
    cores: float,
    memory_gb: float,
    accelerators: int,
    service: str,
    vm: str,
    **options: Any,
) -> None:
    """Upstream of one service."""
    resources = Resources(cores, memory_gb, accelerators)
    standin = Upstream(
        UpstreamOptions(service=service, vm=vm, resources=resources, **options)
    )
    _run(standin, f"upstream-{service}-{vm}", port, threads)


def _run(standin: Standin, name: str, port: int, threads: int) -> None:
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    url = standin.start(port, threads)
    click.echo(json.dumps({"event": "ready", "id": name, "url": url}))
    sys.stdout.flush()
    stop.wait()
    standin.shut_down()
    # Threads that still serve a slow request must not delay the exit.
    os._exit(0)
