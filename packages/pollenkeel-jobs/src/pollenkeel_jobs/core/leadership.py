"""Leader lease in the table service, which also fences the leader's writes."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import attrs
import logbook
import msgpack
from result import Err, Ok, Result

from pollenkeel_jobs.core.names import LEADER, LEADER_KEY, LEADER_PARTITION
from pollenkeel_jobs.core.tables import (
    Condition,
    Failure,
    FailureKind,
    Row,
    RowWrite,
    TableService,
    Transaction,
)
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change

logger = logbook.Logger("leadership")

#: Seconds after the start of its last successful write during which a leader acts.
LEASE_SECONDS = 2.0
#: Seconds without a change of the lease row after which another entry takes over.
TAKEOVER_SECONDS = 2.5
#: Seconds that the holder gets to renew after the table service has come back.
_RETURN_SECONDS = 1.0
#: Seconds between renewals of an idle leader, and between looks at the lease row.
_RENEW_INTERVAL = 0.5
#: Seconds between two questions whether the holder of the lease leads; they also show
#: the holder that this entry could take over.
_ASK_INTERVAL = 0.6
#: Seconds of failing writes after which a leader yields to an entry that can write.
_YIELD_SECONDS = 0.5
#: Pause between tries of a write that was not done, in seconds.
_RETRY_INTERVAL = 0.1


@attrs.frozen
class LeaseRecord:
    """Content of the lease row.

    Attributes
    ----------
    epoch : int
        Fencing token; 0 in the write that acquires the lease, whose version it is.
    holder : str
        Id and start of the process that leads.
    address : str
        Address for messages to the leader; empty once it has resigned.
    write : int
        Number of the write by this holder.
    """

    epoch: int
    holder: str
    address: str
    write: int

    def encode(self) -> bytes:
        """Return the value of the row."""
        return bytes(msgpack.packb(list(attrs.astuple(self))))

    @classmethod
    def decode(cls, row: Row) -> LeaseRecord:
        """Return the record of a row."""
        record = cls(*msgpack.unpackb(row.value or b""))
        return record if record.epoch else attrs.evolve(record, epoch=row.version)


class LeadershipLost(Exception):
    """Another process leads, or this one has stopped."""


class Leadership:
    """Acquires, renews and gives up the lease.

    Parameters
    ----------
    holder : str
        Id of this process.
    address : str
        Address at which it takes messages as leader.
    tables : TableService
        Where the lease row lives.
    clock : Clock
        Source of time.
    retry_interval : float
        Pause between tries of a write that was not done, in seconds.

    Attributes
    ----------
    epoch : int
        Fencing token of the term; 0 while another process leads.
    write_seconds : float
        Duration of the last write that was done.
    """

    def __init__(
        self,
        holder: str,
        address: str,
        tables: TableService,
        clock: Clock,
        retry_interval: float = _RETRY_INTERVAL,
    ) -> None:
        self._retry_interval = retry_interval
        self._holder = f"{holder}/{time.time_ns()}"
        self._address = address
        self._tables = tables
        self._clock = clock
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._version = 0
        self._writes = 0
        self._seen_version = -1
        self._seen_at = 0.0
        self._read_failed = False
        self._valid_until = 0.0
        self._failing_since = 0.0
        self._ask_at = 0.0
        self.epoch = 0
        self.write_seconds = 0.0
        self.leader: LeaseRecord | None = None

    @property
    def leads(self) -> bool:
        """Whether this process holds a lease that no other can have taken."""
        return self.epoch > 0 and self._clock.now() < self._valid_until

    @property
    def holds_lease(self) -> bool:
        """Whether this process has the lease and does not know of a successor."""
        return self.epoch > 0

    def stop(self) -> None:
        """End waits and retries."""
        self._stopped.set()

    def observe(self, ask: Callable[[LeaseRecord], bool]) -> bool:
        """Look at the lease row; return True once this process has become leader.

        Parameters
        ----------
        ask : callable
            Asks the holder whether it leads; False only if it has said that it does
            not, True also if it does not answer.
        """
        began = self._clock.now()
        found = self._tables.read_row(LEADER_PARTITION, LEADER, LEADER_KEY)
        now = self._clock.now()
        if isinstance(found, Err):
            self._read_failed = True
            return False
        row = found.ok_value
        version = row.version if row else 0
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = now
            self._note_leader(row)
        elif self._read_failed:
            # The holder could not renew either; it gets a moment before it is replaced.
            waited = now - self._seen_at
            limit = TAKEOVER_SECONDS - _RETURN_SECONDS
            self._seen_at = now - min(waited, limit)
        self._read_failed = False
        leader = self.leader
        free = row is None or (
            leader is not None and (not leader.address or self._is_own_past(leader))
        )
        unchanged = began - self._seen_at
        if not free and leader is not None and now >= self._ask_at:
            self._ask_at = now + _ASK_INTERVAL
            free = not ask(leader)
        if free or unchanged > TAKEOVER_SECONDS:
            return self._acquire(version)
        return False

    def yields(self, epoch: int, successor: str) -> bool:
        """Give the lease up to an entry that reaches the table service.

        Parameters
        ----------
        epoch : int
            Term that the entry asks about.
        successor : str
            Address of the entry, which becomes leader if the answer is True.

        Returns
        -------
        bool
            Whether this process does not lead with ``epoch``, or no longer.
        """
        if self.epoch != epoch:
            return True
        failing = self._failing_since
        if failing and self._clock.now() - failing > _YIELD_SECONDS:
            log_change(
                logger, "lease given up to an entry that can write", address=successor
            )
            self.epoch = 0
            # The lease row cannot be read here, so this is how the successor is found.
            self.leader = LeaseRecord(0, successor, successor, 0)
            return True
        return False

    def _is_own_past(self, leader: LeaseRecord) -> bool:
        """Return whether the holder is an earlier process of this VM, so has ended."""
        return leader.holder.rpartition("/")[0] == self._holder.rpartition("/")[0]

    def _note_leader(self, row: Row | None) -> None:
        leader = None
        if row is not None:
            try:
                leader = LeaseRecord.decode(row)
            except Exception as error:
                logger.warning("undecodable lease row", extra={"cause": str(error)})
        known = self.leader
        if leader is not None and (known is None or known.epoch != leader.epoch):
            log_change(logger, "leader known", holder=leader.holder, epoch=leader.epoch)
        self.leader = leader

    def _acquire(self, version: int) -> bool:
        record = LeaseRecord(0, self._holder, self._address, self._next_write())
        began = self._clock.now()
        result = self._write(record, version, ())
        if isinstance(result, Err):
            return False
        self._failing_since = 0.0
        self._version = self.epoch = result.ok_value
        self._valid_until = began + LEASE_SECONDS
        self.leader = attrs.evolve(record, epoch=self.epoch)
        log_change(logger, "became leader", epoch=self.epoch)
        return True

    def commit(self, writes: tuple[RowWrite, ...]) -> None:
        """Write rows of the leader's partition and renew the lease.

        Retries until the transaction is known to be done.

        Raises
        ------
        LeadershipLost
            If another process has taken the lease, or this one stops.
        """
        with self._lock:
            record = LeaseRecord(
                self.epoch, self._holder, self._address, self._next_write()
            )
            self._commit(record, writes)

    def renew(self) -> None:
        """Renew the lease if no transaction has done so lately."""
        if self._valid_until - self._clock.now() < LEASE_SECONDS - _RENEW_INTERVAL:
            self.commit(())

    def resign(self) -> None:
        """Tell the other entries that the lease is free."""
        if not self.leads:
            return
        with self._lock:
            record = LeaseRecord(self.epoch, self._holder, "", self._next_write())
            result = self._write(record, self._version, ())
            self.epoch = 0
        log_change(logger, "resigned", done=not isinstance(result, Err))

    def _next_write(self) -> int:
        self._writes += 1
        return self._writes

    def _commit(self, record: LeaseRecord, writes: tuple[RowWrite, ...]) -> None:
        while not self._stopped.is_set():
            if self.epoch == 0:
                raise LeadershipLost("the lease was given up")
            began = self._clock.now()
            result = self._write(record, self._version, writes)
            if self.epoch == 0:
                raise LeadershipLost("the lease was given up")
            if not isinstance(result, Err):
                self._version = result.ok_value
                self._valid_until = began + LEASE_SECONDS
                self.write_seconds = self._clock.now() - began
                if self._failing_since:
                    self._failing_since = 0.0
                    log_change(logger, "table service accepts writes again")
                return
            failure = result.err_value
            if failure.kind in (FailureKind.CONFLICT, FailureKind.INVALID):
                self.epoch = 0
                raise LeadershipLost(failure.detail or failure.kind.value)
            if not self._failing_since:
                self._failing_since = began
                log_change(
                    logger, "table service does not accept writes", cause=failure.detail
                )
            self._stopped.wait(self._retry_interval)
        raise LeadershipLost("the process stops")

    def _write(
        self, record: LeaseRecord, version: int, writes: tuple[RowWrite, ...]
    ) -> Result[int, Failure]:
        """Write the lease row and others; an earlier try of the same counts as done."""
        value = record.encode()
        transaction = Transaction(
            LEADER_PARTITION,
            (Condition(LEADER, LEADER_KEY, version),),
            (RowWrite(LEADER, LEADER_KEY, value), *writes),
        )
        result = self._tables.transact(transaction)
        if isinstance(result, Err) and result.err_value.kind is FailureKind.CONFLICT:
            for row in result.err_value.rows:
                if row.key == LEADER_KEY and row.value == value:
                    return Ok(row.version)
        return result
