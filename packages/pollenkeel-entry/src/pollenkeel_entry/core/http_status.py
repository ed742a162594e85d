"""Mapping from result codes to HTTP status codes."""

from __future__ import annotations

from pollenkeel_kernel.core.codes import Code

_STATUS_BY_CODE = {
    Code.TEAM_OVER_SHARE: 429,
    Code.ANSWER_BROKEN: 502,
    Code.ANSWER_TOO_LARGE: 502,
    Code.KEY_REUSED: 409,
    Code.JOB_CONFLICT: 409,
    Code.BODY_TOO_LARGE: 413,
    Code.NOT_FOUND: 404,
    Code.VERSION_CONFLICT: 409,
    Code.UNKNOWN_DATA_CENTRE: 404,
    Code.NO_CONFIG: 404,
}
#: HTTP status by the thousands digit of the result code.
_STATUS_BY_FAMILY = {1: 200, 2: 503, 3: 504, 4: 400, 5: 422}


def find_status(code: Code) -> int:
    """Return the HTTP status for a result code.

    Parameters
    ----------
    code : Code
        Result code; a thousands digit without an entry gives 500.
    """
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    return _STATUS_BY_FAMILY.get(code.value // 1000, 500)
