"""Benefit of best-effort tasks and their interference with latency-critical tasks.

Run with ``python benchmarks/best_effort_tasks.py [SEEDS]``. The scheduler is the real
one. Each of the seeds 0 to SEEDS - 1 gives a simulated fleet of VMs with other images,
interfering pairs and jobs.
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from pollenkeel_standins.shared_load import LoadSettings
from pollenkeel_standins.shared_vms import SharedFleet

#: Number of simulations that run at the same time.
PROCESSES = 2
SETTINGS_BY_LOAD = {
    "desk, 64 cores": LoadSettings(),
    "desk, busy": LoadSettings(jobs_per_second=1.5),
    "shop, 32 cores": LoadSettings(
        vm_cores=(32_000,) * 8 + (48_000,) * 3,
        serving_cores=6_500,
        cores_per_task=3_500,
        jobs_per_second=0.6,
        task_seconds=4.4,
    ),
    "few heavy images": LoadSettings(heavy_share=0.2),
    "one resource": LoadSettings(resources=1),
    "desk, short runs": LoadSettings(short_ends_per_second=8.0),
}


def simulate(task: tuple[str, int]) -> tuple[float, float, float, float]:
    """Simulate one load with one seed.

    Returns the earned share of the jobs' worth, the share of the latency-critical
    tasks' time over their target, the longest such interval in seconds and the mean
    cores in use.
    """
    load, seed = task
    fleet = SharedFleet(SETTINGS_BY_LOAD[load], seed)
    results = fleet.simulate()
    worth = sum(result.worth for result in results)
    earned = sum(result.worth * result.earned for result in results)
    time = fleet.serving_time
    return (
        earned / worth,
        time.disturbed / max(1.0, time.total),
        time.longest,
        fleet.used_core_seconds / fleet.settings.seconds,
    )


def main(seeds: int) -> None:
    """Print a row for each load."""
    print("| load | earned, mean | lowest tenth | disturbed | longest s | cores |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    with ProcessPoolExecutor(PROCESSES) as pool:
        for load in SETTINGS_BY_LOAD:
            rows = list(pool.map(simulate, [(load, seed) for seed in range(seeds)]))
            earned = sorted(row[0] for row in rows)
            print(
                f"| {load} | {statistics.mean(earned):.3f}"
                f" | {earned[len(earned) // 10]:.3f}"
                f" | {statistics.mean(row[1] for row in rows):.4f}"
                f" | {max(row[2] for row in rows):.1f}"
                f" | {statistics.mean(row[3] for row in rows):.0f} |"
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 8)
