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

    def allowed(self, vm: str, now: float) -> bool:
        """Return True."""
        return True

    def started(self, vm: str, now: float) -> None:
        """Ignore a start."""


@attrs.define
class _VmRecord:
    failed_tasks: set[str] = attrs.field(factory=set)
    probe_after: float = 0.0
    pause: float = 0.0


@QUARANTINES.register("consecutive")
class ConsecutiveFailures(Quarantine):
    """Quarantines a VM after consecutive failures of different tasks.

    After a pause, one task is started as a probe. If it succeeds, the quarantine ends;
    if it fails, the pause is doubled. If it has no result within the pause, another
    probe is started.

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
        record.failed_tasks.add(task_id)
        if len(record.failed_tasks) >= self._failures:
            longer = min(record.pause * 2, self._longest_pause)
            record.pause = longer or self._pause
            record.probe_after = now + record.pause

    def allowed(self, vm: str, now: float) -> bool:
        """Return whether the VM is not quarantined or is due for a probe."""
        record = self._records_by_vm.get(vm)
        return record is None or record.probe_after <= now

    def started(self, vm: str, now: float) -> None:
        """Block further starts on a quarantined VM while its probe may still run."""
        record = self._records_by_vm.get(vm)
        if record is not None and record.pause:
            record.probe_after = now + record.pause
