"""Tasks of the worker stand-in: timers whose progress is saved in checkpoints."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err, Ok, Result

from pollenkeel_kernel.core.messages import Resources
from pollenkeel_standins.recording import Execution

RUNNING = "running"
#: Most progress in seconds that one update counts. If a worker was frozen for longer,
#: its tasks did not run in the meantime.
_MAX_STEP_SECONDS = 1.0


@attrs.frozen
class Command:
    """Parsed command: run time of a task, and whether it fails at the end."""

    seconds: float
    fails: bool


def parse_command(text: str) -> Result[Command, str]:
    """Parse ``run <seconds>`` or ``fail <seconds>``."""
    words = text.split()
    if len(words) != 2 or words[0] not in ("run", "fail"):
        return Err(f"command {text!r} is neither 'run <seconds>' nor 'fail <seconds>'")
    try:
        return Ok(Command(max(0.0, float(words[1])), words[0] == "fail"))
    except ValueError:
        return Err(f"command {text!r} has no number of seconds")


@attrs.frozen
class StartOrder:
    """Body of a start request; times are on the worker's clock."""

    kind: str
    team: str
    command: str
    resources: Resources
    start_before: float
    lease_until: float
    checkpoint_key: str = ""


@attrs.define
class Task:
    """One attempt of a task.

    ``done_seconds`` is the progress in seconds of work and ``advanced_at`` the time up
    to which it is counted. ``share`` is the throttled speed from 0 to 1 and ``shares``
    the history of its changes as (time, share).
    """

    task_id: str
    attempt: int
    order: StartOrder
    command: Command
    execution: Execution
    done_seconds: float
    started_at: float
    advanced_at: float
    lease_until: float
    checkpoint_key: str
    state: str = RUNNING
    detail: str = ""
    share: float = 1.0
    shares: list[tuple[float, float]] = attrs.field(factory=list)
    checkpointing: bool = False
    paused: bool = False

    @property
    def running(self) -> bool:
        """Whether the attempt is running."""
        return self.state == RUNNING

    @property
    def progress(self) -> float:
        """Completed fraction of the work."""
        if self.command.seconds <= 0:
            return 1.0
        return min(1.0, self.done_seconds / self.command.seconds)

    def advance(self, now: float) -> float | None:
        """Update the progress and state for the time ``now``.

        Returns
        -------
        float or None
            Time at which the attempt completed or its lease lapsed; None if it goes on.
        """
        counted_until = min(now, self.advanced_at + _MAX_STEP_SECONDS, self.lease_until)
        share = 0.0 if self.paused else self.share
        if share > 0:
            remaining = max(0.0, self.command.seconds - self.done_seconds)
            finish_at = self.advanced_at + remaining / share
            if finish_at <= counted_until:
                self.done_seconds = self.command.seconds
                return self._complete(finish_at)
            self.done_seconds += max(0.0, counted_until - self.advanced_at) * share
        if now >= self.lease_until:
            self.state, self.detail = "lapsed", "the lease passed"
            return self.lease_until
        self.advanced_at = now
        return None

    def usage(self, at: float, factor: float) -> Resources:
        """Return the usage at an earlier time.

        Parameters
        ----------
        at : float
            Time on the worker's clock.
        factor : float
            Actual usage as a multiple of the declared size.
        """
        if at < self.started_at:
            return Resources()
        share = 1.0
        for changed_at, new_share in self.shares:
            if changed_at <= at:
                share = new_share
        size = self.order.resources
        return Resources(
            size.cores * factor * share, size.memory_gb * factor, size.accelerators
        )

    def describe(self, now: float, lag: float, factor: float) -> dict[str, Any]:
        """Return the attempt as JSON types, with its usage ``lag`` seconds ago."""
        usage = self.usage(now - lag, factor) if self.running else Resources()
        return {
            "task_id": self.task_id,
            "attempt": self.attempt,
            "state": self.state,
            "kind": self.order.kind,
            "resources": attrs.asdict(self.order.resources),
            "usage": attrs.asdict(usage),
            "usage_at": now - lag,
            "progress": self.progress,
            "checkpoint_key": self.checkpoint_key,
            "detail": self.detail,
            "lease_until": self.lease_until,
        }

    def _complete(self, at: float) -> float:
        self.state = "failed" if self.command.fails else "done"
        self.detail = "exit status 1" if self.command.fails else ""
        return at
