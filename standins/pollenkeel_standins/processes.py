"""Processes that are started by tests, benchmarks and the demo."""

from __future__ import annotations

import ctypes
import json
import os
import signal
import subprocess
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

T = TypeVar("T")

_READY_SECONDS = 30.0
_STOP_SECONDS = 40.0
_POLL_SECONDS = 0.02
_LOG_TAIL_BYTES = 2000
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
#: Starts all processes. PR_SET_PDEATHSIG takes effect when the thread that started the
#: process ends, so this has to be a thread that lasts as long as the interpreter.
_SPAWNER = ThreadPoolExecutor(max_workers=1, thread_name_prefix="spawner")


def wait_until(condition: Callable[[], T], limit: float, description: str = "") -> T:
    """Wait until a condition returns a true value.

    Parameters
    ----------
    condition : callable
        Called repeatedly.
    limit : float
        Time-out in seconds.
    description : str
        Description of the condition for the error message.

    Returns
    -------
    object
        Value of the condition.

    Raises
    ------
    TimeoutError
        If the condition does not hold within the limit.
    """
    ends_at = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= ends_at:
            raise TimeoutError(f"not within {limit} s: {description or condition!r}")
        time.sleep(_POLL_SECONDS)


class ManagedProcess:
    """One started process.

    Parameters
    ----------
    name : str
        Name of the process and of its log files.
    command : list of str
        Program and arguments.
    directory : Path
        Directory of the log files.
    """

    def __init__(self, name: str, command: list[str], directory: Path) -> None:
        self.name = name
        self.command = command
        self.ready: dict[str, Any] = {}
        self.ended_at = 0.0
        self._output = directory / f"{name}.out"
        self._log = directory / f"{name}.log"
        self._popen = _SPAWNER.submit(self._spawn).result()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not ended; true also if it is frozen."""
        return self._popen.poll() is None

    @property
    def url(self) -> str:
        """Base URL of the process's HTTP server."""
        return self._find_address("http://")

    @property
    def peer_address(self) -> str:
        """``tcp://`` address at which peers connect to the process."""
        return self._find_address("tcp://")

    def wait_ready(self, limit: float = _READY_SECONDS) -> None:
        """Wait until the process prints its ready line.

        Raises
        ------
        RuntimeError
            If the process ends first; the message has the end of its log.
        """
        line = wait_until(self._read_ready_line, limit, f"{self.name} is ready")
        self.ready = json.loads(line)

    def log_tail(self) -> str:
        """Return the end of the process's standard error output."""
        return self._log.read_bytes()[-_LOG_TAIL_BYTES:].decode(errors="replace")

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the structured lines that the process has logged."""
        lines = self._output.read_text().splitlines()
        lines += self._log.read_text(errors="replace").splitlines()
        # The last line may be incomplete.
        complete_lines = (
            line for line in lines if line.startswith("{") and line.endswith("}")
        )
        return [json.loads(line) for line in complete_lines]

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Send SIGHUP."""
        if self.alive:
            self._popen.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """End the process with SIGKILL and reap it."""
        if self.alive:
            self._popen.kill()
            self._popen.wait()
            self.ended_at = time.time()

    def terminate(self) -> None:
        """Send SIGTERM and return at once."""
        if self.alive:
            self._popen.terminate()

    def wait(self, limit: float = _STOP_SECONDS) -> int:
        """Wait for the end of the process and return its exit status.

        Raises
        ------
        TimeoutError
            If the process still runs after the limit; it is then killed.
        """
        try:
            status = self._popen.wait(limit)
        except subprocess.TimeoutExpired:
            self.kill()
            raise TimeoutError(f"{self.name} did not stop in {limit} s") from None
        self.ended_at = self.ended_at or time.time()
        return status

    def stop(self, limit: float = _STOP_SECONDS) -> int:
        """Send SIGTERM, wait for the end and return the exit status."""
        self.terminate()
        return self.wait(limit)

    def _spawn(self) -> subprocess.Popen[bytes]:
        parent = os.getpid()

        def end_with_parent() -> None:
            _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                os._exit(1)

        with self._output.open("wb") as output, self._log.open("ab") as log:
            return subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def _read_ready_line(self) -> str:
        lines = self._output.read_text().splitlines(keepends=True)
        for line in lines:
            if line.endswith("\n") and line.startswith('{"event": "ready"'):
                return line
        if not self.alive:
            raise RuntimeError(
                f"{self.name} ended with {self._popen.returncode} before it was"
                f" ready: {self.log_tail()}"
            )
        return ""

    def _find_address(self, scheme: str) -> str:
        for value in self.ready.values():
            if isinstance(value, str) and value.startswith(scheme):
                return value
        raise LookupError(f"{self.name} gave no {scheme} address: {self.ready}")
