"""Specifications of jobs: resources, steps and the settings of their queue."""

from __future__ import annotations

import attrs

#: Upper bound of the declared run time of a chain of steps, in seconds. Clients may
#: declare any finite number, and the time of a job's objective must stay a valid date.
_MAX_CHAIN_SECONDS = 366 * 86_400.0


@attrs.frozen
class Demand:
    """Resources of one task, or the capacity of a VM.

    Attributes
    ----------
    cpu : int
        CPU in thousandths of a core.
    memory : int
        Memory in megabytes.
    accelerators : int
        Number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: Demand) -> Demand:
        return Demand(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Demand) -> Demand:
        return Demand(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@attrs.frozen
class StepSpec:
    """One step of a job: ``count`` identical tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    demand : Demand
        Declared resources of one task.
    estimate : float
        Declared run time in seconds, which may be inaccurate.
    after : tuple of int
        Indices of the steps whose tasks must all be done first.
    checkpointing : bool
        Whether the tasks save their progress.
    gang : bool
        Whether the tasks make progress only while all of them run, and end together.
    same_rack : bool
        Whether the gang is slower when it spans several racks.
    label : str
        Label that the VM must have; empty for none.
    data_rack : str
        Label of the rack that holds the tasks' data; elsewhere they are slower. Empty
        if there is none.
    spread_limit : int
        Maximum number of the step's tasks on one VM; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel; the first end counts. Stored, but
        not used by the scheduler.
    long_running : bool
        Whether the tasks run until the job is cancelled and are restarted when they
        end.
    image : str
        Program that the tasks run; interference is learned for each pair of images.
    latency_target : float
        Target of the tail latency of a latency-critical task in milliseconds; 0 for
        other tasks.
    fills : bool
        Whether the tasks are best-effort. They use the CPU that other tasks leave and
        may be throttled in favour of others; their ``cpu`` is not reserved.
    may_miss : int
        Number of long-running tasks that may be down at the same time for planned
        maintenance; -1 for no limit. Stored, but not used by the scheduler.
    """

    count: int
    demand: Demand
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target: float = 0.0
    fills: bool = False
    may_miss: int = -1

    @property
    def reserved(self) -> Demand:
        """Resources that a task reserves on its VM."""
        demand = self.demand
        if self.fills:
            return Demand(0, demand.memory, demand.accelerators)
        return demand


@attrs.frozen
class QueuePolicy:
    """Settings of a queue in the operators' configuration.

    Attributes
    ----------
    name : str
        Name of the queue.
    service : str
        Service whose workers run the tasks.
    priority : int
        Priority of its jobs; 0 is the highest.
    attempts : int
        Number of failed runs of a task, or of all members of a gang, after which the
        job fails.
    stretch : float
        Time allowed for a job (see ``Job.objective_at``) as a multiple of the declared
        run time of its longest chain of steps.
    target_latency : float
        Seconds added to the allowed time.
    advised : bool
        Whether a start needs a ticket from the advice service.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_latency: float = 0.0
    advised: bool = False


@attrs.frozen
class JobSpec:
    """A job as submitted.

    Attributes
    ----------
    job_id : str
        Id chosen by the client.
    queue : QueuePolicy
        Queue settings at the time of acceptance.
    payload : str
        Text passed to each task.
    steps : tuple of StepSpec
        Steps, referred to by their index.
    occurrences : int
        Number of scheduled executions of all steps; 0 for a job that runs once,
        immediately.
    first_at : float
        Due time of the first occurrence in seconds since the Unix epoch.
    interval : float
        Seconds between due times.
    accepted_at : float
        Time at which an entry received the job, in seconds since the Unix epoch by the
        entry's clock; 0 if it is not known.
    """

    job_id: str
    queue: QueuePolicy
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_at: float = 0.0
    interval: float = 0.0
    accepted_at: float = 0.0

    @property
    def cpu_seconds(self) -> float:
        """Declared work of one occurrence, in core-seconds."""
        milli = 1000.0
        return sum(
            step.count * step.estimate * step.demand.cpu / milli for step in self.steps
        )

    @property
    def best_effort(self) -> bool:
        """Whether the job has best-effort tasks."""
        return any(step.fills for step in self.steps)

    def longest_chain(self) -> float:
        """Return the declared run time of the longest chain of steps, in seconds.

        It is at most ``_MAX_CHAIN_SECONDS``.
        """
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[before] for before in step.after), default=0.0)
            ends.append(begin + step.estimate)
        return min(_MAX_CHAIN_SECONDS, max(ends, default=0.0))

    def due_at(self, occurrence: int) -> float:
        """Return the due time of an occurrence in seconds since the Unix epoch."""
        return self.first_at + occurrence * self.interval
