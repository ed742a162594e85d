"""Guards against peers that ignore invalid messages or crash on them.

Each invalid message must be rejected with a result code.
"""

import contextlib
import socket

import attrs
import msgpack
import pynng
import pytest

from pollenkeel_kernel import Code, SystemClock
from pollenkeel_kernel.core.codec import decode, encode
from pollenkeel_kernel.core.messages import (
    Announce,
    Dispatch,
    DispatchReply,
    Heartbeat,
    HeartbeatReply,
    OwnerCall,
    QueryAttempt,
    Resources,
    TaskExchange,
    TaskKey,
    UpstreamStatus,
)
from pollenkeel_kernel.core.transport import MAX_MESSAGE_BYTES, PeerClient

CLOCK = SystemClock()
NAN = float("nan")
SENDER_AND_TIME = ("tester", CLOCK.now())
HEARTBEAT = Heartbeat(*SENDER_AND_TIME)
DISPATCH = Dispatch(
    *SENDER_AND_TIME, "a", "e", "desk", "t", "GET", "/", {}, b"", True, 1.0, 1.0
)
QUERY = QueryAttempt(*SENDER_AND_TIME, "a", "e", True)
EXCHANGE = TaskExchange(*SENDER_AND_TIME, "e", 0, 1, 1.0)
OWNER_CALL = OwnerCall(*SENDER_AND_TIME, 0, "status", b"{}")
ANNOUNCE = Announce(
    *SENDER_AND_TIME,
    agent_epoch="e",
    vm="vm",
    data_centre="kingston",
    rack="r",
    address="tcp://127.0.0.1:1",
    state="leaving",
    config_version=0,
    upstreams=[],
    capacity=Resources(),
    free=Resources(),
    running_kinds={},
    worker_ready=False,
)
REPLY = DispatchReply(*SENDER_AND_TIME, "a", 1000)


def encode_fields(message):
    return msgpack.unpackb(encode(message))[2]


def malformed_data():
    pack = msgpack.packb
    good = encode_fields(HEARTBEAT)
    for data in (
        b"",
        b"\xc1garbage",
        pack("text"),
        pack([1, "Heartbeat"]),
        pack([1, "Heartbeat", []]),
        b"\x91" * 5000,
        pack([1, "Heartbeat", good | {"extra": 1}]),
        pack([1, "Heartbeat", {"sender": "a"}]),
        pack([1, "Heartbeat", good | {"sender": 5}]),
        pack([1, "Heartbeat", good | {"sender": b"a"}]),
        pack([1, "Heartbeat", good | {"sent_at": "now"}]),
        pack([1, "Heartbeat", good | {"sent_at": True}]),
        pack([1, "Heartbeat", good | {"sent_at": None}]),
    ):
        yield data, Code.BAD_MESSAGE
    for version in (0, 2, -1, "1", None, 1.5, 2**63, [1]):
        yield pack([version, "Heartbeat", good]), Code.UNSUPPORTED_PROTOCOL
    for name in ("Nobody", "", 7, None, b"Heartbeat", "Message", ["Heartbeat"]):
        yield pack([1, name, good]), Code.UNKNOWN_MESSAGE
    for message in (DISPATCH, QUERY, EXCHANGE, ANNOUNCE, OWNER_CALL, REPLY):
        name, fields = type(message).__name__, encode_fields(message)
        for field in fields:
            for value in ({"x": object}, [None], -1.5):
                if isinstance(value, float) and isinstance(fields[field], float):
                    continue
                wrong = ["x"] if isinstance(value, dict) else value
                yield pack([1, name, fields | {field: wrong}]), Code.BAD_MESSAGE


def exchange(address, data):
    with pynng.Req0(recv_timeout=10_000, resend_time=-1) as peer:
        peer.dial(address, block=True)
        peer.send(data)
        return decode(peer.recv()).unwrap()


def processes(site):
    return [*site.entries, *site.agents_by_vm.values()]


def check_all_serve(site):
    for process in processes(site):
        assert process.alive
        assert isinstance(
            exchange(process.peer_address, encode(HEARTBEAT)), HeartbeatReply
        )
    assert site.call(site.entries[0], "GET", "/after").status == 200


def test_malformed_messages_are_rejected_with_a_code(site):
    """Guards against malformed messages that get no reply or a wrong code."""
    for process in processes(site):
        with pynng.Req0(recv_timeout=10_000, resend_time=-1) as peer:
            peer.dial(process.peer_address, block=True)
            for data, code in malformed_data():
                peer.send(data)
                reply = decode(peer.recv()).unwrap()
                assert getattr(reply, "code", None) == code, (data[:200], reply)
    check_all_serve(site)


def test_messages_for_another_role_are_rejected(site):
    """Guards against a process that handles messages meant for another role."""
    entry, agent = site.entries[0], site.agents_by_vm["vm-kingston"]
    wrong = [(entry, m) for m in (DISPATCH, QUERY, EXCHANGE, REPLY)]
    wrong += [(agent, m) for m in (ANNOUNCE, OWNER_CALL, REPLY)]
    for process, message in wrong:
        reply = exchange(process.peer_address, encode(message))
        assert reply.code == Code.UNKNOWN_MESSAGE, (process.name, message)
    check_all_serve(site)


def test_invalid_announcements_are_rejected(site):
    """Guards against announced values that make the entry's request path fail later."""
    entry = site.entries[0]
    changes = [
        {"address": address}
        for address in (
            "",
            "ipc:///x",
            "tcp://",
            "tcp://no port",
            "tcp://1.2.3.4:99999",
        )
    ]
    for slots, free in ((-1, 0), (1, -1)):
        changes.append({"upstreams": [UpstreamStatus("desk", slots, free)]})
    changes += [{"free": Resources(NAN)}, {"capacity": Resources(float("inf"))}]
    for change in changes:
        message = attrs.evolve(ANNOUNCE, **change)
        reply = exchange(entry.peer_address, encode(message))
        assert getattr(reply, "code", None) == Code.BAD_MESSAGE, (change, reply)
    assert "tester" not in str(site.dump(entry)["entry"]["agents"])
    check_all_serve(site)


@pytest.mark.parametrize("operation", ["submit", "cancel", "status", "explain", "x"])
def test_invalid_owner_calls_are_rejected(site, operation):
    """Guards against calls for unknown shards or with invalid bodies that succeed."""
    entry = site.entries[0]
    for shard in (0, -1, 10**9):
        for body in (b"", b"{", b"[]", b"null", b"\xff", b'{"a": 1}', b"[" * 50_000):
            call = attrs.evolve(OWNER_CALL, shard=shard, operation=operation, body=body)
            reply = exchange(entry.peer_address, encode(call))
            assert reply.code // 1000 in (2, 4), (shard, operation, body[:20], reply)
    check_all_serve(site)


def test_invalid_dispatches_and_exchanges_are_rejected(site):
    """Guards against invalid messages that occupy slots, tasks or threads for good."""
    agent = site.agents_by_vm["vm-kingston"]
    epoch = site.dump(agent)["agent"]["epoch"]
    now = CLOCK.now()
    good = attrs.evolve(
        DISPATCH, agent_epoch=epoch, start_before=now + 5, deadline=now + 5
    )
    for number, change in enumerate(
        (
            {"deadline": NAN},
            {"start_before": NAN},
            {"deadline": float("inf")},
            {"start_before": float("inf")},
            {"deadline": 1e300},
            {"path": "x"},
            {"method": "GET / HTTP/1.1\r\nX: y\r\n"},
            {"headers": {"X": "a\r\nY: b"}},
            {"headers": {"X Y": "a"}},
            {"headers": {"X": "\u20ac"}},
            {"team": "a\r\nY: b"},
        )
    ):
        message = attrs.evolve(good, attempt_id=f"bad-{number}", **change)
        reply = exchange(agent.peer_address, encode(message))
        assert reply.code // 1000 in (2, 4), (change, reply)
    for change in (
        {"lease_until": NAN},
        {"lease_until": float("inf")},
        {"shard_lease_until": NAN},
    ):
        message = attrs.evolve(EXCHANGE, agent_epoch=epoch, shard=99, **change)
        reply = exchange(agent.peer_address, encode(message))
        assert reply.code // 1000 == 4, (change, reply)
    unknown = attrs.evolve(
        EXCHANGE,
        agent_epoch=epoch,
        shard=99,
        shard_lease_until=CLOCK.now() + 30,
        stops=[TaskKey("none", 1)],
    )
    assert exchange(agent.peer_address, encode(unknown)).code == Code.OK
    ran = [run["fields"]["uri"] for run in upstream_runs(site)]
    assert not [uri for uri in ran if not uri.startswith("/")]
    statuses = site.dump(agent)["upstreams"]
    assert [s["free_slots"] for s in statuses] == [4], statuses
    check_all_serve(site)


def upstream_runs(site):
    upstream = site.upstreams_by_vm["vm-kingston"]
    return site.cluster.get_record(upstream)["executions"]


def test_peer_survives_an_oversized_message(site):
    """Guards against a process that one oversized message stops."""
    for process in processes(site):
        client = PeerClient(process.peer_address, CLOCK)
        large = attrs.evolve(DISPATCH, body=b"x" * (MAX_MESSAGE_BYTES + 1))
        refusal = client.call(large, CLOCK.now() + 5).unwrap_err()
        client.close()
        assert refusal.code in (Code.NO_REPLY, Code.PEER_UNREACHABLE)
    check_all_serve(site)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00" * 100,
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x00SP\x00\x00\x31\x00\x00" + b"\xff" * 64,
        b"\x00SP\x00\x00\x30\x00\x00" + b"\xff" * 8,
        b"\x00SP\x00\x00\x30\x00\x00" + (4).to_bytes(8, "big") + b"\x00" * 4,
    ],
)
def test_garbage_on_the_port_closes_only_that_connection(site, data):
    """Guards against a listener that ends when one connection sends garbage."""
    for process in processes(site):
        host, port = process.peer_address.removeprefix("tcp://").rsplit(":", 1)
        with socket.create_connection((host, int(port)), 20) as connection:
            connection.settimeout(20)
            connection.sendall(data)
            # The process may have closed the connection already.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_WR)
            while True:
                try:
                    if not connection.recv(4096):
                        break
                except ConnectionError:
                    break
    check_all_serve(site)
