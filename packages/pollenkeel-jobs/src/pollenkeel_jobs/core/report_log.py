"""Log lines on reports whose lists of runs may be incomplete or out of order."""

from __future__ import annotations

import logbook

from pollenkeel_jobs.core.messages import VmReport
from pollenkeel_jobs.core.vms import Vm

logger = logbook.Logger("scheduler")

#: Number of ended runs in one list of a worker; further ones are in later lists.
MAX_LISTED_ENDS = 500


def is_cut(report: VmReport) -> bool:
    """Return whether a worker may have more ended runs than it lists."""
    return len(report.ended) >= MAX_LISTED_ENDS


def log_cut_lists(vm: Vm, report: VmReport) -> None:
    """Log lists that are cut."""
    if is_cut(report):
        logger.warning(
            "list of ended runs is cut",
            extra={"vm": vm.name, "worker": report.worker, "ends": len(report.ended)},
        )


def log_overtaken_lists(vm: Vm, report: VmReport) -> None:
    """Log that lists are older than those that were processed before."""
    logger.warning(
        "older lists received after newer ones",
        extra={
            "vm": vm.name,
            "worker": report.worker,
            "clock": report.clock,
            "known_clock": vm.clock,
        },
    )


def log_late_report(vm: Vm, report: VmReport) -> None:
    """Log a report of an incarnation that another one has replaced."""
    logger.warning(
        "report of a replaced incarnation ignored",
        extra={"vm": vm.name, "worker": report.worker, "known": vm.incarnation},
    )
