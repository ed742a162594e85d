"""Tests of waiting tasks: none hides another, and many cost little."""

import random

import logbook
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.advice import Advice, TicketCache
from pollenkeel_jobs.core.first_runs import FirstRuns
from pollenkeel_jobs.core.gangs import choose_for_gang
from pollenkeel_jobs.core.idle_jobs import IdleJobs
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.job_table import JobTable, list_step_tasks
from pollenkeel_jobs.core.placement import LABEL, SERVICE, LeastLoaded
from pollenkeel_jobs.core.placement_log import WaitLog
from pollenkeel_jobs.core.ready_queue import ReadyQueue
from pollenkeel_jobs.core.reservations import Reservations
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.trials import (
    get_trial_order,
    is_tried_apart,
    may_exceed_trials,
    may_join_any_group,
)
from pollenkeel_jobs.core.vms import Vm

#: More steps than the queue ever looked at in one pass.
MANY = 15


def step(cpu=1000, **fields):
    return StepSpec(1, Demand(cpu, 100), 1.0, **fields)


class CountingPlacement(LeastLoaded):
    """Counts how often a VM is scored, or checked for a task."""

    scores = 0
    searches = 0

    def find_obstacle(self, task, vm):
        self.searches += 1
        return super().find_obstacle(task, vm)

    def score(self, task, vm):
        self.scores += 1
        return super().score(task, vm)


class Queue:
    """A ready queue over VMs without a scheduler."""

    def __init__(self, clock, vms):
        self.clock = clock
        self.vms = vms
        self.jobs = JobTable(clock)
        self.placement = CountingPlacement(InterferenceModel())
        self.tickets = TicketCache(clock)
        self.queue = ReadyQueue(
            self.jobs,
            self.tickets,
            self.placement,
            Reservations(self.jobs.ready),
            FirstRuns(IdleJobs(), self.placement),
        )

    def run_pass(self):
        """Return the placements of one pass as (task id, VM name)."""
        placements = []
        for placed in self.queue.place(self.vms, self.clock.now()):
            self.jobs.ready.discard(placed.task)
            placements.append((placed.task.task_id, placed.vm.name))
        return placements

    def search_all(self):
        """Return the placements if each waiting task is tried, in order."""
        now = self.placement.now = self.clock.now()
        placements = []
        others = []
        for task in sorted(self.jobs.ready, key=lambda task: order(task, now)):
            if task not in self.jobs.ready:
                continue
            if task.crashed_on and not self.may_try(task, others):
                continue
            chosen = {}
            if task.step.gang:
                members = list_step_tasks(task)
                chosen = choose_for_gang(members, self.vms, self.placement) or {}
            else:
                vm = self.placement.choose(task, self.vms)
                if vm is not None:
                    vm.add(task)
                    chosen = {task: vm}
            for member, vm in chosen.items():
                self.jobs.ready.discard(member)
                placements.append((member.task_id, vm.name))
            if not chosen and not task.crashed_on:
                others.append(task)
        return placements

    def may_try(self, task, others):
        """Return whether a suspect may be tried if ``others`` have found no VM."""
        on_trial = [vm for vm in self.vms if vm.trial]
        others_wait = any(
            self.placement.find_obstacle(other, vm) not in (SERVICE, LABEL)
            for other in others
            for vm in self.vms
        )
        limit = max(1.0, 0.25 * len(self.vms)) if others_wait else len(self.vms)
        may_join = any(vm.trial.admits(task, self.placement.now) for vm in on_trial)
        exceeds = may_exceed_trials(task, self.placement.now)
        return len(on_trial) < limit or may_join or exceeds


def order(task, now):
    job = task.job
    late = now > job.objective_at
    suspect = is_tried_apart(task) and not may_join_any_group(task, now)
    trial = get_trial_order(task) if suspect else ()
    return job.spec.queue.priority, suspect, trial, late, job.objective_at, task.task_id


def make_vms(count, seed=None, cpu=4000):
    rng = random.Random(seed)
    vms = []
    for number in range(count):
        vm = Vm(f"vm-{number}", "", service="desk", incarnation=f"vm-{number}/w~1")
        vm.capacity = Demand(cpu, 8000)
        if seed is not None:
            vm.capacity = Demand(rng.choice((2000, 4000, 9000)), 8000)
            vm.labels = frozenset(rng.sample(("a", "b", "r1", "r2"), 2))
        vms.append(vm)
    return vms


def make_random_step(rng):
    fields = {}
    kind = rng.randrange(6)
    if kind == 0:
        fields = {"gang": True, "same_rack": rng.random() < 0.5}
    elif kind == 1:
        fields = {"fills": True, "image": rng.choice(("i1", "i2"))}
    elif kind == 2:
        fields = {"image": "s1", "latency_target": 20.0}
    elif kind == 3:
        fields = {"spread_limit": 1}
    label = rng.choice(("", "", "a", "b", "missing"))
    size = Demand(
        rng.choice((500, 1000, 1700, 3000, 20_000)), rng.choice((100, 900, 2500))
    )
    return StepSpec(rng.randrange(1, 5), size, 1.0, label=label, **fields)


def make_random_queue(clock, seed):
    rng = random.Random(seed)
    queue = Queue(clock, make_vms(6, seed))
    for number in range(60):
        job = make_job(
            f"j{number}",
            [make_random_step(rng) for _ in range(rng.randrange(1, 3))],
            clock.now() - rng.uniform(0.0, 4.0),
            priority=rng.randrange(3),
        )
        queue.jobs.add(job)
        clock.advance(0.2)
    for task in queue.jobs.ready:
        if rng.random() < 0.1:
            task.crashed_on |= {"vm-1/w~0"}
            if seed % 2:
                task.crashed_on |= {f"vm-3/w~{n}" for n in range(rng.randrange(4))}
                task.ready_at = clock.now() - rng.uniform(0.0, 4.0)
        if rng.random() < 0.1:
            task.failed_on |= {"vm-2/w~1"}
    return queue


@pytest.mark.parametrize("seed", range(30))
def test_pass_makes_the_choices_of_a_search_for_every_task(clock, seed):
    """Guards against a waiting task that hides another one, and a changed order."""
    start = clock.now()
    placements = make_random_queue(clock, seed).run_pass()
    clock.advance(start - clock.now())
    expected = make_random_queue(clock, seed).search_all()
    assert placements == expected
    assert placements


def test_steps_that_wait_for_a_closed_data_centre_hide_no_other(clock):
    """Twelve steps that waited for an evacuated zone hid a job for another."""
    site = Site(clock, vms=2)
    site.open(closed=["z1"])
    site.step()
    for number in range(MANY):
        site.scheduler.add_job(make_job(f"w{number}", [step(label="rack-z1")]))
    site.scheduler.add_job(make_job("other", [step()], priority=2))
    site.step()
    assert site.running == ["other.0.0.0"]


@pytest.mark.parametrize(
    "waiting",
    [
        {"cpu": 5000},
        {"label": "missing"},
        {"gang": True, "cpu": 5000},
        {"spread_limit": 1, "cpu": 5000},
    ],
    ids=["size", "label", "gang", "spread limit"],
)
def test_kinds_of_waiting_steps_hide_no_other(clock, waiting):
    """Guards against steps that can't be placed and hide those of a lower priority."""
    queue = Queue(clock, make_vms(2))
    cpu = waiting.get("cpu", 1000)
    for number in range(MANY):
        queue.jobs.add(make_job(f"w{number}", [step(**{**waiting, "cpu": cpu})]))
        cpu += "cpu" in waiting
    queue.jobs.add(make_job("other", [step()], priority=2))
    assert [task for task, _ in queue.run_pass()] == ["other.0.0.0"]


def test_best_effort_task_that_has_waited_long_is_tried_behind_newer_ones(clock):
    """Guards against a newer task of its kind that hides it."""
    queue = Queue(clock, make_vms(1, cpu=64_000))
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="s1", latency_target=20.0
    )
    queue.jobs.add(make_job("lasting", [serving]))
    queue.run_pass()
    filling = step(20_000, fills=True, image="unknown")
    queue.jobs.add(make_job("old", [filling], stretch=90.0))
    queue.run_pass()
    clock.advance(6.0)
    queue.jobs.add(make_job("new", [filling], stretch=2.0))
    assert [task for task, _ in queue.run_pass()] == ["old.0.0.0"]


def test_kind_that_fits_nowhere_is_searched_for_once(clock):
    """Guards against passes that last longer the more jobs wait."""
    queue = Queue(clock, make_vms(10))
    queue.jobs.add(make_job("full", [StepSpec(10, Demand(3500, 100))]))
    queue.run_pass()
    for number in range(1000):
        kind = {"fills": True, "image": f"i{number % 4}", "cpu": 4000}
        queue.jobs.add(make_job(f"j{number}", [step(**kind)], priority=number % 3))
    queue.run_pass()
    queue.placement.scores = 0
    assert not queue.run_pass()
    assert queue.placement.scores <= 4 * len(queue.vms)


def test_many_sizes_are_not_all_searched_for(clock):
    """Guards against a search for each of 1,000 jobs that all differ in size."""
    queue = Queue(clock, make_vms(10))
    # Half of the VMs have CPU left, the others memory.
    queue.jobs.add(make_job("cpu", [StepSpec(5, Demand(3500, 100), spread_limit=1)]))
    queue.run_pass()
    memory = StepSpec(5, Demand(100, 7800), spread_limit=1)
    queue.jobs.add(make_job("memory", [memory]))
    queue.run_pass()
    rng = random.Random(1)
    for number in range(1000):
        size = Demand(rng.randrange(600, 3000), rng.randrange(300, 7000))
        queue.jobs.add(make_job(f"j{number:03}", [StepSpec(1, size, 1.0)]))
    queue.placement.scores = 0
    assert not queue.run_pass()
    assert queue.placement.scores <= 50 * len(queue.vms)


def test_search_for_trials_does_not_grow_with_the_kinds_that_wait(clock):
    """Guards against slow passes if many suspects wait beside many kinds of demand."""
    queue = Queue(clock, make_vms(4))
    for number in range(30):
        queue.jobs.add(make_job(f"j{number}", (step(1000 + number, label="none"),)))
    queue.jobs.add(make_job("suspects", (StepSpec(40, Demand(10, 10), 1.0),)))
    for task in queue.jobs.find("suspects").tasks():
        task.crashed_on |= {"vm-1/w~0"}
        task.suspects = 40
    assert len(queue.run_pass()) == 40
    assert queue.placement.searches < 4 * (2 * 30 + 2 * 40)


def test_spread_limit_of_one_step_does_not_hold_back_another(clock):
    """Guards against counting the placed tasks of one step against another one."""
    queue = Queue(clock, make_vms(2))
    limited = StepSpec(3, Demand(100, 100), 1.0, spread_limit=1)
    queue.jobs.add(make_job("j1", [limited]))
    queue.jobs.add(make_job("j2", [limited]))
    placed = [task.partition(".")[0] for task, _ in queue.run_pass()]
    assert placed == ["j1", "j1", "j2", "j2"]


def test_waiting_requests_for_advice_are_bounded_and_hide_none(clock):
    """Guards against 100 questions in front of that of the most urgent step."""
    queue = Queue(clock, make_vms(1))
    for number in range(100):
        queue.jobs.add(make_job(f"j{number:02}", [step()], advised=True))
    asked = set()
    for _ in range(100):
        queue.run_pass()
        questions = list(iter(queue.tickets.pop_question, None))
        assert len(questions) <= 12
        for question in questions:
            asked.add(question.step_id)
            queue.tickets.store_advice(question, Advice({}, 9.0), clock.now())
    assert len(asked) == 100


def test_tickets_are_requested_before_there_is_room(clock):
    """Guards against a wait for the advice service that begins only with the room."""
    queue = Queue(clock, make_vms(1))
    for number in range(3):
        queue.jobs.add(make_job(f"j{number}", [step(9000)], advised=True))
    queue.run_pass()
    questions = list(iter(queue.tickets.pop_question, None))
    assert [question.step_id for question in questions] == [
        "j0.0.0",
        "j1.0.0",
        "j2.0.0",
    ]


def test_few_lines_are_logged_and_each_step_has_its_turn(clock):
    """Guards against a log that grows with the number of waiting steps."""
    table = JobTable(clock)
    for number in range(40):
        table.add(make_job(f"j{number}", [step()]))
    log = WaitLog()
    logged = []
    for _ in range(80):
        clock.advance(0.1)
        with logbook.TestHandler() as handler:
            log.record(table.ready, make_vms(1), lambda task, vm: "room", clock.now())
            logged += [record.extra["task"] for record in handler.records]
    assert len(logged) <= 4 * 12
    assert len(set(logged)) == 40
