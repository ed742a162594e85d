"""The leader's decisions: takes reports, places tasks, says what to record and send."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from typing import Any

import logbook

from pollenkeel_jobs.core.advice import Advice, AdviceQuestion, TicketBook
from pollenkeel_jobs.core.fleet import Fleet
from pollenkeel_jobs.core.gangs import choose_for_gang
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.job_table import JobTable, job_members
from pollenkeel_jobs.core.messages import (
    EndedTask,
    OrderOutcome,
    PairHarm,
    StartOrder,
    VmReport,
    VmReportReply,
)
from pollenkeel_jobs.core.metrics import RUNS_ENDED, RUNS_PLACED, WAIT_SECONDS
from pollenkeel_jobs.core.migration import Migration
from pollenkeel_jobs.core.model import (
    Demand,
    Job,
    JobSpec,
    JobStatus,
    Task,
    TaskState,
    parse_task_id,
)
from pollenkeel_jobs.core.names import HARM, HARM_KEY, PROGRESS
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.passes import OrderBatch, Pass, PlannedStart, RecordedEnds
from pollenkeel_jobs.core.placement import LeastLoaded
from pollenkeel_jobs.core.progress import (
    has_stalled,
    note_fill_use,
    note_headroom,
    note_use,
)
from pollenkeel_jobs.core.records import encode_progress
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.stops import StopBook
from pollenkeel_jobs.core.tables import RowWrite
from pollenkeel_jobs.core.vms import Vm, make_profile
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Jobs written in one transaction.
_JOBS_PER_COMMIT = 60
#: Seconds after its order at which a run that is not listed is withdrawn.
_UNSEEN_SECONDS = 1.5
#: Seconds between two looks for tasks to move.
_MOVE_INTERVAL = 0.4
#: Seconds between two records of the learnt interference.
_HARM_INTERVAL = 4.0
#: Tasks that found no place after which a pass over the queue ends.
_MISSES_PER_PASS = 12


class Scheduler:
    """State of all jobs and VMs for one term of leadership.

    All methods are safe for use by several threads. The scheduler does no input or
    output; ``plan`` returns what to write and to send.

    Parameters
    ----------
    epoch : int
        Fencing token of the term.
    clock : Clock
        Source of time.
    harm : HarmModel
        What is known of the interference between images.
    """

    def __init__(self, epoch: int, clock: Clock, harm: InterferenceModel) -> None:
        self.epoch = epoch
        self.wake = threading.Event()
        self._clock = clock
        self._lock = threading.RLock()
        self._jobs = JobTable(clock)
        self._fleet = Fleet(clock)
        self._tickets = TicketBook(clock)
        self._unsent: list[PlannedStart] = []
        self._stops = StopBook()
        self._harm = harm
        self._placement = LeastLoaded(self._harm)
        self._migration = Migration(self._placement)
        self._speeds = VmSpeeds()
        self._move_at = 0.0
        self._harm_at = 0.0

    # Jobs.

    def load(self, rows: Iterable[tuple[bytes, bytes | None]]) -> None:
        """Take the recorded jobs over from the leader before.

        Parameters
        ----------
        rows : iterable of (bytes, bytes or None)
            Row of each job and of its progress, if there is one.
        """
        with self._lock:
            for task in self._jobs.load(rows):
                self._fleet.add_orphan(task)

    def add_job(self, spec: JobSpec) -> None:
        """Take a newly stored job; one that is known already is ignored."""
        with self._lock:
            self._jobs.add(spec)
            if self._jobs.take_early_cancellation(spec.job_id):
                self._cancel(spec.job_id)
        self.wake.set()

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored; the job may follow later."""
        with self._lock:
            self._cancel(job_id)
        self.wake.set()

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.find(job_id)
        if job is None:
            self._jobs.note_early_cancellation(job_id)
        elif not job.cancelled:
            job.cancelled = True
            if not job.status.final:
                self._finish(job, JobStatus.CANCELLED)

    def find_status(self, job_id: str) -> JobStatus | None:
        """Return the recorded status of a job, or None if it is not known."""
        with self._lock:
            job = self._jobs.find(job_id)
            return job.recorded_status if job else None

    def count_waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        with self._lock:
            return self._jobs.count_waiting(queue)

    def forget_old_jobs(self) -> list[str]:
        """Drop jobs that ended long ago and return their ids."""
        with self._lock:
            return self._jobs.forget_old()

    def update_operations(self, operations: Operations, confirmed_at: float) -> None:
        """Take the operators' orders.

        Parameters
        ----------
        operations : Operations
            Orders in force.
        confirmed_at : float
            Time up to which no change can be missing, in seconds since the Unix
            epoch; nothing starts long after it.
        """
        with self._lock:
            self._fleet.update_operations(operations, confirmed_at)

    def describe(self) -> dict[str, Any]:
        """Return the state for the dump: VMs with their tasks, and what waits."""
        with self._lock:
            return {
                "epoch": self.epoch,
                "waiting": [task.task_id for task in self._jobs.ready],
                "interference": self._harm.describe(),
                "vms": [
                    {
                        "name": vm.name,
                        "worker": vm.incarnation,
                        "draining": vm.draining,
                        "heard_at": vm.heard_at,
                        "load": round(vm.cpu_load, 3),
                        "slowness": round(vm.slowness, 2),
                        "tasks": sorted(vm.tasks_by_id),
                    }
                    for vm in self._fleet.vms()
                ],
            }

    # Advice.

    def take_question(self) -> AdviceQuestion | None:
        """Return the next question for the advice service, or None."""
        with self._lock:
            return self._tickets.take_question()

    def take_advice(
        self, question: AdviceQuestion, advice: Advice, asked_at: float
    ) -> None:
        """Take the answer of the advice service."""
        with self._lock:
            self._tickets.take_advice(question, advice, asked_at)
        self.wake.set()

    # Reports of VMs.

    def add_vm(self, name: str, address: str) -> Vm:
        """Return the VM of this name, which is new or has a new address."""
        with self._lock:
            return self._fleet.add(name, address)

    def process_report(self, report: VmReport, grants: bool) -> VmReportReply:
        """Take a VM's report and return the lease and what is recorded.

        Parameters
        ----------
        report : VmReport
            State of the VM.
        grants : bool
            The lease of leadership is valid, so the worker's lease may be extended.
        """
        with self._lock:
            vm = self._fleet.find(report.vm)
            now = self._clock.now()
            if vm is None:
                return VmReportReply("", now, self.epoch)
            if report.epoch == self.epoch and report.worker:
                self._take_state(vm, report, now)
                if report.clock and grants:
                    self._fleet.grant_lease(vm, report.clock)
            return self._reply(vm, report.unprofiled)

    def _reply(self, vm: Vm, unprofiled: Iterable[str]) -> VmReportReply:
        profiles = [
            vm.profiles_by_task[task_id]
            for task_id in unprofiled
            if task_id in vm.profiles_by_task
        ]
        return VmReportReply(
            "",
            self._clock.now(),
            self.epoch,
            vm.incarnation,
            vm.lease_until,
            vm.recorded_through,
            profiles,
            self.find_interfering_pairs(vm),
        )

    def find_interfering_pairs(self, vm: Vm) -> list[PairHarm]:
        """Return the harmful pairs of the images placed on a VM."""
        with self._lock:
            return list(self._harm.pairs(vm.serving_images, vm.filling_images))

    def _take_state(self, vm: Vm, report: VmReport, now: float) -> None:
        vm.heard_at = now
        if report.worker != vm.incarnation:
            for task in self._fleet.begin_life(vm, report.worker):
                self._requeue(task, "worker restarted")
        vm.service = report.service
        vm.zone = report.zone
        vm.capacity = report.capacity
        vm.labels = frozenset(report.labels)
        vm.draining = report.state != "ready"
        if report.clock:
            vm.listed_at = now
            self._take_lists(vm, report, now)
            note_headroom(vm, report.running, self._harm, now)
            note_fill_use(vm, report.running, now)
            self._harm.observe(
                vm.name, report.running, vm.profiles_by_task, vm.capacity.cpu, now
            )

    def _take_lists(self, vm: Vm, report: VmReport, now: float) -> None:
        vm.clock = report.clock
        vm.fenced = report.fenced_epoch == self.epoch
        listed = {(run.task_id, run.run) for run in report.running}
        vm.foreign = Demand()
        vm.lists_unknown = False
        for running in report.running:
            task = vm.tasks_by_id.get(running.task_id)
            if task is None or task.run != running.run:
                self._note_foreign(vm, running.task_id)
                self._stop(vm, running.task_id, running.run, now)
                continue
            self._jobs.note_started(task.job)
            note_use(task, running, report.paced, now)
            if has_stalled(task, now):
                self._stop_stalled(vm, task, now)
            if (
                task.state is not TaskState.PLACED
                or task.stop_wanted
                or task.job.status.final
            ):
                self._stop(vm, running.task_id, running.run, now)
        for ended in report.ended:
            listed.add((ended.task_id, ended.run))
            if ended.number > vm.ended_through:
                vm.ended_through = ended.number
                self._take_end(vm, ended, now)
        if vm.ended_through > vm.recorded_through:
            self.wake.set()
        if vm.fenced:
            withdrawn = {(stop.task_id, stop.run) for stop in report.withdrawn}
            self._find_lost(vm, listed, withdrawn, now)

    def _note_foreign(self, vm: Vm, task_id: str) -> None:
        """Count what a run holds that is not placed here, until it has ended."""
        parsed = parse_task_id(task_id)
        job = self._jobs.find(parsed[0]) if parsed else None
        if job is None or parsed is None or parsed[1].step >= len(job.spec.steps):
            vm.lists_unknown = True
        else:
            vm.foreign += job.spec.steps[parsed[1].step].reserved

    def _find_lost(
        self,
        vm: Vm,
        listed: set[tuple[str, int]],
        withdrawn: set[tuple[str, int]],
        now: float,
    ) -> None:
        """Put runs back that the worker does not have and will never start."""
        for task in list(vm.tasks_by_id.values()):
            run = (task.task_id, task.run)
            if run in listed:
                continue
            if run in withdrawn or vm.clock > task.order_deadline:
                self._requeue(task, "not at the worker")
            elif task.sent and now - task.placed_at > _UNSEEN_SECONDS:
                self._stop(vm, task.task_id, task.run, now)

    def _stop_stalled(self, vm: Vm, task: Task, now: float) -> None:
        log_change(
            logger,
            "run stalled",
            task=task.task_id,
            run=task.run,
            vm=vm.name,
            percent=task.percent,
            since=round(now - task.progress_at, 2),
        )
        task.stop_wanted = True
        task.failed_on.add(vm.incarnation)
        self._fleet.quarantine.record(vm.incarnation, task.job.spec.job_id, True, now)

    def _stop(self, vm: Vm, task_id: str, run: int, now: float) -> None:
        if self._stops.add(vm, task_id, run, now):
            self.wake.set()

    # Ends of runs.

    def _take_end(self, vm: Vm, ended: EndedTask, now: float) -> None:
        self._stops.forget(ended.task_id, ended.run)
        parsed = parse_task_id(ended.task_id)
        job = self._jobs.find(parsed[0]) if parsed else None
        task = job.task(parsed[1]) if job is not None and parsed else None
        if task is None or task.run != ended.run:
            return
        placed_here = vm.tasks_by_id.get(ended.task_id) is task
        if not placed_here and task.state is not TaskState.WAITING:
            return
        log_change(
            logger,
            "run ended",
            task=ended.task_id,
            run=ended.run,
            vm=vm.name,
            how=ended.how,
            seconds=round(now - task.placed_at, 3) if task.placed_at else None,
            image=task.step.image or None,
            use=round(task.use, 2) if task.step.fills else None,
        )
        RUNS_ENDED.labels(ended.how).inc()
        vm.remove(task)
        self._jobs.note_started(task.job)
        self._take_checkpoint(task, ended.checkpoint)
        if ended.how in ("done", "failed") and not task.step.long_running:
            self._judge_vm(vm, task, ended.how == "failed", now)
        if task.job.status.final or task.state is TaskState.DONE:
            return
        if ended.how == "done" and not task.step.long_running:
            self._jobs.finish_task(task)
            self._end_if_final(task.job)
        elif ended.how == "failed" and self._fails_for_good(task, vm):
            task.state = TaskState.FAILED
            self._finish(task.job, JobStatus.FAILED)
        else:
            self._requeue(task, ended.how)

    def _judge_vm(self, vm: Vm, task: Task, failed: bool, now: float) -> None:
        self._fleet.quarantine.record(vm.incarnation, task.job.spec.job_id, failed, now)
        if not failed:
            self._speeds.observe(vm, task, now)

    @staticmethod
    def _take_checkpoint(task: Task, checkpoint: str) -> None:
        if not checkpoint:
            return
        task.checkpoint = checkpoint
        if task.step.gang:
            for member in job_members(task):
                member.checkpoint = checkpoint

    def _fails_for_good(self, task: Task, vm: Vm) -> bool:
        task.failed_on.add(vm.incarnation)
        if task.step.long_running:
            return False
        task.failures += 1
        self._jobs.dirty[task.job] = None
        members = job_members(task) if task.step.gang else [task]
        failures = sum(member.failures for member in members)
        return failures >= task.job.spec.queue.attempts

    def _end_if_final(self, job: Job) -> None:
        if job.status.final:
            self._tickets.forget(job.spec.job_id)

    def _finish(self, job: Job, status: JobStatus) -> None:
        """End a job and stop what runs of it."""
        self._jobs.finish(job, status)
        self._end_if_final(job)
        now = self._clock.now()
        for task in job.tasks():
            vm = self._fleet.find_by_life(task.runner)
            if task.state is TaskState.PLACED and vm is not None:
                self._stop(vm, task.task_id, task.run, now)

    def _requeue(self, task: Task, cause: str) -> None:
        """Make a task wait for its next run, and with it the rest of its gang."""
        vm = self._fleet.find_by_life(task.runner)
        if vm is not None:
            vm.remove(task)
        self._jobs.requeue(task, cause)
        if task.step.gang:
            now = self._clock.now()
            for member in job_members(task):
                holder = self._fleet.find_by_life(member.runner)
                if member.state is TaskState.PLACED and holder is not None:
                    self._stop(holder, member.task_id, member.run, now)
        self.wake.set()

    # Results of orders.

    def process_outcomes(self, vm: Vm, outcomes: Iterable[OrderOutcome]) -> None:
        """Take the direct results of starts."""
        with self._lock:
            for outcome in outcomes:
                task = vm.tasks_by_id.get(outcome.task_id)
                if task is None or task.run != outcome.run:
                    continue
                if outcome.outcome == "refused":
                    log_change(
                        logger,
                        "start refused",
                        task=task.task_id,
                        vm=vm.name,
                        run=task.run,
                        reason=outcome.reason,
                    )
                    self._requeue(task, f"refused: {outcome.reason}")
                elif outcome.outcome == "started":
                    self._jobs.note_started(task.job)

    def drop_orders(self, vm: Vm, starts: Iterable[PlannedStart]) -> None:
        """Put tasks back whose orders were not handed to the agent."""
        with self._lock:
            for start in starts:
                task = start.task
                placed = vm.tasks_by_id.get(task.task_id) is task
                if placed and task.run == start.run and not task.sent:
                    self._requeue(task, "order not sent")

    def make_starts(
        self, vm: Vm, starts: Iterable[PlannedStart]
    ) -> tuple[list[StartOrder], dict[str, str]]:
        """Return the orders for placed runs that are still wanted, as sent now."""
        with self._lock:
            orders = []
            payloads_by_job = {}
            for start in starts:
                task = start.task
                if not self._is_wanted(vm, start):
                    continue
                task.sent = True
                task.order_deadline = vm.lease_until
                profile = make_profile(task)
                orders.append(
                    StartOrder(
                        task.task_id, task.run, profile, task.checkpoint, task.ticket
                    )
                )
                payloads_by_job[task.job.spec.job_id] = task.job.spec.payload
            return orders, payloads_by_job

    def _is_wanted(self, vm: Vm, start: PlannedStart) -> bool:
        task = start.task
        return (
            vm.tasks_by_id.get(task.task_id) is task
            and task.run == start.run
            and not task.sent
            and not task.job.status.final
            and not vm.draining
            and self._fleet.is_open(vm.zone)
        )

    # Passes.

    def plan(self) -> Pass:
        """Place waiting tasks and return what to write and to send."""
        with self._lock:
            for task in list(self._fleet.take_lapsed()):
                self._requeue(task, "lease lapsed")
            self._jobs.add_due_occurrences()
            self._place()
            self._move()
            jobs = self._jobs.take_dirty(_JOBS_PER_COMMIT)
            ends = [] if self._jobs.dirty else list(self._collect_ends())
            if self._jobs.dirty:
                self.wake.set()
            return Pass(
                self._make_writes(jobs),
                {job: job.status for job in jobs},
                self._collect_works(),
                ends,
            )

    def _collect_ends(self) -> Iterable[RecordedEnds]:
        for vm in self._fleet.vms():
            if vm.ended_through > vm.recorded_through:
                yield RecordedEnds(vm, vm.incarnation, vm.ended_through)

    def _make_writes(self, jobs: list[Job]) -> tuple[RowWrite, ...]:
        writes = [
            RowWrite(PROGRESS, job.spec.job_id, encode_progress(job)) for job in jobs
        ]
        now = self._clock.now()
        if writes and now >= self._harm_at:
            self._harm_at = now + _HARM_INTERVAL
            writes.append(RowWrite(HARM, HARM_KEY, self._harm.encode()))
        return tuple(writes)

    def _collect_works(self) -> list[OrderBatch]:
        """Return the stops, and the starts whose placement this pass records."""
        works_by_vm: dict[Vm, OrderBatch] = {}
        unsent, self._unsent = self._unsent, []
        for start in unsent:
            if start.task.job in self._jobs.dirty:
                self._unsent.append(start)
                continue
            vm = self._fleet.find_by_life(start.task.runner)
            if vm is not None:
                works_by_vm.setdefault(vm, OrderBatch(vm)).starts.append(start)
        for vm, stops in self._stops.take().items():
            works_by_vm.setdefault(vm, OrderBatch(vm)).stops.extend(stops)
        return list(works_by_vm.values())

    def confirm(self, done: Pass) -> None:
        """Take note that the writes of a pass are recorded."""
        with self._lock:
            for job, status in done.statuses_by_job.items():
                job.recorded_status = status
            for ends in done.ends:
                if ends.vm.incarnation == ends.incarnation:
                    ends.vm.recorded_through = ends.through

    def _place(self) -> None:
        now = self._clock.now()
        vms = self._fleet.usable()
        if not vms:
            return
        self._placement.now = now
        missed_steps: set[tuple[Job, int, int]] = set()
        for task in sorted(self._jobs.ready, key=lambda task: _rank(task, now)):
            step = (task.job, task.key.occurrence, task.key.step)
            if step in missed_steps or task not in self._jobs.ready:
                continue
            if self._place_task(task, self._find_advised(task, vms), now):
                continue
            missed_steps.add(step)
            if len(missed_steps) >= _MISSES_PER_PASS:
                return

    def _find_advised(self, task: Task, vms: list[Vm]) -> list[Vm]:
        """Return the VMs for which there is a ticket, if the queue needs one."""
        if not task.job.spec.queue.advised:
            return vms
        advised = [vm for vm in vms if self._tickets.find(task, vm)]
        if not advised:
            self._tickets.want(task, vms)
        return advised

    def _place_task(self, task: Task, vms: list[Vm], now: float) -> bool:
        if task.step.gang:
            members = job_members(task)
            chosen = choose_for_gang(members, vms, self._placement)
            if chosen is None:
                return False
            run = max(member.run for member in members) + 1
            for member, vm in chosen.items():
                self._put(member, vm, run, now)
            return True
        found = self._placement.choose(task, vms)
        if found is None:
            return False
        found.add(task)
        self._put(task, found, task.run + 1, now)
        return True

    def _put(self, task: Task, vm: Vm, run: int, now: float) -> None:
        """Take a placement into the state; the VM has reserved the resources."""
        del self._jobs.ready[task]
        task.reset_run()
        task.state = TaskState.PLACED
        task.run = run
        task.runner = vm.incarnation
        task.placed_at = now
        task.order_deadline = float("inf")
        task.ticket = self._tickets.find(task, vm)
        self._fleet.quarantine.started(vm.incarnation, now)
        self._jobs.dirty[task.job] = None
        self._unsent.append(PlannedStart(task, run))
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

    def _move(self) -> None:
        """Stop tasks that have a better VM."""
        now = self._clock.now()
        if now < self._move_at:
            return
        self._move_at = now + _MOVE_INTERVAL
        usable = self._fleet.usable()
        moves = [
            *self._migration.choose(usable, now),
            *self._migration.choose_leaving(self._fleet.vms(), usable),
        ]
        for vm, task in moves:
            log_change(
                logger,
                "task moves",
                task=task.task_id,
                run=task.run,
                vm=vm.name,
                percent=task.percent,
                use=round(task.use, 2),
                draining=vm.draining,
            )
            task.stop_wanted = True
            self._stop(vm, task.task_id, task.run, now)


def _rank(task: Task, now: float) -> tuple[int, bool, float, str]:
    """Return the place of a task in the queue, the first being the smallest.

    Jobs that can still meet their objective go first, the most urgent of them in front;
    the others are late already, whatever is done.
    """
    job = task.job
    late = now > job.objective_at
    return (job.spec.queue.priority, late, job.objective_at, task.task_id)
