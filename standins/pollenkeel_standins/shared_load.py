"""Load of the simulation of shared VMs, its true interference, and its results."""

from __future__ import annotations

import math

import attrs

#: Lower bound of the idle share of a server; bounds the latency.
_MIN_IDLE_SHARE = 0.01
#: A job that ends after its objective, but within ``_LATE_FACTOR`` times the objective,
#: earns ``_LATE_WORTH`` of its worth.
_LATE_FACTOR = 3.0
_LATE_WORTH = 0.15


@attrs.frozen
class Interference:
    """True interference between images, which the scheduler has to learn.

    Attributes
    ----------
    idle_latency : float
        Tail latency of an idle latency-critical task, in milliseconds.
    load : float
        Mean load of a latency-critical task, from 0 to 1.
    amplitude : float
        Amplitude of the sinusoidal variation of the load, as a share of ``load``.
    period : float
        Period of the variation in seconds.
    weight_by_pair : dict of (str, str) to float
        Load that a best-effort image adds to a latency-critical image if it uses all
        cores of the VM, by (latency-critical image, best-effort image).
    phase_by_image : dict of str to float
        Phase of the variation of each latency-critical image, in radians.
    """

    idle_latency: float
    load: float
    amplitude: float
    period: float
    weight_by_pair: dict[tuple[str, str], float]
    phase_by_image: dict[str, float]

    def solo_load(self, image: str, now: float) -> float:
        """Return the load of a latency-critical task that has the VM to itself."""
        angle = 2 * math.pi * now / self.period + self.phase_by_image[image]
        return self.load * (1.0 + self.amplitude * math.sin(angle))

    def latency(self, load: float) -> float:
        """Return the tail latency in milliseconds at a load from 0 to 1."""
        return self.idle_latency / max(_MIN_IDLE_SHARE, 1.0 - load)


@attrs.frozen
class JobResult:
    """Outcome of a best-effort job for its client.

    Attributes
    ----------
    allowed : float
        Objective of the run time in seconds, from the actual work of the critical path.
    seconds : float or None
        Time from submission to the end; None if it did not end.
    worth : float
        Value of the job, of which it earns the share ``earned``.
    """

    allowed: float
    seconds: float | None
    worth: float

    @property
    def earned(self) -> float:
        """Earned share of the worth: 1 in time, less if late, 0 if much too late."""
        if self.seconds is None or self.seconds > _LATE_FACTOR * self.allowed:
            return 0.0
        return 1.0 if self.seconds <= self.allowed else _LATE_WORTH


@attrs.frozen
class Closure:
    """A data centre in which no task may start for some time.

    Attributes
    ----------
    zone : str
        Name of the data centre, ``zone-0`` and up.
    begins_at, ends_at : float
        Times in seconds from the first arrival of a job.
    """

    zone: str
    begins_at: float
    ends_at: float


@attrs.frozen
class LoadSettings:
    """Load of one simulation; the default fleet has eleven VMs of the service ``desk``.

    Attributes
    ----------
    vm_cores : tuple of int
        Capacity of each VM, in thousandths of a core.
    serving_jobs, serving_tasks : int
        Number of latency-critical jobs, and of tasks in each.
    serving_cores : int
        Declared cores of a latency-critical task, in thousandths of a core.
    serving_images, best_effort_images : int
        Number of images of each kind.
    latency_target : float
        Target of the tail latency of latency-critical tasks, in milliseconds.
    jobs_per_second : float
        Arrival rate of best-effort jobs.
    cores_per_task : int
        Mean declared cores of a best-effort task, in thousandths of a core.
    task_seconds : float
        Mean work of a best-effort task in seconds at full speed.
    steps, width : float
        Mean number of steps of a best-effort job, and of tasks in a step.
    resources : int
        Number of contended resources, such as memory bandwidth. Each latency-critical
        image is sensitive to one of them and each best-effort image loads one.
    heavy_share : float
        Share of the best-effort images that load their resource heavily.
    short_ends_per_second : float
        Rate at which other short runs end on each VM. Each end makes the agent poll its
        worker, without a new measurement.
    seconds, submit_seconds : float
        Duration of the simulation and of its phase of job arrivals, each counted from
        the first arrival.
    zones : int
        Number of data centres that the VMs are spread over.
    closures : tuple of Closure
        Closed data centres.
    lapses_at : tuple of float
        Times, in seconds from the first arrival, at which the leases of all workers
        lapse, so that all runs end.
    leader_changes_at : tuple of float
        Times, in seconds from the first arrival, at which another leader takes over
        from the recorded state.
    """

    vm_cores: tuple[int, ...] = (64_000, 64_000, 96_000) * 3 + (64_000, 64_000)
    serving_jobs: int = 9
    serving_tasks: int = 6
    serving_cores: int = 13_000
    serving_images: int = 5
    best_effort_images: int = 9
    latency_target: float = 150.0
    jobs_per_second: float = 1.0
    cores_per_task: int = 7_000
    task_seconds: float = 3.4
    steps: float = 2.0
    width: float = 8.0
    resources: int = 2
    heavy_share: float = 0.55
    short_ends_per_second: float = 0.0
    seconds: float = 46.0
    submit_seconds: float = 34.0
    zones: int = 4
    closures: tuple[Closure, ...] = ()
    lapses_at: tuple[float, ...] = ()
    leader_changes_at: tuple[float, ...] = ()
