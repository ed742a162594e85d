"""Checks on the announcements that an agent receives for the worker of its VM.

Anyone can send an announcement. It counts once its service is known to be configured
and the worker itself has answered as the announced incarnation.
"""

from __future__ import annotations

import logbook

from pollenkeel_jobs.core.messages import VmReportReply
from pollenkeel_jobs.core.metrics import ANNOUNCEMENTS
from pollenkeel_jobs.core.worker import WorkerAnnouncement, WorkerFailure

logger = logbook.Logger("agent")

#: Largest difference by which the clock of a worker may be ahead, in seconds.
_MAX_CLOCK_AHEAD_SECONDS = 3600.0
#: Number of incarnations whose announcement waits for the worker's answer; beyond that
#: the oldest is dropped.
_MAX_PENDING = 8


class ConfiguredServices:
    """Names of the services in the operators' configuration, as the leader sends them.

    Attributes
    ----------
    version : int
        Version of the configuration; 0 while none is known.
    """

    def __init__(self) -> None:
        self.version = 0
        self._names: frozenset[str] = frozenset()

    def update(self, reply: VmReportReply) -> None:
        """Store the names in a reply unless a version at least as new is known."""
        if reply.operations_version > self.version:
            self.version = reply.operations_version
            self._names = frozenset(reply.services)

    def may_include(self, service: str) -> bool:
        """Return whether a service is configured, or no configuration is known."""
        return not self.version or service in self._names


class PendingAnnouncements:
    """Announcements of incarnations that the worker has not confirmed yet.

    Not thread-safe; the agent's lock protects it.
    """

    def __init__(self) -> None:
        self._announcements_by_incarnation: dict[str, WorkerAnnouncement] = {}

    def add(self, announcement: WorkerAnnouncement) -> None:
        """Add an announcement; the latest of an incarnation replaces earlier ones."""
        incarnation = announcement.incarnation
        known = self._announcements_by_incarnation.get(incarnation)
        if known is None or known.sequence <= announcement.sequence:
            self._announcements_by_incarnation[incarnation] = announcement
        while len(self._announcements_by_incarnation) > _MAX_PENDING:
            oldest = next(iter(self._announcements_by_incarnation))
            del self._announcements_by_incarnation[oldest]

    def first(self) -> WorkerAnnouncement | None:
        """Return the announcement that is next to be confirmed, or None."""
        return next(iter(self._announcements_by_incarnation.values()), None)

    def postpone(self, announcement: WorkerAnnouncement) -> None:
        """Put an announcement behind all others if it still waits."""
        known = self._announcements_by_incarnation.pop(announcement.incarnation, None)
        if known is not None:
            self._announcements_by_incarnation[known.incarnation] = known

    def remove(self, announcement: WorkerAnnouncement) -> None:
        """Remove the announcement of an incarnation if there is one."""
        self._announcements_by_incarnation.pop(announcement.incarnation, None)


def is_from_the_future(announcement: WorkerAnnouncement, now: float) -> bool:
    """Return whether a worker claims to start later than any clock may say."""
    if announcement.born <= (now + _MAX_CLOCK_AHEAD_SECONDS) * 1000:
        return False
    ANNOUNCEMENTS.labels("future").inc()
    logger.warning(
        "announcement from the future rejected",
        extra={"worker": announcement.worker_id, "born": announcement.born},
    )
    return True


def report_unnamed_service(announcement: WorkerAnnouncement) -> None:
    """Log and count an announcement whose service is not configured."""
    ANNOUNCEMENTS.labels("unnamed service").inc()
    logger.warning(
        "announcement of an unknown service rejected",
        extra={
            "worker": announcement.incarnation,
            "sequence": announcement.sequence,
            "service": announcement.service,
        },
    )


def report_out_of_date(
    announcement: WorkerAnnouncement, known: WorkerAnnouncement
) -> None:
    """Log and count an announcement that is older than the known one."""
    ANNOUNCEMENTS.labels("out of date").inc()
    logger.warning(
        "announcement out of date",
        extra={
            "worker": announcement.incarnation,
            "sequence": announcement.sequence,
            "known_sequence": known.sequence,
            "known_service": known.service,
        },
    )


def report_denied(announcement: WorkerAnnouncement, failure: WorkerFailure) -> None:
    """Log and count an announcement of an incarnation that the worker is not."""
    ANNOUNCEMENTS.labels("denied").inc()
    logger.warning(
        "announcement denied by the worker",
        extra={
            "worker": announcement.incarnation,
            "sequence": announcement.sequence,
            "service": announcement.service,
            "cause": failure.reason,
            "answered_by": failure.born,
        },
    )
