"""Access to the platform's table service and object store."""

from pollenkeel_kernel.store.base import (
    BACKENDS,
    Backend,
    Put,
    Row,
)

__all__ = ["BACKENDS", "Backend", "Put", "Row"]
