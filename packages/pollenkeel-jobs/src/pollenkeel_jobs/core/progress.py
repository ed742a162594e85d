"""What the workers' figures say of the runs of a VM."""

from __future__ import annotations

from collections.abc import Iterable

from pollenkeel_jobs.core.headroom import get_headroom
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import RunningTask
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm

#: Share of its declared processor use below which a filling task is starved.
_STARVED_SHARE = 0.4
#: Weight of the newest figure in the mean use of a run.
_USE_WEIGHT = 0.1
#: Seconds after the start of a run before its figures count.
_WARM_UP_SECONDS = 0.8
#: Share of its declared processor use that a slowed task is counted with.
_LEAST_USE = 0.25
#: Seconds over which the headroom of a serving image is a mean.
_HEADROOM_SECONDS = 1.0
#: Seconds without progress after which a run counts as stalled.
_STALL_SECONDS = 2.0
#: Percent that a long-running task shows while it is at work.
_AT_WORK = 100


def note_use(task: Task, running: RunningTask, paced: bool, now: float) -> None:
    """Keep what a listed run shows.

    Parameters
    ----------
    task : Task
        The task of the run.
    running : RunningTask
        What the worker lists.
    paced : bool
        Filling tasks of the VM are slowed, so that one without progress is sound.
    now : float
        Current time in seconds since the Unix epoch.
    """
    task.seen_at = task.seen_at or now
    if running.checkpoint:
        task.checkpoint = running.checkpoint
    step = task.step
    advanced = running.percent != task.percent or not task.progress_at
    if advanced or (paced and step.fills):
        task.percent = running.percent
        task.progress_at = now
    if not step.fills:
        return
    share = running.figure / max(1, step.demand.cpu)
    task.use += _USE_WEIGHT * (share - task.use) if task.use else share
    starved = running.figure < _STARVED_SHARE * step.demand.cpu
    if not starved or now - task.seen_at < _WARM_UP_SECONDS:
        task.starved_since = 0.0
    elif not task.starved_since:
        task.starved_since = now


def note_fill_use(vm: Vm, running: Iterable[RunningTask], now: float) -> None:
    """Keep what the filling tasks of a VM use, once their figures count."""
    for run in running:
        task = vm.tasks_by_id.get(run.task_id)
        if task is None or run.task_id not in vm.fill_use_by_task:
            continue
        if task.seen_at and now - task.seen_at > _WARM_UP_SECONDS:
            least = _LEAST_USE * task.step.demand.cpu
            vm.fill_use_by_task[run.task_id] = max(run.figure, least)


def has_stalled(task: Task, now: float) -> bool:
    """Return whether a run makes no progress although nothing slows it."""
    if task.step.long_running and task.percent >= _AT_WORK:
        return False
    return not task.stop_wanted and now - task.progress_at > _STALL_SECONDS


def note_headroom(
    vm: Vm, running: Iterable[RunningTask], harm: InterferenceModel, now: float
) -> None:
    """Keep the mean headroom that each serving image has without filling tasks.

    The present latency is no measure of the room for more: pacing keeps it below the
    target however many filling tasks share what there is.
    """
    lowest_by_image: dict[str, float] = {}
    uses_by_image: dict[str, float] = {}
    for run in running:
        profile = vm.profiles_by_task.get(run.task_id)
        if profile is None:
            continue
        image = profile.image
        if profile.fills:
            uses_by_image[image] = uses_by_image.get(image, 0.0) + run.figure
        elif profile.latency_target and run.figure:
            headroom = get_headroom(run.figure, profile.latency_target)
            lowest_by_image[image] = min(lowest_by_image.get(image, headroom), headroom)
    passed = now - vm.headroom_at
    vm.headroom_at = now
    share = passed / (passed + _HEADROOM_SECONDS)
    for image in set(vm.headroom_by_image) - set(lowest_by_image):
        del vm.headroom_by_image[image]
    for image, headroom in lowest_by_image.items():
        for filling, use in uses_by_image.items():
            headroom += harm.weight(image, filling) * use / max(1, vm.capacity.cpu)
        known = vm.headroom_by_image.get(image, headroom)
        vm.headroom_by_image[image] = known + share * (headroom - known)
