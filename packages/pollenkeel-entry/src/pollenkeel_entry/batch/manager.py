"""Claims and runs the shards of an entry and routes calls to their owners."""

from __future__ import annotations

import json
import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeout
from typing import Any

import logbook
import xxhash
from result import Err, Ok, Result

from pollenkeel_entry.batch import records as rec
from pollenkeel_entry.batch.decisions import DecisionRecord
from pollenkeel_entry.batch.hints import CapacityHints, StartRamp
from pollenkeel_entry.batch.inbox import CommitResult
from pollenkeel_entry.batch.job_check import parse_job
from pollenkeel_entry.batch.links import EntryLinks
from pollenkeel_entry.batch.log import ShardLog
from pollenkeel_entry.batch.ownership import Lease, OwnerRow, Ownership, fair_share
from pollenkeel_entry.batch.quota import QuotaTable
from pollenkeel_entry.batch.records import Task
from pollenkeel_entry.batch.services import ShardServices
from pollenkeel_entry.batch.shard import Shard
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_kernel.core.codes import Code, find_code
from pollenkeel_kernel.core.dump import to_plain
from pollenkeel_kernel.core.json_text import parse_json
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import OwnerCall, OwnerReply
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.policy.quarantine import QUARANTINES
from pollenkeel_kernel.store.base import Row

logger = logbook.Logger("batch.manager")

#: Limit on log row writes per second, shared by the commits of all shards.
MAX_COMMITS_PER_SECOND = 256
#: Seconds that a caller waits for its change to be committed.
CALL_TIMEOUT = 10.0
#: Maximum number of jobs that one shard adds to a list of jobs; the latest are kept.
MAX_LISTED_JOBS = 1000

#: JSON text of a reply, or the refusal.
BodyResult = Result[bytes, Refusal]


class ShardManager:
    """Runs the shards of one entry and forwards calls to the owners of others.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    quarantine : str
        Name of the quarantine plug-in.
    is_silent : callable
        Returns whether an agent, given by its id, leaves heartbeats unanswered.
    """

    def __init__(
        self,
        context: EntryContext,
        quarantine: str = "consecutive",
        is_silent: Callable[[str], bool] = lambda agent_id: False,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._shards: dict[int, Shard] = {}
        #: Leases of open shards and of shards whose log is still being recovered.
        self._leases: dict[int, Lease] = {}
        #: Ownership rows and their versions by shard, as last read.
        self._owner_rows: dict[int, tuple[OwnerRow, int]] = {}
        self._wake_events_by_agent: dict[str, threading.Event] = {}
        self._links = EntryLinks(context, CALL_TIMEOUT)
        self._quarantine_name = quarantine
        self._is_silent = is_silent
        self._ownership: Ownership
        self._services: ShardServices

    def start(self, peer_address: str = "") -> None:
        """Start claiming shards.

        Parameters
        ----------
        peer_address : str
            Address at which other entries reach this one; ``listen`` of the settings
            if not given.
        """
        context, timing = self._context, self._settings.timing
        address = peer_address or self._settings.listen
        self._ownership = Ownership(
            context.backend, timing, context.clock, self._settings.id, address
        )
        self._services = ShardServices(
            self._ownership,
            CapacityHints(),
            StartRamp(),
            QUARANTINES.get(self._quarantine_name)(),
            DecisionRecord(self._settings.limits),
            QuotaTable(self._settings.shards),
            self._wake,
            self._is_silent,
        )
        context.dump.register("shards", self._dump)
        self._spawn("renewal", self._run_renewal)
        self._spawn("owner", self._run_ownership)

    def close(self) -> None:
        """Stop the threads and release the shards gracefully."""
        for shard in self._list_shards():
            shard.suspend()
        self._stop.set()
        for wake in list(self._wake_events_by_agent.values()):
            wake.set()
        join_timeout = self._settings.timing.shard_lease
        for thread in list(self._threads):
            thread.join(join_timeout)
        for shard in self._list_shards():
            shard.suspend()
            if not shard.lost.is_set():
                self._remove_lease(shard.lease)
                self._ownership.release(shard.lease, shard.granted_until)
                shard.drop(Refusal(Code.ENTRY_STOPPING))
        self._links.close()

    def shard_of(self, job_id: str) -> int:
        """Return the shard of a job."""
        return xxhash.xxh3_64_intdigest(job_id.encode()) % self._settings.shards

    def owns(self, number: int) -> bool:
        """Return whether this entry owns a shard, without asking the store."""
        with self._lock:
            shard = self._shards.get(number)
        return shard is not None and not shard.lost.is_set()

    def submit(self, body: bytes) -> BodyResult:
        """Submit a job given as JSON text; returns once it is in the shard log."""
        config = self._context.config.effective()
        teams = list(config.teams) if config else []
        job = parse_job(body, teams, self._context.clock.now())
        if isinstance(job, Err):
            return job
        return self._call(self.shard_of(job.ok_value.job_id), "submit", body)

    def cancel(self, job_id: str) -> BodyResult:
        """Cancel a job."""
        return self._call_job("cancel", job_id)

    def explain(self, job_id: str) -> BodyResult:
        """Return the state of a job and its tasks with the decisions about them."""
        return self._call_job("explain", job_id)

    def status(self, job_id: str = "") -> BodyResult:
        """Return the state of one job, or a list of the jobs of all shards."""
        if job_id:
            return self._call_job("status", job_id)
        jobs, unreachable = [], []
        for shard in range(self._settings.shards):
            reply = self._call(shard, "status", b'""')
            if isinstance(reply, Err):
                unreachable.append(shard)
            else:
                jobs += json.loads(reply.ok_value)["jobs"]
        result = {"jobs": jobs, "unreachable_shards": unreachable}
        return Ok(json.dumps(result).encode())

    def handle(self, call: OwnerCall) -> OwnerReply:
        """Answer a call for a shard owned by this entry."""
        result = self._execute(call.shard, call.operation, call.body)
        sender, now = self._settings.id, self._context.clock.now()
        if isinstance(result, Err):
            refusal = result.err_value
            return OwnerReply(sender, now, refusal.code.value, refusal.detail)
        return OwnerReply(sender, now, Code.OK.value, "", result.ok_value)

    def _call_job(self, operation: str, job_id: str) -> BodyResult:
        body = json.dumps(job_id).encode()
        return self._call(self.shard_of(job_id), operation, body)

    def _call(self, shard: int, operation: str, body: bytes) -> BodyResult:
        with self._lock:
            is_local = shard in self._shards
            row = self._owner_rows.get(shard)
        if is_local:
            return self._execute(shard, operation, body)
        if row is None or not row[0].owner or row[0].owner == self._settings.id:
            return Err(Refusal(Code.NOT_OWNER, f"shard {shard} has no owner now"))
        now = self._context.clock.now()
        message = OwnerCall(self._settings.id, now, shard, operation, body)
        reply = self._links.call(row[0].address, message, now + CALL_TIMEOUT)
        if isinstance(reply, Err):
            return reply
        if not isinstance(reply.ok_value, OwnerReply):
            return Err(Refusal(Code.NO_REPLY, "unexpected reply"))
        if reply.ok_value.code != Code.OK.value:
            code = find_code(reply.ok_value.code)
            return Err(Refusal(code, reply.ok_value.detail))
        return Ok(reply.ok_value.body)

    def _execute(self, number: int, operation: str, body: bytes) -> BodyResult:
        with self._lock:
            shard = self._shards.get(number)
        if shard is None or shard.lost.is_set():
            return Err(Refusal(Code.NOT_OWNER, f"shard {number}"))
        if operation == "submit":
            # The entry that received the job has checked the team, if it had a
            # configuration.
            job = parse_job(body, [], self._context.clock.now())
            if isinstance(job, Err):
                return job
            job_id = job.ok_value.job_id
            return _await_commit(shard.submit(job.ok_value).result, job_id)
        parsed = _parse_job_id(body)
        if isinstance(parsed, Err):
            return parsed
        job_id = parsed.ok_value
        if operation == "cancel":
            return _await_commit(shard.cancel(job_id).result, job_id)
        if operation == "status":
            return self._status(shard, job_id)
        if operation == "explain":
            return self._explain(shard, job_id)
        return Err(Refusal(Code.BAD_MESSAGE, f"operation {operation!r:.40}"))

    def _status(self, shard: Shard, job_id: str) -> BodyResult:
        with shard.lock:
            state = shard.log.state
            if not job_id:
                jobs = [_summarize_job(j) for j in list(state.jobs_by_id.values())]
                return Ok(json.dumps({"jobs": jobs[-MAX_LISTED_JOBS:]}).encode())
            job = state.jobs_by_id.get(job_id)
            if job is None:
                return Err(Refusal(Code.NOT_FOUND, f"job {job_id!r}"))
            tasks = [state.tasks_by_key[key] for key in job.task_keys]
            summary = {**_summarize_job(job), **_summarize_tasks(job, tasks)}
            return Ok(json.dumps({**summary, "tasks": to_plain(tasks)}).encode())

    def _explain(self, shard: Shard, job_id: str) -> BodyResult:
        status = self._status(shard, job_id)
        if isinstance(status, Err) or not job_id:
            return status
        job = json.loads(status.ok_value)
        job["decisions"] = to_plain(self._services.decisions.get(job_id))
        for task in job["tasks"]:
            task["decisions"] = to_plain(self._services.decisions.get(task["key"]))
        return Ok(json.dumps(job).encode())

    def _list_shards(self) -> list[Shard]:
        with self._lock:
            return list(self._shards.values())

    def _run_renewal(self) -> None:
        # Renewal has its own thread, because claims and recovery may take longer than
        # a lease. It is tried six times per lease.
        while not self._stop.is_set():
            try:
                self._renew_all()
            except Exception:
                logger.exception("renewal pass failed")
            self._stop.wait(self._settings.timing.shard_lease / 6)

    def _run_ownership(self) -> None:
        """Claim or hand over shards and start exchange threads until stopped."""
        while not self._stop.is_set():
            try:
                self._rebalance()
                self._start_exchange_loops()
            except Exception:
                logger.exception("ownership pass failed")
            self._stop.wait(self._settings.timing.shard_lease / 6)

    def _renew_all(self) -> None:
        for shard in self._list_shards():
            if shard.lost.is_set():
                self._remove_lease(shard.lease)
        with self._lock:
            leases = list(self._leases.values())
        for lease in leases:
            renewed = self._ownership.renew(lease)
            lost_code = Code.VERSION_CONFLICT
            if isinstance(renewed, Err) and renewed.err_value.code is lost_code:
                lost_shard = self._remove_lease(lease)
                if lost_shard is not None:
                    lost_shard.drop(renewed.err_value)

    def _remove_lease(self, lease: Lease) -> Shard | None:
        """Remove a lease and its open shard, if any; return the shard."""
        with self._lock:
            if self._leases.get(lease.shard) is not lease:
                return None
            del self._leases[lease.shard]
            return self._shards.pop(lease.shard, None)

    def _rebalance(self) -> None:
        """Claim free shards up to the fair share, or hand over one above it."""
        rows = self._ownership.read_all()
        if isinstance(rows, Err):
            return
        with self._lock:
            self._owner_rows = rows.ok_value
        self._links.update_addresses(self._find_addresses(rows.ok_value))
        share = fair_share(self._settings.shards, self._count_entries())
        if len(self._list_shards()) > share:
            self._hand_over_surplus(rows.ok_value)
        else:
            self._claim_free_shards(rows.ok_value, share)

    def _find_addresses(self, rows: dict[int, tuple[OwnerRow, int]]) -> set[str]:
        """Return the addresses of the other owners."""
        owners = (row for row, _ in rows.values())
        return {o.address for o in owners if o.owner not in ("", self._settings.id)}

    def _claim_free_shards(
        self, rows: dict[int, tuple[OwnerRow, int]], share: int
    ) -> None:
        for number in range(self._settings.shards):
            if self._stop.is_set() or len(self._leases) >= share:
                return
            row, version = rows.get(number, (None, 0))
            if number not in self._leases and self._ownership.is_free(row):
                claimed = self._ownership.claim(number, row, version)
                if isinstance(claimed, Ok):
                    self._open_shard(claimed.ok_value)

    def _hand_over_surplus(self, rows: dict[int, tuple[OwnerRow, int]]) -> None:
        # Hand over one shard at a time: wait until another entry has claimed the
        # previous one.
        for number in range(self._settings.shards):
            if self._ownership.is_free(rows.get(number, (None, 0))[0]):
                return
        shard = self._list_shards()[-1]
        shard.suspend()
        deadline = self._context.clock.now() + self._settings.timing.shard_lease / 6
        interval = self._settings.timing.commit_interval
        while not shard.is_flushed and self._context.clock.now() < deadline:
            self._stop.wait(interval)
        if not shard.is_flushed:
            shard.resume()
            return
        if shard.lost.is_set():
            return
        released = self._ownership.release(shard.lease, shard.granted_until)
        not_written_code = Code.STORE_UNAVAILABLE
        if isinstance(released, Err) and released.err_value.code is not_written_code:
            # The release was not written, so the task leases must still be renewed.
            shard.resume()
            return
        self._remove_lease(shard.lease)
        shard.drop(Refusal(Code.NOT_OWNER, "handed over"))

    def _open_shard(self, lease: Lease) -> None:
        """Recover the log of a claimed shard and start its thread."""
        number, epoch = lease.shard, lease.row.epoch
        with self._lock:
            self._leases[number] = lease
        log = ShardLog(self._context.backend, number, self._settings.id, epoch)
        try:
            recovered = log.recover()
        except Exception as error:
            logger.exception("recovery failed")
            recovered = Err(Refusal(Code.INTERNAL, type(error).__name__))
        if isinstance(recovered, Err):
            self._remove_lease(lease)
            self._ownership.release(lease, lease.inherited_until)
            return
        shard = Shard(self._context, lease, log, self._services)
        with self._lock:
            if self._leases.get(number) is not lease:
                shard.drop(Refusal(Code.NOT_OWNER, "lost during the recovery"))
                return
            self._shards[number] = shard
        log_change(logger, "shard owned", shard=number, epoch=epoch)
        self._spawn(f"shard-{number}", lambda: self._run_shard(shard))

    def _count_entries(self) -> int:
        """Return the number of live entries, including this one."""
        rows = self._context.backend.scan("entries", "")
        if isinstance(rows, Err):
            return 1
        now = self._context.clock.now()
        live = {self._settings.id}
        for row in rows.ok_value:
            if _is_live(row, now):
                live.add(row.key)
        return len(live)

    def _run_shard(self, shard: Shard) -> None:
        """Commit the events of a shard until it is lost or the manager stops."""
        min_interval = self._settings.shards / MAX_COMMITS_PER_SECOND
        interval = max(self._settings.timing.commit_interval, min_interval)
        while not self._stop.is_set() and not shard.lost.is_set():
            try:
                shard.end_lapsed_attempts()
                shard.tick()
            except Exception as error:
                logger.exception("shard loop failed")
                shard.drop(Refusal(Code.INTERNAL, type(error).__name__))
            self._stop.wait(interval)

    def _start_exchange_loops(self) -> None:
        """Start an exchange thread for each new agent; update the start limits."""
        now = self._context.clock.now()
        self._services.ramp.update(self._context.config.drained(), now)
        for record in self._context.agents.live():
            agent_id = record.announce.sender
            if agent_id not in self._wake_events_by_agent:
                self._wake_events_by_agent[agent_id] = threading.Event()
                self._spawn(f"exchange-{agent_id}", self._make_exchange_loop(agent_id))

    def _make_exchange_loop(self, agent_id: str) -> Callable[[], None]:
        """Return the target of an agent's exchange thread."""

        def run() -> None:
            wake = self._wake_events_by_agent[agent_id]
            while not self._stop.is_set():
                if self._context.agents.get(agent_id) is None:
                    break
                wake.clear()
                for shard in list(self._shards.values()):
                    try:
                        self._exchange(agent_id, shard)
                    except Exception:
                        logger.exception("exchange failed")
                wake.wait(self._settings.timing.task_renewal)
            self._wake_events_by_agent.pop(agent_id, None)

        return run

    def _exchange(self, agent_id: str, shard: Shard) -> None:
        """Send the next message of a shard to an agent and process the reply."""
        record = self._context.agents.get(agent_id)
        message = shard.begin_exchange(record) if record else None
        if record is None or message is None:
            return
        deadline = self._context.clock.now() + self._settings.timing.peer_silent_after
        result = record.client.call(message, deadline)
        shard.finish_exchange(agent_id, message, result)

    def _wake(self, agent_id: str) -> None:
        """Start the next exchange with an agent without waiting for the interval."""
        wake = self._wake_events_by_agent.get(agent_id)
        if wake is not None:
            wake.set()

    def _spawn(self, name: str, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, name=name, daemon=True)
        self._threads = [t for t in self._threads if t.is_alive()] + [thread]
        thread.start()

    def _dump(self) -> Any:
        return {
            number: {
                "epoch": shard.lease.row.epoch,
                "lease_until": shard.lease.row.lease_until,
                "open_jobs": shard.log.state.open_jobs(),
                "queued": len(shard.log.state.queued),
            }
            for number, shard in list(self._shards.items())
        }


def _await_commit(result: Callable[[float], CommitResult], job_id: str) -> BodyResult:
    """Wait for the commit of a request; ``result`` takes a timeout in seconds."""
    # The wait is shorter than the timeout of a forwarding entry, so that the reply can
    # still reach it.
    try:
        answer = result(CALL_TIMEOUT * 0.8)
    except FutureTimeout:
        return Err(Refusal(Code.WRITE_UNKNOWN, f"job {job_id!r}"))
    return answer.map(lambda _: json.dumps({"job_id": job_id}).encode())


def _summarize_tasks(job: Any, tasks: list[Task]) -> dict[str, Any]:
    counts = Counter(task.state for task in tasks)
    if job.cancelled:
        state = "cancelled"
    elif job.open_tasks:
        state = "running" if len(counts) > 1 or rec.QUEUED not in counts else "queued"
    else:
        state = "failed" if counts[rec.FAILED] else "done"
    return {"state": state, "tasks_by_state": dict(counts)}


def _summarize_job(job: Any) -> dict[str, Any]:
    return {
        "job_id": job.job_id,
        "team": job.team,
        "deadline": job.deadline,
        "urgent": job.urgent,
        "cancelled": job.cancelled,
        "open_tasks": job.open_tasks,
        "task_count": len(job.task_keys),
    }


def _parse_job_id(body: bytes) -> Result[str, Refusal]:
    try:
        job_id = parse_json(body)
    except ValueError as error:
        return Err(Refusal(Code.BAD_MESSAGE, f"job id: {error}"[:200]))
    if not isinstance(job_id, str):
        return Err(Refusal(Code.BAD_MESSAGE, f"job id {job_id!r:.60}; expected text"))
    return Ok(job_id)


def _is_live(row: Row, now: float) -> bool:
    """Return whether the row of an entry has not expired; False if it is malformed."""
    try:
        return float(parse_json(row.value)["expires_at"]) > now
    except (KeyError, TypeError, ValueError, OverflowError):
        return False
