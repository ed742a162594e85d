"""Tests of the scheduler with simulated VMs, without a network."""

import attrs
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.fleet import WORKER_LEASE
from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.messages import OrderOutcome
from pollenkeel_jobs.core.model import JobStatus
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.specs import Demand, StepSpec


def test_nothing_is_sent_before_the_placement_is_recorded(site):
    """A start sent before its record is repeated if the leader fails in between."""
    site.scheduler.add_job(make_job())
    site.vms[0].report()
    planned = site.scheduler.plan()
    recorded = [write.key for write in planned.writes if write.table == PROGRESS]
    assert recorded == ["j1"]
    assert not site.running


def test_later_step_waits_for_all_tasks_of_the_step_before(site):
    """Guards against a start before all tasks of a required step are done."""
    first = StepSpec(2, Demand(1000, 1000))
    second = StepSpec(1, Demand(1000, 1000), after=(0,))
    site.scheduler.add_job(make_job(steps=(first, second)))
    site.step()
    assert site.running == ["j1.0.0.0", "j1.0.0.1"]
    site.vms[0].end("j1.0.0.0")
    site.step()
    assert site.running == ["j1.0.0.1"]
    site.vms[0].end("j1.0.0.1")
    site.step()
    assert site.running == ["j1.0.1.0"]


def test_done_is_shown_only_once_recorded(site):
    """A status shown before its record is taken back if the leader fails."""
    site.scheduler.add_job(make_job())
    site.step()
    for task_id in site.running:
        site.vms[0].end(task_id)
    site.vms[0].report()
    planned = site.scheduler.plan()
    assert site.scheduler.find_status("j1") is not JobStatus.DONE
    site.scheduler.confirm(planned)
    assert site.scheduler.find_status("j1") is JobStatus.DONE


def test_end_is_acknowledged_only_after_its_record(site):
    """If an end is acknowledged but not recorded, the task runs again."""
    site.scheduler.add_job(make_job())
    site.step()
    site.vms[0].end("j1.0.0.0")
    assert site.vms[0].report().recorded_through == 0
    planned = site.scheduler.plan()
    assert site.vms[0].report().recorded_through == 0
    site.scheduler.confirm(planned)
    assert site.vms[0].report().recorded_through == 1


def test_tasks_of_a_silent_vm_wait_for_the_end_of_its_lease(clock):
    """Guards against a task that runs in two places while its lease is valid."""
    site = Site(clock, vms=2, cpu=1000)
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    silent = next(vm for vm in site.vms if vm.running)
    site.vms.remove(silent)
    clock.advance(WORKER_LEASE)
    site.step()
    assert not site.running
    clock.advance(1.0)
    site.step()
    assert site.running == ["j1.0.0.0"]
    assert site.vms[0].running[0].run == 2


def test_new_incarnation_of_a_worker_ends_the_runs_of_the_old_one(site):
    """After a power loss, 146 tasks waited 5.5 s for the leases of dead workers."""
    site.scheduler.add_job(make_job())
    site.step()
    vm = site.vms[0]
    vm.incarnation, vm.running, vm.ended = "vm-0/other~2", [], []
    site.step()
    assert [run.run for run in vm.running] == [2, 2]


def test_run_with_unknown_outcome_is_revoked_before_the_next_run(site):
    """A start order without a reply may be executed seconds later."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    vm = site.vms[0]
    vm.running.clear()
    site.clock.advance(1.0)
    site.step()
    assert not vm.running
    site.clock.advance(1.0)
    site.step()
    assert [stop.run for stop in vm.withdrawn] == [1]
    site.step()
    assert [run.run for run in vm.running] == [2]


def test_start_that_waits_for_its_turn_is_not_revoked(site):
    """Guards against runs that are stopped since many orders were sent before theirs.

    Seen with 1,000 tasks on one VM: 417 had just started when they were revoked.
    """
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    vm = site.vms[0]
    vm.report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    site.clock.advance(1.2)
    vm.start(site.scheduler.make_starts(vm.vm, planned.order_batches[0].starts).orders)
    (run,) = vm.running
    vm.running.clear()
    site.clock.advance(1.0)
    site.step()
    started = OrderOutcome(run.task_id, run.run, "started")
    site.scheduler.process_outcomes(vm.vm, [started])
    site.clock.advance(1.0)
    site.step()
    assert vm.withdrawn == []
    site.clock.advance(1.0)
    site.step()
    assert [stop.run for stop in vm.withdrawn] == [1]


def test_rejected_start_is_placed_again(site):
    """Guards against a wait for a rejected start, which is known not to have run."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    vm = site.vms[0]
    vm.running.clear()
    refused = OrderOutcome("j1.0.0.0", 1, "refused", "late")
    site.scheduler.process_outcomes(vm.vm, [refused])
    site.step()
    assert [run.run for run in vm.running] == [2]


def test_cancelled_job_is_stopped_and_starts_nothing(site):
    """Guards against tasks that run after the cancellation."""
    site.scheduler.add_job(make_job(steps=(StepSpec(6, Demand(1000, 100)),)))
    site.step()
    site.scheduler.cancel_job("j1")
    site.step()
    site.step()
    assert not site.running
    assert site.scheduler.find_status("j1") is JobStatus.CANCELLED


def test_cancellation_received_before_its_job_is_applied(site):
    """A cancelled job ran because its row arrived by a slower feed (soak seed 103)."""
    site.scheduler.cancel_job("j1")
    site.scheduler.add_job(make_job())
    site.step()
    site.step()
    assert not site.running
    assert site.scheduler.find_status("j1") is JobStatus.CANCELLED


def test_long_running_task_is_restarted_however_it_ends(site):
    """Guards against long-running tasks that stay down after some kind of end."""
    step = StepSpec(1, Demand(1000, 100), long_running=True)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    for number, how in enumerate(("failed", "failed", "failed", "done", "lapsed")):
        site.vms[0].end("j1.0.0.0", how)
        site.step()
        assert [run.run for run in site.vms[0].running] == [number + 2]


def test_stalled_run_is_stopped_and_started_again(site):
    """Tasks on a worker that made no progress were not stopped all day."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    for _ in range(6):
        site.clock.advance(0.5)
        site.step()
    assert site.vms[0].withdrawn
    site.step()
    assert [run.run for run in site.vms[0].running] == [2]


def test_run_with_progress_is_not_stalled(site):
    """Guards against stopping a long run that makes progress."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    vm = site.vms[0]
    for percent in range(1, 12):
        site.clock.advance(0.5)
        vm.running = [attrs.evolve(run, percent=percent) for run in vm.running]
        site.step()
    assert not vm.withdrawn


def test_acceptance_by_a_clock_that_is_ahead_counts_from_now(clock):
    """The clocks of two entries differ."""
    table = JobTable(clock)
    table.add(make_job("j1", accepted_at=clock.now() + 5.0))
    assert table.find("j1").accepted_at == clock.now()


def test_lease_is_not_extended_without_leadership(site):
    """Guards against worker leases granted by a leader that may have been replaced."""
    assert site.vms[0].report(may_grant_lease=False).lease_until == 0
    assert site.vms[0].report().lease_until > 0


def test_end_of_a_run_that_was_requeued_is_still_counted(site):
    """A task waited forever if its run failed after the lease had expired."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.step()
    vm = site.vms[0]
    site.clock.advance(WORKER_LEASE + 1.0)
    site.vms = []
    site.step()
    site.vms = [vm]
    vm.end("j1.0.0.0", "failed")
    site.step()
    assert [run.run for run in vm.running] == [2]


def test_no_order_for_a_placement_that_is_not_in_the_transaction(clock):
    """Jobs that do not fit into the transaction must not start before their record."""
    site = Site(clock, cpu=400_000, memory=400_000)
    for number in range(100):
        site.scheduler.add_job(make_job(f"j{number}"))
    site.vms[0].report()
    planned = site.scheduler.plan()
    recorded = {write.key for write in planned.writes}
    started = {
        s.task.job.spec.job_id for batch in planned.order_batches for s in batch.starts
    }
    assert started
    assert started <= recorded
    site.scheduler.confirm(planned)
    site.step()
    site.step()
    assert len(set(site.running)) >= 2 * 100 - 2 * len(started)


def test_order_of_an_earlier_placement_does_not_start_a_later_run(site):
    """An order delayed by a slow connection must not start a run not recorded yet."""
    site.scheduler.add_job(make_job(steps=(StepSpec(1, Demand(1000, 100)),)))
    site.vms[0].report()
    first = site.scheduler.plan()
    site.scheduler.confirm(first)
    site.scheduler.drop_orders(site.vms[0].vm, first.order_batches[0].starts)
    second = site.scheduler.plan()
    orders = site.scheduler.make_starts(
        site.vms[0].vm, first.order_batches[0].starts
    ).orders
    assert not orders
    site.scheduler.confirm(second)
    orders = site.scheduler.make_starts(
        site.vms[0].vm, second.order_batches[0].starts
    ).orders
    assert [order.run for order in orders] == [2]


def test_occurrences_start_when_they_are_due(clock):
    """Guards against early occurrences, and an end before the last occurrence."""
    site = Site(clock)
    spec = attrs.evolve(
        make_job(steps=(StepSpec(1, Demand(100, 100)),)),
        occurrences=2,
        first_at=clock.now() + 5.0,
        interval=10.0,
    )
    site.scheduler.add_job(spec)
    site.step()
    assert not site.running
    clock.advance(5.1)
    site.step()
    assert site.running == ["j1.0.0.0"]
    site.vms[0].end("j1.0.0.0")
    site.step()
    assert site.scheduler.find_status("j1") is JobStatus.RUNNING
    clock.advance(10.0)
    site.step()
    assert site.running == ["j1.1.0.0"]
    site.vms[0].end("j1.1.0.0")
    site.step()
    assert site.scheduler.find_status("j1") is JobStatus.DONE
