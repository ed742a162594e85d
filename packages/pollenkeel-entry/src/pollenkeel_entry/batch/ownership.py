"""Ownership of shards: lease rows in table ``owners``, changed by compare-and-set."""

from __future__ import annotations

import json
import threading

import attrs
from result import Err, Ok, Result

from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import TimingSettings
from pollenkeel_kernel.store.base import Backend, Put, Row

TABLE = "owners"


@attrs.frozen
class OwnerRow:
    """Content of an ownership row.

    ``owner`` is empty after a graceful release; ``granted_until`` is then the latest
    end of a task lease that the former owner granted or inherited, otherwise 0.
    """

    owner: str
    epoch: int
    lease_until: float
    address: str
    granted_until: float = 0.0

    def pack(self) -> bytes:
        """Return the stored form."""
        return json.dumps(attrs.asdict(self)).encode()


@attrs.define
class Lease:
    """Ownership of a shard as last confirmed by the store.

    ``inherited_until`` is the latest end of a task lease that earlier owners can have
    granted; ``lock`` makes renewal and release sequential.
    """

    shard: int
    row: OwnerRow
    version: int
    inherited_until: float
    lock: threading.Lock = attrs.field(factory=threading.Lock, eq=False, repr=False)


def limit_task_lease(lease: Lease, timing: TimingSettings, now: float) -> float:
    """Return the end of a task lease that the owner of a shard grants now."""
    # A task lease may outlast the confirmed shard lease by ``outage_grace``, so that
    # tasks survive an outage of the store; the next owner allows for this.
    confirmed = lease.row.lease_until + timing.outage_grace
    return min(now + timing.task_lease, confirmed)


class Ownership:
    """Claims, renews and releases the leases of one entry.

    Parameters
    ----------
    backend : Backend
        Holds the rows.
    timing : TimingSettings
        Lease lengths in seconds.
    clock : Clock
        Source of time.
    owner : str
        Id of this entry.
    address : str
        Peer address of this entry.
    """

    def __init__(
        self,
        backend: Backend,
        timing: TimingSettings,
        clock: Clock,
        owner: str,
        address: str,
    ) -> None:
        self._backend = backend
        self._timing = timing
        self._clock = clock
        self._owner = owner
        self._address = address

    def read_all(self) -> Result[dict[int, tuple[OwnerRow, int]], Refusal]:
        """Return the rows and their versions by shard."""
        rows = self._backend.scan(TABLE, "")
        return rows.map(
            lambda found: {int(r.key): (_unpack(r), r.version) for r in found}
        )

    def is_free(self, row: OwnerRow | None) -> bool:
        """Return whether a shard may be claimed now."""
        if row is None or not row.owner:
            return True
        # A restarted process has lost its state, so its own row must expire as well.
        return self._clock.now() > row.lease_until + self._timing.max_clock_skew

    def claim(
        self, shard: int, row: OwnerRow | None, version: int
    ) -> Result[Lease, Refusal]:
        """Claim a free shard with the next epoch."""
        epoch = row.epoch + 1 if row else 1
        own_row = self._make_row(epoch)
        return self._write(shard, own_row, version).map(
            lambda new: Lease(shard, own_row, new, self._inherited_until(row))
        )

    def renew(self, lease: Lease) -> Result[None, Refusal]:
        """Extend a lease; code ``VERSION_CONFLICT`` means that it is lost."""
        with lease.lock:
            own_row = self._make_row(lease.row.epoch)
            written = self._write(lease.shard, own_row, lease.version)
            if isinstance(written, Err):
                return written
            lease.version = written.ok_value
            lease.row = own_row
            return Ok(None)

    def release(self, lease: Lease, granted_until: float) -> Result[None, Refusal]:
        """Release a shard, so that it can be claimed at once.

        ``granted_until`` is the latest end of a task lease granted by this owner; the
        bound inherited from earlier owners is stored instead if it is later.
        """
        latest = max(granted_until, lease.inherited_until)
        with lease.lock:
            row = attrs.evolve(lease.row, owner="", address="", granted_until=latest)
            return self._write(lease.shard, row, lease.version).map(lambda _: None)

    def is_held(self, lease: Lease) -> Result[bool, Refusal]:
        """Read from the store whether the lease is still held."""
        found = self._backend.get(TABLE, str(lease.shard))
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok(False)
        row = _unpack(found.ok_value)
        return Ok((row.owner, row.epoch) == (self._owner, lease.row.epoch))

    def _make_row(self, epoch: int) -> OwnerRow:
        until = self._clock.now() + self._timing.shard_lease
        return OwnerRow(self._owner, epoch, until, self._address)

    def _inherited_until(self, row: OwnerRow | None) -> float:
        """Return the latest end of a task lease that a row's owner can have granted."""
        if row is None:
            return 0.0
        if not row.owner:
            return row.granted_until
        timing = self._timing
        return row.lease_until + timing.outage_grace + timing.task_lease

    def _write(self, shard: int, row: OwnerRow, version: int) -> Result[int, Refusal]:
        """Write a row if its version is unchanged; after a lost reply, read it back."""
        put = Put(TABLE, str(shard), row.pack(), version)
        written = self._backend.write([put])
        if isinstance(written, Ok):
            return Ok(written.ok_value[0])
        if written.err_value.code not in (Code.WRITE_UNKNOWN, Code.VERSION_CONFLICT):
            return written
        found = self._backend.get(TABLE, put.key)
        if isinstance(found, Ok) and found.ok_value is not None:
            if found.ok_value.value == put.value:
                return Ok(found.ok_value.version)
            if found.ok_value.version != version:
                return Err(Refusal(Code.VERSION_CONFLICT, f"shard {shard}"))
        return written


def _unpack(row: Row) -> OwnerRow:
    return OwnerRow(**json.loads(row.value))


def fair_share(shards: int, entries: int) -> int:
    """Return how many shards one of several entries should own."""
    return -(-shards // max(1, entries))
