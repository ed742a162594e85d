"""VM agent: executes the leader's orders and reports the state of the VM's worker."""

from __future__ import annotations

import math
import threading
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

import attrs
import logbook
from result import Err, Result

from pollenkeel_jobs.core.decision_guard import DecisionGuard
from pollenkeel_jobs.core.messages import (
    InterferingPair,
    OrderOutcome,
    StartOrder,
    StopOrder,
    VmOrders,
    VmOrdersReply,
    VmReport,
    VmReportReply,
)
from pollenkeel_jobs.core.metrics import BEST_EFFORT_CORES, SERVING_PRESSURE
from pollenkeel_jobs.core.pacing import Pace
from pollenkeel_jobs.core.start_outcomes import (
    REFUSED,
    STARTED,
    UNKNOWN,
    get_outcome,
    refuse_all,
)
from pollenkeel_jobs.core.worker import (
    Worker,
    WorkerAnnouncement,
    WorkerFailure,
    WorkerLists,
    WorkerOrder,
)
from pollenkeel_jobs.core.worker_tracker import WorkerState, WorkerTracker
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import ErrorReply, Message
from pollenkeel_kernel.core.transport import PeerClient, is_answered

logger = logbook.Logger("agent")

#: Longest time that one poll waits for a change at the worker, in seconds.
_POLL_SECONDS = 0.4
#: Timeout for the leader's reply to a report, in seconds.
_REPORT_TIMEOUT_SECONDS = 0.8
#: Seconds without a reply from the leader after which the agent reconnects.
_RECONNECT_AFTER_SECONDS = 1.2
#: Timeout for the worker's replies to all orders of one message, in seconds.
_ORDER_TIMEOUT_SECONDS = 1.2
#: Delay after a failed poll or report, in seconds.
_RETRY_SECONDS = 0.1
#: Minimum time between two polls of the worker, in seconds.
_MIN_POLL_INTERVAL = 0.02
#: Number of stopped, and of revoked, runs that are kept per incarnation of the worker;
#: beyond that the oldest is dropped.
_MAX_REVOKED_RUNS = 2000
#: Threads that send starts to the worker, and threads for stops and for the poll that
#: a new leader waits for, which must not wait behind starts.
_START_THREADS = 4
_CONTROL_THREADS = 2
#: Reason of a call that failed with an unexpected error in the agent.
_AGENT_ERROR = "unexpected error in the agent"


class VmAgent:
    """Forwards the leader's orders to the worker of one VM and reports back.

    The agent makes no placement decisions. It refuses orders that come from an older
    leader or are meant for another incarnation of the worker, refuses starts while the
    worker drains, and extends the worker's lease only as far as the leader has granted.

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
        self._guard = DecisionGuard(clock)
        self._tracker = WorkerTracker(vm, clock, worker)
        self._lock = self._tracker.lock
        self._epoch = 0
        self._leader: PeerClient | None = None
        self._wake = threading.Event()
        self._start_pool = ThreadPoolExecutor(
            _START_THREADS, thread_name_prefix="start"
        )
        self._control_pool = ThreadPoolExecutor(
            _CONTROL_THREADS, thread_name_prefix="control"
        )

    def record_announcement(self, announcement: WorkerAnnouncement) -> bool:
        """Record an announcement of the worker; return False if it is rejected."""
        accepted = self._tracker.record_announcement(announcement)
        self._wake.set()
        return accepted

    def record_departure(self, worker_id: str, born: int = 0) -> None:
        """Mark a worker that has deregistered as draining; it gets no more starts."""
        self._tracker.record_departure(worker_id, born)

    # Orders from the leader.

    def handle(self, message: Message) -> Message:
        """Return the reply to a message from the leader."""
        if not isinstance(message, VmOrders):
            return ErrorReply(
                self._vm,
                self._clock.now(),
                Code.UNKNOWN_MESSAGE.value,
                type(message).__name__,
            )
        with self._lock:
            if message.epoch > self._epoch:
                self._switch_leader(message)
            state = self._tracker.state
            refusal = self._find_refusal_reason(message, state)
        outcomes = []
        if message.starts or message.stops:
            outcomes = self._execute_orders(message, state, refusal)
        return VmOrdersReply(self._vm, self._clock.now(), self._epoch, outcomes)

    def _switch_leader(self, message: VmOrders) -> None:
        log_change(
            logger,
            "switched to new leader",
            epoch=message.epoch,
            address=message.leader,
        )
        self._epoch = message.epoch
        if self._leader is not None:
            self._leader.close()
        self._leader = PeerClient.open(message.leader, self._clock)
        # The poll loop may be blocked in a long poll; a new leader needs the worker's
        # state at once.
        self._control_pool.submit(self._try_to_poll, 0.0)

    def _find_refusal_reason(self, message: VmOrders, state: WorkerState | None) -> str:
        """Return why orders must be refused, or an empty string."""
        if message.epoch < self._epoch:
            return "stale leader"
        if state is None or self._tracker.get_vm_incarnation(state) != message.worker:
            return "another worker"
        return ""

    @staticmethod
    def _find_start_refusal_reason(state: WorkerState) -> str:
        """Return why starts must be refused, or an empty string."""
        if state.announcement.draining:
            return "draining"
        if not state.announced:
            return "not announced"
        return ""

    def _execute_orders(
        self, message: VmOrders, state: WorkerState | None, refusal: str
    ) -> list[OrderOutcome]:
        """Forward orders to the worker unless refused; return the outcomes of starts.

        A worker that gets no starts still gets stops.
        """
        if state is None or refusal:
            return refuse_all(message.starts, refusal)
        order = _make_order(state, message.epoch)
        with self._lock:
            for stop in message.stops:
                _add_run(state.stopped, (stop.task_id, stop.run))
        stops = [
            self._control_pool.submit(self._try_to_stop, state, order, stop)
            for stop in message.stops
        ]
        refusal = self._find_start_refusal_reason(state)
        starts = [] if refusal else message.starts
        calls = [
            self._start_pool.submit(self._try_to_start, state, order, start, message)
            for start in starts
        ]
        pending: list[Future[Any]] = [*calls, *stops]
        wait(pending, timeout=_ORDER_TIMEOUT_SECONDS)
        # The leader repeats stops; a queue that grows would delay later ones.
        for stop_call in stops:
            stop_call.cancel()
        self._wake.set()
        if refusal:
            return refuse_all(message.starts, refusal)
        return [get_outcome(*pair) for pair in zip(starts, calls, strict=True)]

    def _try_to_start(
        self,
        state: WorkerState,
        order: WorkerOrder,
        start: StartOrder,
        message: VmOrders,
    ) -> OrderOutcome:
        """Send a start; after an unexpected error it is not known what it did."""
        return self._guard.run(
            "start",
            lambda: self._start(state, order, start, message),
            OrderOutcome(start.task_id, start.run, UNKNOWN, _AGENT_ERROR),
        )

    def _start(
        self,
        state: WorkerState,
        order: WorkerOrder,
        start: StartOrder,
        message: VmOrders,
    ) -> OrderOutcome:
        payload = message.payloads_by_job.get(start.task_id.split(".")[0], "")
        run = (start.task_id, start.run)
        refusal = self._tracker.find_start_obstacle(state, order, message.deadline, run)
        if refusal:
            return OrderOutcome(start.task_id, start.run, REFUSED, refusal)
        with self._lock:
            # A worker that does not answer may have crashed already.
            if state.answering:
                state.starts.record(run, self._clock.now())
            state.profiles_by_task[start.task_id] = start.profile
        result = self._worker.start(order, start, payload, message.deadline)
        if not isinstance(result, Err) or not result.err_value.timed_out:
            with self._lock:
                state.starts.confirm(run, self._clock.now())
        if isinstance(result, Err):
            failure = result.err_value
            if failure.refused or failure.born:
                with self._lock:
                    state.starts.forget([run])
                    state.profiles_by_task.pop(start.task_id, None)
            if self._check_incarnation(state, failure):
                self._revoke_at_next_incarnation(order, start, failure.born)
            outcome = REFUSED if failure.refused else UNKNOWN
            return OrderOutcome(start.task_id, start.run, outcome, failure.reason)
        self._guard.run(
            "first pace",
            lambda: self._set_initial_pace(state, order, start, message.harms),
            None,
        )
        return OrderOutcome(start.task_id, start.run, STARTED)

    def _revoke_at_next_incarnation(
        self, order: WorkerOrder, start: StartOrder, born: int
    ) -> None:
        """Stop a run that the worker has started after it restarted.

        The leader has granted no lease to that incarnation and doesn't know it yet.
        """
        following = self._tracker.state
        if following is not None and following.announcement.born == born:
            stop = StopOrder(start.task_id, start.run)
            self._stop(following, attrs.evolve(order, born=born), stop)

    def _set_initial_pace(
        self,
        state: WorkerState,
        order: WorkerOrder,
        start: StartOrder,
        interfering_pairs: list[InterferingPair],
    ) -> None:
        """Throttle a newly started run if full speed would cause interference."""
        capacity_cpu = state.announcement.capacity.cpu
        with self._lock:
            run = start.task_id, start.run
            now = self._clock.now()
            pace = state.pace.admit(
                run, start.profile, interfering_pairs, capacity_cpu, now
            )
        if pace is not None:
            self._send_pace(state, order, pace)

    def _try_to_stop(
        self, state: WorkerState, order: WorkerOrder, stop: StopOrder
    ) -> None:
        self._guard.run("stop", lambda: self._stop(state, order, stop), None)

    def _stop(self, state: WorkerState, order: WorkerOrder, stop: StopOrder) -> None:
        result = self._worker.stop(order, stop.task_id, stop.run)
        if isinstance(result, Err):
            self._check_incarnation(state, result.err_value)
            logger.warning(
                "worker did not confirm a stop order",
                extra={"task": stop.task_id, "reason": result.err_value.reason},
            )
            return
        with self._lock:
            _add_run(state.withdrawn, (stop.task_id, stop.run))

    # Polling the worker and reporting to the leader.

    def run(self, stop: threading.Event) -> None:
        """Poll the worker and report to the leader until ``stop`` is set."""
        while not stop.is_set():
            poll_started_at = self._clock.now()
            if not self._try_to_poll(_POLL_SECONDS):
                stop.wait(_RETRY_SECONDS)
            if self._clock.now() - poll_started_at < _MIN_POLL_INTERVAL:
                stop.wait(_MIN_POLL_INTERVAL)
        for pool in (self._start_pool, self._control_pool):
            pool.shutdown(wait=False, cancel_futures=True)

    def _try_to_poll(self, seconds: float) -> bool:
        """Poll the worker; return whether there was no unexpected error."""

        def poll() -> bool:
            self._poll_worker(seconds)
            return True

        return self._guard.run("poll", poll, False)

    def _poll_worker(self, seconds: float) -> None:
        """Poll the worker and report its state to the leader.

        The call to the worker extends its lease and returns once a run ends, or after
        ``seconds`` at most. An unexpected error in one of the decisions in between does
        not prevent the report.
        """
        self._guard.run(
            "announcement", lambda: self._tracker.confirm_next(self._epoch), None
        )
        with self._lock:
            state = self._tracker.state
            epoch = self._epoch
            # Copied before the worker lists its runs, so that the lists contain every
            # revoked run that had started, unless its end is recorded already.
            withdrawn = list(state.withdrawn) if state else []
        if state is None:
            self._wake.wait(seconds)
            self._wake.clear()
            self._send_report(
                VmReport(
                    self._vm,
                    self._clock.now(),
                    self._vm,
                    epoch,
                    operations_version=self._tracker.services.version,
                ),
                None,
            )
            return
        order = _make_order(state, epoch)
        self._wake.clear()
        unknown: Result[WorkerLists, WorkerFailure] = Err(
            WorkerFailure(False, _AGENT_ERROR)
        )
        asked_at = self._clock.now()
        result = self._guard.run(
            "lease", lambda: self._hold(state, order, seconds), unknown
        )
        if self._tracker.state is not state:
            return
        state.answering = not isinstance(result, Err)
        if isinstance(result, Err):
            failure = result.err_value
            if self._guard.run(
                "incarnation", lambda: self._check_incarnation(state, failure), False
            ):
                return
            self._wake.wait(_RETRY_SECONDS)
            report = attrs.evolve(
                self._make_report(state, epoch, None, []),
                rejecting=failure.refused,
            )
            self._send_report(report, state)
            return
        lists = result.ok_value
        self._guard.run(
            "lists", lambda: self._record_lists(state, lists, asked_at), None
        )
        # Only the polls of ``run`` adjust speed caps, not the one for a new leader.
        if seconds:
            self._guard.run(
                "pacing", lambda: self._update_paces(state, order, lists), None
            )
        if not self._send_report(
            self._make_report(state, epoch, lists, withdrawn), state
        ):
            self._wake.wait(_RETRY_SECONDS)

    def _record_lists(
        self, state: WorkerState, lists: WorkerLists, asked_at: float
    ) -> None:
        """Record what the worker's lists tell about its clock and its starts."""
        with self._lock:
            state.record_clock(lists.clock, asked_at, self._clock.now())
            state.first_ended = min((e.number for e in lists.ended), default=math.inf)
            state.starts.forget((end.task_id, end.run) for end in lists.ended)
            for listed in lists.running:
                run = listed.task_id, listed.run
                state.starts.record_listed(run, self._clock.now())

    def _check_incarnation(self, state: WorkerState, failure: WorkerFailure) -> bool:
        """Replace the incarnation if another one has answered; return whether so."""
        if failure.born:
            self._tracker.begin_unannounced(state, failure.born)
        return bool(failure.born)

    def _hold(
        self, state: WorkerState, order: WorkerOrder, seconds: float
    ) -> Result[WorkerLists, WorkerFailure]:
        """Extend the worker's lease, acknowledge ended runs and return its lists.

        The worker may have restarted since the last call. Its next incarnation must not
        drop ended runs of its own by the count of this one. So nothing is acknowledged
        after a call that failed, nor once the lists show no end up to this count, and
        the worker is asked for its incarnation unless it has just stated it.
        """
        acknowledges = state.answering and state.first_ended <= state.recorded_through
        if not acknowledges:
            return self._worker.hold(order, state.lease_until, 0, seconds)
        confirmed = self._tracker.confirm(state, order)
        if isinstance(confirmed, Err):
            return Err(confirmed.err_value)
        through = state.recorded_through
        return self._worker.hold(order, state.lease_until, through, seconds)

    def _update_paces(
        self, state: WorkerState, order: WorkerOrder, lists: WorkerLists
    ) -> None:
        """Adjust the speed caps of best-effort tasks to the latest measurements."""
        with self._lock:
            changes = list(
                state.pace.decide(
                    lists.running,
                    state.profiles_by_task,
                    state.interfering_pairs,
                    state.announcement.capacity.cpu,
                    self._clock.now(),
                )
            )
        for pace in changes:
            self._try_to_send_pace(state, order, pace)
        for what, cores in attrs.asdict(state.pace.best_effort_cores).items():
            BEST_EFFORT_CORES.labels(what).set(cores)
        SERVING_PRESSURE.set(state.pace.pressure)

    def _try_to_send_pace(
        self, state: WorkerState, order: WorkerOrder, pace: Pace
    ) -> None:
        self._guard.run("pace order", lambda: self._send_pace(state, order, pace), None)

    def _send_pace(self, state: WorkerState, order: WorkerOrder, pace: Pace) -> None:
        result = self._worker.pace(order, pace.task_id, pace.run, pace.percent)
        accepted = not isinstance(result, Err)
        if isinstance(result, Err):
            self._check_incarnation(state, result.err_value)
        else:
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

    def _make_report(
        self,
        state: WorkerState,
        epoch: int,
        lists: WorkerLists | None,
        withdrawn: list[tuple[str, int]],
    ) -> VmReport:
        """Return the report for the leader; ``lists`` is None if the worker failed."""
        announcement = state.announcement
        report = VmReport(
            self._vm,
            self._clock.now(),
            self._vm,
            epoch,
            worker=self._tracker.get_vm_incarnation(state),
            service=announcement.service,
            zone=announcement.zone,
            state=_get_state_name(state),
            capacity=announcement.capacity,
            labels=list(announcement.labels),
            crashes=list(self._tracker.crashes),
            operations_version=self._tracker.services.version,
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

    def _send_report(self, report: VmReport, state: WorkerState | None) -> bool:
        """Send a report; return whether the leader's reply was applied."""
        leader = self._leader
        if leader is None:
            return False
        result = leader.call(report, self._clock.now() + _REPORT_TIMEOUT_SECONDS)
        if isinstance(result, Err):
            if not is_answered(result) and leader.redial_if_silent(
                _RECONNECT_AFTER_SECONDS
            ):
                log_change(
                    logger,
                    "connection to the leader replaced",
                    address=leader.address,
                    cause=str(result.err_value),
                )
            return False
        reply = result.ok_value
        if not isinstance(reply, VmReportReply):
            return False
        with self._lock:
            self._tracker.services.update(reply)
        if state is None:
            return False
        with self._lock:
            if (
                reply.epoch != self._epoch
                or reply.worker != self._tracker.get_vm_incarnation(state)
            ):
                return False
            state.lease_until = max(state.lease_until, reply.lease_until)
            state.recorded_through = max(state.recorded_through, reply.recorded_through)
            state.interfering_pairs = reply.harms
            for profile in reply.profiles:
                state.profiles_by_task[profile.task_id] = profile
            self._drop_recorded_runs(state, report, reply.recorded_through)
        return True

    @staticmethod
    def _drop_recorded_runs(
        state: WorkerState, report: VmReport, recorded_through: int
    ) -> None:
        """Drop profiles and revocations of runs whose end the leader has recorded."""
        for ended in report.ended:
            if ended.number <= recorded_through:
                state.profiles_by_task.pop(ended.task_id, None)
                state.withdrawn.pop((ended.task_id, ended.run), None)


def _make_order(state: WorkerState, epoch: int) -> WorkerOrder:
    """Return the common part of calls that are meant for an incarnation."""
    announcement = state.announcement
    return WorkerOrder(announcement.worker_id, announcement.born, epoch)


def _add_run(runs: dict[tuple[str, int], None], run: tuple[str, int]) -> None:
    """Add a run to an ordered set; the oldest is dropped once there are too many."""
    runs[run] = None
    while len(runs) > _MAX_REVOKED_RUNS:
        del runs[next(iter(runs))]


def _get_state_name(state: WorkerState) -> str:
    """Return the state of a worker as reports name it."""
    if not state.announced:
        return "starting"
    return "draining" if state.announcement.draining else "ready"
