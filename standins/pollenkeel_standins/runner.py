"""Stand-in of the platform's runner, which registers with the agent on its VM."""

from __future__ import annotations

import json
import threading
import time
from typing import Any

import attrs
import urllib3

from pollenkeel_kernel.core.clock import Clock, SystemClock
from pollenkeel_standins.base import Standin, parse_json
from pollenkeel_standins.faults import Faults
from pollenkeel_standins.runner_model import RunnerModel
from pollenkeel_standins.serving import Answer, DeliveryFault, Request, json_answer

_POLL_SECONDS = 0.02
#: Longest time that ``hold`` waits for an end, in milliseconds.
_MAX_WAIT_MS = 2000
_SLOTS = 8


class SkewedClock(Clock):
    """Clock with an offset and a rate error relative to the system clock.

    Parameters
    ----------
    offset : float
        Offset in seconds at the start.
    rate : float
        Seconds that it advances per second of the system clock.
    """

    def __init__(self, offset: float, rate: float) -> None:
        self._system_clock = SystemClock()
        self._started_at = self._system_clock.now()
        self._offset = offset
        self._rate = rate

    def now(self) -> float:
        """Return the skewed time in seconds."""
        return self.from_system_time(self._system_clock.now())

    def from_system_time(self, system_time: float) -> float:
        """Convert a time of the system clock to this clock."""
        return (
            system_time
            + self._offset
            + (self._rate - 1.0) * (system_time - self._started_at)
        )

    def to_system_time(self, skewed_time: float) -> float:
        """Convert a time of this clock to the system clock."""
        return (
            self._started_at
            + (skewed_time - self._offset - self._started_at) / self._rate
        )


@attrs.frozen
class RunnerOptions:
    """Settings of a runner.

    ``agent`` is the URL at which it registers; ``heartbeat`` (interval),
    ``first_heartbeat`` (time from the start to the first one) and ``clock_offset`` are
    in seconds; ``clock_rate`` is in seconds per second, ``cpu`` in thousandths of a
    core, ``memory`` in megabytes. ``labels`` are separated by commas.
    """

    id: str
    agent: str
    zone: str
    service: str = "desk"
    labels: str = "a,r1"
    cpu: int = 4000
    memory: int = 8000
    heartbeat: float = 0.3
    first_heartbeat: float = 0.3
    clock_offset: float = 0.0
    clock_rate: float = 1.0


class Runner(Standin):
    """Simulates runs of tasks and records them; no process is started for a task."""

    def __init__(self, options: RunnerOptions) -> None:
        super().__init__(Faults())
        self._options = options
        self._clock = SkewedClock(options.clock_offset, options.clock_rate)
        self._model = RunnerModel(self._clock)
        self._incarnation = time.time_ns() // 1_000_000
        self._heartbeat: dict[str, Any] = {}
        self._stop = threading.Event()

    def start(self, port: int, threads: int) -> str:
        """Start serving and sending heartbeats to the agent."""
        url = super().start(port, threads)
        threading.Thread(target=self._announce, args=(url,), daemon=True).start()
        return url

    def shut_down(self) -> None:
        """Stop the heartbeats and the server."""
        self._stop.set()
        super().shut_down()

    def record(self) -> dict[str, Any]:
        """Return what actually ran, and the latest heartbeat.

        Runs in progress have no end.
        """
        with self._model.lock:
            self._model.end_due_runs()
            running = [
                {"task": run.task, "run": run.run, "start": run.started_at}
                for run in self._model.runs_by_task.values()
            ]
            runs = [*self._model.record, *running]
        return {
            "runs": [self._to_system_time(run) for run in runs],
            "heartbeat": self._heartbeat,
        }

    def _to_system_time(self, run: dict[str, Any]) -> dict[str, Any]:
        """Return a run of the record with its times converted to the system clock."""
        times = {name: run[name] for name in ("start", "end") if name in run}
        return {**run, **{n: self._clock.to_system_time(at) for n, at in times.items()}}

    def serve(self, request: Request) -> Answer:
        """Handle an order of the agent.

        ``hold`` is a long poll: it waits up to ``WaitMs`` for a run to end. ``POST
        /crash`` ends the runner for all but its record, which is the answer.
        """
        if request.path == ["crash"]:
            self._stop.set()
            self._model.crash()
            return json_answer(self.record())
        answer = self._execute(request)
        if self._model.crashed:
            return Answer(503, cut=DeliveryFault.BREAK)
        return answer

    def _execute(self, request: Request) -> Answer:
        body = parse_json(request.body) or {}
        expected = request.headers.get("Pollenkeel-Expected-Instance", "")
        if expected not in ("", self._options.id):
            return self._answer({}, 421)
        verb = request.path[-1]
        if verb == "run-start":
            refusal = self._model.start(body)
        elif verb == "run-stop":
            refusal = self._model.stop(body)
        elif verb == "pace":
            refusal = ""
        else:
            refusal = self._model.hold(body)
        if refusal:
            return self._answer({"Reason": refusal}, 409)
        if verb != "hold":
            return self._answer({}, 200)
        ends_at = time.monotonic() + min(body.get("WaitMs", 0), _MAX_WAIT_MS) / 1000
        lists = self._model.list_runs()
        while not lists["Ended"] and time.monotonic() < ends_at:
            time.sleep(_POLL_SECONDS)
            lists = self._model.list_runs()
        return self._answer(lists, 200)

    def _answer(self, body: dict[str, Any], status: int) -> Answer:
        clock = {"ClockMs": self._model.now_ms(), "born": self._incarnation}
        return json_answer({**body, **clock}, status)

    def _announce(self, url: str) -> None:
        options = self._options
        pool = urllib3.PoolManager(retries=False, timeout=1.0)
        path = f"{options.agent}/api/instances/{options.id}/heartbeat"
        headers = {"Content-Type": "application/json"}
        sequence = 0
        delay = options.first_heartbeat
        while not self._stop.wait(delay):
            delay = options.heartbeat
            sequence += 1
            self._heartbeat = self._make_heartbeat(url, sequence)
            body = json.dumps(self._heartbeat)
            try:
                pool.request("POST", path, body=body, headers=headers)
            except urllib3.exceptions.HTTPError:
                # The agent may not be running yet; the next heartbeat follows soon.
                continue

    def _make_heartbeat(self, url: str, sequence: int) -> dict[str, Any]:
        options = self._options
        return {
            "Backend": options.service,
            "Address": url.partition("//")[2],
            "Zone": options.zone,
            "Version": "v1",
            "Slots": _SLOTS,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": options.cpu, "MemMb": options.memory, "Gpu": 0},
            "Labels": options.labels.split(","),
            "ClockMs": self._model.now_ms(),
            "Seq": sequence,
            "born": self._incarnation,
        }
