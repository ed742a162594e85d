"""When and where long-running tasks are retried after their workers have crashed.

A long-running task is never given up, as only a cancellation may end its job. Each
retry may crash a worker with all other runs on it, so retries are delayed, and are
confined to the VMs where they end the fewest other runs.
"""

from __future__ import annotations

from pollenkeel_jobs.core.model import Task

#: Number of crashes from which on a retry is delayed.
_MIN_CRASHES_TO_DELAY = 3
#: Seconds between the placements of two runs after that number of crashes; they double
#: with each further crash.
_FIRST_INTERVAL_SECONDS = 0.6
#: Upper bound of that time, in seconds. With the start of a run it is below the 3 s for
#: which operators tolerate a ready task without a run, and below the 6 s within which a
#: long-running task must run again.
_MAX_INTERVAL_SECONDS = 2.4
#: Number of crashes, and of VMs with a crash, from which on a task is confined. If all
#: crashes were on one VM, the VM may be the cause.
_MIN_CRASHES_TO_CONFINE = 5
_MIN_VMS_TO_CONFINE = 2


def get_retry_interval(task: Task) -> float:
    """Return the least time between two placements of a task, in seconds.

    It is 0 for tasks that are not delayed.
    """
    excess = len(task.crashed_on) - _MIN_CRASHES_TO_DELAY
    if not task.step.long_running or excess < 0:
        return 0.0
    return float(min(_MAX_INTERVAL_SECONDS, _FIRST_INTERVAL_SECONDS * 2**excess))


def is_delayed(task: Task, now: float) -> bool:
    """Return whether it is too early for the next run of a task.

    A new leader doesn't know when earlier runs were placed, and delays none of them.
    """
    interval = get_retry_interval(task)
    return bool(interval and task.placed_at) and now < task.placed_at + interval


def is_confined(task: Task) -> bool:
    """Return whether a task runs where it ends the fewest other runs by a crash."""
    if not task.step.long_running or len(task.crashed_on) < _MIN_CRASHES_TO_CONFINE:
        return False
    vms = {worker.partition("/")[0] for worker in task.crashed_on}
    return len(vms) >= _MIN_VMS_TO_CONFINE
