"""Effects of an exchange with an agent on the attempts of a shard."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.state import ShardState
from pollenkeel_kernel.core.codes import Code, Outcome, find_code
from pollenkeel_kernel.core.messages import (
    TaskExchange,
    TaskExchangeReply,
    TaskKey,
    TaskStart,
    TaskState,
)
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import TimingSettings

_OUTCOMES_BY_STATE = {
    "done": rec.DONE,
    "failed": rec.FAILED,
    "evicted": rec.EVICTED,
    "lapsed": rec.LAPSED,
    "stopped": rec.CANCELLED,
    "refused": rec.REFUSED,
}


@attrs.define
class ExchangeEffects:
    """Events to append, and attempts to acknowledge or stop in the next message."""

    events: list[ev.Event] = attrs.field(factory=list)
    acknowledged: list[TaskKey] = attrs.field(factory=list)
    stops: list[TaskKey] = attrs.field(factory=list)


def evaluate_error(starts: list[TaskStart], refusal: Refusal) -> ExchangeEffects:
    """Return the effects of an exchange without a reply.

    Only if the message was never sent is it certain that its starts did not run; after
    any other error this is unknown until a later exchange or the end of their leases.
    """
    if refusal.code is not Code.PEER_UNREACHABLE:
        return ExchangeEffects()
    return ExchangeEffects(
        list(_end_refused_starts(starts, refusal.code.value, refusal.detail))
    )


def evaluate_reply(
    state: ShardState,
    agent_id: str,
    message: TaskExchange,
    reply: TaskExchangeReply,
    timing: TimingSettings,
) -> ExchangeEffects:
    """Compare the reply of an agent with the recorded attempts."""
    if reply.code != Code.OK.value:
        if find_code(reply.code).outcome is not Outcome.NOT_RUN:
            return ExchangeEffects()
        refused = _end_refused_starts(message.starts, reply.code, reply.detail)
        return ExchangeEffects(list(refused))
    effects = ExchangeEffects()
    listed = set()
    for task in reply.tasks:
        listed.add((task.task_id, task.attempt))
        _evaluate_task(state, task, effects)
    if reply.complete:
        effects.events += _find_missing(state, agent_id, message, listed, timing)
    return effects


def find_lapsed(
    state: ShardState,
    granted_by_agent: dict[str, float],
    inherited_until_by_agent: dict[str, float],
    inherited_until: float,
    now: float,
    skew: float,
) -> Iterator[ev.AttemptEnded]:
    """Yield the ends of attempts whose latest possible lease plus skew has expired.

    ``inherited_until`` bounds the leases that earlier owners granted to agents that
    have not answered this owner yet; ``inherited_until_by_agent`` bounds those of the
    agents that have.
    """
    for agent_id, keys in state.keys_by_agent.items():
        for key in keys:
            attempt = state.tasks_by_key[key].attempt
            assert attempt is not None
            until = max(attempt.lease_until, granted_by_agent.get(agent_id, 0.0))
            if attempt.epoch < state.epoch:
                inherited = inherited_until_by_agent.get(agent_id, inherited_until)
                until = max(until, inherited)
            if now > until + skew:
                yield ev.AttemptEnded(
                    key, attempt.number, rec.LAPSED, Code.LEASE_LAPSED.value
                )


def _evaluate_task(
    state: ShardState, reported: TaskState, effects: ExchangeEffects
) -> None:
    task = state.task_with_attempt(reported.task_id, reported.attempt)
    outcome = _OUTCOMES_BY_STATE.get(reported.state)
    # The worker may have finished a task whose attempt was ended as lapsed.
    late = state.queued_task_after(reported.task_id, reported.attempt)
    if late is not None and outcome == rec.DONE:
        task = late
    if task is None:
        # Not an open attempt: acknowledge it if it has ended, stop it if it still runs.
        key = TaskKey(reported.task_id, reported.attempt)
        (effects.acknowledged if outcome else effects.stops).append(key)
    elif outcome is not None:
        effects.events.append(
            ev.AttemptEnded(
                task.key,
                reported.attempt,
                outcome,
                reported.code,
                reported.detail[:500],
                reported.checkpoint_key,
            )
        )
    elif task.state == rec.STARTING:
        effects.events.append(ev.AttemptRunning(task.key, reported.attempt))


def _end_refused_starts(
    starts: list[TaskStart], code: int, detail: str
) -> Iterator[ev.AttemptEnded]:
    for start in starts:
        yield ev.AttemptEnded(
            start.task_id, start.attempt, rec.REFUSED, code, detail[:500]
        )


def _find_missing(
    state: ShardState,
    agent_id: str,
    message: TaskExchange,
    listed: set[tuple[str, int]],
    timing: TimingSettings,
) -> Iterator[ev.AttemptEnded]:
    """Yield as lapsed the attempts that an agent's complete list no longer contains."""
    # A start in transit reaches the worker before ``start_before`` or is rejected. The
    # renewal interval allows for the age of the agent's list.
    margin = timing.max_clock_skew + timing.task_renewal
    for key in state.keys_by_agent.get(agent_id, {}):
        attempt = state.tasks_by_key[key].attempt
        assert attempt is not None
        if (key, attempt.number) in listed:
            continue
        if message.sent_at > attempt.start_before + margin:
            yield ev.AttemptEnded(
                key, attempt.number, rec.LAPSED, Code.LEASE_LAPSED.value
            )
