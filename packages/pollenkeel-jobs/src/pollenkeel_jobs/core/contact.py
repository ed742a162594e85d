"""Way of an entry to whichever entry leads."""

from __future__ import annotations

import threading

import logbook
from result import Err, Ok, Result

from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import PeerClient, is_answered

logger = logbook.Logger("contact")

#: Seconds without a reply of the leader after which the connection is replaced.
_SILENT_SECONDS = 1.2


class LeaderContact:
    """Messages of an entry to whichever entry leads."""

    def __init__(self, name: str, leadership: Leadership, clock: Clock) -> None:
        self._name = name
        self._leadership = leadership
        self._clock = clock
        self._lock = threading.Lock()
        self._peer: PeerClient | None = None
        self.term: Term | None = None

    def ask(self, message: Message, seconds: float) -> Message | None:
        """Return the leader's reply, or None if there is none in time."""
        result = self.call(message, seconds)
        return None if isinstance(result, Err) else result.ok_value

    def call(self, message: Message, seconds: float) -> Result[Message, Refusal]:
        """Return the leader's reply.

        Parameters
        ----------
        message : Message
            Question, notice or write for the leader.
        seconds : float
            Longest wait.

        Returns
        -------
        Result[Message, Refusal]
            Code 2018 or 2021 if no leader has taken the message, another if that is
            not known.
        """
        term = self.term
        # A lease that was given up leaves the term before its last write has ended.
        if term is not None and not term.over.is_set() and self._leadership.holds_lease:
            reply = term.handle(message)
            if reply is not None:
                return Ok(reply)
        peer = self._find_peer()
        if peer is None:
            return Err(Refusal(Code.NOT_OWNER, "no leader is known"))
        result = peer.call(message, self._clock.now() + seconds)
        if isinstance(result, Err):
            redialled = not is_answered(result) and peer.redial_if_silent(
                _SILENT_SECONDS
            )
            log_change(
                logger,
                "no reply of the leader",
                kind=type(message).__name__,
                address=peer.address,
                cause=str(result.err_value),
                redialled=redialled,
            )
        return result

    def _find_peer(self) -> PeerClient | None:
        leader = self._leadership.leader
        if leader is None or not leader.address:
            return None
        with self._lock:
            if self._peer is None or self._peer.address != leader.address:
                if self._peer is not None:
                    self._peer.close()
                self._peer = PeerClient(leader.address, self._clock)
            return self._peer
