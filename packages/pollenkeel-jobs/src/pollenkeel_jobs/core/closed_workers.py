"""Work that only workers in quarantine can run.

A quarantine moves work to other workers. Work for which there is no other one would
only wait, and its result is the probe that ends the quarantine.
"""

from __future__ import annotations

from pollenkeel_jobs.core.alternatives import could_run
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.unplaceable import StepKey, get_step
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_jobs.core.waiting import DemandKind

#: Seconds for which a task waits for an open worker that could run it. Operators
#: tolerate three seconds without a run, which include the delay of the start.
CLOSED_WAIT_SECONDS = 1.5


class ClosedWorkers:
    """VMs in quarantine in one pass, and the tasks that need them.

    Parameters
    ----------
    open_vms : list of Vm
        VMs that may receive starts.
    closed_vms : list of Vm
        VMs whose only obstacle is the quarantine of their worker.
    now : float
        Time of the pass, in seconds since the Unix epoch.
    """

    def __init__(self, open_vms: list[Vm], closed_vms: list[Vm], now: float) -> None:
        self.vms = closed_vms
        self._open_vms = open_vms
        self._now = now
        self._could_run_by_key: dict[tuple[DemandKind, StepKey | None], bool] = {}

    def are_needed_for(self, kind: DemandKind, task: Task) -> bool:
        """Return whether a task has waited for long and no open worker could run it."""
        if not self.vms or self._now - task.ready_at < CLOSED_WAIT_SECONDS:
            return False
        step = get_step(task) if task.step.spread_limit else None
        key = kind, step
        if key not in self._could_run_by_key:
            self._could_run_by_key[key] = could_run(task, self._open_vms)
        return not self._could_run_by_key[key]
