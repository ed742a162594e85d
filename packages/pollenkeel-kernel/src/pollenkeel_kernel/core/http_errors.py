"""Numbered JSON refusals in place of the error pages of cherrypy and cheroot."""

from __future__ import annotations

import http
import json
from collections.abc import Mapping
from typing import Any

import cheroot.server
import cherrypy
import logbook
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal

logger = logbook.Logger("http")

_CODE_BY_STATUS = {
    404: Code.NOT_FOUND,
    413: Code.BODY_TOO_LARGE,
    500: Code.INTERNAL,
}
_STATUS_BY_CODE = {code: status for status, code in _CODE_BY_STATUS.items()}
_JSON = "application/json"


def make_refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the response headers of a refusal."""
    return {
        "Content-Type": _JSON,
        "Pollenkeel-Code": str(refusal.code.value),
        "Pollenkeel-Outcome": refusal.outcome.value,
    }


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    fields = {
        "code": refusal.code.value,
        "name": refusal.code.name,
        "outcome": refusal.outcome.value,
        "detail": refusal.detail,
    }
    return json.dumps(fields).encode() + b"\n"


def write_error_page(status: str, message: str, **_: str) -> bytes:
    """Return the body of an error found by cherrypy; its ``error_page.default``.

    Parameters
    ----------
    status : str
        HTTP status with its reason.
    message : str
        Cause as cherrypy describes it.
    """
    refusal, number = _make_refusal(status, message)
    if refusal.code is Code.INTERNAL:
        logger.exception("request failed")
    cherrypy.response.status = number
    cherrypy.response.headers.update(make_refusal_headers(refusal))
    return encode_refusal(refusal)


def read_body(limit: int) -> Result[bytes, Refusal]:
    """Return the body of the current request, which cherrypy has not read.

    Parameters
    ----------
    limit : int
        Largest body in bytes.

    Returns
    -------
    Result[bytes, Refusal]
        Code 4004 if the body is larger, 4000 if it cannot be read.
    """
    try:
        body = bytes(cherrypy.request.rfile.read(limit + 1))
    except Exception as error:  # cheroot raises several unrelated types
        return Err(Refusal(Code.BAD_REQUEST, f"body: {type(error).__name__}"))
    if len(body) > limit:
        return Err(Refusal(Code.BODY_TOO_LARGE, f"limit: {limit} bytes"))
    return Ok(body)


class JsonErrorRequest(cherrypy._cprequest.Request):
    """Request whose errors are numbered and whose body only its handler reads.

    Class attributes also apply to errors found before cherrypy reads configuration.
    """

    error_page = {"default": write_error_page}
    show_tracebacks = False
    process_request_body = False


class JsonErrorParser(cheroot.server.HTTPRequest):
    """Answers what cheroot itself refuses with a numbered JSON body."""

    def read_request_headers(self) -> bool:
        """Read the headers and return whether they are usable."""
        if not super().read_request_headers():
            return False
        # cheroot leaves the rest of an unread chunked body in the stream and would
        # execute it as the next request of the connection.
        if self.chunked_read:
            self.close_connection = True
        headers: Mapping[bytes, bytes] = self.inheaders
        # cheroot accepts a negative length and then waits for the end of the stream.
        if headers.get(b"Content-Length", b"0").isdigit():
            return True
        self.simple_response("400 Bad Request", "Malformed Content-Length Header.")
        return False

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Write a refusal; the connection is closed, as its stream may be unread."""
        self.close_connection = True
        refusal, number = _make_refusal(str(status), msg)
        body = encode_refusal(refusal)
        headers = {
            **make_refusal_headers(refusal),
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        lines = [f"HTTP/1.1 {number} {http.HTTPStatus(number).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        try:
            self.conn.wfile.write(head + body)
        except OSError as error:
            logger.debug(f"refusal not sent: {error}")


class JsonErrorConnection(cheroot.server.HTTPConnection):
    """Connection whose requests are ``JsonErrorParser``."""

    RequestHandlerClass = JsonErrorParser


def _make_refusal(status: str, message: str) -> tuple[Refusal, int]:
    code = _CODE_BY_STATUS.get(int(status[:3]), Code.BAD_REQUEST)
    detail = message or status[4:]
    return Refusal(code, detail), _STATUS_BY_CODE.get(code, 400)
