"""Guards against lost, duplicated or stuck tasks across owner, log and agents."""

import json
import threading
from contextlib import closing

import attrs
import pytest
from result import Err

from pollenkeel_entry.batch.manager import CALL_TIMEOUT, ShardManager
from pollenkeel_entry.batch.ownership import TABLE as OWNERS
from pollenkeel_entry.batch.ownership import OwnerRow
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.config.model import QuotaConfig, TeamConfig
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.messages import Heartbeat, HeartbeatReply
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import EntrySettings, StoreSettings, TimingSettings
from pollenkeel_kernel.core.transport import ReplyServer
from pollenkeel_kernel.store.base import Put
from pollenkeel_standins.processes import wait_until
from pollenkeel_standins.relay import Relay
from pollenkeel_standins.scripted import (
    CLOCK,
    ScriptedAgent,
    ScriptedAgentTable,
    ScriptedConfig,
)

TIMING = TimingSettings(
    shard_lease=1.2, max_clock_skew=0.1, task_renewal=0.1, commit_interval=0.02
)


@pytest.fixture
def agents():
    return [ScriptedAgent("m0", "d0"), ScriptedAgent("m1", "d1")]


@pytest.fixture
def make_manager(backend, agents):
    managers = []

    def make(name="e0", config=None, shards=1, address="", **options):
        settings = EntrySettings(
            name, "d0", StoreSettings("x"), shards=shards, timing=TIMING
        )
        table = ScriptedAgentTable(agents)
        config = config or ScriptedConfig()
        context = EntryContext(settings, CLOCK, backend, table, config, StateDump())
        manager = ShardManager(context, **options)
        managers.append(manager)
        manager.start(address)
        return manager

    yield make
    backend.down = False
    for manager in managers:
        manager.close()


def wait_for(condition, limit=20.0):
    wait_until(condition, limit)


def body(job_id="j", tasks=3, urgent=False):
    size = {"cores": 1, "memory_gb": 1, "accelerators": 0}
    task = {"command": "run 1", "resources": size, "run_time": 1}
    specs = [{"task_id": f"t{i}", **task} for i in range(tasks)]
    job = {"job_id": job_id, "team": "a", "kind": "cut", "deadline": 0}
    return json.dumps({**job, "urgent": urgent, "tasks": specs}).encode()


def submit(manager, *args, **kwargs):
    wait_for(lambda: manager.status("x").unwrap_err().code is Code.NOT_FOUND)
    return manager.submit(body(*args, **kwargs))


def open_tasks(manager, job_id="j"):
    return json.loads(manager.status(job_id).unwrap())["open_tasks"]


def ran(agents):
    return [(s.task_id, s.attempt) for agent in agents for s in agent.ran]


@pytest.mark.parametrize("fault", ["none", "refuse", "lose_replies", "lost_answers"])
def test_job_runs_each_task_once(make_manager, agents, backend, fault):
    """Guards against lost or duplicated tasks after refusals and lost replies."""
    manager = make_manager()
    for agent in agents:
        agent.finish = True
        if fault in ("refuse", "lose_replies"):
            setattr(agent, fault, 2)
    wait_for(lambda: manager.status("x").unwrap_err().code is Code.NOT_FOUND)
    backend.lost_answers = 3 if fault == "lost_answers" else 0
    assert submit(manager).is_ok()
    wait_for(lambda: open_tasks(manager) == 0)
    assert sorted({task for task, _ in ran(agents)}) == ["j:t0", "j:t1", "j:t2"]
    assert len(ran(agents)) == 3
    wait_for(lambda: not any(agent.tasks for agent in agents))


def test_duplicate_submission_and_conflict(make_manager):
    """Guards against a repeated submission that runs a job twice."""
    manager = make_manager()
    assert submit(manager) == submit(manager)
    assert submit(manager, tasks=2).unwrap_err().code is Code.JOB_CONFLICT


def test_take_over_keeps_running_tasks(make_manager, agents):
    """Guards against a new owner that starts running tasks again."""
    first = make_manager("e0")
    assert submit(first).is_ok()
    wait_for(lambda: len(ran(agents)) == 3)
    first.close()
    second = make_manager("e1")
    wait_for(lambda: second.status("j").is_ok())
    for agent in agents:
        agent.finish = True
    wait_for(lambda: open_tasks(second) == 0)
    assert len(ran(agents)) == 3


def test_drained_data_centre_moves_tasks_with_checkpoint(make_manager, agents):
    """Guards against tasks left or started in a drained data centre."""
    config = ScriptedConfig()
    config.drained_data_centres = frozenset({"d1"})
    manager = make_manager(config=config)
    assert submit(manager).is_ok()
    wait_for(lambda: len(agents[0].ran) == 3)
    config.drained_data_centres = frozenset({"d0"})
    wait_for(lambda: len(agents[1].ran) == 3)
    assert {s.checkpoint_key for s in agents[1].ran} == {"ck"}
    assert len(agents[0].ran) == 3


def test_store_down_refuses_submission_without_effect(make_manager, backend):
    """Guards against a refused job that runs after the outage."""
    manager = make_manager()
    assert submit(manager).is_ok()
    backend.down = True
    refusal = manager.submit(body("k")).unwrap_err()
    assert refusal.code is Code.STORE_UNAVAILABLE
    backend.down = False
    assert submit(manager, "l").is_ok()
    assert manager.status("k").unwrap_err().code is Code.NOT_FOUND


def test_cancelled_job_stops_its_tasks(make_manager, agents):
    """Guards against tasks that keep running after a cancellation."""
    manager = make_manager()
    assert submit(manager).is_ok()
    wait_for(lambda: len(ran(agents)) == 3)
    assert manager.cancel("j").is_ok()
    wait_for(lambda: open_tasks(manager) == 0)
    wait_for(lambda: not any(agent.tasks for agent in agents))


def test_second_owner_takes_over_from_one_that_stopped_renewing(
    make_manager, agents, monkeypatch
):
    """Guards against two owners that both start or finish tasks."""
    first = make_manager("e0")
    assert submit(first).is_ok()
    wait_for(lambda: len(ran(agents)) == 3)
    monkeypatch.setattr(first, "_renew_all", lambda: None)
    second = make_manager("e1")
    wait_for(lambda: second.status("j").is_ok())
    wait_for(lambda: first.submit(body("k")).is_err())
    for agent in agents:
        agent.finish = True
    wait_for(lambda: open_tasks(second) == 0)
    assert len(ran(agents)) == 3


def read_owner_rows(backend):
    rows = [row for (table, _), row in list(backend.rows.items()) if table == OWNERS]
    return [OwnerRow(**json.loads(row.value)) for row in rows]


def register_entries(backend, *names):
    for name in names:
        value = json.dumps({"expires_at": CLOCK.now() + 60}).encode()
        assert backend.write([Put("entries", name, value)]).is_ok()


def test_surplus_shards_are_handed_to_an_entry_that_joins(
    make_manager, agents, backend
):
    """Guards against an entry that keeps all shards, and tasks lost in the handover."""
    first = make_manager("e0", shards=4)
    wait_for(lambda: len(read_owner_rows(backend)) == 4)
    jobs = [f"j{number}" for number in range(8)]
    for job_id in jobs:
        wait_for(lambda job_id=job_id: first.submit(body(job_id)).is_ok())
    wait_for(lambda: len(ran(agents)) == 24)
    register_entries(backend, "e0", "e1")
    second = make_manager("e1", shards=4)
    fair = ["e0", "e0", "e1", "e1"]
    wait_for(lambda: sorted(row.owner for row in read_owner_rows(backend)) == fair)
    for agent in agents:
        agent.finish = True
    for job_id in jobs:
        wait_for(lambda job_id=job_id: second.status(job_id).is_ok() or finished(first))
    wait_for(lambda: finished(first) and finished(second))
    assert len(ran(agents)) == 24
    # A shard that was handed over once has epoch 2; a higher epoch would show that it
    # was passed back and forth.
    assert sorted(row.epoch for row in read_owner_rows(backend)) == [1, 1, 2, 2]


def finished(manager):
    dump = manager._dump()
    return bool(dump) and all(not shard["open_jobs"] for shard in dump.values())


def test_lease_is_renewed_during_a_slow_recovery(make_manager, backend, monkeypatch):
    """Guards against a lease that expires while another shard's log is recovered."""
    release, scan = threading.Event(), backend.scan

    def slow_scan(table, prefix, *args, **kwargs):
        if (table, prefix) == ("log", "1/"):
            release.wait(20)
        return scan(table, prefix, *args, **kwargs)

    monkeypatch.setattr(backend, "scan", slow_scan)
    make_manager("e0", shards=2)
    wait_for(lambda: len(read_owner_rows(backend)) == 2)
    after = CLOCK.now() + 2 * TIMING.shard_lease
    wait_for(lambda: all(r.lease_until > after for r in read_owner_rows(backend)))
    release.set()
    assert [row.epoch for row in read_owner_rows(backend)] == [1, 1]


def test_quota_counts_over_the_shards_of_an_entry(make_manager, agents):
    """Guards against a team that can use its full quota on each shard."""
    config = ScriptedConfig()
    team = TeamConfig(1.0, QuotaConfig(tasks=4))
    config.config = attrs.evolve(config.config, teams={"a": team})
    manager = make_manager(config=config, shards=4)
    for number in range(8):
        wait_for(lambda number=number: manager.submit(body(f"j{number}")).is_ok())
    wait_for(lambda: len(ran(agents)) >= 4)
    codes = []
    for number in range(8):
        job = json.loads(manager.explain(f"j{number}").unwrap())
        codes += [d["code"] for task in job["tasks"] for d in task["decisions"]]
    assert Code.OVER_QUOTA.value in codes
    assert len(ran(agents)) == 4


def test_submission_behind_an_unresolved_append(make_manager, backend, monkeypatch):
    """Guards against running a rejected job, and rejecting one that may be written."""
    manager = make_manager()
    assert submit(manager).is_ok()
    shard = manager._shards[0]
    write, get = backend.write, backend.get
    unknown = Err(Refusal(Code.WRITE_UNKNOWN, "lost"))

    def lose_log_writes(puts):
        return unknown if puts[0].table == "log" else write(puts)

    with monkeypatch.context() as patch:
        patch.setattr(backend, "write", lose_log_writes)
        patch.setattr(backend, "get", lambda t, k: unknown if t == "log" else get(t, k))
        answers = []
        call = threading.Thread(target=lambda: answers.append(submit_now(manager, "k")))
        call.start()
        wait_for(lambda: shard._append_unresolved)
        refusals = [submit_now(manager, name).unwrap_err().code for name in "kl"]
        assert refusals == [Code.WRITE_UNKNOWN, Code.STORE_UNAVAILABLE]
    call.join(20)
    assert answers[0].is_ok()
    assert manager.status("l").unwrap_err().code is Code.NOT_FOUND
    assert submit_now(manager, "l").is_ok()


def submit_now(manager, job_id):
    return manager.submit(body(job_id))


def test_lapsed_attempt_resumes_from_an_unreported_checkpoint(
    make_manager, agents, backend
):
    """Guards against lost progress if a worker fails between eviction and report."""
    config = ScriptedConfig()
    config.drained_data_centres = frozenset({"d1"})
    manager = make_manager(config=config)
    assert submit(manager, tasks=1).is_ok()
    wait_for(lambda: len(ran(agents)) == 1)
    backend.put_object("checkpoints/j:t0/1", b"{}")
    agents[0].tasks["j:t0", 1] = "lapsed"
    wait_for(lambda: len(ran(agents)) == 2)
    assert agents[0].ran[1].checkpoint_key == "checkpoints/j:t0/1"


def test_no_start_on_an_agent_that_is_silent(make_manager, agents):
    """Guards against starts on an agent that sends announcements but never answers."""
    manager = make_manager(is_silent=lambda agent_id: agent_id == "m0")
    assert submit(manager).is_ok()
    wait_for(lambda: len(agents[1].ran) == 3)
    assert not agents[0].ran


def test_attempts_on_an_agent_that_never_answers_lapse(
    make_manager, agents, monkeypatch
):
    """Guards against task leases that each unanswered message extends."""
    timing = attrs.evolve(TIMING, task_lease=0.5, start_window=0.5)
    monkeypatch.setattr(f"{__name__}.TIMING", timing)
    silent = set()
    manager = make_manager(is_silent=lambda agent_id: agent_id in silent)
    assert submit(manager).is_ok()
    wait_for(lambda: len(ran(agents)) == 3)
    agent = next(agent for agent in agents if agent.ran)
    agent.lose_replies = 10**6
    silent.add(agent.name)
    other = next(a for a in agents if a is not agent)
    # The other agent has run at least as many tasks as the silent one has attempts.
    wait_for(lambda: len(agent.ran) <= len({s.task_id for s in other.ran}))


def test_call_on_a_silent_connection_fails_early(make_manager, monkeypatch):
    """Guards against calls that wait on a dead connection until their deadline."""
    timing = attrs.evolve(TIMING, heartbeat_interval=0.1, peer_silent_after=0.5)
    monkeypatch.setattr(f"{__name__}.TIMING", timing)

    def handle(message):
        if isinstance(message, Heartbeat):
            return HeartbeatReply("e1", CLOCK.now(), "epoch")
        return owner.handle(message)

    server = ReplyServer("tcp://127.0.0.1:0", "e1", CLOCK, handle)
    with closing(server), Relay(server.address) as relay:
        owner = make_manager("e1", address=relay.address)
        wait_for(lambda: owner.status("x").unwrap_err().code is Code.NOT_FOUND)
        caller = make_manager("e0")
        wait_for(lambda: caller.submit(body("j")).is_ok())
        relay.silence_established()
        since = CLOCK.now()
        wait_for(lambda: caller.submit(body("k")).is_ok())
        assert CLOCK.now() - since < CALL_TIMEOUT / 2
        caller.close()


def test_eviction_requested_by_agent_is_recorded_once_and_resumes(make_manager, agents):
    """Guards against ignored or repeated eviction requests, and lost checkpoints."""
    manager = make_manager()
    for agent in agents:
        agent.evict_wanted = {("j:t0", 1)}
    assert submit(manager, tasks=1).is_ok()
    wait_for(lambda: ("j:t0", 2) in ran(agents))
    second = [s for agent in agents for s in agent.ran if s.attempt == 2]
    assert [s.checkpoint_key for s in second] == ["ck"]
    task = json.loads(manager.explain("j").unwrap())["tasks"][0]
    wanted = [d for d in task["decisions"] if d["action"] == "evict"]
    assert [d["reason"] for d in wanted] == ["the agent asked: slow"]
