"""Agent of one VM: carries out the leader's orders and reports the worker's state."""

from __future__ import annotations

import threading
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

import attrs
import logbook
from result import Err

from pollenkeel_jobs.core.messages import (
    OrderOutcome,
    PairHarm,
    StartOrder,
    StopOrder,
    TaskProfile,
    VmOrders,
    VmOrdersReply,
    VmReport,
    VmReportReply,
)
from pollenkeel_jobs.core.metrics import FILLING_CORES, SERVING_PRESSURE
from pollenkeel_jobs.core.pacing import Pace, PaceController
from pollenkeel_jobs.core.worker import (
    Worker,
    WorkerAnnouncement,
    WorkerLists,
    WorkerOrder,
)
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import ErrorReply, Message
from pollenkeel_kernel.core.transport import PeerClient, is_answered

logger = logbook.Logger("agent")

#: Longest wait of one look at the worker, in seconds.
_HOLD_SECONDS = 0.4
#: Longest wait for the leader's reply to a report, in seconds.
_REPORT_SECONDS = 0.8
#: Seconds without a reply of the leader after which the connection is replaced.
_SILENT_SECONDS = 1.2
#: Longest wait for the worker's replies to one set of orders, in seconds.
_ORDER_SECONDS = 1.2
#: Pause after a failed look at the worker, in seconds.
_RETRY_SECONDS = 0.1
#: Shortest time between two looks at the worker, in seconds.
_LOOK_INTERVAL = 0.02
#: Withdrawn runs that are remembered.
_WITHDRAWN_LIMIT = 2000
_ORDER_THREADS = 4
_UNKNOWN = "unknown"
_REFUSED = "refused"
_STARTED = "started"


@attrs.define
class _WorkerState:
    """What the agent knows of the current life of the worker."""

    announcement: WorkerAnnouncement
    lease_until: float = 0.0
    recorded_through: int = 0
    profiles_by_task: dict[str, TaskProfile] = attrs.field(factory=dict)
    withdrawn: dict[tuple[str, int], None] = attrs.field(factory=dict)
    harms: list[PairHarm] = attrs.field(factory=list)
    pace: PaceController = attrs.field(factory=PaceController)


class VmAgent:
    """Stands between the leader and the worker of one VM.

    It decides nothing about placement. It refuses orders of an older leader, for
    another life of the worker or while the worker leaves, and it extends the worker's
    lease only as far as the leader has granted.

    Parameters
    ----------
    vm : str
        Id of the VM.
    clock : Clock
        Source of time.
    worker : Worker
        Client of the VM's worker.
    """

    def __init__(self, vm: str, clock: Clock, worker: Worker) -> None:
        self._vm = vm
        self._clock = clock
        self._worker = worker
        self._lock = threading.Lock()
        self._state: _WorkerState | None = None
        self._epoch = 0
        self._leader: PeerClient | None = None
        self._wake = threading.Event()
        self._orders = ThreadPoolExecutor(_ORDER_THREADS, thread_name_prefix="order")

    # Announcements of the worker.

    def take_announcement(self, announcement: WorkerAnnouncement) -> bool:
        """Take what the worker says of itself; return False if it is out of date."""
        with self._lock:
            state = self._state
            if state is not None:
                known = state.announcement
                if announcement.born < known.born:
                    return False
                if announcement.incarnation == known.incarnation:
                    if announcement.sequence < known.sequence:
                        return False
                    drains = announcement.draining and not known.draining
                    state.announcement = announcement
                    if drains:
                        log_change(
                            logger,
                            "worker is draining",
                            worker=announcement.incarnation,
                        )
                        self._wake.set()
                    return True
            self._state = _WorkerState(announcement)
        log_change(logger, "worker has started", worker=announcement.incarnation)
        self._wake.set()
        return True

    def take_leave(self, worker_id: str) -> None:
        """Forget a worker that has said that it ends."""
        with self._lock:
            state = self._state
            if state is None or state.announcement.worker_id != worker_id:
                return
            state.announcement = attrs.evolve(state.announcement, draining=True)
        log_change(logger, "worker has left", worker=worker_id)

    # Orders of the leader.

    def handle(self, message: Message) -> Message:
        """Answer a message of the leader."""
        if not isinstance(message, VmOrders):
            return ErrorReply(
                self._vm,
                self._clock.now(),
                Code.UNKNOWN_MESSAGE.value,
                type(message).__name__,
            )
        with self._lock:
            if message.epoch > self._epoch:
                self._follow(message)
            state = self._state
            refusal = self._find_refusal(message, state)
        outcomes = []
        if message.starts or message.stops:
            outcomes = self._carry_out(message, state, refusal)
        return VmOrdersReply(self._vm, self._clock.now(), self._epoch, outcomes)

    def _follow(self, message: VmOrders) -> None:
        log_change(
            logger, "follows a leader", epoch=message.epoch, address=message.leader
        )
        self._epoch = message.epoch
        if self._leader is not None:
            self._leader.close()
        self._leader = PeerClient(message.leader, self._clock)
        # The loop may be waiting at the worker; a new leader needs the lists now.
        self._orders.submit(self._look, 0.0)

    def _find_refusal(self, message: VmOrders, state: _WorkerState | None) -> str:
        if message.epoch < self._epoch:
            return "stale leader"
        if state is None or self._get_life(state) != message.worker:
            return "another worker"
        if state.announcement.draining and message.starts:
            return "draining"
        return ""

    def _carry_out(
        self, message: VmOrders, state: _WorkerState | None, refusal: str
    ) -> list[OrderOutcome]:
        if state is None or (refusal and refusal != "draining"):
            return [
                OrderOutcome(start.task_id, start.run, _REFUSED, refusal)
                for start in message.starts
            ]
        order = WorkerOrder(state.announcement.worker_id, message.epoch)
        stops: list[Future[Any]] = [
            self._orders.submit(self._stop, state, order, stop)
            for stop in message.stops
        ]
        if refusal:
            return [
                OrderOutcome(start.task_id, start.run, _REFUSED, refusal)
                for start in message.starts
            ]
        starts: list[tuple[StartOrder, Future[OrderOutcome]]] = []
        for start in message.starts:
            with self._lock:
                state.profiles_by_task[start.task_id] = start.profile
            call = self._orders.submit(self._start, state, order, start, message)
            starts.append((start, call))
        calls: list[Future[Any]] = [call for _, call in starts]
        wait(calls + stops, timeout=_ORDER_SECONDS)
        self._wake.set()
        return [_get_outcome(start, call) for start, call in starts]

    def _start(
        self,
        state: _WorkerState,
        order: WorkerOrder,
        start: StartOrder,
        message: VmOrders,
    ) -> OrderOutcome:
        payload = message.payloads_by_job.get(start.task_id.split(".")[0], "")
        result = self._worker.start(order, start, payload, message.deadline)
        if isinstance(result, Err):
            failure = result.err_value
            outcome = _REFUSED if failure.refused else _UNKNOWN
            return OrderOutcome(start.task_id, start.run, outcome, failure.reason)
        self._begin_pace(state, order, start, message.harms)
        return OrderOutcome(start.task_id, start.run, _STARTED)

    def _begin_pace(
        self,
        state: _WorkerState,
        order: WorkerOrder,
        start: StartOrder,
        harms: list[PairHarm],
    ) -> None:
        """Slow a run that has just begun if it does harm at full speed."""
        cores = state.announcement.capacity.cpu
        with self._lock:
            run = start.task_id, start.run
            now = self._clock.now()
            pace = state.pace.admit(run, start.profile, harms, cores, now)
        if pace is not None:
            self._send_pace(state, order, pace)

    def _stop(self, state: _WorkerState, order: WorkerOrder, stop: StopOrder) -> None:
        result = self._worker.stop(order, stop.task_id, stop.run)
        if isinstance(result, Err):
            logger.warning(
                "stop failed",
                extra={"task": stop.task_id, "reason": result.err_value.reason},
            )
            return
        with self._lock:
            state.withdrawn[stop.task_id, stop.run] = None
            while len(state.withdrawn) > _WITHDRAWN_LIMIT:
                del state.withdrawn[next(iter(state.withdrawn))]

    # Reports to the leader.

    def run(self, stop: threading.Event) -> None:
        """Look at the worker and report to the leader until ``stop`` is set."""
        while not stop.is_set():
            began = self._clock.now()
            self._look(_HOLD_SECONDS)
            if self._clock.now() - began < _LOOK_INTERVAL:
                stop.wait(_LOOK_INTERVAL)
        self._orders.shutdown(wait=False, cancel_futures=True)

    def _look(self, seconds: float) -> None:
        """Get the worker's lists, waiting for an end, and report them."""
        with self._lock:
            state = self._state
            epoch = self._epoch
            withdrawn = list(state.withdrawn) if state else []
        if state is None:
            self._wake.wait(seconds)
            self._wake.clear()
            self._report(VmReport(self._vm, self._clock.now(), self._vm, epoch), None)
            return
        order = WorkerOrder(state.announcement.worker_id, epoch)
        self._wake.clear()
        result = self._worker.hold(
            order, state.lease_until, state.recorded_through, seconds
        )
        if isinstance(result, Err):
            self._wake.wait(_RETRY_SECONDS)
            self._report(self._describe(state, epoch, None, []), state)
            return
        lists = result.ok_value
        if seconds:
            self._pace(state, order, lists)
        if not self._report(self._describe(state, epoch, lists, withdrawn), state):
            self._wake.wait(_RETRY_SECONDS)

    def _get_life(self, state: _WorkerState) -> str:
        """Return the worker's life, with the VM that has at most one at a time."""
        return f"{self._vm}/{state.announcement.incarnation}"

    def _pace(
        self, state: _WorkerState, order: WorkerOrder, lists: WorkerLists
    ) -> None:
        with self._lock:
            changes = list(
                state.pace.decide(
                    lists.running,
                    state.profiles_by_task,
                    state.harms,
                    state.announcement.capacity.cpu,
                    self._clock.now(),
                )
            )
        for pace in changes:
            self._send_pace(state, order, pace)
        for what, cores in attrs.asdict(state.pace.best_effort_cores).items():
            FILLING_CORES.labels(what).set(cores)
        SERVING_PRESSURE.set(state.pace.pressure)

    def _send_pace(self, state: _WorkerState, order: WorkerOrder, pace: Pace) -> None:
        result = self._worker.pace(order, pace.task_id, pace.run, pace.percent)
        accepted = not isinstance(result, Err)
        if accepted:
            with self._lock:
                state.pace.confirm(pace)
        log_change(
            logger,
            "run paced",
            task=pace.task_id,
            run=pace.run,
            percent=pace.percent,
            pressure=round(state.pace.pressure, 2),
            accepted=accepted,
        )

    def _describe(
        self,
        state: _WorkerState,
        epoch: int,
        lists: WorkerLists | None,
        withdrawn: list[tuple[str, int]],
    ) -> VmReport:
        announcement = state.announcement
        report = VmReport(
            self._vm,
            self._clock.now(),
            self._vm,
            epoch,
            worker=self._get_life(state),
            service=announcement.service,
            zone=announcement.zone,
            state="draining" if announcement.draining else "ready",
            capacity=announcement.capacity,
            labels=list(announcement.labels),
        )
        if lists is None:
            return report
        known = state.profiles_by_task
        return attrs.evolve(
            report,
            fenced_epoch=epoch,
            clock=lists.clock,
            running=lists.running,
            ended=lists.ended,
            withdrawn=[StopOrder(*run) for run in withdrawn],
            unprofiled=[t.task_id for t in lists.running if t.task_id not in known],
            paced=state.pace.active,
        )

    def _report(self, report: VmReport, state: _WorkerState | None) -> bool:
        """Report to the leader; return whether it took the report."""
        leader = self._leader
        if leader is None:
            return False
        result = leader.call(report, self._clock.now() + _REPORT_SECONDS)
        if isinstance(result, Err):
            if not is_answered(result) and leader.redial_if_silent(_SILENT_SECONDS):
                log_change(
                    logger,
                    "connection to the leader replaced",
                    address=leader.address,
                    cause=str(result.err_value),
                )
            return False
        reply = result.ok_value
        if state is None or not isinstance(reply, VmReportReply):
            return False
        with self._lock:
            if reply.epoch != self._epoch or reply.worker != self._get_life(state):
                return False
            state.lease_until = max(state.lease_until, reply.lease_until)
            state.recorded_through = max(state.recorded_through, reply.recorded_through)
            state.harms = reply.harms
            for profile in reply.profiles:
                state.profiles_by_task[profile.task_id] = profile
            self._forget(state, report, reply.recorded_through)
        return True

    @staticmethod
    def _forget(state: _WorkerState, report: VmReport, recorded_through: int) -> None:
        """Drop what concerns runs whose ends the leader has recorded."""
        for ended in report.ended:
            if ended.number <= recorded_through:
                state.profiles_by_task.pop(ended.task_id, None)
                state.withdrawn.pop((ended.task_id, ended.run), None)


def _get_outcome(start: StartOrder, call: Future[OrderOutcome]) -> OrderOutcome:
    if not call.done():
        return OrderOutcome(start.task_id, start.run, _UNKNOWN, "no reply in time")
    return call.result()
