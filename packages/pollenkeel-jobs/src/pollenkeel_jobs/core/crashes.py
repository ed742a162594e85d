"""Tasks that may have crashed workers, and when they are given up.

Long-running tasks are never given up; ``crash_retries`` limits the harm that they do.
"""

from __future__ import annotations

from collections.abc import Iterator

import logbook

from pollenkeel_jobs.core.crash_retries import get_retry_interval, is_confined
from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.messages import RunKey, VmReport, WorkerCrash
from pollenkeel_jobs.core.metrics import LONG_RUNNING_CRASHES
from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_jobs.core.start_history import SOUND_SECONDS
from pollenkeel_jobs.core.trials import narrow_suspects, share_trial
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Number of crashes immediately after its start after which a task is given up. Most
#: suspects did not cause the crash, and a worker may crash for another reason just
#: after a start; that this happens to one task so often in a row is unlikely.
_MAX_CRASHES_AT_ONCE = 4
#: Number of crashes after which a task is given up in any case. A task that crashes
#: each worker may be started at most five times. Of a long-running task, this many
#: crashes are recorded, the latest ones.
_MAX_CRASHES = 5
#: Number of crashes from which on a task is suspected of a worker's end that no agent
#: reports.
_MIN_CRASHES_TO_SUSPECT = 3


def record_sound_run(jobs: JobTable, vm: Vm, task: Task) -> None:
    """Acquit a task that its worker has listed for a while.

    Parameters
    ----------
    jobs : JobTable
        Table with the job of the task.
    vm : Vm
        VM of the worker, which has just listed the latest run of the task.
    task : Task
        The task.
    """
    listed_ms = vm.clock - task.progress.listed_at
    if task.sound_run < task.run and listed_ms >= SOUND_SECONDS * 1000:
        _record_sound(jobs, task, task.run)


def record_own_end(jobs: JobTable, task: Task, run: int) -> None:
    """Drop the crashes of a task after a run that ended by itself.

    Its worker was still alive at that end.
    """
    if task.sound_run < run:
        _record_sound(jobs, task, run)


def record_crash(jobs: JobTable, crash: WorkerCrash) -> Iterator[Task]:
    """Record a crash with its suspects; yield those that are to be given up.

    A crash is reported repeatedly, also to later leaders; it counts once. It does not
    count for a task that has run soundly in the suspected run or since, as the agent
    suspects what its worker had started last, however long ago. A crash under several
    tasks that were on trial together gives up none of them.

    Parameters
    ----------
    jobs : JobTable
        Jobs of the suspects.
    crash : WorkerCrash
        Crash as reported by the agent of the VM.
    """
    at_once = set(crash.suspects) - set(crash.outlived) if crash.began else set()
    explaining = set(_find_explaining(jobs, crash))
    if explaining:
        at_once &= explaining
    found = (jobs.find_task(run.task_id) for run in crash.suspects)
    is_shared = share_trial(task for task in found if task is not None)
    for run in crash.suspects:
        task = jobs.find_task(run.task_id)
        if task is None or task.job.status.final or task.state is TaskState.DONE:
            continue
        is_known = run.run <= task.suspected_run or run.run < task.run
        narrow_suspects(task, run.run, len(crash.suspects))
        if crash.worker in task.crashed_on or run.run <= task.acquitted_through:
            continue
        if run.run <= task.sound_run:
            _acquit(jobs, task)
            continue
        is_proof = task.step.gang or not is_shared
        if len(task.crashed_on) >= _MAX_CRASHES and (is_known or not is_proof):
            # It waits for a trial alone. The record must not grow meanwhile, so that a
            # repeated report is known by its run.
            continue
        _add_crash(task, run.run, crash.worker, run in at_once)
        jobs.dirty[task.job] = None
        is_proven = is_proof and _has_enough_evidence(task)
        given_up = is_proven and not task.step.long_running
        log_change(
            logger,
            "task suspected of a crash",
            task=run.task_id,
            run=run.run,
            vm=crash.worker.partition("/")[0],
            worker=crash.worker,
            suspects=len(crash.suspects),
            at_once=run in at_once,
            shared=is_shared,
            crashes=len(task.crashed_on),
            given_up=given_up,
            retry_interval=get_retry_interval(task),
            confined=is_confined(task),
        )
        if get_retry_interval(task):
            LONG_RUNNING_CRASHES.inc()
        if is_proven:
            _drop_shared_evidence(jobs, task)
        if given_up:
            yield task


def _add_crash(task: Task, run: int, worker: str, at_once: bool) -> None:
    """Add a crash to those recorded of a task.

    A long-running task may crash any number of workers. Agents repeat their reports, so
    crashes of earlier runs don't count any more once the oldest one is dropped.
    """
    if task.step.long_running and len(task.crashed_on) >= _MAX_CRASHES:
        oldest = min(task.crashed_on, key=_get_birth)
        task.crashed_on -= {oldest}
        task.crashed_at_once -= {oldest}
        task.acquitted_through = max(task.acquitted_through, run - 1)
    task.crashed_on |= {worker}
    if at_once:
        task.crashed_at_once |= {worker}


def _get_birth(worker: str) -> tuple[int, str]:
    """Return the sort key of an incarnation by the digits of its start time."""
    born = worker.rpartition("~")[2]
    return len(born), born


def _find_explaining(jobs: JobTable, crash: WorkerCrash) -> Iterator[RunKey]:
    """Yield the suspected runs whose tasks have crashed enough workers to explain it.

    These tasks are given up, unless they are long-running.
    """
    for run in crash.suspects:
        task = jobs.find_task(run.task_id)
        if task is not None and _crashes_at_once(task):
            yield run


def _drop_shared_evidence(jobs: JobTable, culprit: Task) -> None:
    """Drop the crashes of a proven culprit from ``crashed_at_once`` of other tasks.

    They stay in ``crashed_on``, because several tasks may have caused the same crash.
    """
    if not _crashes_at_once(culprit):
        return
    for task in jobs.iterate_open_tasks():
        shared = task.crashed_at_once & culprit.crashed_at_once
        if shared and task is not culprit:
            task.crashed_at_once -= shared
            jobs.dirty[task.job] = None


def find_unreported_crash(vm: Vm, report: VmReport) -> Iterator[WorkerCrash]:
    """Yield a crash for the end of a worker that its agent does not report.

    The agent was lost as well; in most cases the whole VM was. Therefore only tasks
    that are close to ``_MAX_CRASHES`` are suspected.

    Parameters
    ----------
    vm : Vm
        VM of the worker, as it was before the report.
    report : VmReport
        Report of the present worker.
    """
    ended = vm.incarnation
    # An agent that has restarted does not know what its worker had started.
    reported = {crash.worker for crash in report.crashes if crash.suspects}
    if ended in (report.worker, "") or ended in reported or vm.draining:
        return
    suspects = [
        RunKey(task.task_id, task.run)
        for task in vm.tasks_by_id.values()
        if len(task.crashed_on) >= _MIN_CRASHES_TO_SUSPECT and not task.awaits_order
    ]
    if suspects:
        yield WorkerCrash(ended, suspects, began=False)


def _has_enough_evidence(task: Task) -> bool:
    """Return whether there is enough evidence that a task crashes its workers."""
    return _crashes_at_once(task) or len(task.crashed_on) >= _MAX_CRASHES


def _crashes_at_once(task: Task) -> bool:
    """Return whether enough workers have crashed immediately after a task's starts."""
    return len(task.crashed_at_once) >= _MAX_CRASHES_AT_ONCE


def _record_sound(jobs: JobTable, task: Task, run: int) -> None:
    """Record a run that did not crash its worker, and drop the crashes before it."""
    task.sound_run = run
    if task.crashed_on:
        task.crashed_on = task.crashed_at_once = frozenset()
        _acquit(jobs, task)


def _acquit(jobs: JobTable, task: Task) -> None:
    """Record that no crash counts up to the latest sound run of a task."""
    task.acquitted_through = task.sound_run
    jobs.dirty[task.job] = None
    log_change(
        logger,
        "task not suspected of a crash",
        task=task.task_id,
        run=task.sound_run,
    )
