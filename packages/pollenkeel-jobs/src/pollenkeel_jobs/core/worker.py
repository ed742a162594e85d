"""Interface of the worker that runs the tasks of one VM."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
from result import Result

from pollenkeel_jobs.core.messages import EndedTask, RunningTask, StartOrder
from pollenkeel_jobs.core.specs import Demand


@attrs.frozen
class WorkerAnnouncement:
    """Announcement that a worker sends when it starts and when its state changes.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    born : int
        Start time of this incarnation of the worker, in milliseconds since the Unix
        epoch.
    sequence : int
        Number of the announcement within the incarnation.
    draining : bool
        The worker is shutting down and accepts no new tasks.
    """

    worker_id: str
    born: int
    service: str
    zone: str
    sequence: int
    draining: bool
    capacity: Demand
    labels: tuple[str, ...]

    @property
    def incarnation(self) -> str:
        """Id of this incarnation: the worker's id and start time."""
        return f"{self.worker_id}~{self.born}"


@attrs.frozen
class WorkerLists:
    """Snapshot of a worker's running and ended runs.

    Attributes
    ----------
    clock : float
        Time of the snapshot on the worker's clock, in milliseconds.
    running : list of RunningTask
        Runs in progress.
    ended : list of EndedTask
        Ended runs that the worker has not been told to drop.
    """

    clock: float
    running: list[RunningTask]
    ended: list[EndedTask]


@attrs.frozen
class WorkerFailure:
    """Error value of a call to the worker.

    Attributes
    ----------
    refused : bool
        The worker rejected the call without effect; False if the call may have been,
        or may still be, executed.
    reason : str
        Cause as reported by the worker or by the connection.
    answered_by_other : bool
        Another worker than the intended one, or another incarnation of it, answered.
    born : int
        Start time of the other incarnation, in milliseconds since the Unix epoch; 0 if
        it is not known.
    timed_out : bool
        The worker did not respond in any way, so it may be down since before the call.
    """

    refused: bool
    reason: str
    answered_by_other: bool = False
    born: int = 0
    timed_out: bool = False


@attrs.frozen
class WorkerOrder:
    """Common part of all calls: the intended worker and the fencing token.

    Attributes
    ----------
    born : int
        Start time of the intended incarnation, in milliseconds since the Unix epoch.
    """

    worker_id: str
    born: int
    token: int


class Worker(ABC):
    """Client of the worker; safe for use by several threads.

    A call fails if it can be seen that another incarnation than the intended one has
    answered it. A start or a stop may be executed by another incarnation unseen; lists
    are never returned for another one.
    """

    @abstractmethod
    def start(
        self, order: WorkerOrder, start: StartOrder, payload: str, deadline: float
    ) -> Result[None, WorkerFailure]:
        """Start a run unless ``deadline`` (on the worker's clock, in ms) has passed."""

    @abstractmethod
    def stop(
        self, order: WorkerOrder, task_id: str, run: int
    ) -> Result[None, WorkerFailure]:
        """Stop a run, or prevent it from starting."""

    @abstractmethod
    def hold(
        self, order: WorkerOrder, deadline: float, recorded_through: int, wait: float
    ) -> Result[WorkerLists, WorkerFailure]:
        """Extend the lease, drop recorded ends and return a snapshot of the runs.

        Parameters
        ----------
        order : WorkerOrder
            Worker and fencing token.
        deadline : float
            End of the lease on the worker's clock, in ms; 0 leaves it unchanged.
        recorded_through : int
            Number up to which ended runs may be dropped.
        wait : float
            Longest time to wait for a run to end, in seconds.
        """

    @abstractmethod
    def pace(
        self, order: WorkerOrder, task_id: str, run: int, percent: int
    ) -> Result[None, WorkerFailure]:
        """Cap the speed of a run at ``percent`` of its full speed."""
