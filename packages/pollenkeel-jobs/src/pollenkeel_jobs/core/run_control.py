"""Transitions of runs and jobs that reports, orders and passes of the leader share."""

from __future__ import annotations

import threading

from pollenkeel_jobs.core.advice import TicketCache
from pollenkeel_jobs.core.fleet import Fleet
from pollenkeel_jobs.core.job_table import JobTable, list_step_tasks
from pollenkeel_jobs.core.model import Job, JobStatus, Task, TaskState
from pollenkeel_jobs.core.stops import StopOrderQueue
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock

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
            vm = self._fleet.find_by_incarnation(task.runner)
            if task.state is TaskState.PLACED and vm is not None:
                self.stop(vm, task.task_id, task.run, now)

    def requeue(self, task: Task, cause: str) -> None:
        """Requeue a placed task and stop the other members of its gang."""
        vm = self._fleet.find_by_incarnation(task.runner)
        if vm is not None:
            vm.remove(task)
        self._jobs.requeue(task, cause)
        if task.step.gang:
            now = self._clock.now()
            for member in list_step_tasks(task):
                holder = self._fleet.find_by_incarnation(member.runner)
                if member.state is TaskState.PLACED and holder is not None:
                    self.stop(holder, member.task_id, member.run, now)
        self._wake.set()

    def give_up(self, task: Task) -> None:
        """Requeue a task whose worker's lease has expired.

        The end of the run may still be reported later.
        """
        if not task.step.long_running and not task.awaits_order:
            task.unheard_runs |= {task.run}
            if len(task.unheard_runs) > _MAX_UNHEARD_RUNS:
                task.unheard_runs -= {min(task.unheard_runs)}
        self.requeue(task, "lease lapsed")

    def forget_tickets_if_final(self, job: Job) -> None:
        """Drop the tickets of a job that has ended."""
        if job.status.final:
            self._tickets.forget(job.spec.job_id)
