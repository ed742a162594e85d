"""Keeps a loop running after an unexpected error in one of its steps."""

from __future__ import annotations

from collections.abc import Callable

import logbook


def run_step(step: Callable[[], None], logger: logbook.Logger, message: str) -> bool:
    """Run one step of a loop; log an unexpected error instead of raising it.

    Parameters
    ----------
    step : callable
        The step.
    logger : logbook.Logger
        Logger of the loop's module.
    message : str
        Event to log with the traceback.

    Returns
    -------
    bool
        Whether the step ended without an error. If not, the loop should wait before the
        next step.
    """
    try:
        step()
    except Exception:
        logger.exception(message)
        return False
    return True
