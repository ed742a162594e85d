"""Confines an unexpected error to the decision of the agent in which it occurs.

The agent reports to the leader in each round; without reports the leader grants no
lease, and all runs on the VM end. So an error that concerns one task must not prevent
the report.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

import logbook

from pollenkeel_jobs.core.metrics import AGENT_DECISION_ERRORS
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code

logger = logbook.Logger("agent")
_T = TypeVar("_T")

#: Minimum time between two log lines, in seconds. A fault may recur in each round.
_LOG_INTERVAL_SECONDS = 1.0


class DecisionGuard:
    """Runs decisions, and counts and logs those that fail.

    Thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._errors_by_decision: Counter[str] = Counter()
        self._next_line_at = 0.0

    def run(self, name: str, decision: Callable[[], _T], default: _T) -> _T:
        """Return the result of a decision, or a default if it raises an error.

        Parameters
        ----------
        name : str
            Name of the decision for the metric and the log.
        decision : callable
            The decision.
        default : object
            Result if the decision fails.
        """
        try:
            return decision()
        except Exception:
            self._record(name)
            return default

    def _record(self, name: str) -> None:
        """Count an error that is being handled, and log it unless one just was."""
        AGENT_DECISION_ERRORS.labels(name).inc()
        now = self._clock.now()
        with self._lock:
            self._errors_by_decision[name] += 1
            if now < self._next_line_at:
                return
            self._next_line_at = now + _LOG_INTERVAL_SECONDS
            errors = dict(self._errors_by_decision)
            self._errors_by_decision.clear()
        logger.exception(
            "decision of the agent failed",
            extra={
                "code": Code.AGENT_DECISION_FAILED.value,
                "decision": name,
                "errors": errors,
            },
        )
