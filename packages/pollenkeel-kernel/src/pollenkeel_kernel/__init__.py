"""Code shared by all pollenkeel processes: messages, settings, policies, storage."""

from pollenkeel_kernel.core.clock import Clock, ManualClock, SystemClock
from pollenkeel_kernel.core.codes import Code, Outcome
from pollenkeel_kernel.core.refusal import PollenkeelError, Refusal

__all__ = [
    "Clock",
    "Code",
    "ManualClock",
    "Outcome",
    "PollenkeelError",
    "Refusal",
    "SystemClock",
]
