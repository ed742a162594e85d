"""Control of the interference of batch tasks with services on the same VM.

The actions are throttle, checkpoint and evict, tried in this order. Times are seconds
since the Unix epoch and latencies are in seconds. The share of a batch task is the
fraction of its cores that it may use.
"""

from __future__ import annotations

import enum
import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterator

import attrs

from pollenkeel_kernel.core.registry import Registry
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares

#: Maximum number of steps by which one action raises a share. Fewer steps cause
#: more actions, and the last of them is followed by the next load peak anyway.
_MAX_RESTORE_STEPS = 3


class ActionKind(enum.Enum):
    """Type of action on a batch task."""

    THROTTLE = "throttle"
    RESTORE = "restore"
    CHECKPOINT = "checkpoint"
    EVICT = "evict"


@attrs.frozen
class Action:
    """Action on one batch task.

    Attributes
    ----------
    kind : ActionKind
        Type of action.
    task_id : str
        Task that the action applies to.
    share : float
        Share after the action: unchanged for a checkpoint, 0 for an eviction.
    reason : str
        Reason shown in the decision log.
    """

    kind: ActionKind
    task_id: str
    share: float
    reason: str


@attrs.frozen
class ServiceSample:
    """Delayed measurement of a service on the VM.

    Attributes
    ----------
    service : str
        Name of the service.
    measured_at : float
        End of the measurement interval; earlier than the time of the report.
    p99_seconds : float
        99th percentile of the latency during the interval, in seconds.
    promised_time : float
        Latency target of the service, in seconds.
    load : float
        Fraction of the service's slots in use during the interval.
    """

    service: str
    measured_at: float
    p99_seconds: float
    promised_time: float
    load: float


@attrs.frozen
class BatchTask:
    """A batch task that currently runs on the VM.

    ``kind`` groups tasks for the learned models; ``cores`` is the declared number of
    cores and ``share`` the fraction of them that the task may use.
    """

    task_id: str
    kind: str
    cores: float
    share: float


@attrs.frozen
class InterferenceSettings:
    """Parameters of the interference controllers; intervals are in seconds.

    Attributes
    ----------
    high, target : float
        Ratios of p99 to the promised time: tasks are throttled above ``high`` and
        restored below ``target``. The gap between them is the hysteresis.
    smoothing : float
        Weight of the newest measurement in the moving average of the ratio.
    step : float
        Factor below 1: a throttling step multiplies a share by it, a restoring step
        divides the share by it.
    reaction : float
        Minimum time after throttling before the next throttling, and after restoring
        before the next restoring. It must exceed the lag of the measurements, so that
        the controller does not react to the same measurement twice.
    hold, longest_hold : float
        Initial and maximum time that shares are not restored after high latency.
    smallest_share : float
        Minimum share of a throttled task.
    patience : int
        Number of calls of ``decide`` with a ratio above ``high`` and all tasks at their
        minimum share that are tolerated before a task is checkpointed. If the ratio
        stays above ``high``, the next action evicts the task.
    forgetting : float
        Forgetting factor of the latency models.
    """

    high: float = 0.85
    target: float = 0.7
    smoothing: float = 0.4
    step: float = 0.75
    reaction: float = 6.0
    hold: float = 10.0
    longest_hold: float = 160.0
    smallest_share: float = 0.25
    patience: int = 2
    forgetting: float = 0.999


class InterferenceController(ABC):
    """Decides how much of one VM its batch tasks may use.

    Parameters
    ----------
    settings : InterferenceSettings
        Parameters of the controller.
    """

    def __init__(self, settings: InterferenceSettings) -> None:
        self._settings = settings

    @abstractmethod
    def observe(self, sample: ServiceSample) -> None:
        """Process a delayed measurement of a service."""

    @abstractmethod
    def decide(self, now: float, tasks: list[BatchTask]) -> list[Action]:
        """Return the actions for the tasks that currently run."""


CONTROLLERS: Registry[InterferenceController] = Registry("pollenkeel.interference")


@CONTROLLERS.register("none")
class NoControl(InterferenceController):
    """Baseline that never throttles, checkpoints or evicts."""

    def observe(self, sample: ServiceSample) -> None:
        """Ignore the measurement."""

    def decide(self, now: float, tasks: list[BatchTask]) -> list[Action]:
        """Return no action."""
        return []


@CONTROLLERS.register("fixed-cap")
class FixedCap(InterferenceController):
    """Baseline that limits every batch task to half of its cores."""

    CAP = 0.5

    def observe(self, sample: ServiceSample) -> None:
        """Ignore the measurement."""

    def decide(self, now: float, tasks: list[BatchTask]) -> list[Action]:
        """Throttle every task that exceeds the cap."""
        return [
            Action(ActionKind.THROTTLE, task.task_id, self.CAP, "fixed cap")
            for task in tasks
            if task.share > self.CAP
        ]


@CONTROLLERS.register("learned")
class LearnedControl(InterferenceController):
    """Learns how much each kind of batch task slows down each service, and throttles.

    The logarithm of a service's p99 is modelled as a linear function of its load and
    of the cores used by each kind of batch task. A measurement is paired with the
    shares in force when it was taken, so that its delay does not bias the estimate.
    """

    def __init__(self, settings: InterferenceSettings) -> None:
        super().__init__(settings)
        self._history: deque[tuple[float, dict[str, float]]] = deque(maxlen=512)
        self._models_by_service: dict[str, RecursiveLeastSquares] = {}
        self._samples_by_service: dict[str, ServiceSample] = {}
        self._ratios_by_service: dict[str, float] = {}
        self._checkpointed: set[str] = set()
        self._acted_at = -math.inf
        self._next_throttle_at = -math.inf
        self._next_restore_at = -math.inf
        self._restored_at = -math.inf
        self._throttled_at = -math.inf
        self._hold = settings.hold
        self._rounds_at_min_share = 0

    def observe(self, sample: ServiceSample) -> None:
        """Update the model of the service and its average ratio."""
        latest = self._samples_by_service.get(sample.service)
        if latest is not None and sample.measured_at <= latest.measured_at:
            return
        self._samples_by_service[sample.service] = sample
        self._update_average(sample)
        cores_by_kind = self._cores_in_force(sample.measured_at)
        if sample.p99_seconds > 0 and cores_by_kind is not None:
            model = self._models_by_service.setdefault(
                sample.service, RecursiveLeastSquares(self._settings.forgetting)
            )
            model.update(_features(sample.load, cores_by_kind), _log_p99(sample))

    def decide(self, now: float, tasks: list[BatchTask]) -> list[Action]:
        """Return the actions for the tasks that currently run."""
        self._history.append((now, _cores_by_kind(tasks)))
        self._checkpointed &= {task.task_id for task in tasks}
        if not self._ratios_by_service or not tasks:
            return []
        worst_service = max(
            self._ratios_by_service, key=self._ratios_by_service.__getitem__
        )
        ratio = self._ratios_by_service[worst_service]
        if ratio > self._settings.high:
            return self._throttle_or_evict(now, worst_service, tasks)
        self._rounds_at_min_share = 0
        if ratio < self._settings.target:
            return self._restore_or_shorten_hold(now, worst_service, tasks)
        return []

    def _update_average(self, sample: ServiceSample) -> None:
        """Update the average ratio with a measurement taken after the last action."""
        if sample.measured_at <= self._acted_at:
            return
        ratio = sample.p99_seconds / sample.promised_time
        old = self._ratios_by_service.get(sample.service, ratio)
        weight = self._settings.smoothing
        self._ratios_by_service[sample.service] = old + weight * (ratio - old)

    def _record_action(self, now: float) -> None:
        """Reset the averages: only later measurements show the effect of the action."""
        self._acted_at = now
        self._ratios_by_service.clear()

    def _throttle_or_evict(
        self, now: float, worst_service: str, tasks: list[BatchTask]
    ) -> list[Action]:
        """Throttle tasks; if all are at the minimum share, checkpoint or evict one."""
        if now < self._next_throttle_at:
            return []
        if now - self._restored_at < self._settings.longest_hold:
            # The last restoration came too early, so the next one waits longer. This
            # prevents flapping under periodic load peaks.
            self._hold = min(self._hold * 2, self._settings.longest_hold)
        actions = list(self._throttle(worst_service, tasks))
        if not actions:
            actions = self._checkpoint_or_evict(worst_service, tasks)
        if actions:
            self._record_action(now)
            self._throttled_at = now
            self._next_throttle_at = now + self._settings.reaction
        self._next_restore_at = now + self._hold
        return actions

    def _throttle(self, worst_service: str, tasks: list[BatchTask]) -> Iterator[Action]:
        """Throttle the tasks that interfere most until p99 should meet the target."""
        smallest = self._settings.smallest_share
        reason = f"{worst_service} at {self._ratios_by_service[worst_service]:.2f}"
        shares_by_id = {task.task_id: task.share for task in tasks}
        for task in self._sorted_by_interference(worst_service, tasks):
            while shares_by_id[task.task_id] > smallest:
                share = max(smallest, shares_by_id[task.task_id] * self._settings.step)
                shares_by_id[task.task_id] = share
                predicted = self._predict(worst_service, tasks, shares_by_id)
                enough = predicted <= self._settings.target
                if enough or share <= smallest:
                    yield Action(ActionKind.THROTTLE, task.task_id, share, reason)
                if enough:
                    return

    def _checkpoint_or_evict(
        self, worst_service: str, tasks: list[BatchTask]
    ) -> list[Action]:
        """Checkpoint the task that interferes most, or evict it if that was done."""
        self._rounds_at_min_share += 1
        if self._rounds_at_min_share <= self._settings.patience:
            return []
        task = next(iter(self._sorted_by_interference(worst_service, tasks)), None)
        if task is None or self._weight(worst_service, task.kind) <= 0:
            return []
        ratio = self._ratios_by_service[worst_service]
        reason = f"{worst_service} at {ratio:.2f} with all tasks throttled"
        if task.task_id not in self._checkpointed:
            self._checkpointed.add(task.task_id)
            return [Action(ActionKind.CHECKPOINT, task.task_id, task.share, reason)]
        self._rounds_at_min_share = 0
        return [Action(ActionKind.EVICT, task.task_id, 0.0, reason)]

    def _restore_or_shorten_hold(
        self, now: float, worst_service: str, tasks: list[BatchTask]
    ) -> list[Action]:
        """Raise shares of throttled tasks, or shorten the hold if there are none."""
        if now < self._next_restore_at:
            return []
        throttled = [task for task in tasks if task.share < 1.0]
        if not throttled:
            # The hold is halved only after a time without throttling that exceeds the
            # gaps between periodic load peaks.
            if now - self._throttled_at > self._settings.longest_hold:
                self._hold = max(self._settings.hold, self._hold / 2)
            self._next_restore_at = now + self._hold
            return []
        actions = list(self._restore(worst_service, tasks, throttled))
        if actions:
            self._record_action(now)
            self._restored_at = now
            self._next_restore_at = now + self._settings.reaction
        return actions

    def _restore(
        self, worst_service: str, tasks: list[BatchTask], throttled: list[BatchTask]
    ) -> Iterator[Action]:
        """Raise shares, least interfering task first, if p99 should stay on target."""
        shares_by_id = {task.task_id: task.share for task in tasks}
        for task in reversed(
            list(self._sorted_by_interference(worst_service, throttled))
        ):
            share = shares_by_id[task.task_id]
            for _ in range(_MAX_RESTORE_STEPS):
                larger = min(1.0, shares_by_id[task.task_id] / self._settings.step)
                trial = {**shares_by_id, task.task_id: larger}
                if all(
                    self._predict(service, tasks, trial) <= self._settings.target
                    for service in self._ratios_by_service
                ):
                    shares_by_id = trial
            if shares_by_id[task.task_id] > share:
                larger = shares_by_id[task.task_id]
                yield Action(ActionKind.RESTORE, task.task_id, larger, "services fast")

    def _sorted_by_interference(
        self, service: str, tasks: list[BatchTask]
    ) -> list[BatchTask]:
        def interference(task: BatchTask) -> float:
            return self._weight(service, task.kind) * task.cores * task.share

        return sorted(tasks, key=interference, reverse=True)

    def _weight(self, service: str, kind: str) -> float:
        model = self._models_by_service.get(service)
        return max(0.0, model.weight(_kind_feature(kind))) if model else 0.0

    def _predict(
        self,
        service: str,
        tasks: list[BatchTask],
        shares_by_id: dict[str, float],
    ) -> float:
        """Return the predicted ratio of p99 to the promised time under other shares."""
        change = sum(
            self._weight(service, task.kind)
            * task.cores
            * (shares_by_id[task.task_id] - task.share)
            for task in tasks
        )
        # The limit on the exponent keeps exp() finite.
        return self._ratios_by_service[service] * math.exp(min(50.0, change))

    def _cores_in_force(self, at: float) -> dict[str, float] | None:
        """Return the cores that each kind could use at a time; None if unknown."""
        for since, cores_by_kind in reversed(self._history):
            if since <= at:
                return cores_by_kind
        return None


def _log_p99(sample: ServiceSample) -> float:
    return math.log(sample.p99_seconds)


def _cores_by_kind(tasks: list[BatchTask]) -> dict[str, float]:
    cores_by_kind: dict[str, float] = {}
    for task in tasks:
        used = task.cores * task.share
        cores_by_kind[task.kind] = cores_by_kind.get(task.kind, 0.0) + used
    return cores_by_kind


def _kind_feature(kind: str) -> str:
    return f"kind:{kind}"


def _features(load: float, cores_by_kind: dict[str, float]) -> dict[str, float]:
    features = {"intercept": 1.0, "load": load}
    features.update({_kind_feature(k): cores for k, cores in cores_by_kind.items()})
    return features
