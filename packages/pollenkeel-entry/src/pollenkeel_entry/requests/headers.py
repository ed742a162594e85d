"""Validation of request headers and selection of the headers to forward."""

from __future__ import annotations

import math
from collections.abc import Mapping

from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.headers import HOP_BY_HOP
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import MAX_DEADLINE_SECONDS

TEAM_HEADER = "Pollenkeel-Team"
KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "Pollenkeel-Idempotent"
DEADLINE_HEADER = "Pollenkeel-Deadline"

_OWN_PREFIX = "pollenkeel-"
#: Hop-by-hop headers, and headers that the client of each connection sets itself.
_CONNECTION_HEADERS = HOP_BY_HOP | {"host", "content-length", "expect"}
#: CherryPy adds these to the headers of a request.
_CHERRYPY_REQUEST_HEADERS = frozenset({"remote-addr", "remote-host"})
#: The entry's HTTP server sets these on every response.
_CHERRYPY_RESPONSE_HEADERS = frozenset({"date", "server"})
_MAX_KEY_LENGTH = 256


def forwarded_request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the request headers to forward.

    Leaves out connection headers and pollenkeel's own headers.
    """
    dropped = (
        _CONNECTION_HEADERS | _CHERRYPY_REQUEST_HEADERS | _connection_options(headers)
    )
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped and not name.lower().startswith(_OWN_PREFIX)
    }


def forwarded_response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return an upstream's response headers without connection headers."""
    dropped = (
        _CONNECTION_HEADERS | _CHERRYPY_RESPONSE_HEADERS | _connection_options(headers)
    )
    return {
        name: value for name, value in headers.items() if name.lower() not in dropped
    }


def parse_key(headers: Mapping[str, str]) -> Result[str, Refusal]:
    """Return the idempotency key, empty if absent; code 4000 if invalid."""
    key = headers.get(KEY_HEADER)
    if key is None:
        return Ok("")
    if (
        not key
        or len(key) > _MAX_KEY_LENGTH
        or not (key.isascii() and _is_visible_ascii(key))
    ):
        return _invalid_header(
            KEY_HEADER, key, f"1 to {_MAX_KEY_LENGTH} visible ASCII characters"
        )
    return Ok(key)


def parse_idempotent(
    headers: Mapping[str, str], default: bool
) -> Result[bool, Refusal]:
    """Return whether the request may run more than once; code 4000 if invalid."""
    value = headers.get(IDEMPOTENT_HEADER)
    if value is None:
        return Ok(default)
    if value not in ("true", "false"):
        return _invalid_header(IDEMPOTENT_HEADER, value, "true or false")
    return Ok(value == "true")


def parse_deadline(
    headers: Mapping[str, str], now: float, promised_time: float
) -> Result[float, Refusal]:
    """Return the deadline in seconds since the Unix epoch.

    Code 4000 if the header is invalid, 2002 if the deadline has passed. Without the
    header, the deadline follows from the service's ``promised_time``.
    """
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        # A configuration accepted by an earlier version may exceed the limit.
        return Ok(now + min(promised_time, MAX_DEADLINE_SECONDS))
    try:
        deadline = float(value)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline) or deadline > now + MAX_DEADLINE_SECONDS:
        return _invalid_header(
            DEADLINE_HEADER, value, "seconds since the Unix epoch, within one hour"
        )
    if deadline <= now:
        return Err(
            Refusal(Code.DEADLINE_TOO_CLOSE, f"{DEADLINE_HEADER} {value} has passed")
        )
    return Ok(deadline)


def _connection_options(headers: Mapping[str, str]) -> set[str]:
    """Return the header names listed in ``Connection``, in lower case."""
    values = [v for name, v in headers.items() if name.lower() == "connection"]
    return {part.strip().lower() for value in values for part in value.split(",")}


def _is_visible_ascii(text: str) -> bool:
    return all("!" <= character <= "~" for character in text)


def _invalid_header(name: str, value: str, choices: str) -> Err[Refusal]:
    return Err(Refusal(Code.BAD_REQUEST, f"{name} {value!r:.80}; expected {choices}"))
