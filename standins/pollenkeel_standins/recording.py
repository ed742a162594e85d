"""Record of what actually ran on a stand-in."""

from __future__ import annotations

import json
import threading
from pathlib import Path
from typing import Any

import attrs

from pollenkeel_kernel.core.clock import SystemClock


@attrs.define
class Execution:
    """One run of a request or of a task attempt, or a rejected start.

    Attributes
    ----------
    name : str
        Attempt id of a request, or task id.
    vm : str
        VM on which it ran.
    start, end : float
        Times on the system clock; ``end`` is 0 while it runs.
    outcome : str
        How it ended; ``refused`` if it was rejected and did not run.
    attempt : int
        Attempt number of a task; 0 for requests.
    fields : dict
        Additional data, for example the idempotency key.
    """

    name: str
    vm: str
    start: float
    end: float = 0.0
    outcome: str = ""
    attempt: int = 0
    fields: dict[str, Any] = attrs.field(factory=dict)


class Recorder:
    """Collects executions and optionally writes them to a file as they happen.

    Parameters
    ----------
    vm : str
        VM of this stand-in.
    path : Path or None
        JSON lines file, which preserves the record if the process is killed.
    """

    def __init__(self, vm: str, path: Path | None = None) -> None:
        self._vm = vm
        self._clock = SystemClock()
        self._lock = threading.Lock()
        self._executions: list[Execution] = []
        self._file = path.open("a", buffering=1) if path is not None else None

    def now(self) -> float:
        """Return the system time in seconds since the Unix epoch."""
        return self._clock.now()

    def begin(self, name: str, attempt: int = 0, **fields: Any) -> Execution:
        """Record the start of a run."""
        execution = Execution(
            name, self._vm, self.now(), attempt=attempt, fields=fields
        )
        with self._lock:
            self._executions.append(execution)
        self._append(execution)
        return execution

    def finish(self, execution: Execution, outcome: str, end: float = 0.0) -> None:
        """Record the end of a run.

        Parameters
        ----------
        execution : Execution
            Return value of ``begin``.
        outcome : str
            How it ended.
        end : float
            Time of the end on the system clock; 0 for now.
        """
        execution.outcome = outcome
        execution.end = end or self.now()
        self._append(execution)

    def refuse(self, name: str, attempt: int = 0, **fields: Any) -> None:
        """Record a request or attempt that was rejected and did not run."""
        now = self.now()
        execution = Execution(name, self._vm, now, now, "refused", attempt, fields)
        with self._lock:
            self._executions.append(execution)
        self._append(execution)

    def list(self) -> list[dict[str, Any]]:
        """Return all executions as JSON types."""
        with self._lock:
            return [attrs.asdict(execution) for execution in self._executions]

    def _append(self, execution: Execution) -> None:
        if self._file is not None:
            self._file.write(json.dumps(attrs.asdict(execution)) + "\n")


def read_record(path: Path, ended_at: float = 0.0) -> list[Execution]:
    """Read a record file.

    Parameters
    ----------
    path : Path
        File written by ``Recorder``.
    ended_at : float
        Time at which the process ended; runs without an end count as killed then.
        0 if the process still runs.

    Returns
    -------
    list[Execution]
        Executions in the order of their starts. Each is written at its start and at its
        end; the last line counts. A partial last line is ignored.
    """
    executions_by_key: dict[tuple[str, int, float], Execution] = {}
    for line in path.read_text().splitlines(keepends=True):
        if not line.endswith("\n"):
            continue
        execution = Execution(**json.loads(line))
        key = (execution.name, execution.attempt, execution.start)
        executions_by_key[key] = execution
    for execution in executions_by_key.values():
        if ended_at and not execution.end and execution.start <= ended_at:
            execution.end, execution.outcome = ended_at, "killed"
    return sorted(executions_by_key.values(), key=lambda e: e.start)
