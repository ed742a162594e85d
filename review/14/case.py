"""A job that its client has cancelled begins to run when a frozen entry wakes up."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site3 import (  # noqa: E402
    CANCEL_SECONDS,
    CLIENT_SECONDS,
    CONTACT_SECONDS,
    STOP_SECONDS,
    Broken,
    CannotRun,
    Site,
    has_trouble,
    play,
)

#: Length of the freeze; ``node_freeze`` in ptsc-keel.toml lasts 3.5 s.
FREEZE_SECONDS = 3.5
MARGIN_SECONDS = 1.0
JOB = "5c0e7a21d94b36f8"
STEPS = [{"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 60_000}]


def find_entries(site: Site) -> tuple[int, int]:
    """Return the numbers of two entries that do not lead."""
    site.wait_until(lambda: site.find_leader() >= 0, 20.0, "an entry leads")
    others = [n for n in range(3) if n != site.find_leader()]
    return others[0], others[1]


def case(folder: Path) -> None:
    """Freeze one entry while a client hands a job in there and cancels elsewhere."""
    with Site(folder, entries=3, vms=7) as site:
        first, second = find_entries(site)
        time.sleep(CONTACT_SECONDS + MARGIN_SECONDS)
        process = site.processes[f"entry-{first}"]
        froze_at = time.monotonic()
        if has_trouble():
            site.record.write(f"entry-{first} freezes")
            process.send_signal(signal.SIGSTOP)
        body = {"Spec": "run 60", "Steps": STEPS}
        submitted, _ = site.call("POST", JOB, first, body)
        if has_trouble():
            # The client waits for its time limit, whether the channel breaks or not.
            time.sleep(max(0.0, froze_at + CLIENT_SECONDS - time.monotonic()))
        cancelled, _ = site.call("DELETE", JOB, second)
        acknowledged_at = site.record.now()
        if cancelled not in (200, 410):
            raise CannotRun(f"the cancel was answered {cancelled}")
        if has_trouble():
            time.sleep(max(0.0, froze_at + FREEZE_SECONDS - time.monotonic()))
            process.send_signal(signal.SIGCONT)
            site.record.write(f"entry-{first} wakes up")
        # The calm after which a task of a cancelled job has to be gone.
        time.sleep(CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS + MARGIN_SECONDS)
        running = [task for runner in site.runners for task in runner.list_running()]
        state = site.get_state(JOB)
        site.record.write(f"running: {running}; the job is shown as {state!r}")
        if running:
            waited = site.record.now() - acknowledged_at
            raise Broken(
                f"UNASKED: the POST was answered {submitted}, the DELETE {cancelled}; "
                f"{waited:.1f} s later {running} run and the job is {state!r}"
            )


play(case, FOLDER)
