"""Which incarnation the worker of a VM is, and what the agent knows of it."""

from __future__ import annotations

import math
import threading
from collections import deque

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_jobs.core.announcements import (
    ConfiguredServices,
    PendingAnnouncements,
    is_from_the_future,
    report_denied,
    report_out_of_date,
    report_unnamed_service,
)
from pollenkeel_jobs.core.messages import (
    InterferingPair,
    RunKey,
    TaskProfile,
    WorkerCrash,
)
from pollenkeel_jobs.core.metrics import ANNOUNCEMENTS
from pollenkeel_jobs.core.pacing import PaceController
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.start_history import StartHistory
from pollenkeel_jobs.core.worker import (
    Worker,
    WorkerAnnouncement,
    WorkerFailure,
    WorkerOrder,
)
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("agent")

#: Number of crashes of the worker that are kept for the reports.
_MAX_CRASHES = 4
#: Seconds after an answer of the worker within which it can't have restarted.
_MIN_RESTART_SECONDS = 0.2
#: Seconds after a failed confirmation in which the worker is not asked again; about the
#: time for which the starts of one message wait.
_CONFIRMATION_PAUSE_SECONDS = 1.0


@attrs.define
class WorkerState:
    """State kept for the current incarnation of the worker.

    Attributes
    ----------
    announcement : WorkerAnnouncement
        Latest announcement of the worker.
    lease_until : float
        End of the lease granted by the leader, on the worker's clock, in milliseconds.
    recorded_through : int
        Number up to which the leader has recorded the worker's ended runs.
    first_ended : float
        Lowest number of an ended run in the latest lists; infinite if there is none.
    profiles_by_task : dict of str to TaskProfile
        Profiles received from the leader.
    stopped : dict of (str, int) to None
        Runs (task id and run number) that the leader has ordered to stop, oldest first;
        a start that still waits for a thread is not sent after such an order.
    withdrawn : dict of (str, int) to None
        Those that the worker has revoked, oldest first.
    interfering_pairs : list of InterferingPair
        Interference between the images on the VM, as last sent by the leader.
    pace : PaceController
        Chooses the speed caps of the best-effort tasks.
    starts : StartHistory
        Start times of the runs.
    answering : bool
        Whether the worker has answered the latest poll.
    announced : bool
        Whether the incarnation has announced itself; otherwise only its start time is
        known.
    clock : float
        Time of the latest lists on the worker's clock, in milliseconds; 0 if there are
        none yet.
    listed_at : float
        Earliest time at which the worker can have made these lists, in seconds since
        the Unix epoch. They may have arrived much later, as the agent may have been
        suspended meanwhile.
    asked_at : float
        Time at which the call that returned them was sent.
    """

    announcement: WorkerAnnouncement
    lease_until: float = 0.0
    recorded_through: int = 0
    first_ended: float = math.inf
    profiles_by_task: dict[str, TaskProfile] = attrs.field(factory=dict)
    stopped: dict[tuple[str, int], None] = attrs.field(factory=dict)
    withdrawn: dict[tuple[str, int], None] = attrs.field(factory=dict)
    interfering_pairs: list[InterferingPair] = attrs.field(factory=list)
    pace: PaceController = attrs.field(factory=PaceController)
    starts: StartHistory = attrs.field(factory=StartHistory)
    answering: bool = True
    announced: bool = True
    clock: float = 0.0
    listed_at: float = 0.0
    asked_at: float = 0.0

    @property
    def incarnation(self) -> str:
        """Id of the incarnation: the worker's id and start time."""
        return self.announcement.incarnation

    def record_clock(self, clock: float, asked_at: float, now: float) -> None:
        """Record a time on the worker's clock that an answer has stated.

        Parameters
        ----------
        clock : float
            Time on the worker's clock, in milliseconds.
        asked_at : float
            Time at which the answered call was sent, in seconds since the Unix epoch.
            An answer to an earlier call than the latest recorded one is ignored.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if asked_at < self.asked_at:
            return
        # The worker's clock isn't fast, so at least this time has gone by.
        elapsed = (clock - self.clock) / 1000 if self.listed_at else 0.0
        self.listed_at = min(now, max(asked_at, self.listed_at + elapsed))
        self.asked_at = asked_at
        self.clock = clock

    def has_passed(self, deadline: float, now: float) -> bool:
        """Return whether a time on the worker's clock has passed, or may have.

        Parameters
        ----------
        deadline : float
            Time on the worker's clock, in milliseconds.
        now : float
            Current time in seconds since the Unix epoch.
        """
        if not self.listed_at:
            return True
        return self.clock + (now - self.listed_at) * 1000 > deadline


@attrs.frozen
class _FailedConfirmation:
    """Why an incarnation was not confirmed, and when it may be asked again."""

    state: WorkerState
    failure: WorkerFailure
    ask_again_at: float


class WorkerTracker:
    """Follows the incarnations of the worker of one VM.

    An announcement alone never replaces the incarnation: the worker must have answered
    as the new one.

    Parameters
    ----------
    vm : str
        Id of the VM.
    clock : Clock
        Source of time.
    worker : Worker
        Client of the VM's worker.

    Attributes
    ----------
    lock : threading.Lock
        Protects all attributes and the state of the worker.
    state : WorkerState or None
        State of the current incarnation; None while none is known.
    services : ConfiguredServices
        Services that announcements may name.
    crashes : deque of WorkerCrash
        Latest incarnations that ended without notice.
    """

    def __init__(self, vm: str, clock: Clock, worker: Worker) -> None:
        self.lock = threading.Lock()
        self.state: WorkerState | None = None
        self.services = ConfiguredServices()
        self.crashes: deque[WorkerCrash] = deque(maxlen=_MAX_CRASHES)
        self._vm = vm
        self._clock = clock
        self._worker = worker
        self._pending = PendingAnnouncements()
        self._confirmation_lock = threading.Lock()
        self._failed_confirmation: _FailedConfirmation | None = None

    def get_vm_incarnation(self, state: WorkerState) -> str:
        """Return the worker's incarnation in the form ``VM/WORKER~START``.

        A VM runs at most one worker at a time.
        """
        return f"{self._vm}/{state.incarnation}"

    def record_announcement(self, announcement: WorkerAnnouncement) -> bool:
        """Record an announcement of the worker.

        One of another incarnation takes effect once the worker has answered as such.

        Returns False if it is out of date, if its start time is in the future, or if
        the operators' configuration doesn't name its service.
        """
        if is_from_the_future(announcement, self._clock.now()):
            return False
        with self.lock:
            if not self._may_have_service(announcement):
                report_unnamed_service(announcement)
                return False
            state = self.state
            if state is not None and announcement.incarnation == state.incarnation:
                return self._update_announcement(state, announcement)
            self._pending.add(announcement)
        return True

    def _may_have_service(self, announcement: WorkerAnnouncement) -> bool:
        """Return whether the announced service is configured, or was when it started.

        A worker whose service has been removed may still announce that it leaves.
        """
        state = self.state
        is_unchanged = (
            state is not None
            and announcement.incarnation == state.incarnation
            and announcement.service == state.announcement.service
        )
        return is_unchanged or self.services.may_include(announcement.service)

    def _update_announcement(
        self, state: WorkerState, announcement: WorkerAnnouncement
    ) -> bool:
        """Replace the announcement of the current incarnation unless it is older."""
        known = state.announcement
        is_older = announcement.sequence < known.sequence
        if is_older and self.services.may_include(known.service):
            report_out_of_date(announcement, known)
            return False
        ANNOUNCEMENTS.labels("repeated").inc()
        starts_draining = announcement.draining and not known.draining
        state.announcement = announcement
        if not state.announced:
            state.announced = True
            log_change(logger, "worker announced", worker=announcement.incarnation)
        if starts_draining:
            log_change(logger, "worker is draining", worker=announcement.incarnation)
        return True

    def confirm_next(self, epoch: int) -> None:
        """Ask the worker whether it is the next of the announced incarnations.

        The call has no effect on its lease and its ended runs. There is one for each
        poll, so that announcements of others don't hold up the lease. ``epoch`` is the
        fencing token of the leader.
        """
        with self.lock:
            announcement = self._pending.first()
            before = self.state
            if announcement is None:
                return
            self._pending.postpone(announcement)
        order = WorkerOrder(announcement.worker_id, announcement.born, epoch)
        result = self._worker.hold(order, 0.0, 0, 0.0)
        if not isinstance(result, Err):
            self._begin_incarnation(announcement, before)
        elif result.err_value.answered_by_other:
            with self.lock:
                self._pending.remove(announcement)
            report_denied(announcement, result.err_value)

    def confirm(
        self, state: WorkerState, order: WorkerOrder
    ) -> Result[None, WorkerFailure]:
        """Ask the worker whether it is still the same incarnation.

        A call can't name the incarnation that it is meant for. The agent may have been
        suspended since the worker's last answer, and the worker may have restarted
        under its id. It is not asked if it has answered just now. The call has no
        effect on its lease and its ended runs. Calls at the same time share one answer.
        """
        with self._confirmation_lock:
            asked_at = self._clock.now()
            if asked_at - state.listed_at < _MIN_RESTART_SECONDS:
                return Ok(None)
            failed = self._failed_confirmation
            if failed and failed.state is state and asked_at < failed.ask_again_at:
                return Err(failed.failure)
            answer = self._worker.hold(order, 0.0, 0, 0.0)
            if isinstance(answer, Err):
                failure = answer.err_value
                ask_again_at = self._clock.now() + _CONFIRMATION_PAUSE_SECONDS
                self._failed_confirmation = _FailedConfirmation(
                    state, failure, ask_again_at
                )
                if failure.born:
                    self.begin_unannounced(state, failure.born)
                return Err(failure)
            with self.lock:
                state.record_clock(answer.ok_value.clock, asked_at, self._clock.now())
            return Ok(None)

    def find_start_obstacle(
        self,
        state: WorkerState,
        order: WorkerOrder,
        deadline: float,
        run: tuple[str, int],
    ) -> str:
        """Return why a start can't be sent any more, or an empty string.

        The agent may have been suspended since the leader sent the start. The worker
        checks the deadline too, but not if it has restarted meanwhile: the clock of the
        new incarnation begins anew, and the deadline is far ahead of it. So it is asked
        for its incarnation last.
        """
        reason = self._find_expiry_reason(state, deadline, run)
        if reason:
            return reason
        confirmed = self.confirm(state, order)
        if isinstance(confirmed, Err):
            return f"worker not confirmed: {confirmed.err_value.reason}"
        return self._find_expiry_reason(state, deadline, run)

    def _find_expiry_reason(
        self, state: WorkerState, deadline: float, run: tuple[str, int]
    ) -> str:
        with self.lock:
            if self.state is not state:
                return "another worker"
            if state.has_passed(deadline, self._clock.now()):
                return "late"
            return "stopped" if run in state.stopped else ""

    def _begin_incarnation(
        self, announcement: WorkerAnnouncement, before: WorkerState | None
    ) -> None:
        """Replace the worker's incarnation by one that the worker has confirmed.

        Does nothing if another thread has replaced the incarnation ``before``, which
        was known when the worker was asked.
        """
        with self.lock:
            if self.state is not before:
                return
            self._pending.remove(announcement)
            if not self._may_have_service(announcement):
                # The configuration was not known yet when it arrived.
                report_unnamed_service(announcement)
                return
            if before is not None and before.incarnation == announcement.incarnation:
                self._update_announcement(before, announcement)
                return
            if before is not None and not before.announcement.draining:
                self._record_crash(before)
            self.state = WorkerState(announcement)
        ANNOUNCEMENTS.labels("new").inc()
        log_change(
            logger,
            "worker started",
            worker=announcement.incarnation,
            service=announcement.service,
            zone=announcement.zone,
            sequence=announcement.sequence,
            before=before.incarnation if before else None,
        )

    def begin_unannounced(self, state: WorkerState, born: int) -> None:
        """Replace an incarnation after the worker has answered as another one.

        Until it announces itself, its service and its resources are unknown, and it
        gets no starts.
        """
        with self.lock:
            if self.state is not state:
                return
            if not state.announcement.draining:
                self._record_crash(state)
            announcement = attrs.evolve(
                state.announcement,
                born=born,
                sequence=-1,
                draining=False,
                capacity=Demand(),
            )
            self.state = WorkerState(announcement, announced=False)
        log_change(
            logger,
            "worker restarted",
            worker=announcement.incarnation,
            before=state.incarnation,
        )

    def _record_crash(self, state: WorkerState) -> None:
        """Record that a worker has ended without an announcement."""
        runs = state.starts.find_suspects()
        began = state.starts.is_confirmed(runs)
        suspects = [RunKey(*run) for run in runs]
        worker = self.get_vm_incarnation(state)
        outlived = [RunKey(*run) for run in state.starts.find_outlived(runs)]
        self.crashes.append(WorkerCrash(worker, suspects, began, outlived))
        log_change(
            logger,
            "worker crashed",
            worker=worker,
            suspects=[f"{run.task_id}:{run.run}" for run in suspects],
            began=began,
            outlived=len(outlived),
        )

    def record_departure(self, worker_id: str, born: int) -> None:
        """Mark a worker that has deregistered as draining; it gets no more starts.

        ``born`` is the start time of the incarnation that has sent the call, or 0 if it
        doesn't say. A late call of an earlier incarnation has no effect.
        """
        with self.lock:
            state = self.state
            if state is None or state.announcement.worker_id != worker_id:
                return
            if born not in (0, state.announcement.born):
                return
            state.announcement = attrs.evolve(state.announcement, draining=True)
        log_change(logger, "worker deregistered", worker=worker_id)
