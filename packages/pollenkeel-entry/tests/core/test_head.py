"""Tests of the head watcher: versions in force, drains and start permits."""

import threading

import attrs
import logbook
import pytest

from pollenkeel_entry.core.head import HeadWatcher
from pollenkeel_kernel import ManualClock, SystemClock
from pollenkeel_kernel.config import ConfigDocument, encode_document
from pollenkeel_kernel.config.head import (
    KEY,
    TABLE,
    ChangeRequest,
    accept,
    drain,
    undrain,
)
from pollenkeel_kernel.core.messages import ConfigSnapshot
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_standins.memory_backend import MemoryBackend

BASE = {
    "data_centres": {
        "kingston": {"region": "jm", "site": "east"},
        "may-pen": {"region": "jm", "site": "east"},
    }
}
OVERLAY = {"services": {"desk": {"promised_time": 1}}}
DOCUMENT = ConfigDocument(BASE, {"east": OVERLAY})
SETTINGS = EntrySettings("e1", "kingston", StoreSettings("memory:"))


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def backend(clock):
    backend = MemoryBackend()
    assert accept(backend, clock, ChangeRequest("first", "ana"), DOCUMENT, 0).is_ok()
    return backend


@pytest.fixture
def watcher(clock, backend):
    return HeadWatcher(SETTINGS, clock, backend)


def request(change_id):
    return ChangeRequest(change_id, "ana")


def test_reads_site_and_permit(watcher, clock):
    """Guards against a permit before the first read and against the wrong overlay."""
    assert watcher.permit_until("kingston") == 0
    watcher.read_once()
    assert watcher.snapshot().version == 1
    assert watcher.effective().services["desk"].promised_time == 1
    assert watcher.permit_until("kingston") == clock.now() + 3
    assert watcher.permit_until("lima") == 0


def test_permit_counts_from_the_start_of_the_read(watcher, clock, backend):
    """Guards against permits prolonged by a slow read of the head."""
    started_at = clock.now()
    original = backend.get

    def slow_get(table, key):
        clock.advance(2)
        return original(table, key)

    backend.get = slow_get
    watcher.read_once()
    assert watcher.permit_until("kingston") == started_at + 3


def test_drain_ends_and_outage_does_not_renew_permits(watcher, clock, backend):
    """Guards against permits for a drained data centre, or renewed without a read."""
    watcher.read_once()
    drain(backend, clock, request("d"), "kingston")
    backend.objects_down = True
    watcher.read_once()
    assert watcher.drained() == {"kingston"}
    assert watcher.permit_until("kingston") == 0
    until = watcher.permit_until("may-pen")
    backend.down = True
    clock.advance(1)
    watcher.read_once()
    assert watcher.permit_until("may-pen") == until


def test_older_versions_are_ignored(watcher, clock, backend):
    """Guards against an outdated store or peer that undoes a drain."""
    old_row = backend.tables.rows[TABLE, KEY]
    drain(backend, clock, request("d"), "kingston")
    watcher.read_once()
    until = watcher.permit_until("may-pen")
    backend.tables.rows[TABLE, KEY] = old_row
    clock.advance(1)
    watcher.read_once()
    assert watcher.snapshot().version == 2
    assert watcher.permit_until("kingston") == 0
    assert watcher.permit_until("may-pen") == until
    body = encode_document(DOCUMENT)
    assert not watcher.offer(ConfigSnapshot(1, [], body))
    assert not watcher.offer(ConfigSnapshot(2, [], body))
    assert watcher.drained() == {"kingston"}


def test_offer_during_outage(watcher, backend):
    """Guards against an entry that cannot start up while the store is down."""
    backend.down = True
    watcher.read_once()
    body = encode_document(DOCUMENT)
    assert watcher.offer(ConfigSnapshot(5, ["may-pen"], body))
    assert watcher.effective().services["desk"].promised_time == 1
    assert watcher.drained() == {"may-pen"}
    assert watcher.permit_until("kingston") == 0
    assert not watcher.offer(ConfigSnapshot(6, [], b"damaged"))
    assert watcher.snapshot().version == 5


def test_undrain_from_a_peer_needs_a_head_read(watcher, clock, backend):
    """Guards against a permit based on a read that showed the data centre drained."""
    drain(backend, clock, request("d"), "kingston")
    watcher.read_once()
    body = encode_document(DOCUMENT)
    assert watcher.offer(ConfigSnapshot(3, [], body))
    assert watcher.permit_until("kingston") == 0
    undrain(backend, clock, request("u"), "kingston")
    watcher.read_once()
    assert watcher.permit_until("kingston") == clock.now() + 3


def test_damaged_body_keeps_the_version_in_force(watcher, clock, backend):
    """Guards against activating a body that does not match its hash."""
    watcher.read_once()
    other = attrs.evolve(DOCUMENT, overlays_by_site={})
    accept(backend, clock, request("o"), other, 1)
    for key in backend.tables.objects:
        backend.tables.objects[key] += b" "
    watcher.read_once()
    assert watcher.snapshot().version == 1


def test_one_log_line_for_each_change(watcher, clock, backend):
    """Guards against one log line per poll."""
    with logbook.TestHandler() as handler:
        for down in (False, False, True, True, False):
            backend.down = down
            watcher.read_once()
        drain(backend, clock, request("d"), "kingston")
        watcher.read_once()
        watcher.read_once()
    assert [record.message for record in handler.records] == [
        "store reachable",
        "configuration in force",
        "store unreachable",
        "store reachable",
        "configuration in force",
    ]


def test_thread_sees_changes(backend):
    """Guards against a thread that stops polling or survives ``close``."""
    clock = SystemClock()
    watcher = HeadWatcher(SETTINGS, clock, backend)
    watcher.start()
    try:
        assert watcher.wait_for(1, 20)
        assert drain(backend, clock, request("d"), "kingston").is_ok()
        assert watcher.wait_for(2, 20)
    finally:
        watcher.close()
    assert not watcher._thread.is_alive()


def test_readers_do_not_wait_for_a_change(watcher):
    """Guards against heartbeats and requests that wait for the watcher's lock."""
    watcher.read_once()
    seen = []

    def read():
        seen.append((watcher.snapshot().version, watcher.effective() is not None))
        seen.append((watcher.drained(), watcher.permit_until("kingston") > 0))

    reader = threading.Thread(target=read, daemon=True)
    with watcher._changed:
        reader.start()
        reader.join(20)
        assert seen == [(1, True), (frozenset(), True)]


def test_poll_creates_no_converter(watcher, monkeypatch):
    """Guards against a new cattrs converter, which takes 3.5 ms, in each poll."""
    watcher.read_once()
    monkeypatch.setattr("cattrs.Converter", None)
    watcher.read_once()
    assert watcher.snapshot().version == 1
