"""Guards against copies that a step forbids, and against lost or double ends.

The load: twelve like tasks on four VMs, one of which is far slower than its peers.
"""

import attrs
import pytest
from jobs_doubles import Site, make_job, succeed

from pollenkeel_jobs.core.fleet import WORKER_LEASE
from pollenkeel_jobs.core.messages import EndedTask, OrderOutcome, RunKey, WorkerCrash
from pollenkeel_jobs.core.model import Job, TaskKey, TaskState
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.records import (
    RecordError,
    apply_progress,
    encode_pages,
    encode_progress,
)
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.specs import Demand, StepSpec

SLOW = "j1.0.0.0"
KEY = TaskKey(0, 0, 0)
ON = SchedulingSettings(parallel_copies=True)
OFF = SchedulingSettings()
STEP = StepSpec(12, Demand(500, 500), 1.0, speculative=True)
REPORT_SECONDS = 0.25
#: Progress of the usual and of the slow run between two reports.
USUAL_PERCENT, SLOW_PERCENT = 20, 2
#: Page of ``make_placed_job``, written by the release before copies.
BEFORE_COPIES = "9391a8766d2d312f777e3190919500000c92010b91960001010000a0"


class CopyPlay:
    """Site with a job of which one run is slow; ``step`` lets the runs advance."""

    def __init__(self, clock, step=STEP, settings=ON, vms=4, cpu=8000, **policy):
        self.job = make_job(steps=(step,), **{"attempts": 3, **policy})
        self.site = Site(clock, vms, settings, cpu=cpu, memory=16000)
        self.site.scheduler.add_job(self.job)
        self.site.step()

    def step(self, count=1, record=True):
        """Advance all runs; none of them ends."""
        for _ in range(count):
            self.site.clock.advance(REPORT_SECONDS)
            for vm in self.site.vms:
                vm.running = [self._advance(run) for run in vm.running]
            self.site.step(record)

    def _advance(self, run):
        gain = SLOW_PERCENT if run.task_id == SLOW else USUAL_PERCENT
        return attrs.evolve(run, percent=min(90, run.percent + gain))

    def find_vm(self, run):
        """Return the VM that runs this run of the slow task."""
        return next(
            vm
            for vm in self.site.vms
            for item in vm.running
            if (item.task_id, item.run) == (SLOW, run)
        )

    @property
    def runs(self):
        """Numbers of the slow task's runs in progress."""
        return sorted(
            run.run for vm in self.site.vms for run in vm.running if run.task_id == SLOW
        )

    @property
    def status(self):
        return self.site.scheduler.find_status("j1").value

    @property
    def task(self):
        """The slow task; None once it is done."""
        return self.site.scheduler._jobs.find("j1").task(KEY)

    @property
    def placed(self):
        """VMs on which the leader keeps room for the slow task."""
        fleet = self.site.scheduler._fleet
        return [vm.name for vm in fleet.vms() if SLOW in vm.tasks_by_id]

    def change_leader(self, settings=None):
        self.site = succeed(self.site, [self.job], settings)
        for vm in self.site.vms:
            vm.capacity = Demand(8000, 16000)

    def lose(self, vm):
        """Let the lease of a VM's worker lapse."""
        vm.away = True
        self.step(int((WORKER_LEASE + 1.5) / REPORT_SECONDS))

    def list_ends(self, vm):
        """Return run and kind of the slow task's ends on a VM."""
        return [(end.run, end.how) for end in vm.ended if end.task_id == SLOW]

    def end_others(self):
        for vm in self.site.vms:
            for run in [run for run in vm.running if run.task_id != SLOW]:
                vm.end(run.task_id)
        self.site.step()


@pytest.fixture
def copied(clock):
    """Play in which the slow run has a copy that its worker has listed."""
    play = CopyPlay(clock)
    play.step(5)
    assert play.runs == [1, 2]
    return play


def test_slow_run_gets_one_copy_on_another_vm(copied):
    copied.step(8)
    assert copied.runs == [1, 2]
    assert copied.find_vm(1) is not copied.find_vm(2)
    assert len(copied.site.running) == 13


@pytest.mark.parametrize("settings", [None, OFF])
def test_no_copy_without_the_setting(clock, settings):
    play = CopyPlay(clock, settings=settings)
    play.step(12)
    assert play.runs == [1]


@pytest.mark.parametrize(
    "fields",
    [
        {"speculative": False},
        {"gang": True},
        {"long_running": True},
        {"fills": True, "image": "i"},
        {"spread_limit": 3},
    ],
)
def test_no_copy_of_a_step_that_does_not_allow_it(clock, fields):
    """Guards against a task that runs twice although its step forbids it."""
    play = CopyPlay(clock, attrs.evolve(STEP, **fields))
    play.step(12)
    assert play.runs == [1]


def test_run_on_a_silent_worker_gets_a_copy_before_its_lease_expires(clock):
    play = CopyPlay(clock)
    play.step(2)
    silent = play.find_vm(1)
    silent.away = True
    play.step(8)
    assert play.runs == [1, 2]
    assert play.find_vm(2) is not silent


def test_run_that_stands_still_gets_a_copy(clock, monkeypatch):
    play = CopyPlay(clock)
    monkeypatch.setattr(f"{__name__}.SLOW_PERCENT", USUAL_PERCENT)
    play.step(2)
    monkeypatch.setattr(f"{__name__}.SLOW_PERCENT", 0)
    play.step(8)
    assert play.runs == [1, 2]


def test_no_copies_if_all_runs_take_longer_than_declared(clock):
    """Guards against copies because of wrong declared run times."""
    play = CopyPlay(clock, attrs.evolve(STEP, estimate=0.1))
    for _ in range(20):
        clock.advance(REPORT_SECONDS)
        for vm in play.site.vms:
            vm.running = [attrs.evolve(r, percent=r.percent + 2) for r in vm.running]
        play.site.step()
    assert len(play.site.running) == 12


def test_no_copy_that_could_use_up_the_attempts_alone(clock):
    play = CopyPlay(clock, attempts=1)
    play.step(12)
    assert play.runs == [1]


def test_no_copy_if_an_earlier_run_was_given_up(clock):
    """Guards against a copy after the acknowledged, ignored end of an earlier run."""
    play = CopyPlay(clock, settings=OFF)
    silent = play.find_vm(1)
    play.lose(silent)
    silent.end(SLOW)
    silent.away = False
    play.change_leader(ON)
    play.step(8)
    assert play.runs == [2]


def test_no_copy_for_more_than_a_tenth_of_the_running_tasks(clock):
    play = CopyPlay(clock, attrs.evolve(STEP, count=9))
    play.step(12)
    assert play.runs == [1]


def test_no_copy_in_room_that_a_waiting_task_can_use(clock):
    """Guards against copies that postpone a task for which room is being freed."""
    play = CopyPlay(clock)
    large = StepSpec(1, Demand(7800, 500), 1.0)
    play.site.scheduler.add_job(make_job("j2", steps=(large,)))
    play.step(12)
    assert play.runs == [1]


def test_no_copy_on_a_busy_or_full_vm(clock):
    """Guards against a VM that is allocated beyond its capacity."""
    play = CopyPlay(clock, cpu=1500)
    play.step(12)
    assert play.runs == [1]


def test_no_copy_on_draining_vms_or_in_closed_data_centres(clock):
    play = CopyPlay(clock)
    holder = play.find_vm(1)
    others = [vm for vm in play.site.vms if vm is not holder]
    others[0].draining = True
    play.site.open(closed=[vm.zone for vm in others[1:]])
    play.step(12)
    assert play.runs == [1]


def test_copy_is_recorded_before_its_order_is_sent(clock):
    """Guards against a copy that a new leader does not know of."""
    play = CopyPlay(clock)
    while play.task.copy is None:
        play.step(record=False)
    assert play.runs == [1]
    play.change_leader()
    play.step(4)
    assert play.task.copied_run <= 2
    assert len(play.runs) <= 2


def test_new_leader_between_record_and_start_drops_the_copy(clock):
    play = CopyPlay(clock)
    play.step()
    while play.task.copy is None:
        clock.advance(REPORT_SECONDS)
        for vm in play.site.vms:
            vm.running = [play._advance(run) for run in vm.running]
            vm.report()
        planned = play.site.scheduler.plan()
        for write in planned.writes:
            play.site.rows_by_key[write.table, write.key] = write.value
    play.change_leader(OFF)
    assert play.task.copy.run == 2
    play.step(3)
    assert play.task.copy is None
    assert play.runs == [1]
    assert play.placed == [play.find_vm(1).name]
    play.find_vm(1).end(SLOW, "failed")
    play.step()
    assert play.runs == [3]


@pytest.mark.parametrize("settings", [ON, OFF])
@pytest.mark.parametrize("first", [1, 2])
def test_first_end_counts_and_the_other_run_is_stopped(copied, first, settings):
    """Also for a new leader that has read the copy from the record."""
    copied.change_leader(settings)
    copied.step()
    other = copied.find_vm(3 - first)
    copied.find_vm(first).end(SLOW)
    copied.step()
    assert copied.task is None
    assert copied.list_ends(other) == [(3 - first, "stopped")]
    copied.step()
    assert copied.placed == []
    copied.end_others()
    assert copied.status == "done"


def test_room_of_the_other_run_is_kept_until_it_has_ended(copied):
    """Guards against work beside a run that its worker has not stopped yet."""
    other = copied.find_vm(1)
    copied.find_vm(2).end(SLOW)
    for vm in copied.site.vms:
        vm.report()
    assert copied.task is None
    assert copied.placed == [other.name]
    assert other.vm.tasks_by_id[SLOW].state is TaskState.DONE


def test_both_end_at_the_same_moment(copied):
    """Guards against an end that counts twice, or room that is never freed."""
    for run in (1, 2):
        copied.find_vm(run).end(SLOW)
    copied.step(2)
    assert copied.placed == []
    copied.change_leader()
    copied.step(2)
    assert copied.runs == []
    copied.end_others()
    assert copied.status == "done"


def test_repeated_end_of_a_failed_copy_counts_once(copied):
    """Guards against a job that fails before its attempts are used up."""
    copied.find_vm(2).end(SLOW, "failed")
    copied.step()
    for _ in range(2):
        copied.change_leader()
        copied.step()
    assert copied.task.failures == 1
    assert copied.runs == [1]


def test_failures_of_both_runs_count_against_the_attempts(copied):
    copied.find_vm(1).end(SLOW, "failed")
    copied.step()
    assert (copied.task.run, copied.task.failures) == (2, 1)
    copied.find_vm(2).end(SLOW, "failed")
    copied.step()
    assert copied.runs == [3]
    copied.find_vm(3).end(SLOW, "failed")
    copied.step()
    assert copied.status == "failed"
    assert copied.runs == []


def test_no_start_after_the_attempts_are_used_up(clock):
    """Guards against a copy that is started although its job has failed."""
    play = CopyPlay(clock, attempts=2)
    play.step(5)
    play.find_vm(1).end(SLOW, "failed")
    play.step()
    play.find_vm(2).end(SLOW, "failed")
    play.step(3)
    assert play.status == "failed"
    assert play.site.running == []


@pytest.mark.parametrize("lost", [1, 2])
def test_the_other_run_goes_on_if_one_vm_is_lost(copied, lost):
    kept = copied.find_vm(3 - lost)
    copied.lose(copied.find_vm(lost))
    assert copied.task.run == 3 - lost
    assert copied.task.copy is None
    assert copied.placed == [kept.name]
    copied.change_leader()
    copied.step()
    assert copied.placed == [kept.name]
    kept.end(SLOW, "failed")
    copied.step()
    assert copied.task.run == 3


@pytest.mark.parametrize("lost", [1, 2])
def test_late_end_of_the_lost_run_finishes_the_task_once(copied, lost):
    """Guards against a new run after the acknowledged end of a run that was lost."""
    silent, kept = copied.find_vm(lost), copied.find_vm(3 - lost)
    copied.lose(silent)
    silent.end(SLOW)
    silent.away = False
    copied.step()
    assert copied.task is None
    assert copied.list_ends(kept) == [(3 - lost, "stopped")]
    copied.step()
    assert (copied.runs, copied.placed) == ([], [])


@pytest.mark.parametrize("lost", [1, 2])
def test_late_failure_of_the_lost_run_counts_once(copied, lost):
    silent = copied.find_vm(lost)
    copied.lose(silent)
    silent.end(SLOW, "failed")
    silent.away = False
    copied.step()
    assert copied.task.failures == 1
    assert copied.runs == [3 - lost]


@pytest.mark.parametrize("lost", [1, 2])
def test_run_on_a_vm_that_comes_back_is_stopped(copied, lost):
    """Guards against a third run, or a run that nobody stops."""
    silent = copied.find_vm(lost)
    copied.lose(silent)
    silent.away = False
    copied.step(2)
    assert copied.runs == [3 - lost]


def test_both_vms_lost_makes_the_task_wait_for_one_new_run(copied):
    for run in (1, 2):
        copied.find_vm(run).away = True
    copied.lose(copied.find_vm(1))
    assert copied.task.run == 3
    assert len(copied.placed) == 1


@pytest.mark.parametrize("ended", [1, 2])
def test_late_end_counts_if_both_vms_were_lost(copied, ended):
    """Guards against a new run after the acknowledged end of a run that was lost."""
    silent = copied.find_vm(ended)
    for vm in copied.site.vms:
        vm.draining = True
    other = copied.find_vm(3 - ended)
    copied.lose(silent)
    copied.lose(other)
    assert copied.task.state is TaskState.WAITING
    silent.end(SLOW)
    silent.away = False
    copied.step()
    assert copied.task is None


@pytest.mark.parametrize("lost", [1, 2])
def test_worker_restarts_under_its_id(copied, lost):
    vm = copied.find_vm(lost)
    vm.crash()
    copied.step()
    assert copied.task.run == 3 - lost
    assert copied.task.copy is None
    assert copied.runs == [3 - lost]


def test_crash_under_a_copy_that_has_run_soundly_is_not_held_against_the_task(copied):
    vm = copied.find_vm(2)
    copied.step(8)
    vm.crashes.append(WorkerCrash(vm.incarnation, [RunKey(SLOW, 2)]))
    vm.crash()
    copied.step()
    assert not copied.task.crashed_on


def test_refused_copy_is_dropped_and_not_tried_again(clock):
    play = CopyPlay(clock)
    while play.task.copy is None:
        play.step()
    copy = play.task.copy
    target = play.find_vm(2)
    target.running = [run for run in target.running if run.task_id != SLOW]
    refused = [OrderOutcome(SLOW, copy.run, "refused", "room")]
    play.site.scheduler.process_outcomes(target.vm, refused)
    play.step(4)
    assert play.runs == [1]
    assert play.placed == [play.find_vm(1).name]


def test_order_executed_seconds_late_is_stopped(clock):
    """Guards against a copy that runs on after its task is done."""
    play = CopyPlay(clock)
    starts = []
    for vm in play.site.vms:
        vm.start = starts.extend
    while not starts:
        play.step()
    (order,) = starts
    copy = play.task.copy
    target = next(vm for vm in play.site.vms if vm.vm.incarnation == copy.runner)
    play.find_vm(1).end(SLOW)
    for vm in play.site.vms:
        vm.report()
    assert play.placed == [target.name]
    clock.advance(2.0)
    del target.start
    target.start([order])
    play.step(3)
    assert (play.runs, play.placed) == ([], [])


def test_cancellation_stops_both_runs(copied):
    copied.site.scheduler.cancel_job("j1")
    copied.step(2)
    assert copied.site.running == []
    assert copied.placed == []
    assert copied.status == "cancelled"


def test_late_start_is_not_sent_for_a_copy_whose_task_is_done(clock):
    play = CopyPlay(clock)
    play.step()
    while play.task.copy is None:
        clock.advance(REPORT_SECONDS)
        for vm in play.site.vms:
            vm.running = [play._advance(run) for run in vm.running]
            vm.report()
        planned = play.site.scheduler.plan()
    (batch,) = planned.order_batches
    play.find_vm(1).end(SLOW)
    for vm in play.site.vms:
        vm.report()
    assert play.site.scheduler.make_starts(batch.vm, batch.starts).orders == []
    assert SLOW not in batch.vm.tasks_by_id


def test_stopped_original_makes_the_copy_the_run(copied):
    copied.find_vm(1).end(SLOW, "stopped")
    copied.step()
    assert (copied.task.run, copied.task.copy) == (2, None)
    copied.find_vm(2).end(SLOW)
    copied.step()
    assert copied.task is None


def test_end_of_an_unknown_copy_has_no_effect(copied):
    """Guards against an end that is reported for a run that was never recorded."""
    vm = copied.find_vm(2)
    vm.ended.append(EndedTask(len(vm.ended) + 1, SLOW, 9, "done"))
    copied.step()
    assert copied.runs == [1, 2]


def test_copy_is_shown_to_operators(copied):
    explained = copied.site.scheduler.explain("j1")
    row = next(row for row in explained["tasks"] if row["key"] == SLOW)
    assert row["copy"]["vm"] == copied.find_vm(2).name
    assert row["copy"]["run"] == row["attempts"] == 2
    assert "has a copy, run 2" in row["detail"]
    others = [row for row in explained["tasks"] if row["key"] != SLOW]
    assert not any(row["copy"] for row in others)


# Records.


def make_placed_job():
    job = Job(make_job(steps=(STEP,)))
    job.add_occurrence(0)
    task = job.task(KEY)
    task.state, task.run, task.runner = TaskState.PLACED, 1, "vm-1/w~1"
    return job, task


def test_row_without_a_copy_is_encoded_as_before():
    """Guards against rows that an earlier release cannot read."""
    job, task = make_placed_job()
    assert encode_pages(job, 1)[0].hex() == BEFORE_COPIES
    task.run = 3
    before = encode_pages(job, 1)
    task.copied_run = 2
    assert encode_pages(job, 1) == before


def test_record_of_a_copy_is_read_by_a_new_leader(copied):
    value = copied.site.rows_by_key[PROGRESS, "j1"]
    job = Job(copied.job)
    apply_progress(job, value)
    task = job.task(KEY)
    assert (task.run, task.copy.run, task.copied_run) == (1, 2, 2)
    assert task.copy.runner == copied.find_vm(2).incarnation
    assert task.copy.original is task
    assert encode_progress(job) == value


@pytest.mark.parametrize("copy", [[1, 0], [2, 9], [2, 0, 0], [2, -1], ["x"]])
def test_malformed_copy_is_rejected(copy, monkeypatch):
    """Guards against a record of two runs that the scheduler cannot tell apart."""
    job, _ = make_placed_job()
    monkeypatch.setattr(
        "pollenkeel_jobs.core.records._encode_copy", lambda task, runners: copy
    )
    value = encode_progress(job)
    with pytest.raises(RecordError):
        apply_progress(Job(job.spec), value)
