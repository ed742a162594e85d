"""Fakes for the interfaces of an entry: store, agents and configuration."""

import threading
import time
from collections import Counter

import attrs
import pytest
from result import Err, Ok

from pollenkeel_entry.core.config_source import ConfigSource
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentTable
from pollenkeel_entry.requests.request import ServiceRequest
from pollenkeel_entry.requests.service import RequestService
from pollenkeel_kernel import Code, Refusal, SystemClock
from pollenkeel_kernel.config.model import (
    ClusterConfig,
    DataCentreConfig,
    PolicyConfig,
    ServiceConfig,
    TeamConfig,
)
from pollenkeel_kernel.core.digest import body_digest
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import (
    Announce,
    AttemptReply,
    ConfigSnapshot,
    Dispatch,
    DispatchReply,
    HeartbeatReply,
    QueryAttempt,
    Resources,
    UpstreamStatus,
)
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_kernel.store.base import Backend, Row

CLOCK = SystemClock()


class MemoryBackend(Backend):
    """In-memory store with injected faults.

    ``faults`` lists the faults of the next writes, an empty string for none: ``down``
    rejects the write with 2003; ``lost`` applies the write and ``dropped`` does not,
    and both return 3006. ``all_down`` rejects every call, ``reads_down`` row reads and
    ``objects_down`` deletions of objects.
    """

    def __init__(self, settings=None):
        self.lock = threading.Lock()
        self.rows = {}
        self.objects = {}
        self.faults = []
        self.all_down = False
        self.reads_down = False
        self.objects_down = False
        self.writes = 0

    def get(self, table, key):
        with self.lock:
            if self.all_down or self.reads_down:
                return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
            return Ok(self.rows.get((table, key)))

    def scan(self, table, prefix, after="", limit=1000):
        with self.lock:
            if self.all_down:
                return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
            found = [r for (t, k), r in sorted(self.rows.items()) if t == table]
            found = [r for r in found if r.key.startswith(prefix) and r.key > after]
            return Ok(found[:limit])

    def write(self, puts):
        with self.lock:
            self.writes += 1
            fault = self.faults.pop(0) if self.faults else ""
            if self.all_down or fault == "down":
                return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
            if fault == "dropped":
                return Err(Refusal(Code.WRITE_UNKNOWN, "dropped"))
            result = self._apply(puts)
            if fault == "lost":
                return Err(Refusal(Code.WRITE_UNKNOWN, "lost"))
            return result

    def _apply(self, puts):
        versions = []
        for put in puts:
            row = self.rows.get((put.table, put.key))
            version = row.version if row else 0
            if put.expected_version not in (None, version):
                return Err(Refusal(Code.VERSION_CONFLICT, put.key))
            versions.append(version + 1)
        for put, version in zip(puts, versions, strict=True):
            if put.value is None:
                self.rows.pop((put.table, put.key), None)
            else:
                self.rows[put.table, put.key] = Row(put.key, version, put.value)
        return Ok(versions)

    def get_object(self, key):
        if self.all_down:
            return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
        return Ok(self.objects.get(key))

    def put_object(self, key, content):
        if self.all_down:
            return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
        self.objects[key] = content
        return Ok(None)

    def delete_object(self, key):
        if self.all_down or self.objects_down:
            return Err(Refusal(Code.STORE_UNAVAILABLE, "down"))
        self.objects.pop(key, None)
        return Ok(None)


class FakeConfig(ConfigSource):
    """Configuration with service ``desk`` and the teams ``a`` and ``b``."""

    def __init__(self, **service):
        self.drained_names = frozenset()
        self.config = ClusterConfig(
            {"kgn": DataCentreConfig("r", "s"), "pmr": DataCentreConfig("r", "s")},
            {"desk": ServiceConfig(**service)},
            {"a": TeamConfig(0.5), "b": TeamConfig(0.5)},
            PolicyConfig(),
        )

    def snapshot(self):
        return ConfigSnapshot(7, sorted(self.drained_names), b"body")

    def effective(self):
        return self.config

    def drained(self):
        return self.drained_names

    def permit_until(self, data_centre):
        return 0.0 if data_centre in self.drained_names else 99.0


def make_reply(agent_id, attempt_id, body=b"done", **changes):
    reply = DispatchReply(
        agent_id,
        CLOCK.now(),
        attempt_id,
        Code.OK.value,
        status=200,
        headers={"X-Up": "1"},
        body=body,
        body_length=len(body),
        body_digest=body_digest(body),
        free_slots=8,
    )
    return attrs.evolve(reply, **changes)


class FakeAgent:
    """Agent that records the attempts that it runs.

    The items of ``script`` reply to the next dispatches, ``default`` to all later ones;
    each is called with the agent and the dispatch. An attempt counts as run when
    ``run`` is called for it. While ``frozen`` is set, the agent does not reply.
    """

    def __init__(self, agent_id, data_centre="kgn", slots=8):
        self.id = agent_id
        self.data_centre = data_centre
        self.slots = slots
        self.epoch = "e1"
        self.script = []
        self.default = FakeAgent.run
        self.frozen = threading.Event()
        self.delay = 0.0
        self.lock = threading.Lock()
        self.ran = Counter()
        self.states = {}
        self.replies = {}
        self.dispatches = []
        self.release = threading.Event()
        self.server = ReplyServer("tcp://127.0.0.1:0", agent_id, CLOCK, self._handle)

    def announce(self, **changes):
        upstream = UpstreamStatus("desk", self.slots, self.slots)
        announce = Announce(
            self.id,
            CLOCK.now(),
            agent_epoch=self.epoch,
            vm=f"vm-{self.id}",
            data_centre=self.data_centre,
            rack="r",
            address=self.server.address,
            state="serving",
            config_version=7,
            upstreams=[upstream],
            capacity=Resources(),
            free=Resources(),
            running_kinds={},
            worker_ready=False,
        )
        return attrs.evolve(announce, **changes)

    def run(self, dispatch):
        with self.lock:
            if self.states.get(dispatch.attempt_id) == "tombstoned":
                return self.refuse(dispatch, Code.TOMBSTONED)
            self.ran[dispatch.body] += 1
            self.states[dispatch.attempt_id] = "finished"
            reply = make_reply(self.id, dispatch.attempt_id, b"for " + dispatch.body)
            self.replies[dispatch.attempt_id] = reply
            return reply

    def refuse(self, dispatch, code=Code.VM_FULL):
        self.states.setdefault(dispatch.attempt_id, "refused")
        return make_reply(self.id, dispatch.attempt_id, b"", code=code.value, status=0)

    def stay_running(self, dispatch):
        self.ran[dispatch.body] += 1
        self.states[dispatch.attempt_id] = "running"
        self.release.wait(20)
        return self.refuse(dispatch, Code.NO_REPLY)

    def _handle(self, message):
        if self.frozen.is_set():
            self.release.wait(20)
        self.release.wait(self.delay)
        if isinstance(message, Dispatch):
            self.dispatches.append(message)
            action = self.script.pop(0) if self.script else self.default
            return action(self, message)
        if isinstance(message, QueryAttempt):
            return self._query(message)
        return HeartbeatReply(self.id, CLOCK.now(), self.epoch)

    def _query(self, query):
        with self.lock:
            state = self.states.get(query.attempt_id)
            if query.agent_epoch != self.epoch:
                state = "lost"
            elif state is None and query.tombstone:
                state = self.states[query.attempt_id] = "tombstoned"
        reply = self.replies.get(query.attempt_id)
        return AttemptReply(self.id, CLOCK.now(), query.attempt_id, state, reply)

    def close(self):
        self.release.set()
        self.server.close()


class Rig:
    """Request path of one entry with a fake store, agents and configuration."""

    def __init__(self, settings=None, backend=None, **service):
        self.settings = settings or EntrySettings("e", "kgn", StoreSettings("none"))
        self.backend = backend or MemoryBackend()
        self.config = FakeConfig(**service)
        self.context = EntryContext(
            self.settings,
            CLOCK,
            self.backend,
            AgentTable(self.settings.timing, CLOCK),
            self.config,
            StateDump(),
        )
        self.silent = set()
        self.agents = []
        self.service = RequestService(self.context, lambda i: i in self.silent)
        self.service.start()
        self.router = self.service.router

    def add_agent(self, agent_id="a1", **options):
        agent = FakeAgent(agent_id, **options)
        self.agents.append(agent)
        self.announce(agent)
        return agent

    def announce(self, agent, **changes):
        announce = agent.announce(**changes)
        self.context.agents.update(announce)
        self.router.handle_announcement(announce)

    def request(self, method="GET", key="", body=b"x", seconds=5.0, **changes):
        request = ServiceRequest(
            service="desk",
            team="a",
            method=method,
            path="/p?q=1",
            headers={},
            body=body,
            idempotent=method == "GET",
            key=key,
            deadline=CLOCK.now() + seconds,
        )
        return attrs.evolve(request, **changes)

    def forward(self, *args, **kwargs):
        return self.service.forwarder.forward(self.request(*args, **kwargs))

    def runs(self, body=b"x"):
        return sum(agent.ran[body] for agent in self.agents)

    def close(self):
        for agent in self.agents:
            agent.close()
        self.service.close()
        for record in self.context.agents.live():
            record.client.close()


def wait_until(condition, seconds=20):
    limit = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < limit, "condition not reached"
        threading.Event().wait(0.005)


@pytest.fixture
def make_rig():
    rigs = []

    def make(**options):
        rigs.append(Rig(**options))
        return rigs[-1]

    yield make
    for rig in rigs:
        rig.close()


@pytest.fixture
def rig(make_rig):
    return make_rig()


@pytest.fixture
def fakes():
    """Return the classes and helpers of this module."""

    class Fakes:
        clock = CLOCK
        backend = MemoryBackend
        config = FakeConfig
        agent = FakeAgent
        reply = staticmethod(make_reply)
        wait_until = staticmethod(wait_until)

    return Fakes
