"""JSON error responses with result codes instead of cherrypy's and cheroot's pages."""

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
    """Return the body of an error response; set as cherrypy's ``error_page.default``.

    Parameters
    ----------
    status : str
        HTTP status code and reason phrase.
    message : str
        Error message from cherrypy.
    """
    refusal, number = _make_refusal(status, message)
    if refusal.code is Code.INTERNAL:
        logger.exception("request failed")
    cherrypy.response.status = number
    cherrypy.response.headers.update(make_refusal_headers(refusal))
    return encode_refusal(refusal)


def read_body(limit: int) -> Result[bytes, Refusal]:
    """Read the body of the current request; cherrypy does not read it in advance.

    Parameters
    ----------
    limit : int
        Maximum size of the body in bytes.

    Returns
    -------
    Result[bytes, Refusal]
        Code 4004 if the body exceeds the limit, 4000 if it cannot be read.
    """
    try:
        body = bytes(cherrypy.request.rfile.read(limit + 1))
    except Exception as error:  # cheroot raises several unrelated types
        return Err(Refusal(Code.BAD_REQUEST, f"body: {type(error).__name__}"))
    if len(body) > limit:
        return Err(Refusal(Code.BODY_TOO_LARGE, f"limit: {limit} bytes"))
    return Ok(body)


class JsonErrorRequest(cherrypy._cprequest.Request):
    """Request with JSON error responses, whose body is read only by its handler.

    These are class attributes so that they also apply to errors that occur before
    cherrypy reads the application configuration.
    """

    error_page = {"default": write_error_page}
    show_tracebacks = False
    process_request_body = False


class JsonErrorParser(cheroot.server.HTTPRequest):
    """Parser that sends a JSON error response for requests rejected by cheroot."""

    def read_request_headers(self) -> bool:
        """Read the headers and return whether they are valid."""
        if not super().read_request_headers():
            return False
        # cheroot leaves the unread rest of a chunked body in the stream and would parse
        # it as the next request on the connection.
        if self.chunked_read:
            self.close_connection = True
        headers: Mapping[bytes, bytes] = self.inheaders
        # cheroot accepts a negative length and then reads until the connection closes.
        if headers.get(b"Content-Length", b"0").isdigit():
            return True
        self.simple_response("400 Bad Request", "Malformed Content-Length Header.")
        return False

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Send a JSON error response and close the connection.

        The connection cannot be reused because part of the request may be unread.
        """
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
            logger.debug(f"error response not sent: {error}")


class JsonErrorConnection(cheroot.server.HTTPConnection):
    """Connection that parses its requests with ``JsonErrorParser``.

    Attributes
    ----------
    is_new : bool
        Whether the server has just accepted the connection.
    """

    RequestHandlerClass = JsonErrorParser
    is_new = True


def _make_refusal(status: str, message: str) -> tuple[Refusal, int]:
    code = _CODE_BY_STATUS.get(int(status[:3]), Code.BAD_REQUEST)
    detail = message or status[4:]
    return Refusal(code, detail), _STATUS_BY_CODE.get(code, 400)
