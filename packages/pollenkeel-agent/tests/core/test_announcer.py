"""Guards against agents that lose contact with entries or keep dead connections."""

import json
import threading

import attrs
import pytest
from result import Err, Ok

from pollenkeel_agent.core.announcer import Announcer
from pollenkeel_agent.core.site import SiteState
from pollenkeel_kernel import Code, Refusal, SystemClock
from pollenkeel_kernel.core.messages import (
    Announce,
    AnnounceReply,
    EntryAddress,
    Resources,
)
from pollenkeel_kernel.core.settings import TimingSettings
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_kernel.store.base import Row

CLOCK = SystemClock()
TIMING = TimingSettings(heartbeat_interval=0.05, peer_silent_after=0.3, entry_ttl=0.5)


class FakeTable:
    rows: list[Row] | None = None

    def scan(self, table, prefix, after="", limit=1000):
        if self.rows is None:
            return Err(Refusal(Code.STORE_UNAVAILABLE))
        return Ok(self.rows)


class FakeEntry:
    def __init__(self, name, listed=()):
        self.name = name
        self.listed = list(listed)
        self.announced = threading.Event()
        self.states = []
        self.silent = False
        self.release = threading.Event()
        self.server = ReplyServer("tcp://127.0.0.1:0", name, CLOCK, self.handle)

    def handle(self, message):
        if self.silent:
            self.release.wait(20)
        self.states.append(message.state)
        self.announced.set()
        now = CLOCK.now()
        entries = [entry.address() for entry in self.listed]
        return AnnounceReply(self.name, now, "e", None, now + 3, entries)

    def address(self):
        return EntryAddress(
            self.name, self.server.address, "http://x", "kingston", CLOCK.now() + 30
        )

    def close(self):
        self.release.set()
        self.server.close()


@pytest.fixture
def entries():
    second = FakeEntry("entry-2")
    pair = [FakeEntry("entry-1", [second]), second]
    yield pair
    for entry in pair:
        entry.close()


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def make_announcer(table):
    made = []

    def make(seeds):
        site = SiteState("kingston", CLOCK, 0.5)
        announcer = Announcer(seeds, CLOCK, TIMING, table, site, make_announce)
        announcer.site = site
        made.append(announcer)
        return announcer

    yield make
    for announcer in made:
        announcer.close()


def make_announce(state="active"):
    return Announce(
        "agent",
        CLOCK.now(),
        "e1",
        "agent",
        "kingston",
        "r",
        "tcp://127.0.0.1:1",
        state,
        0,
        [],
        Resources(),
        Resources(),
        {},
        True,
    )


def wait_for(condition):
    for _ in range(1000):
        if condition():
            return
        threading.Event().wait(0.01)
    raise AssertionError("condition not met within 10 s")


def test_all_entries_are_discovered_through_a_seed(entries, make_announcer):
    """Guards against agents that find no entry while the table is unavailable."""
    announcer = make_announcer([entries[0].server.address])
    announcer.refresh()
    assert entries[1].announced.wait(10)
    wait_for(lambda: announcer.site.permit_until > CLOCK.now() + 1)
    wait_for(lambda: announcer.all_acknowledged("active"))
    assert not announcer.all_acknowledged("leaving")


def test_entry_with_a_reply_in_transit_must_acknowledge(entries, make_announcer):
    """Guards against a stop before every entry that may send work is informed."""
    entry = entries[1]
    entry.silent = True
    announcer = make_announcer([entry.server.address])
    announcer.refresh()
    assert not announcer.all_acknowledged("leaving")
    wait_for(lambda: announcer.links()[0].silent)
    assert announcer.all_acknowledged("leaving")
    entry.silent = False
    entry.release.set()
    wait_for(lambda: not announcer.all_acknowledged("leaving"))


def test_entries_are_read_from_the_table_and_invalid_rows_skipped(
    entries, table, make_announcer
):
    """Guards against one invalid row that hides all entries."""
    good = json.dumps(attrs.asdict(entries[1].address())).encode()
    invalid_addresses = ("nowhere", "tcp://127.0.0.1:99999", "tcp://[::1", "")
    bad = [
        json.dumps(attrs.asdict(attrs.evolve(entries[1].address(), peer_address=a)))
        for a in invalid_addresses
    ]
    too_large = good.replace(b'"expires_at": ', b'"expires_at": 1e999')
    table.rows = [
        Row("a", 1, b"{"),
        Row("a-deep", 1, b"[" * 100_000),
        Row("a-large", 1, too_large),
        *(Row(f"b-{n}", 1, text.encode()) for n, text in enumerate(bad)),
        Row("entry-2", 1, good),
    ]
    make_announcer([]).refresh()
    assert entries[1].announced.wait(10)


def test_silent_connection_is_replaced(entries, make_announcer):
    """Guards against waiting on a dead connection while a new one would work."""
    entry = entries[1]
    announcer = make_announcer([entry.server.address])
    announcer.refresh()
    assert entry.announced.wait(10)
    entry.silent = True
    wait_for(lambda: not announcer.links()[0].reachable)
    entry.silent = False
    wait_for(lambda: announcer.links()[0].reachable)


def test_stopped_entry_is_removed(entries, make_announcer):
    """Guards against threads that accumulate for entries that were replaced."""
    entry = entries[0]
    announcer = make_announcer([entry.server.address])
    announcer.refresh()
    assert entries[1].announced.wait(10)
    entry.close()
    wait_for(lambda: announcer.refresh() or len(announcer.links()) == 1)
    assert announcer.links()[0].entry_id == "entry-2"


def test_seed_that_starts_late_is_discovered(entries, make_announcer):
    """Guards against missing an unlisted entry while another entry responds."""
    first = entries[1].server.address
    late = FakeEntry("entry-3")
    address = late.server.address
    late.close()
    announcer = make_announcer([first, address])
    announcer.refresh()
    assert entries[1].announced.wait(10)
    wait_for(lambda: announcer.refresh() or len(announcer.links()) == 1)
    late.server = ReplyServer(address, "entry-3", CLOCK, late.handle)
    wait_for(lambda: announcer.refresh() or late.announced.is_set())
    late.close()
