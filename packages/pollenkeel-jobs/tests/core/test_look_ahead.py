"""Tests of look-ahead: large tasks get room, and no room stands empty for long."""

import itertools
import random

import attrs
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.specs import Demand, StepSpec

SMALL = StepSpec(1, Demand(1000, 100), 2.0)
LARGE = StepSpec(1, Demand(3000, 100), 4.0)
PASS_SECONDS = 0.1
#: Longest time for which a job may have no run while half of the room is free.
MAX_IDLE_SECONDS = 3.0


class TimedSite(Site):
    """VMs of four cores; runs take ``seconds_by_job``, by default as declared."""

    def __init__(self, clock, vms=4, look_ahead=True):
        settings = SchedulingSettings(look_ahead=look_ahead)
        super().__init__(clock, vms, settings)
        self.seconds_by_job = {}
        self.began_at = {}
        self.ended = set()
        self.added = 0
        self.specs = []

    @property
    def rooms(self):
        return self.scheduler._reservations.yielding()

    def add(self, job_id, step, **policy):
        now = self.clock.now()
        self.seconds_by_job.setdefault(job_id, step.estimate)
        self.specs.append(make_job(job_id, [step], now, **policy))
        self.scheduler.add_job(self.specs[-1])

    def run(self, seconds, act=lambda: None):
        for _ in range(round(seconds / PASS_SECONDS)):
            self.clock.advance(PASS_SECONDS)
            act()
            self.play()
            self.step()
            for vm in self.vms:
                used = sum(task.step.reserved.cpu for task in placed(vm))
                assert used <= vm.capacity.cpu

    def play(self):
        for vm in self.vms:
            vm.running = [self.measure(run) for run in vm.running]
            for run in [run for run in vm.running if run.percent >= 100]:
                self.ended.add(run.task_id)
                vm.end(run.task_id)

    def measure(self, run):
        key = run.task_id, run.run
        began_at = self.began_at.setdefault(key, self.clock.now())
        seconds = self.seconds_by_job[run.task_id.split(".")[0]]
        share = (self.clock.now() - began_at) / max(0.01, seconds)
        if run.task_id.startswith("silent") and share < 1.0:
            # Progress that tells nothing of the pace, but keeps the run from being
            # taken for stalled.
            share = int(self.clock.now()) % 2 / 100
        return attrs.evolve(run, percent=min(100, round(100 * share)))

    def succeed(self):
        """Return the site of a new leader."""
        successor = TimedSite(self.clock, len(self.vms))
        successor.scheduler.load(
            (encode_job(spec), self.rows_by_key.get((PROGRESS, spec.job_id)))
            for spec in self.specs
        )
        for vm, before in zip(successor.vms, self.vms, strict=True):
            vm.running, vm.ended = before.running, before.ended
        successor.seconds_by_job = self.seconds_by_job
        successor.began_at = self.began_at
        successor.added = self.added
        return successor

    def has_begun(self, job_id):
        return (f"{job_id}.0.0.0", 1) in self.began_at

    def stream(self, step=SMALL, per_pass=0.7):
        """Return a function that adds small jobs, so many in each pass on average."""
        due = itertools.count(1)

        def act():
            passes = next(due)
            for _ in range(int(passes * per_pass) - int((passes - 1) * per_pass)):
                self.added += 1
                self.add(f"s{self.added}", step)

        return act


def placed(vm):
    return vm.vm.tasks_by_id.values()


@pytest.fixture
def busy_site(clock):
    """A site that an endless stream of small tasks fills; a large task waits."""
    site = TimedSite(clock)
    site.run(4.0, site.stream())
    site.add("large", LARGE)
    return site


def test_large_task_gets_room_beside_an_endless_stream_of_small_ones(busy_site):
    """Without look-ahead it had not begun after 20 s."""
    busy_site.run(6.0, busy_site.stream())
    assert busy_site.has_begun("large")


def test_small_tasks_that_wait_come_before_a_large_one_but_not_for_ever(clock):
    """Guards against many jobs that miss their objectives for one that does not."""
    site = TimedSite(clock)
    stream = site.stream(per_pass=1.0)
    site.run(4.0, stream)
    site.add("large", LARGE)
    site.run(6.0, lambda: (stream(), site.rooms and pytest.fail("room is kept")))
    site.run(6.0, stream)
    assert site.has_begun("large")


def test_without_the_setting_no_room_is_kept(clock):
    """Guards against decisions that change although the setting is off."""
    site = TimedSite(clock, look_ahead=False)
    site.run(4.0, site.stream())
    site.add("large", LARGE)
    rooms = []
    stream = site.stream()
    site.run(20.0, lambda: (stream(), rooms.extend(site.rooms)))
    assert not rooms and not site.has_begun("large")


def test_room_is_given_up_if_runs_last_ten_times_as_long_as_expected(clock):
    """Guards against room that stands empty for runs that do not end."""
    site = TimedSite(clock)
    for number in range(12):
        site.add(f"silent{number}", attrs.evolve(SMALL, estimate=4.0))
        site.seconds_by_job[f"silent{number}"] = 40.0
    site.run(3.0)
    site.add("large", attrs.evolve(LARGE, demand=Demand(4000, 100)))
    rooms = []
    site.run(20.0, lambda: rooms.extend(site.rooms))
    assert max(room.overruns for room in rooms) == 2
    # Each time it is given up there is a pause.
    assert 0.5 < len(rooms) * PASS_SECONDS < 8.0


def test_task_begins_early_if_runs_end_ten_times_as_early_as_expected(clock):
    """Guards against room that stands empty until the expected time."""
    site = TimedSite(clock, vms=1)
    site.run(3.0)
    for number in range(4):
        site.add(f"s{number}", attrs.evolve(SMALL, estimate=3.0))
        site.seconds_by_job[f"s{number}"] = 0.3
    site.run(0.1)
    site.add("large", LARGE)
    site.run(0.2)
    assert site.rooms
    site.run(0.5)
    assert site.has_begun("large")


@pytest.mark.parametrize("loss", ["drains", "is lost", "restarts"])
def test_room_is_kept_on_another_vm_if_its_own_fails(busy_site, loss):
    """Guards against tasks that wait for room on a VM that takes no starts."""
    stream = busy_site.stream()
    busy_site.run(0.3, stream)
    (room,) = busy_site.rooms
    vm = next(vm for vm in busy_site.vms if vm.vm is room.vm)
    vm.draining = loss == "drains"
    vm.away = loss == "is lost"
    if loss == "restarts":
        vm.crash()
    busy_site.run(1.5, stream)
    assert room.incarnation not in {other.incarnation for other in busy_site.rooms}
    busy_site.run(6.0, stream)
    assert busy_site.has_begun("large")


def test_new_leader_keeps_no_room_in_its_first_seconds(busy_site):
    """Guards against room that is kept before runs and VMs have been reported."""
    busy_site.run(0.3, busy_site.stream())
    assert busy_site.rooms
    successor = busy_site.succeed()
    rooms = []
    stream = successor.stream(attrs.evolve(SMALL, estimate=2.5))
    successor.run(2.5, lambda: (stream(), rooms.extend(successor.rooms)))
    assert not rooms
    successor.run(8.0, stream)
    assert successor.has_begun("large")


def test_few_vms_have_room_kept(clock):
    """Guards against many large tasks that keep all others from the VMs."""
    site = TimedSite(clock, vms=16)
    site.run(4.0, site.stream(per_pass=2.8))
    site.add("large", attrs.evolve(LARGE, count=30))
    counts = []
    stream = site.stream(per_pass=2.8)
    site.run(3.0, lambda: (stream(), counts.append(len(site.rooms))))
    assert max(counts) == 2


def test_long_running_task_does_not_wait_for_kept_room(busy_site):
    """Guards against a long-running task that is down for more than 6 s."""
    stream = busy_site.stream()
    busy_site.run(0.3, stream)
    assert busy_site.rooms
    step = StepSpec(1, Demand(1000, 100), long_running=True)
    busy_site.add("lasting", step)
    busy_site.seconds_by_job["lasting"] = 1e9
    busy_site.run(2.0, stream)
    assert busy_site.has_begun("lasting")


def test_preemption_takes_a_vm_whose_room_is_kept(clock):
    """Guards against kept room that prevents the stops for a long-running task."""
    site = TimedSite(clock, vms=1)
    for number in range(4):
        step = attrs.evolve(SMALL, estimate=4.0)
        site.add(f"silent{number}", step, priority=2)
        site.seconds_by_job[f"silent{number}"] = 40.0
    site.run(3.2)
    site.add("large", LARGE, priority=2)
    site.run(0.1)
    assert site.rooms
    step = StepSpec(1, Demand(4000, 100), long_running=True)
    site.add("lasting", step, priority=0)
    site.seconds_by_job["lasting"] = 1e9
    site.run(1.2)
    assert site.has_begun("lasting")


def test_explanation_shows_the_kept_room(busy_site):
    """Guards against room that is kept without an operator being able to see it."""
    busy_site.run(0.3, busy_site.stream())
    (room,) = busy_site.rooms
    (task,) = busy_site.scheduler.explain("large")["tasks"]
    assert task["kept_room"] == {
        "vm": room.vm.name,
        "until": room.expires_at,
        "expected_at": room.needed_at,
    }


def test_job_without_a_run_uses_kept_room_while_other_vms_are_idle(clock):
    """Guards against a job that has no run for 3 s beside room for it twice over."""
    site = TimedSite(clock, vms=8)
    there = {"label": "rack-z0"}
    for number in range(2):
        site.add(f"silent{number}", attrs.evolve(SMALL, estimate=6.0, **there))
        site.seconds_by_job[f"silent{number}"] = 40.0
    site.run(3.2)
    site.add("large", attrs.evolve(LARGE, estimate=10.0, **there))
    site.run(0.1)
    assert site.rooms
    site.add("small", attrs.evolve(SMALL, estimate=4.0, **there))
    site.run(0.5)
    assert not site.has_begun("small")
    site.run(1.3)
    assert site.has_begun("small")


@pytest.mark.parametrize("seed", range(2))
def test_no_job_is_idle_for_long_while_half_the_room_is_free(clock, seed):
    """Guards against kept room that holds up other jobs although much is free."""
    rng = random.Random(seed)
    site = TimedSite(clock, vms=8)
    idle_since = {}

    def act():
        step = rng.choice((SMALL, SMALL, SMALL, SMALL, SMALL, LARGE))
        if rng.random() < 0.5:
            site.added += 1
            # Declared run times are wrong by up to a factor of ten.
            seconds = step.estimate * 10 ** rng.uniform(-0.5, 0.5)
            site.seconds_by_job[f"j{site.added}"] = seconds
            declared = seconds * 10 ** rng.uniform(-1.0, 1.0)
            site.add(f"j{site.added}", attrs.evolve(step, estimate=declared))
        cpu = {vm.name: sum(t.step.reserved.cpu for t in placed(vm)) for vm in site.vms}
        half_free = sum(cpu.values()) < 4000 * len(site.vms) / 2
        for task in site.scheduler._jobs.ready:
            fits = min(cpu.values()) + 2 * task.step.demand.cpu <= 4000
            if half_free and fits:
                since = idle_since.setdefault(task, site.clock.now())
                assert site.clock.now() - since < MAX_IDLE_SECONDS
            else:
                idle_since.pop(task, None)

    site.run(60.0, act)
    assert len(site.ended) > 200
