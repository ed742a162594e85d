"""Model of the platform's runner: leases, fencing tokens, runs and their ends."""

from __future__ import annotations

import threading
from typing import Any

import attrs

from pollenkeel_kernel.core.clock import Clock

#: Longest lease in seconds.
HOLD_MAX = 6.0
_CHECKPOINT_SECONDS = 1.0


@attrs.define
class ModelRun:
    """One run of a task, as long as it runs."""

    task: str
    run: int
    started_at: float
    ends_at: float
    how: str


@attrs.define
class RunnerModel:
    """State of one life of a runner.

    A task's text decides what it does: ``run SECONDS`` or ``fail SECONDS``.

    Attributes
    ----------
    record : list of dict
        What truly ran: task, run, start, end, how it ended, and whether the end was
        acknowledged before the lease ended.
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
    _unnoted: dict[int, dict[str, Any]] = attrs.field(factory=dict)

    def now_ms(self) -> int:
        """Return the runner's clock in milliseconds."""
        return int(self.clock.now() * 1000)

    def end_due_runs(self) -> None:
        """Take into account the time that has passed."""
        with self.lock:
            now = self.clock.now()
            for run in list(self.runs_by_task.values()):
                if self.lease_until <= min(now, run.ends_at):
                    self._end(run, "lapsed", self.lease_until)
                elif run.ends_at <= now:
                    self._end(run, run.how, run.ends_at)
            if self.lease_until <= now:
                self._unnoted.clear()

    def start(self, body: dict[str, Any]) -> str:
        """Start a run; return an empty string, or why it was refused."""
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
            self._hold_until(body["DeadlineMs"])
            verb, _, seconds = str(body.get("Spec", "")).partition(" ")
            now = self.clock.now()
            self.runs_by_task[task] = ModelRun(
                task,
                number,
                now,
                now + float(seconds or 0.1),
                "failed" if verb == "fail" else "done",
            )
            return ""

    def stop(self, body: dict[str, Any]) -> str:
        """Stop a run or keep it from starting."""
        with self.lock:
            self.end_due_runs()
            refusal = self._check(body)
            if refusal:
                return refusal
            task, number = body["Task"], body["Run"]
            known = self.highest_run_by_task.get(task, 0)
            self.highest_run_by_task[task] = max(known, number)
            run = self.runs_by_task.get(task)
            if run is not None and run.run <= number:
                self._end(run, "stopped", self.clock.now())
            return ""

    def hold(self, body: dict[str, Any]) -> str:
        """Extend the lease and forget recorded ends."""
        with self.lock:
            self.end_due_runs()
            refusal = self._check(body)
            if refusal:
                return refusal
            through = body.get("AckedThrough", 0)
            self.ended = [row for row in self.ended if row[0] > through]
            for number in [n for n in self._unnoted if n <= through]:
                self._unnoted.pop(number)["noted"] = True
            if body.get("DeadlineMs"):
                self._hold_until(body["DeadlineMs"])
            return ""

    def list_runs(self) -> dict[str, Any]:
        """Return the runs and the ends that are not yet forgotten."""
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
            return {"Running": running, "Ended": self.ended[:500]}

    def _check(self, body: dict[str, Any]) -> str:
        token = body.get("FencingToken", 0)
        if token < self.token:
            return "fence"
        self.token = token
        return ""

    def _hold_until(self, deadline_ms: float) -> None:
        longest = self.clock.now() + HOLD_MAX
        self.lease_until = max(self.lease_until, min(deadline_ms / 1000, longest))

    @staticmethod
    def _checkpoint(run: ModelRun, now: float) -> str:
        saved = int((now - run.started_at) / _CHECKPOINT_SECONDS)
        return f"{run.task}-{run.run}-{saved}" if saved else ""

    def _end(self, run: ModelRun, how: str, at: float) -> None:
        del self.runs_by_task[run.task]
        known = self.highest_run_by_task.get(run.task, 0)
        self.highest_run_by_task[run.task] = max(known, run.run)
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
        self._unnoted[self.next_number] = entry
        self.next_number += 1
        self.record.append(entry)
