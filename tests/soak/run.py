"""A run of the soak test, and its command line."""

from __future__ import annotations

import random
import sys
import tempfile
import threading
import time
from collections.abc import Collection, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs
import click

from soak.checks import find_violations
from soak.clients import SoakClients, SoakJob
from soak.faults import ALL_FAULTS_BY_NAME, PlannedFault, plan_faults
from soak.idle import IdleJobs
from soak.loads import ALL_LOADS_BY_NAME, PlayedLoads, choose_loads
from soak.site import SoakSite

_ENTRIES = 2
_VMS = 3
#: Interval in seconds at which the records are checked during a run.
_CHECK_SECONDS = 1.0
#: Seconds after the last fault within which all jobs must end.
_SETTLE_SECONDS = 60.0
#: Seconds for which jobs without a run are searched for.
_IDLE_WATCH_SECONDS = 14.0
#: Number of violations of one rule that are shown.
_LINES_PER_RULE = 3


@attrs.frozen
class SoakResult:
    """Outcome of one run.

    Attributes
    ----------
    faults : list of PlannedFault
        Faults in the order of time.
    loads : list of str
        Kinds of the loads beside the random jobs.
    jobs, runs : int
        Accepted jobs and runs of tasks.
    violations : list of str
        One line for each violated invariant.
    """

    seed: int
    faults: list[PlannedFault]
    loads: list[str]
    jobs: int
    runs: int
    violations: list[str]


def run_soak(
    seed: int,
    seconds: float,
    directory: Path,
    loads: Iterable[str] | None = None,
    with_faults: bool = True,
    chosen_faults: Collection[str] = (),
) -> SoakResult:
    """Run the soak with one seed and check its invariants.

    Parameters
    ----------
    seed : int
        Seed of jobs, clocks and faults. Runs are not fully reproducible, since the
        processes run in real time.
    seconds : float
        Period in seconds during which faults are injected.
    directory : Path
        Where settings and logs are written.
    loads : iterable of str, optional
        Names of the loads beside the random jobs; chosen by the seed if left out.
    with_faults : bool
        Whether faults are injected.
    chosen_faults : collection of str
        Names of the only faults that are injected; all kinds if empty.
    """
    names = list(choose_loads(seed) if loads is None else loads)
    rng = random.Random(seed)
    violations: dict[str, None] = {}
    with SoakSite(directory, rng, _ENTRIES, _VMS) as site:
        faults = (
            plan_faults(site, rng, seed, seconds, chosen_faults) if with_faults else []
        )
        with SoakClients(site, seed, _ENTRIES) as clients:
            played = PlayedLoads(site, clients, names)
            _inject(site, faults, seconds, clients.jobs_by_id, violations)
            clients.stop()
            played.join()
            site.heal()
            idle_jobs = IdleJobs(time.time(), _VMS)
            violations |= dict.fromkeys(played.finish())
            violations |= dict.fromkeys(
                idle_jobs.watch(site, clients, _IDLE_WATCH_SECONDS)
            )
            unfinished = clients.wait_for_ends(_SETTLE_SECONDS)
        violations |= dict.fromkeys(f"never ended: {job}" for job in unfinished)
        runs = site.read_runs()
        violations |= dict.fromkeys(find_violations(runs, clients.jobs_by_id))
        violations |= dict.fromkeys(f"process ended: {n}" for n in site.find_dead())
        violations |= dict.fromkeys(site.findings)
        accepted = [job for job in clients.jobs_by_id.values() if job.accepted_at]
    return SoakResult(seed, faults, names, len(accepted), len(runs), list(violations))


def _inject(
    site: SoakSite,
    faults: list[PlannedFault],
    seconds: float,
    jobs_by_id: dict[str, SoakJob],
    violations: dict[str, None],
) -> None:
    """Apply each fault at its time in a thread, and check the records meanwhile."""
    began = time.monotonic()
    threads = [
        threading.Timer(
            fault.at,
            ALL_FAULTS_BY_NAME[fault.name].apply,
            (site, fault.target, fault.seconds),
        )
        for fault in faults
    ]
    for thread in threads:
        thread.start()
    idle = threading.Event()
    while time.monotonic() - began < seconds or any(t.is_alive() for t in threads):
        idle.wait(_CHECK_SECONDS)
        runs = site.read_reachable_runs()
        # The records are read one after the other and some runners may not answer, so
        # runs may be missing. Only overlaps and runs after an acknowledged end count
        # here; all invariants are checked again at the end.
        for line in find_violations(runs, dict(jobs_by_id)):
            if line.startswith(("two runs", "run after")):
                violations[line] = None


def _run_seed(
    seed: int,
    seconds: float,
    directory: str,
    loads: list[str] | None,
    faults: bool,
    chosen_faults: tuple[str, ...],
) -> SoakResult:
    path = Path(directory) / f"seed-{seed}"
    path.mkdir(parents=True, exist_ok=True)
    return run_soak(seed, seconds, path, loads, faults, chosen_faults)


def shorten(violations: list[str]) -> Iterator[str]:
    """Yield the first violations of each rule and the number of the others."""
    lines_by_rule: dict[str, list[str]] = {}
    for line in violations:
        lines_by_rule.setdefault(line.partition(":")[0], []).append(line)
    for rule, lines in lines_by_rule.items():
        yield from lines[:_LINES_PER_RULE]
        if len(lines) > _LINES_PER_RULE:
            yield f"{rule}: {len(lines) - _LINES_PER_RULE} more"


@click.command()
@click.option("--seed", "first", default=1, show_default=True, help="first seed")
@click.option("--runs", default=1, show_default=True, help="number of seeds")
@click.option("--seconds", default=15.0, show_default=True, help="time with faults")
@click.option("--jobs", default=2, show_default=True, help="runs at the same time")
@click.option("--logs", default="", help="directory of the logs; default: temporary")
@click.option(
    "--load",
    "loads",
    multiple=True,
    type=click.Choice([*ALL_LOADS_BY_NAME, "none"]),
    help="load beside the random jobs; default: by seed",
)
@click.option(
    "--fault",
    "chosen_faults",
    multiple=True,
    type=click.Choice(list(ALL_FAULTS_BY_NAME)),
    help="play only this kind of fault, each within a second",
)
@click.option("--faults/--no-faults", default=True, show_default=True)
def main(
    first: int,
    runs: int,
    seconds: float,
    jobs: int,
    logs: str,
    loads: tuple[str, ...],
    faults: bool,
    chosen_faults: tuple[str, ...],
) -> None:
    """Run the soak with several seeds; print violations and exit with 1 if any."""
    names = [name for name in loads if name != "none"] if loads else None
    directory = logs or tempfile.mkdtemp(prefix="soak-")
    violating_runs = 0
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(
                _run_seed, seed, seconds, directory, names, faults, chosen_faults
            )
            for seed in range(first, first + runs)
        ]
        for future in futures:
            result = future.result()
            violating_runs += bool(result.violations)
            click.echo(
                f"seed {result.seed}: {len(result.faults)} faults, {result.jobs} jobs,"
                f" {result.runs} runs, {len(result.violations)} violations;"
                f" loads: {', '.join(result.loads) or 'none'}"
            )
            for line in shorten(result.violations):
                click.echo(f"  {line}")
    click.echo(f"{runs} runs, {violating_runs} with violations; logs in {directory}")
    sys.exit(1 if violating_runs else 0)
