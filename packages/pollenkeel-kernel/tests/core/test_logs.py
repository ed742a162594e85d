"""Guards against logs that block the process or use unbounded memory."""

import json
import os

import logbook

from pollenkeel_kernel.core.logs import LineWriter, StructuredHandler, log_change
from pollenkeel_standins.processes import wait_until

LOGGER = logbook.Logger("test")


def test_line_has_the_fields_of_the_event():
    """Guards against lines without the ids that on-call engineers search for."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    with StructuredHandler("entry-1", "INFO", writer).applicationbound():
        log_change(LOGGER, "job accepted", job="j1", new=True)
    writer.flush()
    line = json.loads(os.read(reader, 10_000))
    assert (line["event"], line["job"], line["process"]) == (
        "job accepted",
        "j1",
        "entry-1",
    )


def test_reader_that_stops_reading_does_not_block():
    """Guards against a full pipe blocking the logging thread and the locks it holds."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    line = "x" * 1000
    for _ in range(20_000):
        writer.write(line)
    assert writer.dropped > 10_000
    found = b""

    def read_report():
        nonlocal found
        found += os.read(reader, 1_000_000)
        return b"lines dropped" in found

    assert wait_until(read_report, 30.0, "the count of dropped lines")
