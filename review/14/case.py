"""A job is shown as failed although no run of it has ended as failed."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site3 import (  # noqa: E402
    CONTACT_SECONDS,
    Broken,
    CannotRun,
    Runner,
    Site,
    has_trouble,
    play,
)

#: ``srv_flap`` in ptsc-keel-grown.toml: a tenth of the runners, 6.5 s, 1.4 s between.
FLAP_SECONDS = 6.5
GAP_SECONDS = 1.4
#: Time between the two impairments.
PAUSE_SECONDS = 1.0
JOB = "5c0e7a21d94b36f8"
WORK_SECONDS = 4
LIMIT_SECONDS = 20.0


def find_labels(number: int) -> list[str]:
    """Return the kind and the rack of a VM; there are three in a rack."""
    return ["a", f"r{number // 3 + 1}-1"]


def flap(site: Site, runner: Runner) -> None:
    """Let a runner go down and up by turns."""
    ends_at = site.record.now() + FLAP_SECONDS
    while site.record.now() < ends_at:
        runner.crash()
        time.sleep(GAP_SECONDS)
        runner.start()
        time.sleep(GAP_SECONDS)


def case(folder: Path) -> None:
    """Let the only runner of a rack flap twice while it has a task."""
    with Site(folder, entries=2, vms=10, labels=find_labels) as site:
        runner = site.runners[9]
        time.sleep(CONTACT_SECONDS)
        step = {
            "Count": 1,
            "Cpu": 1000,
            "MemMb": 100,
            "EstimateMs": WORK_SECONDS * 1000,
            "Constraints": "r4-1",
        }
        site.submit(JOB, f"run {WORK_SECONDS}", [step])
        site.wait_until(lambda: bool(runner.list_running()), 20.0, "the task runs")
        if has_trouble():
            flap(site, runner)
            time.sleep(PAUSE_SECONDS)
            flap(site, runner)
        ends_at = site.record.now() + LIMIT_SECONDS
        state = site.get_state(JOB)
        while state not in ("done", "failed") and site.record.now() < ends_at:
            time.sleep(0.5)
            state = site.get_state(JOB)
        ends = [how for _, _, _, how in runner.ends]
        site.record.write(f"the job is shown as {state!r}; its runs ended {ends}")
        if state == "failed" and "failed" not in ends:
            raise Broken(f"LOST: the job is shown as failed; its runs ended {ends}")
        if state != "done":
            raise CannotRun(f"the job is shown as {state!r}")


play(case, FOLDER)
