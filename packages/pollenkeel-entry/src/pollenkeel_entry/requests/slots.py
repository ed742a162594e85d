"""Estimates of the free slots of each upstream."""

from __future__ import annotations

import attrs

from pollenkeel_kernel.core.messages import UpstreamStatus

#: A full upstream is tried again after this many seconds. Slots freed by requests of
#: other entries are otherwise noticed only with the next announcement, once a second.
PROBE_INTERVAL = 0.02
#: An upstream whose last attempt failed is avoided for this many seconds. Otherwise, a
#: dead upstream with many free slots would attract every request.
SUSPECT_SECONDS = 1.0


@attrs.define
class SlotHint:
    """Estimated free slots of one upstream; its agent has the exact number.

    Attributes
    ----------
    slots : int
        Announced number of slots.
    own : int
        Attempts of this entry in flight.
    foreign : int
        Estimated slots in use that are not in ``own``: used by other entries, or by
        attempts that this entry abandoned.
    leaving : bool
        Whether the upstream is shutting down and rejects new requests.
    p99_seconds : float
        Announced 99th percentile of the answer time, 0 if unknown.
    probe_at : float
        Time of the next probe while the upstream is assumed to be full.
    suspect_until : float
        Time until which the upstream is avoided after a failure.
    blocked_until : float
        Time until which the upstream gets no requests because it rejected one while it
        was shutting down or gone. Its next announcement ends the block.
    """

    slots: int = 0
    own: int = 0
    foreign: int = 0
    leaving: bool = False
    p99_seconds: float = 0.0
    probe_at: float = 0.0
    suspect_until: float = 0.0
    blocked_until: float = 0.0

    @property
    def free(self) -> int:
        """Estimated free slots; may be negative."""
        return self.slots - self.own - self.foreign

    def apply_announcement(self, status: UpstreamStatus) -> None:
        """Update from an announcement, whose used slots include this entry's."""
        self.blocked_until = 0.0
        self.slots = status.slots
        self.foreign = max(0, status.slots - status.free_slots - self.own)
        self.p99_seconds = status.p99_seconds

    def apply_reply(self, free_slots: int) -> None:
        """Update from the free slots of a reply if they exceed the estimate."""
        self.foreign = min(self.foreign, max(0, self.slots - free_slots - self.own))

    def mark_full(self, now: float) -> None:
        """Record that the agent rejected a request because all slots were in use."""
        self.foreign = max(self.foreign, self.slots - self.own)
        self.probe_at = now + PROBE_INTERVAL

    def assume_probe_slot(self, now: float) -> None:
        """Assume one more free slot if a probe is due, so that a request is sent."""
        if self.free <= 0 < self.foreign and now >= self.probe_at:
            self.foreign -= 1
            self.probe_at = now + PROBE_INTERVAL
