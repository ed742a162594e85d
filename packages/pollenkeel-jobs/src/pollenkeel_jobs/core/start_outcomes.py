"""Outcomes of start orders, as the agent reports them to the leader."""

from __future__ import annotations

from collections.abc import Iterable
from concurrent.futures import Future

from pollenkeel_jobs.core.messages import OrderOutcome, StartOrder

#: The run has started.
STARTED = "started"
#: The run has not started, and does not start later.
REFUSED = "refused"
#: The run may have started, or may start later.
UNKNOWN = "unknown"


def refuse_all(starts: Iterable[StartOrder], reason: str) -> list[OrderOutcome]:
    """Return the outcomes of starts that are refused for the same reason."""
    return [OrderOutcome(start.task_id, start.run, REFUSED, reason) for start in starts]


def get_outcome(start: StartOrder, call: Future[OrderOutcome]) -> OrderOutcome:
    """Return the outcome of a start; one that still waits for a thread is refused."""
    if call.cancel():
        return OrderOutcome(start.task_id, start.run, REFUSED, "not sent in time")
    if not call.done():
        return OrderOutcome(start.task_id, start.run, UNKNOWN, "no reply in time")
    return call.result()
