"""Log lines on placements: why steps wait, what is stopped, and what is learned."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import logbook

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.preemption import Preempted
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Seconds for which a task waits before a line is written.
_MIN_WAIT_SECONDS = 1.0
#: Seconds between two lines on the same step, and between two groups of lines.
_REPEAT_INTERVAL = 2.0
#: Maximum number of lines in a group.
_MAX_LINES = 12
#: Seconds after which a step whose next line was due is forgotten. Until then the steps
#: that wait for their first line come before it.
_FORGET_SECONDS = 300.0

#: Position of a step: job id, occurrence and index.
_StepKey = tuple[str, int, int]


class WaitLog:
    """Writes at most one line per step and ``_REPEAT_INTERVAL``, and few in all.

    If more steps wait than ``_MAX_LINES``, they take turns.

    Not thread-safe; the scheduler's lock protects it.
    """

    def __init__(self) -> None:
        self._next_line_at_by_step: dict[_StepKey, float] = {}
        self._next_group_at = 0.0
        self._lines_left = 0

    def record(
        self,
        waiting: Iterable[Task],
        vms: Iterable[Vm],
        find_obstacle: Callable[[Task, Vm], str],
        now: float,
    ) -> None:
        """Log the number of VMs by what keeps each waiting task from them.

        Parameters
        ----------
        waiting : iterable of Task
            One task of each step that found no VM.
        vms : iterable of Vm
            All VMs.
        find_obstacle : callable
            Returns why a task may not run on a VM.
        now : float
            Current time in seconds since the Unix epoch.
        """
        self._forget_old_steps(now)
        if now >= self._next_group_at:
            self._next_group_at = now + _REPEAT_INTERVAL
            self._lines_left = _MAX_LINES
        due = [task for task in waiting if self._is_due(task, now)]
        due.sort(key=lambda task: self._next_line_at_by_step.get(_get_step(task), 0.0))
        for task in due[: self._lines_left]:
            self._lines_left -= 1
            self._next_line_at_by_step[_get_step(task)] = now + _REPEAT_INTERVAL
            counts = Counter(find_obstacle(task, vm) or "none" for vm in vms)
            log_change(
                logger,
                "step waits",
                task=task.task_id,
                waited=round(now - task.ready_at, 2),
                best_effort=task.step.fills,
                crashes=len(task.crashed_on),
                obstacles=dict(counts),
            )

    def _is_due(self, task: Task, now: float) -> bool:
        return (
            now - task.ready_at >= _MIN_WAIT_SECONDS
            and now >= self._next_line_at_by_step.get(_get_step(task), 0.0)
        )

    def _forget_old_steps(self, now: float) -> None:
        ended = [
            step
            for step, next_line_at in self._next_line_at_by_step.items()
            if now - next_line_at > _FORGET_SECONDS
        ]
        for step in ended:
            del self._next_line_at_by_step[step]


def _get_step(task: Task) -> _StepKey:
    return task.job.spec.job_id, task.key.occurrence, task.key.step


def log_closed_worker_start(task: Task, vm: Vm, now: float) -> None:
    """Log that a task was placed on a VM in quarantine, as no other could run it."""
    log_change(
        logger,
        "task placed on a worker in quarantine",
        task=task.task_id,
        run=task.run,
        vm=vm.name,
        waited=round(now - task.ready_at, 3),
    )


def log_interference(interference: InterferenceModel, vms: Iterable[Vm]) -> None:
    """Log what limits the placement of best-effort tasks."""
    milli = 1000
    log_change(
        logger,
        "interference recorded",
        weights=interference.describe(),
        headroom_by_vm={
            vm.name: {
                image: round(headroom, 2)
                for image, headroom in vm.headroom_by_image.items()
            }
            for vm in vms
        },
        best_effort_cores_by_vm={
            vm.name: round(sum(vm.best_effort_cpu_by_image.values()) / milli, 1)
            for vm in vms
        },
        best_effort_use_by_vm={
            vm.name: round(sum(vm.best_effort_use_by_task.values()) / milli, 1)
            for vm in vms
        },
    )


def log_migration(vm: Vm, task: Task) -> None:
    """Log that a run is stopped so that its task runs elsewhere."""
    log_change(
        logger,
        "migrating task",
        task=task.task_id,
        run=task.run,
        vm=vm.name,
        percent=task.percent,
        use=round(task.use, 2),
        draining=vm.draining,
    )


def log_preemption(preempted: Preempted, now: float) -> None:
    """Log that a run is stopped for a long-running task that waits for room."""
    task, waiting = preempted.task, preempted.waiting
    log_change(
        logger,
        "task preempted",
        task=task.task_id,
        run=task.run,
        vm=preempted.vm.name,
        waiting=waiting.task_id,
        waited=round(now - waiting.ready_at, 2),
    )
