"""Structured logs on standard output: one JSON object per line, bounded, non-blocking.

Each line records a decision about a request or a change of state. A background thread
writes the lines, so a log reader that stops reading never blocks the process; lines
that exceed the queue limit are dropped and counted.
"""

from __future__ import annotations

import json
import os
import threading
from collections import deque
from typing import Any

import logbook

_RESERVED_FIELDS = {"time", "level", "channel", "event"}
#: Maximum number of queued lines; further lines are dropped.
_MAX_QUEUED_LINES = 4000
#: Maximum write rate; bounds the log volume.
_MAX_LINES_PER_SECOND = 2000
#: Time between two writes, so that the lines of a burst share a system call.
_WRITE_INTERVAL_SECONDS = 0.1
#: Maximum time to wait for queued lines when a process stops.
_FLUSH_TIMEOUT_SECONDS = 0.5


class LineWriter:
    """Writes lines to a file descriptor from a background thread.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; writes to it may block.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        self._reported_drops = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._all_written.clear()
        self._wake.set()

    def flush(self) -> None:
        """Wait for a limited time until all queued lines are written."""
        self._all_written.wait(_FLUSH_TIMEOUT_SECONDS)

    def _run(self) -> None:
        pause = threading.Event()
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_queued()
            if not self._lines:
                self._all_written.set()
            pause.wait(_WRITE_INTERVAL_SECONDS)

    def _write_queued(self) -> None:
        max_lines = int(_MAX_LINES_PER_SECOND * _WRITE_INTERVAL_SECONDS)
        lines = [self._lines.popleft() for _ in range(min(max_lines, len(self._lines)))]
        if self.dropped > self._reported_drops:
            self._reported_drops = self.dropped
            lines.append(json.dumps({"event": "lines dropped", "total": self.dropped}))
        if self._lines:
            self._wake.set()
        text = "".join(line + "\n" for line in lines).encode()
        while text:
            try:
                text = text[os.write(self._descriptor, text) :]
            except OSError:
                self.dropped += len(lines)
                return


class StructuredHandler(logbook.Handler):
    """Formats each record as one JSON object.

    Parameters
    ----------
    process : str
        Id of the process, added to each line.
    level : str
        Minimum level, for example ``"INFO"``.
    writer : LineWriter
        Receives the formatted lines.
    """

    def __init__(self, process: str, level: str, writer: LineWriter) -> None:
        super().__init__(level=level, bubble=False)
        self._process = process
        self._writer = writer

    def emit(self, record: Any) -> None:
        """Format a record and queue it for writing."""
        self._writer.write(self.format(record))

    def format(self, record: Any) -> str:
        """Return the record as one line of JSON."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "process": self._process,
            "event": record.message,
        }
        line.update(
            {k: v for k, v in record.extra.items() if k not in _RESERVED_FIELDS}
        )
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        return json.dumps(line, default=str)


def setup_logging(process: str, level: str) -> LineWriter:
    """Install the structured handler for the whole process.

    Parameters
    ----------
    process : str
        Id of the process.
    level : str
        Minimum level.

    Returns
    -------
    LineWriter
        Writer of the log lines; flush it before the process exits.
    """
    writer = LineWriter(1)
    StructuredHandler(process, level, writer).push_application()
    return writer


def log_change(logger: logbook.Logger, event: str, **fields: Any) -> None:
    """Log a decision or a change of state at level INFO.

    Parameters
    ----------
    logger : logbook.Logger
        Logger of the module.
    event : str
        Short description of the event.
    **fields
        Details of the event, written as JSON fields.
    """
    logger.info(event, extra=fields)
