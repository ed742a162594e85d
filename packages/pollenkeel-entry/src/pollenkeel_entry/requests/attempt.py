"""Sends one attempt of a request to an agent and validates the reply."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.requests.metrics import ATTEMPTS
from pollenkeel_entry.requests.request import Answer, ServiceRequest
from pollenkeel_entry.requests.waiting import SlotLease
from pollenkeel_kernel.core.codes import Code, Outcome, find_code
from pollenkeel_kernel.core.digest import body_digest
from pollenkeel_kernel.core.messages import Dispatch, DispatchReply, Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import TIMEOUT_ROUNDING

#: Limit on connecting to an agent, which leaves time to try another agent before the
#: deadline of the request.
_CONNECT_TIMEOUT_SECONDS = 0.5
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599

ReleaseSlot = Callable[[SlotLease, Code, int], None]


class AttemptSender:
    """Sends attempts to agents and validates their replies.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    release : callable
        Called with the slot lease, the result code of the attempt and the free slots
        that the reply reports, once the attempt has ended.
    """

    def __init__(self, context: EntryContext, release: ReleaseSlot) -> None:
        self._context = context
        self._release = release

    def send(
        self, request: ServiceRequest, lease: SlotLease, attempt_id: str
    ) -> Result[Answer, Refusal]:
        """Send one attempt, wait for its reply and release the slot.

        Returns
        -------
        Result[Answer, Refusal]
            The complete, validated answer. A code with the outcome not-run proves
            that the attempt did not run and will not run.
        """
        code, free_slots = Code.INTERNAL, 0
        try:
            called = self._call(request, lease, attempt_id)
            if isinstance(called, Ok) and isinstance(called.ok_value, DispatchReply):
                free_slots = called.ok_value.free_slots
            result = called.and_then(
                lambda reply: check_reply(
                    reply,
                    attempt_id,
                    lease.announce.vm,
                    self._context.settings.limits.body_bytes,
                )
            ).map_err(_require_failure_code)
            code = (
                result.ok_value.code
                if isinstance(result, Ok)
                else _refusal_code(result)
            )
            return result
        finally:
            ATTEMPTS.labels(request.service, code.value).inc()
            self._release(lease, code, free_slots)

    def _call(
        self, request: ServiceRequest, lease: SlotLease, attempt_id: str
    ) -> Result[Message, Refusal]:
        settings = self._context.settings
        now = self._context.clock.now()
        if now >= request.deadline:
            return Err(Refusal(Code.DEADLINE_TOO_CLOSE, "deadline passed before send"))
        dispatch = Dispatch(
            settings.id,
            now,
            attempt_id=attempt_id,
            agent_epoch=lease.announce.agent_epoch,
            service=request.service,
            team=request.team,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            idempotent=request.idempotent,
            # The call below may be given up this much earlier than its deadline.
            start_before=min(
                request.deadline - TIMEOUT_ROUNDING, now + settings.timing.start_window
            ),
            deadline=request.deadline,
        )
        connect_deadline = min(request.deadline, now + _CONNECT_TIMEOUT_SECONDS)
        return lease.record.client.call(dispatch, request.deadline, connect_deadline)


def check_reply(
    reply: Message, attempt_id: str, vm: str, body_bytes: int
) -> Result[Answer, Refusal]:
    """Return the answer in a reply if it is complete and belongs to the attempt.

    Parameters
    ----------
    reply : Message
        Reply of the agent.
    attempt_id, vm : str
        Attempt that was sent and the VM that it was sent to.
    body_bytes : int
        Largest body in bytes.

    Returns
    -------
    Result[Answer, Refusal]
        Code 3003 for a damaged reply, 3004 for an oversized answer, otherwise the code
        that the reply carries.
    """
    if not isinstance(reply, DispatchReply):
        return _broken_reply(f"reply of type {type(reply).__name__}")
    if reply.attempt_id != attempt_id:
        return _broken_reply(
            f"reply of attempt {reply.attempt_id!r:.60}, not {attempt_id}"
        )
    code = find_code(reply.code)
    if code.outcome is not Outcome.ANSWERED:
        return Err(Refusal(code, reply.detail))
    if reply.body_length != len(reply.body):
        return _broken_reply(f"{len(reply.body)} of {reply.body_length} bytes")
    if reply.body_digest != body_digest(reply.body):
        return _broken_reply("the digest of the body differs")
    if len(reply.body) > body_bytes:
        return Err(Refusal(Code.ANSWER_TOO_LARGE, f"{len(reply.body)} bytes"))
    if not _MIN_FINAL_STATUS <= reply.status <= _MAX_STATUS:
        return _broken_reply(f"HTTP status {reply.status}")
    return Ok(Answer(attempt_id, vm, reply.status, reply.headers, reply.body))


def _broken_reply(detail: str) -> Err[Refusal]:
    return Err(Refusal(Code.ANSWER_BROKEN, detail))


def _require_failure_code(refusal: Refusal) -> Refusal:
    # An error reply must not carry a success code; its outcome is then unknown.
    if refusal.outcome is Outcome.ANSWERED:
        return Refusal(Code.INTERNAL, f"error reply with code {refusal.code.value}")
    return refusal


def _refusal_code(result: Result[Answer, Refusal]) -> Code:
    return result.unwrap_err().code
