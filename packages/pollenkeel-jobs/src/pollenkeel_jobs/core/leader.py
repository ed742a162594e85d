"""One term of leadership: loads the state, runs passes and sends orders."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import logbook
import msgpack
from result import Err

from pollenkeel_jobs.core.advice import AdviceService
from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.leadership import Leadership, LeadershipLost
from pollenkeel_jobs.core.messages import (
    Done,
    JobNotice,
    JobQuery,
    JobQueryReply,
    QueueQuery,
    QueueQueryReply,
    RelayWrite,
    RelayWriteReply,
    VmOrders,
    VmOrdersReply,
    VmReport,
)
from pollenkeel_jobs.core.metrics import COMMIT_SECONDS
from pollenkeel_jobs.core.names import (
    CANCELS,
    HARM,
    INTAKE_PARTITIONS,
    JOBS,
    LEADER_PARTITION,
    MEMBER_PARTITION,
    MEMBERS,
    PROGRESS,
    get_intake_partition,
)
from pollenkeel_jobs.core.passes import OrderBatch
from pollenkeel_jobs.core.records import RecordError, decode_job
from pollenkeel_jobs.core.scheduler import Scheduler
from pollenkeel_jobs.core.tables import (
    Condition,
    FailureKind,
    Page,
    RowWrite,
    TableService,
    Transaction,
)
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.logs import log_change
from pollenkeel_kernel.core.messages import Message
from pollenkeel_kernel.core.transport import PeerClient

logger = logbook.Logger("leader")

#: Longest time between two passes, in seconds.
_PASS_INTERVAL = 0.1
#: Shortest time between two passes, in seconds; gathers what belongs together.
_PASS_GAP = 0.01
#: Seconds between looks at the list of members.
_MEMBER_INTERVAL = 0.7
#: Seconds without a report after which the leader makes itself known to an agent.
_HELLO_SECONDS = 0.5
#: Longest wait for an agent's reply to orders, in seconds.
_ORDER_SECONDS = 1.5
#: Longest time to hand orders to an agent, in seconds.
_SEND_SECONDS = 0.4
#: Longest wait of one call to a feed, in seconds.
_FEED_SECONDS = 5.0
_RETRY_SECONDS = 0.2
#: Duration of the leader's own writes above which it relays none for others.
_SLOW_WRITE_SECONDS = 0.25
#: Partitions that are read at the same time.
_LOAD_THREADS = 4
#: Seconds between looks for steps that wait for advice.
_ADVICE_INTERVAL = 0.02
#: Seconds between looks for old jobs.
_FORGET_INTERVAL = 10.0


class VmLink:
    """Sends orders to the agent of one VM, from a thread of its own."""

    def __init__(self, term: Term, vm: Vm) -> None:
        self._term = term
        self._vm = vm
        self._peer = PeerClient(vm.address, term.clock)
        self._condition = threading.Condition()
        self._work = OrderBatch(vm)
        threading.Thread(target=self._run, name=f"vm-{vm.name}", daemon=True).start()

    def add(self, work: OrderBatch) -> None:
        """Queue orders."""
        with self._condition:
            self._work.starts.extend(work.starts)
            self._work.stops.extend(work.stops)
            self._condition.notify()

    def wake(self) -> None:
        """Let the thread see that the term has ended."""
        with self._condition:
            self._condition.notify()

    def _run(self) -> None:
        self._send(OrderBatch(self._vm))
        while not self._term.over.is_set():
            with self._condition:
                if not self._work.starts and not self._work.stops:
                    self._condition.wait(_HELLO_SECONDS)
                work = self._work
                self._work = OrderBatch(self._vm)
            silent = self._term.clock.now() - self._vm.heard_at > _HELLO_SECONDS
            if work.starts or work.stops or silent:
                self._send(work)
        self._peer.close()

    def _send(self, work: OrderBatch) -> None:
        term = self._term
        if self._peer.address != self._vm.address:
            self._peer.close()
            self._peer = PeerClient(self._vm.address, term.clock)
        if not term.leadership.leads:
            # Nothing was sent, so the tasks can be placed again at once.
            term.scheduler.drop_orders(self._vm, work.starts)
            return
        starts, payloads_by_job = term.scheduler.make_starts(self._vm, work.starts)
        orders = VmOrders(
            term.name,
            term.clock.now(),
            term.scheduler.epoch,
            term.address,
            self._vm.incarnation,
            self._vm.lease_until,
            starts,
            work.stops,
            payloads_by_job,
            term.scheduler.find_interfering_pairs(self._vm),
        )
        now = term.clock.now()
        result = self._peer.call(orders, now + _ORDER_SECONDS, now + _SEND_SECONDS)
        term.scheduler.drop_orders(self._vm, work.starts)
        if isinstance(result, Err):
            logger.warning(
                "no reply to orders",
                extra={"vm": self._vm.name, "cause": result.err_value.detail},
            )
            self._peer.redial()
        elif isinstance(result.ok_value, VmOrdersReply):
            term.scheduler.process_outcomes(self._vm, result.ok_value.outcomes)


class Term:
    """Work of this process while it leads.

    Parameters
    ----------
    name : str
        Id of this process.
    address : str
        Address at which it takes reports.
    leadership : Leadership
        The lease that has just been acquired.
    tables : TableService
        Where state is recorded.
    clock : Clock
        Source of time.
    advice : AdviceService
        Client of the advice service.
    """

    def __init__(
        self,
        name: str,
        address: str,
        leadership: Leadership,
        tables: TableService,
        clock: Clock,
        advice: AdviceService,
    ) -> None:
        self.name = name
        self.address = address
        self.leadership = leadership
        self.clock = clock
        self.over = threading.Event()
        self._harm = InterferenceModel()
        self.scheduler = Scheduler(leadership.epoch, clock, self._harm)
        self._tables = tables
        self._links_by_vm: dict[Vm, VmLink] = {}
        self._advice = advice
        self._loaded = False
        self._forget_at = clock.now() + _FORGET_INTERVAL

    def run(self, stop: threading.Event) -> None:
        """Lead until the lease is lost or ``stop`` is set."""
        try:
            self._load(stop)
            for table in (JOBS, CANCELS):
                threading.Thread(
                    target=self._follow,
                    args=(table,),
                    name=f"feed-{table}",
                    daemon=True,
                ).start()
            threading.Thread(
                target=self._find_members, name="members", daemon=True
            ).start()
            threading.Thread(
                target=self._ask_advice, name="advice", daemon=True
            ).start()
            while not stop.is_set():
                self._run_pass()
                self._forget_old_jobs()
        except LeadershipLost as error:
            log_change(logger, "leadership lost", cause=str(error))
        finally:
            self.over.set()
            self.scheduler.wake.set()
            for link in self._links_by_vm.values():
                link.wake()

    def _load(self, stop: threading.Event) -> None:
        """Read all jobs; renews the lease meanwhile."""
        self._versions = {}
        jobs = self._read_intake(JOBS, stop)
        cancels = self._read_intake(CANCELS, stop)
        progress = self._read_all(LEADER_PARTITION, PROGRESS, stop)
        harm = self._read_all(LEADER_PARTITION, HARM, stop)
        for row in harm.rows:
            self._harm.load(row.value or b"")
        progress_by_id = {row.key: row.value for row in progress.rows}
        self.scheduler.load(
            (row.value or b"", progress_by_id.get(row.key)) for row in jobs.rows
        )
        for row in cancels.rows:
            self.scheduler.cancel_job(row.key)
        self._versions = {JOBS: jobs.version, CANCELS: cancels.version}
        self._loaded = True
        log_change(
            logger,
            "state loaded",
            jobs=len(jobs.rows),
            progress=len(progress.rows),
            epoch=self.scheduler.epoch,
        )

    def _read_intake(self, table: str, stop: threading.Event) -> Page:
        """Return the rows of all intake partitions, as of the earliest read."""
        with ThreadPoolExecutor(_LOAD_THREADS) as pool:
            pages = list(
                pool.map(
                    lambda partition: self._read_all(partition, table, stop),
                    INTAKE_PARTITIONS,
                )
            )
        # A feed from the earliest version repeats what a later read has shown already.
        version = min(page.version for page in pages)
        return Page(tuple(row for page in pages for row in page.rows), version)

    def _read_all(self, partition: str, table: str, stop: threading.Event) -> Page:
        while not stop.is_set():
            self.leadership.renew()
            page = self._tables.read_all(partition, table)
            if not isinstance(page, Err):
                return page.ok_value
            stop.wait(_RETRY_SECONDS)
        raise LeadershipLost("the process stops")

    def _run_pass(self) -> None:
        self.scheduler.wake.wait(_PASS_INTERVAL)
        self.scheduler.wake.clear()
        self.over.wait(_PASS_GAP)
        current = self.scheduler.plan()
        if current.writes:
            with COMMIT_SECONDS.time():
                self.leadership.commit(current.writes)
        else:
            self.leadership.renew()
        self.scheduler.confirm(current)
        for work in current.order_batches:
            link = self._links_by_vm.get(work.vm)
            if link is not None:
                link.add(work)

    def _forget_old_jobs(self) -> None:
        """Remove the rows of jobs that ended long ago."""
        now = self.clock.now()
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_INTERVAL
        for job_id in self.scheduler.forget_old_jobs():
            self.leadership.commit((RowWrite(PROGRESS, job_id, None),))
            rows = (RowWrite(JOBS, job_id, None), RowWrite(CANCELS, job_id, None))
            partition = get_intake_partition(job_id)
            removed = self._tables.transact(Transaction(partition, (), rows))
            if isinstance(removed, Err):
                detail = removed.err_value.detail
                logger.warning(
                    "rows not removed", extra={"job": job_id, "cause": detail}
                )

    def _ask_advice(self) -> None:
        """Ask the advice service for the steps that wait for it, one at a time."""
        while not self.over.is_set():
            question = self.scheduler.take_question()
            if question is None:
                self.over.wait(_ADVICE_INTERVAL)
                continue
            asked_at = self.clock.now()
            advice = self._advice.ask(question)
            if isinstance(advice, Err):
                logger.warning(
                    "no advice",
                    extra={"step": question.step_id, "cause": advice.err_value},
                )
                continue
            self.scheduler.take_advice(question, advice.ok_value, asked_at)

    # Feeds.

    def _follow(self, table: str) -> None:
        """Take jobs or cancellations that other entries have stored."""
        after = self._versions[table]
        while not self.over.is_set():
            page = self._tables.watch(table, after, _FEED_SECONDS)
            if not isinstance(page, Err):
                found = page.ok_value
            elif page.err_value.kind is FailureKind.HISTORY_GONE:
                log_change(logger, "history gone, table is read whole", table=table)
                try:
                    found = self._read_intake(table, self.over)
                except LeadershipLost:
                    return
            else:
                self.over.wait(_RETRY_SECONDS)
                continue
            for row in found.rows:
                if row.value is not None:
                    self.take_row(row.key, row.value if table == JOBS else b"")
            after = max(after, found.version)

    def take_row(self, job_id: str, row: bytes) -> None:
        """Take a stored job, or a cancellation if the row is empty."""
        if not row:
            self.scheduler.cancel_job(job_id)
            return
        try:
            self.scheduler.add_job(decode_job(row))
        except RecordError as error:
            logger.error(
                "job cannot be read", extra={"job": job_id, "cause": str(error)}
            )

    def _find_members(self) -> None:
        while not self.over.is_set():
            page = self._tables.read_all(MEMBER_PARTITION, MEMBERS)
            if isinstance(page, Err):
                logger.warning(
                    "members not read", extra={"cause": page.err_value.detail}
                )
            else:
                for row in page.ok_value.rows:
                    self._take_member(row.key, row.value or b"")
            self.over.wait(_MEMBER_INTERVAL)

    def _take_member(self, name: str, value: bytes) -> None:
        try:
            address = str(msgpack.unpackb(value)[0])
        except Exception as error:
            logger.error(
                "member row unreadable", extra={"vm": name, "cause": str(error)}
            )
            return
        vm = self.scheduler.add_vm(name, address)
        if vm not in self._links_by_vm:
            log_change(logger, "agent known", vm=name, address=address)
            self._links_by_vm[vm] = VmLink(self, vm)

    # Messages.

    def _relay(self, message: RelayWrite) -> str:
        """Write rows for an entry and return the kind of failure, if any."""
        if self.leadership.write_seconds > _SLOW_WRITE_SECONDS:
            # The store is slow for all, and a second write of the same row would only
            # fill its queue.
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

    def handle(self, message: Message) -> Message | None:
        """Answer a message for the leader; None if it is of another kind."""
        now = self.clock.now()
        if isinstance(message, VmReport):
            return self.scheduler.process_report(message, self.leadership.leads)
        if isinstance(message, JobNotice):
            if self._loaded:
                self.take_row(message.job_id, message.row)
            return Done(self.name, now)
        if isinstance(message, RelayWrite):
            return RelayWriteReply(self.name, now, self._relay(message))
        if isinstance(message, JobQuery):
            status = (
                self.scheduler.find_status(message.job_id) if self._loaded else None
            )
            return JobQueryReply(self.name, now, status.value if status else "")
        if isinstance(message, QueueQuery):
            waiting = (
                self.scheduler.count_waiting(message.queue) if self._loaded else -1
            )
            return QueueQueryReply(self.name, now, waiting)
        return None
