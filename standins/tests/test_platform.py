"""Contract tests of the table service and object store, through the HTTP client."""

import socket
from urllib.parse import urlsplit

import pytest
from result import Err, Ok

from pollenkeel_kernel import Code
from pollenkeel_kernel.core.settings import StoreSettings
from pollenkeel_kernel.store import Put
from pollenkeel_kernel.store.http import HttpBackend
from pollenkeel_standins.platform import Platform, PlatformOptions

TIMEOUT = 0.5
KEY = "team/service/key é%2F"


def open_platform(**options):
    platform = Platform(PlatformOptions(**options))
    url = platform.start(0, 8)
    return platform, HttpBackend(StoreSettings(url, timeout=TIMEOUT))


@pytest.fixture
def platform_and_client():
    platform, client = open_platform()
    yield platform, client
    platform.shut_down()


@pytest.fixture
def platform(platform_and_client):
    return platform_and_client[0]


@pytest.fixture
def client(platform_and_client):
    return platform_and_client[1]


def code_of(result):
    return result.err_value.code if isinstance(result, Err) else Code.OK


def test_rows_are_read_as_written(client):
    """Guards against keys and values that are altered in transit."""
    value = bytes(range(256))
    assert client.get("t", KEY) == Ok(None)
    assert client.write([Put("t", KEY, value, 0)]) == Ok([1])
    row = client.get("t", KEY).unwrap()
    assert (row.key, row.version, row.value) == (KEY, 1, value)
    assert client.write([Put("t", KEY, b"2", 1)]) == Ok([2])
    assert client.write([Put("t", KEY, None, 2)]).is_ok()
    assert client.get("t", KEY) == Ok(None)


@pytest.mark.parametrize("sent", [b"", b"half"])
def test_object_of_a_client_that_is_gone_is_not_stored(platform, client, sent):
    """Guards against a checkpoint that is cut off because its worker was killed."""
    address = urlsplit(client._url)
    head = b"PUT /objects/o HTTP/1.1\r\nHost: s\r\nContent-Length: 8\r\n\r\n"
    with socket.create_connection((address.hostname, address.port)) as connection:
        connection.sendall(head + sent)
        connection.shutdown(socket.SHUT_WR)
        connection.recv(4096)
    assert client.get_object("o") == Ok(None)


def test_deletion_of_an_object_is_idempotent(client):
    """Guards against an error for a deletion that is retried after a lost answer."""
    client.put_object("answers/a", b"1").unwrap()
    assert client.delete_object("answers/a").is_ok()
    assert client.get_object("answers/a") == Ok(None)
    assert client.delete_object("answers/a").is_ok()


@pytest.mark.parametrize(
    ("expected", "code"),
    [
        (None, Code.OK),
        (1, Code.OK),
        (0, Code.VERSION_CONFLICT),
        (2, Code.VERSION_CONFLICT),
    ],
)
def test_conditions_are_checked(client, expected, code):
    """Guards against lost updates."""
    client.write([Put("t", "k", b"1", 0)]).unwrap()
    assert code_of(client.write([Put("t", "k", b"2", expected)])) is code


def test_transaction_is_all_or_nothing(client):
    """Guards against a transaction that is only partly applied."""
    client.write([Put("t", "b", b"1")]).unwrap()
    refused = client.write([Put("t", "a", b"1"), Put("t", "b", b"2", 0)])
    assert code_of(refused) is Code.VERSION_CONFLICT
    assert client.get("t", "a") == Ok(None)
    assert client.write([Put("t", "a", b"1", 0), Put("u", "b", b"2", 0)]).is_ok()


@pytest.mark.parametrize(
    ("prefix", "after", "limit", "keys"),
    [
        ("a/", "", 10, ["a/1", "a/2", "a/3"]),
        ("a/", "a/1", 10, ["a/2", "a/3"]),
        ("a/", "a/1", 1, ["a/2"]),
        ("a/", "a/3", 10, []),
        ("", "a/3", 10, ["b/1"]),
        ("c", "", 10, []),
    ],
)
def test_scan_returns_the_requested_rows_in_order(client, prefix, after, limit, keys):
    """Guards against missing, repeated or unrelated rows in a log replay."""
    for key in ("b/1", "a/2", "a/1", "a/3", "a"):
        client.write([Put("t", key, b"1")]).unwrap()
    found = client.scan("t", prefix, after, limit).unwrap()
    assert [row.key for row in found] == keys


@pytest.mark.parametrize(
    ("puts", "code"),
    [
        ([Put("t", "k", b"x" * 65536)], Code.OK),
        ([Put("t", "k", b"x" * 65537)], Code.STORE_UNAVAILABLE),
        ([Put("t", "k", b"1"), Put("t", "k", b"2")], Code.STORE_UNAVAILABLE),
    ],
)
def test_invalid_writes_have_no_effect(client, puts, code):
    """Guards against a rejection after part of the write took effect."""
    assert code_of(client.write(puts)) is code
    assert (client.get("t", "k").unwrap() is not None) == (code is Code.OK)


#: Faults, result of a write, whether it took effect, result of a read under the fault.
FAULT_TABLE = [
    ({"down": "refuse"}, Code.STORE_UNAVAILABLE, False, Code.STORE_UNAVAILABLE),
    ({"down": "break"}, Code.WRITE_UNKNOWN, False, Code.STORE_UNAVAILABLE),
    ({"down": "hang"}, Code.WRITE_UNKNOWN, False, Code.STORE_UNAVAILABLE),
    ({"fail": True}, Code.WRITE_UNKNOWN, False, Code.STORE_UNAVAILABLE),
    ({"lose_answers": 1}, Code.WRITE_UNKNOWN, True, Code.OK),
    ({"lose_answers": 1, "lost_by": "hang"}, Code.WRITE_UNKNOWN, True, Code.OK),
    (
        {"slow_answer": 3 * TIMEOUT},
        Code.WRITE_UNKNOWN,
        True,
        Code.STORE_UNAVAILABLE,
    ),
    ({"slow": 0.05}, Code.OK, True, Code.OK),
]


@pytest.mark.parametrize(("faults", "write_code", "effect", "read_code"), FAULT_TABLE)
def test_faults_of_row_writes(platform, client, faults, write_code, effect, read_code):
    """Guards against an unconfirmed write reported as applied or as not applied."""
    platform.switches.change(faults).unwrap()
    assert code_of(client.write([Put("t", "k", b"1", 0)])) is write_code
    assert code_of(client.get("t", "k")) is read_code
    clear_faults(platform)
    assert (client.get("t", "k").unwrap() is not None) == effect


@pytest.mark.parametrize(("faults", "write_code", "effect", "read_code"), FAULT_TABLE)
def test_faults_of_objects(platform, client, faults, write_code, effect, read_code):
    """Guards against checkpoints and configurations wrongly reported as stored."""
    platform.switches.change(faults).unwrap()
    assert code_of(client.put_object("a/b", b"\x00\xff")) is write_code
    assert code_of(client.get_object("a/b")) is read_code
    clear_faults(platform)
    assert client.get_object("a/b").unwrap() == (b"\x00\xff" if effect else None)


def clear_faults(platform):
    off = {"down": "off", "fail": False, "slow": 0, "slow_answer": 0, "lose_answers": 0}
    platform.switches.change(off).unwrap()


def test_unreachable_store_is_reported_as_unavailable():
    """Guards against code 3006 (write unknown) for a write that was never sent."""
    platform, client = open_platform()
    platform.shut_down()
    assert code_of(client.write([Put("t", "k", b"1")])) is Code.STORE_UNAVAILABLE


def test_rate_limits_reject_without_effect():
    """Guards against limits that are not enforced, and a write limit not by rows."""
    platform, client = open_platform(writes_per_second=5, reads_per_second=5)
    try:
        assert client.write([Put("t", f"k{n}", b"1") for n in range(5)]).is_ok()
        refused = client.write([Put("t", "late", b"1")])
        assert code_of(refused) is Code.STORE_UNAVAILABLE
        assert "429" in refused.err_value.detail
        assert client.get("t", "late") == Ok(None)
        codes = [code_of(client.get("t", "k0")) for _ in range(20)]
        assert Code.STORE_UNAVAILABLE in codes
        counts = platform.record()["counts"]
        assert counts["writes"] == 5
        assert counts["writes_refused"] == 1
    finally:
        platform.shut_down()


def test_unknown_switches_are_rejected(platform):
    """Guards against a misspelled switch in a test, which would inject no fault."""
    faults = platform.switches.change({"dwon": "hang"}).unwrap_err()
    assert "dwon" in faults[0]
