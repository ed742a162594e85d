"""Tests of a leader that takes over from another one."""

import msgpack
from jobs_doubles import EPOCH, Site, VmDouble, make_job

from pollenkeel_jobs.core.fleet import WORKER_LEASE
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_kernel.core.clock import ManualClock


def test_take_over_restarts_what_the_fenced_worker_does_not_list(site):
    """Guards against the loss of a start that was recorded but never sent."""
    site.scheduler.add_job(make_job())
    site.step()
    vm = site.vms[0]
    vm.running.pop()
    successor = _take_over(site)
    successor.step()
    runs = {run.task_id: run.run for run in successor.vms[0].running}
    assert sorted(runs.values()) == [1, 2]


def test_take_over_waits_for_a_vm_that_does_not_answer(site):
    """Runs may continue until the leases granted by the old leader have expired."""
    site.scheduler.add_job(make_job())
    site.step()
    successor = _take_over(site)
    successor.vms = [VmDouble(successor.scheduler, site.clock, "vm-9")]
    successor.step()
    assert not successor.running
    site.clock.advance(WORKER_LEASE + 1.0)
    successor.step()
    assert successor.running == ["j1.0.0.0", "j1.0.0.1"]


def test_take_over_requeues_tasks_of_a_worker_that_its_agent_cannot_reach(site):
    """Tasks of a worker that had left before the change of leader never ran again."""
    site.scheduler.add_job(make_job())
    site.step()
    successor = _take_over(site)
    left = successor.vms.pop()
    successor.vms = [VmDouble(successor.scheduler, site.clock, "vm-9")]
    left.report_without_lists()
    successor.step()
    assert not successor.running
    site.clock.advance(WORKER_LEASE + 1.0)
    left.report_without_lists()
    successor.step()
    assert successor.running == ["j1.0.0.0", "j1.0.0.1"]


def test_slowness_is_not_learned_from_runs_of_an_earlier_term(site):
    """A run with an unknown start time counted as half a century of run time."""
    site.scheduler.add_job(make_job())
    site.step()
    successor = _take_over(site)
    successor.step()
    successor.vms[0].end("j1.0.0.0")
    successor.step()
    successor.vms[0].end("j1.0.0.1")
    successor.step()
    assert successor.vms[0].vm.slowness == 1.0


def test_end_is_taken_from_an_agent_that_restarts_later_than_others(site):
    """After all processes were killed, a completed task ran again.

    Its end was listed by a worker whose agent restarted after the lease had expired.
    """
    site.scheduler.add_job(make_job())
    site.step()
    returning = site.vms[0]
    returning.end("j1.0.0.0")
    successor = _take_over(site)
    late = successor.vms.pop()
    successor.vms = []
    site.clock.advance(WORKER_LEASE + 2.0)
    successor.step()
    successor.vms = [VmDouble(successor.scheduler, site.clock, "vm-9")]
    successor.step()
    assert not successor.running
    site.clock.advance(1.0)
    late.report()
    successor.step()
    assert "j1.0.0.0" not in successor.running


def test_take_over_does_not_wait_for_the_old_worker_of_a_vm_that_came_back(site):
    """A new worker on the VM proves that the old one has ended."""
    site.scheduler.add_job(make_job())
    site.step()
    successor = _take_over(site)
    successor.vms[0].incarnation = "vm-0/new~9"
    successor.vms[0].running = []
    successor.step()
    assert successor.running == ["j1.0.0.0", "j1.0.0.1"]


def _take_over(site):
    """Return a site whose scheduler has loaded the records of the given one."""
    successor = Site(site.clock)
    successor.scheduler = Scheduler(EPOCH + 1, site.clock, InterferenceModel())
    old = site.vms[0]
    vm = VmDouble(successor.scheduler, site.clock, old.name, old.zone)
    vm.incarnation, vm.running, vm.ended = old.incarnation, old.running, old.ended
    successor.vms = [vm]
    row = site.rows_by_key[PROGRESS, "j1"]
    successor.scheduler.load([(encode_job(make_job()), row)])
    successor.open()
    return successor


def test_failed_attempts_are_counted_over_a_change_of_leader(site):
    """Guards against more failed runs of a task than the queue's attempts."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    site.vms[0].end("j1.0.0.0", "failed")
    site.step()
    site.vms[0].end("j1.0.0.0", "failed")
    site.step()
    site.step()
    assert not site.running
    assert site.scheduler.find_status("j1") is JobStatus.FAILED


def test_new_leader_does_not_take_a_late_job_for_a_new_one(clock):
    """Guards against late jobs that delay others after each change of the leader."""
    step = StepSpec(1, Demand(1000, 1000), estimate=2.0)
    late = make_job("late", steps=(step,), stretch=1.0, accepted_at=clock.now() - 3.0)
    fresh = make_job("fresh", steps=(step,), stretch=2.0, accepted_at=clock.now())
    site = Site(clock, cpu=1000)
    site.scheduler.load((encode_job(job), None) for job in (late, fresh))
    site.step()
    assert site.running == ["fresh.0.0.0"]


def test_job_rows_survive_unknown_content():
    """A malformed row must not prevent the leader from loading the others."""
    site = Site(ManualClock())
    good = encode_job(make_job())
    site.scheduler.load([(b"\x00garbage", None), (good, None)])
    assert site.scheduler.find_status("j1") is JobStatus.QUEUED


def test_runs_of_a_cancelled_job_hold_their_capacity_under_a_new_leader(clock):
    """A leader that did not count these runs overcommitted the worker."""
    site = Site(clock, cpu=4_000)
    cancelled_step = StepSpec(1, Demand(3_000, 100), long_running=True)
    site.scheduler.add_job(make_job("old", steps=(cancelled_step,)))
    site.step()
    site.scheduler.cancel_job("old")
    site.step(record=False)
    successor = Site(clock, cpu=4_000)
    cancelled = msgpack.packb(["cancelled", True])
    old = make_job("old", steps=(cancelled_step,))
    successor.scheduler.load([(encode_job(old), cancelled)])
    vm = successor.vms[0]
    vm.running = list(site.vms[0].running)
    assert [run.task_id for run in vm.running] == ["old.0.0.0"]
    successor.scheduler.add_job(
        make_job("new", steps=(StepSpec(4, Demand(1_000, 100)),))
    )
    vm.report()
    started = successor.scheduler.plan().order_batches
    assert sum(len(batch.starts) for batch in started) == 1
    vm.running = []
    vm.report()
    started = successor.scheduler.plan().order_batches
    assert sum(len(batch.starts) for batch in started) == 3
