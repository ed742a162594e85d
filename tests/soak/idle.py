"""Search for jobs that have nothing running after the last fault, beside free VMs."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterable, Mapping

from soak.checks import CAPACITY, Run
from soak.clients import FINAL_STATES, SoakClients, SoakJob
from soak.site import SoakSite

#: Seconds after the last fault from which on idle jobs count.
_CALM_SECONDS = 4.0
#: Longest time without a run of a job that could run, in seconds.
_MAX_IDLE_SECONDS = 3.0
_POLL_SECONDS = 0.25


class IdleJobs:
    """Finds jobs without a run while under half of the room is in use.

    Parameters
    ----------
    since : float
        Time of the last fault in seconds since the Unix epoch.
    vms : int
        Number of the site's runners.
    """

    def __init__(self, since: float, vms: int) -> None:
        self._calm_at = since + _CALM_SECONDS
        self._room = vms * CAPACITY
        self.seconds_by_job: dict[str, float] = {}

    def check(
        self, runs: Iterable[Run], jobs_by_id: Mapping[str, SoakJob], now: float
    ) -> None:
        """Record how long jobs that have not ended have had nothing running."""
        used = 0
        active_at_by_job = dict.fromkeys(jobs_by_id, self._calm_at)
        for run in runs:
            job_id, _, step, _ = run["task"].split(".")
            if job_id not in jobs_by_id:
                continue
            active_at = max(active_at_by_job[job_id], run["end"])
            active_at_by_job[job_id] = active_at
            if run["how"] == "running":
                used += jobs_by_id[job_id].steps[int(step)].get("Cpu", 0)
        if 2 * used >= self._room:
            # The time only counts while there is room.
            self._calm_at = now
            return
        for job_id, active_at in active_at_by_job.items():
            if now - active_at > _MAX_IDLE_SECONDS:
                known = self.seconds_by_job.get(job_id, 0.0)
                self.seconds_by_job[job_id] = max(known, now - active_at)

    def watch(self, site: SoakSite, clients: SoakClients, seconds: float) -> list[str]:
        """Check the jobs until all have ended; return a line for each idle one."""
        rng = random.Random(0)
        pause = threading.Event()
        open_jobs = {
            job.job_id: job
            for job in clients.jobs_by_id.values()
            if job.accepted_at and not job.cancels and not job.schedule
        }
        now = time.time()
        stop_at = now + seconds
        # Until now some jobs may have waited for a closed data centre.
        self._calm_at = max(self._calm_at, now)
        while open_jobs and time.time() < stop_at:
            for job in list(open_jobs.values()):
                if clients.query_state(job, rng) in FINAL_STATES:
                    del open_jobs[job.job_id]
            self.check(site.read_runs(), open_jobs, time.time())
            pause.wait(_POLL_SECONDS)
        return [
            f"nothing running beside free VMs: {job_id} for {idle:.1f} s"
            for job_id, idle in self.seconds_by_job.items()
        ]
