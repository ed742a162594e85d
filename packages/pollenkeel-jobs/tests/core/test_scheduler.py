"""Tests of the scheduler with simulated VMs, without a network."""

import attrs
import msgpack
import pytest
from jobs_doubles import EPOCH, Site, VmDouble, make_job

from pollenkeel_jobs.core.advice import Advice
from pollenkeel_jobs.core.fleet import WORKER_LEASE
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.messages import OrderOutcome, RunningTask, VmReport
from pollenkeel_jobs.core.model import Demand, JobStatus, StepSpec, TaskState
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_kernel.core.clock import ManualClock


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


def test_vm_never_gets_more_than_its_capacity(clock):
    """Guards against overcommitted workers, which do not check their capacity."""
    site = Site(clock, vms=2)
    site.scheduler.add_job(make_job(steps=(StepSpec(30, Demand(1500, 100)),)))
    for _ in range(5):
        site.step()
        assert all(len(vm.running) <= 2 for vm in site.vms)
    assert len(site.running) == 4


def test_stopping_run_still_counts_against_the_capacity(site):
    """Guards against a start on capacity that a stopping run still holds."""
    site.scheduler.add_job(make_job(steps=(StepSpec(4, Demand(1000, 100)),)))
    site.step()
    site.scheduler.cancel_job("j1")
    site.scheduler.add_job(make_job("j2"))
    site.vms[0].report()
    planned = site.scheduler.plan()
    assert not [task for batch in planned.order_batches for task in batch.starts]


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


def test_long_running_task_leaves_a_worker_that_drains(clock):
    """The task ran until the worker was gone, then waited for its lease to expire."""
    site = Site(clock, vms=2, cpu=1000)
    step = StepSpec(1, Demand(1000, 100), long_running=True)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    leaving = next(vm for vm in site.vms if vm.running)
    other = next(vm for vm in site.vms if vm is not leaving)
    leaving.draining = True
    clock.advance(0.5)
    site.step()
    site.step()
    assert [run.task_id for run in other.running] == ["j1.0.0.0"]


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


def test_long_running_task_is_restarted_however_it_ends(site):
    """Guards against long-running tasks that stay down after some kind of end."""
    step = StepSpec(1, Demand(1000, 100), long_running=True)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    for number, how in enumerate(("failed", "failed", "failed", "done", "lapsed")):
        site.vms[0].end("j1.0.0.0", how)
        site.step()
        assert [run.run for run in site.vms[0].running] == [number + 2]


@pytest.mark.parametrize("cause", ["closed zone", "draining", "old orders", "silent"])
def test_vm_that_may_not_receive_starts_gets_none(site, cause):
    """Guards against starts on a VM that is closed, draining or not up to date."""
    site.vms[0].report()
    if cause == "closed zone":
        site.open(closed=["z0"])
    elif cause == "draining":
        site.vms[0].draining = True
        site.vms[0].report()
    else:
        site.clock.advance(4.5)
    if cause == "old orders":
        site.vms[0].report()
    site.scheduler.add_job(make_job())
    planned = site.scheduler.plan()
    assert not [task for batch in planned.order_batches for task in batch.starts]


def test_zone_that_closes_after_the_placement_gets_no_order(site):
    """Guards against a start whose placement precedes the evacuation of the zone."""
    site.scheduler.add_job(make_job())
    site.vms[0].report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    site.open(closed=["z0"])
    batch = planned.order_batches[0]
    starts = site.scheduler.make_starts(batch.vm, batch.starts).orders
    assert not starts


def test_spread_limit_is_kept(clock):
    """Guards against more tasks of a step on one VM than its spread limit."""
    site = Site(clock, vms=2, cpu=8000)
    step = StepSpec(6, Demand(100, 100), spread_limit=2)
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    assert [len(vm.running) for vm in site.vms] == [2, 2]


def test_label_of_the_worker_is_required(site):
    """Guards against a task on a VM without its required label."""
    step = StepSpec(1, Demand(100, 100), label="gpu")
    site.scheduler.add_job(make_job(steps=(step,)))
    site.step()
    assert not site.running


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


def test_jobs_that_can_meet_their_objective_go_before_late_ones(clock):
    """Under overload, jobs that are already late must not make other jobs late."""
    site = Site(clock, cpu=1000)
    step = StepSpec(1, Demand(1000, 100), 1.0)
    site.scheduler.add_job(make_job("late", steps=(step,)))
    clock.advance(10.0)
    site.scheduler.add_job(make_job("fresh", steps=(step,)))
    site.step()
    assert site.running == ["fresh.0.0.0"]


def test_new_leader_does_not_take_a_late_job_for_a_new_one(clock):
    """Guards against late jobs that delay others after each change of the leader."""
    step = StepSpec(1, Demand(1000, 1000), estimate=2.0)
    late = make_job("late", steps=(step,), stretch=1.0, accepted_at=clock.now() - 3.0)
    fresh = make_job("fresh", steps=(step,), stretch=2.0, accepted_at=clock.now())
    site = Site(clock, cpu=1000)
    site.scheduler.load((encode_job(job), None) for job in (late, fresh))
    site.step()
    assert site.running == ["fresh.0.0.0"]


def test_acceptance_by_a_clock_that_is_ahead_counts_from_now(clock):
    """The clocks of two entries differ."""
    table = JobTable(clock)
    table.add(make_job("j1", accepted_at=clock.now() + 5.0))
    assert table.find("j1").accepted_at == clock.now()


def test_lease_is_not_extended_without_leadership(site):
    """Guards against worker leases granted by a leader that may have been replaced."""
    assert site.vms[0].report(may_grant_lease=False).lease_until == 0
    assert site.vms[0].report().lease_until > 0


def test_job_rows_survive_unknown_content():
    """A malformed row must not prevent the leader from loading the others."""
    site = Site(ManualClock())
    good = encode_job(make_job())
    site.scheduler.load([(b"\x00garbage", None), (good, None)])
    assert site.scheduler.find_status("j1") is JobStatus.QUEUED


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


GANG = StepSpec(3, Demand(1000, 100), gang=True)


def test_gang_starts_together_or_not_at_all(clock):
    """Guards against gang members that hold capacity while they wait for others."""
    site = Site(clock, cpu=2000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    assert not site.running
    site.vms.append(VmDouble(site.scheduler, clock, "vm-1", "z1"))
    site.step()
    assert len(site.running) == 3
    assert {run.run for vm in site.vms for run in vm.running} == {1}


def test_gang_restarts_with_one_run_and_one_checkpoint(clock):
    """Guards against gang members with different run numbers or checkpoints."""
    site = Site(clock, vms=2, cpu=2000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    first = site.vms[0].running[0].task_id
    site.vms[0].end(first, "failed", "saved-7")
    orders = []
    for _ in range(4):
        for starts in site.step().values():
            orders += starts
    assert {order.run for order in orders} == {2}
    assert len(orders) == 3
    assert len({order.checkpoint for order in orders}) == 1


def _list_checkpoints(site, *checkpoints):
    """Report a checkpoint for each run of the site, by task id."""
    by_task = dict(zip(site.running, checkpoints, strict=True))
    for vm in site.vms:
        vm.running = [
            attrs.evolve(run, checkpoint=by_task[run.task_id]) for run in vm.running
        ]
        vm.report()


def _collect_starts(site, passes=4):
    return [
        order
        for _ in range(passes)
        for starts in site.step().values()
        for order in starts
    ]


def test_gang_that_loses_its_workers_restarts_from_one_checkpoint(clock):
    """Workers list their checkpoints at different times; no end tells a common one."""
    site = Site(clock, vms=3, cpu=1000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    _list_checkpoints(site, "saved-1", "saved-1", "saved-1")
    _list_checkpoints(site, "saved-2", "saved-1", "saved-2")
    for vm in site.vms:
        vm.crash()
    # The runs are revoked at the restarted workers first.
    orders = _collect_starts(site, passes=2)
    assert [order.run for order in orders] == [2, 2, 2]
    assert {order.checkpoint for order in orders} == {"saved-2"}


def test_gang_recorded_with_unlike_checkpoints_restarts_from_one(clock):
    """Earlier versions recorded the checkpoint of each member."""
    site = Site(clock, vms=3, cpu=1000)
    job = make_job(steps=(GANG,))
    site.scheduler.add_job(job)
    site.step()
    waiting = int(TaskState.WAITING)
    rows = [[waiting, 1, 0, 0, saved] for saved in ("", "saved-1", "saved-2")]
    fields = ["running", False, True, ["vm-0/w~1"], [[0, 0, rows]]]
    successor = Site(clock, vms=3, cpu=1000)
    successor.scheduler.load([(encode_job(job), msgpack.packb(fields))])
    orders = _collect_starts(successor)
    assert len(orders) == 3
    assert len({order.checkpoint for order in orders}) == 1
    assert orders[0].checkpoint


def test_start_orders_of_a_gang_carry_what_was_placed(clock):
    """A member may end with a new checkpoint before the orders of others are sent."""
    site = Site(clock, vms=3, cpu=1000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    for vm in site.vms:
        vm.report()
    planned = site.scheduler.plan()
    site.scheduler.confirm(planned)
    orders = []
    for batch in planned.order_batches:
        starts = site.scheduler.make_starts(batch.vm, batch.starts).orders
        orders += starts
        double = next(vm for vm in site.vms if vm.vm is batch.vm)
        double.start(starts)
        if len(orders) == 1:
            double.end(starts[0].task_id, "failed", "saved-1")
            double.report()
    assert {order.checkpoint for order in orders if order.run == 1} == {""}


def test_end_of_one_member_ends_the_gang(clock):
    """Guards against a second run of a member whose end was lost."""
    site = Site(clock, cpu=3000)
    site.scheduler.add_job(make_job(steps=(GANG,)))
    site.step()
    site.vms[0].end("j1.0.0.0")
    site.step()
    assert site.scheduler.find_status("j1") is JobStatus.DONE


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


def test_advised_step_starts_only_with_a_ticket(clock):
    """Guards against starts without a ticket, which the worker rejects."""
    site = Site(clock, vms=2)
    step = StepSpec(2, Demand(100, 100))
    site.scheduler.add_job(make_job(steps=(step,), advised=True))
    site.step()
    assert not site.running
    question = site.scheduler.pop_question()
    assert question.step_id == "j1.0.0"
    assert question.worker_ids == ["w", "w"]
    advice = Advice({"w": "ticket-1"}, valid=2.0)
    site.scheduler.store_advice(question, advice, clock.now())
    orders = [order for starts in site.step().values() for order in starts]
    assert [order.ticket for order in orders] == ["ticket-1", "ticket-1"]


def test_new_ticket_is_requested_for_an_expired_one(clock):
    """Guards against the use of a ticket after its validity."""
    site = Site(clock)
    step = StepSpec(1, Demand(100, 100))
    site.scheduler.add_job(make_job(steps=(step,), advised=True))
    site.step()
    question = site.scheduler.pop_question()
    site.scheduler.store_advice(question, Advice({"w": "t"}, 2.0), clock.now())
    clock.advance(3.0)
    site.step()
    assert not site.running
    assert site.scheduler.pop_question() is not None


def test_interfering_tasks_are_not_all_placed_on_one_vm_in_one_pass(clock):
    """Ten tasks placed in one pass drove a latency to eleven times its target.

    Each was judged by the latency before the pass, without the others.
    """
    site = Site(clock, cpu=64_000, memory=640_000)
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(10, Demand(7_000, 100), image="heavy", fills=True)
    row = msgpack.packb([2, [["shop", [["heavy", 3.0]]]]])
    site.interference.load(row)
    site.scheduler.add_job(make_job("lasting", steps=(serving,)))
    site.step()
    site.scheduler.add_job(make_job("batch", steps=(filling,)))
    site.step()
    filled = [task for task in site.running if task.startswith("batch")]
    assert 0 < len(filled) * 3.0 * 7_000 / 64_000 <= 1.0


def test_vm_whose_worker_does_not_answer_gets_nothing(site):
    """A VM whose worker was gone got the same tasks many times a second.

    Its agent kept reporting, and the writes overloaded the table service.
    """
    site.vms[0].report()
    site.clock.advance(2.0)
    site.open()
    report = VmReport(
        "vm-0",
        0.0,
        "vm-0",
        EPOCH,
        worker=site.vms[0].incarnation,
        service="desk",
        zone="z0",
    )
    site.scheduler.process_report(report, may_grant_lease=True)
    site.scheduler.add_job(make_job())
    assert not site.scheduler.plan().order_batches


def test_vm_without_a_valid_lease_gets_nothing(site):
    """A run placed under an expired lease was requeued in the next pass."""
    site.vms[0].report()
    site.clock.advance(WORKER_LEASE)
    site.open()
    site.vms[0].report(may_grant_lease=False)
    site.scheduler.add_job(make_job())
    assert not site.scheduler.plan().order_batches


def report_latency(site, latency):
    """Report a latency of serving tasks and slow progress of best-effort tasks."""
    for vm in site.vms:
        vm.running = [
            attrs.evolve(run, percent=100, figure=latency)
            if run.task_id.startswith("lasting")
            else attrs.evolve(run, percent=run.percent + 1, figure=1_750.0)
            for run in vm.running
        ]
    site.clock.advance(0.5)
    site.step()


def test_headroom_gained_by_throttling_does_not_attract_more_tasks(clock):
    """VMs whose best-effort tasks were throttled to a quarter got ever more of them."""
    site = Site(clock, cpu=64_000, memory=640_000)
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(2, Demand(7_000, 100), image="heavy", fills=True)
    site.interference.load(msgpack.packb([2, [["shop", [["heavy", 0.7]]]]]))
    site.scheduler.add_job(make_job("lasting", steps=(serving,)))
    site.step()
    report_latency(site, 75.0)
    for number in range(5):
        site.scheduler.add_job(make_job(f"batch{number}", steps=(filling,)))
        report_latency(site, 75.0)
    filled = [task for task in site.running if task.startswith("batch")]
    # Of a headroom of 1.33, 1.1 are kept; each task consumes 0.08 at full speed.
    assert 1 <= len(filled) <= 3


def test_serving_tasks_of_one_image_share_vms(clock):
    """Mixed on each VM, serving images left no VM without interference."""
    site = Site(clock, vms=4, cpu=64_000, memory=640_000)
    for image in ("shop", "desk"):
        step = StepSpec(
            8, Demand(13_000, 100), long_running=True, image=image, latency_target=100.0
        )
        site.scheduler.add_job(make_job(image, steps=(step,)))
    site.step()
    images = [{run.task_id.split(".")[0] for run in vm.running} for vm in site.vms]
    assert all(len(found) == 1 for found in images)


def test_task_that_interferes_everywhere_is_placed_eventually(clock):
    """A job never ended, as no VM had the headroom for its tasks at full speed."""
    site = Site(clock, vms=2, cpu=64_000, memory=640_000)
    serving = StepSpec(
        2, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(4, Demand(7_000, 100), image="heavy", fills=True)
    site.interference.load(msgpack.packb([2, [["shop", [["heavy", 40.0]]]]]))
    site.scheduler.add_job(
        make_job("lasting", steps=(attrs.evolve(serving, spread_limit=1),))
    )
    site.step()
    site.scheduler.add_job(make_job("batch", steps=(filling,)))
    report_latency(site, 75.0)
    assert not [task for task in site.running if task.startswith("batch")]
    for _ in range(12):
        report_latency(site, 75.0)
    assert [task for task in site.running if task.startswith("batch")]


def test_few_tasks_of_an_unknown_image_join_a_serving_one(clock):
    """Five tasks of a new image drove a latency to six times its target.

    The image was assumed to be harmless until its interference was learned.
    """
    site = Site(clock, cpu=64_000, memory=640_000)
    serving = StepSpec(
        1, Demand(13_000, 100), long_running=True, image="shop", latency_target=100.0
    )
    filling = StepSpec(10, Demand(7_000, 100), image="new", fills=True)
    site.scheduler.add_job(make_job("lasting", steps=(serving,)))
    site.step()
    report_latency(site, 50.0)
    site.scheduler.add_job(make_job("batch", steps=(filling,)))
    report_latency(site, 50.0)
    assert 1 <= len([task for task in site.running if task.startswith("batch")]) <= 3


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


def test_vm_with_a_run_of_an_unknown_job_gets_no_starts(clock):
    """The demand of such a run is unknown; any start may overcommit the VM."""
    site = Site(clock, cpu=4_000)
    site.vms[0].running = [RunningTask("unknown.0.0.0", 1)]
    site.scheduler.add_job(make_job("new"))
    site.vms[0].report()
    assert not [batch for batch in site.scheduler.plan().order_batches if batch.starts]
    site.vms[0].running = []
    site.vms[0].report()
    assert [batch for batch in site.scheduler.plan().order_batches if batch.starts]
