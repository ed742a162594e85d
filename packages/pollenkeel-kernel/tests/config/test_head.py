"""Guards against lost, duplicated or overwritten configuration changes."""

import threading

import pytest
from result import Err, Ok

from pollenkeel_kernel import Code, ManualClock
from pollenkeel_kernel.config import ConfigDocument
from pollenkeel_kernel.config.head import (
    MAX_RECORDED_CHANGES,
    TABLE,
    ChangeRequest,
    accept,
    decode_head,
    drain,
    encode_head,
    read_head,
    undrain,
)
from pollenkeel_kernel.store.base import Row
from pollenkeel_standins.memory_backend import Fault, MemoryBackend

DOCUMENT = ConfigDocument(
    {
        "data_centres": {
            "kingston": {"region": "jm", "site": "jm"},
            "may-pen": {"region": "jm", "site": "jm"},
        }
    },
    {},
)
CLOCK = ManualClock()
NONE, REFUSED, REQUEST_LOST, ANSWER_LOST = Fault


def request(change_id="c1"):
    return ChangeRequest(change_id, "ana")


def head_of(backend):
    return read_head(MemoryBackend(tables=backend.tables)).unwrap().head


@pytest.fixture
def backend():
    backend = MemoryBackend()
    assert accept(backend, CLOCK, request("first"), DOCUMENT, 0).is_ok()
    return backend


def test_accept_stores_body_before_head(backend):
    """Guards against a head that refers to a missing body."""
    head = head_of(backend)
    assert head.version == 1
    assert head.object_key in backend.tables.objects
    backend.objects_down = True
    refused = accept(backend, CLOCK, request(), DOCUMENT, 1)
    assert refused.err_value.code == Code.STORE_UNAVAILABLE
    assert head_of(backend) == head


def test_every_change_raises_the_version_by_one(backend):
    """Guards against a drain without its own version, which could not be ordered."""
    assert drain(backend, CLOCK, request("a"), "kingston").unwrap().version == 2
    assert accept(backend, CLOCK, request("b"), DOCUMENT, 2).unwrap().version == 3
    assert head_of(backend).drained == ["kingston"]
    assert undrain(backend, CLOCK, request("c"), "kingston").unwrap().version == 4
    assert head_of(backend).drained == []


@pytest.mark.parametrize(
    ("write_faults", "code", "version"),
    [
        ([NONE], None, 2),
        ([ANSWER_LOST], None, 2),
        ([REQUEST_LOST], None, 2),
        ([REQUEST_LOST, ANSWER_LOST], None, 2),
        ([REFUSED], Code.STORE_UNAVAILABLE, 1),
        ([REQUEST_LOST, REFUSED], Code.WRITE_UNKNOWN, 1),
        ([REQUEST_LOST] * 5, Code.WRITE_UNKNOWN, 1),
    ],
)
@pytest.mark.parametrize("operation", ["accept", "drain"])
def test_write_failures(backend, operation, write_faults, code, version):
    """Guards against a wrong result or a second change after a lost response."""
    backend.write_faults.extend(write_faults)
    if operation == "accept":
        result = accept(backend, CLOCK, request(), DOCUMENT, 1)
    else:
        result = drain(backend, CLOCK, request(), "kingston")
    assert (result.err_value.code if isinstance(result, Err) else None) == code
    assert head_of(backend).version == version


@pytest.mark.parametrize(
    ("read_faults", "write_faults", "code", "version"),
    [
        ([REFUSED], [], Code.STORE_UNAVAILABLE, 1),
        ([NONE, REFUSED], [ANSWER_LOST], Code.WRITE_UNKNOWN, 2),
        ([NONE, REFUSED], [REQUEST_LOST], Code.WRITE_UNKNOWN, 1),
    ],
)
def test_read_failures(backend, read_faults, write_faults, code, version):
    """Guards against "not written" for a write that may have succeeded."""
    backend.read_faults.extend(read_faults)
    backend.write_faults.extend(write_faults)
    result = drain(backend, CLOCK, request(), "kingston")
    assert result.err_value.code == code
    assert head_of(backend).version == version


def test_concurrent_change_between_read_and_write(backend):
    """Guards against an accepted change that overwrites a concurrent one."""

    def concurrent_change():
        drain(MemoryBackend(tables=backend.tables), CLOCK, request("r"), "may-pen")

    backend.before_write = concurrent_change
    refused = accept(backend, CLOCK, request(), DOCUMENT, 1)
    assert refused.err_value.code == Code.VERSION_CONFLICT
    assert head_of(backend).change_id == "r"

    backend.before_write = lambda: undrain(
        MemoryBackend(tables=backend.tables), CLOCK, request("u"), "may-pen"
    )
    assert drain(backend, CLOCK, request("d"), "kingston").unwrap().version == 4
    assert head_of(backend).drained == ["kingston"]


def test_concurrent_change_after_lost_response_does_not_hide_the_change(backend):
    """Guards against a conflict reported for an accepted change."""
    backend.write_faults.append(ANSWER_LOST)
    original = backend.get
    reads = []

    def get(table, key):
        reads.append(key)
        if len(reads) == 2:
            concurrent_change = MemoryBackend(tables=backend.tables)
            drain(concurrent_change, CLOCK, request("r"), "may-pen")
        return original(table, key)

    backend.get = get
    assert accept(backend, CLOCK, request(), DOCUMENT, 1).unwrap().version == 2
    assert head_of(backend).version == 3


def test_conflict_with_unreadable_head_is_unknown(backend):
    """Guards against code 2003 if the same change succeeded through another entry."""
    backend.before_write = lambda: drain(
        MemoryBackend(tables=backend.tables), CLOCK, request(), "kingston"
    )
    backend.read_faults.extend([NONE, REFUSED])
    result = drain(backend, CLOCK, request(), "kingston")
    assert result.err_value.code == Code.WRITE_UNKNOWN


def test_repeated_change_id_gives_the_same_result(backend):
    """Guards against a retried drain that reverts a later undrain."""
    first = drain(backend, CLOCK, request("d"), "kingston")
    undrain(backend, CLOCK, request("u"), "kingston")
    assert drain(backend, CLOCK, request("d"), "kingston") == first
    assert head_of(backend).drained == []
    again = accept(backend, CLOCK, request("first"), DOCUMENT, 0)
    assert isinstance(again, Ok)
    assert again.ok_value.version == 1
    reused = drain(backend, CLOCK, request("d"), "may-pen")
    assert reused.err_value.code == Code.KEY_REUSED


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (lambda b: accept(b, CLOCK, request(), DOCUMENT, 7), Code.VERSION_CONFLICT),
        (lambda b: drain(b, CLOCK, request(), "lima"), Code.UNKNOWN_DATA_CENTRE),
        (lambda b: drain(b, CLOCK, request(""), "kingston"), Code.BAD_REQUEST),
        (lambda b: drain(b, CLOCK, request("x" * 129), "kingston"), Code.BAD_REQUEST),
        (
            lambda b: drain(MemoryBackend(), CLOCK, request(), "kingston"),
            Code.NO_CONFIG,
        ),
    ],
)
def test_refused_changes(backend, change, code):
    """Guards against changes accepted with a wrong version or an invalid name."""
    assert change(backend).err_value.code == code
    assert head_of(backend).version == 1


def test_drain_needs_no_object_store_and_survives_removal(backend):
    """Guards against a drain that fails without the object store or is lost later."""
    backend.objects_down = True
    assert drain(backend, CLOCK, request("d"), "may-pen").is_ok()
    backend.objects_down = False
    smaller = ConfigDocument(
        {"data_centres": {"kingston": {"region": "jm", "site": "jm"}}}, {}
    )
    assert accept(backend, CLOCK, request("s"), smaller, 2).is_ok()
    assert head_of(backend).drained == ["may-pen"]


def test_concurrent_operators_lose_no_change(backend):
    """Guards against two changes that get the same version."""
    versions = []

    def change(number):
        own = MemoryBackend(tables=backend.tables)
        name = ("kingston", "may-pen")[number % 2]
        for attempt in range(20):
            result = drain(own, CLOCK, request(f"{number}-{attempt}"), name)
            if result.is_ok():
                versions.append(result.ok_value.version)

    threads = [threading.Thread(target=change, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(versions) == list(range(2, head_of(backend).version + 1))
    assert len(head_of(backend).changes) == MAX_RECORDED_CHANGES


def test_head_fits_a_row(backend):
    """Guards against a head that exceeds the row limit of 64 KiB."""
    for number in range(MAX_RECORDED_CHANGES):
        change_id = f"{number:0128d}"
        assert drain(backend, CLOCK, request(change_id), "kingston").is_ok()
    head = head_of(backend)
    assert decode_head(encode_head(head)) == Ok(head)
    assert len(encode_head(head)) < 32 * 1024


@pytest.mark.parametrize("value", [b"", b"[]", b"{", b'{"version": "1"}', b"\xff"])
def test_corrupted_row_is_refused(backend, value):
    """Guards against a crash or an empty configuration on a corrupted row."""
    backend.tables.rows[TABLE, "head"] = Row("head", 9, value)
    assert read_head(backend).err_value.code == Code.INTERNAL
