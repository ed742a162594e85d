"""HTTP client of the operators' API that fails over between entries."""

from __future__ import annotations

import json
from typing import Any

import attrs
import urllib3
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code, Outcome, find_code
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.refusal import Refusal

#: Longest wait for the response of one entry. A change makes several store calls of up
#: to 2 s each and then waits up to 5 s until it is in force.
_READ_TIMEOUT_SECONDS = 30.0
_CONNECT_TIMEOUT_SECONDS = 3.0


@attrs.frozen
class EntryClient:
    """Sends a request to the first entry that can serve it.

    Retrying a request at the next entry is safe: a change id or job id makes every
    change idempotent.

    Attributes
    ----------
    entries : list[str]
        Base URLs of entries, tried in order.
    """

    entries: list[str]
    _pool: urllib3.PoolManager = attrs.field(
        factory=lambda: urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_SECONDS, read=_READ_TIMEOUT_SECONDS
            ),
        )
    )

    def call(self, method: str, path: str, body: Any = None) -> Result[Any, Refusal]:
        """Return the JSON response of the first entry that can serve the request.

        Parameters
        ----------
        method, path : str
            HTTP request.
        body : Any, optional
            Value sent as JSON.

        Returns
        -------
        Result[Any, Refusal]
            The response, or a refusal. If no entry could serve the request, this is
            the first refusal with an unknown outcome, else the last refusal. A
            refusal that all entries would give is returned at once.
        """
        refusal = Refusal(Code.PEER_UNREACHABLE, "no entries given")
        unknown: Refusal | None = None
        for entry in self.entries:
            answer = self._call_one(entry, method, path, body)
            if not isinstance(answer, Err):
                return answer
            refusal = answer.err_value
            if refusal.outcome == Outcome.UNKNOWN:
                unknown = unknown or refusal
            if not _should_try_next_entry(refusal):
                return answer
        return Err(unknown or refusal)

    def _call_one(
        self, entry: str, method: str, path: str, body: Any
    ) -> Result[Any, Refusal]:
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"} if data else {}
        url = entry.rstrip("/") + path
        try:
            response = self._pool.request(method, url, body=data, headers=headers)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ) as error:
            detail = f"{entry}: {type(error).__name__}"
            return Err(Refusal(Code.PEER_UNREACHABLE, detail))
        except urllib3.exceptions.HTTPError as error:
            return Err(Refusal(Code.NO_REPLY, f"{entry}: {type(error).__name__}"))
        return _decode_response(entry, response)


def _decode_response(
    entry: str, response: urllib3.BaseHTTPResponse
) -> Result[Any, Refusal]:
    try:
        answer = parse_json(response.data)
    except ValueError:
        answer = None
    if answer is not None and 200 <= response.status < 300:
        return Ok(answer)
    if not isinstance(answer, dict) or type(answer.get("code")) is not int:
        detail = f"{entry}: HTTP {response.status} without a result code"
        return Err(Refusal(Code.INTERNAL, detail))
    return Err(Refusal(find_code(answer["code"]), str(answer.get("detail", ""))))


def _should_try_next_entry(refusal: Refusal) -> bool:
    """Return whether another entry may succeed.

    It may if the request was not executed (2xxx), its outcome is unknown (3xxx) or the
    entry had an internal error (9xxx). All entries reject the same bad input.
    """
    return refusal.code // 1000 in (2, 3, 9)
