"""HTTP handler of ``/v1/services``."""

from __future__ import annotations

from collections.abc import Mapping
from urllib.parse import unquote, urlsplit

import attrs
import cherrypy
import logbook
from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.http_status import find_status
from pollenkeel_entry.requests import headers as header_rules
from pollenkeel_entry.requests.admission import Admission
from pollenkeel_entry.requests.forwarder import Forwarder
from pollenkeel_entry.requests.metrics import REQUEST_SECONDS, REQUESTS
from pollenkeel_entry.requests.request import (
    IDEMPOTENT_METHODS,
    Answer,
    ServiceRequest,
)
from pollenkeel_kernel.config.model import ClusterConfig, ServiceConfig
from pollenkeel_kernel.core.codes import Code, Outcome
from pollenkeel_kernel.core.http import write_refusal
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.policy.request_share import REQUEST_SHARES

logger = logbook.Logger("requests")

_PREFIX = "/v1/services/"
_METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}

#: CherryPy configuration: the handler reads the request body itself.
APPLICATION_CONFIG = {"/v1/services": {"request.process_request_body": False}}


@attrs.frozen
class _Target:
    """Service and path, including the query string, that a request addresses."""

    service: str
    path: str


class ServicesApi:
    """Validates, admits and forwards requests for the upstreams of a service.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    forwarder : Forwarder
        Sends the validated requests.
    admission : Admission
        Limit on concurrent requests.
    """

    def __init__(
        self, context: EntryContext, forwarder: Forwarder, admission: Admission
    ) -> None:
        self._context = context
        self._forwarder = forwarder
        self._admission = admission

    @cherrypy.expose
    def default(self, *_: str, **__: str) -> bytes:
        """Handle any method and path below ``/v1/services/<service>/``."""
        started = self._context.clock.now()
        service = "unknown"
        try:
            checked = self._check_request()
            if isinstance(checked, Ok):
                service = checked.ok_value.service
            result = checked.and_then(self._admit_and_forward)
        except Exception as error:
            logger.exception("request failed")
            result = Err(Refusal(Code.INTERNAL, type(error).__name__))
        code = result.ok_value.code if isinstance(result, Ok) else result.err_value.code
        REQUESTS.labels(service, code.value).inc()
        REQUEST_SECONDS.labels(service).observe(self._context.clock.now() - started)
        if isinstance(result, Err):
            return write_refusal(result.err_value, find_status(code))
        return _write_answer(result.ok_value)

    def _admit_and_forward(self, request: ServiceRequest) -> Result[Answer, Refusal]:
        config = self._context.config.effective()
        if config is None:
            return Err(Refusal(Code.NO_CONFIG))
        policy = REQUEST_SHARES.get(config.policy.request_share)()
        share = config.teams[request.team].share
        admitted = self._admission.enter(request.team, share, policy)
        if isinstance(admitted, Err):
            return admitted
        # Counts the request until its answer is written, so that a graceful stop waits
        # for it.
        cherrypy.request.hooks.attach(
            "on_end_request", lambda: self._admission.leave(request.team), failsafe=True
        )
        return self._forwarder.forward(request)

    def _check_request(self) -> Result[ServiceRequest, Refusal]:
        """Return the current HTTP request if it is valid."""
        config = self._context.config.effective()
        if config is None:
            return Err(Refusal(Code.NO_CONFIG))
        headers: Mapping[str, str] = cherrypy.request.headers
        target = _find_target(cherrypy.request.wsgi_environ, config)
        if isinstance(target, Err):
            return target
        team = _find_team(headers, config)
        if isinstance(team, Err):
            return team
        service = config.services[target.ok_value.service]
        return self._make_request(headers, target.ok_value, team.ok_value, service)

    def _make_request(
        self,
        headers: Mapping[str, str],
        target: _Target,
        team: str,
        service: ServiceConfig,
    ) -> Result[ServiceRequest, Refusal]:
        method = cherrypy.request.method
        if method not in _METHODS:
            choices = ", ".join(sorted(_METHODS))
            detail = f"method {method!r:.20}; choices: {choices}"
            return Err(Refusal(Code.BAD_REQUEST, detail))
        now = self._context.clock.now()
        idempotent = header_rules.parse_idempotent(
            headers, method in IDEMPOTENT_METHODS
        )
        key = header_rules.parse_key(headers)
        deadline = header_rules.parse_deadline(headers, now, service.promised_time)
        for part in (idempotent, key, deadline):
            if isinstance(part, Err):
                return Err(part.err_value)
        body = _read_body(headers, self._context.settings.limits.body_bytes)
        return body.map(
            lambda content: ServiceRequest(
                service=target.service,
                team=team,
                method=method,
                path=target.path,
                headers=header_rules.forwarded_request_headers(headers),
                body=content,
                idempotent=idempotent.unwrap(),
                key=key.unwrap(),
                deadline=deadline.unwrap(),
                hedge=service.hedge,
            )
        )


def _find_target(
    environ: Mapping[str, str], config: ClusterConfig
) -> Result[_Target, Refusal]:
    # Uses the raw request URI, because WSGI decodes percent-escapes in the path.
    uri = environ.get("REQUEST_URI", "")
    parts = urlsplit(uri if uri.startswith("/") is False else "http://entry" + uri)
    if not parts.path.startswith(_PREFIX):
        return Err(Refusal(Code.NOT_FOUND, f"path {parts.path!r:.80}"))
    name, _, rest = parts.path[len(_PREFIX) :].partition("/")
    service = unquote(name)
    if service not in config.services:
        choices = ", ".join(sorted(config.services))
        detail = f"service {service!r:.80}; choices: {choices}"
        return Err(Refusal(Code.NOT_FOUND, detail[:1000]))
    query = f"?{parts.query}" if parts.query else ""
    return Ok(_Target(service, f"/{rest}{query}"))


def _find_team(
    headers: Mapping[str, str], config: ClusterConfig
) -> Result[str, Refusal]:
    team = headers.get(header_rules.TEAM_HEADER)
    if team is None:
        return Err(
            Refusal(Code.BAD_REQUEST, f"header {header_rules.TEAM_HEADER} is missing")
        )
    if team not in config.teams:
        detail = f"{header_rules.TEAM_HEADER} {team!r:.80} is not configured"
        return Err(Refusal(Code.BAD_REQUEST, detail))
    return Ok(team)


def _read_body(headers: Mapping[str, str], limit: int) -> Result[bytes, Refusal]:
    length = headers.get("Content-Length")
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if length is None and not chunked:
        return Ok(b"")
    if length is not None and not (length.isascii() and length.isdigit()):
        return Err(Refusal(Code.BAD_REQUEST, f"Content-Length {length!r:.40}"))
    declared = None if length is None or chunked else int(length)
    if declared is not None and declared > limit:
        return _too_large(f"{declared} bytes", limit)
    try:
        body = bytes(cherrypy.request.rfile.read(limit + 1))
    except Exception as error:  # cheroot raises several unrelated exception types
        return Err(Refusal(Code.BAD_REQUEST, f"body: {type(error).__name__}"))
    if len(body) > limit:
        return _too_large("body", limit)
    if declared is not None and len(body) != declared:
        detail = f"body has {len(body)} of {declared} bytes"
        return Err(Refusal(Code.BAD_REQUEST, detail))
    return Ok(body)


def _too_large(subject: str, limit: int) -> Err[Refusal]:
    return Err(Refusal(Code.BODY_TOO_LARGE, f"{subject}; the limit is {limit} bytes"))


def _write_answer(answer: Answer) -> bytes:
    response = cherrypy.response
    response.headers.pop("Content-Type", None)
    response.status = answer.status
    response.headers.update(header_rules.forwarded_response_headers(answer.headers))
    response.headers["Pollenkeel-Code"] = str(answer.code.value)
    response.headers["Pollenkeel-Outcome"] = Outcome.ANSWERED.value
    response.headers["Pollenkeel-Attempt"] = answer.attempt_id
    response.headers["Pollenkeel-Vm"] = answer.vm
    return answer.body
