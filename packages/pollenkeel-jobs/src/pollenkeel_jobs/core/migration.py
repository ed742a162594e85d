"""Selection of running tasks to move to another VM."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pollenkeel_jobs.core.candidates import (
    CandidateKey,
    Candidates,
    make_candidate_key,
)
from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_jobs.core.placement import Placement
from pollenkeel_jobs.core.vms import Vm

#: Seconds for which a task must have received little CPU time before it is moved.
_STARVED_AFTER_SECONDS = 1.2
#: Progress in percent from which a task with checkpoints is not moved, as it is nearly
#: done.
_MAX_PERCENT_CHECKPOINTING = 70
#: Progress in percent from which a task without checkpoints is not moved, as it would
#: have to start again.
_MAX_PERCENT_RESTARTING = 8
#: Expected CPU load of the new VM, as a share of its capacity, below which a move is
#: worthwhile.
_MAX_TARGET_LOAD = 0.85
#: Maximum number of moves in one scheduling pass.
_MAX_MOVES_PER_PASS = 4


class Migration:
    """Chooses running tasks to move by a stop that saves their progress.

    Parameters
    ----------
    placement : Placement
        Chooses the new VM.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    def choose_from_draining(
        self, vms: Iterable[Vm], usable: list[Vm]
    ) -> Iterator[tuple[Vm, Task]]:
        """Yield long-running tasks of draining workers that fit on another VM.

        Otherwise they would run until the worker has ended, and could not be placed
        again before its lease has expired.

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
        """Yield heavily throttled best-effort tasks that fit on another VM.

        Each comes with the VM that it runs on.
        """
        usable = list(vms)
        targets = [vm for vm in usable if vm.cpu_load < _MAX_TARGET_LOAD]
        targets_by_key: dict[CandidateKey, Candidates] = {}
        moves = 0
        for vm in usable:
            for task in list(vm.tasks_by_id.values()):
                if moves >= _MAX_MOVES_PER_PASS:
                    return
                if not _is_starved(task, now):
                    continue
                key = make_candidate_key(task, self._placement)
                if key not in targets_by_key:
                    targets_by_key[key] = Candidates(task, targets, self._placement)
                if targets_by_key[key].has_other_than(vm):
                    moves += 1
                    yield vm, task


def _is_starved(task: Task, now: float) -> bool:
    step = task.step
    if not step.fills or task.state is not TaskState.PLACED or task.stop_wanted:
        return False
    if not task.starved_since or now - task.starved_since < _STARVED_AFTER_SECONDS:
        return False
    limit = (
        _MAX_PERCENT_CHECKPOINTING if step.checkpointing else _MAX_PERCENT_RESTARTING
    )
    return task.percent < limit
