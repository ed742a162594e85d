"""Control loop that limits interference of batch tasks with services on this VM."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor

import logbook

from pollenkeel_agent.core.metrics import INTERFERENCE_ACTIONS
from pollenkeel_agent.core.task_records import TaskRecords
from pollenkeel_agent.core.upstreams import UpstreamRegistry
from pollenkeel_agent.core.worker import WorkerClient
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import TaskKey
from pollenkeel_kernel.policy.interference import (
    Action,
    ActionKind,
    BatchTask,
    InterferenceController,
    ServiceSample,
)

logger = logbook.Logger("interference")


class InterferenceLoop:
    """Passes latency measurements to the controller and applies its actions.

    An eviction is only requested here. The owner of the task's shard orders it in its
    next exchange.

    Parameters
    ----------
    controller : InterferenceController
        Policy that decides on the actions.
    clock : Clock
        Source of time.
    upstreams : UpstreamRegistry
        Source of the latency measurements of the services.
    records : TaskRecords
        Task attempts on this VM.
    worker : WorkerClient
        Client of the worker of this VM.
    promised_time : callable
        Returns the longest latency that a service promises, in seconds.
    executor : Executor
        Runs checkpoint calls, which may take up to 30 s.
    """

    def __init__(
        self,
        controller: InterferenceController,
        clock: Clock,
        upstreams: UpstreamRegistry,
        records: TaskRecords,
        worker: WorkerClient,
        promised_time: Callable[[str], float],
        executor: Executor,
    ) -> None:
        self._controller = controller
        self._clock = clock
        self._upstreams = upstreams
        self._records = records
        self._worker = worker
        self._promised_time = promised_time
        self._executor = executor

    def step(self) -> None:
        """Run one round: report new measurements and apply the resulting actions."""
        now = self._clock.now()
        for latency in self._upstreams.pop_latencies():
            self._controller.observe(
                ServiceSample(
                    latency.service,
                    now,
                    latency.p99_seconds,
                    self._promised_time(latency.service),
                    latency.load,
                )
            )
        keys_by_id = {}
        tasks = []
        for record in self._records.running():
            # The controller must not decide again on a task that is to be evicted.
            if not record.evict_wanted:
                name = f"{record.key.task_id}/{record.key.attempt}"
                keys_by_id[name] = record.key
                task = BatchTask(name, record.kind, record.cores, record.share)
                tasks.append(task)
        for action in self._controller.decide(now, tasks):
            self._apply_action(keys_by_id[action.task_id], action)

    def _apply_action(self, key: TaskKey, action: Action) -> None:
        INTERFERENCE_ACTIONS.labels(action.kind.value).inc()
        log_change(
            logger,
            f"interference: {action.kind.value}",
            task=key.task_id,
            share=action.share,
            reason=action.reason,
        )
        if action.kind is ActionKind.EVICT:
            self._records.request_eviction(key, action.reason)
        elif action.kind is ActionKind.CHECKPOINT:
            path = f"checkpoints/{key.task_id}/{key.attempt}"
            self._executor.submit(self._worker.checkpoint, key, path, False)
        elif self._worker.throttle(key, action.share):
            self._records.set_share(key, action.share)
