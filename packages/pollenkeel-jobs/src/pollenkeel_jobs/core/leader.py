"""Work of the elected leader during one term.

Loads the recorded state, runs scheduling passes, sends orders to the VM agents and
answers the messages of agents and entries.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import logbook
import msgpack
from result import Err, Ok, Result

from pollenkeel_jobs.core.advice import AdviceService
from pollenkeel_jobs.core.commits import commit_rows
from pollenkeel_jobs.core.intake_bounds import IntakeBounds
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
from pollenkeel_jobs.core.messages import (
    Done,
    JobNotice,
    JobNoticeReply,
    JobQuery,
    JobQueryReply,
    QueueQuery,
    QueueQueryReply,
    RelayWrite,
    RelayWriteReply,
    VmReport,
)
from pollenkeel_jobs.core.metrics import COMMIT_SECONDS, UNREADABLE_JOBS
from pollenkeel_jobs.core.names import (
    CANCELS,
    INTAKE_PARTITIONS,
    INTERFERENCE,
    JOBS,
    LEADER_PARTITION,
    LEASE_EXPIRIES,
    MEMBER_PARTITION,
    MEMBERS,
    PROGRESS,
)
from pollenkeel_jobs.core.order_sender import VmOrderSender
from pollenkeel_jobs.core.progress_rows import join_progress_rows
from pollenkeel_jobs.core.records import RecordError, decode_job
from pollenkeel_jobs.core.row_cleanup import RowCleanup
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.tables import (
    Condition,
    FailureKind,
    Page,
    RowWrite,
    TableService,
    Transaction,
)
from pollenkeel_jobs.core.term_context import TermContext
from pollenkeel_jobs.core.unreadable import can_load
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.guard import run_step
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import PeerClient

logger = logbook.Logger("leader")

#: Maximum time between two scheduling passes, in seconds.
_PASS_INTERVAL = 0.1
#: Delay before a pass, in seconds, so that changes that arrive together share one
#: transaction.
_PASS_DELAY = 0.01
#: Seconds between reads of the member table.
_MEMBER_INTERVAL = 0.7
_RETRY_SECONDS = 0.2
#: Duration of the leader's own writes, in seconds, above which it relays no writes for
#: other entries.
_SLOW_WRITE_SECONDS = 0.25
#: Number of partitions that are read in parallel; the table service's client keeps six
#: connections.
_LOAD_THREADS = 6
#: Longest time for which the answer to a report waits until the jobs are loaded, in
#: seconds; less than the time-out of the agent (0.8 s).
_REPORT_WAIT_SECONDS = 0.6
#: Seconds between checks for steps that wait for advice.
_ADVICE_POLL_INTERVAL = 0.02
#: Seconds between checks whether unreadable jobs have been repaired.
_REPAIR_CHECK_INTERVAL = 10.0


class Term:
    """One term of leadership of this process.

    Parameters
    ----------
    name : str
        Id of this process.
    address : str
        Address at which this process receives reports.
    leadership : Leadership
        The lease that has just been acquired.
    tables : TableService
        Service that stores the state.
    clock : Clock
        Source of time.
    advice : AdviceService
        Client of the advice service.
    settings : SchedulingSettings, optional
        Policies that are switched on; none by default.
    bounds : IntakeBounds, optional
        Times within which jobs and cancellations must take effect.

    Attributes
    ----------
    over : threading.Event
        Set when the term has ended.
    """

    def __init__(
        self,
        name: str,
        address: str,
        leadership: Leadership,
        tables: TableService,
        clock: Clock,
        advice: AdviceService,
        settings: SchedulingSettings | None = None,
        bounds: IntakeBounds | None = None,
    ) -> None:
        self._bounds = bounds or IntakeBounds()
        self.name = name
        self.address = address
        self.leadership = leadership
        self.clock = clock
        self.over = threading.Event()
        self._interference = InterferenceModel()
        self.scheduler = Scheduler(
            leadership.epoch, clock, self._interference, settings
        )
        self._context = TermContext(
            name, address, leadership, self.scheduler, clock, self.over
        )
        self._tables = tables
        self._senders_by_vm: dict[Vm, VmOrderSender] = {}
        self._member_values_by_name: dict[str, bytes] = {}
        self._advice = advice
        self._loaded = threading.Event()
        self._repaired = threading.Event()
        self._cleanup = RowCleanup(self.scheduler, tables, leadership, clock)

    def run(self, stop: threading.Event) -> None:
        """Lead until the lease is lost or ``stop`` is set."""
        try:
            # The agents are greeted while the jobs are loaded. Their reports wait.
            threading.Thread(
                target=self._poll_members, name="members", daemon=True
            ).start()
            self._load(stop)
            for table in (JOBS, CANCELS):
                threading.Thread(
                    target=self._follow_table,
                    args=(table,),
                    name=f"feed-{table}",
                    daemon=True,
                ).start()
            threading.Thread(
                target=self._fetch_advice, name="advice", daemon=True
            ).start()
            threading.Thread(
                target=self._watch_unreadable_jobs, name="unreadable", daemon=True
            ).start()
            while not stop.is_set():
                self._end_if_repaired()
                self._run_pass()
                self._clean_up()
        except LeadershipLost as error:
            log_change(logger, "leadership lost", cause=str(error))
        finally:
            self.over.set()
            UNREADABLE_JOBS.set(0)
            self.scheduler.wake.set()
            for sender in self._senders_by_vm.values():
                sender.wake()

    def _load(self, stop: threading.Event) -> None:
        """Load all recorded jobs, renewing the lease meanwhile."""
        self._versions = {}
        with ThreadPoolExecutor(_LOAD_THREADS) as pool:

            def read(partition: str, table: str) -> Future[Page]:
                return pool.submit(self._read_all, partition, table, stop)

            # The largest first.
            progress_read = read(LEADER_PARTITION, PROGRESS)
            job_reads = [read(partition, JOBS) for partition in INTAKE_PARTITIONS]
            cancel_reads = [read(partition, CANCELS) for partition in INTAKE_PARTITIONS]
            weights = read(LEADER_PARTITION, INTERFERENCE).result()
            jobs, cancels = _join_pages(job_reads), _join_pages(cancel_reads)
            progress = progress_read.result()
            pool.submit(self._load_expiries, stop).result()
        for row in weights.rows:
            self._interference.load(row.value or b"")
        progress_by_id = join_progress_rows(progress.rows)
        self.scheduler.load(
            self._iter_job_rows(jobs, progress_by_id), [row.key for row in jobs.rows]
        )
        for row in cancels.rows:
            self.scheduler.cancel_job(row.key)
        self._versions = {JOBS: jobs.version, CANCELS: cancels.version}
        self._loaded.set()
        log_change(
            logger,
            "state loaded",
            jobs=len(jobs.rows),
            progress=len(progress.rows),
            epoch=self.scheduler.epoch,
        )

    def _load_expiries(self, stop: threading.Event) -> None:
        """Load the ends of the leases of silent workers."""
        asked_at = self.clock.now()
        page = self._read_all(LEADER_PARTITION, LEASE_EXPIRIES, stop)
        expiries = self.scheduler.expiries
        expiries.record_service_time(page.now, asked_at)
        expiries.load(
            page.rows, self.leadership.previous_epoch, page.now, self.clock.now()
        )

    def _iter_job_rows(
        self, jobs: Page, progress_by_id: dict[str, bytes]
    ) -> Iterator[tuple[bytes, bytes | None]]:
        """Yield the rows of each job and of its progress.

        Renews the lease, since it can be shorter than the time to decode all jobs.
        """
        for row in jobs.rows:
            self.leadership.renew()
            yield row.value or b"", progress_by_id.get(row.key)

    def _read_intake(self, table: str, stop: threading.Event) -> Page:
        """Return a table's rows from all intake partitions, with the lowest version."""
        with ThreadPoolExecutor(_LOAD_THREADS) as pool:
            return _join_pages(
                [
                    pool.submit(self._read_all, partition, table, stop)
                    for partition in INTAKE_PARTITIONS
                ]
            )

    def _read_all(self, partition: str, table: str, stop: threading.Event) -> Page:
        """Return a table's rows in one partition, with retries until it can be read.

        Renews the lease before each attempt.
        """
        while not stop.is_set():
            self.leadership.renew()
            page = self._tables.read_all(partition, table)
            if not isinstance(page, Err):
                return page.ok_value
            stop.wait(_RETRY_SECONDS)
        raise LeadershipLost("the process is stopping")

    def _run_pass(self) -> None:
        """Plan, record the result, and only then queue the resulting orders."""
        self.scheduler.wake.wait(_PASS_INTERVAL)
        self.scheduler.wake.clear()
        self.over.wait(_PASS_DELAY)
        current = self.scheduler.plan()
        if current.writes:
            with COMMIT_SECONDS.time():
                for rejected in commit_rows(self.leadership, current.writes):
                    self.scheduler.reject_progress(
                        current, rejected.job_id, rejected.cause
                    )
        else:
            self.leadership.renew()
        self.scheduler.confirm(current)
        for work in current.order_batches:
            sender = self._senders_by_vm.get(work.vm)
            if sender is not None:
                sender.add(work)

    def _clean_up(self) -> None:
        """Delete old rows; an unexpected error must not end the term."""
        try:
            self._cleanup.run_if_due()
        except LeadershipLost:
            raise
        except Exception:
            logger.exception("old rows cannot be deleted")

    def _watch_unreadable_jobs(self) -> None:
        """Notice that an unreadable job has been repaired."""
        while not self.over.wait(_REPAIR_CHECK_INTERVAL):
            run_step(self._check_repairs, logger, "unreadable jobs cannot be checked")

    def _check_repairs(self) -> None:
        if self._is_any_repaired():
            self._repaired.set()

    def _is_any_repaired(self) -> bool:
        """Return whether the record of an unreadable job can be read by now."""
        job_ids = self.scheduler.list_unreadable_jobs()
        return any(can_load(self._tables, job_id) for job_id in job_ids)

    def _end_if_repaired(self) -> None:
        """End the term once an unreadable job can be loaded.

        Its runs may still be in progress under leases of this term. A new leader allows
        for such runs when it loads the jobs.
        """
        if self._repaired.is_set() and self.leadership.leads:
            self.leadership.resign()
            raise LeadershipLost("the record of a job can be read again")

    def _fetch_advice(self) -> None:
        """Query the advice service for steps that wait for tickets, one at a time."""
        while not self.over.is_set():
            if not run_step(self._ask_one_question, logger, "advice request failed"):
                self.over.wait(_RETRY_SECONDS)

    def _ask_one_question(self) -> None:
        question = self.scheduler.pop_question()
        if question is None:
            self.over.wait(_ADVICE_POLL_INTERVAL)
            return
        asked_at = self.clock.now()
        advice = self._advice.ask(question)
        if isinstance(advice, Err):
            logger.warning(
                "advice request failed",
                extra={"step": question.step_id, "cause": advice.err_value},
            )
            return
        self.scheduler.store_advice(question, advice.ok_value, asked_at)

    # Feeds.

    def _follow_table(self, table: str) -> None:
        """Apply jobs or cancellations from the change feed of ``table``."""
        after = self._versions[table]

        def follow() -> None:
            nonlocal after
            found = self._read_changes(table, after)
            if found is None:
                self.over.wait(_RETRY_SECONDS)
                return
            for row in found.rows:
                if row.value is not None:
                    self.apply_row(row.key, row.value if table == JOBS else b"")
            after = max(after, found.version)

        while not self.over.is_set():
            if not run_step(follow, logger, "changes cannot be read"):
                self.over.wait(_RETRY_SECONDS)

    def _read_changes(self, table: str, after: int) -> Page | None:
        """Return the changes of a table after a version, or None on failure.

        If its history is gone, the whole table is returned.
        """
        page = self._tables.watch(table, after, self._bounds.feed_wait)
        if not isinstance(page, Err):
            return page.ok_value
        if page.err_value.kind is not FailureKind.HISTORY_GONE:
            return None
        log_change(
            logger,
            "change history no longer available; reading the whole table",
            table=table,
        )
        try:
            return self._read_intake(table, self.over)
        except LeadershipLost:
            return None

    def apply_row(self, job_id: str, row: bytes) -> None:
        """Add a stored job, or cancel the job if ``row`` is empty.

        An unexpected error affects this job alone, so that the feed goes on.
        """
        try:
            if row:
                self.scheduler.add_job(decode_job(row))
            else:
                self.scheduler.cancel_job(job_id)
        except RecordError as error:
            logger.error(
                "job row cannot be decoded", extra={"job": job_id, "cause": str(error)}
            )
        except Exception:
            logger.exception("job row cannot be applied", extra={"job": job_id})

    def _poll_members(self) -> None:
        """Add the VMs of the member table until the term ends."""
        while not self.over.is_set():
            run_step(self._read_members, logger, "members cannot be added")
            self.over.wait(_MEMBER_INTERVAL)

    def _read_members(self) -> None:
        asked_at = self.clock.now()
        page = self._tables.read_all(MEMBER_PARTITION, MEMBERS)
        if isinstance(page, Err):
            logger.warning(
                "members cannot be read", extra={"cause": page.err_value.detail}
            )
            return
        self.scheduler.expiries.record_service_time(page.ok_value.now, asked_at)
        for row in page.ok_value.rows:
            self._add_member(row.key, row.value or b"")

    def _add_member(self, name: str, value: bytes) -> None:
        """Add the VM of a member row; an odd row is left out and logged once."""
        if self._member_values_by_name.get(name) == value:
            return
        self._member_values_by_name[name] = value
        try:
            address = str(msgpack.unpackb(value)[0])
        except Exception as error:
            logger.error(
                "member row cannot be decoded", extra={"vm": name, "cause": str(error)}
            )
            return
        peer = PeerClient.open(address, self.clock)
        if peer is None:
            return
        vm = self.scheduler.add_vm(name, address)
        if vm in self._senders_by_vm:
            # The sender opens its own connection when it finds the new address.
            peer.close()
            return
        log_change(logger, "agent discovered", vm=name, address=address)
        self._senders_by_vm[vm] = VmOrderSender(self._context, vm, peer)

    def explain(self, job_id: str) -> Result[dict[str, Any], Refusal]:
        """Return a description of a job for operators."""
        if not self._loaded.is_set():
            return Err(Refusal(Code.NOT_OWNER, "the jobs are being loaded"))
        found = self.scheduler.explain(job_id)
        if found is None:
            return Err(Refusal(Code.NOT_FOUND, f"job {job_id!r:.40}"))
        return Ok(found)

    # Messages.

    def _write_relayed(self, message: RelayWrite) -> str:
        """Write rows for another entry; return the kind of failure, empty if none."""
        if self.leadership.write_seconds > _SLOW_WRITE_SECONDS:
            # The table service is slow for every client; a second write of the same
            # row would only lengthen its queue.
            return FailureKind.NOT_DONE.name
        transaction = Transaction(
            message.partition,
            tuple(
                Condition(row.table, row.key, row.expected_version)
                for row in message.rows
                if row.expected_version >= 0
            ),
            tuple(RowWrite(row.table, row.key, row.value) for row in message.rows),
        )
        result = self._tables.transact(transaction)
        return result.err_value.kind.name if isinstance(result, Err) else ""

    def _acknowledge_notice(self, now: float) -> Message:
        """Return the reply to a notice; earlier releases know only ``Done``."""
        waits = self.scheduler.list_waits()
        return JobNoticeReply(self.name, now, waits) if waits else Done(self.name, now)

    def _describe_job(self, job_id: str) -> JobQueryReply:
        now = self.clock.now()
        if not self._loaded.is_set():
            # The scheduler is locked while it loads the jobs.
            return JobQueryReply(self.name, now, "")
        state = self.scheduler.find_state(job_id)
        if state is not None:
            return JobQueryReply(self.name, now, state.status.value, state.failure_code)
        if job_id in self.scheduler.list_unreadable_jobs():
            return JobQueryReply(self.name, now, "", Code.JOB_UNREADABLE.value)
        return JobQueryReply(self.name, now, "")

    def handle(self, message: Message) -> Message | None:
        """Return the reply to a message, or None if it is not one for the leader."""
        now = self.clock.now()
        if isinstance(message, VmReport):
            # Before that, all runs that it lists would be unknown.
            if not self._loaded.wait(_REPORT_WAIT_SECONDS):
                return None
            return self.scheduler.process_report(message, self.leadership.leads)
        if isinstance(message, JobNotice):
            if self._loaded.is_set():
                self.apply_row(message.job_id, message.row)
            return self._acknowledge_notice(now)
        if isinstance(message, RelayWrite):
            return RelayWriteReply(self.name, now, self._write_relayed(message))
        if isinstance(message, JobQuery):
            return self._describe_job(message.job_id)
        if isinstance(message, QueueQuery):
            waiting = (
                self.scheduler.count_waiting(message.queue)
                if self._loaded.is_set()
                else -1
            )
            return QueueQueryReply(self.name, now, waiting)
        return None


def _join_pages(reads: Iterable[Future[Page]]) -> Page:
    """Return the rows of several reads, with the lowest version."""
    pages = [read.result() for read in reads]
    # Following the feed from the lowest version misses no change; it only repeats
    # changes that a later read already contains.
    version = min(page.version for page in pages)
    return Page(tuple(row for page in pages for row in page.rows), version)
