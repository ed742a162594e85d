"""What one pass of the scheduler asks to record and to send."""

from __future__ import annotations

import attrs

from pollenkeel_jobs.core.messages import StopOrder
from pollenkeel_jobs.core.model import Job, JobStatus, Task
from pollenkeel_jobs.core.tables import RowWrite
from pollenkeel_jobs.core.vms import Vm


@attrs.frozen
class PlannedStart:
    """A run that was placed; ``run`` tells it from a later run of the same task."""

    task: Task
    run: int


@attrs.define
class OrderBatch:
    """Orders for one VM that result from a pass."""

    vm: Vm
    starts: list[PlannedStart] = attrs.field(factory=list)
    stops: list[StopOrder] = attrs.field(factory=list)


@attrs.frozen
class RecordedEnds:
    """Ends of one life of a worker whose effect is recorded by a pass."""

    vm: Vm
    incarnation: str
    through: int


@attrs.define
class Pass:
    """Result of one pass of the scheduler.

    Attributes
    ----------
    writes : tuple of RowWrite
        Progress to record before anything else of the pass takes effect.
    statuses_by_job : dict of Job to JobStatus
        Jobs whose progress is written, with the status that is recorded.
    works : list of VmWork
        Orders to send after the write.
    ends : list of RecordedEnds
        Ends that may be acknowledged after the write.
    """

    writes: tuple[RowWrite, ...]
    statuses_by_job: dict[Job, JobStatus]
    order_batches: list[OrderBatch]
    ends: list[RecordedEnds]
