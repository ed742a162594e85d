"""Tickets of the external advice service.

Some steps may start on a worker only with a ticket that this service has issued for the
step and the worker.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs
from result import Result

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock

#: Maximum number of workers in one request.
_MAX_WORKERS_PER_CALL = 30
#: Part of a ticket's validity that is reserved for delivery of the order, in seconds.
_DELIVERY_RESERVE_SECONDS = 0.5
#: Maximum number of requests that wait for the advice service, which handles one at a
#: time. The most urgent steps of a pass fill the places that are free.
_MAX_PENDING_QUESTIONS = 12
#: Minimum time between two requests for the same step, in seconds.
_REPEAT_INTERVAL = 1.0


@attrs.frozen
class Advice:
    """Reply of the advice service.

    Attributes
    ----------
    tickets_by_worker : dict of str to str
        Tickets by the id of each worker that may run the step.
    valid : float
        Validity of the tickets, in seconds.
    """

    tickets_by_worker: dict[str, str]
    valid: float


@attrs.frozen
class AdviceQuestion:
    """Request that asks which of the given workers may run a step.

    Attributes
    ----------
    incarnations : list of str
        Incarnations of the workers; a ticket is valid for one only.
    """

    step_id: str
    incarnations: list[str]

    @property
    def worker_ids(self) -> list[str]:
        """Ids of the workers."""
        return [_get_worker_id(incarnation) for incarnation in self.incarnations]


class AdviceService(ABC):
    """Client of the advice service."""

    @abstractmethod
    def ask(self, question: AdviceQuestion) -> Result[Advice, str]:
        """Return the reply of the service, or the cause of the failure."""


@attrs.frozen
class _Ticket:
    """A ticket, and the time until which it is valid, in seconds of the clock."""

    value: str
    valid_until: float


@attrs.define
class _StepTickets:
    """Tickets of one step; ``refused`` holds the incarnations that got none."""

    tickets_by_incarnation: dict[str, _Ticket] = attrs.field(factory=dict)
    asked_at: float = 0.0
    refused: set[str] = attrs.field(factory=set)


class TicketCache:
    """Caches tickets and queues the requests for missing ones.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tickets_by_step: dict[str, _StepTickets] = {}
        self._pending_questions_by_step: dict[str, AdviceQuestion] = {}

    def find(self, task: Task, vm: Vm) -> str:
        """Return a valid ticket for a task on a VM, or an empty string."""
        step = self._tickets_by_step.get(_get_step_id(task))
        ticket = step.tickets_by_incarnation.get(vm.incarnation) if step else None
        if ticket is None or self._clock.now() > ticket.valid_until:
            return ""
        return ticket.value

    def drop(self, task: Task, vm: Vm) -> None:
        """Drop the ticket for a task on a VM, which the worker has rejected."""
        step = self._tickets_by_step.get(_get_step_id(task))
        if step is not None:
            step.tickets_by_incarnation.pop(vm.incarnation, None)

    def has_tickets(self, task: Task) -> bool:
        """Return whether a task's step has a valid ticket for any VM."""
        step = self._tickets_by_step.get(_get_step_id(task))
        now = self._clock.now()
        return step is not None and any(
            now <= ticket.valid_until for ticket in step.tickets_by_incarnation.values()
        )

    def may_request(self, task: Task) -> bool:
        """Return whether tickets of a task's step may be requested again now."""
        step = self._tickets_by_step.get(_get_step_id(task))
        return step is None or self._clock.now() - step.asked_at >= _REPEAT_INTERVAL

    def request_tickets(self, task: Task, vms: Iterable[Vm]) -> None:
        """Queue a request for tickets of a task's step, least loaded VMs first.

        Does nothing if too many requests wait already; a later pass asks again.
        """
        step_id = _get_step_id(task)
        pending = self._pending_questions_by_step
        if step_id not in pending and len(pending) >= _MAX_PENDING_QUESTIONS:
            return
        if not self.may_request(task):
            return
        step = self._tickets_by_step.setdefault(step_id, _StepTickets())
        candidates = sorted(vms, key=lambda vm: vm.cpu_load)
        eligible = [vm for vm in candidates if vm.incarnation not in step.refused]
        if eligible:
            asked = eligible[:_MAX_WORKERS_PER_CALL]
            self._pending_questions_by_step[step_id] = AdviceQuestion(
                step_id, [vm.incarnation for vm in asked]
            )

    def pop_question(self) -> AdviceQuestion | None:
        """Remove and return the next request, or None if the queue is empty."""
        if not self._pending_questions_by_step:
            return None
        question = self._pending_questions_by_step.pop(
            next(iter(self._pending_questions_by_step))
        )
        self._tickets_by_step[question.step_id].asked_at = self._clock.now()
        return question

    def store_advice(
        self, question: AdviceQuestion, advice: Advice, asked_at: float
    ) -> None:
        """Store the tickets of a reply; ``asked_at`` is the time of the request."""
        step = self._tickets_by_step.setdefault(question.step_id, _StepTickets())
        valid_until = asked_at + advice.valid - _DELIVERY_RESERVE_SECONDS
        for incarnation in question.incarnations:
            ticket = advice.tickets_by_worker.get(_get_worker_id(incarnation))
            if ticket is None:
                # The service never changes its decision for a step and a worker.
                step.refused.add(incarnation)
            else:
                step.tickets_by_incarnation[incarnation] = _Ticket(ticket, valid_until)

    def forget(self, job_id: str) -> None:
        """Drop the tickets and requests of a job that has ended."""
        for step_id in list(self._tickets_by_step):
            if step_id.partition(".")[0] == job_id:
                del self._tickets_by_step[step_id]
                self._pending_questions_by_step.pop(step_id, None)


def _get_step_id(task: Task) -> str:
    return task.task_id.rpartition(".")[0]


def _get_worker_id(incarnation: str) -> str:
    """Return the worker id from the ``VM/WORKER~START`` form of an incarnation."""
    return incarnation.partition("/")[2].rpartition("~")[0]
