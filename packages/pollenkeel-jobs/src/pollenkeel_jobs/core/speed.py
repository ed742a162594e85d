"""Detects slow VMs by comparing the run times of tasks."""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm

#: Weight of the newest run in the moving average of a VM's slowness.
_VM_SMOOTHING = 0.25
#: Weight of the newest run in the moving average of a queue's correction factor.
_QUEUE_SMOOTHING = 0.05
#: Upper bound of the ratio of actual to expected run time of a single run.
_MAX_RATIO = 8.0
#: Upper bound of the ratio of actual to declared run time of a single run. Declared run
#: times are off by up to a factor of ten; a run time declared as almost 0 must not
#: lengthen what is expected of all other jobs of the queue.
_MAX_DECLARED_RATIO = 10.0


@attrs.define
class _Mean:
    total: float = 0.0
    count: int = 0


class VmSpeeds:
    """Updates ``Vm.slowness`` from the run times of tasks.

    Run times are used because what workers report about themselves may be wrong.

    A run is compared with the mean of earlier runs of its step. If there are none, it
    is compared with the declared run time times a correction factor learned for its
    queue. Best-effort tasks are excluded, as their speed depends on the CPU that others
    leave.
    """

    def __init__(self) -> None:
        self._correction_by_queue: dict[str, float] = {}
        self._means_by_step: dict[tuple[str, int], _Mean] = {}

    def expect_seconds(self, task: Task) -> float:
        """Return the expected run time of a task in seconds; 0 if it is not known."""
        mean = self._means_by_step.get(_get_step_key(task))
        if mean is not None:
            return mean.total / mean.count
        queue = task.job.spec.queue.name
        return task.step.estimate * self._correction_by_queue.get(queue, 1.0)

    def observe(self, vm: Vm, task: Task, now: float) -> None:
        """Update the VM's slowness from a completed run.

        Runs from a checkpoint are ignored, and so are runs that were placed by an
        earlier leader, whose start time is not known.

        Parameters
        ----------
        vm : Vm
            VM on which the task ran.
        task : Task
            Task of the run.
        now : float
            End of the run, in seconds since the Unix epoch.
        """
        step = task.step
        if step.fills or not task.seen_at or not task.placed_at or task.checkpoint:
            return
        seconds = now - task.placed_at
        queue = task.job.spec.queue.name
        expected = self.expect_seconds(task)
        mean = self._means_by_step.setdefault(_get_step_key(task), _Mean())
        mean.total += seconds
        mean.count += 1
        if expected <= 0:
            return
        ratio = min(seconds / expected, _MAX_RATIO)
        vm.slowness = max(1.0, vm.slowness + _VM_SMOOTHING * (ratio - vm.slowness))
        if step.estimate > 0:
            known = self._correction_by_queue.get(queue, 1.0)
            newest = min(seconds / step.estimate, _MAX_DECLARED_RATIO)
            self._correction_by_queue[queue] = known + _QUEUE_SMOOTHING * (
                newest - known
            )


def _get_step_key(task: Task) -> tuple[str, int]:
    return task.job.spec.job_id, task.key.step
