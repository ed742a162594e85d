"""Messages between the processes of the system.

Times are seconds since the Unix epoch, sizes are in bytes, memory is in gigabytes and
``cores`` is a number of processor cores.
"""

from __future__ import annotations

from typing import ClassVar

import attrs


@attrs.frozen
class Message:
    """Base class of all messages.

    Attributes
    ----------
    sender : str
        Id of the sending process.
    sent_at : float
        Time of sending on the sender's clock.
    """

    MESSAGE_TYPES_BY_NAME: ClassVar[dict[str, type[Message]]] = {}

    sender: str
    sent_at: float

    def __init_subclass__(cls) -> None:
        Message.MESSAGE_TYPES_BY_NAME[cls.__name__] = cls


@attrs.frozen
class ErrorReply(Message):
    """Reply with a result code, sent when the handler returned no regular reply."""

    code: int
    detail: str


@attrs.frozen
class Resources:
    """Amount of a VM's resources."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, free: Resources) -> bool:
        """Return whether this amount fits into the free capacity ``free``."""
        return (
            self.cores <= free.cores + 1e-9
            and self.memory_gb <= free.memory_gb + 1e-9
            and self.accelerators <= free.accelerators
        )

    def maximum(self, other: Resources) -> Resources:
        """Return the element-wise maximum."""
        return Resources(
            max(self.cores, other.cores),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
        )


@attrs.frozen
class Dispatch(Message):
    """Service request that an entry forwards to an agent.

    ``start_before`` is the latest time at which the agent may start the attempt;
    ``agent_epoch`` identifies the agent process that it is meant for.
    """

    attempt_id: str
    agent_epoch: str
    service: str
    team: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    start_before: float
    deadline: float


@attrs.frozen
class DispatchReply(Message):
    """Response to one attempt, or the code and detail of its rejection.

    ``body_length`` and ``body_digest`` let the entry detect a truncated or corrupted
    body.
    """

    attempt_id: str
    code: int
    detail: str = ""
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    body_length: int = 0
    body_digest: str = ""
    free_slots: int = 0


@attrs.frozen
class QueryAttempt(Message):
    """Query for the state of an earlier attempt.

    If ``tombstone`` is set, an attempt that the agent has never seen is marked as
    cancelled, so that its ``Dispatch`` is rejected if it arrives late.
    """

    attempt_id: str
    agent_epoch: str
    tombstone: bool


@attrs.frozen
class AttemptReply(Message):
    """State of an attempt: ``tombstoned``, ``refused``, ``running``, ``finished``,
    ``unseen`` or ``lost`` (the agent epoch differs).
    """

    attempt_id: str
    state: str
    reply: DispatchReply | None = None


@attrs.frozen
class ConfigSnapshot:
    """An accepted configuration as sent from one process to another."""

    version: int
    drained: list[str]
    body: bytes


@attrs.frozen
class Heartbeat(Message):
    """Liveness check of a connection; answered by ``HeartbeatReply``.

    ``config_version`` is the highest version that the sender has seen, or None if it
    does not want the receiver to send configurations.
    """

    config_version: int | None = None


@attrs.frozen
class HeartbeatReply(Message):
    """Reply to ``Heartbeat``; ``config`` is set if it is newer than the sender's."""

    epoch: str
    config: ConfigSnapshot | None = None


@attrs.frozen
class TaskStart:
    """Request to start one attempt of a task.

    ``start_before`` is the latest start time. ``lease_until`` is the time until which
    the attempt may run without a renewal of its lease.
    """

    task_id: str
    attempt: int
    kind: str
    team: str
    resources: Resources
    command: str
    checkpoint_key: str
    start_before: float
    lease_until: float


@attrs.frozen
class TaskKey:
    """Identifies one attempt of a task."""

    task_id: str
    attempt: int

    @property
    def checkpoint_key(self) -> str:
        """Object store key of the checkpoint written when the attempt was evicted."""
        return f"checkpoints/{self.task_id}/{self.attempt}"


@attrs.frozen
class TaskState:
    """State of one attempt on a VM as reported by its agent.

    ``state`` is ``running``, ``done``, ``failed``, ``evicted`` (checkpointed and
    stopped), ``stopped``, ``lapsed`` (its lease expired) or ``refused``.
    ``evict_wanted`` is the reason why the agent asks the owner to evict the task;
    empty if it does not ask.
    """

    task_id: str
    attempt: int
    state: str
    code: int = 1000
    detail: str = ""
    checkpoint_key: str = ""
    progress: float = 0.0
    usage: Resources = attrs.field(factory=Resources)
    evict_wanted: str = ""


@attrs.frozen
class TaskExchange(Message):
    """Instructions of a shard owner for one VM.

    ``lease_until`` renews the lease of every running attempt of the shard on the VM.
    ``acknowledged`` lists ended attempts whose end is recorded in the shard log.
    ``running`` lists every attempt that the owner records as running on the VM; from
    it, a restarted agent learns to which shard each task of its worker belongs. Until
    then it neither renews nor reports the task. ``shard_lease_until`` is the end of
    the sender's last confirmed shard lease; an agent process accepts the first owner
    that contacts it only before that time.
    """

    agent_epoch: str
    shard: int
    shard_epoch: int
    lease_until: float
    starts: list[TaskStart] = attrs.field(factory=list)
    evicts: list[TaskKey] = attrs.field(factory=list)
    stops: list[TaskKey] = attrs.field(factory=list)
    acknowledged: list[TaskKey] = attrs.field(factory=list)
    running: list[TaskKey] = attrs.field(factory=list)
    shard_lease_until: float = 0.0


@attrs.frozen
class TaskExchangeReply(Message):
    """States of all attempts of the shard on the VM.

    A ``code`` other than 1000 rejects the whole exchange. ``complete`` is false until
    the agent has determined which tasks run on its worker.
    """

    code: int
    detail: str = ""
    complete: bool = False
    tasks: list[TaskState] = attrs.field(factory=list)


@attrs.frozen
class UpstreamStatus:
    """An upstream of a service, as announced by the agent of its VM.

    ``leaving`` means that the upstream is shutting down and accepts no new requests.
    """

    service: str
    slots: int
    free_slots: int
    leaving: bool = False
    p99_seconds: float = 0.0


@attrs.frozen
class Announce(Message):
    """State of an agent and its VM; also serves as the heartbeat to the entry."""

    agent_epoch: str
    vm: str
    data_centre: str
    rack: str
    address: str
    state: str
    config_version: int
    upstreams: list[UpstreamStatus]
    capacity: Resources
    free: Resources
    running_kinds: dict[str, int]
    worker_ready: bool


@attrs.frozen
class EntryAddress:
    """Addresses of an entry."""

    entry_id: str
    peer_address: str
    http_url: str
    data_centre: str
    expires_at: float


@attrs.frozen
class AnnounceReply(Message):
    """Reply to ``Announce``: newer configuration, start permit and known entries.

    ``config`` is None unless it is newer than the agent's. The agent may start new work
    until ``permit_until``, which is 0 while the data centre is drained or the entry
    does not know the configuration head.
    """

    entry_epoch: str
    config: ConfigSnapshot | None
    permit_until: float
    entries: list[EntryAddress]


@attrs.frozen
class OwnerCall(Message):
    """Request that an entry forwards to the entry that owns a shard.

    ``operation`` is ``submit``, ``cancel``, ``status`` or ``explain``; ``body`` is
    its argument as JSON.
    """

    shard: int
    operation: str
    body: bytes


@attrs.frozen
class OwnerReply(Message):
    """Reply of a shard owner; ``body`` is JSON."""

    code: int
    detail: str = ""
    body: bytes = b""
