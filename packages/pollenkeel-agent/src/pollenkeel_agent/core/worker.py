"""HTTP client of the platform's worker on this VM."""

from __future__ import annotations

import enum
import json
import sys
import threading
from typing import Any
from urllib.parse import quote

import attrs
import cattrs
import urllib3
from result import Err, Ok, Result

from pollenkeel_agent.core.metrics import WORKER_CALLS
from pollenkeel_agent.core.site import ClockOffset
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources, TaskKey, TaskStart
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import register_strict_lists

#: Shorter than the time in which an owner expects the reply to its exchange.
_CALL_TIMEOUT_SECONDS = 2.0
#: The call returns only after the checkpoint has been written to the object store,
#: which takes long for a large task.
_CHECKPOINT_TIMEOUT_SECONDS = 30.0
_converter = cattrs.Converter()


def _is_number(value: Any) -> bool:
    # A deadline computed from NaN or infinity would never expire.
    return type(value) in (int, float) and abs(value) <= sys.float_info.max


def _structure_number(value: Any, target: type) -> Any:
    if not _is_number(value):
        raise TypeError(f"expected a finite number, got {value!r:.40}")
    return target(value)


def _structure_text(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {value!r:.40}")
    return value


for _kind in (int, float):
    _converter.register_structure_hook(_kind, _structure_number)
_converter.register_structure_hook(str, _structure_text)
register_strict_lists(_converter)


class StartResult(enum.Enum):
    """What is known about a start after the call to the worker.

    ``UNKNOWN`` means that the worker may have started the attempt or may still do so.
    """

    STARTED = "started"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class StartOutcome:
    """Result of a start, with code and detail unless it was started."""

    result: StartResult
    code: Code = Code.OK
    detail: str = ""


@attrs.frozen
class WorkerTask:
    """One attempt in the worker's list.

    ``resources`` is the declared and ``usage`` the measured use; ``lease_until`` is on
    the worker's clock.
    """

    task_id: str
    attempt: int
    state: str
    kind: str = ""
    resources: Resources = attrs.field(factory=Resources)
    usage: Resources = attrs.field(factory=Resources)
    progress: float = 0.0
    checkpoint_key: str = ""
    detail: str = ""
    lease_until: float = 0.0

    @property
    def key(self) -> TaskKey:
        """Key of the attempt."""
        return TaskKey(self.task_id, self.attempt)


@attrs.frozen
class WorkerList:
    """The worker's attempts and the time, on its clock, at which it listed them."""

    now: float
    tasks: list[WorkerTask]


#: HTTP statuses with which the worker states that it did not start the attempt.
_CODES_BY_REFUSED_STATUS = {
    409: Code.VM_FULL,
    410: Code.START_EXPIRED,
    500: Code.WORKER_UNAVAILABLE,
}


class WorkerClient:
    """Client that converts deadlines from this process's clock to the worker's.

    Parameters
    ----------
    url : str
        Base URL of the worker.
    clock : Clock
        Clock of this process.
    call_timeout : float
        Time-out in seconds of all calls except checkpoints.
    """

    def __init__(
        self, url: str, clock: Clock, call_timeout: float = _CALL_TIMEOUT_SECONDS
    ) -> None:
        self._url = url.rstrip("/")
        self._clock = clock
        self._call_timeout = call_timeout
        self._lock = threading.Lock()
        self._offset: ClockOffset | None = None
        self._pool = urllib3.PoolManager(maxsize=16, retries=False)

    def list_tasks(self) -> Result[WorkerList, Refusal]:
        """Return the worker's attempts.

        Returns
        -------
        Result[WorkerList, Refusal]
            ``Code.WORKER_UNAVAILABLE`` if the worker cannot be reached or its answer is
            an error or an invalid list; ``Code.NO_REPLY`` if the answer is missing,
            incomplete or not JSON.
        """
        answered = self._call("list", "GET", "/v1/tasks")
        if isinstance(answered, Err):
            return answered
        status, content = answered.ok_value
        if status != 200:
            return Err(Refusal(Code.WORKER_UNAVAILABLE, f"list: HTTP {status}"))
        try:
            worker_list = _converter.structure(_drop_nulls(content), WorkerList)
            return _validate_resources(worker_list)
        except (cattrs.BaseValidationError, TypeError, ValueError, KeyError) as error:
            detail = f"list: {type(error).__name__}"
            return Err(Refusal(Code.WORKER_UNAVAILABLE, detail))

    def start(self, start: TaskStart, start_before: float) -> StartOutcome:
        """Start an attempt.

        Parameters
        ----------
        start : TaskStart
            Start order of the shard owner.
        start_before : float
            Latest time at which the attempt may start. This and ``start.lease_until``
            are treated as times on this process's clock and converted to the worker's.
        """
        body = {
            "kind": start.kind,
            "team": start.team,
            "command": start.command,
            "resources": attrs.asdict(start.resources),
            "checkpoint_key": start.checkpoint_key,
            "start_before": self.to_worker_time(start_before),
            "lease_until": self.to_worker_time(start.lease_until),
        }
        path = _task_path(TaskKey(start.task_id, start.attempt))
        answered = self._call("start", "PUT", path, body)
        if isinstance(answered, Err):
            refusal = answered.err_value
            sent = refusal.code is not Code.WORKER_UNAVAILABLE
            result = StartResult.UNKNOWN if sent else StartResult.REFUSED
            return StartOutcome(result, refusal.code, refusal.detail)
        status, content = answered.ok_value
        if status in (200, 201):
            return StartOutcome(StartResult.STARTED)
        detail = f"HTTP {status}: {content.get('detail', '')}"
        code = _CODES_BY_REFUSED_STATUS.get(status)
        if code is None:
            return StartOutcome(StartResult.UNKNOWN, Code.NO_REPLY, detail)
        return StartOutcome(StartResult.REFUSED, code, detail)

    def renew(self, lease_until_by_key: dict[TaskKey, float]) -> bool:
        """Renew leases and return whether the worker confirmed the renewal."""
        leases = [
            {**attrs.asdict(key), "lease_until": self.to_worker_time(lease_until)}
            for key, lease_until in lease_until_by_key.items()
        ]
        return self._call_succeeds("renew", "POST", "/v1/leases", {"leases": leases})

    def checkpoint(self, key: TaskKey, checkpoint_key: str, stop: bool) -> bool:
        """Have the worker write a checkpoint and, if ``stop`` is true, stop the task.

        Returns whether the worker confirmed it.
        """
        return self._call_succeeds(
            "checkpoint",
            "POST",
            f"{_task_path(key)}/checkpoint",
            {"key": checkpoint_key, "stop": stop},
            _CHECKPOINT_TIMEOUT_SECONDS,
        )

    def throttle(self, key: TaskKey, share: float) -> bool:
        """Limit a task to a share of its cores, given as a fraction from 0 to 1.

        Returns whether the worker confirmed it.
        """
        path = f"{_task_path(key)}/throttle"
        return self._call_succeeds("throttle", "POST", path, {"share": share})

    def stop(self, key: TaskKey) -> bool:
        """Stop an attempt and return whether the worker confirmed the stop."""
        return self._call_succeeds("stop", "POST", f"{_task_path(key)}/stop", {})

    def forget(self, key: TaskKey) -> bool:
        """Delete an ended attempt from the worker.

        Returns true also if the attempt does not exist on the worker.
        """
        answered = self._call("forget", "DELETE", _task_path(key))
        return answered.map_or(False, lambda a: a[0] in (200, 204, 404))

    def to_worker_time(self, deadline: float) -> float:
        """Convert a deadline to the worker's clock, never to a later point in time.

        Raises
        ------
        RuntimeError
            If the worker's clock has not been measured yet.
        """
        with self._lock:
            if self._offset is None:
                raise RuntimeError("the worker's clock has not been measured")
            return deadline + self._offset.lowest

    @property
    def clock_measured(self) -> bool:
        """Whether the offset of the worker's clock has been measured."""
        with self._lock:
            return self._offset is not None

    def _call_succeeds(
        self,
        operation: str,
        method: str,
        path: str,
        body: dict[str, Any],
        timeout_seconds: float | None = None,
    ) -> bool:
        answered = self._call(operation, method, path, body, timeout_seconds)
        return answered.map_or(False, lambda a: 200 <= a[0] < 300)

    def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_seconds: float | None = None,
    ) -> Result[tuple[int, dict[str, Any]], Refusal]:
        """Return the HTTP status and the JSON object of the answer.

        Also updates the clock offset from ``now`` in the answer, except after a
        checkpoint.

        Returns
        -------
        Result[tuple[int, dict[str, Any]], Refusal]
            ``Code.WORKER_UNAVAILABLE`` if nothing was sent, ``Code.NO_REPLY`` if the
            answer is missing, incomplete or not JSON; the request may then have been
            executed.
        """
        sent = self._clock.now()
        try:
            response = self._pool.request(
                method,
                self._url + path,
                json=body,
                timeout=urllib3.Timeout(total=timeout_seconds or self._call_timeout),
                redirect=False,
            )
            content = json.loads(response.data) if response.data else {}
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _call_failure(operation, Code.WORKER_UNAVAILABLE, error)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            ValueError,
            RecursionError,
        ) as error:
            return _call_failure(operation, Code.NO_REPLY, error)
        WORKER_CALLS.labels(operation, response.status).inc()
        if not isinstance(content, dict):
            content = {}
        # A checkpoint takes long, so its bounds on the clock offset would be too wide.
        measured = operation != "checkpoint"
        if measured and _is_number(content.get("now")):
            offset = ClockOffset.measure(sent, content["now"], self._clock.now())
            with self._lock:
                self._offset = offset
        return Ok((response.status, content))


def _validate_resources(worker_list: WorkerList) -> Result[WorkerList, Refusal]:
    """Refuse a list that contains negative resources."""
    for task in worker_list.tasks:
        for amount in (task.resources, task.usage):
            if not Resources().fits_in(amount):
                detail = f"list: {task.key} has negative resources: {amount}"
                return Err(Refusal(Code.WORKER_UNAVAILABLE, detail))
    return Ok(worker_list)


def _drop_nulls(value: Any) -> Any:
    """Remove null fields, so that the defaults apply."""
    if isinstance(value, dict):
        return {k: _drop_nulls(v) for k, v in value.items() if v is not None}
    if isinstance(value, list):
        return [_drop_nulls(item) for item in value]
    return value


def _task_path(key: TaskKey) -> str:
    return f"/v1/tasks/{quote(key.task_id, safe='')}/{key.attempt}"


def _call_failure(operation: str, code: Code, error: Exception) -> Err[Refusal]:
    WORKER_CALLS.labels(operation, 0).inc()
    return Err(Refusal(code, f"{operation}: {type(error).__name__}"))
