"""Describes a job for operators: its state, its tasks, and what they wait for."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import Any

from pollenkeel_jobs.core.crash_retries import get_retry_interval
from pollenkeel_jobs.core.model import Job, StepTasks, Task, TaskState
from pollenkeel_jobs.core.reservations import Reservations
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.codes import Code

#: Maximum numbers of described tasks and steps. The scheduler is locked while they and
#: the obstacles of the steps are collected.
MAX_TASKS = 100
MAX_STEPS = 10

_NAMES_BY_STATE = {
    TaskState.WAITING: "waiting",
    TaskState.PLACED: "placed",
    TaskState.DONE: "done",
    TaskState.FAILED: "failed",
}
_RUNNING = "running"


def describe_job(
    job: Job,
    vms: Iterable[Vm],
    find_obstacle: Callable[[Task, Vm], str],
    reservations: Reservations,
) -> dict[str, Any]:
    """Return a job with its open steps and the tasks that are not done.

    Parameters
    ----------
    job : Job
        The job.
    vms : iterable of Vm
        All VMs.
    find_obstacle : callable
        Returns why a task may not run on a VM, or an empty string.
    reservations : Reservations
        Room that is kept for waiting tasks.

    Returns
    -------
    dict
        JSON types, in the form of an answer of ``/v1/explain``. Of the tasks and of
        the steps there are at most ``MAX_TASKS`` and ``MAX_STEPS``.
    """
    vms = list(vms)
    steps = job.tasks_by_step.values() if not job.status.final else ()
    tasks = (task for step in steps for task in step)
    return {
        "job_id": job.spec.job_id,
        "state": job.status.value,
        "recorded_state": job.recorded_status.value,
        "queue": job.spec.queue.name,
        "accepted_at": job.accepted_at,
        "objective_at": job.objective_at,
        "code": job.failure_code or Code.OK.value,
        "occurrences": f"{job.next_occurrence} of {max(1, job.spec.occurrences)}",
        "steps": list(
            _describe_step(step, vms, find_obstacle)
            for step in islice(steps, MAX_STEPS)
        ),
        "tasks": [
            _describe_task(task, vms, reservations) for task in islice(tasks, MAX_TASKS)
        ],
    }


def _describe_step(
    tasks: StepTasks, vms: list[Vm], find_obstacle: Callable[[Task, Vm], str]
) -> dict[str, Any]:
    states = [_get_state(task) for task in tasks]
    waiting = [task for task in tasks if task.state is TaskState.WAITING]
    uncreated = tasks.spec.count - tasks.next_index
    return {
        "step": f"{tasks.occurrence}.{tasks.number}",
        "tasks": tasks.spec.count,
        "done": tasks.next_index - len(states) + states.count("done"),
        _RUNNING: states.count(_RUNNING),
        "placed": states.count("placed"),
        "waiting": len(waiting) + uncreated,
        "waits_for": _find_cause(tasks, waiting, vms, find_obstacle),
    }


def _find_cause(
    tasks: StepTasks,
    waiting: list[Task],
    vms: list[Vm],
    find_obstacle: Callable[[Task, Vm], str],
) -> dict[str, list[str]]:
    """Return what the first waiting task of a step waits for.

    These are either the unfinished steps before it, under ``steps``, or the VMs by
    their obstacle, named as in the log line ``step waits``. VMs without an obstacle are
    under ``none``.
    """
    job = tasks.job
    if not waiting:
        return {}
    if not job.is_ready(tasks):
        unfinished = (
            str(before)
            for before in tasks.spec.after
            if not job.tasks_by_step[tasks.occurrence, before].is_done
        )
        return {"steps": list(unfinished)}
    names_by_obstacle: dict[str, list[str]] = {}
    for vm in vms:
        obstacle = find_obstacle(waiting[0], vm) or "none"
        names_by_obstacle.setdefault(obstacle, []).append(vm.name)
    return names_by_obstacle


def _describe_task(
    task: Task, vms: list[Vm], reservations: Reservations
) -> dict[str, Any]:
    """Return a task with its latest run."""
    state = _get_state(task)
    run = {"vm": _find_vm_name(task, vms), "placed_at": task.placed_at}
    return {
        "key": task.task_id,
        "state": state,
        "attempt": run if task.runner else {},
        "copy": _describe_copy(task.copy, vms),
        "attempts": task.last_run,
        "failures": task.failures,
        "code": Code.OK.value,
        "detail": ", ".join(_iter_details(task, state)),
        "kept_room": reservations.describe(task),
    }


def _describe_copy(copy: Task | None, vms: list[Vm]) -> dict[str, Any]:
    """Return the run of a task's copy; empty if there is none."""
    if copy is None:
        return {}
    return {
        "vm": _find_vm_name(copy, vms),
        "placed_at": copy.placed_at,
        "run": copy.run,
        "percent": copy.percent,
    }


def _get_state(task: Task) -> str:
    if task.state is TaskState.PLACED and task.seen_at:
        return _RUNNING
    return _NAMES_BY_STATE[task.state]


def _find_vm_name(task: Task, vms: list[Vm]) -> str:
    """Return the name of the VM of a task's run, or else its worker's."""
    for vm in vms:
        if vm.incarnation == task.runner:
            return vm.name
    return task.runner


def _iter_details(task: Task, state: str) -> Iterator[str]:
    if state == _RUNNING:
        yield f"{task.percent} %"
    if task.stop_wanted:
        yield "is being stopped"
    if task.checkpoint:
        yield "has a checkpoint"
    if task.crashed_on:
        yield f"suspected of {len(task.crashed_on)} crashes"
    if task.copy is not None:
        yield f"has a copy, run {task.copy.run}"
    interval = get_retry_interval(task)
    if interval:
        yield f"is retried alone, {interval:g} s after its last start"
    if task.failed_on:
        yield f"failed or stalled on {len(task.failed_on)} workers"
