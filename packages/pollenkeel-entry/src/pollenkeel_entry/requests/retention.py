"""Deletion of claims and stored answers after their retention period."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.requests.claim_row import (
    POINTER_TABLE,
    STATE_TABLE,
    ClaimPointer,
    ClaimState,
    answer_object_name,
    pack_row,
    unpack_pointer,
    unpack_row,
)
from pollenkeel_entry.requests.metrics import CLAIMS_DELETED
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.store.base import Put, Row

logger = logbook.Logger("retention")

#: Pointers read by one scan; each is about 100 bytes long.
_PAGE_ROWS = 500
#: Limits of one pass. A claim costs one read and two row writes, an answer object one
#: more write. With one pass every 2 s this is at most 11 reads/s and 20 writes/s, less
#: than 1% and about 4% of the store's capacity (2,000 reads/s and 500 writes/s).
_MAX_READS = 21
_MAX_WRITES = 40
_PASS_INTERVAL_SECONDS = 2.0
#: Pause after a pass that reached the end of the table; the next one rarely finds work.
_IDLE_INTERVAL_SECONDS = 30.0


@attrs.define
class _Pass:
    """Conditional writes of one pass and its use of the read and write limits."""

    puts: list[Put] = attrs.field(factory=list)
    deleted: int = 0
    marked: int = 0
    writes: int = 0
    reads: int = 1

    @property
    def full(self) -> bool:
        return self.reads >= _MAX_READS or self.writes + 3 > _MAX_WRITES


class ClaimSweep:
    """Deletes expired claims in the background at a limited rate.

    Only the owner of one fixed shard sweeps, so that the limit holds for all entries
    together. It is safe if two entries both assume that they are the owner, because
    every deletion is conditional on the versions of both rows of the claim.

    A claim that may have an answer object is first marked as expired, then the object
    is deleted, then the rows. An unmarked claim therefore never names a missing object.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    is_owner : callable
        Returns whether this entry is responsible for sweeping now.
    """

    def __init__(self, context: EntryContext, is_owner: Callable[[], bool]) -> None:
        self._backend = context.backend
        self._clock = context.clock
        self._is_owner = is_owner
        self._after = ""
        self._failing = False
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="retention", daemon=True)

    def start(self) -> None:
        """Start the sweeping thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop after the current pass."""
        self._closed.set()
        if self._thread.is_alive():
            self._thread.join(10)

    def sweep(self) -> Result[bool, Refusal]:
        """Run one pass over the next rows of the table.

        Returns
        -------
        Result[bool, Refusal]
            Whether the pass reached the end of the table. On an error the next pass
            reads the same rows again: code 2003 or 3006 if the store failed, 5002 if
            a row changed meanwhile.
        """
        page = self._backend.scan(POINTER_TABLE, "", self._after, _PAGE_ROWS)
        if isinstance(page, Err):
            return page
        work = _Pass()
        after = self._after
        complete = True
        for row in page.ok_value:
            if work.full:
                complete = False
                break
            checked = self._check_row(row, work)
            if isinstance(checked, Err):
                return checked
            after = row.key
        if work.puts:
            written = self._backend.write(work.puts)
            if isinstance(written, Err):
                return written
            CLAIMS_DELETED.inc(work.deleted)
        if work.marked:
            # The next pass deletes the marked claims of this page.
            return Ok(False)
        at_end = complete and len(page.ok_value) < _PAGE_ROWS
        self._after = "" if at_end else after
        return Ok(at_end)

    def _check_row(self, row: Row, work: _Pass) -> Result[None, Refusal]:
        """Add the writes for the claim of one pointer row, if it is due."""
        now = self._clock.now()
        # Rows of earlier pollenkeel versions hold the claim itself and are kept.
        # Entries of those versions compare only the row version when they write, and a
        # new row with the same key could reach the same version.
        pointer = unpack_pointer(row.value)
        if pointer is None or pointer.delete_after > now:
            return Ok(None)
        work.reads += 1
        read = self._backend.get(STATE_TABLE, pointer.state_id)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            # Another entry has deleted the claim since the scan.
            return Ok(None)
        return self._expire_claim(row, pointer, read.ok_value, work)

    def _expire_claim(
        self, row: Row, pointer: ClaimPointer, state: Row, work: _Pass
    ) -> Result[None, Refusal]:
        """Add the writes that mark or delete a claim past its retention."""
        unpacked = unpack_row(state.value)
        if isinstance(unpacked, Err):
            return Ok(None)
        claim = unpacked.ok_value
        if claim.delete_after > self._clock.now():
            return Ok(None)
        if claim.state is ClaimState.EXPIRED:
            name = claim.answer_object or answer_object_name(claim.attempt_id)
            deleted = self._backend.delete_object(name)
            if isinstance(deleted, Err):
                return deleted
            work.writes += 1
        elif claim.state is ClaimState.OPEN or claim.answer_object:
            # The answer object of an open claim may have been stored although the
            # write of its row failed.
            marked = attrs.evolve(claim, state=ClaimState.EXPIRED)
            key = pointer.state_id
            work.puts.append(Put(STATE_TABLE, key, pack_row(marked), state.version))
            work.marked += 1
            work.writes += 1
            return Ok(None)
        work.puts += [
            Put(POINTER_TABLE, row.key, None, row.version),
            Put(STATE_TABLE, pointer.state_id, None, state.version),
        ]
        work.deleted += 1
        work.writes += 2
        return Ok(None)

    def _run(self) -> None:
        pause = _PASS_INTERVAL_SECONDS
        while not self._closed.wait(pause):
            pause = _PASS_INTERVAL_SECONDS
            if not self._is_owner():
                continue
            try:
                swept = self.sweep()
            except Exception:
                logger.exception("retention pass failed")
                continue
            self._set_failing(swept)
            if swept == Ok(True):
                pause = _IDLE_INTERVAL_SECONDS

    def _set_failing(self, swept: Result[bool, Refusal]) -> None:
        failing = isinstance(swept, Err)
        if failing != self._failing:
            self._failing = failing
            event = (
                "claims cannot be deleted" if failing else "claims can be deleted again"
            )
            log_change(logger, event)
