"""In-memory model of the platform's runner: lease, fencing token and runs."""

from __future__ import annotations

import threading
import time
from typing import Any

import attrs

from pollenkeel_kernel.core.clock import Clock

#: Upper bound of the lease in seconds.
MAX_LEASE_SECONDS = 6.0
#: Largest number of ends in one list; the others follow once these are acknowledged.
MAX_LISTED_ENDS = 500
_CHECKPOINT_SECONDS = 1.0
#: Duration of a run without a command, and of one that starts after its end.
_WORK_SECONDS = 0.1


@attrs.define
class ModelRun:
    """A run of a task in progress.

    ``ends_at`` is when it ends if it is not stopped, and ``how`` is its outcome then.
    """

    task: str
    run: int
    started_at: float
    ends_at: float
    how: str


@attrs.define
class RunnerModel:
    """State of one incarnation of a runner.

    The command of a task (``Spec``) is ``run SECONDS``, ``fail SECONDS`` or ``until
    TIME``, a point in time of the system clock at which all its runs end. All runs end
    when the runner's lease lapses. Orders whose fencing token is lower than one seen
    before are rejected.

    Attributes
    ----------
    record : list of dict
        What actually ran: task, run, start, end, outcome (``how``), and whether the end
        was acknowledged before the lease lapsed (``noted``).
    crashed : bool
        The incarnation has ended and carries out no more orders.
    """

    clock: Clock
    lock: threading.RLock = attrs.field(factory=threading.RLock)
    token: int = 0
    lease_until: float = 0.0
    runs_by_task: dict[str, ModelRun] = attrs.field(factory=dict)
    ended: list[list[Any]] = attrs.field(factory=list)
    next_number: int = 1
    highest_run_by_task: dict[str, int] = attrs.field(factory=dict)
    record: list[dict[str, Any]] = attrs.field(factory=list)
    crashed: bool = False
    _unacknowledged: dict[int, dict[str, Any]] = attrs.field(factory=dict)

    def now_ms(self) -> int:
        """Return the runner's clock in milliseconds."""
        return int(self.clock.now() * 1000)

    def end_due_runs(self) -> None:
        """End the runs that are due, or whose lease has lapsed."""
        with self.lock:
            now = self.clock.now()
            for run in list(self.runs_by_task.values()):
                if self.lease_until <= min(now, run.ends_at):
                    self._end(run, "lapsed", self.lease_until)
                elif run.ends_at <= now:
                    self._end(run, run.how, run.ends_at)
            if self.lease_until <= now:
                self._unacknowledged.clear()

    def start(self, body: dict[str, Any]) -> str:
        """Start a run; return an empty string, or the reason for a rejection."""
        with self.lock:
            self.end_due_runs()
            refusal = self._check(body)
            if refusal:
                return refusal
            task, number = body["Task"], body["Run"]
            running = self.runs_by_task.get(task)
            if running is not None:
                return "" if running.run == number else "old"
            if number <= self.highest_run_by_task.get(task, 0):
                return "old"
            if body["DeadlineMs"] <= self.now_ms():
                return "late"
            self._extend_lease(body["DeadlineMs"])
            verb, _, text = str(body.get("Spec", "")).partition(" ")
            seconds = float(text or _WORK_SECONDS)
            if verb == "until":
                seconds = max(_WORK_SECONDS, seconds - time.time())
            now = self.clock.now()
            how = "failed" if verb == "fail" else "done"
            self.runs_by_task[task] = ModelRun(task, number, now, now + seconds, how)
            return ""

    def stop(self, body: dict[str, Any]) -> str:
        """Stop a run, or keep it and earlier runs of the task from starting."""
        with self.lock:
            self.end_due_runs()
            refusal = self._check(body)
            if refusal:
                return refusal
            task, number = body["Task"], body["Run"]
            highest = self.highest_run_by_task.get(task, 0)
            self.highest_run_by_task[task] = max(highest, number)
            run = self.runs_by_task.get(task)
            if run is not None and run.run <= number:
                self._end(run, "stopped", self.clock.now())
            return ""

    def hold(self, body: dict[str, Any]) -> str:
        """Extend the lease and drop acknowledged ends."""
        with self.lock:
            self.end_due_runs()
            refusal = self._check(body)
            if refusal:
                return refusal
            through = body.get("AckedThrough", 0)
            self.ended = [row for row in self.ended if row[0] > through]
            for number in [n for n in self._unacknowledged if n <= through]:
                self._unacknowledged.pop(number)["noted"] = True
            if body.get("DeadlineMs"):
                self._extend_lease(body["DeadlineMs"])
            return ""

    def crash(self) -> None:
        """End the incarnation with all its runs."""
        with self.lock:
            self.end_due_runs()
            now = self.clock.now()
            for run in list(self.runs_by_task.values()):
                self._end(run, "crashed", now)
            self.crashed = True

    def list_runs(self) -> dict[str, Any]:
        """Return the runs in progress and the ends that are not acknowledged yet."""
        with self.lock:
            self.end_due_runs()
            now = self.clock.now()
            running = [
                [
                    run.task,
                    run.run,
                    self._checkpoint(run, now),
                    int(100 * (now - run.started_at) / (run.ends_at - run.started_at)),
                    0,
                ]
                for run in self.runs_by_task.values()
            ]
            return {"Running": running, "Ended": self.ended[:MAX_LISTED_ENDS]}

    def _check(self, body: dict[str, Any]) -> str:
        """Return why an order must not be carried out, or an empty string."""
        if self.crashed:
            return "crashed"
        token = body.get("FencingToken", 0)
        if token < self.token:
            return "fence"
        self.token = token
        return ""

    def _extend_lease(self, deadline_ms: float) -> None:
        longest = self.clock.now() + MAX_LEASE_SECONDS
        self.lease_until = max(self.lease_until, min(deadline_ms / 1000, longest))

    @staticmethod
    def _checkpoint(run: ModelRun, now: float) -> str:
        saved = int((now - run.started_at) / _CHECKPOINT_SECONDS)
        return f"{run.task}-{run.run}-{saved}" if saved else ""

    def _end(self, run: ModelRun, how: str, at: float) -> None:
        del self.runs_by_task[run.task]
        highest = self.highest_run_by_task.get(run.task, 0)
        self.highest_run_by_task[run.task] = max(highest, run.run)
        saved = self._checkpoint(run, at) if how != "done" else ""
        self.ended.append([self.next_number, run.task, run.run, how, saved])
        entry = {
            "task": run.task,
            "run": run.run,
            "start": run.started_at,
            "end": at,
            "how": how,
            "noted": False,
        }
        self._unacknowledged[self.next_number] = entry
        self.next_number += 1
        self.record.append(entry)
