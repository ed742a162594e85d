"""Fake agents and configuration for in-process tests of an entry's shard manager."""

from __future__ import annotations

import threading
from typing import Any

from result import Err, Ok, Result

from pollenkeel_entry.core.config_source import ConfigSource
from pollenkeel_entry.core.membership import AgentRecord, AgentTable
from pollenkeel_kernel.config.model import ClusterConfig, DataCentreConfig, TeamConfig
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import (
    Announce,
    ConfigSnapshot,
    Message,
    Resources,
    TaskExchange,
    TaskExchangeReply,
    TaskStart,
    TaskState,
)
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import TimingSettings

CLOCK = SystemClock()
SIZE = Resources(1000.0, 1000.0, 0)
_PERMIT_SECONDS = 3.0
_EXPIRY_SECONDS = 5.0


class ScriptedConfig(ConfigSource):
    """Configuration with the data centres ``d0`` and ``d1`` and the team ``a``.

    Attributes
    ----------
    drained_data_centres : frozenset of str
        Drained data centres.
    """

    def __init__(self) -> None:
        self.drained_data_centres: frozenset[str] = frozenset()
        centres = {n: DataCentreConfig("r", "s") for n in ("d0", "d1")}
        self.config = ClusterConfig(centres, teams={"a": TeamConfig(1.0)})

    def snapshot(self) -> ConfigSnapshot | None:
        """Return None: agents get no snapshot."""
        return None

    def effective(self) -> ClusterConfig:
        """Return the configuration."""
        return self.config

    def drained(self) -> frozenset[str]:
        """Return the drained data centres."""
        return self.drained_data_centres

    def permit_until(self, data_centre: str) -> float:
        """Return the end of the permit; 0 for a drained data centre."""
        return (
            0.0
            if data_centre in self.drained_data_centres
            else CLOCK.now() + _PERMIT_SECONDS
        )


class ScriptedAgent:
    """Fake agent that accepts starts, ends tasks on request and records what ran.

    Attributes
    ----------
    ran : list of TaskStart
        Starts that were accepted.
    refuse, lose_replies : int
        Number of upcoming starts to reject, and of upcoming replies to lose.
    finish : bool
        Whether running tasks complete at the next exchange.
    evict_wanted : set of (str, int)
        Attempts for which the agent asks for an eviction.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.name, self.data_centre = name, data_centre
        self.tasks: dict[tuple[str, int], str] = {}
        self.shards: dict[tuple[str, int], int] = {}
        self.ran: list[TaskStart] = []
        self.epochs: dict[int, int] = {}
        self.refuse, self.lose_replies, self.finish = 0, 0, False
        self.evict_wanted: set[tuple[str, int]] = set()
        self.lock = threading.Lock()

    def call(
        self, message: Message, deadline: float, connect_deadline: float | None = None
    ) -> Result[Message, Refusal]:
        """Answer an exchange; replaces ``PeerClient.call``."""
        assert isinstance(message, TaskExchange)
        with self.lock:
            highest = self.epochs.get(message.shard, 0)
            if message.shard_epoch < highest:
                return Ok(self._reply(Code.STALE_SHARD_EPOCH, message.shard))
            self.epochs[message.shard] = message.shard_epoch
            self._apply(message)
            if self.lose_replies:
                self.lose_replies -= 1
                return Err(Refusal(Code.NO_REPLY, "lost"))
            return Ok(self._reply(Code.OK, message.shard))

    def _apply(self, message: TaskExchange) -> None:
        for start in message.starts:
            key = (start.task_id, start.attempt)
            state = "refused" if self.refuse else "running"
            self.refuse -= state == "refused"
            self.tasks[key], self.shards[key] = state, message.shard
            self.ran += [start] if state == "running" else []
        for order in message.evicts:
            if self.tasks.get((order.task_id, order.attempt)) == "running":
                self.tasks[order.task_id, order.attempt] = "evicted"
        for order in message.stops:
            if (order.task_id, order.attempt) in self.tasks:
                self.tasks[order.task_id, order.attempt] = "stopped"
        for order in message.acknowledged:
            self.tasks.pop((order.task_id, order.attempt), None)
        if self.finish:
            for key, state in self.tasks.items():
                self.tasks[key] = "done" if state == "running" else state

    def _reply(self, code: Code, shard: int) -> TaskExchangeReply:
        tasks = [
            TaskState(
                t,
                n,
                s,
                checkpoint_key="ck" if s == "evicted" else "",
                evict_wanted="slow" if (t, n) in self.evict_wanted else "",
            )
            for (t, n), s in self.tasks.items()
            if self.shards[t, n] == shard
        ]
        return TaskExchangeReply(
            self.name, CLOCK.now(), code.value, complete=True, tasks=tasks
        )

    def announce(self) -> Announce:
        """Return the current announcement."""
        return Announce(
            self.name,
            CLOCK.now(),
            agent_epoch="e1",
            vm=self.name,
            data_centre=self.data_centre,
            rack="rack",
            address="tcp://x",
            state="ready",
            config_version=1,
            upstreams=[],
            capacity=SIZE,
            free=SIZE,
            running_kinds={},
            worker_ready=True,
        )

    def record(self) -> AgentRecord:
        """Return the entry's record of this agent, as if just announced."""
        client: Any = self
        return AgentRecord(self.announce(), client, CLOCK.now() + _EXPIRY_SECONDS)


class ScriptedAgentTable(AgentTable):
    """Agent table whose agents never expire.

    Parameters
    ----------
    agents : list of ScriptedAgent
        The agents.
    """

    def __init__(self, agents: list[ScriptedAgent]) -> None:
        super().__init__(TimingSettings(), CLOCK)
        self._agents_by_id = {agent.name: agent for agent in agents}

    def live(self) -> list[AgentRecord]:
        """Return all agents."""
        return [agent.record() for agent in self._agents_by_id.values()]

    def get(self, agent_id: str) -> AgentRecord | None:
        """Return an agent, or None."""
        agent = self._agents_by_id.get(agent_id)
        return agent.record() if agent else None
