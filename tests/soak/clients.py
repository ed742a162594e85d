"""Clients of a soak run: submit jobs, retry, query states and cancel."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Iterable
from typing import Any

import attrs

from pollenkeel_standins.processes import wait_until
from soak.site import SoakSite

#: HTTP statuses after which a client submits the same job again.
_RETRIED_STATUSES = (502, 504)
_MAX_TRIES = 6
#: Seconds after a submission at which some clients cancel.
_CANCEL_DELAY = 1.0
#: States in which a job has ended.
FINAL_STATES = ("done", "failed", "cancelled")


@attrs.define
class SoakJob:
    """A job and the replies that the clients got about it.

    Attributes
    ----------
    steps : list of dict
        Steps as submitted.
    cancels : bool
        Whether the client cancels the job after its acceptance.
    spec : str
        Command of the tasks.
    schedule : dict
        Fields of a job that recurs.
    accepted_at, cancelled_at : float
        Times of the replies in seconds since the Unix epoch; 0 if there was none.
    refused_at : float
        Time of the rejection in seconds since the Unix epoch; 0 if the job was not
        rejected or an earlier try had an unknown result.
    states : list of str
        States in the replies, in order.
    unknown_at : float
        Time of the last reply that there is no such job; 0 if there was none.
    """

    job_id: str
    steps: list[dict[str, Any]]
    cancels: bool
    spec: str = "run 0.1"
    schedule: dict[str, int] = attrs.field(factory=dict)
    accepted_at: float = 0.0
    refused_at: float = 0.0
    cancelled_at: float = 0.0
    unknown_at: float = 0.0
    states: list[str] = attrs.field(factory=list)


class SoakClients:
    """Threads that submit jobs at random times until ``stop``.

    Parameters
    ----------
    site : SoakSite
        Site that gets the jobs.
    seed : int
        Seed of the jobs.
    entries : int
        Number of the site's entries.
    """

    def __init__(self, site: SoakSite, seed: int, entries: int) -> None:
        self._site = site
        self._seed = seed
        self._entries = entries
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self.jobs_by_id: dict[str, SoakJob] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(4)
        ]

    def __enter__(self) -> SoakClients:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop submitting jobs and wait for the threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def query_state(self, job: SoakJob, rng: random.Random) -> str:
        """Query a job's state; return it, or an empty string if no entry shows it."""
        reply = self._site.call("GET", job.job_id, rng.randrange(self._entries))
        if reply is not None and reply.status == 410:
            job.unknown_at = time.time()
        if reply is None or reply.status != 200:
            return ""
        state = str(reply.json()["State"])
        job.states.append(state)
        return state

    def submit_new(
        self,
        steps: list[dict[str, Any]],
        spec: str,
        rng: random.Random,
        schedule: dict[str, int] | None = None,
    ) -> SoakJob:
        """Submit a job that is not cancelled by itself; return it."""
        job = self._add_job(steps, False, spec)
        job.schedule = schedule or {}
        self._submit(job, rng)
        return job

    def cancel(self, job: SoakJob, rng: random.Random) -> bool:
        """Cancel a job; return whether an entry has confirmed it."""
        job.cancels = True
        for _ in range(_MAX_TRIES):
            entry = rng.randrange(self._entries)
            reply = self._site.call("DELETE", job.job_id, entry)
            if reply is not None and reply.status == 200:
                job.cancelled_at = time.time()
                return True
        return False

    def wait_for_ends(
        self, limit: float, excluded: Iterable[SoakJob] = ()
    ) -> list[str]:
        """Wait until all accepted jobs are shown as ended.

        Returns
        -------
        list of str
            Ids of the jobs that are not, after ``limit`` seconds.
        """
        rng = random.Random(0)
        excluded_ids = {job.job_id for job in excluded}
        open_jobs = {
            job.job_id: job
            for job in self.jobs_by_id.values()
            if job.accepted_at and job.job_id not in excluded_ids
        }

        def all_ended() -> bool:
            for job in list(open_jobs.values()):
                if self.query_state(job, rng) in FINAL_STATES:
                    del open_jobs[job.job_id]
            return not open_jobs

        try:
            wait_until(all_ended, limit, "all jobs have ended")
        except TimeoutError:
            return list(open_jobs)
        return []

    def _run(self, thread: int) -> None:
        rng = random.Random(self._seed * 100 + thread)
        while not self._stop.wait(rng.expovariate(1.5)):
            job = self._make_job(rng)
            self._submit(job, rng)
            if job.accepted_at and job.cancels:
                self._stop.wait(_CANCEL_DELAY)
                self.cancel(job, rng)
            known = [j for j in self.jobs_by_id.values() if j.accepted_at]
            for queried_job in rng.sample(known, min(3, len(known))):
                self.query_state(queried_job, rng)

    def _make_job(self, rng: random.Random) -> SoakJob:
        steps: list[dict[str, Any]] = []
        for number in range(rng.choice((1, 1, 2, 3))):
            step: dict[str, Any] = {
                "Count": rng.randint(1, 4),
                "Cpu": rng.choice((400, 900, 1500)),
                "MemMb": 100,
                "EstimateMs": 500,
                "Checkpointing": rng.random() < 0.5,
                "Speculative": rng.random() < 0.3,
            }
            # A field whose value is 0 is left out.
            for field in ("Cpu", "MemMb", "EstimateMs"):
                if rng.random() < 0.1:
                    del step[field]
            if number:
                step["After"] = [number - 1]
            steps.append(step)
        cancels = rng.random() < 0.15
        seconds = rng.choice((0.1, 0.3, 0.8, 1.5))
        verb = "fail" if rng.random() < 0.05 else "run"
        return self._add_job(steps, cancels, f"{verb} {seconds}")

    def _add_job(
        self, steps: list[dict[str, Any]], cancels: bool, spec: str
    ) -> SoakJob:
        job_id = f"{next(self._numbers):016x}"
        job = SoakJob(job_id, steps, cancels, spec)
        self.jobs_by_id[job_id] = job
        return job

    def _submit(self, job: SoakJob, rng: random.Random) -> None:
        body = {"Spec": job.spec, "Steps": job.steps, **job.schedule}
        uncertain = False
        for _ in range(_MAX_TRIES):
            entry = rng.randrange(self._entries)
            reply = self._site.call("POST", job.job_id, entry, body)
            if reply is not None and reply.status == 200:
                job.accepted_at = time.time()
                return
            if reply is not None and reply.status not in _RETRIED_STATUSES:
                # The rejection applies to this try only: an earlier try without an
                # answer may have been accepted.
                job.refused_at = 0.0 if uncertain else time.time()
                return
            uncertain = True
