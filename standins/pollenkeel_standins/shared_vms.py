"""VMs on which filling tasks disturb serving ones, played without a network.

The real scheduler and the real pace controllers decide; this module plays what the VMs
then do. The tail latency of a serving task is that of a server in front of a queue: it
grows with one over the idle share, where both its own load and the work of each filling
image beside it, times a weight of the pair, take from that share.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.harm import HarmModel
from pollenkeel_jobs.core.messages import (
    EndedTask,
    PairHarm,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskProfile,
    VmReport,
)
from pollenkeel_jobs.core.model import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.pacing import PaceController
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_kernel.core.clock import ManualClock

#: Seconds of one step of the play.
TICK_SECONDS = 0.1
#: Seconds over which the figures of a run are a mean.
_FIGURE_SECONDS = 0.5
#: Seconds between two looks of an agent at its worker.
_LOOK_SECONDS = 0.4
#: Work in seconds after which a run has a new checkpoint.
_CHECKPOINT_SECONDS = 1.0
#: Seconds that a run needs to continue from a checkpoint.
_RESTORE_SECONDS = 0.25
#: Seconds for which a serving task starts up.
_START_UP_SECONDS = 0.5
#: Seconds in which a high latency falls by the factor e: the queue has to empty first.
_DECAY_SECONDS = 0.6
#: Least idle share of a server; bounds the latency.
_LEAST_IDLE_SHARE = 0.01
#: Multiple of the objective up to which a late job still counts, and its worth then.
_LATE_UNTIL = 3.0
_LATE_WORTH = 0.15
#: Megabytes that a task declares for each thousandth of a core.
_MEMORY_FACTOR = 1.9
_FIGURES = round(_FIGURE_SECONDS / TICK_SECONDS)


@attrs.frozen
class Interference:
    """What the platform knows and the product has to learn.

    Attributes
    ----------
    idle_latency : float
        Tail latency of a serving task without any load, in milliseconds.
    load : float
        Mean load of a serving task, from 0 to 1.
    swing : float
        Share of ``load`` by which it rises and falls.
    period : float
        Seconds of one rise and fall.
    weight_by_pair : dict of (str, str) to float
        Load that a filling image with all cores of a VM adds to a serving image.
    phase_by_image : dict of str to float
        Shift of the swing of each serving image, in radians.
    """

    idle_latency: float
    load: float
    swing: float
    period: float
    weight_by_pair: dict[tuple[str, str], float]
    phase_by_image: dict[str, float]

    def own_load(self, image: str, now: float) -> float:
        """Return the load of a serving task without filling tasks beside it."""
        angle = 2 * math.pi * now / self.period + self.phase_by_image[image]
        return self.load * (1.0 + self.swing * math.sin(angle))

    def latency(self, load: float) -> float:
        """Return the tail latency at a load, in milliseconds."""
        return self.idle_latency / max(_LEAST_IDLE_SHARE, 1.0 - load)


@attrs.define
class _Run:
    order: StartOrder
    work: float
    done: float
    checkpointing: bool
    resumes_at: float
    pace: float = 100.0
    latency: float = 0.0
    figures: deque[float] = attrs.field(factory=lambda: deque(maxlen=_FIGURES))

    @property
    def profile(self) -> TaskProfile:
        return self.order.profile

    @property
    def saved(self) -> str:
        if not self.checkpointing:
            return ""
        done = self.done // _CHECKPOINT_SECONDS * _CHECKPOINT_SECONDS
        return str(done) if done else ""


@attrs.define
class ServingTime:
    """Seconds of all serving tasks, and those of them over the target.

    Attributes
    ----------
    disturbed : float
        Seconds over the target that would be below it without filling tasks.
    longest : float
        Longest stretch of ``disturbed`` of one task, in seconds.
    """

    total: float = 0.0
    disturbed: float = 0.0
    longest: float = 0.0


class SharedVm:
    """One VM with its agent's pace controller.

    Parameters
    ----------
    name : str
        Id of the VM.
    cores : int
        Capacity in thousandths of a core.
    fleet : SharedFleet
        Fleet that the VM belongs to.
    """

    def __init__(self, name: str, cores: int, fleet: SharedFleet) -> None:
        self.name = name
        self.cores = cores
        self._fleet = fleet
        self._runs_by_id: dict[tuple[str, int], _Run] = {}
        self._ended: list[EndedTask] = []
        self._ends = 0
        self._withdrawn: list[StopOrder] = []
        self._pace = PaceController()
        self._harms: list[PairHarm] = []
        self._over_by_task: dict[str, float] = {}
        self._look_at = 0.0
        self.used = 0.0
        self.vm = fleet.scheduler.add_vm(name, "tcp://nowhere")

    def start(self, order: StartOrder, harms: list[PairHarm]) -> None:
        """Begin a run."""
        now = self._fleet.clock.now()
        spec = self._fleet.step_of(order.task_id)
        done = float(order.checkpoint or 0.0)
        restore = _RESTORE_SECONDS if order.checkpoint else 0.0
        if spec.long_running:
            restore = _START_UP_SECONDS
        run = _Run(
            order,
            self._fleet.work_of(order.task_id),
            done,
            spec.checkpointing,
            now + restore,
        )
        key = order.task_id, order.run
        self._runs_by_id[key] = run
        pace = self._pace.admit(key, order.profile, harms, self.cores, now)
        if pace is not None:
            run.pace = pace.percent
            self._pace.confirm(pace)

    def stop(self, order: StopOrder) -> None:
        """End a run, or keep it from starting."""
        self._withdrawn.append(order)
        run = self._runs_by_id.get((order.task_id, order.run))
        if run is not None:
            saved = str(run.done) if run.checkpointing and run.done else ""
            self._end(run, "stopped", saved)

    def _end(self, run: _Run, how: str, saved: str) -> None:
        del self._runs_by_id[run.order.task_id, run.order.run]
        self._ends += 1
        self._ended.append(
            EndedTask(self._ends, run.order.task_id, run.order.run, how, saved)
        )
        self._look_at = 0.0

    def advance(self, serving_time: ServingTime) -> None:
        """Play one step."""
        now = self._fleet.clock.now()
        runs = list(self._runs_by_id.values())
        use_by_image = self._work(runs, now)
        self._serve(runs, use_by_image, now, serving_time)
        if now >= self._look_at:
            self._look_at = now + _LOOK_SECONDS
            self.look()

    def _work(self, runs: list[_Run], now: float) -> dict[str, float]:
        """Let the filling tasks work; return the share of the cores by image."""
        load = self._fleet.interference
        serving = [run for run in runs if run.profile.latency_target]
        busy = sum(
            run.profile.cores * load.own_load(run.profile.image, now) for run in serving
        )
        filling = [run for run in runs if run.profile.fills]
        wanted = sum(
            run.profile.cores * run.pace / 100
            for run in filling
            if now >= run.resumes_at
        )
        share = min(1.0, max(0.0, self.cores - busy) / wanted) if wanted else 0.0
        use_by_image: dict[str, float] = {}
        self.used = 0.0
        for run in filling:
            use = run.profile.cores * run.pace / 100 * share
            if now < run.resumes_at:
                use = 0.0
            run.figures.append(use)
            self.used += use
            image = run.profile.image
            use_by_image[image] = use_by_image.get(image, 0.0) + use / self.cores
            run.done += TICK_SECONDS * use / run.profile.cores
            if run.done >= run.work:
                self._end(run, "done", "")
        return use_by_image

    def _serve(
        self,
        runs: list[_Run],
        use_by_image: dict[str, float],
        now: float,
        serving_time: ServingTime,
    ) -> None:
        load = self._fleet.interference
        for run in runs:
            profile = run.profile
            if not profile.latency_target:
                continue
            own = load.own_load(profile.image, now)
            added = sum(
                load.weight_by_pair[profile.image, image] * use
                for image, use in use_by_image.items()
            )
            decayed = run.latency * math.exp(-TICK_SECONDS / _DECAY_SECONDS)
            latency = run.latency = max(load.latency(own + added), decayed)
            run.figures.append(latency)
            target = profile.latency_target
            over = latency > target and load.latency(own) <= target
            task = run.order.task_id
            stretch = self._over_by_task.get(task, 0.0) + TICK_SECONDS if over else 0.0
            self._over_by_task[task] = stretch
            serving_time.total += TICK_SECONDS
            serving_time.disturbed += TICK_SECONDS if over else 0.0
            serving_time.longest = max(serving_time.longest, stretch)

    def look(self) -> None:
        """Do what an agent does: pace, report, take the reply."""
        running = [self._list(run) for run in self._runs_by_id.values()]
        profiles = {run.order.task_id: run.profile for run in self._runs_by_id.values()}
        now = self._fleet.clock.now()
        paces = list(self._pace.decide(running, profiles, self._harms, self.cores, now))
        for pace in paces:
            self._runs_by_id[pace.task_id, pace.run].pace = pace.percent
            self._pace.confirm(pace)
        reply = self._fleet.scheduler.take_report(self._report(running), True)
        self._harms = reply.harms
        self._ended = [e for e in self._ended if e.number > reply.recorded_through]

    def _list(self, run: _Run) -> RunningTask:
        percent = 100
        if not run.profile.latency_target:
            percent = int(100 * run.done / run.work)
        figure = sum(run.figures) / len(run.figures) if run.figures else 0.0
        noise = self._fleet.noise.gauss(1.0, 0.04)
        figure = round(figure * noise)
        order = run.order
        return RunningTask(order.task_id, order.run, run.saved, percent, figure)

    def _report(self, running: list[RunningTask]) -> VmReport:
        epoch = self._fleet.scheduler.epoch
        return VmReport(
            self.name,
            0.0,
            self.name,
            epoch,
            fenced_epoch=epoch,
            worker=f"{self.name}/w~1",
            service="desk",
            zone="z",
            state="ready",
            capacity=Demand(self.cores, 4 * self.cores),
            labels=[],
            clock=self._fleet.clock.now() * 1000,
            running=running,
            ended=list(self._ended),
            withdrawn=list(self._withdrawn),
            paced=self._pace.active,
        )


@attrs.frozen
class JobResult:
    """What the caller of a filling job got.

    Attributes
    ----------
    allowed : float
        Seconds of its objective, from the true work of its longest chain.
    seconds : float or None
        Time from submission to the end; None if it did not end.
    worth : float
        Weight of the job.
    """

    allowed: float
    seconds: float | None
    worth: float

    @property
    def earned(self) -> float:
        """Share of the worth that was earned."""
        if self.seconds is None or self.seconds > _LATE_UNTIL * self.allowed:
            return 0.0
        return 1.0 if self.seconds <= self.allowed else _LATE_WORTH


@attrs.frozen
class LoadSettings:
    """Load of one play; the defaults are a desk of eleven VMs.

    Attributes
    ----------
    jobs_per_second : float
        Rate of the filling jobs.
    cores_per_task : int
        Mean declared processor use of a filling task, in thousandths of a core.
    task_seconds : float
        Mean work of a filling task.
    resources : int
        Number of shared resources, such as the memory bandwidth. Each serving image is
        sensitive to one and each filling image loads one.
    heavy_share : float
        Share of the filling images that load their resource heavily.
    """

    vm_cores: tuple[int, ...] = (64_000, 64_000, 96_000) * 3 + (64_000, 64_000)
    serving_jobs: int = 9
    serving_tasks: int = 6
    serving_cores: int = 13_000
    serving_images: int = 5
    filling_images: int = 9
    latency_target: float = 150.0
    jobs_per_second: float = 1.0
    cores_per_task: int = 7_000
    task_seconds: float = 3.4
    steps: float = 2.0
    width: float = 8.0
    resources: int = 2
    heavy_share: float = 0.55
    seconds: float = 46.0
    submit_seconds: float = 34.0


class SharedFleet:
    """Plays serving and filling jobs on VMs through the real decision code.

    Parameters
    ----------
    settings : LoadSettings
        The load.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, settings: LoadSettings, seed: int) -> None:
        self.noise = random.Random(seed)
        self._rng = random.Random(seed)
        self.settings = settings
        self.clock = ManualClock()
        self.scheduler = Scheduler(1, self.clock, HarmModel())
        self.interference = self._draw_interference()
        self.serving_time = ServingTime()
        self.used_core_seconds = 0.0
        self._specs_by_job: dict[str, JobSpec] = {}
        self._work_by_task: dict[str, float] = {}
        self._submitted_at_by_job: dict[str, float] = {}
        self._ended_at_by_job: dict[str, float] = {}
        self._vms = [
            SharedVm(f"vm-{number}", cores, self)
            for number, cores in enumerate(settings.vm_cores)
        ]

    def step_of(self, task_id: str) -> StepSpec:
        """Return the step of a task."""
        job, _, step, _ = task_id.split(".")
        return self._specs_by_job[job].steps[int(step)]

    def work_of(self, task_id: str) -> float:
        """Return the seconds that a task takes at full speed."""
        return self._work_by_task.get(task_id, math.inf)

    def simulate(self) -> list[JobResult]:
        """Play the load and return what became of the filling jobs."""
        for number in range(self.settings.serving_jobs):
            self._submit_serving(f"serving{number}")
        begin = self.clock.now() + 5.0
        arrivals = self._draw_arrivals()
        following = next(arrivals, None)
        while self.clock.now() < begin + self.settings.seconds:
            while following is not None and begin + following <= self.clock.now():
                self._submit_filling(f"filling{len(self._submitted_at_by_job)}")
                following = next(arrivals, None)
            self._step()
        return list(self._results())

    def _draw_interference(self) -> Interference:
        settings = self.settings
        rng = self._rng
        serving = [f"serving-{n}" for n in range(settings.serving_images)]
        filling = [f"filling-{n}" for n in range(settings.filling_images)]
        resource_by_image = {
            image: rng.randrange(settings.resources) for image in serving + filling
        }
        heavy = {image for image in filling if rng.random() < settings.heavy_share}
        weights = {}
        for pair in [(s, f) for s in serving for f in filling]:
            same = resource_by_image[pair[0]] == resource_by_image[pair[1]]
            harmful = same and pair[1] in heavy
            bounds = (1.1, 1.9) if harmful else (0.03, 0.15)
            weights[pair] = rng.uniform(*bounds)
        phases = {image: rng.uniform(0, 2 * math.pi) for image in serving}
        return Interference(25.0, 0.52, 0.46, 20.0, weights, phases)

    def _draw_arrivals(self) -> Iterator[float]:
        at = 0.0
        while at < self.settings.submit_seconds:
            yield at
            at += self._rng.expovariate(self.settings.jobs_per_second)

    def _submit_serving(self, job_id: str) -> None:
        settings = self.settings
        image = self._rng.choice(list(self.interference.phase_by_image))
        step = StepSpec(
            settings.serving_tasks,
            _make_demand(settings.serving_cores),
            long_running=True,
            image=image,
            latency_target=settings.latency_target,
            spread_limit=self._rng.choice((0, 1)),
        )
        self._add(JobSpec(job_id, QueuePolicy("serving", "desk"), "", (step,)))

    def _submit_filling(self, job_id: str) -> None:
        rng = self._rng
        settings = self.settings
        image = f"filling-{rng.randrange(settings.filling_images)}"
        count = max(1, min(5, round(self._draw(settings.steps, 0.4))))
        cores = int(self._draw(settings.cores_per_task, 0.3))
        steps = []
        for number in range(count):
            width = max(1, min(32, round(self._draw(settings.width, 0.6))))
            work = min(8.6, self._draw(settings.task_seconds, 0.5))
            for index in range(width):
                own = work * rng.lognormvariate(0.0, 0.15)
                self._work_by_task[f"{job_id}.0.{number}.{index}"] = own
            steps.append(
                StepSpec(
                    width,
                    _make_demand(cores),
                    work * rng.lognormvariate(0.0, 0.5),
                    after=(number - 1,) if number else (),
                    checkpointing=rng.random() < 0.85,
                    image=image,
                    fills=True,
                )
            )
        policy = QueuePolicy(
            "filling", "desk", 2, attempts=3, stretch=2.0, target_latency=1.0
        )
        self._submitted_at_by_job[job_id] = self.clock.now()
        self._add(JobSpec(job_id, policy, "", tuple(steps)))

    def _draw(self, mean: float, spread: float) -> float:
        """Return a log-normal number with this mean."""
        return mean * self._rng.lognormvariate(-spread * spread / 2, spread)

    def _add(self, spec: JobSpec) -> None:
        self._specs_by_job[spec.job_id] = spec
        self.scheduler.add_job(spec)

    def _step(self) -> None:
        self.clock.advance(TICK_SECONDS)
        self.scheduler.follow_operations(Operations(1), self.clock.now())
        for vm in self._vms:
            vm.advance(self.serving_time)
            self.used_core_seconds += vm.used * TICK_SECONDS / 1000
        planned = self.scheduler.plan()
        self.scheduler.confirm(planned)
        for job, status in planned.statuses_by_job.items():
            if status.final:
                self._ended_at_by_job.setdefault(job.spec.job_id, self.clock.now())
        for work in planned.works:
            vm = next(vm for vm in self._vms if vm.vm is work.vm)
            for stop in work.stops:
                vm.stop(stop)
            for order in self.scheduler.make_starts(work.vm, work.starts)[0]:
                vm.start(order, self.scheduler.find_harms(work.vm))

    def _results(self) -> Iterator[JobResult]:
        for job_id, submitted_at in self._submitted_at_by_job.items():
            spec = self._specs_by_job[job_id]
            chain = 0.0
            total = 0.0
            for number, step in enumerate(spec.steps):
                works = [
                    self._work_by_task[f"{job_id}.0.{number}.{index}"]
                    for index in range(step.count)
                ]
                chain += max(works)
                total += sum(works) * step.demand.cpu / 1000
            allowed = spec.queue.stretch * chain + spec.queue.target_latency
            ended_at = self._ended_at_by_job.get(job_id)
            seconds = None if ended_at is None else ended_at - submitted_at
            yield JobResult(allowed, seconds, 0.3 + 0.7 * min(5.0, total / 380))


def _make_demand(cores: int) -> Demand:
    return Demand(cores, int(_MEMORY_FACTOR * cores))
