"""Free capacity of VMs: the announced capacity less starts planned since then."""

from __future__ import annotations

import math
import threading
from collections.abc import Iterable

import attrs

from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_kernel.config.model import ServiceConfig
from pollenkeel_kernel.core.messages import Announce, Resources, TaskKey
from pollenkeel_kernel.policy.placement import ServiceHint, VmHint

#: Time after which announcements certainly include a start whose exchange was not
#: answered.
_ANNOUNCE_DELAY_SECONDS = 1.0


@attrs.define
class _Reservation:
    """Size of a planned start.

    ``made_at`` is on this process's clock. ``answered_at`` is the time, on the agent's
    clock, from which the announcements include the start; infinite if not known.
    """

    size: Resources
    kind: str
    made_at: float
    answered_at: float = math.inf

    def is_included(self, announced_at: float) -> bool:
        """Return whether an announcement includes the start."""
        return announced_at >= min(
            self.answered_at, self.made_at + _ANNOUNCE_DELAY_SECONDS
        )


class CapacityHints:
    """Reservations of capacity for starts that announcements do not include yet.

    A reservation ends with the first announcement that includes the start, or with
    the attempt. If it lasted longer, a VM would count as full after its short tasks
    have ended.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reserved_by_agent: dict[str, dict[TaskKey, _Reservation]] = {}

    def reserve(
        self,
        agent_id: str,
        attempt: TaskKey,
        size: Resources,
        now: float,
        kind: str = "",
    ) -> None:
        """Record a planned start."""
        with self._lock:
            reserved = self._reserved_by_agent.setdefault(agent_id, {})
            reserved[attempt] = _Reservation(size, kind, now)

    def answered(self, agent_id: str, attempts: Iterable[TaskKey], at: float) -> None:
        """Record that an agent has accepted or rejected starts.

        Parameters
        ----------
        agent_id : str
            Id of the agent.
        attempts : Iterable[TaskKey]
            Attempts that the agent started or refused.
        at : float
            Time of its reply, on the agent's clock.
        """
        with self._lock:
            reserved = self._reserved_by_agent.get(agent_id, {})
            for attempt in attempts:
                if attempt in reserved:
                    reserved[attempt].answered_at = at

    def release(self, agent_id: str, attempt: TaskKey) -> None:
        """Remove the reservation of an attempt that is not running."""
        with self._lock:
            self._reserved_by_agent.get(agent_id, {}).pop(attempt, None)

    def view(
        self, record: AgentRecord, services: dict[str, ServiceConfig] | None = None
    ) -> VmHint:
        """Return the current capacity and load of an agent's VM.

        Parameters
        ----------
        record : AgentRecord
            Latest announcement of the agent.
        services : dict[str, ServiceConfig], optional
            Configured services, for their ``promised_time``.
        """
        announce = record.announce
        with self._lock:
            reserved = self._reserved_by_agent.get(announce.sender, {})
            pending = {
                attempt: reservation
                for attempt, reservation in reserved.items()
                if not reservation.is_included(announce.sent_at)
            }
            self._reserved_by_agent[announce.sender] = pending
            free, kinds = announce.free, dict(announce.running_kinds)
            for reservation in pending.values():
                free = free - reservation.size
                kinds[reservation.kind] = kinds.get(reservation.kind, 0) + 1
        return VmHint(
            announce.sender,
            announce.rack,
            announce.data_centre,
            announce.capacity,
            free,
            kinds,
            _view_services(announce, services or {}),
            announce.sent_at,
        )


def _view_services(
    announce: Announce, services: dict[str, ServiceConfig]
) -> list[ServiceHint]:
    hints = []
    for status in announce.upstreams:
        promised = services.get(status.service, ServiceConfig()).promised_time
        load = 1 - status.free_slots / max(1, status.slots)
        ratio = status.p99_seconds / max(promised, 1e-6)
        hints.append(ServiceHint(status.service, ratio, load))
    return hints


class StartRamp:
    """Limits starts per second in a data centre that was drained until recently."""

    _INITIAL_STARTS_PER_SECOND = 20.0
    _DOUBLING_SECONDS = 5.0
    _DURATION_SECONDS = 60.0

    def __init__(self) -> None:
        self._undrained_at_by_name: dict[str, float] = {}
        self._drained: frozenset[str] = frozenset()

    def update(self, drained: frozenset[str], now: float) -> None:
        """Record the drained data centres; those no longer drained start their ramp."""
        for name in self._drained - drained:
            self._undrained_at_by_name[name] = now
        self._drained = drained

    def budget(self, data_centre: str, now: float, interval: float) -> float:
        """Return how many starts are allowed in an interval given in seconds."""
        undrained_at = self._undrained_at_by_name.get(data_centre)
        if undrained_at is None or now > undrained_at + self._DURATION_SECONDS:
            return float("inf")
        rate = self._INITIAL_STARTS_PER_SECOND * 2 ** (
            (now - undrained_at) / self._DOUBLING_SECONDS
        )
        return max(1.0, rate * interval)
