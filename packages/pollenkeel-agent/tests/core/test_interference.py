"""Guards against ignored actions and evictions that the shard owner did not order."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from pollenkeel_agent.core.interference import InterferenceLoop
from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.site import SiteState
from pollenkeel_agent.core.task_records import TaskRecords
from pollenkeel_agent.core.upstreams import UpstreamAnnouncement, UpstreamRegistry
from pollenkeel_agent.core.worker import WorkerClient
from pollenkeel_kernel.config import ConfigDocument, encode_document
from pollenkeel_kernel.core.messages import AnnounceReply, ConfigSnapshot, Resources
from pollenkeel_kernel.policy.interference import Action, ActionKind

TASK_RESOURCES = {"cores": 2.0, "memory_gb": 4.0, "accelerators": 0}


class ScriptedController:
    def __init__(self):
        self.samples, self.tasks, self.kinds = [], [], []

    def observe(self, sample):
        self.samples.append(sample)

    def decide(self, now, tasks):
        self.tasks = tasks
        kinds, self.kinds = self.kinds, []
        return [Action(kind, tasks[0].task_id, 0.5, "slow") for kind in kinds]


@pytest.fixture
def harness(clock, worker):
    class Harness:
        ledger = Ledger(Resources(8, 32))
        upstreams = UpstreamRegistry(ledger, clock, 5.0)
        records = TaskRecords(ledger, clock, 60.0)
        client = WorkerClient(worker.url, clock)
        site = SiteState("kingston", clock, 0.5)
        controller = ScriptedController()

        def poll(self):
            self.records.merge(
                self.records.begin_list(), self.client.list_tasks().unwrap()
            )

    harness = Harness()
    with ThreadPoolExecutor(1) as executor:
        harness.loop = InterferenceLoop(
            harness.controller,
            clock,
            harness.upstreams,
            harness.records,
            harness.client,
            harness.site.promised_time,
            executor,
        )
        worker.add(("t", 1), TASK_RESOURCES, kind="cut")
        harness.poll()
        yield harness


def test_latencies_are_reported_to_the_controller_once(harness, clock):
    """Guards against a wrong promised time and repeated reports of old latencies."""
    base = {
        "data_centres": {"kingston": {"region": "r", "site": "s"}},
        "services": {"quotes": {"promised_time": 0.25}},
    }
    body = encode_document(ConfigDocument(base, {}))
    now = clock.now()
    reply = AnnounceReply("e", now, "x", ConfigSnapshot(1, [], body), 0.0, [])
    harness.site.accept(reply, now, now)
    harness.upstreams.announce("quotes", UpstreamAnnouncement("http://127.0.0.1:1", 4))
    harness.ledger.reserve_slot("quotes")
    for _ in range(20):
        harness.upstreams.record_latency("quotes", 0.1)
    harness.loop.step()
    harness.loop.step()
    (sample,) = harness.controller.samples
    assert (sample.service, sample.promised_time, sample.load) == ("quotes", 0.25, 0.25)
    assert sample.p99_seconds == pytest.approx(0.1, rel=0.02)


def test_throttle_is_sent_to_the_worker_and_recorded(harness, worker):
    """Guards against a throttle that the next decision does not take into account."""
    harness.controller.kinds = [ActionKind.THROTTLE]
    harness.loop.step()
    harness.loop.step()
    assert worker.orders == [("t", "throttle")]
    (task,) = harness.controller.tasks
    assert (task.kind, task.cores, task.share) == ("cut", 2.0, 0.5)


def test_eviction_is_only_requested_and_not_decided_again(harness, worker):
    """Guards against an eviction that the shard owner did not order."""
    harness.controller.kinds = [ActionKind.CHECKPOINT, ActionKind.EVICT]
    harness.loop.step()
    harness.loop.step()
    assert harness.controller.tasks == []
    (record,) = harness.records.running()
    assert record.to_message().evict_wanted == "slow"
    harness.poll()
    # The checkpoint runs in the executor and may not have reached the worker yet.
    assert [order for _, order in worker.orders] in (["checkpoint"], [])
    assert harness.records.running()[0].evict_wanted == "slow"
