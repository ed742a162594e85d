"""Calls from an entry to the current leader."""

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

#: Seconds without a reply from the leader after which the connection is replaced.
_RECONNECT_AFTER_SECONDS = 1.2


class LeaderContact:
    """Sends an entry's messages to the current leader, in this process or another.

    Attributes
    ----------
    term : Term or None
        Term of leadership of this process, if it leads.
    """

    def __init__(self, name: str, leadership: Leadership, clock: Clock) -> None:
        self._name = name
        self._leadership = leadership
        self._clock = clock
        self._lock = threading.Lock()
        self._peer: PeerClient | None = None
        self.term: Term | None = None

    def ask(self, message: Message, seconds: float) -> Message | None:
        """Return the leader's reply, or None if the call fails or times out."""
        result = self.call(message, seconds)
        return None if isinstance(result, Err) else result.ok_value

    def call(self, message: Message, seconds: float) -> Result[Message, Refusal]:
        """Send a message to the leader and return its reply.

        Parameters
        ----------
        message : Message
            Query, notice or write request for the leader.
        seconds : float
            Timeout for the reply.

        Returns
        -------
        Result[Message, Refusal]
            ``NOT_OWNER`` (2018) or ``PEER_UNREACHABLE`` (2021) if no leader has
            received the message, another code if that is not known.
        """
        term = self.term
        # After the lease was given up, the term runs on until its last write has
        # returned; messages then go to the successor.
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
                _RECONNECT_AFTER_SECONDS
            )
            log_change(
                logger,
                "call to the leader failed",
                kind=type(message).__name__,
                address=peer.address,
                cause=str(result.err_value),
                redialled=redialled,
            )
        return result

    def _find_peer(self) -> PeerClient | None:
        """Return a client of the leader's process, or None if no leader is known."""
        leader = self._leadership.leader
        if leader is None or not leader.address:
            return None
        with self._lock:
            if self._peer is None or self._peer.address != leader.address:
                if self._peer is not None:
                    self._peer.close()
                self._peer = PeerClient.open(leader.address, self._clock)
            return self._peer
