"""Guards against runs that a new leader counts again, forgets, or starts again.

Each play ends the runs of a task in a given order. After each end the leader is lost at
one of the moments between the worker's list and the acknowledgement.
"""

import attrs
import pytest
from jobs_doubles import Site, make_job, succeed

from pollenkeel_jobs.core.messages import RunKey
from pollenkeel_jobs.core.specs import Demand, StepSpec

TASK = "j1.0.0.0"
#: Number of crashes immediately after its start after which a task is given up.
MAX_CRASHES_AT_ONCE = 4


def lose_before_the_list(site, jobs):
    return succeed(site, jobs)


def lose_before_the_record(site, jobs):
    site.step(record=False)
    return succeed(site, jobs)


def lose_before_the_acknowledgement(site, jobs):
    site.step()
    return succeed(site, jobs)


def lose_two_in_turn(site, jobs):
    for _ in range(2):
        site.step()
        site = succeed(site, jobs)
    return site


def lose_the_second_before_the_record(site, jobs):
    site.step()
    site = succeed(site, jobs)
    site.step(record=False)
    return succeed(site, jobs)


def let_both_hear(site, jobs):
    """The earlier leader hears the end as well; its write is fenced off."""
    successor = succeed(site, jobs)
    successor.step()
    site.step(record=False)
    return successor


MOMENTS = [
    lose_before_the_list,
    lose_before_the_record,
    lose_before_the_acknowledgement,
    lose_two_in_turn,
    lose_the_second_before_the_record,
    let_both_hear,
]


class Play:
    """Job of one step whose runs end as requested, with a leader lost after each end.

    Parameters
    ----------
    moment : callable
        Loses the leader; returns the site of the next one.
    drains : bool
        Whether the task must wait for its next run while leaders change.

    Attributes
    ----------
    ends : list of (str, int, str)
        Task, run and outcome of each run that has ended.
    """

    def __init__(self, clock, moment, step, drains=False, **policy):
        self.jobs = [make_job(steps=(step,), **policy)]
        self.site = Site(clock)
        self.site.scheduler.add_job(self.jobs[0])
        self.site.step()
        self.ends = []
        self._moment = moment
        self._drains = drains
        self._clock = clock

    def end(self, task, how):
        """End the run of a task, lose the leader, and let the next one do passes."""
        (vm,) = self.site.vms
        (run,) = (run.run for run in vm.running if run.task_id == task)
        vm.end(task, how)
        self.ends.append((task, run, how))
        vm.draining = self._drains
        self.site = self._moment(self.site, self.jobs)
        self.step()
        self.site.vms[0].draining = False
        self.step()

    def crash(self):
        """Crash the worker with the only run, lose the leader, and do passes."""
        (vm,) = self.site.vms
        (run,) = vm.running
        vm.crash(RunKey(TASK, run.run))
        self.site = self._moment(self.site, self.jobs)
        self.step()

    def step(self):
        """Let the leader do three passes; all runs make progress."""
        for _ in range(3):
            self._clock.advance(0.2)
            (vm,) = self.site.vms
            vm.running = [
                attrs.evolve(run, percent=min(99, run.percent + 1))
                for run in vm.running
            ]
            self.site.step()

    @property
    def status(self):
        return self.site.scheduler.find_status("j1").value


@pytest.fixture(params=MOMENTS, ids=lambda moment: moment.__name__)
def moment(request):
    return request.param


def make_step(count=1, **fields):
    return StepSpec(count, Demand(1000, 1000), 1.0, **fields)


@pytest.mark.parametrize("drains", [False, True])
@pytest.mark.parametrize(
    "ends",
    [
        ["done"],
        ["failed", "done"],
        ["failed", "failed", "done"],
        ["stopped", "failed", "lapsed", "failed", "done"],
        ["lapsed", "lapsed", "lapsed", "done"],
    ],
    ids="-".join,
)
def test_job_is_done_after_fewer_failures_than_its_attempts(
    clock, moment, ends, drains
):
    play = Play(clock, moment, make_step(), drains, attempts=3)
    for how in ends:
        assert play.status != "failed"
        play.end(TASK, how)
    assert play.status == "done"
    assert play.site.running == []


@pytest.mark.parametrize("drains", [False, True])
@pytest.mark.parametrize("between", ["stopped", "lapsed"])
def test_job_fails_after_exactly_its_attempts(clock, moment, between, drains):
    play = Play(clock, moment, make_step(), drains, attempts=3)
    for how in ["failed", between, "failed", between, "failed"]:
        assert play.status != "failed"
        play.end(TASK, how)
    assert play.status == "failed"
    assert play.site.running == []


def test_members_of_a_gang_share_attempts_across_leaders(clock, moment):
    play = Play(clock, moment, make_step(2, gang=True), attempts=2)
    for _ in range(2):
        assert play.status != "failed"
        assert len(play.site.running) == 2
        play.end(TASK, "failed")
    assert play.status == "failed"
    assert play.site.running == []


def test_long_running_task_is_started_again_however_often_it_ends(clock, moment):
    play = Play(clock, moment, make_step(long_running=True), attempts=2)
    for number in range(5):
        play.end(TASK, ["failed", "done"][number % 2])
        assert play.site.running == [TASK]
    assert play.status == "running"


def test_no_occurrence_runs_twice(clock, moment):
    play = Play(clock, moment, make_step())
    spec = attrs.evolve(
        make_job("j2", steps=(make_step(),)),
        occurrences=3,
        first_at=clock.now(),
        interval=1.0,
    )
    play.jobs.append(spec)
    play.site.scheduler.add_job(spec)
    for occurrence in range(3):
        play.step()
        clock.advance(1.0)
        play.step()
        play.end(f"j2.{occurrence}.0.0", "done")
    done = [task for task, _, _ in play.ends]
    assert len(done) == len(set(done))
    assert play.site.scheduler.find_status("j2").value == "done"


def test_cancelled_job_stays_cancelled(clock, moment):
    play = Play(clock, moment, make_step(2))
    play.site.scheduler.cancel_job("j1")
    play.site = moment(play.site, play.jobs)
    # A leader cancels the jobs with a row in the table of cancellations as it begins.
    play.site.scheduler.cancel_job("j1")
    play.step()
    assert play.status == "cancelled"
    assert play.site.running == []


def test_crash_counts_once(clock, moment):
    """Guards against a task that is given up after fewer crashes than it caused."""
    play = Play(clock, moment, make_step())
    for crashes in range(1, MAX_CRASHES_AT_ONCE + 1):
        play.step()
        play.crash()
        assert (play.status == "failed") == (crashes == MAX_CRASHES_AT_ONCE)


def test_sound_run_is_not_suspected_by_a_new_leader(clock, moment):
    """Guards against crashes that count for a task that had run for long."""
    play = Play(clock, moment, make_step())
    for _ in range(MAX_CRASHES_AT_ONCE + 2):
        for _ in range(5):
            play.step()
        play.crash()
        assert play.status != "failed"
