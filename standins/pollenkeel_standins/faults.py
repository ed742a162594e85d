"""Fault switches of a stand-in, changed through ``POST /faults``."""

from __future__ import annotations

import enum
import threading
from typing import Any, Generic, TypeVar

import attrs
from result import Err, Ok, Result

from pollenkeel_kernel.core.dump import to_plain
from pollenkeel_kernel.core.settings import structure_checked


class DownMode(enum.Enum):
    """How a stand-in that is down treats requests; none of them takes effect.

    ``REFUSE`` answers 503, ``BREAK`` closes the connection, ``HANG`` never answers.
    """

    OFF = "off"
    REFUSE = "refuse"
    BREAK = "break"
    HANG = "hang"


class LossMode(enum.Enum):
    """How an answer is lost: by a closed connection or by no answer at all."""

    BREAK = "break"
    HANG = "hang"


@attrs.frozen
class Faults:
    """Fault switches that every stand-in has.

    Attributes
    ----------
    down : DownMode
        Whether every request gets a 503, a closed connection or no answer.
    fail : bool
        Answer every request with 500, without effect.
    slow : float
        Delay in seconds before a request takes effect.
    slow_answer : float
        Delay in seconds between the effect and the answer.
    lose_answers : int
        Number of upcoming writes that take effect but whose answers are lost.
    lost_by : LossMode
        Whether the connection of a lost answer is closed or stays silent.
    """

    down: DownMode = DownMode.OFF
    fail: bool = False
    slow: float = 0.0
    slow_answer: float = 0.0
    lose_answers: int = 0
    lost_by: LossMode = LossMode.BREAK


F = TypeVar("F", bound=Faults)


class FaultSwitches(Generic[F]):
    """Current fault switches of one stand-in.

    Parameters
    ----------
    faults : Faults
        Initial state; its class defines the available switches.
    """

    def __init__(self, faults: F) -> None:
        self._lock = threading.Lock()
        self._faults = faults

    @property
    def current(self) -> F:
        """The current state of the switches."""
        return self._faults

    def change(self, changes: Any) -> Result[F, list[str]]:
        """Set the given switches and leave the others unchanged.

        Returns
        -------
        Result[Faults, list[str]]
            The new state, or one message for each unknown switch or invalid value.
        """
        if not isinstance(changes, dict):
            return Err(["faults: expected a JSON object"])
        with self._lock:
            merged = {**describe(self._faults), **changes}
            checked = structure_checked(merged, type(self._faults), "faults")
            if isinstance(checked, Ok):
                self._faults = checked.ok_value
            return checked

    def consume(self, name: str) -> bool:
        """Decrement a switch that counts down.

        Returns
        -------
        bool
            Whether the switch was above 0.
        """
        with self._lock:
            count = getattr(self._faults, name)
            if count <= 0:
                return False
            self._faults = attrs.evolve(self._faults, **{name: count - 1})
            return True


def describe(faults: Faults) -> dict[str, Any]:
    """Return the state of the switches as JSON types."""
    fields = attrs.asdict(faults, recurse=False)
    return {
        name: value.value if isinstance(value, enum.Enum) else to_plain(value)
        for name, value in fields.items()
    }
