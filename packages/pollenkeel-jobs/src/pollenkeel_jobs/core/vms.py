"""State of a VM as the leader tracks it."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Set
from typing import Any

import attrs

from pollenkeel_jobs.core.messages import TaskProfile
from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.trials import Trial

#: Seconds after the last report with run lists for which a VM gets new tasks.
REPORT_VALID_SECONDS = 1.2
#: Remaining seconds of the worker's lease that a start requires.
_MIN_LEASE_SECONDS = 2.0
#: Number of replaced incarnations that are remembered.
_MAX_REPLACED = 64
#: Share of its declared CPU that a latency-critical task uses on average.
_MEAN_SERVING_SHARE = 0.5


@attrs.define(eq=False)
class Vm:
    """A VM with the tasks placed on it.

    The worker numbers the ended runs that it lists; the leader acknowledges them once
    their effect is recorded.

    Attributes
    ----------
    name : str
        Id of the VM.
    address : str
        Address of its agent.
    service : str
        Service whose tasks the worker runs.
    zone : str
        Data centre of the VM.
    draining : bool
        Whether the worker is leaving and takes no new tasks.
    starting : bool
        Whether the worker has not announced itself yet and takes no tasks.
    rejecting : bool
        Whether the worker rejects all calls, or nothing listens at its address.
    capacity : Demand
        Resources that the worker offers.
    labels : frozenset of str
        Labels that tasks can require, such as the rack.
    tasks_by_id : dict of str to Task
        Placed tasks.
    profiles_by_task : dict of str to TaskProfile
        Profiles of the placed tasks, by task id.
    incarnation : str
        Incarnation of the worker according to the last report, as
        ``<vm>/<worker id>~<start time>``.
    replaced : deque of str
        Latest incarnations that others have replaced; late reports of them are ignored.
    heard_at : float
        Time of the last report, in seconds since the Unix epoch.
    listed_at : float
        Time of the last report with the worker's lists of runs, which are missing while
        the worker does not answer its agent; in seconds since the Unix epoch.
    fenced : bool
        Whether the worker has accepted the leader's fencing token.
    clock : float
        Time of the latest lists on the worker's clock, in milliseconds.
    lease_until : float
        End of the latest lease, on the worker's clock, in milliseconds.
    leases_expired_at : float
        Time at which every lease granted so far has expired for certain, in seconds
        since the Unix epoch.
    ended_through : int
        Number of the last ended run that was processed.
    recorded_through : int
        Number of the last ended run whose effect is recorded.
    ends_complete_to : float
        Time on the worker's clock, in milliseconds, up to which all ends of runs have
        been listed. A list has room for a limited number.
    slowness : float
        Factor by which tasks run longer than on other VMs, at least 1.
    avoided_until : float
        Time until which other VMs are preferred, as a run seems to have stalled here,
        in seconds since the Unix epoch.
    reserved_demand : Demand
        Resources reserved by the placed tasks.
    unplaced_demand : Demand
        Resources of listed runs that this leader did not place here, such as those of a
        cancelled job that an earlier leader had not stopped yet. Tasks that wait for a
        placement are not included.
    has_unknown_runs : bool
        Whether the worker lists a run of an unknown job, whose demand is unknown too.
    trial : Trial
        Placed tasks that may have crashed workers. Until they have run for a while, the
        VM gets no others, which a further crash would end or bring under suspicion.
    best_effort_use_by_task : dict of str to float
        CPU that each best-effort task uses, in thousandths of a core; what it declares
        until there are measurements.
    serving_cpu : int
        CPU declared by the latency-critical tasks, in thousandths of a core.
    serving_count_by_image : dict of str to int
        Number of placed latency-critical tasks of each image.
    best_effort_cpu_by_image : dict of str to int
        CPU declared by the best-effort tasks of each placed image, in thousandths of a
        core.
    headroom_at : float
        Time of the last update of ``headroom_by_image``, in seconds since the Unix
        epoch.
    headroom_by_image : dict of str to float
        Mean headroom that each latency-critical image would have without any
        best-effort task.
    """

    name: str
    address: str
    incarnation: str = ""
    service: str = ""
    zone: str = ""
    draining: bool = False
    starting: bool = False
    rejecting: bool = False
    capacity: Demand = attrs.field(factory=Demand)
    labels: frozenset[str] = frozenset()
    replaced: deque[str] = attrs.field(factory=lambda: deque(maxlen=_MAX_REPLACED))
    heard_at: float = 0.0
    listed_at: float = 0.0
    fenced: bool = False
    clock: float = 0.0
    lease_until: float = 0.0
    leases_expired_at: float = 0.0
    ended_through: int = 0
    recorded_through: int = 0
    ends_complete_to: float = 0.0
    slowness: float = 1.0
    avoided_until: float = 0.0
    reserved_demand: Demand = attrs.field(factory=Demand)
    unplaced_demand: Demand = attrs.field(factory=Demand)
    has_unknown_runs: bool = False
    trial: Trial = attrs.field(factory=Trial)
    best_effort_use_by_task: dict[str, float] = attrs.field(factory=dict)
    tasks_by_id: dict[str, Task] = attrs.field(factory=dict)
    serving_cpu: int = 0
    serving_count_by_image: Counter[str] = attrs.field(factory=Counter)
    best_effort_cpu_by_image: Counter[str] = attrs.field(factory=Counter)
    headroom_at: float = 0.0
    headroom_by_image: dict[str, float] = attrs.field(factory=dict)
    profiles_by_task: dict[str, TaskProfile] = attrs.field(factory=dict)

    @property
    def serving_images(self) -> Set[str]:
        """Images of the placed tasks that have a latency target."""
        return self.serving_count_by_image.keys()

    @property
    def best_effort_images(self) -> set[str]:
        """Images of the placed best-effort tasks."""
        profiles = self.profiles_by_task.values()
        return {profile.image for profile in profiles if profile.fills}

    def has_newer_lists(self, incarnation: str, clock: float) -> bool:
        """Return whether later lists than those of this time have been processed.

        Reports of one worker come from several threads and may overtake each other.
        """
        return bool(clock) and incarnation == self.incarnation and clock < self.clock

    def describe(self) -> dict[str, Any]:
        """Return the state that the leader shows of this VM in its state dump."""
        return {
            "name": self.name,
            "worker": self.incarnation,
            "draining": self.draining,
            "heard_at": self.heard_at,
            "load": round(self.cpu_load, 3),
            "slowness": round(self.slowness, 2),
            "tasks": sorted(self.tasks_by_id),
        }

    def has_room_for(self, demand: Demand) -> bool:
        """Return whether a demand fits beside placed tasks and other runs."""
        capacity, reserved, other = (
            self.capacity,
            self.reserved_demand,
            self.unplaced_demand,
        )
        return (
            demand.cpu + reserved.cpu + other.cpu <= capacity.cpu
            and demand.memory + reserved.memory + other.memory <= capacity.memory
            and demand.accelerators + reserved.accelerators + other.accelerators
            <= capacity.accelerators
        )

    @property
    def cpu_load(self) -> float:
        """Expected CPU use of all placed tasks as a share of the capacity."""
        unused = int(self.serving_cpu * (1.0 - _MEAN_SERVING_SHARE))
        best_effort = sum(self.best_effort_use_by_task.values())
        return (self.reserved_demand.cpu - unused + best_effort) / max(
            1, self.capacity.cpu
        )

    def find_obstacle(self, now: float) -> str:
        """Return why the VM may receive no starts, or an empty string if it may."""
        if not self.incarnation:
            return "no worker"
        if not self.fenced:
            return "not fenced"
        if self.draining:
            return "draining"
        if self.starting:
            return "starting"
        if self.rejecting:
            return "rejects calls"
        if self.has_unknown_runs:
            return "unknown runs"
        if now - self.listed_at >= REPORT_VALID_SECONDS:
            return "no recent report"
        if not self.lease_until or now >= self.leases_expired_at - _MIN_LEASE_SECONDS:
            return "lease"
        return ""

    def count_step_tasks(self, task: Task) -> int:
        """Return how many tasks of the given task's step are placed here."""
        peers = task.job.tasks_by_step[task.key.occurrence, task.key.step]
        return sum(1 for peer in peers if peer.task_id in self.tasks_by_id)

    def add(self, task: Task) -> None:
        """Place a task here and reserve its resources."""
        step = task.step
        self.tasks_by_id[task.task_id] = task
        self.profiles_by_task[task.task_id] = make_profile(task)
        self.reserved_demand += step.reserved
        self.trial.add(task)
        if step.fills:
            self.best_effort_use_by_task[task.task_id] = step.demand.cpu
            self.best_effort_cpu_by_image[step.image] += step.demand.cpu
        if step.latency_target:
            self.serving_cpu += step.demand.cpu
            self.serving_count_by_image[step.image] += 1

    def remove(self, task: Task) -> None:
        """Remove a task and free its resources; does nothing if it is not here."""
        if self.tasks_by_id.pop(task.task_id, None) is None:
            return
        self.trial.remove(task)
        step = task.step
        del self.profiles_by_task[task.task_id]
        self.reserved_demand -= step.reserved
        if step.fills:
            del self.best_effort_use_by_task[task.task_id]
            _subtract(self.best_effort_cpu_by_image, step.image, step.demand.cpu)
        if step.latency_target:
            self.serving_cpu -= step.demand.cpu
            _subtract(self.serving_count_by_image, step.image, 1)


def _subtract(counts_by_image: Counter[str], image: str, count: int) -> None:
    """Reduce the count of an image; drop the image once nothing is left."""
    counts_by_image[image] -= count
    if counts_by_image[image] <= 0:
        del counts_by_image[image]


def make_profile(task: Task) -> TaskProfile:
    """Return the description of a task that its agent uses to limit interference."""
    step = task.step
    return TaskProfile(
        task.task_id, step.image, step.fills, step.latency_target, step.demand.cpu
    )
