"""Expected run times and ends of runs.

Declared run times are often wrong by a factor of two. Where a run shows progress, its
own pace is used, then the run times of earlier tasks of the step, then the declared
run time with the correction learned for the queue.
"""

from __future__ import annotations

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.vms import Vm


class RunForecast:
    """Forecasts when runs end.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    speeds : VmSpeeds
        Run times learned from earlier runs.
    """

    def __init__(self, speeds: VmSpeeds) -> None:
        self._speeds = speeds

    def expect_run_seconds(self, task: Task) -> float:
        """Return the expected seconds of a whole run on a VM of usual speed.

        It is 0 if nothing is known of the step and it declares no run time.
        """
        return self._speeds.expect_seconds(task)

    def expect_end(self, vm: Vm, task: Task, now: float) -> float | None:
        """Return when the run of a placed task is expected to end.

        Parameters
        ----------
        vm : Vm
            VM of the run.
        task : Task
            The task; it is placed on ``vm``.
        now : float
            Current time in seconds since the Unix epoch.

        Returns
        -------
        float or None
            Time in seconds since the Unix epoch, not before ``now``. None if the task
            is long-running, or if neither its progress nor a run time is known.
        """
        if task.step.long_running:
            return None
        pace = task.progress.seconds_per_percent
        if pace is not None:
            listed_ago = (vm.clock - task.progress.changed_at) / 1000
            left = pace * (100 - task.percent) - listed_ago
            return now + max(0.0, left)
        seconds = self.expect_run_seconds(task) * vm.slowness
        if seconds <= 0:
            return None
        began_at = task.seen_at or task.placed_at or now
        done = task.progress.initial_percent / 100
        return max(now, began_at + seconds * (1.0 - done))
