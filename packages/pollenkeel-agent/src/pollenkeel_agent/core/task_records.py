"""Records of the batch task attempts on the agent's VM."""

from __future__ import annotations

import math
import threading
from collections import Counter

import attrs
import logbook

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.metrics import TASKS_ENDED
from pollenkeel_agent.core.worker import WorkerList, WorkerTask
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Resources, TaskKey, TaskStart, TaskState
from pollenkeel_kernel.core.refusal import Refusal

logger = logbook.Logger("tasks")

#: Seconds after ``start_before`` for which an unacknowledged refusal is kept.
_REFUSAL_RETENTION_SECONDS = 60.0
#: Tolerance for the time stamp of a list: the worker may read its clock shortly before
#: or after it collects the tasks.
_LIST_CLOCK_MARGIN_SECONDS = 1.0
_CODES_BY_STATE = {
    "running": Code.OK,
    "done": Code.OK,
    "failed": Code.TASK_FAILED,
    "evicted": Code.EVICTED,
    "stopped": Code.CANCELLED,
    "lapsed": Code.LEASE_LAPSED,
}


@attrs.define
class TaskRecord:
    """State of one attempt of a task.

    Attributes
    ----------
    key : TaskKey
        Key of the attempt.
    shard : int or None
        Shard of the task; None for an attempt found on the worker after a restart of
        the agent, until its owner lists it in an exchange.
    state : str
        ``starting`` during the start call to the worker, ``unknown`` if that call was
        not answered, otherwise a state of ``TaskState``.
    kind : str
        Kind of the task.
    code, detail : Code, str
        Result code of the state and an explanation.
    checkpoint_key : str
        Object that holds the checkpoint, as reported by the worker.
    progress, usage : float, Resources
        Progress as a fraction from 0 to 1, and measured use, as reported by the worker.
    start_before : float
        Latest time at which the attempt may start, as sent by the owner. It is compared
        with this process's clock without conversion; a start is refused if the clocks
        are found to differ by more than ``max_clock_skew``.
    worker_start_before : float
        Latest start time sent to the worker, on the worker's clock. It is not after the
        end of the start permit, so it may be earlier than ``start_before``.
    last_stale_list : int
        Number of the latest list that had been requested when the start call ended.
        Lists up to this one may lack the attempt although it is running.
    acknowledged : bool
        Whether the owner has recorded the end of the attempt.
    remove_at : float
        Time after which an attempt without a known shard is removed if it has ended.
    cores, share : float
        Declared cores, and the fraction of them that the task may use.
    evict_wanted : str
        Reason for which this agent requests an eviction from the owner; empty if it
        requests none.
    """

    key: TaskKey
    shard: int | None
    state: str
    kind: str = ""
    code: Code = Code.OK
    detail: str = ""
    checkpoint_key: str = ""
    progress: float = 0.0
    usage: Resources = attrs.field(factory=Resources)
    start_before: float = 0.0
    worker_start_before: float = 0.0
    last_stale_list: int = 0
    acknowledged: bool = False
    remove_at: float = math.inf
    cores: float = 0.0
    share: float = 1.0
    evict_wanted: str = ""

    @property
    def ended(self) -> bool:
        """Whether the attempt has ended or can no longer start."""
        return self.state not in ("starting", "unknown", "running")

    def to_message(self) -> TaskState:
        """Return the state as reported to the shard owner."""
        return TaskState(
            self.key.task_id,
            self.key.attempt,
            self.state,
            self.code.value,
            self.detail,
            self.checkpoint_key,
            self.progress,
            self.usage,
            self.evict_wanted,
        )


class TaskRecords:
    """Records of all attempts; releases the resources of those that have ended.

    The records are updated from the lists that the worker returns. Lists are numbered,
    so that an attempt missing from a list requested before its start is not treated as
    lost.

    Parameters
    ----------
    ledger : Ledger
        Resources of the VM.
    clock : Clock
        Source of time.
    unassigned_retention : float
        Seconds after it was found on the worker for which an attempt without a known
        shard is kept although it has ended. After that time its owner has declared it
        lost.
    """

    def __init__(
        self, ledger: Ledger, clock: Clock, unassigned_retention: float
    ) -> None:
        self._unassigned_retention = unassigned_retention
        self._ledger = ledger
        self._clock = clock
        self._lock = threading.Lock()
        self._list_count = 0
        self._records_by_key: dict[TaskKey, TaskRecord] = {}

    def begin_start(
        self, start: TaskStart, shard: int, start_before: float
    ) -> tuple[TaskRecord, bool]:
        """Return the attempt's record and whether the record is new.

        Parameters
        ----------
        start : TaskStart
            Start order of the shard owner.
        shard : int
            Shard of the task.
        start_before : float
            Latest time at which the attempt may start, as sent by the owner.
        """
        key = TaskKey(start.task_id, start.attempt)
        with self._lock:
            record = self._records_by_key.get(key)
            if record is not None:
                record.shard = shard
                return record, False
            record = TaskRecord(
                key, shard, "starting", start.kind, start_before=start_before
            )
            self._records_by_key[key] = record
            return record, True

    def set_worker_start_before(
        self, record: TaskRecord, worker_start_before: float
    ) -> None:
        """Record the latest start time as sent to the worker."""
        with self._lock:
            record.worker_start_before = worker_start_before

    def set_started(self, record: TaskRecord) -> None:
        """Record that the worker accepted the attempt."""
        with self._lock:
            if record.state == "starting":
                record.state = "running"
                record.last_stale_list = self._list_count

    def set_unknown(self, record: TaskRecord) -> None:
        """Record that it is unknown whether the worker accepted the attempt."""
        with self._lock:
            if record.state == "starting":
                record.state = "unknown"
                record.last_stale_list = self._list_count

    def set_refused(self, record: TaskRecord, refusal: Refusal) -> None:
        """Record that the attempt was refused and will not start."""
        with self._lock:
            record.state = "refused"
            record.code, record.detail = refusal.code, refusal.detail

    def assign_shard(self, keys: list[TaskKey], shard: int) -> None:
        """Set the shard of attempts whose shard is not known yet."""
        with self._lock:
            for key in keys:
                record = self._records_by_key.get(key)
                if record is not None and record.shard is None:
                    record.shard = shard

    def acknowledge(self, keys: list[TaskKey], shard: int) -> None:
        """Stop reporting ended attempts whose end the owner has recorded."""
        with self._lock:
            for key in keys:
                record = self._records_by_key.get(key)
                if record is not None and record.ended and record.shard == shard:
                    record.acknowledged = True

    def begin_list(self) -> int:
        """Return the number for the list that is about to be requested."""
        with self._lock:
            self._list_count += 1
            return self._list_count

    def merge(self, number: int, listed: WorkerList) -> None:
        """Update the records from the worker's list with this number."""
        tasks_by_key = {task.key: task for task in listed.tasks}
        with self._lock:
            for task in listed.tasks:
                self._merge_task(task)
            for record in list(self._records_by_key.values()):
                if record.key not in tasks_by_key and record.last_stale_list < number:
                    self._merge_missing(record, listed.now)
            # The records release resources only once, when an attempt ends. Without
            # this a reservation would leak if lists contradict each other, e.g. if an
            # ended attempt is listed as running.
            for key in self._find_ended_keys(tasks_by_key, number):
                self._ledger.release_task(key)
            self._ledger.record_running(
                (task.key, task.resources, task.usage)
                for task in listed.tasks
                if task.state == "running"
            )

    def _find_ended_keys(
        self, tasks_by_key: dict[TaskKey, WorkerTask], number: int
    ) -> list[TaskKey]:
        """Return attempts that ended by the list or, if unlisted, by their record."""
        ended = [key for key, task in tasks_by_key.items() if task.state != "running"]
        return ended + [
            record.key
            for record in self._records_by_key.values()
            if record.ended
            and record.key not in tasks_by_key
            and record.last_stale_list < number
        ]

    def _merge_task(self, task: WorkerTask) -> None:
        """Update or create the record of a listed attempt; an end is final."""
        record = self._records_by_key.get(task.key)
        if record is None:
            record = TaskRecord(task.key, None, "unknown", task.kind)
            record.remove_at = self._clock.now() + self._unassigned_retention
            self._records_by_key[task.key] = record
            log_change(logger, "task found on the worker", task=task.task_id)
        if record.ended:
            return
        state = task.state if task.state in _CODES_BY_STATE else "failed"
        record.state, record.code = state, _CODES_BY_STATE.get(state, Code.TASK_FAILED)
        record.detail, record.checkpoint_key = task.detail, task.checkpoint_key
        record.progress, record.usage = task.progress, task.usage
        record.cores = task.resources.cores
        if record.ended:
            self._record_end(record)

    def _merge_missing(self, record: TaskRecord, worker_now: float) -> None:
        """Update the record of an attempt that the worker does not list."""
        if record.state == "running":
            # TaskState has no state for a lost attempt. The code distinguishes it from
            # an expired lease, which has LEASE_LAPSED.
            record.state, record.code = "lapsed", Code.ATTEMPT_LOST
            record.detail = "the worker no longer lists the attempt"
            self._record_end(record)
            return
        # Until start_before has passed on its clock, the worker may still accept the
        # delayed start.
        latest = record.worker_start_before + _LIST_CLOCK_MARGIN_SECONDS
        if record.state == "unknown" and worker_now > latest:
            record.state, record.code = "refused", Code.WORKER_UNAVAILABLE
            record.detail = "the start did not reach the worker in time"
            self._record_end(record)

    def _record_end(self, record: TaskRecord) -> None:
        self._ledger.release_task(record.key)
        TASKS_ENDED.labels(record.state).inc()

    def states(self, shard: int) -> tuple[list[TaskState], bool]:
        """Return the states to report to a shard's owner and whether all are known.

        An attempt without a known shard is not reported to any owner: an owner that has
        no record of a reported attempt assumes that it has ended, and orders its stop.
        """
        with self._lock:
            records = [
                record
                for record in self._records_by_key.values()
                if record.shard == shard and not record.acknowledged
            ]
            known = [r for r in records if r.state not in ("starting", "unknown")]
            return [r.to_message() for r in known], len(known) == len(records)

    def running(self) -> list[TaskRecord]:
        """Return copies of the records in state ``running``, without ``unknown``."""
        with self._lock:
            records = self._records_by_key.values()
            return [attrs.evolve(r) for r in records if r.state == "running"]

    def set_share(self, key: TaskKey, share: float) -> None:
        """Record the share of a task's cores to which the worker has limited it."""
        with self._lock:
            record = self._records_by_key.get(key)
            if record is not None:
                record.share = share

    def request_eviction(self, key: TaskKey, reason: str) -> None:
        """Request the eviction of a running task from its owner."""
        with self._lock:
            record = self._records_by_key.get(key)
            if record is not None and record.state == "running":
                record.evict_wanted = reason

    def has_unassigned(self) -> bool:
        """Return whether the shard of any attempt is unknown."""
        with self._lock:
            return any(r.shard is None for r in self._records_by_key.values())

    def find_running(self, shard: int) -> list[TaskKey]:
        """Return the attempts of a shard in state ``running`` or ``unknown``."""
        with self._lock:
            return [
                record.key
                for record in self._records_by_key.values()
                if record.shard == shard and record.state in ("running", "unknown")
            ]

    def is_running(self, key: TaskKey, shard: int) -> bool:
        """Return whether an attempt of a shard is ``running`` or ``unknown``."""
        return key in self.find_running(shard)

    def find_removable(self) -> list[TaskKey]:
        """Return ended attempts that may be removed from the worker and the records."""
        now = self._clock.now()
        with self._lock:
            return [
                r.key
                for r in self._records_by_key.values()
                if r.acknowledged
                or (r.shard is None and r.ended and r.remove_at <= now)
            ]

    def remove(self, keys: list[TaskKey]) -> None:
        """Remove those of the given attempts whose ``start_before`` has passed.

        Until then a delayed duplicate of the start must get the same reply. Old
        refusals that the owner did not acknowledge are removed too.
        """
        now = self._clock.now()
        with self._lock:
            for key in keys:
                record = self._records_by_key.get(key)
                if record is not None and record.start_before <= now:
                    del self._records_by_key[key]
            old = [
                record.key
                for record in self._records_by_key.values()
                if record.state == "refused"
                and record.start_before + _REFUSAL_RETENTION_SECONDS <= now
            ]
            for key in old:
                del self._records_by_key[key]

    def count_unfinished_by_kind(self) -> dict[str, int]:
        """Return the number of attempts of each kind that have not ended."""
        with self._lock:
            records = list(self._records_by_key.values())
        return dict(Counter(r.kind for r in records if not r.ended))

    def describe(self) -> dict[str, object]:
        """Return the records for the state dump."""
        with self._lock:
            return {
                f"{record.key.task_id}/{record.key.attempt}": {
                    "shard": record.shard,
                    "state": record.state,
                    "code": record.code.value,
                    "detail": record.detail,
                    "acknowledged": record.acknowledged,
                }
                for record in self._records_by_key.values()
            }
