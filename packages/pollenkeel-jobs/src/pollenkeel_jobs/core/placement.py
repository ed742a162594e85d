"""Choice of the VM for a task.

Latency-critical tasks (``serving``) have a latency target; best-effort tasks
(``fills``, ``filling``) may be throttled so that the former meet it. Loads are shares
of a VM's cores. Headroom is target over tail latency, see ``headroom``; the part above
``MIN_HEADROOM`` is spare and may be consumed by best-effort tasks.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterable

from pollenkeel_jobs.core.crash_retries import is_confined, is_delayed
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.pacing import MIN_HEADROOM
from pollenkeel_jobs.core.reservations import Reservation, Reservations
from pollenkeel_jobs.core.trials import (
    awaits_order,
    get_trial_order,
    get_trial_wait,
    has_waited_for_trial,
    is_tried_apart,
)
from pollenkeel_jobs.core.vms import Vm

#: Load added for each unit of headroom that a latency-critical task would lose.
_INTERFERENCE_FACTOR = 0.3
#: Load added if best-effort tasks would use all spare headroom of the VM's
#: latency-critical tasks.
_HEADROOM_SHARE_FACTOR = 1.0
#: Share of the spare headroom up to which best-effort tasks are added. The load of the
#: latency-critical tasks varies, and the headroom often shrinks while a task runs.
_MAX_HEADROOM_SHARE = 0.5
#: Seconds for which a best-effort task waits for a VM with enough spare headroom.
_MAX_WAIT_SECONDS = 5.0
#: Headroom assumed for a latency-critical image before there are measurements.
_DEFAULT_HEADROOM = 2.0
#: Lower bound of the spare headroom of a latency-critical image.
_MIN_SPARE_HEADROOM = 0.2
#: Load added for each other latency-critical image on the VM: the fewer of them share a
#: VM, the more best-effort images can run there without interference.
_OTHER_IMAGE_PENALTY = 0.15
#: Load subtracted where the latency-critical image runs already. Without it the tasks
#: of one image spread over all empty VMs, and those of the next are mixed with them.
_SAME_IMAGE_BONUS = 0.5
#: Expected load at which a VM gets no further best-effort task.
_MAX_BEST_EFFORT_LOAD = 1.0
#: Load added for each unit by which a VM's slowness factor exceeds 1.
_SLOWNESS_FACTOR = 0.6
#: Load added if the task failed or stalled on the VM's current worker, or may have
#: crashed a worker of the VM.
_FAILED_BEFORE_PENALTY = 5.0
#: Load added for each other run that another crash under a confined task would end.
_CONFINED_BESIDE_PENALTY = 5.0
#: Load added while a run on the VM seems to have stalled, see ``Vm.avoided_until``.
_AVOIDED_PENALTY = 2.0
#: Obstacles of a VM of another service, and of one without the label of the step.
SERVICE = "service"
LABEL = "label"
#: Share of a VM's memory in use above which it gets no further first run, except for
#: long-running tasks. First runs may last long, and would leave no room for other jobs.
_MAX_FIRST_RUN_MEMORY_SHARE = 0.75
#: Obstacle of a VM whose free resources are too small.
NO_ROOM = "room"
#: Obstacle of a VM on which other tasks are on trial.
_TRIAL = "trial"
#: Obstacle of all VMs while the next run of a task that may crash workers is delayed.
_DELAYED = "delay after crashes"
#: Obstacle of a VM whose free resources are kept for another task.
_RESERVED = "reserved room"
#: Obstacle that depends on the other tasks of the task's step, not on its demand.
SPREAD_LIMIT = "spread limit"
#: Obstacle of a best-effort task that needs too much of the spare headroom.
INTERFERENCE = "interference"
#: Load added if the task's data is on another rack.
_REMOTE_DATA_PENALTY = 1.0


class Placement(ABC):
    """Interface of a placement policy.

    Attributes
    ----------
    now : float
        Time of the current pass, in seconds since the Unix epoch.
    """

    now: float = 0.0

    @abstractmethod
    def score(self, task: Task, vm: Vm) -> float | None:
        """Return the cost of a VM for a task, or None if the task may not run there.

        It depends on the task's step, on its ``group`` and on the state of this VM.
        """

    @abstractmethod
    def find_obstacle(self, task: Task, vm: Vm) -> str:
        """Return why a task may not run on a VM, or an empty string if it may."""

    @abstractmethod
    def would_interfere_too_much(self, task: Task, vm: Vm) -> bool:
        """Return whether a best-effort task interferes too much with others on a VM."""

    @abstractmethod
    def has_waited_long(self, task: Task) -> bool:
        """Return whether a task has waited so long that limits are lifted for it.

        Where such a best-effort task may not run, none of its kind of demand may.
        """

    @abstractmethod
    def get_claim(self, task: Task) -> Hashable:
        """Return what decides, besides its step, which kept room a task may use."""

    @abstractmethod
    def is_kept_back(self, task: Task, vms: Iterable[Vm]) -> bool:
        """Return whether kept room is all that a task lacks on one of the VMs.

        Others of its kind of demand may use that room if they are expected to end soon.
        """

    @abstractmethod
    def group(self, task: Task) -> Hashable:
        """Return what makes a VM's score differ between tasks of one step."""

    def choose(self, task: Task, vms: Iterable[Vm]) -> Vm | None:
        """Return the VM with the lowest score, or None if the task fits none of them.

        Of several, the first by name is chosen.
        """
        best: tuple[float, str] | None = None
        chosen = None
        for vm in vms:
            score = self.score(task, vm)
            if score is not None and (best is None or (score, vm.name) < best):
                best = (score, vm.name)
                chosen = vm
        return chosen


class LeastLoaded(Placement):
    """Chooses the VM with the smallest load plus penalties for what slows tasks down.

    Parameters
    ----------
    interference : InterferenceModel
        Learned interference between images.
    reservations : Reservations, optional
        Room that is kept for waiting tasks.
    """

    def __init__(
        self, interference: InterferenceModel, reservations: Reservations | None = None
    ) -> None:
        self._interference = interference
        self._reservations = reservations

    def group(self, task: Task) -> Hashable:
        """Return what makes a VM's score differ between tasks of one step."""
        return (
            self.has_waited_long(task),
            task.failed_on,
            task.crashed_on,
            get_trial_order(task),
            get_trial_wait(task, self.now),
            has_waited_for_trial(task, self.now),
            self.get_claim(task),
            is_delayed(task, self.now),
        )

    def get_claim(self, task: Task) -> Hashable:
        """Return what decides, besides its step, which kept room a task may use."""
        if self._reservations is None:
            return False
        return self._reservations.get_claim(task, self.now)

    def is_kept_back(self, task: Task, vms: Iterable[Vm]) -> bool:
        """Return whether kept room is all that a task lacks on one of the VMs."""
        if self._reservations is None:
            return False
        kept = {reservation.vm for reservation in self._reservations.yielding()}
        return bool(kept) and any(
            vm in kept and self.find_obstacle(task, vm) == _RESERVED for vm in vms
        )

    def score(self, task: Task, vm: Vm) -> float | None:
        """Return the expected load of a VM plus penalties, or None if it has no room.

        The load is a share of the VM's cores.
        """
        return None if self.find_obstacle(task, vm) else self._score(task, vm)

    def find_obstacle(self, task: Task, vm: Vm) -> str:
        """Return why a task may not run on a VM, or an empty string if it may."""
        if is_delayed(task, self.now):
            return _DELAYED
        obstacle = _find_unmet_demand(task, vm, self.now)
        if not obstacle and not self._has_unreserved_room(task, vm):
            obstacle = _RESERVED
        return obstacle or self._find_exceeded_limit(task, vm)

    def _find_exceeded_limit(self, task: Task, vm: Vm) -> str:
        """Return which limit on best-effort tasks a task exceeds, or an empty string.

        The VM has room for the task.
        """
        if task.step.fills and vm.cpu_load >= _MAX_BEST_EFFORT_LOAD:
            return "load"
        return INTERFERENCE if self.would_interfere_too_much(task, vm) else ""

    def _has_unreserved_room(self, task: Task, vm: Vm) -> bool:
        reservation = self._reservations.find(vm) if self._reservations else None
        return reservation is None or self._may_use(reservation, task)

    def _may_use(self, reservation: Reservation, task: Task) -> bool:
        """Return whether a task may run where room is kept for another one."""
        return reservation.admits(task, self.now)

    def _score(self, task: Task, vm: Vm) -> float:
        step = task.step
        score = vm.cpu_load + _SLOWNESS_FACTOR * (vm.slowness - 1.0)
        if step.latency_target:
            others = vm.serving_images - {step.image}
            score += _OTHER_IMAGE_PENALTY * len(others)
            if step.image in vm.serving_images:
                score -= _SAME_IMAGE_BONUS
        if step.fills:
            score += _HEADROOM_SHARE_FACTOR * self._estimate_headroom_share(task, vm)
        elif step.latency_target:
            score += _INTERFERENCE_FACTOR * self._estimate_headroom_loss(task, vm)
        if is_confined(task):
            score += _CONFINED_BESIDE_PENALTY * len(vm.tasks_by_id)
        elif vm.incarnation in task.failed_on or task.has_crashed_vm(vm.name):
            score += _FAILED_BEFORE_PENALTY
        if self.now < vm.avoided_until:
            score += _AVOIDED_PENALTY
        if step.data_rack and step.data_rack not in vm.labels:
            score += _REMOTE_DATA_PENALTY
        return score

    def would_interfere_too_much(self, task: Task, vm: Vm) -> bool:
        """Return whether a best-effort task needs too much of the spare headroom.

        After ``_MAX_WAIT_SECONDS`` a task may also go to a VM without any other
        interfering task, since no VM may ever have the headroom for its full speed.
        """
        if not task.step.fills:
            return False
        share = self._estimate_headroom_share(task, vm)
        if share <= _MAX_HEADROOM_SHARE:
            return False
        return not self.has_waited_long(task) or self._has_interfering_tasks(vm)

    def has_waited_long(self, task: Task) -> bool:
        """Return whether a task has waited so long that limits are lifted for it."""
        return self.now - task.ready_at > _MAX_WAIT_SECONDS

    def _has_interfering_tasks(self, vm: Vm) -> bool:
        return any(
            demand and self._interference.weight(image, filling)
            for image in vm.serving_images
            for filling, demand in vm.best_effort_cpu_by_image.items()
        )

    def _estimate_headroom_share(self, task: Task, vm: Vm) -> float:
        """Return the share of spare headroom that all best-effort tasks would need.

        This is the largest share over the VM's latency-critical images. Above 1 the
        best-effort tasks are throttled; the task then completes sooner if it waits for
        another VM or for the end of other tasks.
        """
        step = task.step
        capacity_cpu = max(1, vm.capacity.cpu)
        largest = 0.0
        for image in vm.serving_images:
            added = self._interference.weight(image, step.image) * step.demand.cpu
            if not added:
                continue
            for filling, demand in vm.best_effort_cpu_by_image.items():
                added += self._interference.weight(image, filling) * demand
            headroom = vm.headroom_by_image.get(image, _DEFAULT_HEADROOM)
            spare_headroom = max(_MIN_SPARE_HEADROOM, headroom - MIN_HEADROOM)
            largest = max(largest, added / capacity_cpu / spare_headroom)
        return largest

    def _estimate_headroom_loss(self, task: Task, vm: Vm) -> float:
        """Return the headroom that a task would lose to the VM's best-effort tasks."""
        capacity_cpu = max(1, vm.capacity.cpu)
        return sum(
            self._interference.weight(task.step.image, image) * demand / capacity_cpu
            for image, demand in vm.best_effort_cpu_by_image.items()
        )


class FirstRunPlacement(LeastLoaded):
    """Places a best-effort task on the least loaded VM, whatever its headroom.

    The pacing starts the run at the speed that the VM's latency-critical tasks allow,
    so that they keep their headroom even where the limits are exceeded.
    """

    def _find_exceeded_limit(self, task: Task, vm: Vm) -> str:
        """Return "memory" for a VM with much memory in use; other limits are lifted."""
        if task.step.long_running:
            return ""
        used = vm.reserved_demand.memory + vm.unplaced_demand.memory
        limit = _MAX_FIRST_RUN_MEMORY_SHARE * vm.capacity.memory
        return "memory" if used > limit else ""

    def _may_use(self, reservation: Reservation, task: Task) -> bool:
        """Return whether a task may run where room is kept for another one.

        Its job has had no run for long, so it may use room that yields.
        """
        return reservation.yields or super()._may_use(reservation, task)


def _find_unmet_demand(task: Task, vm: Vm, now: float) -> str:
    """Return what a VM lacks for a task, or an empty string."""
    step = task.step
    if vm.service != task.job.spec.queue.service:
        return SERVICE
    if step.label and step.label not in vm.labels:
        return LABEL
    if not vm.trial.admits(task, now) or _would_start_beside_others(task, vm, now):
        return _TRIAL
    if not vm.has_room_for(step.reserved):
        return NO_ROOM
    if step.spread_limit and vm.count_step_tasks(task) >= step.spread_limit:
        return SPREAD_LIMIT
    return ""


def _would_start_beside_others(task: Task, vm: Vm, now: float) -> bool:
    """Return whether a suspect would start together with tasks that are not on trial.

    After a crash the others would be suspected as well. A suspect that has waited for
    long may start beside them, as there may always be such starts.
    """
    if not is_tried_apart(task) or has_waited_for_trial(task, now):
        return False
    return any(
        awaits_order(other) and not is_tried_apart(other)
        for other in vm.tasks_by_id.values()
    )
