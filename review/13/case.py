"""Tasks of cancelled jobs run on, and start, after all open channels went silent."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site3 import (  # noqa: E402
    CANCEL_SECONDS,
    CONTACT_SECONDS,
    STOP_SECONDS,
    Broken,
    CannotRun,
    Site,
    has_trouble,
    play,
)

ENTRIES = 4
#: Time for which the cancelled jobs would run.
WORK_SECONDS = 60
#: Time between the cancel of another job and the silence.
LEAD_SECONDS = 0.2
#: Delay of the cancels after the silence.
DELAY_SECONDS = 0.05
#: Added to the bound, for the threads of the stand-ins.
MARGIN_SECONDS = 0.2
LONG_STEPS = [
    {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": WORK_SECONDS * 1000}
]
#: Its tasks start one after the other for longer than the case lasts.
SHORT_STEPS = [{"Count": 600, "Cpu": 24_000, "MemMb": 100, "EstimateMs": 500}]
SHORT_JOB = "0c0e7a21d94b36f8"


def find_late_ends(site: Site, acknowledged_by_job: dict[str, float]) -> list[str]:
    """Return the runs that went on for too long after the cancel of their job."""
    bound = CANCEL_SECONDS + STOP_SECONDS + MARGIN_SECONDS
    late = []
    for runner in site.runners:
        ends = {(task, number): at for at, task, number, _ in runner.ends}
        for _, task, number in runner.starts:
            acknowledged_at = acknowledged_by_job.get(task.partition(".")[0])
            if acknowledged_at is None:
                continue
            ended_at = ends.get((task, number), site.record.now())
            if ended_at - acknowledged_at > bound:
                late.append(f"{task} for {ended_at - acknowledged_at:.2f} s")
    return late


def find_late_starts(site: Site, acknowledged_by_job: dict[str, float]) -> list[str]:
    """Return the runs that began too late after the cancel of their job."""
    late = []
    for runner in site.runners:
        for started_at, task, _ in runner.starts:
            at = acknowledged_by_job.get(task.partition(".")[0])
            if at is not None and started_at - at > CANCEL_SECONDS + MARGIN_SECONDS:
                late.append(f"{task} after {started_at - at:.2f} s")
    return late


def case(folder: Path) -> None:
    """Cancel a job through each entry right after all open channels went silent."""
    with Site(folder, entries=ENTRIES, vms=4) as site:
        site.wait_until(lambda: site.find_leader() >= 0, 20.0, "an entry leads")
        leader = site.find_leader()
        jobs = {n: f"5c0e7a21d94b36f{n}" for n in range(ENTRIES)}
        for job in jobs.values():
            site.submit(job, f"run {WORK_SECONDS}", LONG_STEPS)
        site.wait_until(
            lambda: sum(len(r.list_running()) for r in site.runners) == 2 * ENTRIES,
            20.0,
            "all tasks run",
        )
        site.submit(SHORT_JOB, "run 0.5", SHORT_STEPS)
        time.sleep(CONTACT_SECONDS + 1.0)
        site.call("DELETE", jobs.pop(leader), leader)
        time.sleep(LEAD_SECONDS)
        silent_at = site.record.now()
        if has_trouble():
            site.silence()
        time.sleep(DELAY_SECONDS)
        acknowledged_by_job: dict[str, float] = {}

        def cancel(entry: int, job: str) -> None:
            status = 0
            while status not in (200, 410):
                status, _ = site.call("DELETE", job, entry)
                entry = (entry + 1) % ENTRIES
            acknowledged_by_job[job] = site.record.now()

        cancels = [*jobs.items(), (min(jobs), SHORT_JOB)]
        threads = [threading.Thread(target=cancel, args=item) for item in cancels]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20.0)
        if len(acknowledged_by_job) < len(cancels):
            raise CannotRun(f"only {len(acknowledged_by_job)} cancels acknowledged")
        time.sleep(8.0)
        for job, at in acknowledged_by_job.items():
            site.record.write(
                f"{job}: cancel acknowledged {at - silent_at:.2f} s later"
            )
        ran = find_late_ends(site, acknowledged_by_job)
        began = find_late_starts(site, acknowledged_by_job)
        site.record.write(f"ran for too long: {ran}; started too late: {began}")
        if ran or began:
            raise Broken(
                f"UNASKED: after the ack of the cancel there ran {ran[:4]} "
                f"({len(ran)} in all), and there started {began[:4]} "
                f"({len(began)} in all)"
            )


play(case, FOLDER)
