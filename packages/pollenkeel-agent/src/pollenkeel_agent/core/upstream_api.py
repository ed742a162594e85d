"""HTTP API with which the upstreams of the VM announce themselves to the agent."""

from __future__ import annotations

from typing import Any

import cherrypy
from result import Err, Ok, Result

from pollenkeel_agent.core.upstreams import UpstreamAnnouncement, UpstreamRegistry
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import (
    OperationsApi,
    VersionOne,
    write_json,
    write_refusal,
)
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import structure_checked

#: Largest accepted body in bytes; announcements are a few hundred bytes.
_MAX_ANNOUNCEMENT_BYTES = 65536

#: The handler reads the body itself, so that any content type is accepted.
APPLICATION_CONFIG = {"/": {"request.process_request_body": False}}


class AgentApi(OperationsApi):
    """CherryPy handler tree of the agent.

    Parameters
    ----------
    dump : StateDump
        State dump of this process.
    upstreams : UpstreamRegistry
        Registry that the announcements are passed to.
    """

    v1: Any

    def __init__(self, dump: StateDump, upstreams: UpstreamRegistry) -> None:
        super().__init__(dump)
        version_one: Any = VersionOne()
        version_one.dump = self.dump_state
        version_one.upstreams = UpstreamApi(upstreams)
        self.v1 = version_one


class UpstreamApi:
    """Handlers of ``POST`` and ``DELETE /v1/upstreams/<service>``."""

    def __init__(self, upstreams: UpstreamRegistry) -> None:
        self._upstreams = upstreams

    @cherrypy.expose
    def default(self, service: str, *rest: str) -> bytes:
        """Record an announcement (POST) or mark the upstream as leaving (DELETE)."""
        if rest:
            return _refuse(Code.NOT_FOUND, "/".join(rest), 404)
        method = cherrypy.request.method
        if method == "POST":
            return self._announce(service)
        if method == "DELETE":
            if self._upstreams.mark_leaving(service):
                return write_json({})
            return _refuse(Code.NOT_FOUND, f"service {service!r}", 404)
        cherrypy.response.headers["Allow"] = "POST, DELETE"
        return _refuse(Code.BAD_REQUEST, f"method {method}; choices: POST, DELETE", 405)

    def _announce(self, service: str) -> bytes:
        parsed = _read_announcement()
        if isinstance(parsed, Err):
            return _refuse(Code.BAD_REQUEST, parsed.err_value, 400)
        expires_at = self._upstreams.announce(service, parsed.ok_value)
        return write_json({"expires_at": expires_at})


def _read_announcement() -> Result[UpstreamAnnouncement, str]:
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    if not 0 < length <= _MAX_ANNOUNCEMENT_BYTES:
        return Err(f"body of {length} bytes; expected 1 to {_MAX_ANNOUNCEMENT_BYTES}")
    try:
        raw = parse_json(cherrypy.request.rfile.read(length))
    except ValueError as error:
        return Err(f"not valid JSON: {error}")
    checked = structure_checked(raw, UpstreamAnnouncement, "body")
    if isinstance(checked, Err):
        return Err("; ".join(checked.err_value))
    fault = checked.ok_value.find_fault()
    return Err(fault) if fault else Ok(checked.ok_value)


def _refuse(code: Code, detail: str, status: int) -> bytes:
    return write_refusal(Refusal(code, detail), status)
