"""Table of request attempts received by this agent process."""

from __future__ import annotations

import threading
from collections import OrderedDict

import attrs
import xxhash

from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code, Outcome, find_code
from pollenkeel_kernel.core.messages import Dispatch, DispatchReply

#: Largest accepted time in seconds from now to the ``start_before`` of a dispatch.
#: Tombstones are kept longer than this, so a dispatch that arrives after its tombstone
#: was removed is refused because its ``start_before`` has passed.
MAX_START_DELAY = 3600.0
#: Minimum seconds for which a finished attempt is kept after its end and after its
#: deadline, which counts as at most ``MAX_START_DELAY`` after the arrival. Its reply
#: may be dropped earlier. A refused attempt is only kept until its ``start_before``.
_RETENTION_SECONDS = 60.0
#: Total body size of all kept replies; bounds the memory when answers are large.
_MAX_KEPT_BYTES = 32 * 1024 * 1024
#: Size of the Bloom filter in bits (4 MiB). With 3 million attempts about 1 % of
#: queries are false positives.
_FILTER_BITS = 1 << 25
_FILTER_HASHES = 4


@attrs.define
class Attempt:
    """State of one attempt and, while it is kept, its reply.

    ``remove_at`` is the time from which the attempt may be removed from the table.
    """

    state: str
    remove_at: float
    idempotent: bool
    start_before: float = 0.0
    reply: DispatchReply | None = None


class _RemovedIds:
    """Bloom filter of finished non-idempotent attempts removed from the table.

    Without it a query would report such an attempt as never seen, and the request could
    run twice. A false positive only means that a request that could be retried gets an
    unknown outcome.
    """

    def __init__(self) -> None:
        self._bits = bytearray(_FILTER_BITS // 8)

    def add(self, attempt_id: str) -> None:
        for position in self._positions(attempt_id):
            self._bits[position // 8] |= 1 << position % 8

    def __contains__(self, attempt_id: str) -> bool:
        return all(
            self._bits[position // 8] >> position % 8 & 1
            for position in self._positions(attempt_id)
        )

    @staticmethod
    def _positions(attempt_id: str) -> list[int]:
        digest = xxhash.xxh3_128_intdigest(attempt_id.encode())
        return [digest >> 32 * i & (_FILTER_BITS - 1) for i in range(_FILTER_HASHES)]


class AttemptTable:
    """States of attempts by id.

    A single lock guards all states, so an attempt is either started or tombstoned,
    never both.

    Parameters
    ----------
    clock : Clock
        Source of time.
    kept_replies : int
        Maximum number of replies kept to answer repeated dispatches.
    """

    def __init__(self, clock: Clock, kept_replies: int) -> None:
        self._clock = clock
        self._kept_replies = kept_replies
        self._lock = threading.Lock()
        self._attempts_by_id: dict[str, Attempt] = {}
        self._kept_ids: OrderedDict[str, int] = OrderedDict()
        self._kept_bytes = 0
        self._removed_ids = _RemovedIds()

    def begin(self, message: Dispatch) -> DispatchReply | Attempt | None:
        """Mark an attempt as running unless it is already known.

        Returns
        -------
        None or Attempt or DispatchReply
            None if the attempt is new, otherwise the kept reply or, without one, the
            state of the attempt.
        """
        now = self._clock.now()
        with self._lock:
            earlier = self._attempts_by_id.get(message.attempt_id)
            if earlier is not None:
                return earlier.reply or earlier
            if message.attempt_id in self._removed_ids:
                return Attempt("lost", now, message.idempotent)
            last = max(message.deadline, message.start_before)
            remove_at = min(last, now + MAX_START_DELAY) + _RETENTION_SECONDS
            self._attempts_by_id[message.attempt_id] = Attempt(
                "running", remove_at, message.idempotent, message.start_before
            )
            return None

    def finish(self, reply: DispatchReply) -> None:
        """Record the reply of a running attempt."""
        with self._lock:
            attempt = self._attempts_by_id[reply.attempt_id]
            not_run = find_code(reply.code).outcome is Outcome.NOT_RUN
            attempt.state = "refused" if not_run else "finished"
            if not_run:
                # Refusals do not count towards the kept replies, so that a burst of
                # them cannot displace answers. A duplicate that arrives after
                # start_before is refused anyway.
                attempt.reply = reply
                latest = self._clock.now() + MAX_START_DELAY
                attempt.remove_at = min(attempt.start_before, latest)
                return
            last = max(attempt.remove_at, self._clock.now() + _RETENTION_SECONDS)
            attempt.remove_at = last
            # The entry may retry an idempotent request as a new attempt, so its reply
            # is not kept.
            if not attempt.idempotent:
                self._keep_reply(attempt, reply)

    def query(self, attempt_id: str, tombstone: bool) -> Attempt:
        """Return a copy of the state of an attempt.

        If ``tombstone`` is true and the attempt has not been seen, it is tombstoned: a
        dispatch of it that arrives later is refused.

        Returns
        -------
        Attempt
            State ``tombstoned``, ``refused``, ``running``, ``finished``, ``unseen``
            or ``lost`` (finished and removed from the table).
        """
        now = self._clock.now()
        with self._lock:
            attempt = self._attempts_by_id.get(attempt_id)
            if attempt is not None:
                return attrs.evolve(attempt)
            if attempt_id in self._removed_ids:
                return Attempt("lost", now, False)
            if not tombstone:
                return Attempt("unseen", now, False)
            attempt = Attempt(
                "tombstoned", now + MAX_START_DELAY + _RETENTION_SECONDS, False
            )
            self._attempts_by_id[attempt_id] = attempt
            return attrs.evolve(attempt)

    def purge_expired(self) -> None:
        """Remove attempts whose retention time has passed, except running ones."""
        now = self._clock.now()
        with self._lock:
            old = [
                attempt_id
                for attempt_id, attempt in self._attempts_by_id.items()
                if attempt.remove_at <= now and attempt.state != "running"
            ]
            for attempt_id in old:
                attempt = self._attempts_by_id.pop(attempt_id)
                if attempt.state == "finished" and not attempt.idempotent:
                    self._removed_ids.add(attempt_id)
                self._kept_bytes -= self._kept_ids.pop(attempt_id, 0)

    def _keep_reply(self, attempt: Attempt, reply: DispatchReply) -> None:
        attempt.reply = reply
        self._kept_ids[reply.attempt_id] = len(reply.body)
        self._kept_bytes += len(reply.body)
        while (
            len(self._kept_ids) > self._kept_replies
            or self._kept_bytes > _MAX_KEPT_BYTES
        ):
            oldest_id, size = self._kept_ids.popitem(last=False)
            self._kept_bytes -= size
            self._attempts_by_id[oldest_id].reply = None

    def describe(self) -> dict[str, object]:
        """Return the table's section of the state dump."""
        with self._lock:
            states = [attempt.state for attempt in self._attempts_by_id.values()]
            running = [
                i for i, a in self._attempts_by_id.items() if a.state == "running"
            ]
            return {
                "count_by_state": {s: states.count(s) for s in sorted(set(states))},
                "running": running,
                "kept_replies": len(self._kept_ids),
                "kept_bytes": self._kept_bytes,
            }


def repeat_refusal(attempt_id: str, state: str) -> tuple[Code, str]:
    """Return code and detail of the refusal of a repeat without a kept reply."""
    if state == "tombstoned":
        return Code.TOMBSTONED, f"attempt {attempt_id}"
    if state == "running":
        return Code.ATTEMPT_RUNNING, f"attempt {attempt_id}"
    return Code.ATTEMPT_LOST, f"attempt {attempt_id}: its reply is not kept"
