"""Estimates of the free slots of each upstream."""

from __future__ import annotations

import attrs

from pollenkeel_kernel.core.messages import UpstreamStatus

#: An upstream that refused as full is tried again after this many seconds, because
#: slots freed by requests of other entries are otherwise seen only once a second.
PROBE_INTERVAL = 0.02
#: An upstream whose last attempt failed is skipped for this many seconds; without
#: this, a dead upstream with many free slots would attract every request.
SUSPECT_SECONDS = 1.0


@attrs.define
class SlotHint:
    """Hint of one upstream; only its agent knows the truth.

    Attributes
    ----------
    slots : int
        Announced size.
    own : int
        Attempts of this entry in flight.
    foreign : int
        Estimated slots held by other entries or by attempts given up here.
    leaving : bool
        Whether the upstream takes no new work.
    probe_at : float
        Time of the next try while the upstream is believed full.
    suspect_until : float
        Time until which the upstream is skipped after a failure.
    """

    slots: int = 0
    own: int = 0
    foreign: int = 0
    leaving: bool = False
    p99_seconds: float = 0.0
    probe_at: float = 0.0
    suspect_until: float = 0.0

    @property
    def free(self) -> int:
        """Estimated free slots; may be negative."""
        return self.slots - self.own - self.foreign

    def apply_announcement(self, status: UpstreamStatus) -> None:
        """Take over an announcement, whose figures include this entry's attempts."""
        self.slots = status.slots
        self.foreign = max(0, status.slots - status.free_slots - self.own)
        self.p99_seconds = status.p99_seconds

    def apply_reply(self, free_slots: int) -> None:
        """Take over the free slots of a reply if they show more room."""
        self.foreign = min(self.foreign, max(0, self.slots - free_slots - self.own))

    def mark_full(self, now: float) -> None:
        """Record that the agent had no free slot."""
        self.foreign = max(self.foreign, self.slots - self.own)
        self.probe_at = now + PROBE_INTERVAL

    def assume_probe_slot(self, now: float) -> None:
        """Believe in one more free slot if a probe is due."""
        if self.free <= 0 < self.foreign and now >= self.probe_at:
            self.foreign -= 1
            self.probe_at = now + PROBE_INTERVAL
