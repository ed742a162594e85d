"""The leader's state and decisions: jobs, tasks, VMs and what to record."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator

import attrs
import logbook

from pollenkeel_jobs.core.harm import HarmModel
from pollenkeel_jobs.core.messages import (
    EndedTask,
    OrderOutcome,
    RunningTask,
    StartOrder,
    StopOrder,
    VmReport,
    VmReportReply,
)
from pollenkeel_jobs.core.migration import Migration
from pollenkeel_jobs.core.model import (
    Job,
    JobSpec,
    JobStatus,
    Task,
    TaskState,
    parse_task_id,
)
from pollenkeel_jobs.core.names import HARM, HARM_KEY, PROGRESS
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.placement import LeastLoaded
from pollenkeel_jobs.core.records import (
    RecordError,
    apply_progress,
    decode_job,
    encode_progress,
)
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.tables import RowWrite
from pollenkeel_jobs.core.vms import Vm, make_profile
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.policy.quarantine import ConsecutiveFailures

logger = logbook.Logger("scheduler")

#: Lease granted to a worker, in seconds on its clock; outlasts a change of leader.
WORKER_LEASE = 5.0
#: Factor by which a worker's clock may be slow, with some reserve.
_CLOCK_FACTOR = 1.03
#: Reserve added to the computed end of a lease, in seconds.
_LAPSE_RESERVE = 0.4
#: Jobs written in one transaction.
_JOBS_PER_COMMIT = 60
#: Seconds between two orders to stop the same run.
_STOP_INTERVAL = 0.5
#: Seconds after its order at which a run that is not listed is withdrawn.
_UNSEEN_SECONDS = 1.5
#: Seconds for which ended jobs are kept in memory.
_KEEP_SECONDS = 120.0
#: Seconds for which the operators' orders count as known after they were read.
_OPERATIONS_SECONDS = 4.0
#: Share of its declared processor use below which a filling task is starved.
_STARVED_SHARE = 0.4
#: Seconds after the start of a run before its figures count.
_WARM_UP_SECONDS = 0.8
#: Seconds without progress after which a run counts as stalled.
_STALL_SECONDS = 2.0
#: Percent that a long-running task shows while it is at work.
_AT_WORK = 100
#: Seconds between two looks for tasks to move.
_MOVE_INTERVAL = 0.4
#: Seconds between two records of the learnt interference.
_HARM_INTERVAL = 4.0
#: Tasks that found no place after which a pass over the queue ends.
_MISSES_PER_PASS = 12


@attrs.define
class VmWork:
    """Orders for one VM that result from a pass."""

    vm: Vm
    starts: list[Task] = attrs.field(factory=list)
    stops: list[StopOrder] = attrs.field(factory=list)


@attrs.define
class Pass:
    """Result of one pass of the scheduler.

    Attributes
    ----------
    writes : tuple of RowWrite
        Progress to record before anything else of the pass takes effect.
    jobs : list of Job
        Jobs whose progress is written, with the status that is recorded.
    works : list of VmWork
        Orders to send after the write.
    ended_through_by_vm : dict of Vm to (str, int)
        Life of the worker and number of the last end whose effect is recorded by the
        write.
    """

    writes: tuple[RowWrite, ...]
    jobs: list[tuple[Job, JobStatus]]
    works: list[VmWork]
    ended_through_by_vm: dict[Vm, tuple[str, int]]


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

    def __init__(self, epoch: int, clock: Clock, harm: HarmModel) -> None:
        self.epoch = epoch
        self.wake = threading.Event()
        self._clock = clock
        self._lock = threading.RLock()
        self._began_at = clock.now()
        self._jobs_by_id: dict[str, Job] = {}
        self._ended_at_by_id: dict[str, float] = {}
        self._vms_by_name: dict[str, Vm] = {}
        self._vms_by_life: dict[str, Vm] = {}
        self._orphans_by_life: dict[str, dict[str, Task]] = {}
        self._ready: dict[Task, None] = {}
        self._dirty: dict[Job, None] = {}
        self._stops: dict[tuple[str, int], tuple[str, float]] = {}
        self._new_stops: dict[str, list[StopOrder]] = {}
        self._operations = Operations()
        self._operations_until = 0.0
        self._harm = harm
        self._placement = LeastLoaded(self._harm)
        self._migration = Migration(self._placement)
        self._speeds = VmSpeeds()
        self._move_at = 0.0
        self._harm_at = 0.0
        self._quarantine = ConsecutiveFailures(failures=2, pause=4.0, longest_pause=30)

    # Jobs.

    def load(self, rows: Iterable[tuple[bytes, bytes | None]]) -> None:
        """Take the recorded jobs over from the leader before.

        Parameters
        ----------
        rows : iterable of (bytes, bytes or None)
            Row of each job and of its progress, if there is one.
        """
        with self._lock:
            for job_row, progress_row in rows:
                try:
                    job = Job(decode_job(job_row), self._clock.now())
                    if progress_row is not None:
                        apply_progress(job, progress_row)
                except RecordError as error:
                    logger.error("job cannot be loaded", extra={"cause": str(error)})
                    continue
                self._adopt(job)
            for job in self._jobs_by_id.values():
                for task in job.tasks():
                    if task.state is TaskState.PLACED:
                        orphans = self._orphans_by_life.setdefault(task.runner, {})
                        orphans[task.task_id] = task

    def add_job(self, spec: JobSpec) -> None:
        """Take a newly stored job; one that is known already is ignored."""
        with self._lock:
            if spec.job_id in self._jobs_by_id:
                return
            self._adopt(Job(spec, self._clock.now()))
        log_change(logger, "job taken", job=spec.job_id, queue=spec.queue.name)
        self.wake.set()

    def _adopt(self, job: Job) -> None:
        self._jobs_by_id[job.spec.job_id] = job
        if job.status.final:
            self._ended_at_by_id[job.spec.job_id] = self._clock.now()
            return
        if not job.spec.occurrences and not job.has_occurrence(0):
            job.add_occurrence(0)
        self._refresh_ready(job)

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored."""
        with self._lock:
            job = self._jobs_by_id.get(job_id)
            if job is None or job.cancelled:
                return
            job.cancelled = True
            if not job.status.final:
                self._finish(job, JobStatus.CANCELLED)
        self.wake.set()

    def find_status(self, job_id: str) -> JobStatus | None:
        """Return the recorded status of a job, or None if it is not known."""
        with self._lock:
            job = self._jobs_by_id.get(job_id)
            return job.recorded_status if job else None

    def count_waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        with self._lock:
            return sum(
                1
                for job in self._jobs_by_id.values()
                if job.spec.queue.name == queue
                and not job.started
                and not job.status.final
            )

    def follow_operations(self, operations: Operations, confirmed_at: float) -> None:
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
            self._operations = operations
            self._operations_until = confirmed_at + _OPERATIONS_SECONDS

    # VMs.

    def add_vm(self, name: str, address: str) -> Vm:
        """Return the VM of this name, which is new or has a new address."""
        with self._lock:
            vm = self._vms_by_name.get(name)
            if vm is None:
                vm = Vm(name, address)
                self._vms_by_name[name] = vm
            vm.address = address
            return vm

    def take_report(self, report: VmReport, grants: bool) -> VmReportReply:
        """Take a VM's report and return the lease and what is recorded.

        Parameters
        ----------
        report : VmReport
            State of the VM.
        grants : bool
            The lease of leadership is valid, so the worker's lease may be extended.
        """
        with self._lock:
            vm = self._vms_by_name.get(report.vm)
            if vm is None or report.epoch != self.epoch or not report.worker:
                return self._reply(vm)
            now = self._clock.now()
            vm.heard_at = now
            if report.worker != vm.life:
                self._take_life(vm, report.worker)
            vm.service = report.service
            vm.zone = report.zone
            vm.capacity = report.capacity
            vm.labels = frozenset(report.labels)
            vm.draining = report.state != "ready"
            if report.clock:
                self._take_lists(vm, report, now)
                self._note_pressure(vm, report)
                self._harm.observe(
                    vm.name, report.running, vm.profiles_by_task, vm.capacity.cpu, now
                )
            if report.clock and grants:
                vm.lease_until = report.clock + WORKER_LEASE * 1000
                lapse = WORKER_LEASE * _CLOCK_FACTOR + _LAPSE_RESERVE
                vm.lapsed_at = max(vm.lapsed_at, now + lapse)
            return self._reply(vm, report.unprofiled)

    def _reply(self, vm: Vm | None, unprofiled: Iterable[str] = ()) -> VmReportReply:
        now = self._clock.now()
        if vm is None:
            return VmReportReply("", now, self.epoch)
        profiles = [
            vm.profiles_by_task[task_id]
            for task_id in unprofiled
            if task_id in vm.profiles_by_task
        ]
        harms = self._harm.pairs(vm.serving_images, vm.filling_images)
        return VmReportReply(
            "",
            now,
            self.epoch,
            vm.life,
            vm.lease_until,
            vm.recorded_through,
            profiles,
            list(harms),
        )

    def _take_life(self, vm: Vm, life: str) -> None:
        log_change(logger, "worker known", vm=vm.name, worker=life, before=vm.life)
        for task in list(vm.tasks_by_id.values()):
            self._requeue(task, "worker restarted")
        self._vms_by_life.pop(vm.life, None)
        self._vms_by_life[life] = vm
        vm_name = life.partition("/")[0]
        for other in list(self._orphans_by_life):
            if other != life and other.partition("/")[0] == vm_name:
                for task in self._orphans_by_life.pop(other).values():
                    self._requeue(task, "worker restarted")
        vm.life = life
        vm.used = attrs.evolve(vm.used, cpu=0, memory=0, accelerators=0)
        vm.fenced = False
        vm.lease_until = 0.0
        vm.ended_through = vm.recorded_through = 0
        for task in self._orphans_by_life.pop(life, {}).values():
            vm.add(task)

    def _take_lists(self, vm: Vm, report: VmReport, now: float) -> None:
        vm.clock = report.clock
        vm.fenced = report.fenced_epoch == self.epoch
        listed = set()
        for running in report.running:
            listed.add((running.task_id, running.run))
            task = vm.tasks_by_id.get(running.task_id)
            if task is None or task.run != running.run:
                self._stop(vm, running.task_id, running.run, now)
                continue
            if not task.seen_at:
                task.seen_at = now
                self._note_started(task.job)
            if running.checkpoint:
                task.checkpoint = running.checkpoint
            paced = report.paced and task.step.fills
            self._note_use(vm, task, running, paced, now)
            if task.job.status.final or task.stop_wanted:
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

    def _stop_stalled(self, vm: Vm, task: Task, now: float) -> None:
        """Stop a run that makes no progress, unless it is at work for good."""
        if task.step.long_running and task.percent >= _AT_WORK:
            return
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
        task.failed_on.add(vm.life)
        self._quarantine.record(vm.life, task.job.spec.job_id, True, now)
        self._stop(vm, task.task_id, task.run, now)

    def _note_use(
        self, vm: Vm, task: Task, running: RunningTask, paced: bool, now: float
    ) -> None:
        """Keep what the figures say of a run."""
        if running.percent != task.percent or not task.progress_at or paced:
            task.percent = running.percent
            task.progress_at = now
        step = task.step
        if now - task.progress_at > _STALL_SECONDS and not task.stop_wanted:
            self._stop_stalled(vm, task, now)
        if not step.fills:
            return
        starved = running.figure < _STARVED_SHARE * step.demand.cpu
        if not starved or now - task.seen_at < _WARM_UP_SECONDS:
            task.starved_since = 0.0
        elif not task.starved_since:
            task.starved_since = now

    def _note_pressure(self, vm: Vm, report: VmReport) -> None:
        vm.pressure_by_image.clear()
        for running in report.running:
            profile = vm.profiles_by_task.get(running.task_id)
            if profile is not None and profile.latency_target:
                pressure = running.figure / profile.latency_target
                known = vm.pressure_by_image.get(profile.image, 0.0)
                vm.pressure_by_image[profile.image] = max(known, pressure)

    def _move_starved(self, now: float) -> None:
        """Stop filling tasks that have a better VM."""
        if now < self._move_at:
            return
        self._move_at = now + _MOVE_INTERVAL
        for vm, task in self._migration.choose(self._usable_vms(now), now):
            log_change(
                logger,
                "task moves",
                task=task.task_id,
                run=task.run,
                vm=vm.name,
                percent=task.percent,
                starved=round(now - task.starved_since, 2),
            )
            task.stop_wanted = True
            self._stop(vm, task.task_id, task.run, now)

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

    def _stop(self, vm: Vm, task_id: str, run: int, now: float) -> None:
        life, again_at = self._stops.get((task_id, run), ("", 0.0))
        if life == vm.life and now < again_at:
            return
        self._stops[task_id, run] = (vm.life, now + _STOP_INTERVAL)
        self._new_stops.setdefault(vm.name, []).append(StopOrder(task_id, run))
        self.wake.set()

    def take_outcomes(self, vm: Vm, outcomes: Iterable[OrderOutcome]) -> None:
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
                    self._note_started(task.job)

    def drop_orders(self, vm: Vm, tasks: Iterable[Task]) -> None:
        """Put tasks back whose orders were not handed to the agent."""
        with self._lock:
            for task in tasks:
                if vm.tasks_by_id.get(task.task_id) is task and not task.sent:
                    self._requeue(task, "order not sent")

    def expire_vms(self) -> None:
        """Put back the tasks of VMs whose leases have surely ended."""
        with self._lock:
            now = self._clock.now()
            for vm in self._vms_by_name.values():
                if vm.tasks_by_id and vm.lapsed_at and now > vm.lapsed_at:
                    for task in list(vm.tasks_by_id.values()):
                        self._requeue(task, "lease lapsed")
            bound = WORKER_LEASE * _CLOCK_FACTOR + _LAPSE_RESERVE
            if now > self._began_at + bound:
                for tasks in self._orphans_by_life.values():
                    for task in tasks.values():
                        self._requeue(task, "lease lapsed")
                self._orphans_by_life.clear()

    # Ends.

    def _take_end(self, vm: Vm, ended: EndedTask, now: float) -> None:
        parsed = parse_task_id(ended.task_id)
        job = self._jobs_by_id.get(parsed[0]) if parsed else None
        if parsed is None or job is None:
            return
        self._stops.pop((ended.task_id, ended.run), None)
        task = job.task(parsed[1])
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
            seconds=round(now - task.placed_at, 3),
        )
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        vm.remove(task)
        self._ready.pop(task, None)
        self._note_started(job)
        if ended.how in ("done", "failed"):
            failed = ended.how == "failed"
            if not task.step.long_running:
                self._quarantine.record(vm.life, job.spec.job_id, failed, now)
                if not failed:
                    self._speeds.observe(vm, task, now)
        if job.status.final:
            task.state = TaskState.WAITING
            return
        if ended.how == "done" and not task.step.long_running:
            self._finish_task(task)
        elif ended.how == "failed" and self._fails_for_good(task, vm):
            task.state = TaskState.FAILED
            self._finish(job, JobStatus.FAILED)
        else:
            self._requeue(task, ended.how)

    def _fails_for_good(self, task: Task, vm: Vm) -> bool:
        task.failed_on.add(vm.life)
        if task.step.long_running:
            return False
        task.failures += 1
        return task.failures >= task.job.spec.queue.attempts

    def _finish_task(self, task: Task) -> None:
        job = task.job
        task.state = TaskState.DONE
        self._dirty[job] = None
        if all(peer.state is TaskState.DONE for peer in job.tasks()):
            self._finish(job, JobStatus.DONE)
        elif job.is_step_done(task.key.occurrence, task.key.step):
            self._refresh_ready(job)

    def _finish(self, job: Job, status: JobStatus) -> None:
        log_change(logger, "job ended", job=job.spec.job_id, status=status.value)
        job.status = status
        self._dirty[job] = None
        self._ended_at_by_id[job.spec.job_id] = self._clock.now()
        now = self._clock.now()
        for task in job.tasks():
            self._ready.pop(task, None)
            vm = self._vms_by_life.get(task.runner)
            if task.state is TaskState.PLACED and vm is not None:
                self._stop(vm, task.task_id, task.run, now)

    def _note_started(self, job: Job) -> None:
        if not job.started:
            job.started = True
            if job.status is JobStatus.QUEUED:
                job.status = JobStatus.RUNNING
            self._dirty[job] = None

    def _requeue(self, task: Task, cause: str) -> None:
        """Make a task wait for its next run."""
        vm = self._vms_by_life.get(task.runner)
        if vm is not None:
            vm.remove(task)
        if task.state is not TaskState.PLACED:
            return
        log_change(logger, "run lost", task=task.task_id, run=task.run, cause=cause)
        task.state = TaskState.WAITING
        task.seen_at = task.progress_at = 0.0
        task.percent = 0
        task.sent = False
        task.stop_wanted = False
        task.starved_since = 0.0
        if task.job.status.final:
            return
        self._dirty[task.job] = None
        self._make_ready(task)

    def _refresh_ready(self, job: Job) -> None:
        for task in job.tasks():
            if task.state is TaskState.WAITING and job.is_ready(task):
                self._make_ready(task)

    def _make_ready(self, task: Task) -> None:
        task.ready_at = self._clock.now()
        self._ready[task] = None
        self.wake.set()

    # Passes.

    def plan(self) -> Pass:
        """Place waiting tasks and return what to write and to send."""
        with self._lock:
            self.expire_vms()
            works = self._place()
            self._move_starved(self._clock.now())
            for name, stops in self._new_stops.items():
                vm = self._vms_by_name[name]
                works.setdefault(vm, VmWork(vm)).stops.extend(stops)
            self._new_stops.clear()
            jobs = list(self._dirty)[:_JOBS_PER_COMMIT]
            for job in jobs:
                del self._dirty[job]
            ended = {}
            if not self._dirty:
                ended = {
                    vm: (vm.life, vm.ended_through)
                    for vm in self._vms_by_name.values()
                    if vm.ended_through > vm.recorded_through
                }
            else:
                self.wake.set()
            writes = tuple(
                RowWrite(PROGRESS, job.spec.job_id, encode_progress(job))
                for job in jobs
            )
            now = self._clock.now()
            if writes and now >= self._harm_at:
                self._harm_at = now + _HARM_INTERVAL
                writes += (RowWrite(HARM, HARM_KEY, self._harm.encode()),)
            statuses = [(job, job.status) for job in jobs]
            return Pass(writes, statuses, list(works.values()), ended)

    def confirm(self, done: Pass) -> None:
        """Take note that the writes of a pass are recorded."""
        with self._lock:
            for job, status in done.jobs:
                job.recorded_status = status
            for vm, (life, number) in done.ended_through_by_vm.items():
                if vm.life == life:
                    vm.recorded_through = max(vm.recorded_through, number)

    def make_starts(
        self, vm: Vm, tasks: Iterable[Task]
    ) -> tuple[list[StartOrder], dict[str, str]]:
        """Return the orders for placed tasks that are still wanted, as sent now."""
        with self._lock:
            starts = []
            payloads_by_job = {}
            for task in tasks:
                wanted = (
                    vm.tasks_by_id.get(task.task_id) is task
                    and not task.sent
                    and not task.job.status.final
                )
                if not wanted or vm.draining or not self._is_open(vm.zone):
                    continue
                task.sent = True
                task.order_deadline = vm.lease_until
                starts.append(
                    StartOrder(
                        task.task_id,
                        task.run,
                        make_profile(task),
                        task.checkpoint,
                        task.ticket,
                    )
                )
                spec = task.job.spec
                payloads_by_job[spec.job_id] = spec.payload
            return starts, payloads_by_job

    def _place(self) -> dict[Vm, VmWork]:
        now = self._clock.now()
        works: dict[Vm, VmWork] = {}
        vms = self._usable_vms(now)
        if not vms:
            return works
        misses = 0
        missed_steps = set()
        for task in sorted(self._ready, key=lambda task: _rank(task, now)):
            step = (task.job, task.key.occurrence, task.key.step)
            if step in missed_steps:
                continue
            vm = self._placement.choose(task, vms)
            if vm is None:
                missed_steps.add(step)
                misses += 1
                if misses >= _MISSES_PER_PASS:
                    break
                continue
            self._put(task, vm, now)
            works.setdefault(vm, VmWork(vm)).starts.append(task)
        return works

    def _usable_vms(self, now: float) -> list[Vm]:
        return [
            vm
            for vm in self._vms_by_name.values()
            if vm.is_usable(now)
            and self._is_open(vm.zone)
            and self._quarantine.allowed(vm.life, now)
        ]

    def _is_open(self, zone: str) -> bool:
        known = self._clock.now() < self._operations_until
        return known and zone not in self._operations.closed_zones

    def _put(self, task: Task, vm: Vm, now: float) -> None:
        del self._ready[task]
        task.state = TaskState.PLACED
        task.run += 1
        task.runner = vm.life
        task.placed_at = now
        task.seen_at = 0.0
        task.sent = False
        task.order_deadline = float("inf")
        vm.add(task)
        self._quarantine.started(vm.life, now)
        self._dirty[task.job] = None
        log_change(
            logger,
            "task placed",
            task=task.task_id,
            run=task.run,
            vm=vm.name,
            waited=round(now - task.ready_at, 3),
            load=round(vm.cpu_load, 2),
        )

    def vms(self) -> list[Vm]:
        """Return all VMs."""
        with self._lock:
            return list(self._vms_by_name.values())

    def forget_old_jobs(self) -> Iterator[str]:
        """Drop jobs that ended long ago and yield their ids."""
        with self._lock:
            limit = self._clock.now() - _KEEP_SECONDS
            for job_id, ended_at in list(self._ended_at_by_id.items()):
                if ended_at < limit:
                    del self._ended_at_by_id[job_id]
                    del self._jobs_by_id[job_id]
                    yield job_id


def _rank(task: Task, now: float) -> tuple[int, bool, float, str]:
    """Return the place of a task in the queue, the first being the smallest.

    Jobs that can still meet their objective go first, the most urgent of them in front;
    the others are late already, whatever is done.
    """
    job = task.job
    late = now > job.objective_at
    return (job.spec.queue.priority, late, job.objective_at, task.task_id)
