"""Tickets of an external advice service, without which some steps may not start."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs
from result import Result

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock

#: Most workers named in one call.
_WORKERS_PER_CALL = 30
#: Part of a ticket's validity that is kept for the order to arrive, in seconds.
_RESERVE_SECONDS = 0.5
#: Seconds between two calls for the same step.
_REPEAT_SECONDS = 1.0


@attrs.frozen
class Advice:
    """Answer of the service.

    Attributes
    ----------
    tickets_by_worker : dict of str to str
        Tickets of the workers that may run the step.
    valid : float
        Seconds for which the tickets are valid.
    """

    tickets_by_worker: dict[str, str]
    valid: float


@attrs.frozen
class AdviceQuestion:
    """Asks which of some workers may run a step."""

    step_id: str
    worker_ids: list[str]


class AdviceService(ABC):
    """Client of the advice service."""

    @abstractmethod
    def ask(self, question: AdviceQuestion) -> Result[Advice, str]:
        """Return the advice, or why there is none."""


@attrs.define
class _StepTickets:
    tickets_by_worker: dict[str, str] = attrs.field(factory=dict)
    valid_until: float = 0.0
    asked_at: float = 0.0
    refused: set[str] = attrs.field(factory=set)


class TicketBook:
    """Keeps tickets and decides what to ask for next.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tickets_by_step: dict[str, _StepTickets] = {}
        self._wanted: dict[str, AdviceQuestion] = {}

    def find(self, task: Task, vm: Vm) -> str:
        """Return a valid ticket for a task on a VM, or an empty text."""
        step = self._tickets_by_step.get(_get_step_id(task))
        if step is None or self._clock.now() > step.valid_until:
            return ""
        return step.tickets_by_worker.get(_get_worker_id(vm), "")

    def want(self, task: Task, vms: Iterable[Vm]) -> None:
        """Note that a step waits for tickets."""
        step_id = _get_step_id(task)
        step = self._tickets_by_step.setdefault(step_id, _StepTickets())
        if self._clock.now() - step.asked_at < _REPEAT_SECONDS:
            return
        candidates = sorted(vms, key=lambda vm: vm.cpu_load)
        worker_ids = [_get_worker_id(vm) for vm in candidates]
        useful = [worker for worker in worker_ids if worker not in step.refused]
        if useful:
            question = AdviceQuestion(step_id, useful[:_WORKERS_PER_CALL])
            self._wanted[step_id] = question

    def take_question(self) -> AdviceQuestion | None:
        """Remove and return the next question, or None if there is none."""
        if not self._wanted:
            return None
        question = self._wanted.pop(next(iter(self._wanted)))
        self._tickets_by_step[question.step_id].asked_at = self._clock.now()
        return question

    def take_advice(
        self, question: AdviceQuestion, advice: Advice, asked_at: float
    ) -> None:
        """Keep the tickets of an answer; ``asked_at`` is when the call began."""
        step = self._tickets_by_step.setdefault(question.step_id, _StepTickets())
        step.tickets_by_worker.update(advice.tickets_by_worker)
        step.valid_until = asked_at + advice.valid - _RESERVE_SECONDS
        # The answer of the service for a step and a worker does not change.
        step.refused |= set(question.worker_ids) - set(advice.tickets_by_worker)

    def forget(self, job_id: str) -> None:
        """Drop the tickets of a job that has ended."""
        for step_id in list(self._tickets_by_step):
            if step_id.partition(".")[0] == job_id:
                del self._tickets_by_step[step_id]
                self._wanted.pop(step_id, None)


def _get_step_id(task: Task) -> str:
    return task.task_id.rpartition(".")[0]


def _get_worker_id(vm: Vm) -> str:
    return vm.incarnation.partition("/")[2].rpartition("~")[0]
