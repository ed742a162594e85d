"""What the parts of one term of leadership share."""

from __future__ import annotations

import threading

import attrs

from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_kernel.core.clock import Clock


@attrs.frozen(eq=False)
class TermContext:
    """Identity and services of one term.

    Attributes
    ----------
    name : str
        Id of this process.
    address : str
        Address at which this process receives reports.
    leadership : Leadership
        The lease of this term.
    scheduler : Scheduler
        Scheduler of this term.
    clock : Clock
        Source of time.
    over : threading.Event
        Set when the term has ended.
    """

    name: str
    address: str
    leadership: Leadership
    scheduler: Scheduler
    clock: Clock
    over: threading.Event = attrs.field(factory=threading.Event)
