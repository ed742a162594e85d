"""Updates tasks and VMs from the progress and measurements that workers report."""

from __future__ import annotations

from collections.abc import Iterable

from pollenkeel_jobs.core.cpu_share import compute_cpu_share
from pollenkeel_jobs.core.headroom import compute_headroom
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.job_table import list_step_tasks
from pollenkeel_jobs.core.messages import RunningTask
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.vms import Vm

#: Share of its declared CPU below which a best-effort task is starved.
_STARVED_USE_SHARE = 0.4
#: Weight of the newest measurement in the moving average of a run's CPU use.
_USE_WEIGHT = 0.1
#: Seconds after the start of a run before its measurements count.
_WARM_UP_SECONDS = 0.8
#: Lower bound of the CPU use counted for a best-effort task, as a share of its declared
#: CPU.
_MIN_USE_SHARE = 0.25
#: Time constant of the mean headroom of a latency-critical image, in seconds.
_HEADROOM_SECONDS = 1.0


def update_run(
    vm: Vm, task: Task, running: RunningTask, paced: bool, now: float
) -> None:
    """Update a task from a run that its worker lists.

    Parameters
    ----------
    vm : Vm
        VM of the worker.
    task : Task
        The task of the run.
    running : RunningTask
        The run as listed by the worker.
    paced : bool
        Whether best-effort tasks of the VM are throttled, in which case one without
        progress has not stalled.
    now : float
        Current time in seconds since the Unix epoch.
    """
    task.seen_at = task.seen_at or now
    task.running_at = vm.clock
    if running.checkpoint != task.listed_checkpoint:
        task.listed_checkpoint = running.checkpoint
        store_checkpoint(task, running.checkpoint)
    step = task.step
    task.progress.record(running.percent, vm.clock)
    if paced and step.fills:
        task.progress.excuse(vm.clock)
    if not step.fills:
        return
    share = min(running.figure, vm.capacity.cpu) / max(1, step.demand.cpu)
    task.use += _USE_WEIGHT * (share - task.use) if task.use else share
    starved = running.figure < _STARVED_USE_SHARE * step.demand.cpu
    if not starved or now - task.seen_at < _WARM_UP_SECONDS:
        task.starved_since = 0.0
    elif not task.starved_since:
        task.starved_since = now


def store_checkpoint(task: Task, checkpoint: str) -> None:
    """Store the checkpoint of a run, if it has one; a gang has one for all members.

    The checkpoint of any member is valid for its gang, and all must resume from the
    same one.
    """
    if not checkpoint:
        return
    for member in list_step_tasks(task) if task.step.gang else [task]:
        member.checkpoint = checkpoint


def update_best_effort_use(vm: Vm, running: Iterable[RunningTask], now: float) -> None:
    """Update the CPU use of a VM's best-effort tasks that have warmed up."""
    for run in running:
        task = vm.tasks_by_id.get(run.task_id)
        if task is None or run.task_id not in vm.best_effort_use_by_task:
            continue
        if task.seen_at and now - task.seen_at > _WARM_UP_SECONDS:
            least = _MIN_USE_SHARE * task.step.demand.cpu
            used = min(run.figure, vm.capacity.cpu)
            vm.best_effort_use_by_task[run.task_id] = max(used, least)


def update_headroom(
    vm: Vm, running: Iterable[RunningTask], interference: InterferenceModel, now: float
) -> None:
    """Update the headroom that latency-critical images have without best-effort tasks.

    The current latency does not show whether more tasks fit: throttling keeps it below
    the target however many best-effort tasks share the headroom.
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
            headroom = compute_headroom(run.figure, profile.latency_target)
            lowest_by_image[image] = min(lowest_by_image.get(image, headroom), headroom)
    passed = now - vm.headroom_at
    vm.headroom_at = now
    share = passed / (passed + _HEADROOM_SECONDS)
    for image in set(vm.headroom_by_image) - set(lowest_by_image):
        del vm.headroom_by_image[image]
    for image, headroom in lowest_by_image.items():
        for best_effort, use in uses_by_image.items():
            share_of_cores = compute_cpu_share(use, vm.capacity.cpu)
            headroom += interference.weight(image, best_effort) * share_of_cores
        known = vm.headroom_by_image.get(image, headroom)
        vm.headroom_by_image[image] = known + share * (headroom - known)
