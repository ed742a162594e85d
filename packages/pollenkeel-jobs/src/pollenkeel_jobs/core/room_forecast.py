"""Expected time at which a VM has room for a demand, from the ends of its runs."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from pollenkeel_jobs.core.model import Task
from pollenkeel_jobs.core.run_forecast import RunForecast
from pollenkeel_jobs.core.specs import Demand
from pollenkeel_jobs.core.vms import Vm


@attrs.frozen
class RoomEstimate:
    """Expectation of when a VM has room for a demand.

    Attributes
    ----------
    at : float
        Time at which there is room, in seconds since the Unix epoch.
    empty_seconds : float
        Seconds until then, each weighted by the share of the room that is free.
    runs : tuple of Task
        Tasks whose runs have to end before.
    """

    at: float
    empty_seconds: float
    runs: tuple[Task, ...]


def estimate_room(
    vm: Vm, demand: Demand, forecast: RunForecast, now: float, until: float
) -> RoomEstimate | None:
    """Return when a VM has room for a demand if nothing else is placed there.

    Parameters
    ----------
    vm : Vm
        The VM.
    demand : Demand
        Resources that are needed.
    forecast : RunForecast
        Expected ends of the runs.
    now, until : float
        Current time, and the latest time that counts, in seconds since the Unix epoch.

    Returns
    -------
    RoomEstimate or None
        None if there is no room by ``until`` as far as is known.
    """
    at = now
    empty_seconds = 0.0
    missing = demand
    runs: list[Task] = []
    for end, task in sorted(
        _iterate_ends(vm, forecast, now, until), key=lambda item: item[0]
    ):
        if vm.has_room_for(missing):
            break
        empty_seconds += (end - at) * _get_free_share(vm, demand, demand - missing)
        at = end
        missing -= task.step.reserved
        runs.append(task)
    if not vm.has_room_for(missing):
        return None
    return RoomEstimate(at, empty_seconds, tuple(runs))


def _iterate_ends(
    vm: Vm, forecast: RunForecast, now: float, until: float
) -> Iterator[tuple[float, Task]]:
    """Yield the expected ends of the runs that end in time.

    The begin of a run that an earlier leader placed is not known. Such a run counts
    only if its progress is known.
    """
    for task in vm.tasks_by_id.values():
        if task.placed_at or task.progress.seconds_per_percent is not None:
            end = forecast.expect_end(vm, task, now)
            if end is not None and end <= until:
                yield end, task


def _get_free_share(vm: Vm, demand: Demand, freed: Demand) -> float:
    """Return the share of a demand that is free, of the resource that is scarcest."""
    free = vm.capacity - vm.reserved_demand - vm.unplaced_demand + freed
    shares = [
        max(0.0, have / need)
        for have, need in (
            (free.cpu, demand.cpu),
            (free.memory, demand.memory),
            (free.accelerators, demand.accelerators),
        )
        if need > 0
    ]
    return min([1.0, *shares])
