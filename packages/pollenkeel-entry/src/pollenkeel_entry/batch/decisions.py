"""Bounded record of scheduling decisions, returned by ``explain``."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque

import attrs

from pollenkeel_kernel.core.settings import LimitSettings


@attrs.frozen
class Decision:
    """One decision about a task or job, made at time ``at``."""

    at: float
    action: str
    code: int
    reason: str = ""
    vm: str = ""


class DecisionRecord:
    """Latest decisions by task key or job id.

    Beyond the limits, the least recently updated keys are removed.

    Parameters
    ----------
    limits : LimitSettings
        Maximum number of decisions per key (``decisions_per_task``) and in total
        (``decisions``).
    """

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._lock = threading.Lock()
        self._total = 0
        self._decisions_by_key: OrderedDict[str, deque[Decision]] = OrderedDict()

    def add(self, key: str, decision: Decision) -> None:
        """Record a decision unless it repeats the previous one of the key."""
        with self._lock:
            kept = self._decisions_by_key.setdefault(key, deque())
            self._decisions_by_key.move_to_end(key)
            if kept and attrs.evolve(kept[-1], at=decision.at) == decision:
                return
            kept.append(decision)
            self._total += 1
            if len(kept) > self._limits.decisions_per_task:
                kept.popleft()
                self._total -= 1
            while self._total > self._limits.decisions:
                _, dropped = self._decisions_by_key.popitem(last=False)
                self._total -= len(dropped)

    def record(
        self,
        at: float,
        key: str,
        action: str,
        code: int,
        reason: str = "",
        vm: str = "",
    ) -> None:
        """Record a decision that was made at time ``at``."""
        self.add(key, Decision(at, action, code, reason, vm))

    def get(self, key: str) -> list[Decision]:
        """Return the recorded decisions of a task or job, oldest first."""
        with self._lock:
            return list(self._decisions_by_key.get(key, ()))
