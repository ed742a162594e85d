"""Shares of a VM's cores."""

from __future__ import annotations


def compute_cpu_share(cpu: float, capacity_cpu: int) -> float:
    """Return the share of a VM's cores that a task requests or uses, at most 1.

    Parameters
    ----------
    cpu : float
        CPU in thousandths of a core. It may be 0, or more than the VM has: workers
        measure it, and best-effort tasks may request any amount.
    capacity_cpu : int
        Capacity of the VM in thousandths of a core; 0 counts as 1.
    """
    return min(1.0, cpu / max(1, capacity_cpu))
