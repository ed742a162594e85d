"""Tasks that may have crashed workers, and when they are given up."""

from __future__ import annotations

from collections.abc import Iterator

import logbook

from pollenkeel_jobs.core.job_table import JobTable
from pollenkeel_jobs.core.messages import WorkerCrash
from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("scheduler")

#: Number of crashes of workers after which a task is given up: if it was the only one
#: that had just been started at the last crash, and if there were others.
_MAX_CRASHES_ALONE = 2
_MAX_CRASHES = 3
#: Seconds for which a worker must run a suspected task before it gets other tasks.
TRIAL_SECONDS = 1.0


def record_crash(jobs: JobTable, crash: WorkerCrash) -> Iterator[Task]:
    """Record a crash with its suspects; yield those that are to be given up.

    A crash is reported repeatedly, also to later leaders; it counts once.

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
        if crash.worker in task.crashed_on:
            continue
        task.crashed_on.add(crash.worker)
        jobs.dirty[task.job] = None
        crashes = len(task.crashed_on)
        alone = len(crash.suspects) == 1
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
