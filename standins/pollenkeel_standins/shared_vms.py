"""Simulation of VMs on which best-effort tasks slow latency-critical ones down.

In names, a latency-critical task is a "serving" task; a best-effort task is also called
a "filling" task.

The scheduler and the pace controllers are the real ones; only the VMs are simulated,
in one process and without a network. The tail latency of a latency-critical task
is modelled as that of a server with a queue: it is inversely proportional to the
idle share of the server. That share is reduced by the task's own load and by the work
of each best-effort image on the same VM, weighted by the pair of images.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.messages import (
    EndedTask,
    InterferingPair,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskProfile,
    VmReport,
)
from pollenkeel_jobs.core.names import PROGRESS
from pollenkeel_jobs.core.operations import Operations
from pollenkeel_jobs.core.pacing import PaceController
from pollenkeel_jobs.core.progress_rows import join_progress_rows
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.specs import Demand, JobSpec, QueuePolicy, StepSpec
from pollenkeel_jobs.core.tables import Row
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_standins.shared_load import Interference, JobResult, LoadSettings

#: Length of one simulation step in seconds.
TICK_SECONDS = 0.1
#: Window in seconds over which a run is measured. The worker lists the figure of the
#: last complete window.
_MEASUREMENT_SECONDS = 0.5
#: Interval in seconds at which an agent polls its worker.
_POLL_SECONDS = 0.4
#: Seconds of work between two checkpoints of a run.
_CHECKPOINT_SECONDS = 1.0
#: Time in seconds to restore a run from a checkpoint.
_RESTORE_SECONDS = 0.25
#: Start-up time of a latency-critical task in seconds.
_STARTUP_SECONDS = 0.5
#: Time constant in seconds of the exponential decay of a high latency: the queue has to
#: drain first.
_DECAY_SECONDS = 0.6
#: Memory that a task declares, in megabytes per declared thousandth of a core.
_MEMORY_FACTOR = 1.9
_MEASUREMENT_COUNT = round(_MEASUREMENT_SECONDS / TICK_SECONDS)


@attrs.define
class _Run:
    """State of one run.

    ``work`` and ``done`` are in seconds at full speed, ``pace`` is the cap on the speed
    in percent. ``measurements`` holds the latencies of a latency-critical task (in
    milliseconds) or the cores used by a best-effort one (in thousandths) since the
    start of the window, and ``figure`` the noisy mean of the last complete one.
    """

    order: StartOrder
    work: float
    done: float
    checkpointing: bool
    resumes_at: float
    pace: float = 100.0
    latency: float = 0.0
    measurements: list[float] = attrs.field(factory=list)
    figure: float = 0.0

    def end_window(self, noise_rng: random.Random) -> None:
        """Update ``figure`` from the values of the window that ends."""
        if self.measurements:
            mean = sum(self.measurements) / len(self.measurements)
            self.figure = round(mean * noise_rng.gauss(1.0, 0.04))
            self.measurements.clear()

    @property
    def profile(self) -> TaskProfile:
        return self.order.profile

    @property
    def latest_checkpoint(self) -> str:
        """Seconds of work in the last checkpoint as text; empty without one."""
        if not self.checkpointing:
            return ""
        done = self.done // _CHECKPOINT_SECONDS * _CHECKPOINT_SECONDS
        return str(done) if done else ""


@attrs.define
class ServingTime:
    """Run time of all latency-critical tasks, and how much of it was over target.

    Attributes
    ----------
    total : float
        Seconds that the tasks ran.
    disturbed : float
        Seconds in which the latency was over target only because of interference: the
        task's own load would have kept it below.
    longest : float
        Longest continuous ``disturbed`` time of one task, in seconds.
    """

    total: float = 0.0
    disturbed: float = 0.0
    longest: float = 0.0


class SharedVm:
    """Simulated VM with the pace controller of its agent.

    Parameters
    ----------
    name : str
        Id of the VM.
    cores : int
        Capacity in thousandths of a core.
    zone : str
        Data centre of the VM.
    fleet : SharedFleet
        Fleet that the VM belongs to.

    Attributes
    ----------
    used : float
        Cores used by best-effort tasks in the last step, in thousandths of a core.
    vm : Vm
        The scheduler's record of the VM.
    """

    def __init__(self, name: str, cores: int, zone: str, fleet: SharedFleet) -> None:
        self.name = name
        self._zone = zone
        self.cores = cores
        self._fleet = fleet
        self._runs_by_id: dict[tuple[str, int], _Run] = {}
        self._ended: list[EndedTask] = []
        self._end_count = 0
        self._revoked: list[StopOrder] = []
        self._pace = PaceController()
        self._harms: list[InterferingPair] = []
        self._disturbed_by_task: dict[str, float] = {}
        self._poll_at = 0.0
        self._window_steps = fleet.noise_rng.randrange(_MEASUREMENT_COUNT)
        self.used = 0.0
        self.vm = fleet.scheduler.add_vm(name, "tcp://nowhere")

    def start(self, order: StartOrder, harms: list[InterferingPair]) -> None:
        """Start a run, from its checkpoint if it has one."""
        now = self._fleet.clock.now()
        spec = self._fleet.step_of(order.task_id)
        done = float(order.checkpoint or 0.0)
        restore = _RESTORE_SECONDS if order.checkpoint else 0.0
        if spec.long_running:
            restore = _STARTUP_SECONDS
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
        """Stop a run if it is running, and report it as withdrawn.

        The checkpoint of a stopped run has all of its work.
        """
        self._revoked.append(order)
        run = self._runs_by_id.get((order.task_id, order.run))
        if run is not None:
            final_checkpoint = str(run.done) if run.checkpointing and run.done else ""
            self._end(run, "stopped", final_checkpoint)

    def lapse(self) -> None:
        """End all runs because the worker's lease has lapsed."""
        for run in list(self._runs_by_id.values()):
            self._end(run, "lapsed", run.latest_checkpoint)

    def _end(self, run: _Run, outcome: str, final_checkpoint: str) -> None:
        del self._runs_by_id[run.order.task_id, run.order.run]
        self._end_count += 1
        self._ended.append(
            EndedTask(
                self._end_count,
                run.order.task_id,
                run.order.run,
                outcome,
                final_checkpoint,
            )
        )
        # Reports the end in the current or the next step.
        self._poll_at = 0.0

    def advance(self, serving_time: ServingTime) -> None:
        """Simulate one step."""
        now = self._fleet.clock.now()
        runs = list(self._runs_by_id.values())
        core_share_by_image = self._advance_best_effort(runs, now)
        self._advance_serving(runs, core_share_by_image, now, serving_time)
        self._window_steps += 1
        if self._window_steps == _MEASUREMENT_COUNT:
            self._window_steps = 0
            for run in self._runs_by_id.values():
                run.end_window(self._fleet.noise_rng)
        if now >= self._poll_at or self._fleet.draw_end_of_short_run():
            self._poll_at = now + _POLL_SECONDS
            self.poll()

    def _advance_best_effort(self, runs: list[_Run], now: float) -> dict[str, float]:
        """Advance the best-effort runs; return the share of the VM's cores by image.

        The runs get the cores that the latency-critical runs leave idle.
        """
        interference_model = self._fleet.interference
        serving = [run for run in runs if run.profile.latency_target]
        busy = sum(
            run.profile.cores * interference_model.solo_load(run.profile.image, now)
            for run in serving
        )
        best_effort = [run for run in runs if run.profile.fills]
        requested = sum(
            run.profile.cores * run.pace / 100
            for run in best_effort
            if now >= run.resumes_at
        )
        share = min(1.0, max(0.0, self.cores - busy) / requested) if requested else 0.0
        core_share_by_image: dict[str, float] = {}
        self.used = 0.0
        for run in best_effort:
            use = run.profile.cores * run.pace / 100 * share
            if now < run.resumes_at:
                use = 0.0
            run.measurements.append(use)
            self.used += use
            image = run.profile.image
            core_share_by_image[image] = (
                core_share_by_image.get(image, 0.0) + use / self.cores
            )
            run.done += TICK_SECONDS * use / run.profile.cores
            if run.done >= run.work:
                self._end(run, "done", "")
        return core_share_by_image

    def _advance_serving(
        self,
        runs: list[_Run],
        core_share_by_image: dict[str, float],
        now: float,
        serving_time: ServingTime,
    ) -> None:
        """Update the latencies of latency-critical runs and the time over target."""
        interference_model = self._fleet.interference
        for run in runs:
            profile = run.profile
            if not profile.latency_target:
                continue
            own = interference_model.solo_load(profile.image, now)
            added = sum(
                interference_model.weight_by_pair[profile.image, image] * use
                for image, use in core_share_by_image.items()
            )
            decayed = run.latency * math.exp(-TICK_SECONDS / _DECAY_SECONDS)
            latency = run.latency = max(
                interference_model.latency(own + added), decayed
            )
            run.measurements.append(latency)
            target = profile.latency_target
            is_disturbed = (
                latency > target and interference_model.latency(own) <= target
            )
            task = run.order.task_id
            disturbed_seconds = (
                self._disturbed_by_task.get(task, 0.0) + TICK_SECONDS
                if is_disturbed
                else 0.0
            )
            self._disturbed_by_task[task] = disturbed_seconds
            serving_time.total += TICK_SECONDS
            serving_time.disturbed += TICK_SECONDS if is_disturbed else 0.0
            serving_time.longest = max(serving_time.longest, disturbed_seconds)

    def poll(self) -> None:
        """Do one polling cycle of an agent: set the paces, report, apply the reply."""
        running = [self._make_running_task(run) for run in self._runs_by_id.values()]
        profiles = {run.order.task_id: run.profile for run in self._runs_by_id.values()}
        now = self._fleet.clock.now()
        paces = list(self._pace.decide(running, profiles, self._harms, self.cores, now))
        for pace in paces:
            self._runs_by_id[pace.task_id, pace.run].pace = pace.percent
            self._pace.confirm(pace)
        reply = self._fleet.scheduler.process_report(self._make_report(running), True)
        self._harms = reply.harms
        self._ended = [e for e in self._ended if e.number > reply.recorded_through]

    def _make_running_task(self, run: _Run) -> RunningTask:
        percent = 100
        if not run.profile.latency_target:
            percent = int(100 * run.done / run.work)
        order = run.order
        return RunningTask(
            order.task_id, order.run, run.latest_checkpoint, percent, run.figure
        )

    def _make_report(self, running: list[RunningTask]) -> VmReport:
        epoch = self._fleet.scheduler.epoch
        return VmReport(
            self.name,
            0.0,
            self.name,
            epoch,
            fenced_epoch=epoch,
            worker=f"{self.name}/w~1",
            service="desk",
            zone=self._zone,
            state="ready",
            capacity=Demand(self.cores, 4 * self.cores),
            labels=[],
            clock=self._fleet.clock.now() * 1000,
            running=running,
            ended=list(self._ended),
            withdrawn=list(self._revoked),
            paced=self._pace.active,
        )


class SharedFleet:
    """Runs the real scheduler on simulated VMs with two kinds of jobs.

    Latency-critical ("serving") jobs run throughout; best-effort jobs arrive at random.

    Parameters
    ----------
    settings : LoadSettings
        Load and fleet.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, settings: LoadSettings, seed: int) -> None:
        # A separate generator, so that the number of measurements does not influence
        # the jobs that are drawn.
        self.noise_rng = random.Random(seed)
        self._ends_rng = random.Random(seed)
        self._rng = random.Random(seed)
        self.settings = settings
        self.clock = ManualClock()
        self._model = InterferenceModel()
        self.scheduler = Scheduler(1, self.clock, self._model)
        self.interference = self._draw_interference()
        self.serving_time = ServingTime()
        self.used_core_seconds = 0.0
        self._specs_by_job: dict[str, JobSpec] = {}
        self._work_by_task: dict[str, float] = {}
        self._submitted_at_by_job: dict[str, float] = {}
        self._ended_at_by_job: dict[str, float] = {}
        self._load_start = math.inf
        self._next_lapses = sorted(settings.lapses_at)
        self._next_leader_changes = sorted(settings.leader_changes_at)
        self._job_rows_by_id: dict[str, bytes] = {}
        self._progress_rows_by_key: dict[str, Row] = {}
        self._vms = [
            SharedVm(f"vm-{number}", cores, f"zone-{number % settings.zones}", self)
            for number, cores in enumerate(settings.vm_cores)
        ]

    def step_of(self, task_id: str) -> StepSpec:
        """Return the specification of the step that a task belongs to."""
        job, _, step, _ = task_id.split(".")
        return self._specs_by_job[job].steps[int(step)]

    def work_of(self, task_id: str) -> float:
        """Return the run time of a task at full speed; infinite for a serving task."""
        return self._work_by_task.get(task_id, math.inf)

    def draw_end_of_short_run(self) -> bool:
        """Return whether a short run of another job ends on a VM in this step."""
        rate = self.settings.short_ends_per_second
        return bool(rate) and self._ends_rng.random() < rate * TICK_SECONDS

    def simulate(self) -> list[JobResult]:
        """Run the simulation and return the results of the best-effort jobs."""
        for number in range(self.settings.serving_jobs):
            self._submit_serving(f"serving{number}")
        # The latency-critical tasks start up before the first best-effort job arrives.
        load_start = self._load_start = self.clock.now() + 5.0
        arrivals = self._draw_arrivals()
        next_arrival = next(arrivals, None)
        while self.clock.now() < load_start + self.settings.seconds:
            while (
                next_arrival is not None
                and load_start + next_arrival <= self.clock.now()
            ):
                self._submit_best_effort(f"filling{len(self._submitted_at_by_job)}")
                next_arrival = next(arrivals, None)
            self._step()
        return list(self._results())

    def _draw_interference(self) -> Interference:
        """Draw the images and how strongly each pair of them interferes."""
        settings = self.settings
        rng = self._rng
        serving = [f"serving-{n}" for n in range(settings.serving_images)]
        best_effort = [f"filling-{n}" for n in range(settings.best_effort_images)]
        resource_by_image = {
            image: rng.randrange(settings.resources) for image in serving + best_effort
        }
        heavy_images = {
            image for image in best_effort if rng.random() < settings.heavy_share
        }
        weights = {}
        for pair in [(s, f) for s in serving for f in best_effort]:
            same = resource_by_image[pair[0]] == resource_by_image[pair[1]]
            interferes = same and pair[1] in heavy_images
            bounds = (1.1, 1.9) if interferes else (0.03, 0.15)
            weights[pair] = rng.uniform(*bounds)
        phases = {image: rng.uniform(0, 2 * math.pi) for image in serving}
        return Interference(25.0, 0.52, 0.46, 20.0, weights, phases)

    def _draw_arrivals(self) -> Iterator[float]:
        """Yield the arrival times of best-effort jobs (a Poisson process)."""
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
        self._add_job(JobSpec(job_id, QueuePolicy("serving", "desk"), "", (step,)))

    def _submit_best_effort(self, job_id: str) -> None:
        rng = self._rng
        settings = self.settings
        image = f"filling-{rng.randrange(settings.best_effort_images)}"
        count = max(1, min(5, round(self._draw_lognormal(settings.steps, 0.4))))
        cores = int(self._draw_lognormal(settings.cores_per_task, 0.3))
        steps = []
        for number in range(count):
            width = max(1, min(32, round(self._draw_lognormal(settings.width, 0.6))))
            work = min(8.6, self._draw_lognormal(settings.task_seconds, 0.5))
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
        self._add_job(JobSpec(job_id, policy, "", tuple(steps)))

    def _draw_lognormal(self, mean: float, spread: float) -> float:
        """Return a log-normal sample; ``spread`` is the deviation of its logarithm."""
        return mean * self._rng.lognormvariate(-spread * spread / 2, spread)

    def _add_job(self, spec: JobSpec) -> None:
        spec = attrs.evolve(spec, accepted_at=self.clock.now())
        self._specs_by_job[spec.job_id] = spec
        self._job_rows_by_id[spec.job_id] = encode_job(spec)
        self.scheduler.add_job(spec)

    def _step(self) -> None:
        self.clock.advance(TICK_SECONDS)
        now = self.clock.now()
        since_start = now - self._load_start
        closed = frozenset(
            closure.zone
            for closure in self.settings.closures
            if closure.begins_at <= since_start < closure.ends_at
        )
        operations = Operations(1, closed_zones=closed)
        self.scheduler.update_operations(operations, now)
        while self._next_lapses and self._next_lapses[0] <= since_start:
            del self._next_lapses[0]
            for vm in self._vms:
                vm.lapse()
        if self._next_leader_changes and self._next_leader_changes[0] <= since_start:
            del self._next_leader_changes[0]
            self._change_leader(operations)
        for vm in self._vms:
            vm.advance(self.serving_time)
            self.used_core_seconds += vm.used * TICK_SECONDS / 1000
        planned = self.scheduler.plan()
        for write in planned.writes:
            if write.table == PROGRESS and write.value is not None:
                row = Row(PROGRESS, write.key, write.value, 0)
                self._progress_rows_by_key[write.key] = row
            elif write.table == PROGRESS:
                self._progress_rows_by_key.pop(write.key, None)
        self.scheduler.confirm(planned)
        for job, status in planned.statuses_by_job.items():
            if status.final:
                self._ended_at_by_job.setdefault(job.spec.job_id, self.clock.now())
        for work in planned.order_batches:
            vm = next(vm for vm in self._vms if vm.vm is work.vm)
            for stop in work.stops:
                vm.stop(stop)
            for order in self.scheduler.make_starts(work.vm, work.starts).orders:
                vm.start(order, self.scheduler.find_interfering_pairs(work.vm))

    def _change_leader(self, operations: Operations) -> None:
        """Replace the scheduler by one that loads the recorded rows."""
        interference = InterferenceModel()
        interference.load(self._model.encode())
        self._model = interference
        epoch = self.scheduler.epoch + 1
        self.scheduler = Scheduler(epoch, self.clock, interference)
        progress_by_id = join_progress_rows(self._progress_rows_by_key.values())
        self.scheduler.load(
            (row, progress_by_id.get(job_id))
            for job_id, row in self._job_rows_by_id.items()
        )
        self.scheduler.update_operations(operations, self.clock.now())
        for vm in self._vms:
            vm.vm = self.scheduler.add_vm(vm.name, "tcp://nowhere")

    def _results(self) -> Iterator[JobResult]:
        for job_id, submitted_at in self._submitted_at_by_job.items():
            spec = self._specs_by_job[job_id]
            critical_path = 0.0
            total = 0.0
            for number, step in enumerate(spec.steps):
                works = [
                    self._work_by_task[f"{job_id}.0.{number}.{index}"]
                    for index in range(step.count)
                ]
                critical_path += max(works)
                total += sum(works) * step.demand.cpu / 1000
            allowed = spec.queue.stretch * critical_path + spec.queue.target_latency
            ended_at = self._ended_at_by_job.get(job_id)
            seconds = None if ended_at is None else ended_at - submitted_at
            # The worth grows with the size of the job in core-seconds, up to a limit.
            yield JobResult(allowed, seconds, 0.3 + 0.7 * min(5.0, total / 380))


def _make_demand(cores: int) -> Demand:
    return Demand(cores, int(_MEMORY_FACTOR * cores))
