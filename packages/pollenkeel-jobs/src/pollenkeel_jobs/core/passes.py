"""Results of a scheduler pass: rows to write and orders to send."""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.messages import StartOrder, StopOrder
from pollenkeel_jobs.core.model import Job, JobStatus, Task
from pollenkeel_jobs.core.tables import RowWrite
from pollenkeel_jobs.core.vms import Vm


@attrs.frozen
class PlannedStart:
    """A placed run.

    Attributes
    ----------
    run : int
        Number of the run, which distinguishes it from later ones of the same task.
    checkpoint : str
        Checkpoint to resume from as of the placement; the same for all members of a
        gang. A member may report a newer one before the orders of others are sent.
    """

    task: Task
    run: int
    checkpoint: str


@attrs.frozen
class PreparedStarts:
    """Start orders as they are to be sent.

    Attributes
    ----------
    worker : str
        Incarnation of the worker that the orders are for.
    deadline : float
        Time on the worker's clock, in milliseconds, after which it rejects them.
    orders : list of StartOrder
        Orders that still apply.
    payloads_by_job : dict of str to str
        Payload of each job that the orders belong to.
    """

    worker: str
    deadline: float
    orders: list[StartOrder] = attrs.field(factory=list)
    payloads_by_job: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class OrderBatch:
    """Orders for one VM that result from a pass."""

    vm: Vm
    starts: list[PlannedStart] = attrs.field(factory=list)
    stops: list[StopOrder] = attrs.field(factory=list)


@attrs.frozen
class RecordedEnds:
    """Ended runs of a worker incarnation whose effect a pass records.

    The runs are those with numbers up to ``through``.
    """

    vm: Vm
    incarnation: str
    through: int


@attrs.define
class Pass:
    """Result of one pass of the scheduler.

    Attributes
    ----------
    writes : tuple of RowWrite
        Rows to write before the rest of the pass may take effect.
    statuses_by_job : dict of Job to JobStatus
        Jobs whose progress is written, with the status that is recorded.
    order_batches : list of OrderBatch
        Orders to send after the write.
    ends : list of RecordedEnds
        Ended runs that may be acknowledged to the workers after the write.
    """

    writes: tuple[RowWrite, ...]
    statuses_by_job: dict[Job, JobStatus]
    order_batches: list[OrderBatch]
    ends: list[RecordedEnds]
