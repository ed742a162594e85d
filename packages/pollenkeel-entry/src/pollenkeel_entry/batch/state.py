"""State of a shard, changed only by applying events of its log.

Applying an event that no longer matches the state has no effect, so that replaying
a log always gives the same state as the owner had.
"""

from __future__ import annotations

from functools import singledispatch

import attrs
import msgpack

from pollenkeel_entry.batch import events as ev
from pollenkeel_entry.batch import records as rec
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Resources

#: Failed attempts after which a task is not retried.
MAX_FAILED_ATTEMPTS = 3
#: Ended jobs kept per shard, so that repeated submissions get the same answer.
MAX_ENDED_JOBS = 10_000


@attrs.define
class TeamUsage:
    """Resources and number of the open attempts of a team."""

    resources: Resources = attrs.field(factory=Resources)
    tasks: int = 0


@attrs.define
class ShardState:
    """Jobs and tasks of one shard, with indexes derived from them.

    Dictionaries whose values are None serve as ordered sets.
    """

    epoch: int = 0
    jobs_by_id: dict[str, rec.Job] = attrs.field(factory=dict)
    tasks_by_key: dict[str, rec.Task] = attrs.field(factory=dict)
    parts_by_job: dict[str, list[rec.TaskSpec]] = attrs.field(factory=dict)
    ended_jobs: dict[str, None] = attrs.field(factory=dict)
    queued: dict[str, None] = attrs.field(factory=dict)
    keys_by_agent: dict[str, dict[str, None]] = attrs.field(factory=dict)
    usage_by_team: dict[str, TeamUsage] = attrs.field(factory=dict)

    def open_jobs(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self.jobs_by_id) - len(self.ended_jobs)

    def task_with_attempt(self, key: str, attempt: int) -> rec.Task | None:
        """Return the task if this is its open attempt, or None."""
        task = self.tasks_by_key.get(key)
        if task is None or task.attempt is None or task.attempt.number != attempt:
            return None
        return task

    def queued_task_after(self, key: str, attempt: int) -> rec.Task | None:
        """Return the queued task whose latest attempt has this number, or None."""
        task = self.tasks_by_key.get(key)
        if task is None or task.state != rec.QUEUED or task.attempts != attempt:
            return None
        return task


@singledispatch
def apply(event: ev.Event, state: ShardState) -> None:
    """Apply one event to the state."""
    raise TypeError(f"no handler for event {type(event).__name__}")


@apply.register
def _(event: ev.TakenOver, state: ShardState) -> None:
    state.epoch = event.epoch
    # Parts of submissions that the previous owner has not completed.
    state.parts_by_job.clear()


@apply.register
def _(event: ev.JobPart, state: ShardState) -> None:
    if event.index == 0:
        state.parts_by_job[event.job_id] = []
    state.parts_by_job.setdefault(event.job_id, []).extend(event.tasks)


@apply.register
def _(event: ev.JobSubmitted, state: ShardState) -> None:
    specs = state.parts_by_job.pop(event.job_id, []) + event.tasks
    if event.job_id in state.jobs_by_id:
        return
    keys = [rec.make_task_key(event.job_id, spec.task_id) for spec in specs]
    state.jobs_by_id[event.job_id] = rec.Job(
        event.job_id,
        event.team,
        event.kind,
        event.deadline,
        event.urgent,
        event.digest,
        event.at,
        keys,
        len(keys),
    )
    for key, spec in zip(keys, specs, strict=True):
        state.tasks_by_key[key] = rec.Task(key, event.job_id, spec)
        state.queued[key] = None


@apply.register
def _(event: ev.JobCancelled, state: ShardState) -> None:
    job = state.jobs_by_id.get(event.job_id)
    if job is None or job.cancelled or not job.open_tasks:
        return
    job.cancelled = True
    for key in job.task_keys:
        task = state.tasks_by_key[key]
        if task.state == rec.QUEUED:
            task.code = Code.CANCELLED.value
            _end_task(state, task, rec.CANCELLED)


@apply.register
def _(event: ev.AttemptStarted, state: ShardState) -> None:
    task = state.tasks_by_key.get(event.key)
    if task is None or task.state != rec.QUEUED or event.attempt != task.attempts + 1:
        return
    task.attempts = event.attempt
    task.state = rec.STARTING
    task.attempt = rec.Attempt(
        event.attempt,
        event.agent_id,
        event.vm,
        event.data_centre,
        event.epoch,
        event.start_before,
        event.lease_until,
    )
    state.queued.pop(task.key, None)
    _index_attempt(state, task)


@apply.register
def _(event: ev.AttemptRunning, state: ShardState) -> None:
    task = state.task_with_attempt(event.key, event.attempt)
    if task is not None and task.attempt is not None:
        task.state = rec.RUNNING
        task.attempt = attrs.evolve(task.attempt, state=rec.RUNNING)


@apply.register
def _(event: ev.AttemptEnded, state: ShardState) -> None:
    task = state.task_with_attempt(event.key, event.attempt)
    if task is None:
        # The attempt was ended as lapsed, but the worker had finished the task. It is
        # done as long as no later attempt has started.
        late = state.queued_task_after(event.key, event.attempt)
        if late is not None and event.outcome == rec.DONE:
            late.code, late.detail = event.code, event.detail
            _end_task(state, late, rec.DONE)
        return
    _release_attempt(state, task)
    task.code = event.code
    task.detail = event.detail
    task.checkpoint_key = event.checkpoint_key or task.checkpoint_key
    task.failures += event.outcome == rec.FAILED
    if event.outcome == rec.DONE:
        _end_task(state, task, rec.DONE)
    elif state.jobs_by_id[task.job_id].cancelled:
        _end_task(state, task, rec.CANCELLED)
    elif event.outcome == rec.FAILED and task.failures >= MAX_FAILED_ATTEMPTS:
        _end_task(state, task, rec.FAILED)
    else:
        task.state = rec.QUEUED
        state.queued[task.key] = None


def _index_attempt(state: ShardState, task: rec.Task) -> None:
    """Add the open attempt of a task to the indexes by agent and by team."""
    assert task.attempt is not None
    state.keys_by_agent.setdefault(task.attempt.agent_id, {})[task.key] = None
    team = state.jobs_by_id[task.job_id].team
    usage = state.usage_by_team.setdefault(team, TeamUsage())
    usage.resources = usage.resources + task.spec.resources
    usage.tasks += 1


def _release_attempt(state: ShardState, task: rec.Task) -> None:
    """Close the open attempt of a task and remove it from the indexes."""
    assert task.attempt is not None
    agent_id = task.attempt.agent_id
    keys = state.keys_by_agent[agent_id]
    del keys[task.key]
    if not keys:
        del state.keys_by_agent[agent_id]
    usage = state.usage_by_team[state.jobs_by_id[task.job_id].team]
    usage.resources = usage.resources - task.spec.resources
    usage.tasks -= 1
    task.attempt = None


def _end_task(state: ShardState, task: rec.Task, final: str) -> None:
    """Set the final state of a task.

    If its job has ended, the oldest ended job beyond ``MAX_ENDED_JOBS`` is removed.
    """
    task.state = final
    state.queued.pop(task.key, None)
    job = state.jobs_by_id[task.job_id]
    job.open_tasks -= 1
    if job.open_tasks:
        return
    state.ended_jobs[job.job_id] = None
    if len(state.ended_jobs) > MAX_ENDED_JOBS:
        oldest = next(iter(state.ended_jobs))
        del state.ended_jobs[oldest]
        for key in state.jobs_by_id.pop(oldest).task_keys:
            del state.tasks_by_key[key]


@attrs.frozen
class _Snapshot:
    """Stored form of ``ShardState``, without indexes that are rebuilt on loading."""

    epoch: int
    jobs: list[rec.Job]
    tasks: list[rec.Task]
    parts_by_job: dict[str, list[rec.TaskSpec]]
    ended_jobs: list[str]
    queued: list[str]


def dump_state(state: ShardState) -> bytes:
    """Return the content of a snapshot."""
    snapshot = _Snapshot(
        state.epoch,
        list(state.jobs_by_id.values()),
        list(state.tasks_by_key.values()),
        state.parts_by_job,
        list(state.ended_jobs),
        list(state.queued),
    )
    return bytes(msgpack.packb(ev.converter.unstructure(snapshot)))


def load_state(content: bytes) -> ShardState:
    """Return the state held by a snapshot."""
    snapshot = ev.converter.structure(msgpack.unpackb(content), _Snapshot)
    state = ShardState(snapshot.epoch)
    state.jobs_by_id = {job.job_id: job for job in snapshot.jobs}
    state.tasks_by_key = {task.key: task for task in snapshot.tasks}
    state.parts_by_job = snapshot.parts_by_job
    state.ended_jobs = dict.fromkeys(snapshot.ended_jobs)
    state.queued = dict.fromkeys(snapshot.queued)
    for task in snapshot.tasks:
        if task.attempt is not None:
            _index_attempt(state, task)
    return state
