"""HTTP handlers that show and change the cluster configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import cherrypy
from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.http_status import find_status
from pollenkeel_kernel.config.check import check_document
from pollenkeel_kernel.config.document import decode_document
from pollenkeel_kernel.config.head import (
    AcceptedChange,
    ChangeRequest,
    accept,
    drain,
    undrain,
)
from pollenkeel_kernel.config.model import ConfigDocument
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.http import write_json, write_refusal
from pollenkeel_kernel.core.http_errors import read_body
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.refusal import Refusal

#: Longest wait in seconds for an accepted change to take effect at this entry. Changes
#: are guaranteed to be in force at every entry within this time.
_IN_FORCE_WAIT = 5.0
_POLL_INTERVAL = 0.02
_APPLY_MEMBERS = {"base", "overlays_by_site", "expected_version", "change_id"}
_DRAIN_MEMBERS = {"change_id"}
_OPTIONAL_MEMBERS = {"operator"}

_Change = Callable[[ChangeRequest], Result[AcceptedChange, Refusal]]


class ConfigApi:
    """Handlers of ``/v1/config`` and ``/v1/data-centres``.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self.data_centres = _DataCentres(self)

    def mount(self, version_one: Any) -> None:
        """Attach the handlers to the handler of ``/v1``."""
        version_one.config = self.config
        version_one.data_centres = self.data_centres

    @cherrypy.expose
    def config(self) -> bytes:
        """Return the configuration in force on ``GET``; apply a new one on ``POST``."""
        if cherrypy.request.method == "POST":
            return self._answer(self._apply_document())
        if cherrypy.request.method == "GET":
            return self._show_config()
        return _refuse(Refusal(Code.BAD_REQUEST, "methods: GET, POST"))

    def drain_or_undrain(self, data_centre: str, action: str) -> bytes:
        """Drain a data centre or return it to service.

        ``action`` is ``drain`` or ``undrain``.
        """
        change = {"drain": drain, "undrain": undrain}[action]
        backend, clock = self._context.backend, self._context.clock
        return self._answer(
            self._read_members(_DRAIN_MEMBERS).and_then(
                lambda members: _apply_change(
                    members, lambda r: change(backend, clock, r, data_centre)
                )
            )
        )

    def _show_config(self) -> bytes:
        snapshot = self._context.config.snapshot()
        if snapshot is None:
            return _refuse(Refusal(Code.NO_CONFIG))
        document = decode_document(snapshot.body)
        if isinstance(document, Err):
            return _refuse(document.err_value)
        return write_json(
            {
                "version": snapshot.version,
                "drained": sorted(self._context.config.drained()),
                **attrs.asdict(document.ok_value),
            }
        )

    def _apply_document(self) -> Result[AcceptedChange, Refusal]:
        return self._read_members(_APPLY_MEMBERS).and_then(self._accept_document)

    def _accept_document(
        self, members: dict[str, Any]
    ) -> Result[AcceptedChange, Refusal]:
        overlays, version = members["overlays_by_site"], members["expected_version"]
        if not isinstance(overlays, dict):
            return _bad_request("overlays_by_site: expected a mapping for each site")
        if type(version) is not int or version < 0:
            return _bad_request(
                f"expected_version: expected 0 or more, got {version!r:.40}"
            )
        document = ConfigDocument(members["base"], overlays)
        faults = check_document(document)
        if faults:
            return Err(Refusal(Code.BAD_CONFIG, "; ".join(faults)))
        context = self._context
        return _apply_change(
            members,
            lambda r: accept(context.backend, context.clock, r, document, version),
        )

    def _read_members(self, names: set[str]) -> Result[dict[str, Any], Refusal]:
        limit = self._context.settings.limits.body_bytes
        body = read_body(limit)
        if isinstance(body, Err):
            return body
        try:
            members = parse_json(body.ok_value)
        except ValueError as error:
            return _bad_request(f"not valid JSON: {error}")
        if not isinstance(members, dict) or set(members) - _OPTIONAL_MEMBERS != names:
            return _bad_request(f"expected the members {', '.join(sorted(names))}")
        return Ok(members)

    def _answer(self, result: Result[AcceptedChange, Refusal]) -> bytes:
        if isinstance(result, Err):
            return _refuse(result.err_value)
        change = result.ok_value
        return write_json(
            {
                "code": Code.OK.value,
                "change_id": change.change_id,
                "version": change.version,
                "in_force": self._wait_in_force(change.version),
            }
        )

    def _wait_in_force(self, version: int) -> bool:
        """Wait until the version is in force here; return False after a timeout."""
        deadline = self._context.clock.now() + _IN_FORCE_WAIT
        while True:
            snapshot = self._context.config.snapshot()
            if snapshot is not None and snapshot.version >= version:
                return True
            if self._context.clock.now() >= deadline:
                return False
            self._context.stopping.wait(_POLL_INTERVAL)


class _DataCentres:
    """Handler of ``POST /v1/data-centres/<name>/drain`` and ``/undrain``."""

    def __init__(self, api: ConfigApi) -> None:
        self._api = api

    @cherrypy.expose
    def default(self, *path: str) -> bytes:
        if len(path) != 2 or path[1] not in ("drain", "undrain"):
            return _refuse(Refusal(Code.NOT_FOUND, "paths: <name>/drain, /undrain"))
        if cherrypy.request.method != "POST":
            return _refuse(Refusal(Code.BAD_REQUEST, "methods: POST"))
        return self._api.drain_or_undrain(path[0], path[1])


def _apply_change(
    members: dict[str, Any], change: _Change
) -> Result[AcceptedChange, Refusal]:
    """Apply a change under the change id and the operator of the request body."""
    operator = members.get("operator", cherrypy.request.remote.ip)
    change_id = members["change_id"]
    if not isinstance(change_id, str) or not isinstance(operator, str):
        return _bad_request("change_id, operator: expected text")
    return change(ChangeRequest(change_id, operator))


def _bad_request(detail: str) -> Err[Refusal]:
    return Err(Refusal(Code.BAD_REQUEST, detail))


def _refuse(refusal: Refusal) -> bytes:
    return write_refusal(refusal, find_status(refusal.code))
