"""Owner side of one shard: group commit of its events and exchanges with agents."""

from __future__ import annotations

import threading
from concurrent.futures import Future

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.agent_orders import AgentOrders
from pollenkeel_entry.batch.inbox import (
    CommitResult,
    EventInbox,
    InboxItem,
    make_completed,
    split_job,
)
from pollenkeel_entry.batch.log import PendingAppend, ShardLog, count_fitting_events
from pollenkeel_entry.batch.ownership import Lease
from pollenkeel_entry.batch.services import OwnedShard, ShardServices
from pollenkeel_entry.batch.start_planner import StartPlanner
from pollenkeel_entry.batch.state import apply
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import (
    Message,
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
)
from pollenkeel_kernel.core.refusal import Refusal

logger = logbook.Logger("batch.shard")

#: Delay before a failed snapshot is retried.
_SNAPSHOT_RETRY_SECONDS = 5.0


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
        self._context = context
        self._log = log
        self._services = services
        self._lock = threading.RLock()
        self._closing = False
        self._inbox = EventInbox()
        owned = OwnedShard(context, lease, log, services)
        self._planner = StartPlanner(owned)
        self._orders = AgentOrders(owned, self._inbox, self._planner)
        #: Digest and result of jobs whose submission is not committed yet.
        self._submitting: dict[str, tuple[str, Future[CommitResult]]] = {}
        self._pending: tuple[PendingAppend, list[InboxItem]] | None = None
        self._pending_written = False
        #: Whether the outcome of the pending append is unknown, so it must be repeated.
        self._append_unresolved = False
        self._next_snapshot_at = 0.0
        services.quota.set(lease.shard, log.state.usage_by_team)

    @property
    def log(self) -> ShardLog:
        """Log and state of the shard; hold ``lock`` while reading the state."""
        return self._log

    @property
    def lock(self) -> threading.RLock:
        """Guards the state."""
        return self._lock

    @property
    def granted_until(self) -> float:
        """Latest end of a task lease that this owner has granted."""
        return self._orders.granted_until

    def submit(self, job: ev.JobSubmitted) -> Future[CommitResult]:
        """Queue a validated job for the log.

        A repeated submission gets the same result; one with the same id and different
        content is rejected.
        """
        with self._lock:
            known = self._log.state.jobs_by_id.get(job.job_id)
            if known is not None:
                same = known.digest == job.digest
                return make_completed(Ok(None) if same else _conflict_error(job.job_id))
            if job.job_id in self._submitting:
                digest, answer = self._submitting[job.job_id]
                if digest != job.digest:
                    return make_completed(_conflict_error(job.job_id))
                return (
                    make_completed(_unresolved_error())
                    if self._append_unresolved
                    else answer
                )
            backlog = self._log.state.open_jobs() + len(self._submitting)
            limit = self._context.settings.limits.jobs_per_shard
            if backlog >= limit:
                return make_completed(
                    Err(Refusal(Code.BACKLOG_FULL, f"{backlog} jobs"))
                )
            answer = self._enqueue(split_job(job))
            if not answer.done():
                self._submitting[job.job_id] = (job.digest, answer)
            return answer

    def cancel(self, job_id: str) -> Future[CommitResult]:
        """Queue the cancellation of a job."""
        with self._lock:
            if job_id not in self._log.state.jobs_by_id:
                return make_completed(Err(Refusal(Code.NOT_FOUND, f"job {job_id!r}")))
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
            pending = self._pending[1] if self._pending else []
            items = [*pending, *self._inbox.pop_all()]
            unknown = Refusal(Code.WRITE_UNKNOWN, refusal.detail)
            for item in items:
                item.complete(Err(unknown))
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
            lapsed = self._orders.list_lapsed()
        self._enqueue_lapsed(lapsed)

    def begin_exchange(self, record: AgentRecord) -> TaskExchange | None:
        """Remove what is queued for an agent and return it as the next message.

        Returns None if there is nothing to send. The result of the message must be
        passed to ``finish_exchange``.
        """
        with self._lock:
            if self.lost.is_set() or self._closing:
                return None
            return self._orders.make_exchange(record)

    def finish_exchange(
        self, agent_id: str, message: TaskExchange, result: Result[Message, Refusal]
    ) -> None:
        """Update the shard with the result of an exchange."""
        with self._lock:
            if self.lost.is_set():
                return
            refusal = _find_newer_owner(result)
            if refusal is not None:
                self.drop(refusal)
                return
            lapsed = self._orders.process_result(agent_id, message, result)
        self._enqueue_lapsed(lapsed)

    def _enqueue_lapsed(self, events: list[ev.AttemptEnded]) -> None:
        """Queue the ends of lapsed attempts, with checkpoints that were not reported.

        A worker or agent can fail after it evicted a task and before it reported the
        checkpoint. If the object store does not answer, the attempt is not ended yet,
        since its progress might be lost.
        """
        if not events:
            return
        with self._lock:
            reported = self._inbox.list_unwritten_ends()
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
                    self._inbox.add_once([event])

    def _enqueue(self, events: list[ev.Event]) -> Future[CommitResult]:
        """Queue the events of a request and return its result."""
        if self.lost.is_set() or self._closing:
            return make_completed(Err(Refusal(Code.NOT_OWNER, str(self.lease.shard))))
        if self._append_unresolved:
            return make_completed(_blocked_error())
        return self._inbox.add_request(events)

    def _next_batch(self) -> tuple[PendingAppend, list[InboxItem]] | None:
        """Prepare the next append from queued events and new starts."""
        items = self._inbox.list_next()
        starts = [] if self._closing else self._planner.plan()
        items += [InboxItem(event, None, True) for event in starts]
        size = count_fitting_events([item.event for item in items])
        self._planner.release_reservations(items[size:])
        items = items[:size]
        if not items:
            return None
        self._inbox.remove(items)
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

    def _apply_batch(self, items: list[InboxItem]) -> None:
        """Apply a committed batch to the state and complete its requests."""
        self._pending = None
        for item in items:
            self._handle_attempt_end(item.event)
            apply(item.event, self._log.state)
            if isinstance(item.event, ev.AttemptStarted):
                self._planner.forecast.started(
                    item.event.key, self._context.clock.now()
                )
            self._inbox.forget_written(item)
            if isinstance(item.event, ev.JobSubmitted):
                self._submitting.pop(item.event.job_id, None)
            if item.last:
                item.complete(Ok(None))
        for item in items:
            if isinstance(item.event, ev.AttemptStarted):
                self._orders.queue_start(item.event)
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
        self._inbox.complete_except(sent, _blocked_error())
        self._remove_completed_submissions()

    def _reject_batch(self, items: list[InboxItem], refusal: Refusal) -> None:
        """Discard a batch that was not written and reject its requests."""
        self._pending = None
        self._planner.reset()
        self._planner.release_reservations(items)
        for item in items:
            self._inbox.forget_written(item)
            item.complete(Err(refusal))
        self._services.quota.set(self.lease.shard, self._log.state.usage_by_team)
        self._remove_completed_submissions()

    def _remove_completed_submissions(self) -> None:
        self._submitting = {
            job_id: entry
            for job_id, entry in self._submitting.items()
            if not entry[1].done()
        }

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
        self._orders.queue_end(agent_id, event)
        now = self._context.clock.now()
        self._services.decisions.record(
            now, event.key, event.outcome, event.code, event.detail, vm
        )
        self._planner.forecast.ended(event.key, self._log.state, event.outcome, now)
        if event.outcome in (rec.DONE, rec.FAILED):
            failed = event.outcome == rec.FAILED
            self._services.quarantine.record(agent_id, event.key, failed, now)

    def _snapshot(self) -> None:
        result = self._log.snapshot()
        if isinstance(result, Err):
            self._next_snapshot_at = self._context.clock.now() + _SNAPSHOT_RETRY_SECONDS
            log_change(
                logger, "snapshot failed; retrying later", reason=str(result.err_value)
            )


def _find_newer_owner(result: Result[Message, Refusal]) -> Refusal | None:
    """Return why this entry is not the owner any more, or None.

    An agent rejects an exchange once it has heard from a later owner.
    """
    if isinstance(result, Err) or not isinstance(result.ok_value, TaskExchangeReply):
        return None
    reply = result.ok_value
    if reply.code != Code.STALE_SHARD_EPOCH.value:
        return None
    return Refusal(Code.NOT_OWNER, reply.detail)


def _blocked_error() -> Err[Refusal]:
    return Err(Refusal(Code.STORE_UNAVAILABLE, "an earlier append is unresolved"))


def _unresolved_error() -> Err[Refusal]:
    return Err(Refusal(Code.WRITE_UNKNOWN, "the append of the job is unresolved"))


def _conflict_error(job_id: str) -> Err[Refusal]:
    return Err(Refusal(Code.JOB_CONFLICT, f"job {job_id!r} has different content"))
