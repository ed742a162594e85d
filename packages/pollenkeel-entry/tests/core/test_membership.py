"""Tests of the agent table, entry list, message handler and heartbeats."""

import threading

import attrs
import pytest

from pollenkeel_entry.core.entries import EntryList
from pollenkeel_entry.core.heartbeats import HeartbeatMonitor
from pollenkeel_entry.core.peers import PeerHandler
from pollenkeel_kernel import Code, ManualClock
from pollenkeel_kernel.core.messages import (
    EntryAddress,
    Heartbeat,
    HeartbeatReply,
    OwnerCall,
)
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings, TimingSettings
from pollenkeel_kernel.core.transport import ReplyServer


def address(name):
    return EntryAddress(name, "tcp://127.0.0.1:1", "http://127.0.0.1:1", "kgn", 0.0)


def test_late_announcement_of_an_earlier_process_is_ignored(rig):
    """Guards against a late announcement that restores an outdated epoch."""
    agent = rig.add_agent()
    late = agent.announce()
    agent.epoch = "e2"
    rig.announce(agent)
    rig.context.agents.update(late)
    assert rig.context.agents.get("a1").announce.agent_epoch == "e2"


def test_entry_list_ignores_expired_and_malformed_rows(fakes):
    """Guards against addresses of stopped entries in replies to agents."""
    clock, backend = ManualClock(), fakes.backend()
    lists = [EntryList(backend, clock, 6.0, address(f"e{i}")) for i in range(2)]
    backend.rows["entries", "bad"] = attrs.evolve(
        _write(lists[0], backend), key="bad", value=b"{"
    )
    lists[1].refresh()
    assert [e.entry_id for e in lists[1].live()] == ["e1", "e0"]
    clock.advance(7)
    assert [e.entry_id for e in lists[1].live()] == ["e1"]
    lists[0].close()
    assert ("entries", "e0") not in backend.rows
    clock.advance(1000)
    lists[0].refresh()
    assert ("entries", "e1") not in backend.rows


def _write(entry_list, backend):
    entry_list.refresh()
    return backend.rows["entries", "e0"]


def test_entry_list_survives_an_outage(fakes):
    """Guards against an empty list while the table cannot be read."""
    backend = fakes.backend()
    lists = [EntryList(backend, fakes.clock, 60.0, address(f"e{i}")) for i in range(2)]
    for entry_list in lists:
        entry_list.refresh()
    backend.all_down = True
    lists[1].refresh()
    assert len(lists[1].live()) == 2


@pytest.fixture
def handler(rig):
    return PeerHandler(
        rig.context,
        "epoch",
        lambda: [address("e")],
        rig.router.handle_announcement,
        None,
    )


def test_announcement_gets_configuration_permit_and_entries(rig, handler):
    """Guards against agents that keep an old configuration or get no permit."""
    agent = rig.add_agent()
    reply = handler.handle(agent.announce(config_version=6))
    assert (reply.config.version, reply.permit_until) == (7, 99.0)
    assert [e.entry_id for e in reply.entries] == ["e"]
    rig.config.drained_names = frozenset({"kgn"})
    reply = handler.handle(agent.announce())
    assert (reply.config, reply.permit_until) == (None, 0.0)


def test_every_message_gets_a_reply(rig, handler):
    """Guards against messages that are left without a reply."""
    assert handler.handle(Heartbeat("a", 1.0)).epoch == "epoch"
    assert handler.handle(OwnerCall("e", 1.0, 0, "s", b"")).code == Code.NOT_OWNER
    bad = handler.handle(rig.add_agent().announce(address="nowhere"))
    assert bad.code == Code.BAD_MESSAGE
    assert handler.handle(bad).code == Code.UNKNOWN_MESSAGE


def test_silent_agent_is_reconnected_and_usable_again(make_rig, fakes):
    """Guards against a dead connection that is never replaced."""
    timing = TimingSettings(
        heartbeat_interval=0.05, peer_silent_after=0.15, announce_ttl=60
    )
    settings = EntrySettings("e", "kgn", StoreSettings("none"), timing=timing)
    rig = make_rig(settings=settings)
    agent = rig.add_agent()
    monitor = HeartbeatMonitor(rig.context, rig.router.reassign_slots)
    redials = []
    client = rig.context.agents.get("a1").client
    redial, client.redial = client.redial, lambda: redials.append(redial())
    monitor.watch("a1")
    agent.frozen.set()
    fakes.wait_until(lambda: redials)
    assert monitor.is_silent("a1")
    agent.frozen.clear()
    fakes.wait_until(lambda: not monitor.is_silent("a1"))
    monitor.close()


def test_slow_agent_keeps_its_connection(make_rig, fakes):
    """Guards against requests aborted because heartbeat replies are late."""
    timing = TimingSettings(
        heartbeat_interval=0.05, peer_silent_after=0.4, announce_ttl=60
    )
    settings = EntrySettings("e", "kgn", StoreSettings("none"), timing=timing)
    rig = make_rig(settings=settings)
    agent = rig.add_agent()
    agent.delay = 0.15
    client = rig.context.agents.get("a1").client
    redials = []
    client.redial = lambda: redials.append(1)
    monitor = HeartbeatMonitor(rig.context, rig.router.reassign_slots)
    monitor.watch("a1")
    fakes.wait_until(lambda: monitor.is_silent("a1"))
    fakes.wait_until(lambda: not monitor.is_silent("a1"))
    threading.Event().wait(1.0)
    monitor.close()
    assert redials == []


def test_one_late_reply_does_not_make_an_agent_silent(make_rig, fakes):
    """Guards against agents excluded because of one reply delayed by a busy VM."""
    timing = TimingSettings(
        heartbeat_interval=0.05, peer_silent_after=5.0, announce_ttl=60
    )
    settings = EntrySettings("e", "kgn", StoreSettings("none"), timing=timing)
    rig = make_rig(settings=settings)
    agent = rig.add_agent()
    heartbeats = []

    def answer(message):
        heartbeats.append(message)
        if len(heartbeats) == 2:
            threading.Event().wait(4 * timing.heartbeat_interval)
        return HeartbeatReply("a1", fakes.clock.now(), agent.epoch)

    server = ReplyServer("tcp://127.0.0.1:0", "a1", fakes.clock, answer)
    rig.announce(agent, address=server.address)
    changes = []
    monitor = HeartbeatMonitor(rig.context, lambda: changes.append("change"))
    monitor.watch("a1")
    try:
        fakes.wait_until(lambda: len(heartbeats) >= 6)
        assert not changes
        assert not monitor.is_silent("a1")
    finally:
        monitor.close()
        server.close()


def test_lost_connection_makes_an_agent_silent_before_the_limit(make_rig, fakes):
    """Guards against requests for a dead agent until ``peer_silent_after``."""
    timing = TimingSettings(
        heartbeat_interval=0.05, peer_silent_after=600, announce_ttl=600
    )
    settings = EntrySettings("e", "kgn", StoreSettings("none"), timing=timing)
    rig = make_rig(settings=settings)
    agent = rig.add_agent()
    monitor = HeartbeatMonitor(rig.context, lambda: None)
    monitor.watch("a1")
    agent.server.close()
    try:
        fakes.wait_until(lambda: monitor.is_silent("a1"))
    finally:
        monitor.close()
