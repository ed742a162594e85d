"""Interface of the worker that runs the tasks of one VM."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
from result import Result

from pollenkeel_jobs.core.messages import EndedTask, RunningTask, StartOrder
from pollenkeel_jobs.core.model import Demand


@attrs.frozen
class WorkerAnnouncement:
    """What a worker says of itself.

    Attributes
    ----------
    worker_id : str
        Id of the worker.
    born : int
        Start of this life of the worker, in milliseconds since the Unix epoch.
    sequence : int
        Number of the announcement within the life.
    draining : bool
        The worker leaves; it takes no new tasks.
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
        """Identity of this life of the worker."""
        return f"{self.worker_id}~{self.born}"


@attrs.frozen
class WorkerLists:
    """Runs and ends of a worker at one moment.

    Attributes
    ----------
    clock : float
        That moment on the worker's clock, in milliseconds.
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
        The worker did nothing; False if the call may have been, or may yet be,
        carried out.
    reason : str
        Why, in the words of the worker or of the connection.
    """

    refused: bool
    reason: str


@attrs.frozen
class WorkerOrder:
    """Common part of all calls: the intended life and the fencing token."""

    worker_id: str
    token: int


class Worker(ABC):
    """Client of the worker; safe for use by several threads."""

    @abstractmethod
    def start(
        self, order: WorkerOrder, start: StartOrder, payload: str, deadline: float
    ) -> Result[None, WorkerFailure]:
        """Start a run unless ``deadline`` (worker's clock, ms) has passed."""

    @abstractmethod
    def stop(
        self, order: WorkerOrder, task_id: str, run: int
    ) -> Result[None, WorkerFailure]:
        """Stop a run, or keep it from starting."""

    @abstractmethod
    def hold(
        self, order: WorkerOrder, deadline: float, recorded_through: int, wait: float
    ) -> Result[WorkerLists, WorkerFailure]:
        """Extend the lease, forget recorded ends and return the lists.

        Parameters
        ----------
        order : WorkerOrder
            Life and token.
        deadline : float
            End of the lease on the worker's clock, in ms; 0 leaves it as it is.
        recorded_through : int
            Ends up to this number are forgotten.
        wait : float
            Longest time in seconds to wait for an end.
        """

    @abstractmethod
    def pace(
        self, order: WorkerOrder, task_id: str, run: int, percent: int
    ) -> Result[None, WorkerFailure]:
        """Let a run work at a share of its speed, in percent."""
