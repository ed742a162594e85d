"""Decision to copy a run that is expected to take much longer than a new one.

Addresses runs on slow or stalled workers, and tasks that are far slower than their
peers. Copies only use room that no waiting task can use.
"""

from __future__ import annotations

from collections.abc import Iterator
from statistics import median_high

import attrs
import logbook

from pollenkeel_jobs.core.job_table import list_step_tasks
from pollenkeel_jobs.core.metrics import RUN_COPIES
from pollenkeel_jobs.core.model import Task, TaskState
from pollenkeel_jobs.core.placement import (
    INTERFERENCE,
    LABEL,
    SERVICE,
    SPREAD_LIMIT,
    Placement,
)
from pollenkeel_jobs.core.run_copies import link_copy, make_copy
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.speed import VmSpeeds
from pollenkeel_jobs.core.vms import REPORT_VALID_SECONDS, Vm
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("speculation")

#: Seconds between two searches for slow runs.
_SEARCH_INTERVAL = 0.2
#: Share of the running tasks that may have copies at the same time.
_MAX_COPY_SHARE = 0.1
#: Maximum number of slow runs for which VMs are searched at a time.
_MAX_SEARCHES = 20
#: Seconds from the decision to the first work of a copy: record, order and start.
_START_SECONDS = 0.25
#: Factor by which a run must be expected to take longer from now on than a copy.
_MARGIN = 2.0
#: The same if only the declared run time is known. Declared run times are off by a
#: factor of 1.6 to 2.5 (one standard deviation).
_MARGIN_IF_DECLARED = 6.0
#: Number of running peers with a known pace from which on their median is used.
_MIN_PEERS = 2
#: Expected CPU load of a VM with the copy, as a share of its capacity, up to which it
#: gets copies. Beyond it a copy would be slow, and slow others down.
_MAX_LOAD = 1.0
#: Obstacles that a waiting task has on a VM whatever resources are free there.
_OTHER_OBSTACLES = frozenset({SERVICE, LABEL, SPREAD_LIMIT, INTERFERENCE})


@attrs.frozen
class ExpectedRun:
    """Expected run time of a new run on a VM of usual speed.

    Attributes
    ----------
    seconds : float
        Run time in seconds; 0 if it is not known.
    measured : bool
        Whether it is from other runs of the step, not only declared.
    """

    seconds: float
    measured: bool

    @property
    def margin(self) -> float:
        """Factor by which a run must be expected to take longer than a copy."""
        return _MARGIN if self.measured else _MARGIN_IF_DECLARED


@attrs.frozen
class SlowRun:
    """A run that is expected to take much longer than a copy would.

    Attributes
    ----------
    task : Task
        Task of the run.
    vm : Vm
        Its VM.
    left : float
        Expected seconds from now to the end of the run.
    expected : ExpectedRun
        Expected run time of a copy.
    target : Vm or None
        VM for the copy, once it is chosen.
    """

    task: Task
    vm: Vm
    left: float
    expected: ExpectedRun
    target: Vm | None = None


class Speculation:
    """Chooses slow runs, and VMs for their copies.

    Not thread-safe; the scheduler's lock protects it.

    Parameters
    ----------
    placement : Placement
        Policy that chooses the VMs.
    forecast : RunForecast
        Expected run times and ends.
    speeds : VmSpeeds
        Run times learned from earlier runs.
    """

    def __init__(
        self, placement: Placement, forecast: RunForecast, speeds: VmSpeeds
    ) -> None:
        self._placement = placement
        self._forecast = forecast
        self._speeds = speeds
        self._next_search_at = 0.0
        self._expected_by_step: dict[tuple[str, int, int], ExpectedRun] = {}

    def choose(
        self, vms: list[Vm], usable: list[Vm], unplaced: list[Task], now: float
    ) -> Iterator[SlowRun]:
        """Yield the runs to copy, each with the VM for its copy.

        The caller must place each copy before it asks for the next one.

        Parameters
        ----------
        vms : list of Vm
            All VMs.
        usable : list of Vm
            VMs that may receive starts.
        unplaced : list of Task
            One waiting task of each kind of demand that found no VM in this pass.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if now < self._next_search_at:
            return
        self._next_search_at = now + _SEARCH_INTERVAL
        allowed = _count_allowed_copies(vms)
        if allowed <= 0:
            return
        self._expected_by_step = {}
        slow = sorted(self._find_slow(vms, now), key=_get_order)
        if not slow:
            return
        self._placement.now = now
        targets = [vm for vm in usable if self._may_get_copies(vm, unplaced, now)]
        for run in slow[:_MAX_SEARCHES]:
            target = self._choose_target(run, targets)
            if target is not None:
                yield attrs.evolve(run, target=target)
                allowed -= 1
                if not allowed:
                    return

    def _find_slow(self, vms: list[Vm], now: float) -> Iterator[SlowRun]:
        for vm in vms:
            for task in vm.tasks_by_id.values():
                if not _may_have_copy(task):
                    continue
                expected = self._expect(task)
                left = self._expect_left(vm, task, expected, now)
                if left > expected.margin * (expected.seconds + _START_SECONDS):
                    yield SlowRun(task, vm, left, expected)

    def _expect(self, task: Task) -> ExpectedRun:
        """Return the expected run time of a copy, the same for a whole step."""
        key = (task.job.spec.job_id, task.key.occurrence, task.key.step)
        if key not in self._expected_by_step:
            self._expected_by_step[key] = self._expect_in_step(task)
        return self._expected_by_step[key]

    def _expect_in_step(self, task: Task) -> ExpectedRun:
        mean = self._speeds.find_mean_seconds(task) or 0.0
        paces = [peer.progress.seconds_per_percent for peer in list_step_tasks(task)]
        known = [100 * pace for pace in paces if pace is not None]
        # The slow run itself may be among them.
        median = median_high(known) if len(known) > _MIN_PEERS else 0.0
        measured = max(mean, median)
        if measured > 0:
            return ExpectedRun(measured, True)
        return ExpectedRun(self._forecast.expect_run_seconds(task), False)

    def _expect_left(
        self, vm: Vm, task: Task, expected: ExpectedRun, now: float
    ) -> float:
        """Return the expected seconds to the end of a run; 0 if it isn't overdue.

        A run on a silent worker may be lost, and would start again only once the
        worker's lease has expired.
        """
        if expected.seconds <= 0:
            return 0.0
        if now - vm.listed_at >= REPORT_VALID_SECONDS:
            return max(0.0, vm.leases_expired_at - now) + expected.seconds
        progress = task.progress
        elapsed = (vm.clock - progress.listed_at) / 1000
        if progress.seconds_per_percent is None:
            # A run that is overdue is expected to last as long again.
            overdue = elapsed > expected.margin * expected.seconds
            return elapsed if overdue else 0.0
        left = (self._forecast.expect_end(vm, task, now) or now) - now
        # The mean pace includes the time since the latest change of the progress, so
        # that it also shows a run that stands still.
        gained = task.percent - progress.initial_percent
        return max(left, elapsed / (gained + 1) * (100 - task.percent))

    def _may_get_copies(self, vm: Vm, unplaced: list[Task], now: float) -> bool:
        """Return whether a VM has room that no waiting task can use."""
        if now < vm.avoided_until:
            return False
        return all(
            self._placement.find_obstacle(task, vm) in _OTHER_OBSTACLES
            for task in unplaced
        )

    def _choose_target(self, run: SlowRun, targets: list[Vm]) -> Vm | None:
        """Return the VM for a copy, or None if a copy is worthwhile on none."""
        task, expected = run.task, run.expected
        probe = make_copy(task, task.last_run + 1, "")
        return self._placement.choose(
            probe,
            (
                vm
                for vm in targets
                if vm is not run.vm
                and _has_low_load(vm, task)
                and run.left
                > expected.margin * (expected.seconds * vm.slowness + _START_SECONDS)
            ),
        )


def place_copy(slow: SlowRun, now: float) -> Task:
    """Reserve the room of a copy on its VM and return the copy."""
    task, vm, target = slow.task, slow.vm, slow.target
    if target is None:
        raise ValueError(f"no VM for a copy of {task.task_id}")
    copy = make_copy(task, task.last_run + 1, target.incarnation)
    copy.placed_at = now
    copy.order_deadline = float("inf")
    link_copy(copy)
    target.add(copy)
    RUN_COPIES.labels("started").inc()
    log_change(
        logger,
        "copy of a slow run placed",
        task=task.task_id,
        run=copy.run,
        vm=target.name,
        original=task.run,
        original_vm=vm.name,
        percent=task.percent,
        left=round(slow.left, 2),
        expected=round(slow.expected.seconds, 2),
        measured=slow.expected.measured,
    )
    return copy


def _may_have_copy(task: Task) -> bool:
    """Return whether a copy of a placed task may be started.

    The failure of a copy alone must not use up the attempts. A suspect of crashes could
    crash another worker. Best-effort tasks are slow because they are throttled, and a
    copy of an advised task would need a ticket. A superseded run is not counted for the
    spread limit until it has ended. A run that was given up may have been done, and its
    end may be acknowledged already.
    """
    step, queue = task.step, task.job.spec.queue
    return (
        step.speculative
        and not (step.gang or step.long_running or step.fills)
        and not (step.spread_limit or queue.advised)
        and task.state is TaskState.PLACED
        and task.seen_at > 0.0
        and task.original is None
        and task.copied_run < task.run
        and not task.stop_wanted
        and not task.job.status.final
        and not (task.crashed_on or task.unheard_runs)
        and task.failures + 1 < queue.attempts
    )


def _count_allowed_copies(vms: list[Vm]) -> int:
    """Return how many more copies may be started now."""
    running = copies = 0
    for vm in vms:
        for task in vm.tasks_by_id.values():
            if task.state is TaskState.PLACED:
                running += task.original is None and task.seen_at > 0.0
                copies += task.original is not None
    return int(_MAX_COPY_SHARE * running) - copies


def _has_low_load(vm: Vm, task: Task) -> bool:
    added = task.step.demand.cpu / max(1, vm.capacity.cpu)
    return vm.cpu_load + added <= _MAX_LOAD


def _get_order(run: SlowRun) -> tuple[float, str]:
    """Sort the runs that would lose the most time first."""
    return run.expected.seconds - run.left, run.task.task_id
