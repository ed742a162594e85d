"""Guards against wrong stops of runs, and against runs that stand still unseen."""

import math

import attrs
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.specs import Demand, StepSpec

#: Seconds between two reports.
REPORT_SECONDS = 0.5
#: Seconds per percent of a worker that stands still.
STANDS_STILL = math.inf
#: Seconds after which a run of a short task that stands still must have been stopped.
SHORT_STALL_SECONDS = 2.5
LONG = 300.0


def make_step(count=1, estimate=1.0, **fields):
    return StepSpec(count, Demand(1000, 1000), estimate, **fields)


class StallPlay:
    """Site whose workers take a given time for each percent.

    Attributes
    ----------
    paces_by_vm : dict of str to float
        Seconds per percent on each VM.
    restore_seconds : float
        Seconds before a run begins to work.
    stops : list of (str, str, int)
        VM, task and run of the stop orders, each once.
    """

    def __init__(self, clock, pace, vms=2):
        self.clock = clock
        self.site = Site(clock, vms, cpu=16000, memory=64000)
        self.paces_by_vm = {vm.name: pace for vm in self.site.vms}
        self.restore_seconds = 0.0
        self.stops = []
        self._started_at_by_run = {}

    def add_job(self, job_id, *steps, **settings):
        self.site.scheduler.add_job(make_job(job_id, steps, **settings))
        self.site.step()

    def play(self, seconds):
        for _ in range(int(seconds / REPORT_SECONDS)):
            self.clock.advance(REPORT_SECONDS)
            for vm in self.site.vms:
                vm.running = [self._advance(vm, run) for run in vm.running]
                for run in list(vm.running):
                    if run.percent >= 100:
                        vm.end(run.task_id)
            self.site.step()
            for vm in self.site.vms:
                stops = [(vm.name, stop.task_id, stop.run) for stop in vm.withdrawn]
                self.stops += [stop for stop in stops if stop not in self.stops]

    def _advance(self, vm, run):
        now = self.clock.now()
        key = (run.task_id, run.run)
        started_at = self._started_at_by_run.setdefault(key, now - REPORT_SECONDS)
        worked = max(0.0, now - started_at - self.restore_seconds)
        percent = int(worked / self.paces_by_vm[vm.name])
        return attrs.evolve(run, percent=max(run.percent, min(100, percent)))

    @property
    def quarantined(self):
        """Names of the VMs that get no tasks as their workers fail."""
        fleet, now = self.site.scheduler._fleet, self.clock.now()
        return {
            vm.name
            for vm in fleet.vms()
            if fleet.find_obstacle(vm, now) == "quarantine"
        }


@pytest.mark.parametrize("slowness", [1.0, 6.5])
@pytest.mark.parametrize(
    "fields", [{}, {"gang": True}, {"long_running": True}, {"data_rack": "rack-z9"}]
)
def test_progress_that_cannot_be_seen_yet_is_no_stall(clock, slowness, fields):
    """Tasks of over 200 s were stopped every 2 s, and all workers were quarantined."""
    play = StallPlay(clock, LONG / 100 * slowness)
    for number in range(3):
        play.add_job(f"j{number}", make_step(2, LONG, **fields))
    play.play(120)
    assert not play.stops
    assert not play.quarantined


def test_slow_run_far_from_its_data_is_not_stalled(clock):
    """Guards against stopping a run that both its worker and its rack make slower."""
    play = StallPlay(clock, LONG / 100 * 6.5 * 3.0)
    play.add_job("j1", make_step(1, LONG, data_rack="rack-z9"))
    play.play(200)
    assert not play.stops


def test_run_that_restores_its_checkpoint_is_not_stalled(clock):
    """Guards against stopping a run before it can show its first progress."""
    play = StallPlay(clock, 0.05)
    play.add_job("j1", make_step(1, 5.0, checkpointing=True))
    holder = next(vm for vm in play.site.vms if vm.running)
    holder.end("j1.0.0.0", "stopped", "saved")
    play.restore_seconds = 2.6
    play.play(10)
    assert not play.stops
    assert not play.site.running


@pytest.mark.parametrize("estimate", [0.0, 0.8, 1.7, 7.0, 20.0])
def test_hung_run_of_a_short_task_is_stopped_soon(clock, estimate):
    """A task on a worker that stands still is late after a few seconds."""
    play = StallPlay(clock, STANDS_STILL)
    play.add_job("j1", make_step(1, estimate))
    play.play(SHORT_STALL_SECONDS)
    assert len(play.stops) == 1


def test_hung_run_of_a_long_task_is_stopped(clock):
    """Guards against a run that holds its worker for many times its run time."""
    play = StallPlay(clock, STANDS_STILL)
    play.add_job("j1", make_step(1, LONG))
    play.play(LONG / 10)
    assert len(play.stops) == 1


def test_hung_run_is_found_by_its_own_pace(clock):
    """A declared run time that is far too long must not hide that a run has hung."""
    play = StallPlay(clock, 0.2)
    play.add_job("j1", make_step(1, LONG))
    play.play(5)
    play.paces_by_vm = dict.fromkeys(play.paces_by_vm, STANDS_STILL)
    play.play(SHORT_STALL_SECONDS)
    assert len(play.stops) == 1


def test_hung_run_is_found_by_the_pace_of_like_tasks(clock):
    """Guards against trust in a declared run time that like tasks have refuted."""
    play = StallPlay(clock, 0.2)
    play.paces_by_vm["vm-1"] = STANDS_STILL
    play.add_job("j1", make_step(2, LONG, spread_limit=1))
    play.play(4)
    assert [stop[0] for stop in play.stops] == ["vm-1"]


def test_like_tasks_show_how_long_a_percent_takes(clock):
    """Guards against stops of slower runs of a step that declares too short a time."""
    play = StallPlay(clock, 0.5)
    play.paces_by_vm["vm-1"] = 3.0
    play.add_job("j1", make_step(2, 1.0, spread_limit=1))
    play.play(30)
    assert not play.stops


def test_wrong_suspicion_costs_one_stop_and_no_worker(clock):
    """Declared run times are rough: every worker was quarantined for long tasks."""
    play = StallPlay(clock, 3.0)
    for number in range(6):
        play.add_job(f"j{number}", make_step(1, 1.0))
    for _ in range(90):
        play.play(1)
        assert not play.quarantined
    stops_by_task = [task for _, task, _ in play.stops]
    assert sorted(stops_by_task) == [f"j{number}.0.0.0" for number in range(6)]


def test_worker_on_which_runs_hang_is_quarantined(clock):
    """A worker that stands still looks idle and would draw one task after the other."""
    play = StallPlay(clock, 0.05, vms=3)
    play.paces_by_vm["vm-0"] = STANDS_STILL
    for number in range(6):
        play.add_job(f"j{number}", make_step(1, 5.0))
    hung = len(play.site.vms[0].running)
    assert hung >= 2
    play.play(SHORT_STALL_SECONDS + 1.5)
    assert play.quarantined == {"vm-0"}
    assert {stop[0] for stop in play.stops} == {"vm-0"}
    assert len(play.stops) == hung


def test_tasks_prefer_workers_without_a_stalled_run(clock):
    """Until a stall is confirmed, its worker is the emptiest one."""
    play = StallPlay(clock, 0.05)
    play.paces_by_vm["vm-0"] = STANDS_STILL
    play.add_job("j1", make_step(1, 5.0))
    assert play.site.vms[0].running
    play.play(SHORT_STALL_SECONDS)
    assert [stop[0] for stop in play.stops] == ["vm-0"]
    play.add_job("j2", make_step(4))
    assert not play.site.vms[0].running
    assert len(play.site.vms[1].running) == 5


def test_delay_of_reports_is_no_stall(clock):
    """A leader that froze must not stop the runs whose reports waited meanwhile."""
    play = StallPlay(clock, 0.05)
    play.add_job("j1", make_step(1, 5.0))
    play.play(1)
    holder = next(vm for vm in play.site.vms if vm.running)
    frozen_at = clock.now() * 1000

    def report_late(report, may_grant_lease):
        late = attrs.evolve(report, clock=frozen_at)
        return process_report(late, may_grant_lease)

    process_report = holder.scheduler.process_report
    holder.scheduler.process_report = report_late
    clock.advance(3.0)
    holder.report()
    assert not play.site.scheduler.plan().order_batches


def test_member_that_waits_for_its_gang_is_not_stalled(clock):
    """Members work only together; the worker itself ends one that waits too long."""
    play = StallPlay(clock, STANDS_STILL)
    silent = play.site.vms[1]
    start = silent.start

    def start_and_go_silent(orders):
        start(orders)
        silent.away = True

    silent.start = start_and_go_silent
    play.add_job("j1", make_step(2, 5.0, gang=True, spread_limit=1))
    play.play(3)
    assert not play.stops
    silent.away = False
    play.paces_by_vm = dict.fromkeys(play.paces_by_vm, 0.05)
    play.play(2)
    assert not play.stops
