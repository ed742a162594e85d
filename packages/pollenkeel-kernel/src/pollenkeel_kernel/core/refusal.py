"""Error types that carry a result code."""

from __future__ import annotations

import attrs

from pollenkeel_kernel.core.codes import SUMMARY_BY_CODE, Code, Outcome


@attrs.frozen
class Refusal:
    """Error value of a ``result.Result``: why an operation was rejected or failed.

    Attributes
    ----------
    code : Code
        Numbered result code.
    detail : str
        What was rejected or failed, with the offending value.
    retry_at : float
        Time from which a repeat may succeed, in seconds since the Unix epoch; 0 if it
        is not known.
    """

    code: Code
    detail: str = ""
    retry_at: float = 0.0

    @property
    def outcome(self) -> Outcome:
        """Whether the operation was executed, as far as is known."""
        return self.code.outcome

    def __str__(self) -> str:
        text = f"{self.code.value} {SUMMARY_BY_CODE[self.code]}"
        return f"{text}: {self.detail}" if self.detail else text


class PollenkeelError(Exception):
    """Exception for places where a ``Result`` cannot be returned.

    Parameters
    ----------
    refusal : Refusal
        Code and detail.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal
