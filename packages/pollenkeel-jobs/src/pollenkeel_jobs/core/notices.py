"""Notices that tell the leader of stored jobs and cancellations."""

from __future__ import annotations

import queue
import threading
from functools import partial

import attrs
import logbook

from pollenkeel_jobs.core.admission import Admission
from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.messages import JobNotice, JobNoticeReply
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.guard import run_step
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Message

logger = logbook.Logger("notices")

#: Timeout for the reply to a notice, in seconds. Two attempts fit into the time
#: after which a silent connection is replaced.
_REPLY_TIMEOUT_SECONDS = 0.6
#: Delay before an unacknowledged notice is sent again, in seconds.
_RETRY_SECONDS = 0.1
#: Age in seconds from which a notice is not repeated any more; the leader has read the
#: row from the change feed by then.
_MAX_AGE_SECONDS = 5.0
_MAX_QUEUED_NOTICES = 1000
_THREADS = 2


@attrs.frozen
class _QueuedNotice:
    """A notice, the time from which it is not repeated, and its failed attempts."""

    notice: JobNotice
    expires_at: float
    failures: int = 0


class NoticeSender:
    """Sends each notice until the leader acknowledges it.

    A lost notice delays the job or the cancellation until the leader reads its row from
    the change feed. Notices may arrive more than once and in any order.

    Parameters
    ----------
    contact : LeaderContact
        Sends messages to the current leader.
    clock : Clock
        Source of time.
    admission : Admission, optional
        Receives the waiting times that the leader's replies contain.
    """

    def __init__(
        self, contact: LeaderContact, clock: Clock, admission: Admission | None = None
    ) -> None:
        self._contact = contact
        self._clock = clock
        self._admission = admission
        self._queue: queue.Queue[_QueuedNotice] = queue.Queue(_MAX_QUEUED_NOTICES)
        self._pause = threading.Event()
        for _ in range(_THREADS):
            threading.Thread(target=self._run, name="notices", daemon=True).start()

    def add(self, notice: JobNotice) -> None:
        """Queue a notice; if the queue is full, it is left to the change feed."""
        self._enqueue(_QueuedNotice(notice, self._clock.now() + _MAX_AGE_SECONDS))

    def _enqueue(self, queued: _QueuedNotice) -> None:
        try:
            self._queue.put_nowait(queued)
        except queue.Full:
            logger.warning(
                "notice queue is full; the leader reads the row from the change feed",
                extra={"job": queued.notice.job_id},
            )

    def _run(self) -> None:
        while True:
            queued = self._queue.get()
            run_step(partial(self._send, queued), logger, "notice not sent")

    def _send(self, queued: _QueuedNotice) -> None:
        """Send a notice once; queue it again if it is not acknowledged."""
        reply = self._contact.ask(queued.notice, _REPLY_TIMEOUT_SECONDS)
        if reply is None:
            self._repeat(attrs.evolve(queued, failures=queued.failures + 1))
            return
        if queued.failures:
            self._log("leader acknowledged a repeated notice", queued)
        self._record_waits(reply)

    def _repeat(self, queued: _QueuedNotice) -> None:
        if self._clock.now() >= queued.expires_at:
            self._log("leader did not reply to a notice", queued)
            return
        self._pause.wait(_RETRY_SECONDS)
        self._enqueue(queued)

    def _record_waits(self, reply: Message) -> None:
        if self._admission is not None:
            waits = reply.waits if isinstance(reply, JobNoticeReply) else ()
            self._admission.record(waits, self._clock.now())

    def _log(self, event: str, queued: _QueuedNotice) -> None:
        age = self._clock.now() - (queued.expires_at - _MAX_AGE_SECONDS)
        log_change(
            logger,
            event,
            job=queued.notice.job_id,
            failures=queued.failures,
            seconds=round(age, 2),
        )
