"""Stand-in of the platform's runner, as described in PROTOCOL.md.

The ``Spec`` of a job is a JSON object that tells the stand-in how its tasks behave:
``s`` is the work of a task in seconds, ``save`` whether it checkpoints its progress,
``lasts`` whether it runs until it is stopped, and ``fails`` whether it ends ``failed``.

Everything that it does is appended to a file, a JSON object a line.
"""

from __future__ import annotations

import argparse
import http.client
import json
import threading
import time
from typing import Any

from http_server import JsonServer, Request

_TICK_SECONDS = 0.01
_HOLD_MAX_MS = 6000
_MAX_WAIT_MS = 2000
_ENDS_PER_LIST = 500
_CHECKPOINT_SECONDS = 1.0
_RESTORE_SECONDS = 0.25
_STARTUP_SECONDS = 0.5


class Run:
    """A run in progress; times are seconds of the runner's clock."""

    def __init__(self, order: dict[str, Any], now: float) -> None:
        self.task = str(order["Task"])
        self.number = int(order["Run"])
        spec = json.loads(order["Spec"])
        self.work = float(spec.get("s", 1.0))
        self.saves = bool(spec.get("save"))
        self.lasts = bool(spec.get("lasts"))
        self.how = "failed" if spec.get("fails") else "done"
        self.started_at = now
        #: Time at which a stop takes effect; infinite if the run is not being stopped.
        self.stops_at = float("inf")
        self.base = 0.0
        if order.get("LastCheckpoint"):
            # A checkpoint holds the saved work in milliseconds.
            self.base = int(order["LastCheckpoint"][:8], 16) / 1000
            self.started_at = now + _RESTORE_SECONDS

    def progress(self, now: float) -> float:
        """Return the work done, in seconds."""
        return self.base + max(0.0, now - self.started_at)

    def percent(self, now: float) -> int:
        """Return the progress in percent."""
        if self.lasts:
            return 100 if now - self.started_at >= _STARTUP_SECONDS else 0
        return min(99, int(100 * self.progress(now) / self.work))

    def checkpoint(self, now: float, stopped: bool = False) -> str:
        """Return the latest checkpoint, or an empty string."""
        if not self.saves:
            return ""
        done = self.progress(now)
        if not stopped:
            done -= done % _CHECKPOINT_SECONDS
        mark = abs(hash(self.task)) % 16**8
        return f"{int(done * 1000):08x}{mark:08x}" if done > 0 else ""

    def is_over(self, now: float) -> bool:
        """Return whether the work is done."""
        return not self.lasts and self.progress(now) >= self.work


class Runner:
    """One boot of a runner."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._lock = threading.RLock()
        self._ended_signal = threading.Condition(self._lock)
        self._booted_at = time.monotonic()
        self._born = int(time.time() * 1000)
        self._token = 0
        self._lease_until = 0.0
        self._runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._next_number = 1
        self._notable: set[int] = set()
        self._record = open(options.record, "a", buffering=1)  # noqa: SIM115
        self._write("boot")
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _write(self, event: str, **fields: Any) -> None:
        row = {
            "t": round(time.time(), 3),
            "runner": self._options.id,
            "born": self._born,
            "event": event,
            **fields,
        }
        self._record.write(json.dumps(row) + "\n")

    def _now(self) -> float:
        return time.monotonic() - self._booted_at

    def _tick(self) -> None:
        while True:
            time.sleep(_TICK_SECONDS)
            with self._lock:
                self._end_due_runs()

    def _end_due_runs(self) -> None:
        now = self._now()
        for run in list(self._runs.values()):
            if run.is_over(now):
                self._end(run, run.how, "")
            elif run.stops_at <= now:
                self._end(run, "stopped", run.checkpoint(now, stopped=True))
        if self._lease_until <= now:
            self._notable.clear()
            for run in list(self._runs.values()):
                self._end(run, "lapsed", run.checkpoint(now))

    def _end(self, run: Run, how: str, saved: str) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        number = self._next_number
        self._next_number += 1
        self._ends.append([number, run.task, run.number, how, saved])
        self._notable.add(number)
        self._write("end", n=number, task=run.task, run=run.number, how=how)
        self._ended_signal.notify_all()

    def handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Return status and body of the answer to an order."""
        if request.path == "/healthz":
            return 200, {}
        expected = request.headers.get("Pollenkeel-Expected-Instance")
        if expected and expected != self._options.id:
            return 421, {}
        body = request.body
        with self._lock:
            self._end_due_runs()
            if body.get("FencingToken", 0) < self._token:
                return 409, self._answer(Reason="fence")
            self._token = body.get("FencingToken", 0)
            if request.path == "/api/run-start":
                reason = self._start(body)
                return (409, self._answer(Reason=reason)) if reason else self._ok()
            if request.path == "/api/run-stop":
                self._stop(body)
                return self._ok()
            if request.path == "/api/hold":
                return self._hold(body)
        return (200, self._answer()) if request.path == "/api/pace" else (404, {})

    def _ok(self) -> tuple[int, dict[str, Any]]:
        return 200, self._answer()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        return {"ClockMs": int(self._now() * 1000), "born": self._born, **fields}

    def _extend(self, deadline_ms: float) -> None:
        longest = self._now() + _HOLD_MAX_MS / 1000
        self._lease_until = max(self._lease_until, min(deadline_ms / 1000, longest))

    def _start(self, body: dict[str, Any]) -> str:
        task, number = body["Task"], body["Run"]
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return ""
        if body["DeadlineMs"] <= self._now() * 1000:
            return "late"
        self._extend(body["DeadlineMs"])
        if running is not None or number <= self._highest.get(task, 0):
            return "old"
        self._runs[task] = Run(body, self._now())
        saved = body.get("LastCheckpoint", "")
        self._write("start", task=task, run=number, saved=saved)
        return ""

    def _stop(self, body: dict[str, Any]) -> None:
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number <= number:
            run.stops_at = min(run.stops_at, self._now() + self._options.stop_seconds)
            self._write("stop", task=task, run=run.number)

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        through = body.get("AckedThrough", 0)
        for end in [end for end in self._ends if end[0] <= through]:
            self._ends.remove(end)
            if end[0] in self._notable:
                self._notable.discard(end[0])
                self._write("noted", n=end[0], task=end[1], run=end[2], how=end[3])
        if body.get("DeadlineMs"):
            self._extend(body["DeadlineMs"])
        wait_until = self._now() + min(body.get("WaitMs", 0), _MAX_WAIT_MS) / 1000
        while not self._ends and self._now() < wait_until:
            self._ended_signal.wait(max(0.0, wait_until - self._now()))
        now = self._now()
        running = [
            [run.task, run.number, run.checkpoint(now), run.percent(now), 0]
            for run in self._runs.values()
        ]
        ends = self._ends[:_ENDS_PER_LIST]
        return 200, self._answer(Running=running, Ended=ends)

    def _send_heartbeats(self) -> None:
        options = self._options
        sequence = 0
        time.sleep(options.first_heartbeat)
        while True:
            sequence += 1
            body = {
                "Backend": options.service,
                "Address": f"127.0.0.1:{options.port}",
                "Zone": options.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": options.cpu, "MemMb": options.memory, "Gpu": 0},
                "Labels": options.labels.split(","),
                "Seq": sequence,
                **self._answer(),
            }
            self._post(f"/api/instances/{options.id}/heartbeat", body)
            time.sleep(options.heartbeat)

    def _post(self, path: str, body: dict[str, Any]) -> None:
        host, _, port = self._options.agent.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            headers = {"Content-Type": "application/json"}
            connection.request("POST", path, json.dumps(body), headers)
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            # The agent is not running yet; the next heartbeat follows.
            return
        finally:
            connection.close()


def main() -> None:
    """Run one boot of a runner until the process is ended."""
    parser = argparse.ArgumentParser()
    for name in ("id", "agent", "zone", "service", "labels", "record"):
        parser.add_argument(f"--{name}", required=True)
    for name in ("port", "cpu", "memory"):
        parser.add_argument(f"--{name}", type=int, required=True)
    for name in ("heartbeat", "first-heartbeat", "stop-seconds"):
        parser.add_argument(f"--{name}", type=float, required=True)
    options = parser.parse_args()
    JsonServer(options.port, Runner(options).handle).serve_forever()


if __name__ == "__main__":
    main()
