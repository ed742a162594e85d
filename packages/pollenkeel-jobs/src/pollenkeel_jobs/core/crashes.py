"""Tasks that may have crashed workers, and when they are given up."""

from __future__ import annotations

from collections.abc import Iterator

import logbook

from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.messages import WorkerCrash
from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Number of crashes of workers after which a task is given up: if it was the only one
#: that had just been started at the last crash, and if there were others or the worker
#: may have crashed before it received the start.
_MAX_CRASHES_ALONE = 2
_MAX_CRASHES = 3
#: Seconds for which a worker must list a run that is no suspect any more. A task that
#: crashes its worker does so shortly after its start.
_SOUND_SECONDS = 2.0


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
    if task.sound_run == task.run or listed_ms < _SOUND_SECONDS * 1000:
        return
    task.sound_run = task.run
    if task.crashed_on:
        task.crashed_on.clear()
        _acquit(jobs, task)


def record_crash(jobs: JobTable, crash: WorkerCrash) -> Iterator[Task]:
    """Record a crash with its suspects; yield those that are to be given up.

    A crash is reported repeatedly, also to later leaders; it counts once. It does not
    count for a task that has run soundly in the suspected run or since, as the agent
    suspects what its worker had started last, however long ago.

    Parameters
    ----------
    jobs : JobTable
        Jobs of the suspects.
    crash : WorkerCrash
        Crash as reported by the agent of the VM.
    """
    for run in crash.suspects:
        task = jobs.find_task(run.task_id)
        if task is None or task.job.status.final or task.state is TaskState.DONE:
            continue
        task.suspects = len(crash.suspects)
        if crash.worker in task.crashed_on or run.run <= task.acquitted_through:
            continue
        if run.run <= task.sound_run:
            _acquit(jobs, task)
            continue
        task.crashed_on.add(crash.worker)
        jobs.dirty[task.job] = None
        crashes = len(task.crashed_on)
        alone = len(crash.suspects) == 1 and crash.began
        given_up = crashes >= (_MAX_CRASHES_ALONE if alone else _MAX_CRASHES)
        log_change(
            logger,
            "task suspected of a crash",
            task=run.task_id,
            run=run.run,
            vm=crash.worker.partition("/")[0],
            worker=crash.worker,
            suspects=len(crash.suspects),
            crashes=crashes,
            given_up=given_up,
        )
        if given_up:
            yield task


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
