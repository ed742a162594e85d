"""The leader's view of the VMs."""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.messages import TaskProfile
from pollenkeel_jobs.core.model import Demand, Task

#: Seconds after which a VM without a report gets no new tasks.
FRESH_SECONDS = 1.2
#: Seconds of the worker's lease that must be left for a start.
_LEASE_NEEDED = 2.0
#: Share of its declared processor use that a serving task takes on average.
_SERVING_USE = 0.5


@attrs.define(eq=False)
class Vm:
    """One VM with the tasks that were placed on it.

    Attributes
    ----------
    name : str
        Id of the VM.
    address : str
        Address of its agent.
    life : str
        Life of the worker according to the last report.
    heard_at : float
        Time of the last report, in seconds since the Unix epoch.
    listed_at : float
        Time of the last report with the worker's lists, which an agent cannot give
        while its worker does not answer; in seconds since the Unix epoch.
    fenced : bool
        The worker has taken the leader's fencing token.
    lease_until : float
        End of the lease granted last, on the worker's clock, in milliseconds.
    lapsed_at : float
        Time at which every lease granted so far has surely ended, in seconds since
        the Unix epoch.
    ended_through : int
        Number of the last end that was taken into the state.
    recorded_through : int
        Number of the last end whose effect is recorded.
    slowness : float
        Factor by which tasks run longer than elsewhere.
    foreign : Demand
        Resources of listed runs that are not placed here, such as those of a cancelled
        job that an earlier leader did not stop any more.
    lists_unknown : bool
        The worker lists a run of a job that is not known, so that its demand is not.
    fill_use_by_task : dict of str to float
        Processor time that each filling task uses, in thousandths of a core; what it
        declares until there are figures.
    fill_cores_by_image : dict of str to int
        What the filling tasks of each image declare, in thousandths of a core.
    headroom_at : float
        Time of the last figures in ``headroom_by_image``, in seconds since the Unix
        epoch.
    headroom_by_image : dict of str to float
        Mean headroom that each serving image would have without any filling task.
    """

    name: str
    address: str
    incarnation: str = ""
    service: str = ""
    zone: str = ""
    draining: bool = False
    capacity: Demand = attrs.field(factory=Demand)
    labels: frozenset[str] = frozenset()
    heard_at: float = 0.0
    listed_at: float = 0.0
    fenced: bool = False
    clock: float = 0.0
    lease_until: float = 0.0
    lapsed_at: float = 0.0
    ended_through: int = 0
    recorded_through: int = 0
    slowness: float = 1.0
    used: Demand = attrs.field(factory=Demand)
    foreign: Demand = attrs.field(factory=Demand)
    lists_unknown: bool = False
    fill_use_by_task: dict[str, float] = attrs.field(factory=dict)
    tasks_by_id: dict[str, Task] = attrs.field(factory=dict)
    serving_cpu: int = 0
    fill_cores_by_image: dict[str, int] = attrs.field(factory=dict)
    headroom_at: float = 0.0
    headroom_by_image: dict[str, float] = attrs.field(factory=dict)
    profiles_by_task: dict[str, TaskProfile] = attrs.field(factory=dict)

    @property
    def serving_images(self) -> set[str]:
        """Images of the placed tasks that have a latency target."""
        profiles = self.profiles_by_task.values()
        return {profile.image for profile in profiles if profile.latency_target}

    @property
    def filling_images(self) -> set[str]:
        """Images of the placed tasks that fill."""
        profiles = self.profiles_by_task.values()
        return {profile.image for profile in profiles if profile.fills}

    @property
    def free(self) -> Demand:
        """Capacity that no placed task has reserved and no other run still holds."""
        return self.capacity - self.used - self.foreign

    @property
    def cpu_load(self) -> float:
        """Expected processor use of all placed tasks as a share of the capacity."""
        idle = int(self.serving_cpu * (1.0 - _SERVING_USE))
        fill = sum(self.fill_use_by_task.values())
        return (self.used.cpu - idle + fill) / max(1, self.capacity.cpu)

    def is_usable(self, now: float) -> bool:
        """Return whether the VM may receive starts."""
        return (
            bool(self.incarnation)
            and self.fenced
            and not self.draining
            and not self.lists_unknown
            and self.lease_until > 0
            and now - self.listed_at < FRESH_SECONDS
            and now < self.lapsed_at - _LEASE_NEEDED
        )

    def count_of_step(self, task: Task) -> int:
        """Return how many tasks of the task's step are placed here."""
        peers = task.job.tasks_by_step[task.key.occurrence, task.key.step]
        return sum(1 for peer in peers if peer.task_id in self.tasks_by_id)

    def add(self, task: Task) -> None:
        """Reserve the resources of a task."""
        step = task.step
        self.tasks_by_id[task.task_id] = task
        self.profiles_by_task[task.task_id] = make_profile(task)
        self.used += step.reserved
        if step.fills:
            self.fill_use_by_task[task.task_id] = step.demand.cpu
            known = self.fill_cores_by_image.get(step.image, 0)
            self.fill_cores_by_image[step.image] = known + step.demand.cpu
        if step.latency_target:
            self.serving_cpu += step.demand.cpu

    def remove(self, task: Task) -> None:
        """Free the resources of a task."""
        if self.tasks_by_id.pop(task.task_id, None) is None:
            return
        step = task.step
        del self.profiles_by_task[task.task_id]
        self.used -= step.reserved
        if step.fills:
            del self.fill_use_by_task[task.task_id]
            left = self.fill_cores_by_image[step.image] - step.demand.cpu
            self.fill_cores_by_image[step.image] = left
        if step.latency_target:
            self.serving_cpu -= step.demand.cpu


def make_profile(task: Task) -> TaskProfile:
    """Return what agents need to know of a task."""
    step = task.step
    return TaskProfile(
        task.task_id, step.image, step.fills, step.latency_target, step.demand.cpu
    )
