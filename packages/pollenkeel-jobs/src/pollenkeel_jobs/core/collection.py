"""Control of Python's cyclic garbage collector."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def paused_collection() -> Iterator[None]:
    """Pause the collector while many lasting objects are created.

    It would visit all of them again and again as their number grows, and free none.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
