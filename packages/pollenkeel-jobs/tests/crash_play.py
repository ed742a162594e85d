"""Seeded simulation of short tasks on workers that are killed or that tasks crash."""

import random
from collections import Counter, deque

from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.messages import RunKey, WorkerCrash
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.start_history import StartHistory

#: Length of a step of the play and time between two lists of a worker, in seconds.
STEP = 0.1
_STEPS_PER_POLL = 4
#: Number of crashes that each report of an agent repeats.
_REPORTED_CRASHES = 4


class RandomKills:
    """Jobs of short tasks on workers of which one is killed now and then.

    Parameters
    ----------
    clock : ManualClock
        Clock of the play.
    seed : int
        Seed of jobs and kills.
    crashing_tasks : Collection of str
        Ids of the tasks that crash each worker immediately after their start.

    Attributes
    ----------
    longest_wait_by_crashes : dict of int to float
        Longest time in seconds for which a suspect has waited for a start, by its
        number of crashes; the key 3 means three or more.
    starts_by_crashing_task : Counter
        Starts of each task that crashes workers.
    suspected : set of str
        Tasks that were ever suspected.
    """

    def __init__(self, clock, seed, vms=4, crashing_tasks=(), cpu=16_000):
        self.clock = clock
        self.rng = random.Random(seed)
        self.site = Site(clock, vms, cpu=cpu, memory=10**6)
        self.crashing_tasks = set(crashing_tasks)
        self.starts_by_crashing_task = Counter()
        self.longest_wait_by_crashes = dict.fromkeys((1, 2, 3), 0.0)
        self.suspected = set()
        self.lengths_by_job = {}
        self._away_until = dict.fromkeys(self.site.vms, 0.0)
        self._histories = {vm: StartHistory() for vm in self.site.vms}
        self._started_at = {}
        self._crashes = {vm: deque(maxlen=_REPORTED_CRASHES) for vm in self.site.vms}
        self._steps = 0

    def add_job(self, name, tasks, seconds, cpu=1000):
        """Submit a job whose tasks each run for ``seconds``."""
        self.lengths_by_job[name] = seconds
        step = StepSpec(tasks, Demand(cpu, 1000), seconds)
        spec = make_job(name, (step,), accepted_at=self.clock.now())
        self.site.scheduler.add_job(spec)

    def kill(self, vm, seconds=0.8):
        """Kill the worker of a VM, which restarts after ``seconds``."""
        history = self._histories[vm]
        runs = history.find_suspects()
        self.suspected.update(task_id for task_id, _ in runs)
        self._crashes[vm].append(
            WorkerCrash(
                vm.incarnation,
                [RunKey(*run) for run in runs],
                history.is_confirmed(runs),
                [RunKey(*run) for run in history.find_outlived(runs)],
            )
        )
        vm.crash()
        vm.crashes = list(self._crashes[vm])
        self._histories[vm] = StartHistory()
        self._away_until[vm] = self.clock.now() + seconds

    def step(self):
        """Play one step: ends, lists, a pass of the leader, starts and crashes."""
        self.clock.advance(STEP)
        self._steps += 1
        now = self.clock.now()
        for vm in self.site.vms:
            vm.away = now < self._away_until[vm]
            self._end_runs(vm, now)
            if not vm.away and self._steps % _STEPS_PER_POLL == 0:
                for run in vm.running:
                    self._histories[vm].record_listed((run.task_id, run.run), now)
        for name, orders in self.site.step().items():
            vm = next(vm for vm in self.site.vms if vm.name == name)
            if not vm.away:
                self._start(vm, orders, now)
        for task in self.site.scheduler._jobs.ready:
            if task.crashed_on:
                wait = now - task.ready_at
                crashes = min(3, len(task.crashed_on))
                known = self.longest_wait_by_crashes[crashes]
                self.longest_wait_by_crashes[crashes] = max(known, wait)

    def _start(self, vm, orders, now):
        for order in orders:
            run = order.task_id, order.run
            self._started_at[run] = now
            self._histories[vm].record(run, now)
            self._histories[vm].confirm(run, now)
        crashing = [o.task_id for o in orders if o.task_id in self.crashing_tasks]
        self.starts_by_crashing_task.update(crashing)
        if crashing:
            self.kill(vm)

    def _end_runs(self, vm, now):
        for run in list(vm.running):
            key = run.task_id, run.run
            seconds = self.lengths_by_job[run.task_id.partition(".")[0]]
            if now - self._started_at[key] >= seconds - STEP / 2:
                vm.end(run.task_id)
                self._histories[vm].forget([key])

    def find_jobs(self, status):
        """Return the names of the jobs with this status."""
        find = self.site.scheduler.find_status
        return {name for name in self.lengths_by_job if find(name) is status}

    @property
    def open_jobs(self):
        """Names of the jobs that have not ended."""
        return set(self.lengths_by_job) - self.find_jobs(JobStatus.DONE)
