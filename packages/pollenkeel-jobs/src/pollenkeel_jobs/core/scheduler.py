"""Scheduler of the leader.

Places tasks on VMs, and returns the rows to write and the orders to send. The agents'
reports are processed in ``reports``.
"""

from __future__ import annotations

import threading
from collections.abc import Collection, Iterable
from typing import Any

import logbook

from pollenkeel_jobs.core.advice import Advice, AdviceQuestion, TicketCache
from pollenkeel_jobs.core.backlog import BacklogEstimator
from pollenkeel_jobs.core.collection import paused_collection
from pollenkeel_jobs.core.early_cancellations import EarlyCancellations
from pollenkeel_jobs.core.explanation import describe_job
from pollenkeel_jobs.core.first_runs import FirstRuns
from pollenkeel_jobs.core.fleet import Fleet
from pollenkeel_jobs.core.idle_jobs import IdleJobs
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.look_ahead import LookAhead
from pollenkeel_jobs.core.messages import (
    InterferingPair,
    OrderOutcome,
    ServiceWait,
    VmReport,
    VmReportReply,
)
from pollenkeel_jobs.core.metrics import CLOSED_WORKER_STARTS, RUNS_PLACED, WAIT_SECONDS
from pollenkeel_jobs.core.migration import Migration
from pollenkeel_jobs.core.model import Job, JobState, JobStatus, Task, TaskState
from pollenkeel_jobs.core.names import INTERFERENCE, INTERFERENCE_KEY
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.passes import (
    OrderBatch,
    Pass,
    PlannedStart,
    PreparedStarts,
    RecordedEnds,
)
from pollenkeel_jobs.core.placement import FirstRunPlacement, LeastLoaded
from pollenkeel_jobs.core.placement_log import (
    WaitLog,
    log_closed_worker_start,
    log_interference,
    log_migration,
    log_preemption,
)
from pollenkeel_jobs.core.preemption import Preemption
from pollenkeel_jobs.core.progress_rows import ProgressBatch, ProgressTooLargeError
from pollenkeel_jobs.core.ready_queue import Placed, ReadyQueue
from pollenkeel_jobs.core.report_log import log_late_report, log_overtaken_lists
from pollenkeel_jobs.core.reports import ReportProcessor
from pollenkeel_jobs.core.reservations import Reservations
from pollenkeel_jobs.core.run_control import RunControl
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.specs import JobSpec
from pollenkeel_jobs.core.speculation import Speculation, place_copy
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.start_orders import StartOrders
from pollenkeel_jobs.core.tables import RowWrite
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Seconds between two searches for tasks to migrate.
_MIGRATION_INTERVAL = 0.4
#: Seconds between two writes of the learned interference weights.
_WEIGHTS_WRITE_INTERVAL = 4.0
#: Seconds between two searches for jobs without a run.
_IDLE_JOBS_INTERVAL = 0.5


class Scheduler:
    """State of all jobs and VMs for one term of leadership.

    All methods are thread-safe. The scheduler does no I/O; ``plan`` returns what to
    write and to send.

    A worker can restart under the same id. Its processes are therefore distinguished by
    their incarnation: ``<vm>/<worker id>~<start time>``.

    Parameters
    ----------
    epoch : int
        Fencing token of the term.
    clock : Clock
        Source of time.
    interference : InterferenceModel
        Learned interference between images.
    settings : SchedulingSettings, optional
        Policies that are switched on; none by default.

    Attributes
    ----------
    early_cancellations : EarlyCancellations
        Cancellations that are known before their job.
    expiries : LeaseExpiries
        Recorded ends of the leases of silent workers.
    """

    def __init__(
        self,
        epoch: int,
        clock: Clock,
        interference: InterferenceModel,
        settings: SchedulingSettings | None = None,
    ) -> None:
        self.epoch = epoch
        self._settings = settings or SchedulingSettings()
        self.wake = threading.Event()
        self._clock = clock
        self._lock = threading.RLock()
        self._jobs = JobTable(clock)
        self.early_cancellations = EarlyCancellations(clock)
        self._fleet = Fleet(clock, epoch)
        self.expiries = self._fleet.expiries
        self._tickets = TicketCache(clock)
        self._unsent_starts: list[PlannedStart] = []
        self._interference = interference
        reservations = self._reservations = Reservations(self._jobs.ready)
        self._placement = LeastLoaded(self._interference, reservations)
        speeds = VmSpeeds()
        self._forecast = RunForecast(speeds)
        self._backlog = BacklogEstimator(self._forecast)
        self._idle_jobs = IdleJobs()
        look_ahead = LookAhead(
            self._jobs.ready, self._placement, reservations, self._forecast
        )
        self._queue = ReadyQueue(
            self._jobs,
            self._tickets,
            self._placement,
            reservations,
            FirstRuns(
                self._idle_jobs, FirstRunPlacement(self._interference, reservations)
            ),
            look_ahead if self._settings.look_ahead else None,
        )
        self._preemption = Preemption(
            self._jobs.ready, self._tickets, self._placement, reservations
        )
        self._migration = Migration(self._placement)
        self._control = RunControl(
            self._jobs, self._fleet, self._tickets, clock, self.wake
        )
        self._orders = StartOrders(
            self._control, self._jobs, self._fleet, self._tickets, clock
        )
        self._reports = ReportProcessor(
            epoch,
            self._control,
            self._jobs,
            self._fleet,
            interference,
            self.wake,
            speeds,
        )
        self._speculation = Speculation(self._placement, self._forecast, speeds)
        self._wait_log = WaitLog()
        self._next_idle_update_at = 0.0
        self._next_migration_at = 0.0
        self._next_weights_write_at = 0.0

    # Jobs.

    def load(
        self,
        rows: Iterable[tuple[bytes, bytes | None]],
        job_ids: Collection[str] = (),
    ) -> None:
        """Load the jobs that earlier leaders recorded.

        Parameters
        ----------
        rows : iterable of (bytes, bytes or None)
            Row of each job and of its progress, if there is one.
        job_ids : collection of str
            Ids of these jobs. Those that cannot be loaded count as unreadable.
        """
        with self._lock, paused_collection():
            for task in self._jobs.load(rows):
                self._fleet.add_orphan(task)
            self._jobs.unreadable.add_all(
                job_id for job_id in job_ids if self._jobs.find(job_id) is None
            )

    def add_job(self, spec: JobSpec) -> None:
        """Add a newly stored job; does nothing if the job is known already."""
        with self._lock:
            self._jobs.add(spec)
            if self.early_cancellations.pop(spec.job_id):
                self._cancel(spec.job_id)
        self.wake.set()

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored, or as soon as the job is added."""
        with self._lock:
            self._cancel(job_id)
        self.wake.set()

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.find(job_id)
        if job_id in self._jobs.unreadable:
            # The next leader that can read the job finds the stored cancellation.
            return
        if job is None:
            self.early_cancellations.add(job_id)
        elif not job.cancelled:
            job.cancelled = True
            if not job.status.final:
                self._control.finish(job, JobStatus.CANCELLED)

    def find_status(self, job_id: str) -> JobStatus | None:
        """Return the recorded status of a job, or None for an unknown job."""
        state = self.find_state(job_id)
        return state.status if state else None

    def find_state(self, job_id: str) -> JobState | None:
        """Return the recorded state of a job, or None for an unknown job."""
        with self._lock:
            job = self._jobs.find(job_id)
            if job is None:
                return None
            code = job.failure_code if job.recorded_status.final else 0
            return JobState(job.recorded_status, code)

    def list_unreadable_jobs(self) -> list[str]:
        """Return the ids of the jobs whose record cannot be read."""
        with self._lock:
            return self._jobs.unreadable.list_ids()

    def count_waiting(self, queue: str) -> int:
        """Return the number of unfinished jobs of a queue without a started task."""
        with self._lock:
            return self._jobs.count_waiting(queue)

    def list_waits(self) -> list[ServiceWait]:
        """Return how long new jobs have to wait, by service and priority."""
        with self._lock:
            return self._backlog.waits

    def forget_old_jobs(self) -> list[str]:
        """Drop old jobs; return the ids of those whose rows are to be deleted."""
        with self._lock:
            return self._jobs.forget_old()

    def is_forgotten(self, spec: JobSpec) -> bool:
        """Return whether this job was dropped, not an earlier one with the same id."""
        with self._lock:
            return self._jobs.is_forgotten(spec)

    def confirm_deletion(self, job_id: str) -> None:
        """Record that the rows of a dropped job are deleted."""
        with self._lock:
            self._jobs.confirm_deletion(job_id)

    def update_operations(self, operations: Operations, confirmed_at: float) -> None:
        """Apply the operators' settings, such as closed data centres.

        Parameters
        ----------
        operations : Operations
            Settings in force.
        confirmed_at : float
            Time at which the settings were known to be current, in seconds since the
            Unix epoch. No task starts once they are too old.
        """
        with self._lock:
            self._fleet.update_operations(operations, confirmed_at)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump: waiting tasks, and VMs with their tasks."""
        with self._lock:
            return {
                "epoch": self.epoch,
                "waiting": [task.task_id for task in self._jobs.ready],
                "interference": self._interference.describe(),
                "vms": [vm.describe() for vm in self._fleet.vms()],
            }

    def explain(self, job_id: str) -> dict[str, Any] | None:
        """Return a description of a job for operators, or None if it is unknown."""
        with self._lock:
            job = self._jobs.find(job_id)
            if job is None:
                return None
            return describe_job(
                job, self._fleet.vms(), self._find_obstacle, self._reservations
            )

    # Advice.

    def pop_question(self) -> AdviceQuestion | None:
        """Remove and return the next question for the advice service, or None."""
        with self._lock:
            return self._tickets.pop_question()

    def store_advice(
        self, question: AdviceQuestion, advice: Advice, asked_at: float
    ) -> None:
        """Store the advice service's answer to a question asked at ``asked_at``."""
        with self._lock:
            self._tickets.store_advice(question, advice, asked_at)
        self.wake.set()

    # Reports of VMs.

    def add_vm(self, name: str, address: str) -> Vm:
        """Return the VM of this name, created if needed, with its address updated."""
        with self._lock:
            return self._fleet.add(name, address)

    def process_report(self, report: VmReport, may_grant_lease: bool) -> VmReportReply:
        """Process a VM's report; return the worker's lease and the acknowledged ends.

        Parameters
        ----------
        report : VmReport
            State of the VM.
        may_grant_lease : bool
            Whether the worker's lease may be extended, that is, whether the leadership
            lease is valid.
        """
        with self._lock:
            vm = self._fleet.find(report.vm)
            now = self._clock.now()
            if vm is None:
                return VmReportReply("", now, self.epoch)
            if report.worker in vm.replaced:
                log_late_report(vm, report)
            elif vm.has_newer_lists(report.worker, report.clock):
                log_overtaken_lists(vm, report)
            elif report.epoch == self.epoch and report.worker:
                self._reports.apply(vm, report, now)
                if report.clock and may_grant_lease:
                    self._fleet.grant_lease(vm, report.clock)
            return self._make_reply(vm, report)

    def _make_reply(self, vm: Vm, report: VmReport) -> VmReportReply:
        known = vm.profiles_by_task
        profiles = [known[task_id] for task_id in report.unprofiled if task_id in known]
        operations = self._fleet.operations
        is_known = report.operations_version == operations.version
        return VmReportReply(
            "",
            self._clock.now(),
            self.epoch,
            vm.incarnation,
            vm.lease_until,
            vm.recorded_through,
            profiles,
            self.find_interfering_pairs(vm),
            operations.version,
            [] if is_known else sorted(operations.services),
        )

    def find_interfering_pairs(self, vm: Vm) -> list[InterferingPair]:
        """Return the interfering pairs among the images placed on a VM."""
        with self._lock:
            images = vm.serving_images, vm.best_effort_images
            return list(self._interference.pairs(*images))

    # Start orders.

    def process_outcomes(self, vm: Vm, outcomes: Iterable[OrderOutcome]) -> None:
        """Process an agent's replies to start orders."""
        with self._lock:
            self._orders.process_outcomes(vm, outcomes)

    def drop_orders(self, vm: Vm, starts: Iterable[PlannedStart]) -> None:
        """Requeue tasks whose start orders were not sent."""
        with self._lock:
            self._orders.drop(vm, starts)

    def make_starts(self, vm: Vm, starts: Iterable[PlannedStart]) -> PreparedStarts:
        """Return the start orders that still apply, and mark them as sent."""
        with self._lock:
            return self._orders.prepare(vm, starts)

    # Passes.

    def plan(self) -> Pass:
        """Place waiting tasks; return the rows to write and the orders to send."""
        with self._lock:
            for task in list(self._fleet.pop_expired()):
                self._control.give_up(task)
            self._jobs.add_due_occurrences()
            self._place_ready_tasks()
            self._estimate_backlog()
            self._update_idle_jobs()
            self._stop_tasks_to_migrate()
            self._stop_preempted_tasks()
            self._place_copies()
            batch = self._batch_dirty_jobs()
            # Ends are acknowledged only once the progress of all jobs is recorded.
            ends = [] if self._jobs.dirty else list(self._collect_ends())
            if self._jobs.dirty:
                self.wake.set()
            return Pass(
                self._make_writes(batch.writes),
                {job: job.status for job in batch.jobs},
                self._collect_orders(),
                ends,
            )

    def _collect_ends(self) -> Iterable[RecordedEnds]:
        """Yield the ended runs to acknowledge after this pass."""
        for vm in self._fleet.vms():
            if vm.ended_through > vm.recorded_through:
                yield RecordedEnds(vm, vm.incarnation, vm.ended_through)

    def _batch_dirty_jobs(self) -> ProgressBatch:
        """Return the rows of jobs that fit into one transaction."""
        batch = ProgressBatch()
        for job in list(self._jobs.dirty):
            try:
                fits = batch.add(job)
            except ProgressTooLargeError as error:
                self._stop_unrecordable(job, str(error))
                fits = batch.add(job)
            if not fits:
                break
            del self._jobs.dirty[job]
        return batch

    def _stop_unrecordable(self, job: Job, cause: str) -> None:
        logger.error(
            "job failed because its progress cannot be recorded",
            extra={
                "job": job.spec.job_id,
                "code": Code.PROGRESS_NOT_RECORDED.value,
                "cause": cause,
            },
        )
        if not job.status.final:
            job.failure_code = Code.PROGRESS_NOT_RECORDED.value
            self._control.finish(job, JobStatus.FAILED)

    def reject_progress(self, rejected_pass: Pass, job_id: str, cause: str) -> None:
        """End a job whose rows in a pass were rejected by the table service.

        Its starts in the pass are not sent, and no ends are acknowledged with the pass.
        If the rejected rows are those of an ended job, they are not written again.
        """
        with self._lock:
            rejected_pass.ends.clear()
            job = self._jobs.find(job_id)
            if job is not None:
                rejected_pass.statuses_by_job.pop(job, None)
                self._stop_unrecordable(job, cause)
        self.wake.set()

    def _make_writes(self, writes: list[RowWrite]) -> tuple[RowWrite, ...]:
        """Return the rows of jobs, of silent workers and, at times, the weights."""
        now = self._clock.now()
        silent = self._fleet.find_silent_workers()
        writes = [*writes, *self.expiries.collect_writes(silent, len(writes))]
        if writes and now >= self._next_weights_write_at:
            self._next_weights_write_at = now + _WEIGHTS_WRITE_INTERVAL
            row = RowWrite(INTERFERENCE, INTERFERENCE_KEY, self._interference.encode())
            writes = [*writes, row]
            log_interference(self._interference, self._fleet.vms())
        return tuple(writes)

    def _collect_orders(self) -> list[OrderBatch]:
        """Return the stops, and the starts whose placement is recorded with this pass.

        A start must not be sent before its placement is recorded: after a change of
        leader the task would be started a second time.
        """
        batches_by_vm: dict[Vm, OrderBatch] = {}
        unsent, self._unsent_starts = self._unsent_starts, []
        for start in unsent:
            if start.task.job in self._jobs.dirty:
                self._unsent_starts.append(start)
                continue
            vm = self._fleet.find_by_incarnation(start.task.runner)
            if vm is not None:
                batches_by_vm.setdefault(vm, OrderBatch(vm)).starts.append(start)
        for vm, stops in self._control.stops.pop_unsent().items():
            batches_by_vm.setdefault(vm, OrderBatch(vm)).stops.extend(stops)
        return list(batches_by_vm.values())

    def confirm(self, recorded_pass: Pass) -> None:
        """Apply the effects of a pass whose rows have been written."""
        with self._lock:
            self.expiries.confirm(recorded_pass.writes)
            for job, status in recorded_pass.statuses_by_job.items():
                job.recorded_status = status
            for ends in recorded_pass.ends:
                if ends.vm.incarnation == ends.incarnation:
                    ends.vm.recorded_through = ends.through

    def _place_ready_tasks(self) -> None:
        now = self._clock.now()
        vms, closed_vms = self._fleet.usable(), self._fleet.list_quarantined()
        for placed in self._queue.place(vms, now, closed_vms):
            self._record_placement(placed, now)
            if placed.vm in closed_vms:
                CLOSED_WORKER_STARTS.inc()
                log_closed_worker_start(placed.task, placed.vm, now)
        self._wait_log.record(
            self._queue.unplaced, self._fleet.vms(), self._find_obstacle, now
        )

    def _find_obstacle(self, task: Task, vm: Vm) -> str:
        """Return why a task may not run on a VM, or an empty string if it may."""
        obstacle = self._fleet.find_obstacle(vm, self._clock.now())
        return obstacle or self._placement.find_obstacle(task, vm)

    def _estimate_backlog(self) -> None:
        if self._settings.admission:
            self._backlog.update(
                self._jobs.ready, self._fleet.usable(), self._clock.now()
            )

    def _update_idle_jobs(self) -> None:
        now = self._clock.now()
        if now >= self._next_idle_update_at:
            self._next_idle_update_at = now + _IDLE_JOBS_INTERVAL
            busy = self._fleet.find_busy_jobs()
            self._idle_jobs.update(self._jobs.ready, busy, now)

    def _record_placement(self, placed: Placed, now: float) -> None:
        task, vm = placed.task, placed.vm
        self._jobs.ready.discard(task)
        task.reset_run()
        task.state = TaskState.PLACED
        task.run = placed.run
        task.runner = vm.incarnation
        task.placed_at = now
        task.order_deadline = float("inf")
        task.ticket = self._tickets.find(task, vm)
        self._fleet.quarantine.started(vm.incarnation, now)
        self._jobs.dirty[task.job] = None
        self._unsent_starts.append(PlannedStart(task, placed.run, placed.checkpoint))
        RUNS_PLACED.inc()
        WAIT_SECONDS.observe(now - task.ready_at)
        log_change(
            logger,
            "task placed",
            task=task.task_id,
            run=task.run,
            vm=vm.name,
            waited=round(now - task.ready_at, 3),
            load=round(vm.cpu_load, 2),
        )

    def _place_copies(self) -> None:
        """Place copies of slow runs if the operators allow it."""
        if not self._settings.parallel_copies:
            return
        now = self._clock.now()
        fleet, unplaced = self._fleet, list(self._queue.unplaced)
        for slow in self._speculation.choose(
            list(fleet.vms()), fleet.usable(), unplaced, now
        ):
            copy = place_copy(slow, now)
            self._fleet.quarantine.started(copy.runner, now)
            self._jobs.dirty[copy.job] = None
            self._unsent_starts.append(PlannedStart(copy, copy.run, copy.checkpoint))
            RUNS_PLACED.inc()

    def _stop_tasks_to_migrate(self) -> None:
        """Stop tasks that would run better elsewhere or whose VM is draining.

        They are placed anew once their runs have ended.
        """
        now = self._clock.now()
        if now < self._next_migration_at:
            return
        self._next_migration_at = now + _MIGRATION_INTERVAL
        usable = self._fleet.usable()
        moves = [
            *self._migration.choose(usable, now),
            *self._migration.choose_from_draining(self._fleet.vms(), usable),
        ]
        for vm, task in moves:
            log_migration(vm, task)
            task.stop_wanted = True
            self._control.stop(vm, task.task_id, task.run, now)

    def _stop_preempted_tasks(self) -> None:
        """Stop tasks of a lower priority for long-running tasks that wait for room."""
        now = self._clock.now()
        for preempted in self._preemption.choose(self._fleet.usable(), now):
            task, vm = preempted.task, preempted.vm
            log_preemption(preempted, now)
            task.stop_wanted = True
            self._control.stop(vm, task.task_id, task.run, now)
