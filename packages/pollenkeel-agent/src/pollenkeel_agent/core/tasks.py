"""Exchanges with shard owners: starts, leases, evictions, stops and state reports."""

from __future__ import annotations

import math
import threading
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.metrics import EXCHANGES, TASK_STARTS
from pollenkeel_agent.core.site import SiteState
from pollenkeel_agent.core.task_records import TaskRecord, TaskRecords
from pollenkeel_agent.core.worker import StartResult, WorkerClient
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import (
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
    TaskStart,
)
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import TimingSettings

logger = logbook.Logger("tasks")

_BACKGROUND_THREADS = 4


@attrs.define
class _Shard:
    """Highest owner epoch seen (fencing token) and task lease of one shard.

    The lock serializes the exchanges of the shard. The first exchange of a new owner
    waits for one of the previous owner that is in progress, so its reply includes every
    task that the previous owner started. ``epoch`` is -1 before the first exchange;
    ``lease_until`` is on this process's clock.
    """

    lock: threading.Lock = attrs.field(factory=threading.Lock)
    epoch: int = -1
    lease_until: float = 0.0


class TaskHandler:
    """Answers task exchanges and polls the worker's list of attempts.

    Parameters
    ----------
    sender, epoch : str
        Id and epoch of this agent process.
    clock : Clock
        Source of time.
    timing : TimingSettings
        Lifetimes of permits and leases, largest clock skew, and the duration of an
        outage after which owners declare tasks lost.
    ledger : Ledger
        Resources of the VM.
    site : SiteState
        Source of the start permit and the clock offsets.
    worker : WorkerClient or None
        Client of the VM's worker; None if the VM runs no tasks.
    leaving : threading.Event
        Set when the agent is shutting down and admits no new work.
    """

    def __init__(
        self,
        sender: str,
        epoch: str,
        clock: Clock,
        timing: TimingSettings,
        ledger: Ledger,
        site: SiteState,
        worker: WorkerClient | None,
        leaving: threading.Event,
    ) -> None:
        self._sender = sender
        self._epoch = epoch
        self._clock = clock
        self._ledger = ledger
        self._site = site
        self._worker = worker
        self._leaving = leaving
        unassigned_retention = (
            timing.outage_grace + timing.task_lease + timing.max_clock_skew
        )
        self.records = TaskRecords(ledger, clock, unassigned_retention)
        # A start sent by an earlier agent process can reach the worker until its permit
        # has expired. Until then the worker's list may be incomplete.
        self._earlier_starts_expire_at = (
            clock.now() + timing.permit_ttl + timing.max_clock_skew
        )
        self._lock = threading.Lock()
        self._shards_by_number: dict[int, _Shard] = defaultdict(_Shard)
        self._worker_ready = False
        self._pending_orders: set[TaskKey] = set()
        self._poll_lock = threading.Lock()
        self._executor = ThreadPoolExecutor(_BACKGROUND_THREADS, "worker-orders")

    @property
    def executor(self) -> ThreadPoolExecutor:
        """Thread pool for long-running calls to the worker."""
        return self._executor

    @property
    def worker_ready(self) -> bool:
        """Whether the latest list succeeded and no later start call went unanswered."""
        return self._worker_ready

    def exchange(self, message: TaskExchange) -> TaskExchangeReply:
        """Carry out the orders of a shard owner and report its attempts' states."""
        with self._lock:
            shard = self._shards_by_number[message.shard]
        with shard.lock:
            checked = self._validate(message, shard)
            if isinstance(checked, Err):
                refusal = checked.err_value
                reply = self._make_reply(refusal.code, refusal.detail)
            else:
                reply = self._apply_exchange(message, shard)
        EXCHANGES.labels(reply.code).inc()
        return reply

    def _validate(self, message: TaskExchange, shard: _Shard) -> Result[None, Refusal]:
        """Refuse stale or invalid exchanges; record the epoch of a valid one."""
        if message.agent_epoch != self._epoch:
            detail = f"epoch {message.agent_epoch!r} is not {self._epoch!r}"
            return Err(Refusal(Code.STALE_AGENT_EPOCH, detail))
        leases = [message.lease_until, *(s.lease_until for s in message.starts)]
        if not all(map(math.isfinite, leases)):
            return Err(Refusal(Code.BAD_REQUEST, "lease_until is not finite"))
        if message.shard_epoch < shard.epoch:
            detail = f"epoch {message.shard_epoch}; highest seen {shard.epoch}"
            return Err(Refusal(Code.STALE_SHARD_EPOCH, detail))
        if self._worker is None:
            return Err(Refusal(Code.WORKER_UNAVAILABLE, "this VM has no worker"))
        now = self._clock.now()
        if shard.epoch < 0 and message.shard_lease_until <= now:
            # An earlier agent process may have seen a newer epoch, so this sender may
            # no longer own the shard. While the shard lease is valid there is no newer
            # owner.
            detail = f"shard lease until {message.shard_lease_until}, now {now}"
            return Err(Refusal(Code.NOT_OWNER, detail))
        if message.shard_epoch > shard.epoch:
            log_change(
                logger,
                "shard owner changed",
                shard=message.shard,
                shard_epoch=message.shard_epoch,
                owner=message.sender,
            )
        shard.epoch = message.shard_epoch
        return Ok(None)

    def _apply_exchange(
        self, message: TaskExchange, shard: _Shard
    ) -> TaskExchangeReply:
        """Apply a valid exchange.

        ``complete`` tells the owner that the reported states cover every attempt of the
        shard that is running or may still start on this VM.
        """
        listed_by_owner = [*message.running, *message.evicts, *message.stops]
        self.records.assign_shard(
            [*listed_by_owner, *message.acknowledged], message.shard
        )
        self.records.acknowledge(message.acknowledged, message.shard)
        self._renew_leases(message, shard)
        self._submit_orders(message)
        for start in message.starts:
            self._start_attempt(message, start)
        complete = self._ledger.tasks_listed
        complete = complete and self._clock.now() >= self._earlier_starts_expire_at
        if not message.running:
            # Attempts found after a restart whose shard is unknown may belong to this
            # shard.
            complete = complete and not self.records.has_unassigned()
        tasks, all_known = self.records.states(message.shard)
        reply = self._make_reply(Code.OK)
        return attrs.evolve(reply, complete=complete and all_known, tasks=tasks)

    def _renew_leases(self, message: TaskExchange, shard: _Shard) -> None:
        # Without conversion the lease would outlast the owner's if this clock is
        # behind.
        lease_until = self._site.to_local_clock(
            message.sender, message.sent_at, message.lease_until
        )
        shard.lease_until = max(shard.lease_until, lease_until)
        running = self.records.find_running(message.shard)
        if running and self._worker and self._worker.clock_measured:
            self._worker.renew(dict.fromkeys(running, shard.lease_until))

    def _submit_orders(self, message: TaskExchange) -> None:
        worker = self._worker
        if worker is None:
            return
        for key in message.evicts:
            self._submit_order(message.shard, key, lambda k: _evict(worker, k))
        for key in message.stops:
            self._submit_order(message.shard, key, worker.stop)

    def _submit_order(
        self, shard: int, key: TaskKey, call: Callable[[TaskKey], bool]
    ) -> None:
        """Call the worker in the background; the owner repeats failed orders.

        The order is dropped if the attempt is neither ``running`` nor ``unknown``, or
        if an order for it is already pending.
        """
        if not self.records.is_running(key, shard):
            return
        with self._lock:
            if key in self._pending_orders:
                return
            self._pending_orders.add(key)
        self._executor.submit(self._run_order, key, call)

    def _run_order(self, key: TaskKey, call: Callable[[TaskKey], bool]) -> None:
        try:
            if call(key):
                self.poll()
        finally:
            with self._lock:
                self._pending_orders.discard(key)

    def _start_attempt(self, message: TaskExchange, start: TaskStart) -> None:
        # The worker must not start the attempt after the permit has expired. The record
        # keeps the owner's value, because a delayed duplicate of the start may arrive
        # up to that time.
        start_before = min(start.start_before, self._site.permit_until)
        record, first = self.records.begin_start(
            start, message.shard, start.start_before
        )
        if not first:
            return
        admitted = self._admit_start(message, start, record.key)
        if isinstance(admitted, Err):
            self.records.set_refused(record, admitted.err_value)
        else:
            self._start_on_worker(record, start, start_before)
        TASK_STARTS.labels(record.code.value).inc()

    def _admit_start(
        self, message: TaskExchange, start: TaskStart, key: TaskKey
    ) -> Result[None, Refusal]:
        now = self._clock.now()
        if self._leaving.is_set():
            return Err(Refusal(Code.AGENT_LEAVING))
        if start.start_before <= now:
            detail = f"start_before {start.start_before}, now {now}"
            return Err(Refusal(Code.START_EXPIRED, detail))
        if self._site.permit_until <= now:
            detail = f"permit until {self._site.permit_until}, now {now}"
            return Err(Refusal(Code.NO_PERMIT, detail))
        if not self._ledger.tasks_listed:
            detail = "the worker's tasks are not listed yet"
            return Err(Refusal(Code.CAPACITY_UNKNOWN, detail))
        if not self._worker_ready:
            # Further starts would only wait for the time-out and end as unknown.
            return Err(
                Refusal(Code.WORKER_UNAVAILABLE, "the latest call to the worker failed")
            )
        skew = self._site.find_clock_skew(message.sender, message.sent_at)
        if skew is not None:
            return Err(Refusal(Code.CLOCK_SKEW, skew))
        return self._ledger.reserve_task(key, start.resources)

    def _start_on_worker(
        self, record: TaskRecord, start: TaskStart, start_before: float
    ) -> None:
        worker = self._worker
        if worker is None:
            raise RuntimeError("start without a worker")
        self.records.set_worker_start_before(
            record, worker.to_worker_time(start_before)
        )
        outcome = worker.start(start, start_before)
        if outcome.result is StartResult.STARTED:
            self.records.set_started(record)
        elif outcome.result is StartResult.UNKNOWN:
            self._set_worker_ready(False)
            self.records.set_unknown(record)
        else:
            self._ledger.release_task(record.key)
            self.records.set_refused(record, Refusal(outcome.code, outcome.detail))

    def poll(self) -> None:
        """Update the records from the worker's list; remove those no longer needed."""
        if self._worker is None:
            return
        with self._poll_lock:
            number = self.records.begin_list()
            listed = self._worker.list_tasks()
            self._set_worker_ready(isinstance(listed, Ok))
            if isinstance(listed, Err):
                return
            self.records.merge(number, listed.ok_value)
            listed_keys = {task.key for task in listed.ok_value.tasks}
            self._remove_ended(listed_keys)

    def _remove_ended(self, listed_keys: set[TaskKey]) -> None:
        """Remove ended attempts from the worker first, then from the records."""
        worker = self._worker
        removable_keys = [
            key
            for key in self.records.find_removable()
            if key not in listed_keys or (worker is not None and worker.forget(key))
        ]
        self.records.remove(removable_keys)

    def _set_worker_ready(self, ready: bool) -> None:
        if ready != self._worker_ready:
            log_change(
                logger, "worker responding" if ready else "worker not responding"
            )
        self._worker_ready = ready

    def close(self) -> None:
        """Cancel the orders that have not been sent to the worker yet."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _make_reply(self, code: Code, detail: str = "") -> TaskExchangeReply:
        return TaskExchangeReply(self._sender, self._clock.now(), code.value, detail)

    def describe(self) -> dict[str, object]:
        """Return the section of the state dump about tasks."""
        with self._lock:
            epochs = {n: s.epoch for n, s in self._shards_by_number.items()}
            leases = {n: s.lease_until for n, s in self._shards_by_number.items()}
        return {
            "worker_ready": self._worker_ready,
            "epoch_by_shard": epochs,
            "lease_until_by_shard": leases,
            "attempts": self.records.describe(),
        }


def _evict(worker: WorkerClient, key: TaskKey) -> bool:
    """Checkpoint and stop an attempt; return whether the worker confirmed it."""
    return worker.checkpoint(key, key.checkpoint_key, True)
