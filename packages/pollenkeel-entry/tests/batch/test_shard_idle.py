"""Guards against work that a shard without queued tasks repeats needlessly."""

import pytest

from pollenkeel_entry.batch.decisions import DecisionRecord
from pollenkeel_entry.batch.events import JobSubmitted
from pollenkeel_entry.batch.hints import CapacityHints, StartRamp
from pollenkeel_entry.batch.log import ShardLog
from pollenkeel_entry.batch.ownership import Ownership
from pollenkeel_entry.batch.quota import QuotaTable
from pollenkeel_entry.batch.records import TaskSpec
from pollenkeel_entry.batch.shard import Shard, ShardServices
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import Resources
from pollenkeel_kernel.core.settings import EntrySettings, LimitSettings, StoreSettings
from pollenkeel_kernel.policy.quarantine import NoQuarantine
from pollenkeel_standins.scripted import (
    CLOCK,
    ScriptedAgent,
    ScriptedAgentTable,
    ScriptedConfig,
)

SETTINGS = EntrySettings("e0", "d0", StoreSettings("x"), shards=1)
INTERVAL = SETTINGS.timing.commit_interval


class IdleShardHarness:
    """A shard with three agents; each tick advances the clock by a commit interval."""

    def __init__(self, backend, clock):
        clock.advance(CLOCK.now() - clock.now())
        agents = [ScriptedAgent(f"m{i}", "d0") for i in range(3)]
        table = ScriptedAgentTable(agents)
        config = ScriptedConfig()
        context = EntryContext(SETTINGS, clock, backend, table, config, StateDump())
        ownership = Ownership(backend, SETTINGS.timing, clock, "e0", "")
        lease = ownership.claim(0, None, 0).unwrap()
        log = ShardLog(backend, 0, "e0", lease.row.epoch)
        log.recover().unwrap()
        self.clock = clock
        self.silence_checks = 0
        services = ShardServices(
            ownership,
            CapacityHints(),
            StartRamp(),
            NoQuarantine(),
            DecisionRecord(LimitSettings()),
            QuotaTable(1),
            lambda agent_id: None,
            self.is_silent,
        )
        self.shard = Shard(context, lease, log, services)

    def is_silent(self, agent_id):
        self.silence_checks += 1
        return False

    def tick(self, times=1):
        for _ in range(times):
            self.shard.tick()
            self.clock.advance(INTERVAL)

    def submit(self):
        spec = TaskSpec("t0", "run 1", Resources(1, 1, 0), 1.0)
        return self.shard.submit(
            JobSubmitted("j", "a", "cut", 0.0, False, "d", 0.0, 0, [spec])
        )


@pytest.fixture
def harness(backend, clock):
    return IdleShardHarness(backend, clock)


def test_idle_shard_does_not_examine_agents_in_each_interval(harness):
    """Guards against an idle entry examining each agent 20 times a second per shard."""
    harness.tick(int(2 / INTERVAL))
    # One to three idle passes over three agents in two seconds; a pass in each commit
    # interval would make 120 checks.
    assert 3 <= harness.silence_checks <= 9


def test_a_task_is_planned_in_the_next_interval_after_an_idle_pass(harness):
    """Guards against a start that is delayed until the end of the idle interval."""
    harness.tick(3)
    answer = harness.submit()
    harness.tick(2)
    assert answer.done()
    assert not harness.shard.log.state.queued
