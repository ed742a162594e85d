"""Quarantine of VMs whose worker fails every task that it starts."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from pollenkeel_kernel.core.registry import Registry


class Quarantine(ABC):
    """Decides on which VMs tasks may be started."""

    @abstractmethod
    def record(self, vm: str, task_id: str, failed: bool, now: float) -> None:
        """Record the end of a task on a VM."""

    @abstractmethod
    def retract(self, vm: str, task_id: str) -> None:
        """Drop the failure of a task that has also failed on another VM."""

    @abstractmethod
    def allowed(self, vm: str, now: float) -> bool:
        """Return whether tasks may be started on a VM."""

    @abstractmethod
    def started(self, vm: str, now: float) -> None:
        """Record a task start, which may be the probe of a quarantined VM."""


QUARANTINES: Registry[Quarantine] = Registry("pollenkeel.policies")


@QUARANTINES.register("none")
class NoQuarantine(Quarantine):
    """Baseline: tasks may be started on every VM."""

    def record(self, vm: str, task_id: str, failed: bool, now: float) -> None:
        """Ignore the end of a task."""

    def retract(self, vm: str, task_id: str) -> None:
        """Ignore that a failure does not count."""

    def allowed(self, vm: str, now: float) -> bool:
        """Return True."""
        return True

    def started(self, vm: str, now: float) -> None:
        """Ignore a start."""


@attrs.define
class _VmRecord:
    """Failures of a VM since its latest success.

    Attributes
    ----------
    failed_tasks : set of str
        Tasks that have failed.
    probe_after : float
        Time from which a task may be started, in seconds since the Unix epoch.
    pause : float
        Time between probes in seconds; 0 if the VM is not quarantined.
    probing : bool
        Whether a probe has been started since the latest failure that counts.
    """

    failed_tasks: set[str] = attrs.field(factory=set)
    probe_after: float = 0.0
    pause: float = 0.0
    probing: bool = False


@QUARANTINES.register("consecutive")
class ConsecutiveFailures(Quarantine):
    """Quarantines a VM after consecutive failures of different tasks.

    After a pause, one task is started as a probe. If it succeeds, the quarantine ends;
    if it fails, the pause is doubled. A task that has failed there before is no proof
    against the VM, so its failure leaves the pause as it is. If a probe has no result
    within the pause, another one is started.

    Parameters
    ----------
    failures : int
        Number of different tasks that must fail consecutively.
    pause, longest_pause : float
        Initial and maximum time between probes, in seconds.
    """

    def __init__(
        self, failures: int = 3, pause: float = 30.0, longest_pause: float = 600.0
    ) -> None:
        self._failures = failures
        self._pause = pause
        self._longest_pause = longest_pause
        self._records_by_vm: dict[str, _VmRecord] = {}

    def record(self, vm: str, task_id: str, failed: bool, now: float) -> None:
        """Count a failure, or end the quarantine after a success."""
        if not failed:
            self._records_by_vm.pop(vm, None)
            return
        record = self._records_by_vm.setdefault(vm, _VmRecord())
        is_known = task_id in record.failed_tasks
        record.failed_tasks.add(task_id)
        if len(record.failed_tasks) < self._failures:
            return
        if not record.pause:
            record.pause = self._pause
        elif not record.probing:
            # The task was started before the quarantine.
            return
        elif not is_known:
            record.pause = min(record.pause * 2, self._longest_pause)
        record.probing = False
        record.probe_after = now + record.pause

    def retract(self, vm: str, task_id: str) -> None:
        """Drop a task's failure, and the quarantine if too few others remain."""
        record = self._records_by_vm.get(vm)
        if record is None:
            return
        record.failed_tasks.discard(task_id)
        if len(record.failed_tasks) < self._failures:
            record.pause = record.probe_after = 0.0
            record.probing = False

    def allowed(self, vm: str, now: float) -> bool:
        """Return whether the VM is not quarantined or is due for a probe."""
        record = self._records_by_vm.get(vm)
        return record is None or record.probe_after <= now

    def started(self, vm: str, now: float) -> None:
        """Block further starts on a quarantined VM while its probe may still run."""
        record = self._records_by_vm.get(vm)
        if record is not None and record.pause:
            record.probing = True
            record.probe_after = now + record.pause
