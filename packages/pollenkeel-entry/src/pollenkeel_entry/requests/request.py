"""Internal representation of a caller's request and its answer."""

from __future__ import annotations

import attrs
import xxhash

from pollenkeel_kernel.core.codes import Code

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


@attrs.frozen
class ServiceRequest:
    """Validated request of a caller.

    Attributes
    ----------
    service, team, method, path : str
        Addressed service, calling team, HTTP method and path with query string.
    headers : dict[str, str]
        Headers to forward.
    body : bytes
        Complete body.
    idempotent : bool
        Whether the request may run more than once.
    key : str
        ``Idempotency-Key``, empty if the caller sent none.
    deadline : float
        Latest time of the answer, in seconds since the Unix epoch.
    hedge : bool
        Whether a second attempt may be sent while the first is slow.
    """

    service: str
    team: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    key: str
    deadline: float
    hedge: bool = False

    @property
    def digest(self) -> str:
        """Hash of method, path and body, compared when an idempotency key is reused."""
        state = xxhash.xxh3_128()
        for part in (self.method.encode(), self.path.encode(), self.body):
            state.update(len(part).to_bytes(8, "big"))
            state.update(part)
        return state.hexdigest()


@attrs.frozen
class Answer:
    """Complete answer of an upstream.

    ``code`` is 1000, or 1001 for the stored or kept answer of an earlier attempt.
    """

    attempt_id: str
    vm: str
    status: int
    headers: dict[str, str]
    body: bytes
    code: Code = Code.OK
