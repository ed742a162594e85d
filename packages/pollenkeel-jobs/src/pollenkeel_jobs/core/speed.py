"""Compares the run times of tasks to find slow VMs."""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm

#: Share of the newest run in the average of a VM.
_NEWEST_SHARE = 0.25
#: Share of the newest run in the average of a queue.
_QUEUE_SHARE = 0.05
#: Ratio at which a single run is cut off.
_LARGEST_RATIO = 8.0


@attrs.define
class _Mean:
    total: float = 0.0
    count: int = 0


class VmSpeeds:
    """Keeps ``Vm.slowness`` from what tasks do, not from what workers say.

    A run is compared with the other runs of its step, or with the declared run time as
    corrected for its queue where the step has no other yet. Filling tasks are left out,
    as their speed depends on what others leave.
    """

    def __init__(self) -> None:
        self._correction_by_queue: dict[str, float] = {}
        self._means_by_step: dict[tuple[str, int], _Mean] = {}

    def observe(self, vm: Vm, task: Task, now: float) -> None:
        """Learn from a run that was done.

        Parameters
        ----------
        vm : Vm
            Where it ran.
        task : Task
            The task; ``seen_at`` is the start of the run.
        now : float
            Time of its end, in seconds since the Unix epoch.
        """
        step = task.step
        if step.fills or not task.seen_at or not task.placed_at or task.checkpoint:
            return
        seconds = now - task.placed_at
        queue = task.job.spec.queue.name
        mean = self._means_by_step.setdefault(
            (task.job.spec.job_id, task.key.step), _Mean()
        )
        expected = step.estimate * self._correction_by_queue.get(queue, 1.0)
        if mean.count:
            expected = mean.total / mean.count
        mean.total += seconds
        mean.count += 1
        if expected <= 0:
            return
        ratio = min(seconds / expected, _LARGEST_RATIO)
        vm.slowness = max(1.0, vm.slowness + _NEWEST_SHARE * (ratio - vm.slowness))
        if step.estimate > 0:
            known = self._correction_by_queue.get(queue, 1.0)
            newest = seconds / step.estimate
            self._correction_by_queue[queue] = known + _QUEUE_SHARE * (newest - known)
