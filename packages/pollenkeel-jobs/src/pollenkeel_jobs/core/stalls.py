"""Detects runs that make no progress.

Progress is a whole number of percent, so a task of 300 s shows a new one every 3 s. How
long a run may show none follows from what the run itself, like tasks or the declared
run time let expect. None of these is certain: a stop counts against the worker only
once a later run of the task has shown that it advances much faster elsewhere.
"""

from __future__ import annotations

import logbook

from pollenkeel_jobs.core.job_table import list_step_tasks
from pollenkeel_jobs.core.model import Suspicion, Task
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.policy.quarantine import Quarantine

logger = logbook.Logger("stalls")

#: Seconds without progress that every run may take.
_MIN_STALL_SECONDS = 2.0
#: Factor by which a percent may take longer than expected. Slow workers take up to
#: about eight times as long as others.
_MARGIN = 8.0
#: Factor by which a task may run longer away from its data, or a gang on several racks.
#: The system is not told the actual one.
_REMOTE_FACTOR = 3.0
#: Seconds that a run may take to restore its checkpoint.
_RESTORE_SECONDS = 1.0
#: Factor by which the allowed time grows with each stop that is not confirmed.
_BACKOFF_FACTOR = 4.0
#: Factor by which a worker must have taken longer for a percent than another one for
#: its stalled run to count as its failure.
_CONFIRMING_RATIO = 4.0
#: Seconds between two checks of a run without progress; each looks at all like tasks.
_CHECK_INTERVAL = 1.0
#: Seconds for which a worker with a stalled run gets tasks only if no other has room.
_AVOIDED_SECONDS = 3.0
#: Progress in percent that a long-running task reports while it is at work.
_SERVING_PERCENT = 100


class StallDetector:
    """Finds stalled runs, and the workers that are at fault.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    speeds : VmSpeeds
        Expected run times.
    quarantine : Quarantine
        Receives the confirmed failures of workers.
    """

    def __init__(self, speeds: VmSpeeds, quarantine: Quarantine) -> None:
        self._speeds = speeds
        self._quarantine = quarantine

    def has_stalled(self, vm: Vm, task: Task) -> bool:
        """Return whether a run has made no progress for too long.

        A throttled run does not count as stalled, see ``update_run``, nor does a member
        of a gang that waits for another one.
        """
        progress = task.progress
        seconds = progress.seconds_without_change(vm.clock)
        if seconds <= _MIN_STALL_SECONDS or vm.clock < progress.check_at:
            return False
        if task.stop_wanted or _is_serving(task):
            return False
        if task.step.gang and not all(peer.seen_at for peer in list_step_tasks(task)):
            progress.excuse(vm.clock)
            return False
        allowed = self._allow_seconds(vm, task)
        progress.check_at = min(
            progress.changed_at + allowed * 1000, vm.clock + _CHECK_INTERVAL * 1000
        )
        return seconds > allowed

    def suspect(self, vm: Vm, task: Task, now: float) -> None:
        """Record that a run is being stopped because it has stalled."""
        seconds = task.progress.seconds_without_change(vm.clock)
        count = task.suspicion.count + 1 if task.suspicion else 1
        log_change(
            logger,
            "run stalled",
            task=task.task_id,
            run=task.run,
            vm=vm.name,
            percent=task.percent,
            since=round(seconds, 2),
        )
        task.stop_wanted = True
        task.failed_on |= {vm.incarnation}
        task.suspicion = Suspicion(vm.incarnation, seconds, count)
        vm.avoided_until = now + _AVOIDED_SECONDS

    def judge(self, vm: Vm, task: Task, now: float) -> None:
        """Confirm or drop the suspicion of an earlier run by the progress of this one.

        A suspicion remains until the pace of a later run is known.
        """
        suspicion = task.suspicion
        if suspicion is None or task.stop_wanted:
            return
        pace = task.progress.seconds_per_percent
        if _is_serving(task):
            # A long-running task may report no progress between 0 and 100.
            pace = now - task.seen_at
        if pace is not None:
            task.suspicion = None
            self._confirm(suspicion, vm, task, pace, now)

    def judge_done(self, vm: Vm, task: Task, now: float) -> None:
        """Confirm or drop the suspicion of an earlier run by one that is done."""
        if task.progress.listed_at:
            task.progress.record(100, vm.clock)
            self.judge(vm, task, now)
        elif task.suspicion is not None and task.placed_at:
            self._confirm(task.suspicion, vm, task, now - task.placed_at, now)
        task.suspicion = None

    def _confirm(
        self, suspicion: Suspicion, vm: Vm, task: Task, pace: float, now: float
    ) -> None:
        """Count a failure of the suspected worker if another one was much faster.

        A gang waits for its slowest member, so its stall does not tell which of its
        workers is at fault.
        """
        elsewhere = vm.incarnation != suspicion.worker and not task.step.gang
        confirmed = elsewhere and pace * _CONFIRMING_RATIO <= suspicion.seconds
        log_change(
            logger,
            "stall confirmed" if confirmed else "stall not confirmed",
            task=task.task_id,
            run=task.run,
            worker=suspicion.worker,
            seconds=round(suspicion.seconds, 2),
            pace=round(pace, 3),
        )
        if confirmed:
            job_id = task.job.spec.job_id
            self._quarantine.record(suspicion.worker, job_id, True, now)

    def _allow_seconds(self, vm: Vm, task: Task) -> float:
        """Return the time for which a run may show no progress."""
        allowed = max(_MIN_STALL_SECONDS, _MARGIN * self._expect_pace(vm, task))
        if task.checkpoint and not task.progress.has_changed:
            allowed += _RESTORE_SECONDS
        stops = task.suspicion.count if task.suspicion else 0
        return float(allowed * _BACKOFF_FACTOR**stops)

    def _expect_pace(self, vm: Vm, task: Task) -> float:
        """Return the expected seconds per percent of a run; 0 if nothing is known."""
        known = task.progress.seconds_per_percent
        if known is not None:
            return known
        paces = [peer.progress.seconds_per_percent for peer in list_step_tasks(task)]
        pace = max((pace for pace in paces if pace is not None), default=0.0)
        pace = pace or self._speeds.expect_seconds(task) / 100
        return pace * _REMOTE_FACTOR if _may_be_remote(vm, task) else pace


def _is_serving(task: Task) -> bool:
    return task.step.long_running and task.percent >= _SERVING_PERCENT


def _may_be_remote(vm: Vm, task: Task) -> bool:
    """Return whether a task may run away from its data or from its gang."""
    step = task.step
    return step.same_rack or bool(step.data_rack and step.data_rack not in vm.labels)
