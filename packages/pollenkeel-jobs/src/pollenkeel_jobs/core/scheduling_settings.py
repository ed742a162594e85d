"""Settings of the scheduler's optional policies."""

from __future__ import annotations

import attrs


@attrs.frozen
class SchedulingSettings:
    """Optional policies of the scheduler; all are off by default.

    Attributes
    ----------
    look_ahead : bool
        Whether room that will soon be free is kept for waiting tasks that fit on no VM
        now, and whether shorter tasks may use it until then.
    parallel_copies : bool
        Whether a second run of a slow task may be started where its step allows it.
    admission : bool
        Whether entries reject jobs that would end too late to be of use.
    """

    look_ahead: bool = False
    parallel_copies: bool = False
    admission: bool = False
