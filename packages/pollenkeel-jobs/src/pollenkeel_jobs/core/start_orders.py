"""Preparation of start orders and processing of their results."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from pollenkeel_jobs.core.advice import TicketCache
from pollenkeel_jobs.core.fleet import Fleet
from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.messages import OrderOutcome, StartOrder
from pollenkeel_jobs.core.passes import PlannedStart, PreparedStarts
from pollenkeel_jobs.core.run_control import RunControl
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.vms import Vm, make_profile
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Seconds after its order, or after the agent's reply that it has started, at which a
#: run that the worker does not list is revoked.
_UNLISTED_RUN_SECONDS = 1.5
#: Seconds after a refused start during which other VMs are preferred. Until the next
#: report of the VM it would be chosen again and again, as it has room.
_REFUSAL_SECONDS = 0.5


class StartOrders:
    """Prepares start orders and processes their results.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    control : RunControl
        Requeues the tasks that were not started.
    jobs : JobTable
        Jobs of the tasks.
    fleet : Fleet
        VMs that the tasks are placed on.
    tickets : TicketCache
        Tickets of the jobs' steps.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        control: RunControl,
        jobs: JobTable,
        fleet: Fleet,
        tickets: TicketCache,
        clock: Clock,
    ) -> None:
        self._control = control
        self._jobs = jobs
        self._fleet = fleet
        self._tickets = tickets
        self._clock = clock

    def process_outcomes(self, vm: Vm, outcomes: Iterable[OrderOutcome]) -> None:
        """Process an agent's replies to start orders."""
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
                now = self._clock.now()
                if outcome.reason == "ticket":
                    self._tickets.drop(task, vm)
                vm.avoided_until = max(vm.avoided_until, now + _REFUSAL_SECONDS)
                self._control.requeue(task, f"refused: {outcome.reason}")
            elif outcome.outcome == "started":
                task.listed_by = self._clock.now() + _UNLISTED_RUN_SECONDS
                self._jobs.mark_started(task.job)

    def drop(self, vm: Vm, starts: Iterable[PlannedStart]) -> None:
        """Requeue tasks whose start orders were not sent."""
        for start in starts:
            task = start.task
            placed = vm.tasks_by_id.get(task.task_id) is task
            if placed and task.run == start.run and not task.sent:
                self._control.requeue(task, "order not sent")

    def prepare(self, vm: Vm, starts: Iterable[PlannedStart]) -> PreparedStarts:
        """Return the start orders that still apply, and mark them as sent."""
        prepared = PreparedStarts(vm.incarnation, vm.lease_until)
        for start in starts:
            task = start.task
            if not self._is_start_valid(vm, start):
                continue
            task.sent = True
            task.order_deadline = prepared.deadline
            task.listed_by = self._clock.now() + _UNLISTED_RUN_SECONDS
            profile = make_profile(task)
            prepared.orders.append(
                StartOrder(
                    task.task_id, task.run, profile, start.checkpoint, task.ticket
                )
            )
            spec = task.job.spec
            prepared.payloads_by_job[spec.job_id] = spec.payload
        return prepared

    def _is_start_valid(self, vm: Vm, start: PlannedStart) -> bool:
        """Return whether a planned start still applies and may be sent now.

        The capacity of the VM may have shrunk below what is placed on it.
        """
        task = start.task
        return (
            vm.tasks_by_id.get(task.task_id) is task
            and task.run == start.run
            and not task.sent
            and not task.job.status.final
            and not vm.draining
            and not vm.starting
            and self._fleet.is_open(vm.zone)
            and vm.has_room_for(Demand())
        )
