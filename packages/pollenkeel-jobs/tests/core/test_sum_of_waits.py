"""Guards against rules that each bound a wait, but together exceed the limits (LOST).

The table in docs/platform.md states the longest wait for each rule.
"""

from itertools import combinations

import attrs
import msgpack
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.specs import Demand, StepSpec

#: Seconds without a run that are allowed beside free room: for a job, and for each
#: long-running task.
MAX_IDLE_SECONDS = 3.0
MAX_LONG_RUNNING_SECONDS = 6.0
PASS_SECONDS = 0.1
WEIGHTS_VERSION = 2
#: Label that only the first VM has.
SOLE = "rack-z0"
SERVING = StepSpec(
    1, Demand(8000, 2000), long_running=True, image="serving", latency_target=100.0
)
FILLING = StepSpec(1, Demand(7000, 9000), 60.0, image="filling", fills=True, label=SOLE)
RULES = ("quarantine", "trials", "stalls", "first runs")


class SoleSite(Site):
    """VMs of which only the first may run the jobs whose waits are measured.

    Attributes
    ----------
    longest_by_task : dict of str to float
        Longest time for which each task has waited for its VM, in seconds.
    """

    def __init__(self, clock):
        super().__init__(clock, vms=3, cpu=64_000, memory=256_000)
        weights = [["serving", [["filling", 12.0]]]]
        self.interference.load(msgpack.packb([WEIGHTS_VERSION, weights]))
        serving = attrs.evolve(SERVING, count=3, spread_limit=1)
        self.scheduler.add_job(make_job("serving", (serving,)))
        self.longest_by_task = {}
        self.play(1.0)

    def play(self, seconds):
        """Do passes; runs are at work, and none of them ends."""
        for _ in range(round(seconds / PASS_SECONDS)):
            self.clock.advance(PASS_SECONDS)
            for vm in self.vms:
                vm.running = [self._measure(run) for run in vm.running]
            self.step()
            for task in self.scheduler._jobs.ready:
                self.longest_by_task[task.task_id] = self.clock.now() - task.ready_at

    def _measure(self, run):
        if run.task_id.startswith("serving"):
            return attrs.evolve(run, percent=100, figure=70)
        return attrs.evolve(run, percent=min(100, run.percent + 1), figure=350)

    def apply(self, rule):
        """Let a rule keep work from the first VM."""
        first, now = self.vms[0], self.clock.now()
        if rule == "quarantine":
            quarantine = self.scheduler._fleet.quarantine
            for job in ("bad0", "bad1"):
                quarantine.record(first.incarnation, job, True, now)
            quarantine._records_by_vm[first.incarnation].probe_after = now + 30.0
        elif rule == "stalls":
            first.vm.avoided_until = now + 3.0
        elif rule == "first runs":
            self.scheduler.add_job(make_job("early", (FILLING,)))
            self.play(8.0)
            assert "early.0.0.0" in self.running

    def suspect_all(self):
        """Suspect each waiting task of three crashes, with all others."""
        ready = list(self.scheduler._jobs.ready)
        for task in ready:
            task.suspects = len(ready)
            task.crashed_on = frozenset(f"vm-9/w~{number}" for number in range(3))


def add_work(site):
    """Add long-running tasks, ordinary and best-effort jobs; return their tasks."""
    small = StepSpec(1, Demand(1000, 1000), 60.0, label=SOLE)
    lasting = attrs.evolve(small, count=10, long_running=True)
    site.scheduler.add_job(make_job("lasting", (lasting,)))
    for number in range(4):
        site.scheduler.add_job(make_job(f"job{number}", (small,)))
        site.scheduler.add_job(make_job(f"fill{number}", (FILLING,)))
    return [task.task_id for task in site.scheduler._jobs.ready]


@pytest.mark.parametrize(
    "rules", [some for n in range(1, 5) for some in combinations(RULES, n)]
)
def test_waits_of_several_rules_stay_within_the_limits(clock, rules):
    """Guards against waits for one rule that begin after those for another end."""
    site = SoleSite(clock)
    for rule in sorted(rules, key=("first runs", *RULES).index):
        site.apply(rule)
    task_ids = add_work(site)
    if "trials" in rules:
        site.suspect_all()
    site.play(7.0)
    assert set(task_ids) <= set(site.running)
    longest_by_task = {
        task_id: site.longest_by_task.get(task_id, 0.0) for task_id in task_ids
    }
    long_running = {task for task in task_ids if task.startswith("lasting")}
    assert (
        max(longest_by_task[task] for task in long_running) < MAX_LONG_RUNNING_SECONDS
    )
    others = set(task_ids) - long_running
    assert max(longest_by_task[task] for task in others) < MAX_IDLE_SECONDS
