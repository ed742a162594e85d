"""Recorded ends of the leases of silent workers, which outlast changes of the leader.

The tasks of a lost worker are started elsewhere once its lease has expired for certain.
A new leader does not know when that is and has to count from the beginning of its own
term, unless the leader before it has recorded the time.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Iterable, Iterator, Mapping

import logbook
import msgpack

from pollenkeel_jobs.core.names import LEASE_EXPIRIES
from pollenkeel_jobs.core.tables import Row, RowWrite
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("fleet")

#: Change of a recorded time, in seconds, from which it is recorded again.
_MIN_CHANGE_SECONDS = 0.1
#: Number of rows of one pass, those of jobs included. The table service accepts 100 in
#: a transaction; the lease, its condition and the learned weights are added.
_MAX_ROWS = 95
#: Longest key that the table service accepts, in bytes.
_MAX_KEY_BYTES = 200


class LeaseExpiries:
    """Times at which leases of silent workers expire, as rows and as inherited.

    A row holds while the leader that wrote it leads, and for its immediate successor.
    The worker gets no lease as long as there is a row: first the row is deleted, so
    that no successor takes a lease that was granted later for expired.

    The rows contain times on the steady clock of the table service, since the clocks of
    two entries may differ by seconds. Where the exact time of a reading is not known,
    leases are taken to expire later.

    Thread-safe.

    Parameters
    ----------
    epoch : int
        Fencing token of the term.
    """

    def __init__(self, epoch: int = 0) -> None:
        self._epoch = epoch
        self._lock = threading.Lock()
        # Time of the table service less that of this process, at most.
        self._service_offset: float | None = None
        self._inherited_by_worker: dict[str, float] = {}
        self._written_by_worker: dict[str, float] = {}
        # Workers with a row in the table, or for which one may just be written.
        self._stored: set[str] = set()

    def record_service_time(self, service_now: float, asked_at: float) -> None:
        """Record a reading of the table service's clock.

        Parameters
        ----------
        service_now : float
            Time on the service's steady clock, in seconds; 0 if it states none.
        asked_at : float
            Time at which the reading was requested, in seconds since the Unix epoch.
        """
        if service_now:
            with self._lock:
                self._service_offset = service_now - asked_at

    def load(
        self,
        rows: Iterable[Row],
        previous_epoch: int,
        service_now: float,
        answered_at: float,
    ) -> None:
        """Take over the rows of the leader before.

        Rows of other leaders are deleted with the next pass, as the leaders since then
        may have granted leases without regard to them.

        Parameters
        ----------
        rows : iterable of Row
            All rows of the table.
        previous_epoch : int
            Fencing token of the leader before.
        service_now : float
            Time of the rows on the table service's clock, in seconds; 0 if not known.
        answered_at : float
            Time at which the rows arrived, in seconds since the Unix epoch.
        """
        with self._lock:
            for row in rows:
                self._stored.add(row.key)
                epoch, expires_at = _decode(row)
                if epoch != previous_epoch or not epoch or not service_now:
                    continue
                seconds_left = expires_at - service_now
                self._inherited_by_worker[row.key] = answered_at + seconds_left
                log_change(
                    logger,
                    "end of lease taken over",
                    worker=row.key,
                    seconds_left=round(seconds_left, 2),
                )

    def find(self, worker: str) -> float:
        """Return when a worker's lease expires according to the leader before.

        The result is infinite if that leader has recorded no time.
        """
        with self._lock:
            return self._inherited_by_worker.get(worker, math.inf)

    def may_grant(self, worker: str) -> bool:
        """Return whether the worker may get a lease."""
        with self._lock:
            return worker not in self._stored

    def collect_writes(
        self, expires_at_by_worker: Mapping[str, float], other_rows: int
    ) -> list[RowWrite]:
        """Return writes that make the rows agree with the given times.

        The rest is left to the next pass if there are too many beside ``other_rows``.
        """
        with self._lock:
            writes: list[RowWrite] = []
            for write in self._iterate_writes(expires_at_by_worker):
                if len(writes) + other_rows >= _MAX_ROWS:
                    break
                writes.append(write)
                if write.value is not None:
                    self._note_written(write.key, expires_at_by_worker[write.key])
            return writes

    def _note_written(self, worker: str, expires_at: float) -> None:
        if worker not in self._stored:
            log_change(logger, "end of lease recorded", worker=worker)
        self._stored.add(worker)
        self._written_by_worker[worker] = expires_at

    def _iterate_writes(
        self, expires_at_by_worker: Mapping[str, float]
    ) -> Iterator[RowWrite]:
        for worker in sorted(self._stored - expires_at_by_worker.keys()):
            yield RowWrite(LEASE_EXPIRIES, worker, None)
        offset = self._service_offset
        if offset is None:
            return
        for worker, expires_at in expires_at_by_worker.items():
            known = self._written_by_worker.get(worker, -math.inf)
            if abs(known - expires_at) < _MIN_CHANGE_SECONDS:
                continue
            if len(worker.encode()) <= _MAX_KEY_BYTES:
                value = msgpack.packb([self._epoch, expires_at + offset])
                yield RowWrite(LEASE_EXPIRIES, worker, value)

    def confirm(self, writes: Iterable[RowWrite]) -> None:
        """Record that rows have been written or deleted; others are left out."""
        with self._lock:
            for write in writes:
                if write.table == LEASE_EXPIRIES and write.value is None:
                    self._stored.discard(write.key)
                    self._written_by_worker.pop(write.key, None)
                    self._inherited_by_worker.pop(write.key, None)


def _decode(row: Row) -> tuple[int, float]:
    """Return the epoch and the time of a row; the epoch is 0 if it is malformed."""
    try:
        epoch, expires_at = msgpack.unpackb(row.value or b"")
        if not math.isfinite(expires_at):
            raise ValueError(f"time is {expires_at}")
        return int(epoch), float(expires_at)
    except Exception as error:
        logger.error(
            "lease expiry row cannot be decoded",
            extra={"worker": row.key, "cause": str(error)},
        )
        return 0, 0.0
