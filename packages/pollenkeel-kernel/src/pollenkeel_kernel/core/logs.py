"""Structured logs on standard output: one JSON object a line, bounded, never blocking.

A line stands for a decision that touches a request, or for a change of what the process
believes. Lines are handed to a thread that writes them, so that a reader that has
stopped reading never stops the process; what does not fit is dropped and counted.
"""

from __future__ import annotations

import json
import os
import threading
from collections import deque
from typing import Any

import logbook

_RESERVED_FIELDS = {"time", "level", "channel", "event"}
#: Lines that wait to be written; above that new lines are dropped.
_MAX_QUEUED_LINES = 4000
#: Lines a second that are written at most.
_MAX_LINES_PER_SECOND = 2000
#: Seconds between two writes, so that lines of a burst share a call.
_WRITE_INTERVAL_SECONDS = 0.1
#: Longest wait for the last lines when a process stops, in seconds.
_FLUSH_TIMEOUT_SECONDS = 0.5


class LineWriter:
    """Writes lines to a file descriptor from a thread of its own.

    Parameters
    ----------
    descriptor : int
        Where to write; it may block.

    Attributes
    ----------
    dropped : int
        Lines that were dropped so far.
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
        """Hand a line over, or drop it if too many wait."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._all_written.clear()
        self._wake.set()

    def flush(self) -> None:
        """Wait shortly until all lines are written."""
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
        Identity of the process, added to each line.
    level : str
        Lowest level that is written, for example ``"INFO"``.
    writer : LineWriter
        Takes the lines.
    """

    def __init__(self, process: str, level: str, writer: LineWriter) -> None:
        super().__init__(level=level, bubble=False)
        self._process = process
        self._writer = writer

    def emit(self, record: Any) -> None:
        """Hand the line of a record to the writer."""
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
        Identity of the process.
    level : str
        Lowest level that is written.

    Returns
    -------
    LineWriter
        Takes the lines; to be flushed before the process ends.
    """
    writer = LineWriter(1)
    StructuredHandler(process, level, writer).push_application()
    return writer


def log_change(logger: logbook.Logger, event: str, **fields: Any) -> None:
    """Write one line for a decision or a change of state.

    Parameters
    ----------
    logger : logbook.Logger
        Logger of the module.
    event : str
        What changed, in a few words.
    **fields
        Values of the change, written as JSON members.
    """
    logger.info(event, extra=fields)
