"""Events of a shard that wait to be written to its log."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from concurrent.futures import Future

import attrs
from result import Result

from pollenkeel_entry.batch import events as ev
from pollenkeel_kernel.core.refusal import Refusal

#: Outcome of the commit of a request's events.
CommitResult = Result[None, Refusal]
#: Maximum number of queued events considered for one commit.
_EVENTS_PER_COMMIT = 2000
#: Tasks in one ``JobPart`` of a large job. A task has at most 8,500 bytes, so a part
#: fits in one log row.
_TASKS_PER_PART = 7


@attrs.frozen(eq=False)
class InboxItem:
    """An event to be written to the log.

    ``answer`` is the future result of the request that the event belongs to, or None
    if it belongs to no request. ``last`` marks the last event of a request, whose
    commit completes the result.
    """

    event: ev.Event
    answer: Future[CommitResult] | None
    last: bool

    @property
    def is_completed(self) -> bool:
        """Whether the request of the event has its result already."""
        return self.answer is not None and self.answer.done()

    def complete(self, result: CommitResult) -> None:
        """Complete the request of the event, unless it has its result already."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(result)


class EventInbox:
    """Queue of events to be written, in order.

    Not thread-safe; the shard's lock protects it.
    """

    def __init__(self) -> None:
        self._items: deque[InboxItem] = deque()
        #: Events of no request that are queued or being appended; prevents duplicates.
        self._unwritten_events: set[ev.Event] = set()

    def __len__(self) -> int:
        return len(self._items)

    def add_request(self, events: list[ev.Event]) -> Future[CommitResult]:
        """Queue the events of a request and return its result."""
        answer: Future[CommitResult] = Future()
        last = len(events) - 1
        self._items.extend(
            InboxItem(e, answer, i == last) for i, e in enumerate(events)
        )
        return answer

    def add_once(self, events: Iterable[ev.Event]) -> None:
        """Queue events that belong to no request, unless they are already queued."""
        for event in events:
            if event not in self._unwritten_events:
                self._unwritten_events.add(event)
                self._items.append(InboxItem(event, None, True))

    def list_next(self) -> list[InboxItem]:
        """Return the first items, which stay queued.

        Leaves out the remaining events of a request whose earlier part was rejected.
        """
        while self._items and self._items[0].is_completed:
            self._items.popleft()
        return [item for item in self._items if not item.is_completed][
            :_EVENTS_PER_COMMIT
        ]

    def remove(self, items: Iterable[InboxItem]) -> None:
        """Remove items from the queue."""
        chosen = set(items)
        self._items = deque(item for item in self._items if item not in chosen)

    def pop_all(self) -> list[InboxItem]:
        """Remove and return all items."""
        items, self._items = list(self._items), deque()
        return items

    def forget_written(self, item: InboxItem) -> None:
        """Let an equal event be queued again after its append or its rejection."""
        # Events of requests contain lists and are not hashable.
        if item.answer is None:
            self._unwritten_events.discard(item.event)

    def complete_except(
        self, sent: set[Future[CommitResult] | None], result: CommitResult
    ) -> None:
        """Complete the queued requests whose result is not in ``sent``."""
        for item in self._items:
            if item.answer not in sent:
                item.complete(result)

    def list_unwritten_ends(self) -> set[tuple[str, int]]:
        """Return the attempts whose end is queued or being appended."""
        return {
            (event.key, event.attempt)
            for event in self._unwritten_events
            if isinstance(event, ev.AttemptEnded)
        }


def split_job(job: ev.JobSubmitted) -> list[ev.Event]:
    """Return the events of a job: its ``JobPart`` events, then the submission."""
    parts = [
        job.tasks[start : start + _TASKS_PER_PART]
        for start in range(0, len(job.tasks), _TASKS_PER_PART)
    ]
    events: list[ev.Event] = [
        ev.JobPart(job.job_id, index, tasks) for index, tasks in enumerate(parts[:-1])
    ]
    return [*events, attrs.evolve(job, parts=len(events), tasks=parts[-1])]


def make_completed(result: CommitResult) -> Future[CommitResult]:
    """Return the result of a request that needs no commit."""
    answer: Future[CommitResult] = Future()
    answer.set_result(result)
    return answer
