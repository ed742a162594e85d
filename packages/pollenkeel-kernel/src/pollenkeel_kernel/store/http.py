"""HTTP client of the table service and the object store."""

from __future__ import annotations

import base64
import json
from typing import Any
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.metrics import STORE_CALLS, STORE_SECONDS
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import StoreSettings
from pollenkeel_kernel.store.base import BACKENDS, Backend, Put, Row

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_NOT_FOUND = 404
#: Status codes of requests that were rejected before they had any effect.
_REFUSED_STATUSES = frozenset({400, 413, 429, 503})


@BACKENDS.register("http")
class HttpBackend(Backend):
    """Client with a pool of keep-alive connections.

    Parameters
    ----------
    settings : StoreSettings
        Base URL, and timeout of one call in seconds.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self._url = settings.url.rstrip("/")
        self._pool = urllib3.PoolManager(
            maxsize=32,
            retries=False,
            timeout=urllib3.Timeout(total=settings.timeout),
        )

    def get(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return a row, or None if there is none."""
        response = self._read("get", f"/tables/{_quote(table)}/rows/{_quote(key)}")
        return response.map(
            lambda r: None if r is None else _parse_row(json.loads(r.data))
        )

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Refusal]:
        """Return rows whose key starts with ``prefix`` and sorts after ``after``."""
        response = self._read(
            "scan",
            f"/tables/{_quote(table)}/rows",
            {"prefix": prefix, "after": after, "limit": str(limit)},
        )
        return response.map(
            lambda r: (
                [] if r is None else [_parse_row(v) for v in json.loads(r.data)["rows"]]
            )
        )

    def write(self, puts: list[Put]) -> Result[list[int], Refusal]:
        """Apply all writes or none, in one transaction."""
        body = json.dumps({"writes": [_encode_put(put) for put in puts]}).encode()
        response = self._write("write", "POST", "/transactions", body)
        return response.map(lambda r: list(json.loads(r.data)["versions"]))

    def get_object(self, key: str) -> Result[bytes | None, Refusal]:
        """Return an object's content, or None if there is none."""
        response = self._read("get_object", f"/objects/{_quote(key)}")
        return response.map(lambda r: None if r is None else bytes(r.data))

    def put_object(self, key: str, content: bytes) -> Result[None, Refusal]:
        """Store an object; storing the same content again has no effect."""
        response = self._write("put_object", "PUT", f"/objects/{_quote(key)}", content)
        return response.map(lambda _: None)

    def delete_object(self, key: str) -> Result[None, Refusal]:
        """Delete an object; deleting a missing object succeeds."""
        path = f"/objects/{_quote(key)}"
        return self._write("delete_object", "DELETE", path, None).map(lambda _: None)

    def _read(
        self, operation: str, path: str, fields: dict[str, str] | None = None
    ) -> Result[urllib3.BaseHTTPResponse | None, Refusal]:
        try:
            with STORE_SECONDS.labels(operation).time():
                response = self._pool.request("GET", self._url + path, fields=fields)
        except urllib3.exceptions.HTTPError as error:
            return _record_error(operation, Code.STORE_UNAVAILABLE, _error_name(error))
        if response.status == _HTTP_NOT_FOUND:
            STORE_CALLS.labels(operation, Code.OK.value).inc()
            return Ok(None)
        if response.status != _HTTP_OK:
            detail = f"HTTP {response.status}"
            return _record_error(operation, Code.STORE_UNAVAILABLE, detail)
        STORE_CALLS.labels(operation, Code.OK.value).inc()
        return Ok(response)

    def _write(
        self, operation: str, method: str, path: str, body: bytes | None
    ) -> Result[urllib3.BaseHTTPResponse, Refusal]:
        try:
            with STORE_SECONDS.labels(operation).time():
                response = self._pool.request(method, self._url + path, body=body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _record_error(operation, Code.STORE_UNAVAILABLE, _error_name(error))
        except urllib3.exceptions.HTTPError as error:
            return _record_error(operation, Code.WRITE_UNKNOWN, _error_name(error))
        missing = method == "DELETE" and response.status == _HTTP_NOT_FOUND
        if response.status == _HTTP_OK or missing:
            STORE_CALLS.labels(operation, Code.OK.value).inc()
            return Ok(response)
        detail = (
            f"HTTP {response.status}: {response.data[:200].decode(errors='replace')}"
        )
        if response.status == _HTTP_CONFLICT:
            return _record_error(operation, Code.VERSION_CONFLICT, detail)
        if response.status in _REFUSED_STATUSES:
            return _record_error(operation, Code.STORE_UNAVAILABLE, detail)
        return _record_error(operation, Code.WRITE_UNKNOWN, detail)


def _record_error(operation: str, code: Code, detail: str) -> Err[Refusal]:
    STORE_CALLS.labels(operation, code.value).inc()
    return Err(Refusal(code, f"{operation}: {detail}"))


def _error_name(error: Exception) -> str:
    return type(error).__name__


def _quote(text: str) -> str:
    return quote(text, safe="")


def _encode_put(put: Put) -> dict[str, Any]:
    value = None if put.value is None else base64.b64encode(put.value).decode()
    return {
        "table": put.table,
        "key": put.key,
        "value": value,
        "expected_version": put.expected_version,
    }


def _parse_row(fields: dict[str, Any]) -> Row:
    return Row(fields["key"], fields["version"], base64.b64decode(fields["value"]))
