"""Background storage of the answers to requests with an idempotency key.

The caller gets its answer first; the claim is written afterwards.
"""

from __future__ import annotations

import threading
from collections import deque

import attrs
import logbook
from result import Err, Ok

from pollenkeel_entry.requests.claim_row import (
    INLINE_BYTES,
    ClaimLocation,
    ClaimRow,
    ClaimState,
    answer_object_name,
    pack_answer,
    pack_row,
)
from pollenkeel_entry.requests.group_writer import GroupWriter
from pollenkeel_entry.requests.metrics import ANSWERS_UNSTORED
from pollenkeel_entry.requests.request import Answer
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.store.base import Backend, Put

logger = logbook.Logger("answer-store")

#: A write is retried for this long. Agents keep their replies for the same time after
#: the deadline, so a repeated request can get its answer from the agent meanwhile.
_GIVE_UP_SECONDS = 60.0
#: Further answers are not stored while this many rows are queued.
_MAX_PENDING = 10_000
#: Rows submitted together before their results are awaited.
_BATCH_SIZE = 32
_RETRY_SECONDS = 0.2


@attrs.define(eq=False)
class _Pending:
    """A row to write; ``answer`` is None for a released claim."""

    location: ClaimLocation
    row: ClaimRow
    answer: Answer | None
    give_up_at: float


class AnswerStore:
    """Writes finished and released claims in the background.

    Parameters
    ----------
    backend : Backend
        Object store for large answers.
    writer : GroupWriter
        Writer of the table.
    clock : Clock
        Source of time.
    """

    def __init__(self, backend: Backend, writer: GroupWriter, clock: Clock) -> None:
        self._backend = backend
        self._writer = writer
        self._clock = clock
        self._changed = threading.Condition()
        self._queue: deque[_Pending] = deque()
        self._writing = 0
        self._failing = False
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="answers", daemon=True)

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread without writing the queued rows.

        Agents still keep these answers for repeated requests.
        """
        self._closed.set()
        with self._changed:
            self._changed.notify_all()
        if self._thread.is_alive():
            self._thread.join(10)

    def finish(self, location: ClaimLocation, row: ClaimRow, answer: Answer) -> None:
        """Queue the answer of a claim that is open at the version of ``location``."""
        self._enqueue(location, attrs.evolve(row, state=ClaimState.FINISHED), answer)

    def release(self, location: ClaimLocation, row: ClaimRow) -> None:
        """Queue the release of a claim whose attempt provably did not run."""
        self._enqueue(location, attrs.evolve(row, state=ClaimState.RELEASED), None)

    def pending(self) -> int:
        """Return the number of rows that are still to be written."""
        with self._changed:
            return len(self._queue) + self._writing

    def _enqueue(
        self, location: ClaimLocation, row: ClaimRow, answer: Answer | None
    ) -> None:
        give_up_at = self._clock.now() + _GIVE_UP_SECONDS
        with self._changed:
            if len(self._queue) >= _MAX_PENDING:
                ANSWERS_UNSTORED.inc()
                return
            self._queue.append(_Pending(location, row, answer, give_up_at))
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue and not self._closed.is_set():
                    self._changed.wait()
                if self._closed.is_set():
                    return
                count = min(_BATCH_SIZE, len(self._queue))
                batch = [self._queue.popleft() for _ in range(count)]
                self._writing = len(batch)
            failed = self._write_safely(batch)
            with self._changed:
                self._queue.extendleft(reversed(failed))
                self._writing = 0
            self._set_failing(bool(failed))
            if failed:
                self._closed.wait(_RETRY_SECONDS)

    def _write_safely(self, batch: list[_Pending]) -> list[_Pending]:
        """Write a batch and return the rows to retry; drop it on unexpected errors."""
        try:
            return self._write(batch)
        except Exception:
            logger.exception("storing answers failed")
            ANSWERS_UNSTORED.inc(len(batch))
            return []

    def _write(self, batch: list[_Pending]) -> list[_Pending]:
        """Write a batch and return the rows to retry."""
        failed: list[_Pending] = []
        writes = []
        for pending in batch:
            put = self._make_put(pending)
            if put is None:
                failed.append(pending)
            else:
                writes.append((pending, self._writer.submit(put)))
        for pending, write in writes:
            write.done.wait()
            result = write.result
            # A version conflict is not retried: the row was already written, either
            # by this entry with a lost reply or by a request that took the claim over.
            if isinstance(result, Err) and result.err_value.code in (
                Code.STORE_UNAVAILABLE,
                Code.WRITE_UNKNOWN,
            ):
                failed.append(pending)
        return self._drop_expired(failed)

    def _make_put(self, pending: _Pending) -> Put | None:
        """Return the row write; None if a large answer could not be stored."""
        row = pending.row
        if pending.answer is not None:
            packed = pack_answer(pending.answer)
            if len(packed) <= INLINE_BYTES:
                row = attrs.evolve(row, answer=packed)
            else:
                name = answer_object_name(row.attempt_id)
                if not isinstance(self._backend.put_object(name, packed), Ok):
                    return None
                row = attrs.evolve(row, answer_object=name)
        location = pending.location
        return Put(location.table, location.key, pack_row(row), location.version)

    def _drop_expired(self, failed: list[_Pending]) -> list[_Pending]:
        """Return the rows to retry; drop the others and count them as unstored."""
        now = self._clock.now()
        kept = [pending for pending in failed if pending.give_up_at > now]
        ANSWERS_UNSTORED.inc(len(failed) - len(kept))
        return kept

    def _set_failing(self, failing: bool) -> None:
        if failing != self._failing:
            self._failing = failing
            event = (
                "answers cannot be stored" if failing else "answers can be stored again"
            )
            log_change(logger, event)
