"""Orders of a shard's owner to agents, and the exchanges that carry them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeGuard

from result import Err, Result

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.exchange import (
    ExchangeEffects,
    evaluate_error,
    evaluate_reply,
    find_lapsed,
)
from pollenkeel_entry.batch.inbox import EventInbox
from pollenkeel_entry.batch.ownership import limit_task_lease
from pollenkeel_entry.batch.services import OwnedShard
from pollenkeel_entry.batch.start_planner import StartPlanner
from pollenkeel_entry.batch.state import ShardState
from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import (
    Message,
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
    TaskStart,
)
from pollenkeel_kernel.core.refusal import Refusal


class AgentOrders:
    """Orders queued by agent, and the task leases granted with them.

    Not thread-safe; the shard's lock protects it.

    Parameters
    ----------
    shard : OwnedShard
        Lease and log of the shard, and the objects shared with other shards.
    inbox : EventInbox
        Receives the events that follow from exchanges.
    planner : StartPlanner
        Receives the measured usage of running tasks.

    Attributes
    ----------
    granted_until : float
        Latest end of a task lease that this owner has granted.
    """

    def __init__(
        self, shard: OwnedShard, inbox: EventInbox, planner: StartPlanner
    ) -> None:
        self.granted_until = 0.0
        self._context, self._services = shard.context, shard.services
        self._lease, self._log = shard.lease, shard.log
        self._timing = shard.context.settings.timing
        self._inbox = inbox
        self._planner = planner
        self._pending_starts_by_agent: dict[str, list[TaskStart]] = {}
        self._acks_by_agent: dict[str, list[TaskKey]] = {}
        self._stops_by_agent: dict[str, list[TaskKey]] = {}
        self._evicts_by_agent: dict[str, set[TaskKey]] = {}
        self._granted_until_by_agent: dict[str, float] = {}
        #: Latest end of task leases granted by earlier owners, for agents that have
        #: accepted an exchange of this owner and thus reject earlier ones.
        self._inherited_until_by_agent: dict[str, float] = {}
        #: Process epoch in which an agent last accepted an exchange.
        self._answered_epoch_by_agent: dict[str, str] = {}
        #: Agents that did not answer the last exchange.
        self._unanswered_agents: set[str] = set()

    def queue_start(self, event: ev.AttemptStarted) -> None:
        """Queue the message of a committed start for the next exchange."""
        task = self._log.state.task_with_attempt(event.key, event.attempt)
        if task is None:
            return
        job = self._log.state.jobs_by_id[task.job_id]
        start = TaskStart(
            event.key,
            event.attempt,
            job.kind,
            job.team,
            task.spec.resources,
            task.spec.command,
            task.checkpoint_key,
            event.start_before,
            event.lease_until,
        )
        self._pending_starts_by_agent.setdefault(event.agent_id, []).append(start)
        now = self._context.clock.now()
        self._services.decisions.record(
            now, event.key, "start", Code.OK.value, "", event.vm
        )
        self._services.wake(event.agent_id)

    def queue_end(self, agent_id: str, event: ev.AttemptEnded) -> None:
        """Queue the acknowledgement or stop of an attempt that ends."""
        # The agent of a lapsed attempt may return and still list it, so the attempt is
        # to be stopped instead of acknowledged.
        lapsed = event.outcome == rec.LAPSED
        if lapsed:
            self._planner.unchecked_agents.add(agent_id)
            self._services.wake(agent_id)
        orders = self._stops_by_agent if lapsed else self._acks_by_agent
        orders.setdefault(agent_id, []).append(TaskKey(event.key, event.attempt))

    def list_lapsed(self) -> list[ev.AttemptEnded]:
        """Return the ends of attempts whose task lease has certainly expired."""
        lapsed = find_lapsed(
            self._log.state,
            self._granted_until_by_agent,
            self._inherited_until_by_agent,
            self._lease.inherited_until,
            self._context.clock.now(),
            self._timing.max_clock_skew,
        )
        return list(lapsed)

    def make_exchange(self, record: AgentRecord) -> TaskExchange | None:
        """Remove what is queued for an agent and return it as the next message.

        Returns None if there is nothing to send. A message extends the granted task
        lease, unless the agent left the previous one unanswered.
        """
        agent_id, now = record.announce.sender, self._context.clock.now()
        state = self._log.state
        keys = state.keys_by_agent.get(agent_id, {})
        starts = self._pop_valid_starts(agent_id, now)
        acks = self._acks_by_agent.pop(agent_id, [])
        stops = self._pop_stops(record)
        # Every incarnation of an agent gets at least one message, because it then
        # rejects messages from earlier owners of the shard.
        has_answered = (
            self._answered_epoch_by_agent.get(agent_id) == record.announce.agent_epoch
        )
        if has_answered and not (keys or acks or stops):
            return None
        stops += self._list_cancelled(keys)
        evicts = self._list_evictions(record, keys)
        until = self._grant_task_lease(agent_id, now)
        return TaskExchange(
            self._context.settings.id,
            now,
            record.announce.agent_epoch,
            self._lease.shard,
            self._lease.row.epoch,
            until,
            starts,
            evicts,
            list(dict.fromkeys(stops)),
            list(dict.fromkeys(acks)),
            running=_list_attempts(state, keys),
            shard_lease_until=self._lease.row.lease_until,
        )

    def _pop_stops(self, record: AgentRecord) -> list[TaskKey]:
        """Return the stops to send; none before an unchecked agent lists its tasks."""
        agent_id = record.announce.sender
        unchecked = agent_id in self._planner.unchecked_agents
        if unchecked and not record.announce.worker_ready:
            return []
        return self._stops_by_agent.pop(agent_id, [])

    def _list_cancelled(self, keys: Iterable[str]) -> list[TaskKey]:
        """Return the open attempts of cancelled jobs."""
        state = self._log.state
        return [
            attempt
            for attempt in _list_attempts(state, keys)
            if state.jobs_by_id[state.tasks_by_key[attempt.task_id].job_id].cancelled
        ]

    def _list_evictions(
        self, record: AgentRecord, keys: Iterable[str]
    ) -> list[TaskKey]:
        """Return the running attempts of an agent that are to be evicted."""
        state = self._log.state
        drained = record.announce.data_centre in self._context.config.drained()
        wanted = self._evicts_by_agent.get(record.announce.sender, set())
        evicts = []
        for attempt in _list_attempts(state, keys):
            task = state.tasks_by_key[attempt.task_id]
            if state.jobs_by_id[task.job_id].cancelled or task.state != rec.RUNNING:
                continue
            if drained or attempt in wanted:
                evicts.append(attempt)
        return evicts

    def _grant_task_lease(self, agent_id: str, now: float) -> float:
        """Return the end of the task lease in the next message, and record it."""
        granted = self._granted_until_by_agent.get(agent_id, 0.0)
        # An unanswered message may have arrived. If each of them extended the lease,
        # the attempts of an agent that cannot answer would never lapse.
        silent = agent_id in self._unanswered_agents
        until = granted if silent else limit_task_lease(self._lease, self._timing, now)
        latest = max(until, granted)
        self._granted_until_by_agent[agent_id] = latest
        self.granted_until = max(self.granted_until, latest)
        return until

    def _pop_valid_starts(self, agent_id: str, now: float) -> list[TaskStart]:
        """Return the starts to send to an agent; end cancelled and expired ones."""
        starts = self._pending_starts_by_agent.pop(agent_id, [])
        state = self._log.state
        valid = []
        for start in starts:
            task = state.task_with_attempt(start.task_id, start.attempt)
            if task is None:
                continue
            cancelled = state.jobs_by_id[task.job_id].cancelled
            if cancelled or start.start_before <= now:
                code = Code.CANCELLED if cancelled else Code.START_EXPIRED
                end = ev.AttemptEnded(
                    start.task_id, start.attempt, rec.REFUSED, code.value, "not sent"
                )
                self._inbox.add_once([end])
            else:
                valid.append(start)
        return valid

    def process_result(
        self, agent_id: str, message: TaskExchange, result: Result[Message, Refusal]
    ) -> list[ev.AttemptEnded]:
        """Queue the events that follow from an exchange, except for lapsed attempts.

        Lapsed attempts are returned, because their checkpoints must be looked up in the
        object store, which is done without the lock.
        """
        if isinstance(result, Err):
            self._unanswered_agents.add(agent_id)
            effects = evaluate_error(message.starts, result.err_value)
            effects.acknowledged += message.acknowledged
            effects.stops += message.stops
        elif isinstance(result.ok_value, TaskExchangeReply):
            effects = self._process_reply(agent_id, message, result.ok_value)
        else:
            effects = ExchangeEffects()
        self._inbox.add_once(e for e in effects.events if not _is_lapsed(e))
        self._acks_by_agent.setdefault(agent_id, []).extend(effects.acknowledged)
        self._stops_by_agent.setdefault(agent_id, []).extend(effects.stops)
        return [e for e in effects.events if _is_lapsed(e)]

    def _process_reply(
        self, agent_id: str, message: TaskExchange, reply: TaskExchangeReply
    ) -> ExchangeEffects:
        self._unanswered_agents.discard(agent_id)
        if not self._stops_by_agent.get(agent_id):
            self._planner.unchecked_agents.discard(agent_id)
        if reply.code == Code.OK.value:
            bound = self._context.clock.now() + self._timing.task_lease
            self._inherited_until_by_agent.setdefault(agent_id, bound)
            self._answered_epoch_by_agent[agent_id] = message.agent_epoch
        started = [TaskKey(s.task_id, s.attempt) for s in message.starts]
        self._services.hints.answered(agent_id, started, reply.sent_at)
        self._planner.observe_usage(reply)
        self._handle_eviction_requests(agent_id, reply)
        return evaluate_reply(self._log.state, agent_id, message, reply, self._timing)

    def _handle_eviction_requests(
        self, agent_id: str, reply: TaskExchangeReply
    ) -> None:
        """Grant the evictions that an agent requests.

        Each exchange, starting with the next one, carries the eviction order until the
        attempt has ended.
        """
        state, known = self._log.state, self._evicts_by_agent.pop(agent_id, set())
        wanted = set()
        for reported in reply.tasks:
            task = state.task_with_attempt(reported.task_id, reported.attempt)
            if task is None or task.attempt is None or not reported.evict_wanted:
                continue
            key = TaskKey(reported.task_id, reported.attempt)
            wanted.add(key)
            if key not in known:
                reason = f"the agent asked: {reported.evict_wanted}"[:500]
                code, vm = Code.EVICTED.value, task.attempt.vm
                now = self._context.clock.now()
                self._services.decisions.record(
                    now, reported.task_id, "evict", code, reason, vm
                )
                self._services.wake(agent_id)
        if wanted:
            self._evicts_by_agent[agent_id] = wanted


def _list_attempts(state: ShardState, keys: Iterable[str]) -> list[TaskKey]:
    """Return the open attempts that the log records on a VM.

    An agent that has restarted learns from them which of its worker's tasks belong to
    the shard.
    """
    attempts = ((key, state.tasks_by_key[key].attempt) for key in keys)
    return [TaskKey(key, found.number) for key, found in attempts if found]


def _is_lapsed(event: ev.Event) -> TypeGuard[ev.AttemptEnded]:
    return isinstance(event, ev.AttemptEnded) and event.outcome == rec.LAPSED
