"""A run of the soak test, and its command line."""

from __future__ import annotations

import random
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs
import click

from pollenkeel_standins.processes import wait_until
from soak.checks import find_violations
from soak.clients import SoakClients, SoakJob
from soak.faults import FAULTS_BY_NAME, PlannedFault, plan_faults
from soak.site import SoakSite

_ENTRIES = 2
_VMS = 3
#: Interval in seconds at which the records are checked during a run.
_CHECK_SECONDS = 1.0
#: Seconds after the last fault within which all jobs must end.
_SETTLE_SECONDS = 60.0


@attrs.frozen
class SoakResult:
    """Outcome of one run.

    Attributes
    ----------
    faults : list of PlannedFault
        Faults in the order of time.
    jobs, runs : int
        Accepted jobs and runs of tasks.
    violations : list of str
        One line for each violated invariant.
    """

    seed: int
    faults: list[PlannedFault]
    jobs: int
    runs: int
    violations: list[str]


def run_soak(seed: int, seconds: float, directory: Path) -> SoakResult:
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
    """
    rng = random.Random(seed)
    violations: dict[str, None] = {}
    with SoakSite(directory, rng, _ENTRIES, _VMS) as site:
        faults = list(plan_faults(site, rng, seconds))
        with SoakClients(site, seed, _ENTRIES) as clients:
            _inject(site, faults, seconds, clients.jobs_by_id, violations)
            clients.stop()
            site.heal()
            unfinished = _wait_for_ends(clients)
        violations |= dict.fromkeys(f"never ended: {job}" for job in unfinished)
        runs = site.read_runs()
        violations |= dict.fromkeys(find_violations(runs, clients.jobs_by_id))
        violations |= dict.fromkeys(f"process ended: {n}" for n in site.find_dead())
        violations |= dict.fromkeys(site.findings)
        accepted = [job for job in clients.jobs_by_id.values() if job.accepted_at]
    return SoakResult(seed, faults, len(accepted), len(runs), list(violations))


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
            FAULTS_BY_NAME[fault.name].apply,
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


def _wait_for_ends(clients: SoakClients) -> list[str]:
    """Wait until all accepted jobs are shown as ended; return those that are not."""
    rng = random.Random(0)
    open_jobs = {j.job_id: j for j in clients.jobs_by_id.values() if j.accepted_at}

    def all_ended() -> bool:
        for job in list(open_jobs.values()):
            if clients.query_state(job, rng) in ("done", "failed", "cancelled"):
                del open_jobs[job.job_id]
        return not open_jobs

    try:
        wait_until(all_ended, _SETTLE_SECONDS, "all jobs have ended")
    except TimeoutError:
        return list(open_jobs)
    return []


def _run_seed(seed: int, seconds: float, directory: str) -> SoakResult:
    path = Path(directory) / f"seed-{seed}"
    path.mkdir(parents=True, exist_ok=True)
    return run_soak(seed, seconds, path)


@click.command()
@click.option("--seed", "first", default=1, show_default=True, help="first seed")
@click.option("--runs", default=1, show_default=True, help="number of seeds")
@click.option("--seconds", default=15.0, show_default=True, help="time with faults")
@click.option("--jobs", default=2, show_default=True, help="runs at the same time")
@click.option("--logs", default="", help="directory of the logs; default: temporary")
def main(first: int, runs: int, seconds: float, jobs: int, logs: str) -> None:
    """Run the soak with several seeds; print violations and exit with 1 if any."""
    directory = logs or tempfile.mkdtemp(prefix="soak-")
    violating_runs = 0
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(_run_seed, seed, seconds, directory)
            for seed in range(first, first + runs)
        ]
        for future in futures:
            result = future.result()
            violating_runs += bool(result.violations)
            click.echo(
                f"seed {result.seed}: {len(result.faults)} faults, {result.jobs} jobs,"
                f" {result.runs} runs, {len(result.violations)} violations"
            )
            for line in result.violations:
                click.echo(f"  {line}")
    click.echo(f"{runs} runs, {violating_runs} with violations; logs in {directory}")
    sys.exit(1 if violating_runs else 0)
