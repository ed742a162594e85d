"""Policies for the choice of an upstream with stale hints, at three load levels.

Run: ``python benchmarks/upstream_choice.py``. Two entries with the real router and
admission send to the same ten fake upstreams of 8 slots; announcements come once a
second. A fake upstream waits for the work time and rejects requests when all slots
are in use.
"""

from __future__ import annotations

import click
from fake_upstreams import Entry, FakeUpstream, Load, run_load

from pollenkeel_kernel.config.model import PolicyConfig

SEED = 20261204
UPSTREAMS, SLOTS, WORK_SECONDS = 10, 8, 0.08
#: Promised time of the service in seconds.
PROMISED_SECONDS = 1.0
CONNECTIONS = 200


@click.command()
@click.option("--seed", default=SEED, show_default=True)
@click.option("--seconds", default=6.0, show_default=True, help="Length of a run.")
def main(seed: int, seconds: float) -> None:
    """Print answers, latencies and rejected attempts of each policy."""
    capacity = UPSTREAMS * SLOTS / WORK_SECONDS
    click.echo(
        f"seed {seed}, 2 entries, {UPSTREAMS} upstreams of {SLOTS} slots, work "
        f"{WORK_SECONDS * 1000:.0f} ms, capacity {capacity:.0f}/s, "
        f"{CONNECTIONS} connections, {seconds:g} s a run"
    )
    click.echo(
        "| load | choice | answered/s | p50 ms | p99 ms | p99.9 ms | refused as full "
        "| codes |"
    )
    click.echo("| --- | --- | ---: | ---: | ---: | ---: | ---: | --- |")
    for name, factor in (("half", 0.5), ("full", 1.0), ("twice", 2.0)):
        for choice in ("random", "two-choices"):
            upstreams = [FakeUpstream(f"m{i}", SLOTS) for i in range(UPSTREAMS)]
            policy = PolicyConfig(upstream_choice=choice)
            entries = [Entry(upstreams, policy, {"a": 1.0}, seed + i) for i in (0, 1)]
            loads = [Load("a", capacity * factor, CONNECTIONS)]
            outcome = run_load(
                entries, upstreams, loads, WORK_SECONDS, seconds, PROMISED_SECONDS, seed
            )
            codes = ", ".join(
                f"{c}: {n}" for c, n in sorted(outcome.codes_by_team["a"].items())
            )
            p50, p99, p999 = (
                outcome.percentile(part, ["a"]) for part in (0.5, 0.99, 0.999)
            )
            click.echo(
                f"| {name} | {choice} | {outcome.answered(['a']) / seconds:.0f} "
                f"| {p50:.1f} | {p99:.1f} | {p999:.1f} "
                f"| {outcome.full / max(1, outcome.attempts):.1%} | {codes} |"
            )


if __name__ == "__main__":
    main()
