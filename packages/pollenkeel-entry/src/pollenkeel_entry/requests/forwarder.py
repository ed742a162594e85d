"""Forwarding of requests, with retries, hedged attempts and claims."""

from __future__ import annotations

import itertools
import queue
import threading
import uuid

import attrs
from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.requests.attempt import AttemptSender
from pollenkeel_entry.requests.budget import RetryBudget
from pollenkeel_entry.requests.claims import Claim, ClaimFactory
from pollenkeel_entry.requests.metrics import HEDGES, RETRIES_DENIED
from pollenkeel_entry.requests.request import Answer, ServiceRequest
from pollenkeel_entry.requests.router import Router
from pollenkeel_entry.requests.waiting import SlotLease
from pollenkeel_kernel.core.codes import Code, Outcome
from pollenkeel_kernel.core.refusal import Refusal

#: Codes that are retried without using the retry budget. They are expected in normal
#: operation, when an upstream or agent leaves or restarts, and cost the upstream
#: nothing.
_UNBUDGETED_RETRY_CODES = frozenset(
    {
        Code.UPSTREAM_LEAVING,
        Code.AGENT_LEAVING,
        Code.STALE_AGENT_EPOCH,
        Code.CAPACITY_UNKNOWN,
        Code.NO_UPSTREAM,
    }
)
#: Codes that are retried while the retry budget lasts.
_BUDGETED_RETRY_CODES = frozenset(
    {
        Code.UPSTREAM_UNREACHABLE,
        Code.START_EXPIRED,
        Code.CLOCK_SKEW,
        Code.PEER_UNREACHABLE,
        Code.ATTEMPT_LOST,
        Code.NO_REPLY,
        Code.ANSWER_BROKEN,
    }
)

_KEY_REFUSED = Refusal(
    Code.TOMBSTONED, "another request with this key was refused as not run"
)

ForwardResult = Result[Answer, Refusal]


@attrs.define
class _Progress:
    """State of one request across its attempts.

    Attributes
    ----------
    attempts : int
        Failed attempts that count towards the limit.
    arrival : int or None
        Arrival number, which keeps the request's position in the queue on a retry.
    avoid : frozenset of str
        Agents whose attempts failed.
    unknown : Refusal or None
        Last refusal that leaves open whether the attempt ran.
    """

    attempts: int = 0
    arrival: int | None = None
    avoid: frozenset[str] = frozenset()
    unknown: Refusal | None = None

    def final_refusal(self, refusal: Refusal) -> Err[Refusal]:
        """Return the final refusal; not-run only if no attempt can have run."""
        if self.unknown is not None and refusal.outcome is Outcome.NOT_RUN:
            return Err(self.unknown)
        return Err(refusal)


class Forwarder:
    """Sends requests to upstreams and retries them where that is safe.

    A request that is not idempotent is retried only if the previous attempt provably
    did not run. With an idempotency key it is also protected by a claim.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    router : Router
        Assigns slots of upstreams.
    claims : ClaimFactory
        Claims of requests with an idempotency key.
    """

    def __init__(
        self, context: EntryContext, router: Router, claims: ClaimFactory
    ) -> None:
        self._context = context
        self._router = router
        self._claims = claims
        self._sender = AttemptSender(context, router.release)
        self._budget = RetryBudget(context.settings.limits.retry_ratio)
        self._attempt_prefix = f"{context.settings.id}-{uuid.uuid4().hex[:12]}"
        self._attempt_numbers = itertools.count(1)
        context.dump.register("retry_budget", self._budget.dump)

    def forward(self, request: ServiceRequest) -> ForwardResult:
        """Return the answer to the request, or the refusal with its result code.

        Returns
        -------
        Result[Answer, Refusal]
            A code with the outcome not-run guarantees that no attempt ran or will run.
        """
        self._budget.add_request(request.service)
        if request.key and not request.idempotent:
            return self._forward_claimed(request, self._claims.create(request))
        return self._forward_unclaimed(request)

    def _forward_unclaimed(self, request: ServiceRequest) -> ForwardResult:
        progress = _Progress()
        while True:
            acquired = self._acquire(request, progress)
            if isinstance(acquired, Err):
                return progress.final_refusal(acquired.err_value)
            lease = acquired.ok_value
            if request.hedge and request.idempotent:
                result = self._send_hedged(request, lease)
            else:
                result = self._sender.send(request, lease, self._next_attempt_id())
            if isinstance(result, Ok):
                return result
            if not self._should_retry(request, progress, lease, result.err_value):
                return progress.final_refusal(result.err_value)

    def _forward_claimed(self, request: ServiceRequest, claim: Claim) -> ForwardResult:
        progress = _Progress()
        while True:
            acquired = self._acquire(request, progress)
            if isinstance(acquired, Err):
                return claim.refuse(acquired.err_value)
            lease = acquired.ok_value
            attempt_id = self._next_attempt_id()
            assigned = self._assign_claim(claim, lease, attempt_id)
            if isinstance(assigned, Err):
                return assigned
            if not assigned.ok_value:
                resolved = claim.resolve()
                if isinstance(resolved, Err):
                    return resolved
                if resolved.ok_value is not None:
                    return Ok(resolved.ok_value)
                if claim.cancelled:
                    return claim.refuse(_KEY_REFUSED)
                continue
            result = self._sender.send(request, lease, attempt_id)
            if isinstance(result, Ok):
                claim.finish(result.ok_value)
                return result
            refusal = result.err_value
            if not self._should_retry(request, progress, lease, refusal):
                if refusal.outcome is Outcome.NOT_RUN:
                    return claim.refuse(refusal)
                return result

    def _acquire(
        self, request: ServiceRequest, progress: _Progress
    ) -> Result[SlotLease, Refusal]:
        """Wait for a slot; a retried request keeps its position in the queue."""
        acquired = self._router.acquire(
            request, progress.avoid, arrival=progress.arrival
        )
        if isinstance(acquired, Ok):
            progress.arrival = acquired.ok_value.arrival
        return acquired

    def _assign_claim(
        self, claim: Claim, lease: SlotLease, attempt_id: str
    ) -> Result[bool, Refusal]:
        # Releases the slot unless the attempt is going to be sent.
        assigned: Result[bool, Refusal] | None = None
        try:
            assigned = claim.assign(lease, attempt_id)
            return assigned
        finally:
            if assigned != Ok(True):
                self._router.release(lease, Code.STORE_UNAVAILABLE)

    def _should_retry(
        self,
        request: ServiceRequest,
        progress: _Progress,
        lease: SlotLease,
        refusal: Refusal,
    ) -> bool:
        """Record a failed attempt; return whether to send another one."""
        if refusal.outcome is not Outcome.NOT_RUN:
            progress.unknown = refusal
            if not request.idempotent:
                return False
        if refusal.code is Code.TOMBSTONED:
            # Another request with the same key took over the claim. Its answer is also
            # the answer to this request, so wait for it until the deadline.
            return True
        if refusal.code is Code.VM_FULL:
            # Retry until the deadline: nothing ran, the router limits how often a full
            # upstream is tried, and the request keeps its position in the queue.
            return True
        progress.avoid |= {lease.announce.sender}
        progress.attempts += 1
        if progress.attempts >= self._context.settings.attempts:
            return False
        if refusal.code in _UNBUDGETED_RETRY_CODES:
            return True
        return refusal.code in _BUDGETED_RETRY_CODES and self._spend_retry_token(
            request.service
        )

    def _spend_retry_token(self, service: str) -> bool:
        """Use the retry budget for one attempt; return False if it is exhausted."""
        if self._budget.try_spend(service):
            return True
        RETRIES_DENIED.labels(service).inc()
        return False

    def _send_hedged(self, request: ServiceRequest, lease: SlotLease) -> ForwardResult:
        """Send a second attempt to another agent if the first one is slow.

        Returns the first answer; the other attempt is not cancelled.
        """
        results: queue.SimpleQueue[ForwardResult] = queue.SimpleQueue()
        self._send_in_thread(request, lease, results)
        try:
            return results.get(timeout=self._router.hedge_delay(lease))
        except queue.Empty:
            pass
        avoid = frozenset({lease.announce.sender})
        second = self._router.acquire(request, avoid, strict=True)
        if isinstance(second, Err):
            return results.get()
        if not self._spend_retry_token(request.service):
            self._router.release(second.ok_value, Code.DEADLINE_TOO_CLOSE)
            return results.get()
        HEDGES.labels(request.service).inc()
        self._send_in_thread(request, second.ok_value, results)
        return _first_answer(results)

    def _send_in_thread(
        self,
        request: ServiceRequest,
        lease: SlotLease,
        results: queue.SimpleQueue[ForwardResult],
    ) -> None:
        def send() -> None:
            result: ForwardResult = Err(Refusal(Code.INTERNAL, "attempt thread failed"))
            try:
                result = self._sender.send(request, lease, self._next_attempt_id())
            finally:
                results.put(result)

        threading.Thread(target=send, name="hedge", daemon=True).start()

    def _next_attempt_id(self) -> str:
        return f"{self._attempt_prefix}-{next(self._attempt_numbers)}"


def _first_answer(results: queue.SimpleQueue[ForwardResult]) -> ForwardResult:
    """Return the first answer of two attempts; prefer a refusal of unknown outcome."""
    first = results.get()
    if isinstance(first, Ok):
        return first
    second = results.get()
    if isinstance(second, Ok) or second.err_value.outcome is Outcome.UNKNOWN:
        return second
    return first
