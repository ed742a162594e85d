"""Cost of placing one step on fleets of several sizes, against a search for each task.

Run with ``PYTHONPATH=standins python benchmarks/job_placement.py``. Both ways make the
same choices. Each row is the median of several fleets with random load; the seed is
fixed.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

from pollenkeel_jobs.core.candidates import Candidates
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import Job, Task
from pollenkeel_jobs.core.placement import LeastLoaded
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_jobs.core.vms import Vm

FLEETS = 3
TASKS = 39
SIZES = (20, 160, 1_000, 5_000, 20_000)
#: Largest fleet for which every VM is scored for every task.
MAX_SEARCHED_VMS = 5_000
CORES = Demand(64_000, 250_000)
SERVING = StepSpec(1, Demand(13_000, 26_000), image="desk", latency_target=25.0)
BEST_EFFORT = StepSpec(TASKS, Demand(7_000, 13_000), 3.4, fills=True, image="plan")


def make_tasks(step: StepSpec, count: int, job_id: str) -> list[Task]:
    """Return ``count`` jobs' tasks of one step each."""
    queue = QueuePolicy("queue", "desk")
    tasks: list[Task] = []
    for number in range(count):
        job = Job(JobSpec(f"{job_id}{number}", queue, "", (step,)))
        job.add_occurrence(0)
        tasks += job.tasks()
    return tasks


def make_fleet(size: int, rng: random.Random) -> list[Vm]:
    """Return VMs of which two in three run a latency-critical task."""
    vms = [Vm(f"vm-{n}", "", service="desk", capacity=CORES) for n in range(size)]
    for task in make_tasks(SERVING, size * 2 // 3, "serving"):
        rng.choice(vms).add(task)
    return vms


def place_by_search(tasks: list[Task], vms: list[Vm], placement: LeastLoaded) -> None:
    """Score every VM for every task."""
    for task in tasks:
        vm = placement.choose(task, vms)
        if vm is not None:
            vm.add(task)


def place_by_rank(tasks: list[Task], vms: list[Vm], placement: LeastLoaded) -> None:
    """Score every VM once, and the chosen one again after each task."""
    candidates = Candidates(tasks[0], vms, placement)
    for task in tasks:
        candidates.reserve(task)


def measure(
    place: Callable[[list[Task], list[Vm], LeastLoaded], None], size: int
) -> float:
    """Return the median processor time of one step, in milliseconds."""
    samples = []
    for seed in range(FLEETS):
        vms = make_fleet(size, random.Random(seed))
        tasks = make_tasks(BEST_EFFORT, 1, "plan")
        placement = LeastLoaded(InterferenceModel())
        began = time.process_time()
        place(tasks, vms, placement)
        samples.append((time.process_time() - began) * 1e3)
    return statistics.median(samples)


def main() -> None:
    """Print a row for each size of fleet."""
    print(f"| VMs | {TASKS} tasks, search, ms | ranked, ms |")
    print("| ---: | ---: | ---: |")
    for size in SIZES:
        searched = "-"
        if size <= MAX_SEARCHED_VMS:
            searched = f"{measure(place_by_search, size):.1f}"
        print(f"| {size} | {searched} | {measure(place_by_rank, size):.1f} |")


if __name__ == "__main__":
    main()
