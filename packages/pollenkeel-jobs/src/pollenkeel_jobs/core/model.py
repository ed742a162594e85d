"""Jobs and tasks with their progress; their specifications are in ``specs``.

A run is one execution attempt of a task; the runs of a task are numbered from 1.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.run_progress import RunProgress
from pollenkeel_jobs.core.specs import JobSpec, StepSpec


class TaskState(enum.IntEnum):
    """State of a task as it is persisted."""

    WAITING = 0
    PLACED = 1
    DONE = 2
    FAILED = 3


class JobStatus(enum.Enum):
    """Status of a job as shown to clients."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended; such a status never changes again."""
        return self not in (JobStatus.QUEUED, JobStatus.RUNNING)


@attrs.frozen
class JobState:
    """Recorded state of a job, as shown to clients.

    Attributes
    ----------
    status : JobStatus
        Status of the job.
    failure_code : int
        Result code if the scheduler stopped the job because of an error; else 0.
    """

    status: JobStatus
    failure_code: int = 0


@attrs.frozen
class TaskKey:
    """Position of a task within its job."""

    occurrence: int
    step: int
    index: int


@attrs.frozen
class Suspicion:
    """Stop of a run that seemed to have stalled.

    Attributes
    ----------
    worker : str
        Incarnation of the worker that had the run.
    seconds : float
        Time without progress after which the run was stopped.
    count : int
        Number of such stops of the task in a row, including this one.
    """

    worker: str
    seconds: float
    count: int


@attrs.define(eq=False)
class Task:
    """Progress of one task.

    The first group of fields is persisted. The second is kept in memory only: a new
    leader starts with the defaults and updates them from the agents' reports.

    Attributes
    ----------
    run : int
        Number of the latest run; 0 before the first.
    failures : int
        Number of failed runs.
    checkpoint : str
        Latest checkpoint as reported by the worker, passed to the next run unread;
        empty for none. Of a gang, the latest that any member has reported.
    runner : str
        Incarnation of the worker on which the latest run was placed; empty once the end
        of that run has been processed.
    crashed_on : frozenset of str
        Incarnations of workers that crashed shortly after they had started the task,
        since its latest sound run.
    crashed_at_once : frozenset of str
        Those of ``crashed_on`` that were not seen alive after they had started the
        task.
    acquitted_through : int
        Number of a run up to which crashes do not count, because it ran soundly. Agents
        repeat their reports of crashes, also to a new leader.
    unheard_runs : frozenset of int
        Numbers of runs that were given up with the lease of their worker, and whose end
        has not been processed. If such a run has failed, its late end still counts.
    placed_at, seen_at : float
        Time of the placement and of the first report that lists the run, in seconds
        since the Unix epoch; 0 if it has not happened under this leader.
    running_at : float
        Time on the worker's clock, in milliseconds, of the latest lists in which the
        run was in progress; 0 before the first.
    absent_at : float
        Time on the worker's clock, in milliseconds, of the first lists in which the run
        was not in progress although it can no longer start; 0 if there are none.
    order_deadline : float
        Time on the worker's clock, in milliseconds, after which the worker rejects
        the start order of the latest run.
    sent : bool
        Whether the start order has been sent to the agent.
    listed_by : float
        Time by which the worker should list the run once its order is sent, in seconds
        since the Unix epoch.
    stop_wanted : bool
        Whether the run is being stopped so that the task runs elsewhere.
    ready_at : float
        Time at which the task began to wait for a VM, in seconds since the Unix epoch.
    progress : RunProgress
        Progress of the latest run.
    listed_checkpoint : str
        Checkpoint of the latest run as last listed by its own worker.
    sound_run : int
        Number of the latest run that its worker has listed for a while or that ended
        by itself, see ``record_sound_run`` and ``record_own_end``.
    suspects : int
        Number of tasks suspected of the latest crash under the task, itself included;
        0 if that is not known.
    suspected_run, tried_run : int
        Number of the latest run that is suspected of a crash, and of the latest one
        that ran through its trial.
    suspicion : Suspicion or None
        Latest stop of a run that seemed to have stalled, until the progress of a later
        run confirms or refutes that it had.
    starved_since : float
        Time since which the run has got little CPU, in seconds since the Unix epoch; 0
        if it gets enough.
    use : float
        Moving average of the run's CPU use as a share of its declared CPU.
    ticket : str
        Ticket of the advice service for the latest run; empty if none is needed.
    failed_on : frozenset of str
        Incarnations of workers on which a run failed or stalled.
    copy : Task or None
        Copy of the latest run that runs on another VM at the same time, see
        ``run_copies``. It is recorded with its run and its runner. Only a placed task
        has one.
    copied_run : int
        Number of the latest run that was placed as a copy; 0 if there was none.
        Recorded until a later run is placed.
    original : Task or None
        Of a copy, the task whose ``copy`` it is.
    task_id : str
        ``<job id>.<occurrence>.<step>.<index>``.
    """

    job: Job
    key: TaskKey
    state: TaskState = TaskState.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    runner: str = ""
    crashed_on: frozenset[str] = frozenset()
    crashed_at_once: frozenset[str] = frozenset()
    acquitted_through: int = 0
    unheard_runs: frozenset[int] = frozenset()

    placed_at: float = 0.0
    seen_at: float = 0.0
    running_at: float = 0.0
    absent_at: float = 0.0
    order_deadline: float = 0.0
    sent: bool = False
    listed_by: float = 0.0
    stop_wanted: bool = False
    ready_at: float = 0.0
    progress: RunProgress = attrs.field(factory=RunProgress)
    listed_checkpoint: str = ""
    sound_run: int = 0
    suspects: int = 0
    suspected_run: int = 0
    tried_run: int = 0
    suspicion: Suspicion | None = None
    starved_since: float = 0.0
    use: float = 0.0
    ticket: str = ""
    failed_on: frozenset[str] = frozenset()
    copy: Task | None = None
    copied_run: int = 0
    original: Task | None = attrs.field(default=None, repr=False)
    task_id: str = attrs.field(init=False, default="")

    def __attrs_post_init__(self) -> None:
        key = self.key
        self.task_id = f"{self.job.spec.job_id}.{key.occurrence}.{key.step}.{key.index}"

    def reset_run(self) -> None:
        """Clear the state of the latest run."""
        self.seen_at = 0.0
        self.running_at = 0.0
        self.absent_at = 0.0
        self.progress = RunProgress()
        self.listed_checkpoint = ""
        self.sent = False
        self.stop_wanted = False
        self.starved_since = 0.0
        self.use = 0.0
        self.ticket = ""

    @property
    def awaits_order(self) -> bool:
        """Whether this leader has placed the task and not sent its order yet."""
        return self.state is TaskState.PLACED and self.placed_at > 0 and not self.sent

    @property
    def last_run(self) -> int:
        """Highest number of a run or a copy; 0 before the first."""
        return max(self.run, self.copied_run)

    @property
    def percent(self) -> int:
        """Progress of the latest run in percent."""
        return self.progress.percent

    def has_crashed_vm(self, name: str) -> bool:
        """Return whether a worker of this VM crashed after it had started the task."""
        return any(worker.partition("/")[0] == name for worker in self.crashed_on)

    @property
    def step(self) -> StepSpec:
        """Specification of the task's step."""
        return self.job.spec.steps[self.key.step]


#: Maximum number of tasks of a step that exist at the same time. It bounds the memory
#: and the recorded progress of a large step, and is above the number of tasks of one
#: step that a fleet runs at a time.
TASK_WINDOW = 8_192


@attrs.define(eq=False)
class StepTasks:
    """Tasks of one step in one occurrence that are not done.

    Tasks are created in the order of their indices, at most ``TASK_WINDOW`` at a time,
    and dropped when they are done. The tasks of a gang and long-running tasks all exist
    from the beginning, since they run at the same time. The members of a gang are kept
    when they are done, because they still occupy their VMs then.

    Attributes
    ----------
    job : Job
        Job of the step.
    occurrence, number : int
        Occurrence and index of the step.
    next_index : int
        Index of the next task to create. Tasks with a lower index that do not exist are
        done.
    """

    job: Job
    occurrence: int
    number: int
    next_index: int = 0
    _tasks_by_index: dict[int, Task] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[Task]:
        return iter(self._tasks_by_index.values())

    def __len__(self) -> int:
        return len(self._tasks_by_index)

    def __getitem__(self, index: int) -> Task:
        return self._tasks_by_index[index]

    @property
    def spec(self) -> StepSpec:
        """Specification of the step."""
        return self.job.spec.steps[self.number]

    @property
    def is_done(self) -> bool:
        """Whether all tasks of the step are done."""
        return self.next_index == self.spec.count and all(
            task.state is TaskState.DONE for task in self
        )

    def find(self, index: int) -> Task | None:
        """Return the task with this index, or None if it does not exist."""
        return self._tasks_by_index.get(index)

    def create(self, index: int) -> Task:
        """Create the task with this index."""
        task = Task(self.job, TaskKey(self.occurrence, self.number, index))
        self._tasks_by_index[index] = task
        return task

    def create_next(self) -> list[Task]:
        """Create the tasks that may exist by now and return them."""
        step = self.spec
        created = []
        while self.next_index < step.count and (
            step.gang or step.long_running or len(self) < TASK_WINDOW
        ):
            created.append(self.create(self.next_index))
            self.next_index += 1
        return created

    def replace(self, task: Task) -> None:
        """Replace the task with the same index."""
        self._tasks_by_index[task.key.index] = task

    def drop(self, task: Task) -> None:
        """Drop a task that is done."""
        self._tasks_by_index.pop(task.key.index, None)


@attrs.define(eq=False)
class Job:
    """Progress of one job.

    Attributes
    ----------
    status : JobStatus
        Status in memory.
    recorded_status : JobStatus
        Status of the last written record. Clients are shown only this one, since
        ``status`` is lost if the leader fails before it is written.
    tasks_by_step : dict of (int, int) to StepTasks
        Tasks by occurrence and step, for occurrences that are due and not done.
    next_occurrence : int
        Next occurrence to add. Lower ones without tasks are done.
    failure_code : int
        Result code if the scheduler stopped the job because of an error; else 0.
    page_digests : tuple of int
        Digest of each recorded page of the progress; empty if it has no pages.
    started : bool
        Whether a task of the job has started.
    accepted_at : float
        Time at which an entry received the job, or this process if that is not known;
        in seconds since the Unix epoch.
    objective_at : float
        Time by which the job should be done, by its declared run times, in seconds
        since the Unix epoch.
    """

    spec: JobSpec
    accepted_at: float = 0.0
    status: JobStatus = JobStatus.QUEUED
    recorded_status: JobStatus = JobStatus.QUEUED
    cancelled: bool = False
    started: bool = False
    tasks_by_step: dict[tuple[int, int], StepTasks] = attrs.field(factory=dict)
    next_occurrence: int = 0
    failure_code: int = 0
    page_digests: tuple[int, ...] = ()
    objective_at: float = attrs.field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        queue = self.spec.queue
        allowed = queue.stretch * self.spec.longest_chain() + queue.target_latency
        self.objective_at = self.accepted_at + allowed

    def add_occurrence(self, occurrence: int) -> None:
        """Create the tasks of an occurrence."""
        self.restore_occurrence(occurrence)
        for tasks in self.list_steps(occurrence):
            tasks.create_next()
        self.next_occurrence = max(self.next_occurrence, occurrence + 1)

    def restore_occurrence(self, occurrence: int) -> None:
        """Add an occurrence without tasks."""
        for number in range(len(self.spec.steps)):
            key = (occurrence, number)
            self.tasks_by_step[key] = StepTasks(self, occurrence, number)

    def drop_occurrence(self, occurrence: int) -> None:
        """Drop an occurrence that is done."""
        for number in range(len(self.spec.steps)):
            self.tasks_by_step.pop((occurrence, number), None)

    def list_steps(self, occurrence: int) -> list[StepTasks]:
        """Return the tasks of each step of an occurrence; empty if it is dropped."""
        keys = ((occurrence, number) for number in range(len(self.spec.steps)))
        return [self.tasks_by_step[key] for key in keys if key in self.tasks_by_step]

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks that exist."""
        for tasks in self.tasks_by_step.values():
            yield from tasks

    def has_occurrence(self, occurrence: int) -> bool:
        """Return whether an occurrence has been added."""
        return occurrence < self.next_occurrence

    def is_done(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return self.next_occurrence == max(1, self.spec.occurrences) and all(
            tasks.is_done for tasks in self.tasks_by_step.values()
        )

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Return whether all tasks of an added occurrence are done."""
        return all(tasks.is_done for tasks in self.list_steps(occurrence))

    def is_ready(self, tasks: StepTasks) -> bool:
        """Return whether all steps before a step are done."""
        return all(
            self.tasks_by_step[tasks.occurrence, before].is_done
            for before in tasks.spec.after
        )

    def task(self, key: TaskKey) -> Task | None:
        """Return the task with this key, or None if it does not exist."""
        tasks = self.tasks_by_step.get((key.occurrence, key.step))
        return tasks.find(key.index) if tasks is not None else None


def parse_task_id(task_id: str) -> tuple[str, TaskKey] | None:
    """Return the job id and the key from a task id, or None if it is malformed."""
    parts = task_id.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    occurrence, step, index = (int(part) for part in parts[1:])
    return parts[0], TaskKey(occurrence, step, index)
