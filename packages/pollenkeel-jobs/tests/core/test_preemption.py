"""Tests of preemption: a long-running task gets room, and little work is lost."""

import itertools
import random

import attrs
import pytest
from jobs_doubles import Site, VmDouble, make_job

from pollenkeel_jobs.core.advice import Advice, TicketCache
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import Job
from pollenkeel_jobs.core.placement import LeastLoaded
from pollenkeel_jobs.core.preemption import Preemption
from pollenkeel_jobs.core.reservations import Reservations
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.victims import Stoppable, choose_victims, estimate_loss
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import WaitingTasks

LASTING = StepSpec(1, Demand(2000, 100), long_running=True)
#: Longest time from the turn of a lasting task to its start, in seconds.
MAX_WAIT_SECONDS = 2.0


def filler(cpu=1000, count=1, **fields):
    return StepSpec(count, Demand(cpu, 100), 40.0, **fields)


def add(site, job_id, step, priority, **policy):
    site.scheduler.add_job(make_job(job_id, [step], priority=priority, **policy))


def run(site, seconds, interval=0.1):
    """Step while all runs make progress."""
    for _ in range(round(seconds / interval)):
        site.clock.advance(interval)
        for vm in site.vms:
            vm.running = [
                attrs.evolve(item, percent=(item.percent + 1) % 100)
                for item in vm.running
            ]
        site.step()


def list_stopped(site):
    return sorted(stop.task_id for vm in site.vms for stop in vm.withdrawn)


def fill(site, *steps, priority=2):
    """Run one job of each step, and on until the term allows preemption."""
    for number, step in enumerate(steps):
        add(site, f"f{number}", step, priority)
    run(site, 4.0)


def test_lasting_task_gets_room_among_tasks_of_a_lower_priority(clock):
    """It waited for 25 s, until a task of the jobs that filled the service ended."""
    site = Site(clock)
    fill(site, filler(count=40))
    add(site, "lasting", LASTING, 0)
    run(site, MAX_WAIT_SECONDS)
    assert "lasting.0.0.0" in site.running
    assert len(list_stopped(site)) == 2
    run(site, 20.0)
    assert len(site.running) == 3
    assert len(list_stopped(site)) == 2


def test_lasting_task_of_a_lost_worker_is_back_in_time(clock):
    """Guards against a task that is away for over 9 s after its last run."""
    site = Site(clock, vms=3)
    add(site, "lasting", attrs.evolve(LASTING, count=3, spread_limit=1), 0)
    run(site, 1.0)
    fill(site, filler(count=40))
    site.vms.append(VmDouble(site.scheduler, clock, "vm-3", "z3"))
    run(site, 1.0)
    lost = site.vms.pop(0)
    assert [item for item in lost.running if item.task_id.startswith("lasting")]
    run(site, 9.0)
    assert len([task for task in site.running if task.startswith("lasting")]) == 3


def test_room_is_not_given_to_another_task(clock):
    """Guards against smaller tasks that take the room of stopped ones in between."""
    site = Site(clock, vms=2)
    fill(site, filler(4000), filler(1000, 4))
    slow = site.vms[1] if len(site.vms[0].running) == 1 else site.vms[0]
    assert len(slow.running) == 4
    add(site, "small", filler(1000, 20), 0)
    step = attrs.evolve(LASTING, demand=Demand(4000, 100))
    add(site, "lasting", step, 1)
    run(site, MAX_WAIT_SECONDS)
    assert "lasting.0.0.0" in site.running


@pytest.mark.parametrize(
    "step, priority",
    [
        (filler(count=4), 0),
        (filler(count=4, long_running=True), 2),
        (filler(count=4, gang=True), 2),
    ],
    ids=["same priority", "long-running", "gang"],
)
def test_tasks_that_are_never_stopped(clock, step, priority):
    """Guards against stops that a waiting task does not justify."""
    site = Site(clock)
    fill(site, step, priority=priority)
    add(site, "lasting", LASTING, 0)
    run(site, 4.0)
    assert not list_stopped(site)


@pytest.mark.parametrize(
    "step",
    [
        attrs.evolve(LASTING, demand=Demand(5000, 100)),
        attrs.evolve(LASTING, label="missing"),
        attrs.evolve(LASTING, demand=Demand(2000, 9000)),
    ],
    ids=["cpu", "label", "memory"],
)
def test_nothing_is_stopped_for_a_demand_that_fits_nowhere(clock, step):
    """Guards against stops that make no room."""
    site = Site(clock, vms=2)
    fill(site, filler(count=8))
    add(site, "lasting", step, 0)
    run(site, 4.0)
    assert not list_stopped(site)


def test_nothing_is_stopped_for_ordinary_tasks(clock):
    """Guards against lost work for tasks that only wait for the end of others."""
    site = Site(clock)
    fill(site, filler(count=8))
    add(site, "urgent", filler(), 0)
    run(site, 4.0)
    assert not list_stopped(site)


def test_task_of_a_step_at_its_spread_limit_stops_nothing(clock):
    """Guards against stops on a VM where the task may not run."""
    site = Site(clock)
    add(site, "lasting", attrs.evolve(LASTING, count=2, spread_limit=1), 0)
    run(site, 1.0)
    fill(site, filler(count=8))
    run(site, 4.0)
    assert not list_stopped(site)


def test_advised_task_stops_others_only_where_it_has_a_ticket(clock):
    """Guards against stops on a VM whose worker rejects the start."""
    site = Site(clock, vms=2)
    site.vms[1].incarnation = "vm-1/good~1"
    fill(site, filler(count=8))
    add(site, "lasting", LASTING, 0, advised=True)
    run(site, 1.0)
    assert not list_stopped(site)
    question = site.scheduler.pop_question()
    site.scheduler.store_advice(question, Advice({"good": "t"}, 60.0), clock.now())
    run(site, MAX_WAIT_SECONDS)
    assert not site.vms[0].withdrawn
    assert "lasting.0.0.0" in [item.task_id for item in site.vms[1].running]


def test_tasks_that_save_their_progress_are_stopped_first(clock):
    """Guards against lost work where there is a choice."""
    site = Site(clock, vms=2)
    fill(site, filler(1000, 4), filler(1000, 4, checkpointing=True))
    add(site, "lasting", LASTING, 0)
    run(site, MAX_WAIT_SECONDS)
    assert "lasting.0.0.0" in site.running
    assert {task.partition(".")[0] for task in list_stopped(site)} == {"f1"}


def test_stops_for_a_worker_that_never_starts_the_task_are_bounded(clock):
    """Guards against a task that empties one VM after the other."""
    site = Site(clock, vms=6)
    fill(site, filler(4000, 6))
    add(site, "lasting", LASTING, 0)
    for _ in range(120):
        run(site, 0.1)
        for vm in site.vms:
            for item in list(vm.running):
                if item.task_id.startswith("lasting"):
                    vm.end(item.task_id, "failed")
    assert len(list_stopped(site)) <= 4


def test_runs_that_are_being_stopped_count_as_room(clock, monkeypatch):
    """Guards against stops beside those of a cancelled job."""
    site = Site(clock)
    fill(site, filler(2000, 1), filler(1000, 2))
    monkeypatch.setattr(site.vms[0], "end", lambda *how: None)
    site.scheduler.cancel_job("f0")
    add(site, "lasting", LASTING, 0)
    run(site, 3.0)
    assert {task.partition(".")[0] for task in list_stopped(site)} == {"f0"}
    monkeypatch.undo()
    run(site, 1.0)
    assert "lasting.0.0.0" in site.running


def test_room_is_kept_while_the_worker_takes_its_time(clock, monkeypatch):
    """Guards against further stops, and starts beside runs that are being stopped."""
    site = Site(clock, vms=2)
    fill(site, filler(count=40))
    for vm in site.vms:
        monkeypatch.setattr(vm, "end", lambda *how: None)
    add(site, "lasting", LASTING, 0)
    add(site, "small", filler(count=9), 0)
    run(site, 4.0)
    assert len(set(list_stopped(site))) == 2
    monkeypatch.undo()
    run(site, 1.0)
    assert "lasting.0.0.0" in site.running
    assert not [task for task in site.running if task.startswith("small")]


def test_room_of_the_first_end_is_kept_until_the_last(clock, monkeypatch):
    """Guards against smaller tasks that start beside a run that is being stopped."""
    site = Site(clock)
    fill(site, filler(count=4))
    vm = site.vms[0]
    end = vm.end
    ended = []

    def end_only_one(task_id, *how):
        if not ended:
            ended.append(task_id)
            end(task_id, *how)

    monkeypatch.setattr(vm, "end", end_only_one)
    add(site, "lasting", LASTING, 0)
    add(site, "small", filler(count=9), 0)
    run(site, 2.0)
    assert len(site.running) == 3
    assert not [task for task in site.running if task.startswith("small")]
    monkeypatch.undo()
    run(site, 1.0)
    assert "lasting.0.0.0" in site.running


def test_other_vm_makes_room_if_the_first_one_is_lost(clock, monkeypatch):
    """Guards against a task that waits on for the room of a worker that has left."""
    site = Site(clock, vms=2)
    fill(site, filler(count=8))
    for vm in site.vms:
        monkeypatch.setattr(vm, "end", lambda *how: None)
    add(site, "lasting", LASTING, 0)
    run(site, 1.0)
    monkeypatch.undo()
    site.vms.remove(next(vm for vm in site.vms if vm.withdrawn))
    run(site, 3.0)
    assert "lasting.0.0.0" in site.running


def test_new_leader_waits_for_reports_before_it_stops_tasks(clock):
    """Guards against stops while a VM with room has not reported yet."""
    site = Site(clock, vms=2)
    idle = site.vms.pop()
    add(site, "f0", filler(count=4), 2)
    add(site, "lasting", LASTING, 2)
    run(site, 0.5)
    add(site, "urgent", LASTING, 0)
    run(site, 2.0)
    site.vms.append(idle)
    run(site, 4.0)
    assert not list_stopped(site)
    assert "urgent.0.0.0" in site.running


def test_hopeless_tasks_hide_no_other(clock):
    """Guards against tasks that fit nowhere and keep room from those that do."""
    site = Site(clock)
    fill(site, filler(count=8))
    for number in range(100):
        step = attrs.evolve(LASTING, demand=Demand(5000 + number, 100))
        add(site, f"large{number}", step, 0)
    add(site, "lasting", LASTING, 1)
    run(site, 2.0 * MAX_WAIT_SECONDS)
    assert "lasting.0.0.0" in site.running


class CountingPlacement(LeastLoaded):
    """Counts how often a VM is looked at."""

    looks = 0

    def find_obstacle(self, task, vm):
        self.looks += 1
        return super().find_obstacle(task, vm)


def test_decision_costs_no_more_the_more_tasks_wait(clock):
    """Guards against decisions that hold up reports for seconds."""
    vms = []
    for number in range(10):
        vm = Vm(f"vm-{number}", "", service="desk", incarnation=f"vm-{number}/w~1")
        vm.capacity = Demand(1000, 8000)
        vms.append(vm)
    waiting = WaitingTasks()
    for number in range(1000):
        step = attrs.evolve(LASTING, demand=Demand(2000 + number, 100))
        job = Job(make_job(f"j{number}", [step]))
        job.add_occurrence(0)
        for task in job.tasks():
            waiting.add(task)
    reservations = Reservations(waiting)
    placement = CountingPlacement(InterferenceModel(), reservations)
    preemption = Preemption(waiting, TicketCache(clock), placement, reservations)
    list(preemption.choose(vms, clock.now()))
    clock.advance(4.0)
    assert not list(preemption.choose(vms, clock.now()))
    assert 0 < placement.looks <= 50 * len(vms)


def make_tasks(rng, now):
    tasks = []
    for number in range(rng.randrange(1, 7)):
        step = StepSpec(
            1,
            Demand(rng.randrange(1, 8) * 500, rng.randrange(1, 8) * 100),
            40.0,
            checkpointing=rng.random() < 0.3,
        )
        job = Job(make_job(f"j{number}", [step]))
        job.add_occurrence(0)
        for task in job.tasks():
            task.placed_at = now - rng.uniform(0.0, 40.0)
            tasks.append(task)
    return tasks


def frees(missing, tasks):
    cpu = sum(task.step.demand.cpu for task in tasks)
    memory = sum(task.step.demand.memory for task in tasks)
    return cpu >= missing.cpu and memory >= missing.memory


@pytest.mark.parametrize("seed", range(40))
def test_no_task_of_the_set_can_be_left_out(clock, seed):
    """Guards against more stops than needed, and against dear ones."""
    rng = random.Random(seed)
    tasks = make_tasks(rng, clock.now())
    missing = Demand(rng.randrange(8000), rng.randrange(1200))
    demands = sum((task.step.reserved for task in tasks), Demand())
    stoppable = Stoppable(tuple(tasks), demands, Demand())
    found = choose_victims(missing, stoppable, clock.now())
    sets = [
        chosen
        for count in range(len(tasks) + 1)
        for chosen in itertools.combinations(tasks, count)
        if frees(missing, chosen)
    ]
    assert (found is None) == (not sets)
    if found is None:
        return
    assert frees(missing, found.tasks)
    for task in found.tasks:
        assert not frees(missing, [other for other in found.tasks if other is not task])
    losses = [sum(estimate_loss(t, clock.now()) for t in chosen) for chosen in sets]
    assert found.loss <= 1.6 * min(losses) + 1e-9
