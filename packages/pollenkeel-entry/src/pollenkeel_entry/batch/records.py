"""Records of jobs, tasks and attempts held by a shard owner."""

from __future__ import annotations

import attrs

from pollenkeel_kernel.core.messages import Resources

QUEUED = "queued"
STARTING = "starting"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
EVICTED = "evicted"
#: The lease of the attempt expired, or its agent no longer lists it.
LAPSED = "lapsed"
CANCELLED = "cancelled"
#: It is certain that the attempt did not run.
REFUSED = "refused"

ENDED_TASK_STATES = frozenset({DONE, FAILED, CANCELLED})


@attrs.frozen
class TaskSpec:
    """A task as submitted; ``run_time`` is the declared time in seconds."""

    task_id: str
    command: str
    resources: Resources
    run_time: float


@attrs.frozen
class Attempt:
    """One started attempt of a task.

    The worker rejects the start from ``start_before`` on. ``lease_until`` is the end of
    the task lease sent with the start.
    """

    number: int
    agent_id: str
    vm: str
    data_centre: str
    epoch: int
    start_before: float
    lease_until: float
    state: str = STARTING


@attrs.define
class Task:
    """A task; ``key`` is ``<job id>:<task id>`` and unique in the system.

    ``attempts`` is the number of attempts started so far, ``attempt`` the open one.
    ``code`` is a value of ``Code``, initially ``Code.OK`` (1000).
    """

    key: str
    job_id: str
    spec: TaskSpec
    state: str = QUEUED
    attempts: int = 0
    failures: int = 0
    checkpoint_key: str = ""
    attempt: Attempt | None = None
    code: int = 1000
    detail: str = ""


@attrs.define
class Job:
    """A job with the keys of its tasks.

    ``deadline`` is a point in time in seconds, or 0 for none.
    """

    job_id: str
    team: str
    kind: str
    deadline: float
    urgent: bool
    digest: str
    submitted_at: float
    task_keys: list[str]
    open_tasks: int
    cancelled: bool = False


def make_task_key(job_id: str, task_id: str) -> str:
    """Return the system-wide key of a task."""
    return f"{job_id}:{task_id}"
