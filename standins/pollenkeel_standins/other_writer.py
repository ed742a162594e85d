"""Stand-in of a writer of heartbeats that is not the runner that they name."""

from __future__ import annotations

import json
import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Any

import attrs
import urllib3

#: Service that no configuration names.
UNNAMED_SERVICE = "other-service"
_UNNAMED_STATE = "resting"
#: Added to the runner's own ``Seq``: later heartbeats of the runner remain lower.
_SEQUENCE_LEAD = 1_000_000
#: Values of a type that no field of a heartbeat has.
_OTHER_VALUES: tuple[object, ...] = (None, -1, 1.5, [None])
_TIMEOUT_SECONDS = 1.0

Heartbeat = dict[str, Any]


@attrs.frozen
class ForeignHeartbeat:
    """Heartbeat of another writer: the id in its path, and its body."""

    runner_id: str
    body: bytes


class Forgery(ABC):
    """One kind of heartbeat that another writer sends for a runner."""

    @abstractmethod
    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield the variants made from the latest heartbeat of the runner itself."""


class MissingField(Forgery):
    """A required field is missing; one variant each."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield a heartbeat without each of the fields that an agent needs."""
        for name in ("born", "Seq", "Capacity", "Backend", "Zone", "State"):
            fields = {key: value for key, value in own.items() if key != name}
            yield _encode(runner_id, fields)


class OtherType(Forgery):
    """A field has a value of another type; one variant each."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield a heartbeat for each field and each kind of wrong value."""
        for name in ("born", "Seq", "Capacity", "Backend", "Zone", "State"):
            for value in _OTHER_VALUES:
                yield _encode(runner_id, {**own, name: value})


class UnreadableBytes(Forgery):
    """The body is no JSON object."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield bytes that are no text, a body that is cut off, and other values."""
        text = json.dumps(own).encode()
        for body in (b"", b"\xff\xfe\x00", text[: len(text) // 2], b"null", b"[]"):
            yield ForeignHeartbeat(runner_id, body)


class UnnamedState(Forgery):
    """The state is none that the platform names."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield it once with the runner's ``born`` and once with a later one."""
        fields = {**own, "State": _UNNAMED_STATE}
        yield _encode(runner_id, fields)
        yield _encode(runner_id, {**fields, "born": _now_ms()})


class LaterBorn(Forgery):
    """Well-formed, for a service that is not named, with a later ``born``."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield a heartbeat as of a new boot of the runner."""
        change = {"Backend": UNNAMED_SERVICE, "born": _now_ms(), "Seq": 1}
        yield _encode(runner_id, {**own, **change})


class HighSequence(Forgery):
    """Well-formed, for a service that is not named, with the runner's own ``born``."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield a heartbeat that appears to be newer than all of the runner."""
        change = {"Backend": UNNAMED_SERVICE, "Seq": own["Seq"] + _SEQUENCE_LEAD}
        yield _encode(runner_id, {**own, **change})


class OtherId(Forgery):
    """Well-formed, for a service that is not named, under another id."""

    def make(self, runner_id: str, own: Heartbeat) -> Iterator[ForeignHeartbeat]:
        """Yield a heartbeat as of another runner at the same address."""
        change = {"Backend": UNNAMED_SERVICE, "born": _now_ms(), "Seq": 1}
        yield _encode(f"{runner_id}-other", {**own, **change})


FORGERIES_BY_NAME: dict[str, Forgery] = {
    "missing-field": MissingField(),
    "other-type": OtherType(),
    "unreadable-bytes": UnreadableBytes(),
    "unnamed-state": UnnamedState(),
    "later-born": LaterBorn(),
    "high-sequence": HighSequence(),
    "other-id": OtherId(),
}


class OtherWriter:
    """Sends heartbeats for a runner to the agent with which it is registered.

    Parameters
    ----------
    agent : str
        URL at which the agent takes heartbeats.
    """

    def __init__(self, agent: str) -> None:
        self._agent = agent
        self._pool = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_SECONDS)

    def send(self, name: str, runner_id: str, own: Heartbeat) -> None:
        """Send all variants of one kind; an agent that is down gets none.

        ``own`` is the latest heartbeat of the runner.
        """
        for heartbeat in FORGERIES_BY_NAME[name].make(runner_id, own):
            url = f"{self._agent}/api/instances/{heartbeat.runner_id}/heartbeat"
            headers = {"Content-Type": "application/json"}
            try:
                self._pool.request("POST", url, body=heartbeat.body, headers=headers)
            except urllib3.exceptions.HTTPError:
                return


def _encode(runner_id: str, fields: Heartbeat) -> ForeignHeartbeat:
    return ForeignHeartbeat(runner_id, json.dumps(fields).encode())


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
