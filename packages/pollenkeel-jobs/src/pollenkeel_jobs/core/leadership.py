"""Leader election with a lease row in the table service.

Each transaction of the leader also writes the lease row, on condition that the row is
unchanged. This renews the lease and fences off the writes of a former leader.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import attrs
import logbook
import msgpack
from result import Err, Ok, Result

from pollenkeel_jobs.core.metrics import LEASE_GIVEN_UP
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

#: Validity of the lease, in seconds from the start of the last successful write.
LEASE_SECONDS = 2.0
#: Seconds without a change of the lease row after which another entry takes over;
#: longer than the lease, so that two entries never lead at the same time.
TAKEOVER_SECONDS = 2.5
#: Seconds that the holder has to renew the lease after an outage of the table service.
_RECOVERY_GRACE_SECONDS = 1.0
#: Seconds between renewals while the leader has nothing else to write.
_RENEW_INTERVAL = 0.5
#: Seconds between two queries whether the holder of the lease still leads. A query also
#: tells the holder that this entry could take over.
_HOLDER_QUERY_INTERVAL = 0.6
#: Seconds before a takeover in which the holder is not queried any more; a query of a
#: silent holder takes that long.
_NO_QUERY_SECONDS = 0.4
#: Seconds of failing writes after which a leader gives its lease up to an entry that
#: reaches the table service.
_YIELD_AFTER_SECONDS = 0.5
#: Delay before a failed write is retried, in seconds.
_RETRY_INTERVAL = 0.1
#: Ratio of processor capacity from which an entry is preferred as leader. A change of
#: the leader delays work, so small differences do not count.
PREFERRED_CPU_RATIO = 1.5
#: Seconds for which an entry leaves a free lease to preferred entries: those with more
#: capacity and, if it was told to stop, all that were not.
_PREFERRED_ENTRY_SECONDS = 0.7
#: Seconds between two hand-overs by one process to entries with more capacity.
_HAND_OVER_INTERVAL = 20.0
#: Seconds for which a process that has handed over does not acquire the lease, so that
#: its successor can.
_SUCCESSOR_SECONDS = 1.5
#: Seconds after a hand-over in which other entries are told that this process leads, so
#: that only the named successor acquires the lease.
_NAMED_SUCCESSOR_SECONDS = 0.3
#: Longest wait of a hand-over for an open write, in seconds; half of the time for which
#: the successor waits for the reply.
_HAND_OVER_WRITE_SECONDS = 0.2


@attrs.frozen
class LeaseRecord:
    """Content of the lease row.

    Attributes
    ----------
    epoch : int
        Fencing token: the version of the write that acquired the lease. That write
        itself stores 0, as its version is not known yet.
    holder : str
        Id and start time of the process that leads.
    address : str
        Address for messages to the leader; empty once it has resigned.
    write : int
        Sequence number of the write. It makes each value unique, so that a write whose
        reply was lost can be recognised.
    """

    epoch: int
    holder: str
    address: str
    write: int

    def encode(self) -> bytes:
        """Return the record as the value of the lease row."""
        return bytes(msgpack.packb(list(attrs.astuple(self))))

    @classmethod
    def decode(cls, row: Row) -> LeaseRecord:
        """Return the record stored in a row, with its epoch.

        Raises an exception if the row is malformed.
        """
        record = cls(*msgpack.unpackb(row.value or b""))
        for field in attrs.fields(cls):
            value = getattr(record, field.name)
            expected = int if field.name in ("epoch", "write") else str
            if type(value) is not expected:
                raise TypeError(f"{field.name} is {value!r:.40}")
        return record if record.epoch else attrs.evolve(record, epoch=row.version)


class LeadershipLost(Exception):
    """This process no longer leads, or it is stopping."""


class Leadership:
    """Acquires, renews and releases the leader lease.

    Parameters
    ----------
    holder : str
        Id of this process.
    address : str
        Address at which this process receives messages as leader.
    tables : TableService
        Service that stores the lease row.
    clock : Clock
        Source of time.
    cpu : float
        Processor capacity of this process, in cores; 0 if unknown.
    retry_interval : float
        Delay before a failed write is retried, in seconds.

    Attributes
    ----------
    cpu : float
        Processor capacity of this process, in cores; 0 if unknown.
    is_stopping : bool
        This process was told to stop. It acquires a free lease only if no other entry
        does.
    epoch : int
        Fencing token of the current term; 0 while this process does not lead.
    previous_epoch : int
        Fencing token of the term before the latest one of this process; 0 if unknown.
    write_seconds : float
        Duration of the last successful write.
    leader : LeaseRecord or None
        Last known leader.
    """

    def __init__(
        self,
        holder: str,
        address: str,
        tables: TableService,
        clock: Clock,
        cpu: float = 0.0,
        retry_interval: float = _RETRY_INTERVAL,
    ) -> None:
        self.cpu = cpu
        self.is_stopping = False
        self._highest_leader_cpu = 0.0
        self._next_hand_over_at = 0.0
        self._no_acquisition_until = 0.0
        self._handed_over_epoch = 0
        self._handed_over_at = 0.0
        self._named_successor = ""
        self._retry_interval = retry_interval
        self._holder = f"{holder}/{time.time_ns()}"
        self._address = address
        self._tables = tables
        self._clock = clock
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._version = 0
        self._writes = 0
        self._last_version = -1
        self._last_change_at = 0.0
        self._read_failed = False
        self._valid_until = 0.0
        self._failing_since = 0.0
        self._next_query_at = 0.0
        self.epoch = 0
        self.previous_epoch = 0
        self.write_seconds = 0.0
        self.leader: LeaseRecord | None = None

    @property
    def leads(self) -> bool:
        """Whether this process holds a lease that has not expired."""
        return self.epoch > 0 and self._clock.now() < self._valid_until

    @property
    def holds_lease(self) -> bool:
        """Whether this process has acquired the lease and not given it up since.

        Unlike ``leads``, this stays true after the lease has expired, until the process
        learns that another entry has acquired it.
        """
        return self.epoch > 0

    def is_led_by_another(self) -> bool:
        """Return whether another process was seen to renew its lease lately."""
        leader = self.leader
        return (
            not self.holds_lease
            and leader is not None
            and leader.epoch > 0
            and bool(leader.address)
            and leader.holder != self._holder
            and self._clock.now() - self._last_change_at < LEASE_SECONDS
        )

    def stop(self) -> None:
        """Abort waits and retries."""
        self._stopped.set()

    def observe(self, ask: Callable[[LeaseRecord], bool]) -> bool:
        """Read the lease row and acquire the lease if it is free or has expired.

        Parameters
        ----------
        ask : callable
            Asks the holder whether it leads. Returns False only if the holder replied
            that it does not; a missing reply counts as True.

        Returns
        -------
        bool
            Whether this process has just become leader.
        """
        began = self._clock.now()
        found = self._tables.read_row(LEADER_PARTITION, LEADER, LEADER_KEY)
        now = self._clock.now()
        if isinstance(found, Err):
            self._read_failed = True
            return False
        row = found.ok_value
        version = row.version if row else 0
        if version != self._last_version:
            self._last_version = version
            self._last_change_at = now
            self._record_leader(row)
        elif self._read_failed:
            # The holder could not renew during the outage either, so it has
            # _RECOVERY_GRACE_SECONDS to do so before it is replaced.
            waited = now - self._last_change_at
            limit = TAKEOVER_SECONDS - _RECOVERY_GRACE_SECONDS
            self._last_change_at = now - min(waited, limit)
        self._read_failed = False
        if now < self._no_acquisition_until:
            return False
        unchanged = began - self._last_change_at
        if self._is_available(row, unchanged):
            return self._acquire(version)
        if self._is_denied_by_holder(ask, unchanged, now):
            return self._acquire(version)
        return False

    def _is_denied_by_holder(
        self, ask: Callable[[LeaseRecord], bool], unchanged: float, now: float
    ) -> bool:
        """Return whether the holder replies that it does not lead.

        It is asked at most once in ``_HOLDER_QUERY_INTERVAL``, and not shortly before
        the lease may be acquired without its reply, which may be long in coming.
        """
        if unchanged > TAKEOVER_SECONDS - _NO_QUERY_SECONDS:
            return False
        leader = self.leader
        if leader is None or not leader.address or now < self._next_query_at:
            return False
        if self._is_previous_incarnation(leader):
            return False
        self._next_query_at = now + _HOLDER_QUERY_INTERVAL
        return not ask(leader)

    def _is_available(self, row: Row | None, unchanged: float) -> bool:
        """Return whether this entry may acquire the lease.

        Parameters
        ----------
        row : Row or None
            The lease row.
        unchanged : float
            Seconds since the row was seen to change.
        """
        leader = self.leader
        if row is None:
            return True
        if leader is not None and self._is_previous_incarnation(leader):
            return True
        delay = 0.0
        if self.is_stopping or self._is_much_less_than(self._highest_leader_cpu):
            delay = _PREFERRED_ENTRY_SECONDS
        if leader is not None and not leader.address:
            return unchanged >= delay
        return unchanged > TAKEOVER_SECONDS + delay

    def _is_much_less_than(self, cpu: float) -> bool:
        """Return whether an entry with this capacity is preferred as leader."""
        return self.cpu > 0.0 and cpu >= self.cpu * PREFERRED_CPU_RATIO

    def record_leader_cpu(self, cpu: float) -> None:
        """Record the processor capacity that a leader has stated, in cores."""
        self._highest_leader_cpu = max(self._highest_leader_cpu, cpu)

    def yield_lease(self, epoch: int, successor: str, cpu: float = 0.0) -> bool:
        """Give up the lease if this process cannot write or the successor is preferred.

        Parameters
        ----------
        epoch : int
            Term that the successor asks about.
        successor : str
            Address of the asking entry, which reaches the table service and acquires
            the lease if the result is True.
        cpu : float
            Processor capacity of the successor, in cores; 0 if unknown.

        Returns
        -------
        bool
            True if this process does not lead in ``epoch``, or has just given it up.
        """
        now = self._clock.now()
        if not self.holds_lease or self.epoch != epoch:
            return not self._is_kept_for_another(epoch, successor, now)
        failing = self._failing_since
        if failing and now - failing > _YIELD_AFTER_SECONDS:
            self._give_up(successor, "store", "this process cannot write")
            return True
        if self._is_much_less_than(cpu) and now >= self._next_hand_over_at:
            cause = f"it has {cpu:.2f} cores, this one {self.cpu:.2f}"
            if self._hand_over(successor, "capacity", cause, 0.0):
                self._next_hand_over_at = now + _HAND_OVER_INTERVAL
                return True
        return False

    def hand_over(self, epoch: int, successor: str) -> bool:
        """Give up the lease to a successor because this process was told to stop.

        Parameters
        ----------
        epoch : int
            Term that the successor asks about.
        successor : str
            Address of the asking entry, which acquires the lease if the result is True.

        Returns
        -------
        bool
            True if this process does not lead in ``epoch``, or has just given it up;
            False if a write is open, so that the successor has to ask again.
        """
        if not self.holds_lease or self.epoch != epoch:
            return True
        cause = "this process was told to stop"
        return self._hand_over(successor, "stop", cause, _HAND_OVER_WRITE_SECONDS)

    def _is_kept_for_another(self, epoch: int, asking: str, now: float) -> bool:
        """Return whether the lease was just handed over to another than the asking."""
        return (
            epoch == self._handed_over_epoch
            and now - self._handed_over_at < _NAMED_SUCCESSOR_SECONDS
            and asking != self._named_successor
        )

    def _hand_over(self, successor: str, reason: str, detail: str, wait: float) -> bool:
        """Give up the lease unless a write is open for longer than ``wait`` seconds.

        The successor acquires the lease on condition that its row is unchanged, which
        an open write would break.
        """
        if not self._lock.acquire(timeout=wait):
            return False
        try:
            now = self._clock.now()
            self._no_acquisition_until = now + _SUCCESSOR_SECONDS
            self._handed_over_epoch = self.epoch
            self._handed_over_at = now
            self._named_successor = successor
            self._give_up(successor, reason, detail)
        finally:
            self._lock.release()
        return True

    def _give_up(self, successor: str, reason: str, detail: str) -> None:
        # This process may not be able to read the lease row, so it records the
        # successor's address here.
        self.leader = LeaseRecord(0, successor, successor, 0)
        self.epoch = 0
        LEASE_GIVEN_UP.labels(reason).inc()
        log_change(
            logger, "lease given up to another entry", address=successor, cause=detail
        )

    def _is_previous_incarnation(self, leader: LeaseRecord) -> bool:
        """Return whether the holder is a previous, ended process with the same id."""
        return leader.holder.rpartition("/")[0] == self._holder.rpartition("/")[0]

    def _record_leader(self, row: Row | None) -> None:
        leader = None
        if row is not None:
            try:
                leader = LeaseRecord.decode(row)
            except Exception as error:
                logger.warning(
                    "lease row cannot be decoded", extra={"cause": str(error)}
                )
        known = self.leader
        if leader is not None and (known is None or known.epoch != leader.epoch):
            log_change(
                logger, "leader discovered", holder=leader.holder, epoch=leader.epoch
            )
        self.leader = leader

    def _acquire(self, version: int) -> bool:
        record = LeaseRecord(0, self._holder, self._address, self._next_write())
        began = self._clock.now()
        result = self._write(record, version, ())
        if isinstance(result, Err):
            return False
        self._failing_since = 0.0
        self.previous_epoch = self.leader.epoch if self.leader else 0
        self._version = self.epoch = result.ok_value
        self._valid_until = began + LEASE_SECONDS
        self.leader = attrs.evolve(record, epoch=self.epoch)
        log_change(logger, "became leader", epoch=self.epoch)
        return True

    def commit(self, writes: tuple[RowWrite, ...]) -> None:
        """Write rows of the leader's partition and renew the lease.

        Retries until the transaction is known to have been applied.

        Raises
        ------
        LeadershipLost
            If another process has acquired the lease, if this one has given it up or
            is stopping, or if the table service rejected the transaction as invalid: a
            retry would send the same transaction.
        """
        result = self.try_commit(writes)
        if isinstance(result, Err):
            self.epoch = 0
            raise LeadershipLost(result.err_value.detail)

    def try_commit(self, writes: tuple[RowWrite, ...]) -> Result[None, Failure]:
        """Do the same as ``commit``, but keep the lease if the rows are rejected.

        Returns
        -------
        Result[None, Failure]
            The failure if the table service rejected the transaction as invalid. It has
            had no effect then.

        Raises
        ------
        LeadershipLost
            If another process has acquired the lease, or if this one has given it up or
            is stopping.
        """
        with self._lock:
            record = LeaseRecord(
                self.epoch, self._holder, self._address, self._next_write()
            )
            return self._commit(record, writes)

    def renew(self) -> None:
        """Renew the lease unless a recent transaction has already done so."""
        if self._valid_until - self._clock.now() < LEASE_SECONDS - _RENEW_INTERVAL:
            self.commit(())

    def resign(self) -> None:
        """Release the lease so that another entry can acquire it at once."""
        if not self.leads:
            return
        with self._lock:
            record = LeaseRecord(self.epoch, self._holder, "", self._next_write())
            # Another entry can acquire the lease before the reply to the write arrives.
            self.epoch = 0
            result = self._write(record, self._version, ())
        log_change(logger, "resigned", done=not isinstance(result, Err))

    def _next_write(self) -> int:
        self._writes += 1
        return self._writes

    def _commit(
        self, record: LeaseRecord, writes: tuple[RowWrite, ...]
    ) -> Result[None, Failure]:
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
                return Ok(None)
            failure = result.err_value
            if failure.kind is FailureKind.INVALID:
                return Err(failure)
            if failure.kind is FailureKind.CONFLICT:
                self.epoch = 0
                raise LeadershipLost(failure.detail or failure.kind.value)
            if not self._failing_since:
                self._failing_since = began
                log_change(
                    logger, "table service does not accept writes", cause=failure.detail
                )
            self._stopped.wait(self._retry_interval)
        raise LeadershipLost("the process is stopping")

    def _write(
        self, record: LeaseRecord, version: int, writes: tuple[RowWrite, ...]
    ) -> Result[int, Failure]:
        """Write the lease row and ``writes`` if the lease row still has ``version``.

        A conflict with an identical lease row means that an earlier attempt was applied
        although its reply was lost; it counts as success.
        """
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
