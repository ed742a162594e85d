"""Handling of dispatches: admission, the upstream call and the reply."""

from __future__ import annotations

import re
import threading

import attrs
import urllib3
from result import Err, Ok, Result

from pollenkeel_agent.core.attempts import (
    MAX_START_DELAY,
    Attempt,
    AttemptTable,
    repeat_refusal,
)
from pollenkeel_agent.core.connections import UpstreamConnections
from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_agent.core.metrics import (
    DISPATCHES,
    QUERIES,
    SLOTS_ORPHANED,
    UPSTREAM_SECONDS,
)
from pollenkeel_agent.core.upstreams import UpstreamRegistry
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.digest import body_digest
from pollenkeel_kernel.core.headers import HOP_BY_HOP
from pollenkeel_kernel.core.messages import (
    AttemptReply,
    Dispatch,
    DispatchReply,
    QueryAttempt,
)
from pollenkeel_kernel.core.refusal import Refusal

#: Seconds after the deadline during which the answer to a non-idempotent request is
#: still read, because a repeated dispatch of the attempt or a query may ask for it.
_LATE_ANSWER_SECONDS = 10.0
_READ_CHUNK_BYTES = 256 * 1024
#: Request headers that are not forwarded, as the agent or its HTTP client sets them.
_HEADERS_SET_BY_AGENT = frozenset(
    {"host", "content-length", "expect", "pollenkeel-attempt", "pollenkeel-team"}
)
#: Token of RFC 9110, the syntax of methods and header names.
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
#: Header value that can be encoded as Latin-1 and has no NUL or line breaks.
_HEADER_VALUE = re.compile(r"[^\x00\r\n\u0100-\U0010ffff]*")
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class UpstreamFailure(Exception):
    """An upstream call that did not return a complete answer.

    Parameters
    ----------
    refusal : Refusal
        Code and detail of the reply.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


class DispatchHandler:
    """Handles dispatches from entries and runs each attempt at most once.

    Parameters
    ----------
    sender : str
        Id of this agent.
    epoch : str
        Epoch of this agent process.
    clock : Clock
        Source of time.
    ledger : Ledger
        Slot reservations of the services.
    attempts : AttemptTable
        Attempts received by this process.
    upstreams : UpstreamRegistry
        Live upstreams.
    body_bytes : int
        Maximum body size of a request or an answer.
    leaving : threading.Event
        Set when the agent is shutting down and admits no new work.

    Attributes
    ----------
    connections : UpstreamConnections
        Connections to the upstreams.
    """

    def __init__(
        self,
        sender: str,
        epoch: str,
        clock: Clock,
        ledger: Ledger,
        attempts: AttemptTable,
        upstreams: UpstreamRegistry,
        body_bytes: int,
        leaving: threading.Event,
    ) -> None:
        self._sender = sender
        self._epoch = epoch
        self._clock = clock
        self._ledger = ledger
        self._attempts = attempts
        self._upstreams = upstreams
        self._body_bytes = body_bytes
        self._leaving = leaving
        self.connections = UpstreamConnections(clock)

    def dispatch(self, message: Dispatch) -> DispatchReply:
        """Run an attempt and return its answer or refusal."""
        if message.agent_epoch != self._epoch:
            detail = f"epoch {message.agent_epoch!r} is not {self._epoch!r}"
            reply = self._make_refusal_reply(
                message, Refusal(Code.STALE_AGENT_EPOCH, detail)
            )
        else:
            reply = self._run_once(message)
        DISPATCHES.labels(reply.code).inc()
        return reply

    def query(self, message: QueryAttempt) -> AttemptReply:
        """Return the state of an attempt; tombstone an unseen one if requested."""
        if message.agent_epoch != self._epoch:
            attempt = Attempt("lost", 0.0, False)
        else:
            attempt = self._attempts.query(message.attempt_id, message.tombstone)
        QUERIES.labels(attempt.state).inc()
        return AttemptReply(
            self._sender,
            self._clock.now(),
            message.attempt_id,
            attempt.state,
            attempt.reply,
        )

    def _run_once(self, message: Dispatch) -> DispatchReply:
        """Run a new attempt, or return the earlier reply or a refusal for a repeat."""
        earlier = self._attempts.begin(message)
        if isinstance(earlier, DispatchReply):
            return earlier
        if earlier is not None:
            code, detail = repeat_refusal(message.attempt_id, earlier.state)
            return self._make_refusal_reply(message, Refusal(code, detail))
        try:
            reply = self._admit_and_call(message)
        except Exception as error:
            # Without a final state the attempt would be listed as running forever.
            refusal = Refusal(Code.INTERNAL, type(error).__name__)
            self._attempts.finish(self._make_refusal_reply(message, refusal))
            raise
        self._attempts.finish(reply)
        return reply

    def _admit_and_call(self, message: Dispatch) -> DispatchReply:
        checked = self._validate(message).and_then(
            lambda _: self._upstreams.find(message.service)
        )
        if isinstance(checked, Err):
            return self._make_refusal_reply(message, checked.err_value)
        reserved = self._ledger.reserve_slot(message.service)
        if isinstance(reserved, Err):
            return self._make_refusal_reply(message, reserved.err_value)
        ended = False
        try:
            # Checked after the reservation: a stopping agent waits for reserved slots,
            # so it also waits for a call that passes this check.
            if self._leaving.is_set():
                ended = True
                return self._make_refusal_reply(message, Refusal(Code.AGENT_LEAVING))
            reply, ended = self._call_upstream(message, checked.ok_value)
        finally:
            self._free_slot(message.service, ended)
        return self._with_free_slots(message.service, reply)

    def _free_slot(self, service: str, ended: bool) -> None:
        """Release the slot, or orphan it if the request may still be running."""
        if ended:
            self._ledger.release_slot(service)
        else:
            SLOTS_ORPHANED.inc()
            self._ledger.orphan_slot(service)

    def _validate(self, message: Dispatch) -> Result[None, Refusal]:
        if len(message.body) > self._body_bytes:
            detail = f"{len(message.body)} bytes; limit {self._body_bytes}"
            return Err(Refusal(Code.BODY_TOO_LARGE, detail))
        if not message.path.startswith("/"):
            detail = f"path {message.path!r:.80} does not start with '/'"
            return Err(Refusal(Code.BAD_REQUEST, detail))
        fault = _find_http_fault(message)
        if fault is not None:
            return Err(Refusal(Code.BAD_REQUEST, fault))
        now = self._clock.now()
        if message.start_before > now + MAX_START_DELAY:
            detail = (
                f"start_before {message.start_before} "
                f"is more than {MAX_START_DELAY} s away"
            )
            return Err(Refusal(Code.BAD_REQUEST, detail))
        if message.deadline > now + 2 * MAX_START_DELAY:
            detail = (
                f"deadline {message.deadline} is more than {2 * MAX_START_DELAY} s away"
            )
            return Err(Refusal(Code.BAD_REQUEST, detail))
        return Ok(None)

    def _call_upstream(self, message: Dispatch, url: str) -> tuple[DispatchReply, bool]:
        """Call the upstream.

        The second value is false if the request may still be running at the upstream.
        """
        headers = _request_headers(message)
        started = self._clock.now()
        if started >= message.start_before:
            detail = f"start_before {message.start_before}, now {started}"
            return self._make_refusal_reply(
                message, Refusal(Code.START_EXPIRED, detail)
            ), True
        try:
            with self.connections.borrow_pool(message.deadline) as pool:
                response = self._send_request(pool, message, url, headers, started)
                body = self._read_body(message, response)
        except UpstreamFailure as failure:
            # Only UPSTREAM_UNREACHABLE means that nothing was sent. After any other
            # failure the upstream may still be processing the request.
            ended = failure.refusal.code is Code.UPSTREAM_UNREACHABLE
            return self._make_refusal_reply(message, failure.refusal), ended
        seconds = self._clock.now() - started
        UPSTREAM_SECONDS.observe(seconds)
        self._upstreams.record_latency(message.service, seconds)
        return self._make_answer_reply(message, response, body), True

    def _send_request(
        self,
        pool: urllib3.PoolManager,
        message: Dispatch,
        url: str,
        headers: dict[str, str],
        now: float,
    ) -> urllib3.BaseHTTPResponse:
        # urllib3 rejects time-outs of zero or less.
        timeout = urllib3.Timeout(
            connect=max(0.001, message.start_before - now),
            read=max(0.001, self._read_deadline(message) - now),
        )
        try:
            return pool.urlopen(
                message.method,
                url.rstrip("/") + message.path,
                body=message.body or None,
                headers={**pool.headers, **headers},
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ) as error:
            raise _make_failure(Code.UPSTREAM_UNREACHABLE, url, error) from error
        except urllib3.exceptions.TimeoutError as error:
            raise _make_failure(Code.NO_REPLY, url, error) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise _make_failure(Code.ANSWER_BROKEN, url, error) from error

    def _read_body(
        self, message: Dispatch, response: urllib3.BaseHTTPResponse
    ) -> bytes:
        """Return the complete body; on failure close the connection and raise."""
        try:
            body = self._read_complete_body(message, response)
        except urllib3.exceptions.TimeoutError as error:
            response.close()
            raise _make_failure(Code.NO_REPLY, message.service, error) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            response.close()
            raise _make_failure(Code.ANSWER_BROKEN, message.service, error) from error
        except UpstreamFailure:
            response.close()
            raise
        response.release_conn()
        return body

    def _read_complete_body(
        self, message: Dispatch, response: urllib3.BaseHTTPResponse
    ) -> bytes:
        if message.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
            return b""
        length = response.headers.get("Content-Length")
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        if length is None and not chunked:
            # Such a body is delimited by the end of the connection, so truncation could
            # not be detected.
            raise UpstreamFailure(
                Refusal(
                    Code.ANSWER_BROKEN, "neither Content-Length nor chunked encoding"
                )
            )
        chunks: list[bytes] = []
        size = 0
        while chunk := response.read1(_READ_CHUNK_BYTES):
            size += len(chunk)
            if size > self._body_bytes:
                detail = f"body exceeds {self._body_bytes} bytes"
                raise UpstreamFailure(Refusal(Code.ANSWER_TOO_LARGE, detail))
            if self._clock.now() > self._read_deadline(message):
                detail = f"only {size} bytes received by the deadline"
                raise UpstreamFailure(Refusal(Code.NO_REPLY, detail))
            chunks.append(chunk)
        if not chunked and size != int(length or 0):
            detail = f"received {size} of {length} bytes"
            raise UpstreamFailure(Refusal(Code.ANSWER_BROKEN, detail))
        return b"".join(chunks)

    @staticmethod
    def _read_deadline(message: Dispatch) -> float:
        """Return the time until which the answer is read."""
        grace = 0.0 if message.idempotent else _LATE_ANSWER_SECONDS
        return message.deadline + grace

    def _make_answer_reply(
        self, message: Dispatch, response: urllib3.BaseHTTPResponse, body: bytes
    ) -> DispatchReply:
        return DispatchReply(
            self._sender,
            self._clock.now(),
            message.attempt_id,
            Code.OK.value,
            status=response.status,
            headers=_response_headers(message.method, response.headers),
            body=body,
            body_length=len(body),
            body_digest=body_digest(body),
        )

    def _make_refusal_reply(self, message: Dispatch, refusal: Refusal) -> DispatchReply:
        reply = DispatchReply(
            self._sender,
            self._clock.now(),
            message.attempt_id,
            refusal.code.value,
            refusal.detail,
            body_digest=body_digest(b""),
        )
        return self._with_free_slots(message.service, reply)

    def _with_free_slots(self, service: str, reply: DispatchReply) -> DispatchReply:
        reply_with_slots: DispatchReply = attrs.evolve(
            reply, free_slots=self._ledger.free_slots(service)
        )
        return reply_with_slots


def _make_failure(code: Code, source: str, error: Exception) -> UpstreamFailure:
    return UpstreamFailure(Refusal(code, f"{source}: {type(error).__name__}"))


def _find_http_fault(message: Dispatch) -> str | None:
    """Return the invalid method or header of a message, or None.

    The HTTP client would raise an exception for these.
    """
    if not _TOKEN.fullmatch(message.method):
        return f"invalid method {message.method!r:.40}"
    for name, value in _request_headers(message).items():
        if not _TOKEN.fullmatch(name) or not _HEADER_VALUE.fullmatch(value):
            return f"invalid header {name!r:.40}: {value!r:.40}"
    return None


def _request_headers(message: Dispatch) -> dict[str, str]:
    headers = _remove_hop_by_hop_headers(message.headers, _HEADERS_SET_BY_AGENT)
    headers["Pollenkeel-Attempt"] = message.attempt_id
    headers["Pollenkeel-Team"] = message.team
    return headers


def _response_headers(
    method: str, headers: urllib3.response.HTTPHeaderDict
) -> dict[str, str]:
    # The Content-Length of an answer to HEAD is that of the body of a GET.
    dropped = frozenset() if method == "HEAD" else frozenset({"content-length"})
    return _remove_hop_by_hop_headers(dict(headers.items()), dropped)


def _remove_hop_by_hop_headers(
    headers: dict[str, str], dropped: frozenset[str]
) -> dict[str, str]:
    """Return the headers without hop-by-hop headers and those in ``dropped``."""
    # Headers listed in Connection are hop-by-hop headers too.
    connection_header = next(
        (v for k, v in headers.items() if k.lower() == "connection"), ""
    )
    connection_options = {name.strip().lower() for name in connection_header.split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP | dropped | connection_options
    }
