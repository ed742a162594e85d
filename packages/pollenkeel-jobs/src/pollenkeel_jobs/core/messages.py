"""Messages between the leader, the other entries and the VM agents.

The leader is the entry process that schedules all jobs. The agent of a VM passes the
leader's orders to the worker, which runs the tasks. A run is one execution attempt of a
task. A worker's incarnation lasts from one start of the worker to the next; messages
identify it as ``VM/WORKER~START``.

Some fields keep older terms: a task that ``fills`` is a best-effort task, ``harms`` are
pairs of images of which one interferes with the other, and a ``withdrawn`` run has been
revoked: it is stopped or never starts.
"""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.specs import Demand
from pollenkeel_kernel.core.messages import Message


@attrs.frozen
class TaskProfile:
    """Properties of a task that an agent needs to control interference.

    Attributes
    ----------
    task_id : str
        Id of the task.
    image : str
        Image that the task runs.
    fills : bool
        The task is a best-effort task: it may be throttled in favour of others.
    latency_target : float
        Target for the tail latency in milliseconds; 0 for none.
    cores : int
        Declared CPU use in thousandths of a core.
    """

    task_id: str
    image: str = ""
    fills: bool = False
    latency_target: float = 0.0
    cores: int = 0


@attrs.frozen
class InterferingPair:
    """Best-effort image that interferes with a latency-critical one on the same VM.

    Attributes
    ----------
    serving, filling : str
        Image of the latency-critical task and image of the best-effort task.
    weight : float
        Latency, as a multiple of the target, that the best-effort image adds if it
        uses all cores.
    """

    serving: str
    filling: str
    weight: float


@attrs.frozen
class StartOrder:
    """Order to start one run of a task.

    Deadline and payload are in ``VmOrders``, as all starts of a message share them.

    Attributes
    ----------
    run : int
        Number of the run, increasing with each execution attempt of the task.
    checkpoint : str
        Checkpoint to resume from; empty to start from the beginning.
    ticket : str
        Permission of the advice service; empty if the step needs none.
    """

    task_id: str
    run: int
    profile: TaskProfile
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """Order to stop one run of a task, or to prevent it from starting later."""

    task_id: str
    run: int


@attrs.frozen
class VmOrders(Message):
    """Orders of the leader for one VM; an empty message announces the leader.

    Attributes
    ----------
    epoch : int
        Fencing token of the leader.
    leader : str
        Address at which the leader receives reports.
    worker : str
        Incarnation of the worker that the orders are for.
    deadline : float
        Time on the worker's clock, in milliseconds, after which no run may be started.
    payloads_by_job : dict of str to str
        Text passed to the tasks of each job.
    harms : list of InterferingPair
        Known interference between images on the VM, including those of ``starts``.
    """

    epoch: int
    leader: str
    worker: str = ""
    deadline: float = 0.0
    starts: list[StartOrder] = attrs.field(factory=list)
    stops: list[StopOrder] = attrs.field(factory=list)
    payloads_by_job: dict[str, str] = attrs.field(factory=dict)
    harms: list[InterferingPair] = attrs.field(factory=list)


@attrs.frozen
class OrderOutcome:
    """Result of a start order: ``started``, ``refused`` or ``unknown``.

    A refused run has not started and never will; ``reason`` says why.
    """

    task_id: str
    run: int
    outcome: str
    reason: str = ""


@attrs.frozen
class VmOrdersReply(Message):
    """Reply to ``VmOrders``; stops are confirmed in later reports."""

    epoch: int
    outcomes: list[OrderOutcome]


@attrs.frozen
class RunningTask:
    """A run in progress, as listed by the worker.

    Attributes
    ----------
    percent : int
        Progress in percent; for a long-running task, 100 once it is in operation.
    figure : float
        Measurement: the tail latency in milliseconds of a latency-critical task, or
        the CPU use of any other task in thousandths of a core.
    """

    task_id: str
    run: int
    checkpoint: str = ""
    percent: int = 0
    figure: float = 0.0


@attrs.frozen
class EndedTask:
    """An ended run, as listed by the worker.

    Attributes
    ----------
    number : int
        Sequence number of the end, increasing within the worker's incarnation.
    how : str
        How the run ended, for example ``done``, ``failed`` or ``stopped``.
    """

    number: int
    task_id: str
    run: int
    how: str
    checkpoint: str = ""


@attrs.frozen
class RunKey:
    """Identifies a run by its task and its number."""

    task_id: str
    run: int


@attrs.frozen
class WorkerCrash:
    """End of a worker that had not announced that it would leave.

    Attributes
    ----------
    worker : str
        Incarnation that has ended.
    suspects : list of RunKey
        Runs that were started shortly before and may have crashed it.
    began : bool
        Whether the worker is known to have received the starts of all suspects.
    outlived : list of RunKey
        Suspects after whose start the worker is known to have lived on for a while.
    """

    worker: str
    suspects: list[RunKey] = attrs.field(factory=list)
    began: bool = True
    outlived: list[RunKey] = attrs.field(factory=list)


@attrs.frozen
class VmReport(Message):
    """State of a VM's worker, sent by its agent.

    Attributes
    ----------
    vm : str
        Id of the VM.
    epoch : int
        Highest fencing token that the agent has received.
    fenced_epoch : int
        Fencing token that the worker had accepted when it listed its runs.
    worker : str
        Incarnation of the worker; empty while no worker is known.
    service, zone : str
        Service that the worker belongs to and data centre of the VM, as announced by
        the worker.
    state : str
        ``ready`` or ``draining``, or ``starting`` while the worker has not announced
        itself, so that its service and resources are unknown.
    capacity : Demand
        Resources of the VM.
    labels : list of str
        Labels announced by the worker.
    clock : float
        Time at which the worker listed its runs, on its clock in milliseconds; 0 if it
        did not answer.
    running, ended : list of RunningTask, list of EndedTask
        Runs that the worker listed.
    withdrawn : list of StopOrder
        Revoked runs: they were stopped or can no longer start.
    unprofiled : list of str
        Running tasks without a known profile.
    paced : bool
        The agent throttles at least one best-effort task.
    rejecting : bool
        The worker certainly did not execute the latest poll: nothing listens at its
        address, or it rejects all calls.
    crashes : list of WorkerCrash
        Latest crashes of the VM's workers; repeated in every report.
    operations_version : int
        Version of the operators' configuration whose services the agent knows; 0 for
        none.
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
    rejecting: bool = False
    crashes: list[WorkerCrash] = attrs.field(factory=list)
    operations_version: int = 0


@attrs.frozen
class VmReportReply(Message):
    """Reply of the leader to a report.

    Attributes
    ----------
    epoch : int
        Fencing token of the leader.
    lease_until : float
        Time on the worker's clock, in milliseconds, until which its tasks may run; 0
        if no lease is granted.
    recorded_through : int
        Number up to which the worker's ended runs are recorded.
    worker : str
        Incarnation of the worker that the reply is for.
    profiles : list of TaskProfile
        Profiles of the tasks in ``unprofiled``.
    harms : list of InterferingPair
        Known interference between images on the VM.
    operations_version : int
        Version of the operators' configuration in force; 0 if the leader knows none.
    services : list of str
        Names of the services in that version; empty if the report has the same version.
    """

    epoch: int
    worker: str = ""
    lease_until: float = 0.0
    recorded_through: int = 0
    profiles: list[TaskProfile] = attrs.field(factory=list)
    harms: list[InterferingPair] = attrs.field(factory=list)
    operations_version: int = 0
    services: list[str] = attrs.field(factory=list)


@attrs.frozen
class JobNotice(Message):
    """Notifies the leader of a stored job (``row``) or cancellation (no row)."""

    job_id: str
    row: bytes = b""


@attrs.frozen
class ServiceWait:
    """Expected wait of a new job for its first start.

    Attributes
    ----------
    service : str
        Service whose workers run the job.
    priority : int
        Priority of the job's queue; 0 is the highest.
    seconds : float
        Time that the waiting work of this and of higher priorities takes.
    """

    service: str
    priority: int
    seconds: float


@attrs.frozen
class JobNoticeReply(Message):
    """Acknowledges a notice, with what new jobs have to wait for."""

    waits: list[ServiceWait] = attrs.field(factory=list)


@attrs.frozen
class RelayedRow:
    """Row that another process is to write if it has the expected version.

    ``expected_version`` is 0 if the row must not exist, and -1 for an unconditional
    write.
    """

    table: str
    key: str
    value: bytes
    expected_version: int = -1


@attrs.frozen
class RelayWrite(Message):
    """Asks the leader to write rows, as the sender may not reach the table service."""

    partition: str
    rows: list[RelayedRow]


@attrs.frozen
class RelayWriteReply(Message):
    """Result of a relayed write: empty on success, else the kind of failure."""

    failure: str = ""


@attrs.frozen
class JobQuery(Message):
    """Asks the leader for the status of a job."""

    job_id: str


@attrs.frozen
class JobQueryReply(Message):
    """Recorded status of a job; empty if it is unknown, unreadable or not loaded yet.

    ``failure_code`` is the result code if the scheduler stopped the job because of an
    error, or if the job's record cannot be read; else 0.
    """

    status: str
    failure_code: int = 0


@attrs.frozen
class LeaderQuery(Message):
    """Asks the holder of the lease whether it leads.

    The sender has just reached the table service. A leader gives up its lease to the
    sender if it cannot write to the table service, has much less processor capacity, or
    was told to stop. Processes of earlier releases know neither ``started_at`` nor
    ``leads_until``.

    Attributes
    ----------
    epoch : int
        Term that the sender asks about.
    address : str
        Address at which the sender receives messages.
    cpu : float
        Processor capacity of the sender, in cores; 0 if unknown.
    started_at : float
        Time at which the sender started, on its clock; 0 if unknown.
    leads_until : float
        Time until which the sender can lead, on its clock; 0 unless it was told to
        stop.
    """

    epoch: int
    address: str = ""
    cpu: float = 0.0
    started_at: float = 0.0
    leads_until: float = 0.0


@attrs.frozen
class LeaderQueryReply(Message):
    """Whether the process leads in the term of the query, and its capacity in cores."""

    leads: bool
    cpu: float = 0.0


@attrs.frozen
class QueueQuery(Message):
    """Asks the leader for the number of jobs in a queue that have not started."""

    queue: str


@attrs.frozen
class QueueQueryReply(Message):
    """Number of jobs in the queue that have not started any task; -1 if unknown."""

    waiting: int


@attrs.frozen
class Done(Message):
    """Acknowledgement without content."""
