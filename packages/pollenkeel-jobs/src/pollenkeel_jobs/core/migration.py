"""Chooses tasks that are better off on another VM."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.vms import Vm

#: Seconds for which a task must have got little processor time.
_STARVED_SECONDS = 1.2
#: Progress in percent above which a task is better left where it is.
_NEARLY_DONE = 70
#: Progress in percent up to which a task without checkpoints may be moved.
_BARELY_BEGUN = 8
#: Expected load of the new VM up to which a move pays.
_TARGET_LOAD = 0.85
#: Most moves of one pass.
_MOVES_PER_PASS = 4


class Migration:
    """Moves tasks by a stop that saves their progress.

    Parameters
    ----------
    placement : Placement
        Chooses the new VM.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    def choose_leaving(
        self, vms: Iterable[Vm], usable: list[Vm]
    ) -> Iterator[tuple[Vm, Task]]:
        """Yield long-running tasks of VMs whose worker leaves.

        They would run until the worker is gone and then wait for the end of its lease.

        Parameters
        ----------
        vms : iterable of Vm
            All VMs.
        usable : list of Vm
            VMs that may receive starts.
        """
        for vm in vms:
            if not vm.draining or not vm.fenced:
                continue
            for task in vm.tasks_by_id.values():
                if (
                    task.step.long_running
                    and task.state is TaskState.PLACED
                    and not task.stop_wanted
                    and self._placement.choose(task, usable) is not None
                ):
                    yield vm, task

    def choose(self, vms: Iterable[Vm], now: float) -> Iterator[tuple[Vm, Task]]:
        """Yield the filling tasks that are paced down, with the VM that they leave."""
        usable = list(vms)
        moves = 0
        for vm in usable:
            for task in list(vm.tasks_by_id.values()):
                if moves >= _MOVES_PER_PASS:
                    return
                if not _is_starved(task, now):
                    continue
                others = [
                    other
                    for other in usable
                    if other is not vm
                    and other.cpu_load < _TARGET_LOAD
                    and not self._placement.would_interfere_too_much(task, other)
                ]
                if self._placement.choose(task, others) is not None:
                    moves += 1
                    yield vm, task


def _is_starved(task: Task, now: float) -> bool:
    step = task.step
    if not step.fills or task.state is not TaskState.PLACED or task.stop_wanted:
        return False
    if not task.starved_since or now - task.starved_since < _STARVED_SECONDS:
        return False
    limit = _NEARLY_DONE if step.checkpointing else _BARELY_BEGUN
    return task.percent < limit
