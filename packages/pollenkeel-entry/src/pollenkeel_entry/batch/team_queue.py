"""Queued tasks of one team, grouped by the properties that decide whether they fit."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from pollenkeel_kernel.core.messages import Resources

#: Sort key of a queued task: not urgent, rank by the task order, key of the task.
QueueEntry = tuple[bool, float, str]
#: Size and kind of a task. If one task of a group fits on no VM, none of them does.
TaskGroup = tuple[Resources, str]


class TeamQueue:
    """Priority queue: a heap of tasks for each group, and one of the groups' heads.

    A group whose tasks fit on no VM is skipped as a whole, so that tasks of other
    groups are reached however large it is.
    """

    def __init__(self) -> None:
        self._heaps_by_group: dict[TaskGroup, list[QueueEntry]] = {}
        # Heap; an entry that is no longer the head of its group is removed lazily.
        self._group_heads: list[tuple[QueueEntry, TaskGroup]] = []
        self._skipped_groups: set[TaskGroup] = set()

    def __iter__(self) -> Iterator[QueueEntry]:
        """Yield all entries in arbitrary order."""
        for heap in self._heaps_by_group.values():
            yield from heap

    def push(self, entry: QueueEntry, group: TaskGroup) -> None:
        """Add a task."""
        heapq.heappush(self._heaps_by_group.setdefault(group, []), entry)
        self._push_head(group)

    def first(self) -> QueueEntry | None:
        """Return the first task of the groups that are not skipped, or None."""
        while self._group_heads:
            entry, group = self._group_heads[0]
            heap = self._heaps_by_group.get(group)
            if heap and heap[0] == entry and group not in self._skipped_groups:
                return entry
            heapq.heappop(self._group_heads)
        return None

    def pop(self) -> QueueEntry:
        """Remove and return the first task.

        Raises
        ------
        IndexError
            If every group is empty or skipped.
        """
        if self.first() is None:
            raise IndexError("no task is left")
        group = heapq.heappop(self._group_heads)[1]
        entry = heapq.heappop(self._heaps_by_group[group])
        self._push_head(group)
        return entry

    def skip_group(self, group: TaskGroup) -> list[QueueEntry]:
        """Skip a group until ``restore`` and return its entries in heap order."""
        self._skipped_groups.add(group)
        return self._heaps_by_group.get(group, [])

    def restore(self) -> None:
        """Stop skipping groups."""
        skipped, self._skipped_groups = self._skipped_groups, set()
        for group in skipped:
            self._push_head(group)

    def _push_head(self, group: TaskGroup) -> None:
        heap = self._heaps_by_group.get(group)
        if heap:
            heapq.heappush(self._group_heads, (heap[0], group))
        else:
            self._heaps_by_group.pop(group, None)
