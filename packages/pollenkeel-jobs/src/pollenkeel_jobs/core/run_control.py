"""Transitions of runs and jobs that reports, orders and passes of the leader share."""

from __future__ import annotations

import threading

import logbook

from pollenkeel_jobs.core.advice import TicketCache
from pollenkeel_jobs.core.fleet import Fleet
from pollenkeel_jobs.core.job_table import JobTable, list_step_tasks
from pollenkeel_jobs.core.metrics import RUN_COPIES, RUNS_LOST
from pollenkeel_jobs.core.model import Job, JobStatus, Task, TaskState
from pollenkeel_jobs.core.run_copies import (
    drop_copy,
    iterate_runs,
    promote_copy,
    separate,
)
from pollenkeel_jobs.core.stops import StopOrderQueue
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Number of given-up runs of a task whose late ends still count. Older ones are dropped
#: so that the record of the task stays small.
_MAX_UNHEARD_RUNS = 8


class RunControl:
    """Stops and requeues runs, and ends jobs.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    jobs : JobTable
        Jobs of the runs.
    fleet : Fleet
        VMs that the tasks are placed on.
    tickets : TicketCache
        Tickets of the jobs' steps.
    clock : Clock
        Source of time.
    wake : threading.Event
        Set if a pass has something to do.

    Attributes
    ----------
    stops : StopOrderQueue
        Stop orders to send.
    """

    def __init__(
        self,
        jobs: JobTable,
        fleet: Fleet,
        tickets: TicketCache,
        clock: Clock,
        wake: threading.Event,
    ) -> None:
        self.stops = StopOrderQueue()
        self._jobs = jobs
        self._fleet = fleet
        self._tickets = tickets
        self._clock = clock
        self._wake = wake

    def stop(self, vm: Vm, task_id: str, run: int, now: float) -> None:
        """Order a run to be stopped, or to be revoked if it has not started."""
        if self.stops.add(vm, task_id, run, now):
            self._wake.set()

    def finish(self, job: Job, status: JobStatus) -> None:
        """End a job and stop its runs."""
        self._jobs.finish(job, status)
        self.forget_tickets_if_final(job)
        now = self._clock.now()
        for task in job.tasks():
            for run in iterate_runs(task):
                vm = self._fleet.find_by_incarnation(run.runner)
                if run.state is TaskState.PLACED and vm is not None:
                    self.stop(vm, run.task_id, run.run, now)

    def requeue(self, task: Task, cause: str) -> None:
        """Requeue a placed task and stop the other members of its gang.

        If the run has a copy, or is one, the other of the two becomes the task's run.
        """
        vm = self._fleet.find_by_incarnation(task.runner)
        if vm is not None:
            vm.remove(task)
        if task.copy is not None or task.original is not None:
            self._keep_other_run(task, cause)
            return
        self._jobs.requeue(task, cause)
        if task.step.gang:
            now = self._clock.now()
            for member in list_step_tasks(task):
                holder = self._fleet.find_by_incarnation(member.runner)
                if member.state is TaskState.PLACED and holder is not None:
                    self.stop(holder, member.task_id, member.run, now)
        self._wake.set()

    def _keep_other_run(self, lost: Task, cause: str) -> None:
        """Continue with the other one of two runs of a task after one was lost."""
        job = lost.job
        log_change(
            logger,
            "run lost",
            task=lost.task_id,
            run=lost.run,
            cause=cause,
            copy=lost.original is not None,
        )
        RUNS_LOST.labels(cause.partition(":")[0]).inc()
        if lost.original is not None:
            RUN_COPIES.labels("lost").inc()
            drop_copy(lost)
        elif not job.status.final:
            kept = promote_copy(lost)
            RUN_COPIES.labels("promoted").inc()
            log_change(
                logger, "copy is the task's run", task=kept.task_id, run=kept.run
            )
        if not job.status.final:
            self._jobs.dirty[job] = None
        self._wake.set()

    def end_other_run(self, ended: Task) -> None:
        """Stop the other run of a task that one run or a late end has finished.

        Its own end has no effect. It keeps its room until its worker lists it as ended,
        unless its order has not been sent.
        """
        other = ended.copy or ended.original
        if other is None:
            return
        RUN_COPIES.labels("won" if ended.original else "superseded").inc()
        log_change(
            logger,
            "other run of the task superseded",
            task=ended.task_id,
            run=other.run,
            by=ended.run,
            by_copy=ended.original is not None,
        )
        separate(ended)
        self.supersede(other)

    def supersede(self, run: Task) -> None:
        """Stop a run whose task is done; its end has no effect."""
        vm = self._fleet.find_by_incarnation(run.runner)
        if vm is not None and run.awaits_order:
            vm.remove(run)
        elif vm is not None:
            self.stop(vm, run.task_id, run.run, self._clock.now())
        run.stop_wanted = True
        run.state = TaskState.DONE

    def give_up(self, task: Task) -> None:
        """Requeue a task whose worker's lease has expired.

        The end of the run may still be reported later.
        """
        if not task.step.long_running and not task.awaits_order:
            record = task.original or task
            record.unheard_runs |= {task.run}
            if len(record.unheard_runs) > _MAX_UNHEARD_RUNS:
                record.unheard_runs -= {min(record.unheard_runs)}
        self.requeue(task, "lease lapsed")

    def forget_tickets_if_final(self, job: Job) -> None:
        """Drop the tickets of a job that has ended."""
        if job.status.final:
            self._tickets.forget(job.spec.job_id)
