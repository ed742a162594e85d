"""Messages between the scheduler's leader, the entries and the VM agents."""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.model import Demand
from pollenkeel_kernel.core.messages import Message


@attrs.frozen
class TaskProfile:
    """What an agent needs to know of a task to control interference.

    Attributes
    ----------
    task_id : str
        Id of the task.
    image : str
        What the task runs.
    fills : bool
        The task may be paced for the sake of others.
    latency_target : float
        Largest tail latency in milliseconds; 0 for none.
    cores : int
        Declared processor use in thousandths of a core.
    """

    task_id: str
    image: str = ""
    fills: bool = False
    latency_target: float = 0.0
    cores: int = 0


@attrs.frozen
class PairHarm:
    """Harm that one image does to another on the same VM.

    Attributes
    ----------
    serving, filling : str
        Image with a latency target and image that fills.
    weight : float
        Latency over target that the filling image adds if it uses all cores.
    """

    serving: str
    filling: str
    weight: float


@attrs.frozen
class StartOrder:
    """Order to start one run of a task; see ``VmOrders`` for what starts share."""

    task_id: str
    run: int
    profile: TaskProfile
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """Order to stop one run of a task and to keep it from starting later."""

    task_id: str
    run: int


@attrs.frozen
class VmOrders(Message):
    """Orders of the leader for one VM; without orders it makes the leader known.

    Attributes
    ----------
    epoch : int
        Fencing token of the leader.
    leader : str
        Address at which the leader takes reports.
    worker : str
        Life of the worker that the orders are for.
    deadline : float
        Time on the worker's clock, in milliseconds, after which no start may happen.
    payloads_by_job : dict of str to str
        Text handed to the tasks of each job.
    harms : list of PairHarm
        Pairs of images on the VM, with those of ``starts``, that are known to do harm.
    """

    epoch: int
    leader: str
    worker: str = ""
    deadline: float = 0.0
    starts: list[StartOrder] = attrs.field(factory=list)
    stops: list[StopOrder] = attrs.field(factory=list)
    payloads_by_job: dict[str, str] = attrs.field(factory=dict)
    harms: list[PairHarm] = attrs.field(factory=list)


@attrs.frozen
class OrderOutcome:
    """What became of a start: ``started``, ``refused`` or ``unknown``.

    A refused start has not run and never will; ``reason`` says why.
    """

    task_id: str
    run: int
    outcome: str
    reason: str = ""


@attrs.frozen
class VmOrdersReply(Message):
    """Reply to ``VmOrders``; stops are confirmed by later reports."""

    epoch: int
    outcomes: list[OrderOutcome]


@attrs.frozen
class RunningTask:
    """A run listed by the worker.

    Attributes
    ----------
    percent : int
        Progress in percent; of a long-running task, 100 when it is at work.
    figure : float
        Tail latency in milliseconds of a task that serves, else the processor time
        in use, in thousandths of a core.
    """

    task_id: str
    run: int
    checkpoint: str = ""
    percent: int = 0
    figure: float = 0.0


@attrs.frozen
class EndedTask:
    """An end listed by the worker; ``number`` grows within the worker's life."""

    number: int
    task_id: str
    run: int
    how: str
    checkpoint: str = ""


@attrs.frozen
class VmReport(Message):
    """State of a VM's worker, sent by its agent.

    Attributes
    ----------
    vm : str
        Id of the VM.
    epoch : int
        Highest fencing token that the agent has seen.
    fenced_epoch : int
        Token that the worker held when it made the lists.
    worker : str
        Life of the worker; empty while none is known.
    state : str
        ``ready`` or ``draining``.
    clock : float
        Time of the lists on the worker's clock, in milliseconds; 0 without lists.
    withdrawn : list of StopOrder
        Runs that were stopped or can no longer start, as of the lists.
    unprofiled : list of str
        Running tasks of which the agent has no profile.
    """

    vm: str
    epoch: int
    fenced_epoch: int = 0
    worker: str = ""
    service: str = ""
    zone: str = ""
    state: str = "ready"
    capacity: Demand = attrs.field(factory=Demand)
    labels: list[str] = attrs.field(factory=list)
    clock: float = 0.0
    running: list[RunningTask] = attrs.field(factory=list)
    ended: list[EndedTask] = attrs.field(factory=list)
    withdrawn: list[StopOrder] = attrs.field(factory=list)
    unprofiled: list[str] = attrs.field(factory=list)
    paced: bool = False


@attrs.frozen
class VmReportReply(Message):
    """Reply of the leader to a report.

    Attributes
    ----------
    epoch : int
        Fencing token of the leader; 0 if the process does not lead.
    lease_until : float
        Time on the worker's clock, in milliseconds, until which its tasks may run; 0
        if no lease is granted.
    recorded_through : int
        Number up to which the worker's ends are recorded.
    """

    epoch: int
    worker: str = ""
    lease_until: float = 0.0
    recorded_through: int = 0
    profiles: list[TaskProfile] = attrs.field(factory=list)
    harms: list[PairHarm] = attrs.field(factory=list)


@attrs.frozen
class JobNotice(Message):
    """Tells the leader of a stored job (``row``) or cancellation (no row)."""

    job_id: str
    row: bytes = b""


@attrs.frozen
class RelayedRow:
    """Row to be written by another process, if its version is as expected.

    ``expected_version`` is -1 where there is no condition.
    """

    table: str
    key: str
    value: bytes
    expected_version: int = -1


@attrs.frozen
class RelayWrite(Message):
    """Asks the leader to write rows for an entry that may not reach the store."""

    partition: str
    rows: list[RelayedRow]


@attrs.frozen
class RelayWriteReply(Message):
    """Result of a relayed write: empty if it is done, else the kind of failure."""

    failure: str = ""


@attrs.frozen
class JobQuery(Message):
    """Asks the leader for the status of a job."""

    job_id: str


@attrs.frozen
class JobQueryReply(Message):
    """Recorded status of a job; empty if the process does not know or lead."""

    status: str


@attrs.frozen
class LeaderQuery(Message):
    """Asks the holder of the lease whether it leads.

    The sender has just reached the table service. A leader that has not, gives up its
    lease to it.

    Attributes
    ----------
    address : str
        Address at which the sender takes messages.
    """

    epoch: int
    address: str = ""


@attrs.frozen
class LeaderQueryReply(Message):
    """Whether the process leads with the epoch that was asked for."""

    leads: bool


@attrs.frozen
class QueueQuery(Message):
    """Asks the leader how many jobs of a queue have not started."""

    queue: str


@attrs.frozen
class QueueQueryReply(Message):
    """Number of jobs of the queue without a started task; -1 if not known."""

    waiting: int


@attrs.frozen
class Done(Message):
    """Reply without content."""
