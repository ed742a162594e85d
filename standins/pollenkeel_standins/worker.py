"""Stand-in of a VM's worker: simulates task attempts by timers, under leases."""

from __future__ import annotations

import json
import threading
from pathlib import Path
from typing import Any
from urllib.parse import quote

import attrs
import cattrs
import urllib3
from result import Err, Ok, Result

from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.core.settings import make_strict_converter
from pollenkeel_standins.base import Standin, parse_json
from pollenkeel_standins.faults import Faults
from pollenkeel_standins.recording import Recorder
from pollenkeel_standins.serving import Answer, Request, json_answer
from pollenkeel_standins.tasks import StartOrder, Task, parse_command

_CONVERTER = make_strict_converter()
_TICK_SECONDS = 0.02
_STORE_TIMEOUT_SECONDS = 2.0
_CHECKPOINT_TIMEOUT_SECONDS = 10.0

TaskKey = tuple[str, int]


@attrs.frozen
class WorkerFaults(Faults):
    """Fault switches of a worker.

    Attributes
    ----------
    fail_starts : bool
        Reject every start with status 500.
    fail_tasks : bool
        End every running task as failed.
    usage_factor : float
        Actual usage of each task as a multiple of its declared size.
    """

    fail_starts: bool = False
    fail_tasks: bool = False
    usage_factor: float = 1.0


@attrs.frozen
class WorkerOptions:
    """Options of a worker.

    Attributes
    ----------
    vm : str
        VM that the worker belongs to.
    size : Resources
        Size of the VM.
    object_store : str
        Base URL of the platform; if empty, checkpoints cannot be written.
    clock_offset : float
        Offset of the worker's clock from the system clock, in seconds.
    usage_lag : float
        Age of the reported usage in seconds.
    record_file : Path or None
        File that keeps the record when the worker is killed.
    """

    vm: str
    size: Resources
    object_store: str = ""
    clock_offset: float = 0.0
    usage_lag: float = 2.0
    record_file: Path | None = None


@attrs.frozen
class _Lease:
    task_id: str
    attempt: int
    lease_until: float


@attrs.frozen
class _Leases:
    leases: list[_Lease]


@attrs.frozen
class _Checkpoint:
    key: str
    stop: bool = False


@attrs.frozen
class _Throttle:
    share: float = attrs.field(
        validator=[attrs.validators.ge(0.0), attrs.validators.le(1.0)]
    )


class Worker(Standin):
    """Stand-in of the platform's worker on one VM.

    Parameters
    ----------
    options : WorkerOptions
        Size, clock and reporting.
    usage_factor : float
        Initial value of the switch ``usage_factor``.
    """

    def __init__(self, options: WorkerOptions, usage_factor: float = 1.0) -> None:
        super().__init__(WorkerFaults(usage_factor=usage_factor))
        self._options = options
        self._recorder = Recorder(options.vm, options.record_file)
        self._store = _ObjectStore(options.object_store)
        self._changed = threading.Condition()
        self._tasks_by_key: dict[TaskKey, Task] = {}
        self._answers_by_key: dict[TaskKey, Answer] = {}
        threading.Thread(target=self._run_tasks, daemon=True).start()

    def record(self) -> dict[str, Any]:
        """Return the executions, including rejected starts."""
        return {"vm": self._options.vm, "executions": self._recorder.list()}

    def serve(self, request: Request) -> Answer:
        """Handle a request of the worker interface."""
        body = parse_json(request.body) if request.body else None
        match request.method, request.path:
            case "GET", ["v1", "tasks"]:
                return self._list()
            case "POST", ["v1", "leases"]:
                return self._renew(body)
        if len(request.path) < 4 or request.path[:2] != ["v1", "tasks"]:
            return self._reply(404, detail="no such path")
        task_id, attempt, *action = request.path[2:]
        if not attempt.isdecimal():
            return self._reply(400, detail=f"attempt {attempt!r} is not a number")
        key = (task_id, int(attempt))
        match request.method, action:
            case "PUT", []:
                return self._start(key, body)
            case "DELETE", []:
                return self._delete(key)
            case "POST", ["checkpoint"]:
                return self._checkpoint(key, body)
            case "POST", ["throttle"]:
                return self._throttle(key, body)
            case "POST", ["stop"]:
                return self._stop(key)
        return self._reply(404, detail="no such path")

    def _now(self) -> float:
        return self._recorder.now() + self._options.clock_offset

    def _reply(self, status: int, **fields: Any) -> Answer:
        return json_answer({"now": self._now(), **fields}, status)

    def _reply_with_task(self, status: int, task: Task) -> Answer:
        return self._reply(status, **self._describe(task))

    def _describe(self, task: Task) -> dict[str, Any]:
        factor = self.switches.current.usage_factor
        return task.describe(self._now(), self._options.usage_lag, factor)

    def _run_tasks(self) -> None:
        while True:
            with self._changed:
                self._advance()
                self._changed.wait(_TICK_SECONDS)

    def _advance(self) -> None:
        now = self._now()
        fail = self.switches.current.fail_tasks
        for task in [t for t in self._tasks_by_key.values() if t.running]:
            ended_at = task.advance(now)
            if ended_at is None and fail:
                task.state, task.detail, ended_at = "failed", "worker fault", now
            if ended_at is not None:
                self._record_end(task, ended_at)

    def _record_end(self, task: Task, at: float) -> None:
        end = at - self._options.clock_offset
        self._recorder.finish(task.execution, task.state, end)
        self._changed.notify_all()

    def _list(self) -> Answer:
        with self._changed:
            self._advance()
            tasks = [self._describe(task) for task in self._tasks_by_key.values()]
        return self._reply(200, tasks=tasks)

    def _start(self, key: TaskKey, body: Any) -> Answer:
        order = _structure(body, StartOrder)
        if isinstance(order, Err):
            return self._reply(400, detail=order.err_value)
        progress = self._read_checkpoint(order.ok_value.checkpoint_key)
        with self._changed:
            self._advance()
            # Starts are idempotent: a repeated order gets the first decision.
            if key not in self._answers_by_key:
                self._answers_by_key[key] = self._admit(key, order.ok_value, progress)
                return self._answers_by_key[key]
            first = self._answers_by_key[key]
        if first.status == 201:
            return self._reply(200, detail="accepted before")
        return self._reply(first.status, detail="refused before")

    def _admit(
        self, key: TaskKey, order: StartOrder, progress: Result[float, str]
    ) -> Answer:
        now = self._now()
        if now >= order.start_before:
            return self._refuse(key, 410, "start_before has passed")
        running = [task for task in self._tasks_by_key.values() if task.running]
        if any(task.task_id == key[0] for task in running):
            return self._refuse(key, 409, "another attempt is running")
        used = sum((task.order.resources for task in running), Resources())
        if not order.resources.fits_in(self._options.size - used):
            return self._refuse(key, 409, "does not fit")
        command = parse_command(order.command)
        if isinstance(command, Err):
            return self._refuse(key, 500, command.err_value)
        if isinstance(progress, Err):
            return self._refuse(key, 500, progress.err_value)
        if self.switches.current.fail_starts:
            return self._refuse(key, 500, "set to fail starts")
        execution = self._recorder.begin(
            *key,
            team=order.team,
            kind=order.kind,
            resources=attrs.asdict(order.resources),
            resumed_seconds=progress.ok_value,
        )
        self._tasks_by_key[key] = Task(
            task_id=key[0],
            attempt=key[1],
            order=order,
            command=command.ok_value,
            execution=execution,
            done_seconds=progress.ok_value,
            started_at=now,
            advanced_at=now,
            lease_until=order.lease_until,
            checkpoint_key=order.checkpoint_key,
        )
        return self._reply(201)

    def _refuse(self, key: TaskKey, status: int, detail: str) -> Answer:
        self._recorder.refuse(*key, status=status, detail=detail)
        return self._reply(status, detail=detail)

    def _read_checkpoint(self, checkpoint_key: str) -> Result[float, str]:
        if not checkpoint_key:
            return Ok(0.0)
        return self._store.get(checkpoint_key).and_then(_parse_checkpoint)

    def _renew(self, body: Any) -> Answer:
        leases = _structure(body, _Leases)
        if isinstance(leases, Err):
            return self._reply(400, detail=leases.err_value)
        renewed = 0
        with self._changed:
            self._advance()
            for lease in leases.ok_value.leases:
                task = self._tasks_by_key.get((lease.task_id, lease.attempt))
                if task is not None and task.running:
                    task.lease_until = max(task.lease_until, lease.lease_until)
                    renewed += 1
        return self._reply(200, renewed=renewed)

    def _checkpoint(self, key: TaskKey, body: Any) -> Answer:
        order = _structure(body, _Checkpoint)
        if isinstance(order, Err):
            return self._reply(400, detail=order.err_value)
        target, stop = order.ok_value.key, order.ok_value.stop
        with self._changed:
            self._advance()
            task = self._tasks_by_key.get(key)
            if task is None:
                return self._reply(404, detail="no such attempt")
            # A repeated order waits for the checkpoint in progress and returns its
            # result.
            if not self._changed.wait_for(
                lambda: not task.checkpointing, _CHECKPOINT_TIMEOUT_SECONDS
            ):
                return self._reply(503, detail="a checkpoint is under way")
            if not task.running:
                already_evicted = (
                    task.state == "evicted" and task.checkpoint_key == target
                )
                return self._reply_with_task(200 if already_evicted else 409, task)
            task.checkpointing, task.paused = True, stop
            content = json.dumps({"done_seconds": task.done_seconds}).encode()
        stored = self._store.put(target, content)
        with self._changed:
            # If the task was paused, the time of the write does not count as progress.
            self._advance()
            task.checkpointing = task.paused = False
            self._changed.notify_all()
            if isinstance(stored, Err):
                return self._reply(503, detail=stored.err_value)
            task.checkpoint_key = target
            if stop and task.running:
                self._end(task, "evicted", "checkpointed and stopped")
            return self._reply_with_task(200, task)

    def _throttle(self, key: TaskKey, body: Any) -> Answer:
        order = _structure(body, _Throttle)
        if isinstance(order, Err):
            return self._reply(400, detail=order.err_value)
        with self._changed:
            self._advance()
            task = self._tasks_by_key.get(key)
            if task is None:
                return self._reply(404, detail="no such attempt")
            task.share = order.ok_value.share
            task.shares.append((self._now(), task.share))
            return self._reply_with_task(200, task)

    def _stop(self, key: TaskKey) -> Answer:
        with self._changed:
            self._advance()
            task = self._tasks_by_key.get(key)
            if task is None:
                return self._reply(404, detail="no such attempt")
            if task.running:
                self._end(task, "stopped", "stopped on request")
            return self._reply_with_task(200, task)

    def _end(self, task: Task, state: str, detail: str) -> None:
        task.state, task.detail = state, detail
        self._record_end(task, self._now())

    def _delete(self, key: TaskKey) -> Answer:
        with self._changed:
            self._advance()
            task = self._tasks_by_key.get(key)
            if task is not None and task.running:
                return self._reply(409, detail="the attempt is running")
            self._tasks_by_key.pop(key, None)
        return self._reply(200)


class _ObjectStore:
    """Client of the platform's object store.

    Parameters
    ----------
    url : str
        Base URL of the platform; every call fails if it is empty.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(
            maxsize=8,
            retries=False,
            timeout=urllib3.Timeout(total=_STORE_TIMEOUT_SECONDS),
        )

    def get(self, key: str) -> Result[bytes, str]:
        return self._call("GET", key, None)

    def put(self, key: str, content: bytes) -> Result[bytes, str]:
        return self._call("PUT", key, content)

    def _call(self, method: str, key: str, body: bytes | None) -> Result[bytes, str]:
        url = f"{self._url}/objects/{quote(key, safe='')}"
        try:
            response = self._pool.request(method, url, body=body)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Err(f"object store: {type(error).__name__}")
        if response.status != 200:
            return Err(f"object store: HTTP {response.status} for {key!r}")
        return Ok(response.data)


def _parse_checkpoint(content: bytes) -> Result[float, str]:
    parsed = parse_json(content)
    if not isinstance(parsed, dict) or "done_seconds" not in parsed:
        return Err("the checkpoint is damaged")
    return Ok(float(parsed["done_seconds"]))


def _structure(body: Any, target: type[Any]) -> Result[Any, str]:
    try:
        return Ok(_CONVERTER.structure(body, target))
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = "; ".join(cattrs.transform_error(error))
        return Err(f"malformed: {faults}")
