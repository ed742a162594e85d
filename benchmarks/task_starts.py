"""Task starts per second of one shard owner with a rate-limited store.

Run: ``PYTHONPATH=standins python benchmarks/task_starts.py``.
"""

from __future__ import annotations

import json
import random
import threading
import time

import click
from result import Result

from pollenkeel_entry.batch.manager import ShardManager
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_kernel.store.base import Put
from pollenkeel_standins.memory_backend import MemoryBackend
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.scripted import (
    CLOCK,
    ScriptedAgent,
    ScriptedAgentTable,
    ScriptedConfig,
)


class LimitedBackend(MemoryBackend):
    """Delays writes so that at most ``rate`` rows are written per second."""

    def __init__(self, rate: float) -> None:
        super().__init__()
        self._rate = rate
        self._next_write_at = 0.0
        self._guard = threading.Lock()

    def write(self, puts: list[Put]) -> Result[list[int], Refusal]:
        """Wait until the rate allows the write, then write."""
        with self._guard:
            now = time.monotonic()
            self._next_write_at = max(self._next_write_at, now) + len(puts) / self._rate
            write_at = self._next_write_at
        time.sleep(max(0.0, write_at - now))
        with self._guard:
            return super().write(puts)


def measure(agents: int, tasks: int, rate: float, seed: int) -> tuple[int, float]:
    """Return the number of started tasks and the elapsed seconds."""
    generator = random.Random(seed)
    scripted = [ScriptedAgent(f"m{i}", "d0") for i in range(agents)]
    for agent in scripted:
        agent.finish = True
    settings = EntrySettings("e0", "d0", StoreSettings("memory"), shards=1)
    context = EntryContext(
        settings,
        CLOCK,
        LimitedBackend(rate),
        ScriptedAgentTable(scripted),
        ScriptedConfig(),
        StateDump(),
    )
    manager = ShardManager(context)
    manager.start()
    try:
        not_found = Code.NOT_FOUND
        wait_until(lambda: manager.status("x").unwrap_err().code is not_found, 20.0)
        size = {"memory_gb": 1, "accelerators": 0}
        specs = [
            {
                "task_id": f"t{i}",
                "command": "run 1",
                "resources": {**size, "cores": generator.choice([1, 2, 4])},
                "run_time": 1,
            }
            for i in range(tasks)
        ]
        job = {"job_id": "j", "team": "a", "kind": "cut", "deadline": 0}
        begin = time.monotonic()
        manager.submit(json.dumps({**job, "urgent": False, "tasks": specs}).encode())
        end = begin + 20
        while sum(len(a.ran) for a in scripted) < tasks and time.monotonic() < end:
            time.sleep(0.01)
        return sum(len(a.ran) for a in scripted), time.monotonic() - begin
    finally:
        manager.close()


@click.command()
@click.option("--seed", default=1)
@click.option("--rate", default=300.0, help="Row writes per second.")
def main(seed: int, rate: float) -> None:
    """Print a table of task starts per second."""
    click.echo(f"{'agents':>7} {'tasks':>7} {'started':>8} {'seconds':>8} {'per s':>8}")
    for agents, tasks in ((10, 1000), (50, 5000)):
        started, seconds = measure(agents, tasks, rate, seed)
        line = f"{agents:7} {tasks:7} {started:8} {seconds:8.2f}"
        click.echo(f"{line} {started / seconds:8.0f}")


if __name__ == "__main__":
    main()
