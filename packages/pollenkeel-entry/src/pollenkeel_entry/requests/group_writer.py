"""Group commit of conditional row writes."""

from __future__ import annotations

import threading
from collections import deque

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.store.base import Backend, Put

logger = logbook.Logger("group-writer")

#: Limits of one transaction: number of rows, and total size of the values.
_MAX_BATCH_ROWS = 64
_MAX_BATCH_BYTES = 512 * 1024


@attrs.define(eq=False)
class PendingWrite:
    """Writes that must commit together and wait for their transaction."""

    puts: tuple[Put, ...]
    done: threading.Event = attrs.field(factory=threading.Event)
    result: Result[int, Refusal] | None = None

    def finish(self, result: Result[int, Refusal]) -> None:
        """Set the result and wake the waiting thread."""
        self.result = result
        self.done.set()

    def wait(self, seconds: float) -> Result[int, Refusal] | None:
        """Return the result, or None if there is none within ``seconds``."""
        self.done.wait(max(0.0, seconds))
        return self.result


class GroupWriter:
    """Commits the writes of many threads in shared transactions, one at a time.

    Writes that are submitted during a transaction form the next one. A transaction that
    fails with a version conflict is split in halves and retried until only the
    conflicting writes fail.

    Parameters
    ----------
    backend : Backend
        Table service.
    name : str
        Name of the writing thread.
    """

    def __init__(self, backend: Backend, name: str) -> None:
        self._backend = backend
        self._changed = threading.Condition()
        self._queue: deque[PendingWrite] = deque()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def close(self) -> None:
        """Commit the queued writes and stop."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join(10)

    def submit(self, *puts: Put) -> PendingWrite:
        """Queue writes that must take effect together; return without waiting.

        Parameters
        ----------
        *puts : Put
            Writes of different rows; the result is the version of the first one.
        """
        pending = PendingWrite(puts)
        with self._changed:
            if self._closed:
                pending.finish(Err(Refusal(Code.STORE_UNAVAILABLE, "writer closed")))
            else:
                self._queue.append(pending)
                self._changed.notify()
        return pending

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue and not self._closed:
                    self._changed.wait()
                if not self._queue:
                    return
                batch = self._next_batch()
            self._commit(batch)

    def _next_batch(self) -> list[PendingWrite]:
        # A transaction may write each row only once; a second write of a row waits for
        # the next transaction.
        batch: list[PendingWrite] = []
        rows: set[tuple[str, str]] = set()
        size = 0
        while self._queue:
            puts = self._queue[0].puts
            size += sum(len(put.value or b"") for put in puts)
            keys = {(put.table, put.key) for put in puts}
            full = size > _MAX_BATCH_BYTES or len(rows) + len(keys) > _MAX_BATCH_ROWS
            if not rows.isdisjoint(keys) or (batch and full):
                break
            rows |= keys
            batch.append(self._queue.popleft())
        return batch

    def _commit(self, batch: list[PendingWrite]) -> None:
        try:
            result = self._backend.write([put for p in batch for put in p.puts])
        except Exception as error:
            logger.exception("commit failed")
            result = Err(Refusal(Code.WRITE_UNKNOWN, type(error).__name__))
        if isinstance(result, Ok):
            versions = iter(result.ok_value)
            for pending in batch:
                own = [next(versions) for _ in pending.puts]
                pending.finish(Ok(own[0]))
        elif result.err_value.code is Code.VERSION_CONFLICT and len(batch) > 1:
            middle = len(batch) // 2
            self._commit(batch[:middle])
            self._commit(batch[middle:])
        else:
            for pending in batch:
                pending.finish(Err(result.err_value))
