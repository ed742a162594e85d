"""Guards against lost calls and leaked connections between entries."""

from contextlib import closing

import pytest

from pollenkeel_entry.batch.links import EntryLinks
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentTable
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import (
    Heartbeat,
    HeartbeatReply,
    OwnerCall,
    OwnerReply,
)
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.scripted import ScriptedConfig

CLOCK = SystemClock()
#: Seconds.
LIMIT = 20.0


@pytest.fixture
def server():
    def handle(message):
        if isinstance(message, Heartbeat):
            return HeartbeatReply("e1", CLOCK.now(), "epoch")
        return OwnerReply("e1", CLOCK.now(), 1000, "", message.body)

    with closing(ReplyServer("tcp://127.0.0.1:0", "e1", CLOCK, handle)) as server:
        yield server


def test_unused_connection_closes_after_call_timeout(server, backend):
    """Guards against calls that fail when an owner releases its last shard, and leaks.

    The connection must stay open for the duration of a call and then be closed.
    """
    settings = EntrySettings("e0", "d0", StoreSettings("x"))
    context = EntryContext(
        settings,
        CLOCK,
        backend,
        AgentTable(settings.timing, CLOCK),
        ScriptedConfig(),
        StateDump(),
    )
    with closing(EntryLinks(context, call_timeout=0.5)) as links:
        links.update_addresses({server.address})
        client = links._get_client(server.address)
        links.update_addresses(set())
        call = OwnerCall("e0", CLOCK.now(), 0, "status", b"x")
        assert client.call(call, CLOCK.now() + LIMIT).unwrap().body == b"x"
        closes_at = CLOCK.now() + 0.5
        wait_until(lambda: CLOCK.now() > closes_at, LIMIT)
        links.update_addresses(set())
        assert client.call(call, CLOCK.now() + LIMIT).is_err()
