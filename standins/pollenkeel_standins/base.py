"""Base class of the stand-ins: control interface and common faults."""

from __future__ import annotations

import json
import time
from abc import ABC, abstractmethod
from typing import Any

import attrs
from result import Err

from pollenkeel_standins.faults import DownMode, Faults, FaultSwitches, describe
from pollenkeel_standins.serving import (
    Answer,
    DeliveryFault,
    Request,
    StandinServer,
    json_answer,
)

_DELIVERY_FAULT_BY_DOWN_MODE = {
    DownMode.BREAK: DeliveryFault.BREAK,
    DownMode.HANG: DeliveryFault.HANG,
}


class Standin(ABC):
    """Stand-in of an outside system, served over plain HTTP.

    Parameters
    ----------
    faults : Faults
        Initial state of the fault switches.
    """

    def __init__(self, faults: Faults) -> None:
        self.switches: FaultSwitches[Any] = FaultSwitches(faults)
        self._server: StandinServer | None = None

    @abstractmethod
    def serve(self, request: Request) -> Answer:
        """Handle a request of the outside system's own interface."""

    @abstractmethod
    def record(self) -> dict[str, Any]:
        """Return what actually ran, as JSON types."""

    def start(self, port: int, threads: int) -> str:
        """Start serving.

        Returns
        -------
        str
            Base URL of the stand-in.
        """
        self._server = StandinServer(self.handle, port, threads)
        return self._server.url

    def shut_down(self) -> None:
        """Stop serving; called on SIGTERM."""
        if self._server is not None:
            self._server.close()

    def finish_requests(self) -> None:
        """Wait until all requests in progress have been answered."""
        if self._server is not None:
            self._server.wait_until_idle()

    def can_lose_answer(self, request: Request) -> bool:
        """Return whether the switch ``lose_answers`` applies to a request."""
        return request.method in ("POST", "PUT", "DELETE")

    def handle(self, request: Request) -> Answer:
        """Handle a control request, or serve a request under the current faults."""
        if request.path == ["faults"]:
            return self._handle_faults(request)
        if request.path == ["record"]:
            return json_answer(self.record())
        faults = self.switches.current
        if faults.down is DownMode.REFUSE:
            return json_answer({"detail": "down"}, 503)
        if faults.down is not DownMode.OFF:
            return Answer(503, cut=_DELIVERY_FAULT_BY_DOWN_MODE[faults.down])
        time.sleep(faults.slow)
        if faults.fail:
            return json_answer({"detail": "set to fail"}, 500)
        return self._deliver(request, self.serve(request))

    def _deliver(self, request: Request, answer: Answer) -> Answer:
        faults = self.switches.current
        time.sleep(faults.slow_answer)
        if answer.status >= 300 or not self.can_lose_answer(request):
            return answer
        if not self.switches.consume("lose_answers"):
            return answer
        return attrs.evolve(answer, cut=DeliveryFault(faults.lost_by.value))

    def _handle_faults(self, request: Request) -> Answer:
        if request.method == "POST":
            changed = self.switches.change(parse_json(request.body))
            if isinstance(changed, Err):
                return json_answer({"faults": changed.err_value}, 400)
            if changed.ok_value.down is not DownMode.HANG and self._server is not None:
                self._server.release_parked()
        return json_answer(describe(self.switches.current))


def parse_json(body: bytes) -> Any:
    """Return the parsed body, or None if it is not JSON."""
    try:
        return json.loads(body)
    except ValueError:
        return None
