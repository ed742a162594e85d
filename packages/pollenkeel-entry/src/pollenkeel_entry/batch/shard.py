"""Owner side of one shard: group commit, planning of starts, exchanges with agents."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future
from typing import TypeGuard

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.decisions import Decision, DecisionRecord
from pollenkeel_entry.batch.exchange import (
    ExchangeEffects,
    evaluate_error,
    evaluate_reply,
    find_lapsed,
)
from pollenkeel_entry.batch.forecast import DeadlineForecast, LateJob
from pollenkeel_entry.batch.hints import CapacityHints, StartRamp
from pollenkeel_entry.batch.log import PendingAppend, ShardLog, count_fitting_events
from pollenkeel_entry.batch.ownership import Lease, Ownership
from pollenkeel_entry.batch.planning import Plan, Planner
from pollenkeel_entry.batch.quota import QuotaTable
from pollenkeel_entry.batch.state import ShardState, apply
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_kernel.config.model import ClusterConfig, PolicyConfig
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import (
    Message,
    Resources,
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
    TaskStart,
)
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS, Placement, VmHint
from pollenkeel_kernel.policy.quarantine import Quarantine
from pollenkeel_kernel.policy.run_time import (
    RUN_TIME_MODELS,
    DeclaredRunTime,
    RunTimeModel,
)

logger = logbook.Logger("batch.shard")

#: Outcome of the commit of a request's events.
CommitResult = Result[None, Refusal]
#: Maximum number of starts planned in one commit.
STARTS_PER_COMMIT = 400
#: Delay before a failed snapshot is retried.
_SNAPSHOT_RETRY_SECONDS = 5.0
#: Interval between forecasts of jobs that will miss their deadline.
_FORECAST_INTERVAL_SECONDS = 5.0
#: Interval between planning passes while no task is queued. Such a pass only hands the
#: announcements, which arrive once a second, to the placement policy; a pass in each
#: commit interval would examine every agent 20 times a second for each shard.
_IDLE_INTERVAL_SECONDS = 1.0
#: Tasks in one ``JobPart`` of a large job. A task has at most 8,500 bytes, so a part
#: fits in one log row.
_TASKS_PER_PART = 7


@attrs.frozen
class ShardServices:
    """Objects shared by the shards of one entry.

    ``wake`` starts the next exchange with an agent without delay, and ``is_silent``
    returns whether an agent leaves heartbeats unanswered; both take an agent id.
    ``run_times_by_name`` holds the run-time models in use by plug-in name.
    """

    ownership: Ownership
    hints: CapacityHints
    ramp: StartRamp
    quarantine: Quarantine
    decisions: DecisionRecord
    quota: QuotaTable
    wake: Callable[[str], None]
    is_silent: Callable[[str], bool]
    run_times_by_name: dict[str, RunTimeModel] = attrs.field(factory=dict)


@attrs.frozen(eq=False)
class _InboxItem:
    """An event to be written to the log.

    ``answer`` is the future result of the request that the event belongs to, or None
    if it belongs to no request. ``last`` marks the last event of a request, whose
    commit completes the result.
    """

    event: ev.Event
    answer: Future[CommitResult] | None
    last: bool


class Shard:
    """A shard owned by this entry: commits its events and exchanges tasks with agents.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    lease : Lease
        Ownership lease, renewed by the manager.
    log : ShardLog
        Log of the shard after its recovery.
    services : ShardServices
        Objects shared with the entry's other shards.
    """

    def __init__(
        self,
        context: EntryContext,
        lease: Lease,
        log: ShardLog,
        services: ShardServices,
    ) -> None:
        self.lease = lease
        #: Set once this entry no longer acts as the owner.
        self.lost = threading.Event()
        #: Latest end of a task lease that this owner has granted.
        self.granted_until = 0.0
        self._context = context
        self._timing = context.settings.timing
        self._log = log
        self._services = services
        self._lock = threading.RLock()
        self._closing = False
        self._inbox: deque[_InboxItem] = deque()
        #: Events of no request that are queued or being appended; prevents duplicates.
        self._unwritten_events: set[ev.Event] = set()
        #: Digest and result of jobs whose submission is not committed yet.
        self._submitting: dict[str, tuple[str, Future[CommitResult]]] = {}
        self._pending: tuple[PendingAppend, list[_InboxItem]] | None = None
        self._pending_written = False
        #: Whether the outcome of the pending append is unknown, so it must be repeated.
        self._append_unresolved = False
        self._next_snapshot_at = 0.0
        self._planner: Planner | None = None
        self._policy: PolicyConfig | None = None
        self._forecast = DeadlineForecast(DeclaredRunTime())
        self._next_forecast_at = 0.0
        self._next_idle_pass_at = 0.0
        self._placement: Placement | None = None
        self._pending_starts_by_agent: dict[str, list[TaskStart]] = {}
        self._acks_by_agent: dict[str, list[TaskKey]] = {}
        self._stops_by_agent: dict[str, list[TaskKey]] = {}
        self._evicts_by_agent: dict[str, set[TaskKey]] = {}
        self._granted_until_by_agent: dict[str, float] = {}
        #: Latest end of task leases granted by earlier owners, for agents that have
        #: accepted an exchange of this owner and thus reject earlier ones.
        self._inherited_until_by_agent: dict[str, float] = {}
        #: Process epoch in which an agent last accepted an exchange.
        self._answered_epoch_by_agent: dict[str, str] = {}
        #: Agents that did not answer the last exchange.
        self._unanswered_agents: set[str] = set()
        #: Agents of lapsed attempts that have not listed their worker's tasks since.
        self._unchecked_agents: set[str] = set()
        services.quota.set(lease.shard, log.state.usage_by_team)

    @property
    def log(self) -> ShardLog:
        """Log and state of the shard; hold ``lock`` while reading the state."""
        return self._log

    @property
    def lock(self) -> threading.RLock:
        """Guards the state."""
        return self._lock

    def submit(self, job: ev.JobSubmitted) -> Future[CommitResult]:
        """Queue a validated job for the log.

        A repeated submission gets the same result; one with the same id and different
        content is rejected.
        """
        with self._lock:
            known = self._log.state.jobs_by_id.get(job.job_id)
            if known is not None:
                same = known.digest == job.digest
                return _completed(Ok(None) if same else _conflict_error(job.job_id))
            if job.job_id in self._submitting:
                digest, answer = self._submitting[job.job_id]
                if digest != job.digest:
                    return _completed(_conflict_error(job.job_id))
                return (
                    _completed(_unresolved_error())
                    if self._append_unresolved
                    else answer
                )
            backlog = self._log.state.open_jobs() + len(self._submitting)
            limit = self._context.settings.limits.jobs_per_shard
            if backlog >= limit:
                return _completed(Err(Refusal(Code.BACKLOG_FULL, f"{backlog} jobs")))
            answer = self._enqueue(_split_job(job))
            if not answer.done():
                self._submitting[job.job_id] = (job.digest, answer)
            return answer

    def cancel(self, job_id: str) -> Future[CommitResult]:
        """Queue the cancellation of a job."""
        with self._lock:
            if job_id not in self._log.state.jobs_by_id:
                return _completed(Err(Refusal(Code.NOT_FOUND, f"job {job_id!r}")))
            return self._enqueue([ev.JobCancelled(job_id)])

    def tick(self) -> None:
        """Commit one batch: queued events first, then new starts.

        A batch whose append has an unknown outcome is repeated by later calls.
        """
        if self.lost.is_set():
            return
        with self._lock:
            if self._pending is None:
                self._pending = self._next_batch()
            if self._pending is None:
                return
            pending, items = self._pending
        result = self._append(pending)
        if isinstance(result, Ok):
            with self._lock:
                self._apply_batch(items)
            due = self._context.clock.now() >= self._next_snapshot_at
            if due and self._log.snapshot_due:
                self._snapshot()
        elif result.err_value.code is Code.NOT_OWNER:
            self.drop(result.err_value)
        elif (
            result.err_value.code is Code.STORE_UNAVAILABLE
            and not self._append_unresolved
        ):
            # This append wrote nothing. If an earlier append of the same batch had an
            # unknown outcome, the batch may be written nevertheless.
            with self._lock:
                self._reject_batch(items, result.err_value)
        else:
            with self._lock:
                self._reject_queued_requests()

    def drop(self, refusal: Refusal) -> None:
        """Stop acting as the owner; nothing more is appended or sent.

        Requests that are not committed end with code ``WRITE_UNKNOWN``.
        """
        with self._lock:
            if self.lost.is_set():
                return
            self.lost.set()
            items = [*(self._pending[1] if self._pending else []), *self._inbox]
            self._inbox.clear()
            unknown = Refusal(Code.WRITE_UNKNOWN, refusal.detail)
            for item in items:
                _complete_item(item, Err(unknown))
        self._services.quota.remove(self.lease.shard)
        log_change(logger, "shard dropped", shard=self.lease.shard, reason=str(refusal))

    def suspend(self) -> None:
        """Stop exchanges, starts and requests; the first step of a graceful release."""
        with self._lock:
            self._closing = True

    def resume(self) -> None:
        """Resume work as the owner after a release that was not written."""
        with self._lock:
            self._closing = False

    @property
    def is_flushed(self) -> bool:
        """Whether no event is waiting to be written to the log."""
        with self._lock:
            return self._pending is None and not self._inbox

    def end_lapsed_attempts(self) -> None:
        """Queue the end of attempts whose task lease has certainly expired.

        Their outcome is ``lapsed``. A lease has certainly expired once the allowed
        clock skew has passed after its end.
        """
        with self._lock:
            lapsed = find_lapsed(
                self._log.state,
                self._granted_until_by_agent,
                self._inherited_until_by_agent,
                self.lease.inherited_until,
                self._context.clock.now(),
                self._timing.max_clock_skew,
            )
            events = list(lapsed)
        self._enqueue_lapsed(events)

    def begin_exchange(self, record: AgentRecord) -> TaskExchange | None:
        """Remove what is queued for an agent and return it as the next message.

        Returns None if there is nothing to send. A message extends the granted task
        lease, unless the agent left the previous one unanswered. Its result must be
        passed to ``finish_exchange``.
        """
        agent_id, now = record.announce.sender, self._context.clock.now()
        with self._lock:
            if self.lost.is_set() or self._closing:
                return None
            state = self._log.state
            keys = state.keys_by_agent.get(agent_id, {})
            starts = self._pop_valid_starts(agent_id, now)
            acks = self._acks_by_agent.pop(agent_id, [])
            stops = []
            if record.announce.worker_ready or agent_id not in self._unchecked_agents:
                stops = self._stops_by_agent.pop(agent_id, [])
            # Every incarnation of an agent gets at least one message, because it then
            # rejects messages from earlier owners of the shard.
            has_answered = (
                self._answered_epoch_by_agent.get(agent_id)
                == record.announce.agent_epoch
            )
            if has_answered and not (keys or acks or stops):
                return None
            drained = record.announce.data_centre in self._context.config.drained()
            evicts = []
            for key in keys:
                task = state.tasks_by_key[key]
                assert task.attempt is not None
                if state.jobs_by_id[task.job_id].cancelled:
                    stops.append(TaskKey(key, task.attempt.number))
                elif task.state == rec.RUNNING:
                    wanted = self._evicts_by_agent.get(agent_id, set())
                    attempt = TaskKey(key, task.attempt.number)
                    if drained or attempt in wanted:
                        evicts.append(attempt)
            granted = self._granted_until_by_agent.get(agent_id, 0.0)
            # An unanswered message may have arrived. If each of them extended the
            # lease, the attempts of an agent that cannot answer would never lapse.
            silent = agent_id in self._unanswered_agents
            until = granted if silent else self._task_lease_until(now)
            latest = max(until, granted)
            self._granted_until_by_agent[agent_id] = latest
            self.granted_until = max(self.granted_until, latest)
            return TaskExchange(
                self._context.settings.id,
                now,
                record.announce.agent_epoch,
                self.lease.shard,
                self.lease.row.epoch,
                until,
                starts,
                evicts,
                list(dict.fromkeys(stops)),
                list(dict.fromkeys(acks)),
                running=_list_attempts(state, keys),
                shard_lease_until=self.lease.row.lease_until,
            )

    def finish_exchange(
        self, agent_id: str, message: TaskExchange, result: Result[Message, Refusal]
    ) -> None:
        """Update the shard with the result of an exchange."""
        with self._lock:
            if self.lost.is_set():
                return
            lapsed = self._process_result(agent_id, message, result)
        self._enqueue_lapsed(lapsed)

    def _process_result(
        self, agent_id: str, message: TaskExchange, result: Result[Message, Refusal]
    ) -> list[ev.AttemptEnded]:
        """Queue the events that follow from an exchange, except for lapsed attempts.

        Lapsed attempts are returned, because their checkpoints must be looked up in the
        object store, which is done without the lock.
        """
        if isinstance(result, Err):
            self._unanswered_agents.add(agent_id)
            effects = evaluate_error(message.starts, result.err_value)
            effects.acknowledged += message.acknowledged
            effects.stops += message.stops
        elif isinstance(result.ok_value, TaskExchangeReply):
            reply = result.ok_value
            self._unanswered_agents.discard(agent_id)
            if reply.code == Code.STALE_SHARD_EPOCH.value:
                self.drop(Refusal(Code.NOT_OWNER, reply.detail))
                return []
            if not self._stops_by_agent.get(agent_id):
                self._unchecked_agents.discard(agent_id)
            if reply.code == Code.OK.value:
                now = self._context.clock.now()
                bound = now + self._timing.task_lease
                self._inherited_until_by_agent.setdefault(agent_id, bound)
                self._answered_epoch_by_agent[agent_id] = message.agent_epoch
            state = self._log.state
            started = [TaskKey(s.task_id, s.attempt) for s in message.starts]
            self._services.hints.answered(agent_id, started, reply.sent_at)
            self._observe_usage(reply)
            self._handle_eviction_requests(agent_id, reply)
            effects = evaluate_reply(state, agent_id, message, reply, self._timing)
        else:
            effects = ExchangeEffects()
        lapsed = [e for e in effects.events if _is_lapsed(e)]
        self._enqueue_once([e for e in effects.events if not _is_lapsed(e)])
        self._acks_by_agent.setdefault(agent_id, []).extend(effects.acknowledged)
        self._stops_by_agent.setdefault(agent_id, []).extend(effects.stops)
        return lapsed

    def _enqueue_lapsed(self, events: list[ev.AttemptEnded]) -> None:
        """Queue the ends of lapsed attempts, with checkpoints that were not reported.

        A worker or agent can fail after it evicted a task and before it reported the
        checkpoint. If the object store does not answer, the attempt is not ended yet,
        since its progress might be lost.
        """
        if not events:
            return
        with self._lock:
            reported = {
                (e.key, e.attempt)
                for e in self._unwritten_events
                if isinstance(e, ev.AttemptEnded)
            }
        for event in events:
            if (event.key, event.attempt) in reported:
                continue
            key = TaskKey(event.key, event.attempt).checkpoint_key
            found = self._context.backend.get_object(key)
            if isinstance(found, Err):
                continue
            if found.ok_value is not None:
                event = attrs.evolve(event, checkpoint_key=key)
            with self._lock:
                if not self.lost.is_set():
                    self._enqueue_once([event])

    def _handle_eviction_requests(
        self, agent_id: str, reply: TaskExchangeReply
    ) -> None:
        """Grant the evictions that an agent requests.

        Each exchange, starting with the next one, carries the eviction order until the
        attempt has ended.
        """
        state, known = self._log.state, self._evicts_by_agent.pop(agent_id, set())
        wanted = set()
        for reported in reply.tasks:
            task = state.task_with_attempt(reported.task_id, reported.attempt)
            if task is None or task.attempt is None or not reported.evict_wanted:
                continue
            key = TaskKey(reported.task_id, reported.attempt)
            wanted.add(key)
            if key not in known:
                reason = f"the agent asked: {reported.evict_wanted}"[:500]
                code, vm = Code.EVICTED.value, task.attempt.vm
                self._record_decision(reported.task_id, "evict", code, reason, vm)
                self._services.wake(agent_id)
        if wanted:
            self._evicts_by_agent[agent_id] = wanted

    def _observe_usage(self, reply: TaskExchangeReply) -> None:
        """Pass the measured usage of running tasks to the placement policy."""
        state = self._log.state
        for reported in reply.tasks:
            task = state.task_with_attempt(reported.task_id, reported.attempt)
            if task is None or self._placement is None or reported.state != rec.RUNNING:
                continue
            kind = state.jobs_by_id[task.job_id].kind
            declared = task.spec.resources
            self._placement.observe_use(kind, declared, reported.usage)

    def _pop_valid_starts(self, agent_id: str, now: float) -> list[TaskStart]:
        """Return the starts to send to an agent; end cancelled and expired ones."""
        starts = self._pending_starts_by_agent.pop(agent_id, [])
        state = self._log.state
        valid = []
        for start in starts:
            task = state.task_with_attempt(start.task_id, start.attempt)
            if task is None:
                continue
            cancelled = state.jobs_by_id[task.job_id].cancelled
            if cancelled or start.start_before <= now:
                code = Code.CANCELLED if cancelled else Code.START_EXPIRED
                end = ev.AttemptEnded(
                    start.task_id, start.attempt, rec.REFUSED, code.value, "not sent"
                )
                self._enqueue_once([end])
            else:
                valid.append(start)
        return valid

    def _enqueue(self, events: list[ev.Event]) -> Future[CommitResult]:
        """Queue the events of a request and return its result."""
        answer: Future[CommitResult] = Future()
        if self.lost.is_set() or self._closing:
            return _completed(Err(Refusal(Code.NOT_OWNER, str(self.lease.shard))))
        if self._append_unresolved:
            return _completed(_blocked_error())
        last = len(events) - 1
        self._inbox.extend(
            _InboxItem(e, answer, i == last) for i, e in enumerate(events)
        )
        return answer

    def _enqueue_once(self, events: list[ev.Event]) -> None:
        """Queue events that belong to no request, unless they are already queued."""
        for event in events:
            if event not in self._unwritten_events:
                self._unwritten_events.add(event)
                self._inbox.append(_InboxItem(event, None, True))

    def _next_batch(self) -> tuple[PendingAppend, list[_InboxItem]] | None:
        """Prepare the next append from queued events and new starts."""
        # Skip the remaining events of a request whose earlier part was rejected.
        while self._inbox and _is_completed(self._inbox[0]):
            self._inbox.popleft()
        items = [item for item in self._inbox if not _is_completed(item)][:2000]
        items += [_InboxItem(event, None, True) for event in self._plan_starts()]
        size = count_fitting_events([item.event for item in items])
        self._release_reservations(items[size:])
        items = items[:size]
        if not items:
            return None
        chosen = set(items)
        self._inbox = deque(item for item in self._inbox if item not in chosen)
        self._pending_written = self._append_unresolved = False
        return self._log.prepare([item.event for item in items]), items

    def _append(self, pending: PendingAppend) -> CommitResult:
        """Write the batch unless already written, and verify the ownership."""
        if not self._pending_written:
            result = self._log.append(pending)
            if isinstance(result, Err):
                return result
            self._pending_written = True
        if self._context.clock.now() < self.lease.row.lease_until:
            return Ok(None)
        # Once the lease has expired, another owner may have deleted rows below its
        # snapshot, so a free sequence number no longer proves ownership.
        held = self._services.ownership.is_held(self.lease)
        if isinstance(held, Err):
            return Err(Refusal(Code.WRITE_UNKNOWN, held.err_value.detail))
        return Ok(None) if held.ok_value else Err(Refusal(Code.NOT_OWNER, "lease lost"))

    def _apply_batch(self, items: list[_InboxItem]) -> None:
        """Apply a committed batch to the state and complete its requests."""
        self._pending = None
        for item in items:
            self._handle_attempt_end(item.event)
            apply(item.event, self._log.state)
            if isinstance(item.event, ev.AttemptStarted):
                self._forecast.started(item.event.key, self._context.clock.now())
            self._discard_unwritten_event(item)
            if isinstance(item.event, ev.JobSubmitted):
                self._submitting.pop(item.event.job_id, None)
            if item.last:
                _complete_item(item, Ok(None))
        for item in items:
            if isinstance(item.event, ev.AttemptStarted):
                self._queue_start(item.event)
        self._append_unresolved = False
        self._services.quota.set(self.lease.shard, self._log.state.usage_by_team)

    def _reject_queued_requests(self) -> None:
        """Reject requests whose last event waits behind an unresolved append.

        Some ``JobPart`` events of a large job may be in that append. Without the
        submission, which is the last event, they add no job.
        """
        self._append_unresolved = True
        assert self._pending is not None
        sent = {item.answer for item in self._pending[1] if item.last}
        for item in self._inbox:
            if item.answer not in sent:
                _complete_item(item, _blocked_error())
        self._remove_completed_submissions()

    def _reject_batch(self, items: list[_InboxItem], refusal: Refusal) -> None:
        """Discard a batch that was not written and reject its requests."""
        self._pending = None
        self._planner = None
        self._release_reservations(items)
        for item in items:
            self._discard_unwritten_event(item)
            _complete_item(item, Err(refusal))
        self._services.quota.set(self.lease.shard, self._log.state.usage_by_team)
        self._remove_completed_submissions()

    def _release_reservations(self, items: list[_InboxItem]) -> None:
        """Release the capacity reserved for starts that will not be sent."""
        for item in items:
            event = item.event
            if isinstance(event, ev.AttemptStarted):
                attempt = TaskKey(event.key, event.attempt)
                self._services.hints.release(event.agent_id, attempt)

    def _remove_completed_submissions(self) -> None:
        self._submitting = {
            job_id: entry
            for job_id, entry in self._submitting.items()
            if not entry[1].done()
        }

    def _discard_unwritten_event(self, item: _InboxItem) -> None:
        # Events of requests contain lists and are not hashable.
        if item.answer is None:
            self._unwritten_events.discard(item.event)

    def _queue_start(self, event: ev.AttemptStarted) -> None:
        """Queue the message of a committed start for the next exchange."""
        task = self._log.state.task_with_attempt(event.key, event.attempt)
        if task is None:
            return
        job = self._log.state.jobs_by_id[task.job_id]
        start = TaskStart(
            event.key,
            event.attempt,
            job.kind,
            job.team,
            task.spec.resources,
            task.spec.command,
            task.checkpoint_key,
            event.start_before,
            event.lease_until,
        )
        self._pending_starts_by_agent.setdefault(event.agent_id, []).append(start)
        self._record_decision(event.key, "start", Code.OK.value, "", event.vm)
        self._services.wake(event.agent_id)

    def _handle_attempt_end(self, event: ev.Event) -> None:
        """Update everything but the state for an attempt that ends.

        Releases its capacity, queues its acknowledgement or stop, and records the
        decision, run time and failure. Called before the event is applied, while the
        attempt is still in the state.
        """
        if not isinstance(event, ev.AttemptEnded):
            return
        task = self._log.state.task_with_attempt(event.key, event.attempt)
        if task is None or task.attempt is None:
            return
        agent_id, vm = task.attempt.agent_id, task.attempt.vm
        self._services.hints.release(agent_id, TaskKey(event.key, event.attempt))
        # The agent of a lapsed attempt may return and still list it, so the attempt is
        # to be stopped instead of acknowledged.
        lapsed = event.outcome == rec.LAPSED
        if lapsed:
            self._unchecked_agents.add(agent_id)
            self._services.wake(agent_id)
        orders = self._stops_by_agent if lapsed else self._acks_by_agent
        orders.setdefault(agent_id, []).append(TaskKey(event.key, event.attempt))
        self._record_decision(event.key, event.outcome, event.code, event.detail, vm)
        now = self._context.clock.now()
        self._forecast.ended(event.key, self._log.state, event.outcome, now)
        if event.outcome in (rec.DONE, rec.FAILED):
            failed = event.outcome == rec.FAILED
            self._services.quarantine.record(agent_id, event.key, failed, now)

    def _record_decision(
        self, key: str, action: str, code: int, reason: str = "", vm: str = ""
    ) -> None:
        now = self._context.clock.now()
        self._services.decisions.add(key, Decision(now, action, code, reason, vm))

    def _task_lease_until(self, now: float) -> float:
        """Return the end of a task lease that is granted now."""
        # A task lease may outlast the confirmed shard lease by ``outage_grace``, so
        # that tasks survive an outage of the store; the next owner allows for this.
        confirmed = self.lease.row.lease_until + self._timing.outage_grace
        return min(now + self._timing.task_lease, confirmed)

    def _plan_starts(self) -> list[ev.Event]:
        """Return the events of new starts, with their capacity reserved."""
        config, now = self._context.config.effective(), self._context.clock.now()
        state = self._log.state
        # Starts need a valid shard lease, which bounds ``start_before``: the worker
        # rejects a late start before another owner can have claimed the shard.
        if config is None or now >= self.lease.row.lease_until or self._closing:
            return []
        if not state.queued:
            if now < self._next_idle_pass_at:
                return []
            self._next_idle_pass_at = now + _IDLE_INTERVAL_SECONDS
        planner = self._get_planner(config)
        for key in state.queued:
            planner.add(state.tasks_by_key[key], state)
        vms, start_before_by_agent, vm_by_agent = self._find_eligible_vms(now)
        budgets: dict[str, float] = {}
        interval = self._timing.commit_interval
        for vm in vms:
            name = vm.data_centre
            budgets[name] = self._services.ramp.budget(name, now, interval)
        limit = int(min(STARTS_PER_COMMIT, sum(budgets.values())))
        quarantine = self._services.quarantine
        quota = self._services.quota
        with quota.lock:
            plan = planner.plan(
                state,
                vms,
                config.teams,
                limit,
                lambda vm: quarantine.allowed(vm.agent_id, now),
                quota.view(self.lease.shard),
                now,
            )
            quota.set(
                self.lease.shard, state.usage_by_team, _planned_sizes(state, plan)
            )
        for late in plan.late:
            self._record_late_job(late)
        self._run_forecast(planner, vms, now)
        for key, code in plan.waiting:
            self._record_decision(key, "wait", code.value)
        events: list[ev.Event] = []
        # The plan's limit is a sum over all data centres, and a quarantined agent that
        # is due for a probe gets one start only. Other planned starts stay queued for
        # the next pass.
        for start in plan.starts:
            task, agent_id = state.tasks_by_key[start.key], start.vm.agent_id
            budgets[start.vm.data_centre] -= 1
            if budgets[start.vm.data_centre] < 0:
                continue
            if not quarantine.allowed(agent_id, now):
                continue
            quarantine.started(agent_id, now)
            kind = state.jobs_by_id[task.job_id].kind
            attempt = TaskKey(start.key, task.attempts + 1)
            size = task.spec.resources
            self._services.hints.reserve(agent_id, attempt, size, now, kind)
            events.append(
                ev.AttemptStarted(
                    attempt.task_id,
                    attempt.attempt,
                    agent_id,
                    vm_by_agent[agent_id],
                    start.vm.data_centre,
                    self.lease.row.epoch,
                    start_before_by_agent[agent_id],
                    self._task_lease_until(now),
                )
            )
        return events

    def _find_eligible_vms(
        self, now: float
    ) -> tuple[list[VmHint], dict[str, float], dict[str, str]]:
        """Return VMs that can get starts; start deadlines and VM names by agent."""
        vms, start_before_by_agent, vm_by_agent = [], {}, {}
        config = self._context.config
        effective = config.effective()
        services = effective.services if effective else {}
        for record in self._context.agents.live():
            announce = record.announce
            permit = config.permit_until(announce.data_centre)
            if announce.state == "leaving" or not announce.worker_ready:
                continue
            # Its first reply may list tasks that were done before their leases lapsed.
            if announce.sender in self._unchecked_agents:
                continue
            # Announcements may still arrive from an agent that cannot be reached.
            if self._services.is_silent(announce.sender):
                continue
            if permit <= now or announce.data_centre in config.drained():
                continue
            latest = min(now + self._timing.start_window, permit)
            before = min(latest, self.lease.row.lease_until)
            start_before_by_agent[announce.sender] = before
            vm_by_agent[announce.sender] = announce.vm
            vms.append(self._services.hints.view(record, services))
        return vms, start_before_by_agent, vm_by_agent

    def _get_planner(self, config: ClusterConfig) -> Planner:
        """Return the planner, rebuilt if the configured policies have changed."""
        policy = config.policy
        if self._planner is None or self._policy != policy:
            order = TASK_ORDERS.get(policy.task_order)()
            self._placement = PLACEMENTS.get(policy.placement)(self.lease.shard)
            models = self._services.run_times_by_name
            if policy.run_time not in models:
                models[policy.run_time] = RUN_TIME_MODELS.get(policy.run_time)()
            self._forecast.run_times = models[policy.run_time]
            self._planner = Planner(order, self._placement, self._forecast)
            self._policy = policy
        return self._planner

    def _run_forecast(self, planner: Planner, vms: list[VmHint], now: float) -> None:
        """Record jobs that will be late, at most once per forecast interval."""
        if now < self._next_forecast_at:
            return
        self._next_forecast_at = now + _FORECAST_INTERVAL_SECONDS
        for late in planner.find_late(self._log.state, vms, now):
            self._record_late_job(late)

    def _record_late_job(self, late: LateJob) -> None:
        reason = f"{late.key}: {late.reason}"
        for key in (late.job_id, late.key):
            self._record_decision(key, "late", Code.WILL_MISS_DEADLINE.value, reason)

    def _snapshot(self) -> None:
        result = self._log.snapshot()
        if isinstance(result, Err):
            self._next_snapshot_at = self._context.clock.now() + _SNAPSHOT_RETRY_SECONDS
            log_change(
                logger, "snapshot failed; retrying later", reason=str(result.err_value)
            )


def _list_attempts(state: ShardState, keys: Iterable[str]) -> list[TaskKey]:
    """Return the open attempts that the log records on a VM.

    An agent that has restarted learns from them which of its worker's tasks belong to
    the shard.
    """
    attempts = ((key, state.tasks_by_key[key].attempt) for key in keys)
    return [TaskKey(key, found.number) for key, found in attempts if found]


def _is_lapsed(event: ev.Event) -> TypeGuard[ev.AttemptEnded]:
    return isinstance(event, ev.AttemptEnded) and event.outcome == rec.LAPSED


def _planned_sizes(state: ShardState, plan: Plan) -> Iterator[tuple[str, Resources]]:
    """Yield the team and the declared resources of each planned start."""
    for start in plan.starts:
        task = state.tasks_by_key[start.key]
        yield state.jobs_by_id[task.job_id].team, task.spec.resources


def _split_job(job: ev.JobSubmitted) -> list[ev.Event]:
    """Return the events of a job: its ``JobPart`` events, then the submission."""
    parts = [
        job.tasks[start : start + _TASKS_PER_PART]
        for start in range(0, len(job.tasks), _TASKS_PER_PART)
    ]
    events: list[ev.Event] = [
        ev.JobPart(job.job_id, index, tasks) for index, tasks in enumerate(parts[:-1])
    ]
    return [*events, attrs.evolve(job, parts=len(events), tasks=parts[-1])]


def _completed(result: CommitResult) -> Future[CommitResult]:
    answer: Future[CommitResult] = Future()
    answer.set_result(result)
    return answer


def _is_completed(item: _InboxItem) -> bool:
    return item.answer is not None and item.answer.done()


def _complete_item(item: _InboxItem, result: CommitResult) -> None:
    if item.answer is not None and not item.answer.done():
        item.answer.set_result(result)


def _blocked_error() -> Err[Refusal]:
    return Err(Refusal(Code.STORE_UNAVAILABLE, "an earlier append is unresolved"))


def _unresolved_error() -> Err[Refusal]:
    return Err(Refusal(Code.WRITE_UNKNOWN, "the append of the job is unresolved"))


def _conflict_error(job_id: str) -> Err[Refusal]:
    return Err(Refusal(Code.JOB_CONFLICT, f"job {job_id!r} has different content"))
