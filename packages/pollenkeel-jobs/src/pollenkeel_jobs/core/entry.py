"""Entry process: serves client requests and takes part in leader election.

Several entries run at the same time; the one that is elected also schedules all jobs.
"""

from __future__ import annotations

import threading
from typing import Any

import attrs
import logbook
from result import Err, Result

from pollenkeel_jobs.core.admission import Admission
from pollenkeel_jobs.core.advice import AdviceService
from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.intake_bounds import IntakeBounds
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership, LeaseRecord
from pollenkeel_jobs.core.messages import LeaderQuery, LeaderQueryReply
from pollenkeel_jobs.core.operations import OperationsFeed
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.succession import Succession
from pollenkeel_jobs.core.tables import TableService
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.guard import run_step
from pollenkeel_kernel.core.messages import ErrorReply, Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import ReplyServer

logger = logbook.Logger("entry")

#: Seconds between reads of the lease row.
_LEASE_POLL_SECONDS = 0.3
#: Timeout for the lease holder's reply to the query whether it leads, in seconds.
_LEADER_QUERY_SECONDS = 0.4
#: Longest wait, before the first read of the lease row, for the operator configuration,
#: without which a leader starts nothing, in seconds.
_CONFIGURATION_SECONDS = 0.5
_CONFIGURATION_POLL_SECONDS = 0.01
#: Seconds between updates of the scheduler's operator configuration while leading.
_OPERATIONS_POLL_SECONDS = 0.05


@attrs.frozen
class NodeSettings:
    """Identity and addresses of a process.

    Attributes
    ----------
    id : str
        Id of the process, unique in the system.
    zone : str
        Data centre of the VM that the process runs on.
    peer_address : str
        ``tcp://IP:PORT`` on which it listens for messages of other processes.
    advertised_address : str
        ``tcp://IP:PORT`` at which other processes reach it.
    hand_over_seconds : float
        Longest time for which this process leads after it was told to stop, in seconds.
    cpu : float
        Processor capacity of the process, in cores; 0 if unknown. Entries with much
        more capacity than others are preferred as leader.
    scheduling : SchedulingSettings
        Policies that are switched on while this process leads.
    drain_seconds : float
        Time for which this process serves clients after it was told to stop, in
        seconds.
    bounds : IntakeBounds
        Times within which jobs and cancellations must take effect.
    """

    id: str
    zone: str
    peer_address: str
    advertised_address: str
    hand_over_seconds: float = 5.0
    cpu: float = 0.0
    scheduling: SchedulingSettings = SchedulingSettings()
    drain_seconds: float = 0.0
    bounds: IntakeBounds = IntakeBounds()


class Entry:
    """An entry process without its HTTP interface.

    Parameters
    ----------
    settings : NodeSettings
        Identity and addresses.
    tables : TableService
        Service that stores the state.
    operations : OperationsFeed
        Feed of the operator configuration.
    clock : Clock
        Source of time.
    advice : AdviceService
        Client of the advice service.
    """

    def __init__(
        self,
        settings: NodeSettings,
        tables: TableService,
        operations: OperationsFeed,
        clock: Clock,
        advice: AdviceService,
    ) -> None:
        self._advice = advice
        self._started_at = clock.now()
        # Term of a leader that rejects the new fields of a query.
        self._plain_query_epoch = 0
        self.operations = operations
        self._settings = settings
        self._tables = tables
        self._clock = clock
        self._leadership = Leadership(
            settings.id, settings.advertised_address, tables, clock, settings.cpu
        )
        self._succession = Succession(
            clock, settings.drain_seconds, settings.hand_over_seconds
        )
        self._contact = LeaderContact(settings.id, self._leadership, clock)
        admission = Admission() if settings.scheduling.admission else None
        self.gateway = Gateway(settings.id, tables, self._contact, clock, admission)
        self._server = ReplyServer(
            settings.peer_address, settings.id, clock, self._handle
        )

    @property
    def ready(self) -> bool:
        """Whether clients' requests can be served."""
        return self.operations.current.version > 0

    def run(self, stop: threading.Event) -> None:
        """Follow the operator configuration and take part in elections.

        After ``stop`` this goes on, so that there is a leader as long as a process can
        lead: until clients were served for ``drain_seconds`` and another entry leads,
        at most for ``hand_over_seconds``.
        """
        finished = threading.Event()
        for target, args in (
            (self.operations.run, (finished,)),
            (self._limit_stop, (stop, finished)),
        ):
            threading.Thread(target=target, args=args, daemon=True).start()

        def take_part() -> None:
            if self._leadership.observe(self._query_leader):
                self._lead(finished)

        self._await_configuration(finished)
        while not finished.is_set() and not self._is_succeeded():
            run_step(take_part, logger, "look at the lease failed")
            finished.wait(_LEASE_POLL_SECONDS)
        finished.set()
        self._leadership.resign()
        self._leadership.stop()

    def describe(self) -> dict[str, Any]:
        """Return the state that this process shows in its state dump."""
        leader = self._leadership.leader
        term = self._contact.term
        return {
            "leads": self._leadership.leads,
            "leader": leader,
            "configuration": self.operations.current.version,
            "closed_zones": sorted(self.operations.current.closed_zones),
            "successors": self._succession.describe(),
            "term": term.scheduler.describe() if term is not None else None,
        }

    def explain(self, job_id: str) -> Result[dict[str, Any], Refusal]:
        """Return a description of a job for operators; only the leader has one."""
        term = self._contact.term
        if term is not None and not term.over.is_set():
            return term.explain(job_id)
        leader = self._leadership.leader
        known = f"; the leader is {leader.address}" if leader else ""
        return Err(Refusal(Code.NOT_OWNER, f"this process does not lead{known}"))

    def close(self) -> None:
        """Stop listening for messages of other processes."""
        self._server.close()

    def _await_configuration(self, finished: threading.Event) -> None:
        """Wait until the operator configuration was read, for a limited time."""
        give_up_at = self._clock.now() + _CONFIGURATION_SECONDS
        while not self.operations.confirmed_at and self._clock.now() < give_up_at:
            finished.wait(_CONFIGURATION_POLL_SECONDS)

    def _limit_stop(self, stop: threading.Event, finished: threading.Event) -> None:
        """Begin to stop after ``stop``, and end the lead when its time is over."""
        stop.wait()
        self._succession.begin_stop()
        self._leadership.is_stopping = True
        finished.wait(max(0.0, self._succession.leads_until - self._clock.now()))
        finished.set()
        # Otherwise the retries of a failing write would delay the end of the process.
        self._leadership.stop()

    def _is_succeeded(self) -> bool:
        """Return whether this process has drained and another entry leads."""
        return self._succession.is_drained and self._leadership.is_led_by_another()

    def _lead(self, stop: threading.Event) -> None:
        """Run one term of leadership."""
        term = Term(
            self._settings.id,
            self._settings.advertised_address,
            self._leadership,
            self._tables,
            self._clock,
            self._advice,
            self._settings.scheduling,
            self._settings.bounds,
        )
        self._contact.term = term
        watcher = threading.Thread(
            target=self._watch_operations, args=(term,), name="zones", daemon=True
        )
        watcher.start()
        try:
            term.run(stop)
        except Exception:
            # Clients are served on; this or another entry starts the next term.
            logger.exception("term ended by an unexpected error")
            self._leadership.resign()
        finally:
            term.over.set()
            self._contact.term = None

    def _watch_operations(self, term: Term) -> None:
        """Pass the operator configuration to the scheduler until the term ends."""

        def update() -> None:
            term.scheduler.update_operations(
                self.operations.current, self.operations.confirmed_at
            )

        while not term.over.wait(_OPERATIONS_POLL_SECONDS):
            run_step(update, logger, "operator configuration cannot be applied")

    def _query_leader(self, leader: LeaseRecord) -> bool:
        """Return False if the lease holder replies that it does not lead.

        A query names this entry as one that can lead, so none is sent before the
        operator configuration was read.
        """
        if not self.operations.confirmed_at:
            return True
        result = self._send_query(leader.epoch)
        if isinstance(result, Err) and result.err_value.code is Code.BAD_MESSAGE:
            # The leader is a process of an earlier release.
            self._plain_query_epoch = leader.epoch
            result = self._send_query(leader.epoch)
        reply = result.unwrap_or(None)
        if not isinstance(reply, LeaderQueryReply):
            return True
        self._leadership.record_leader_cpu(reply.cpu)
        return reply.leads

    def _send_query(self, epoch: int) -> Result[Message, Refusal]:
        query = LeaderQuery(
            self._settings.id,
            self._clock.now(),
            epoch,
            self._settings.advertised_address,
            self._settings.cpu,
        )
        if epoch != self._plain_query_epoch:
            succession = self._succession
            leads_until = succession.leads_until if succession.is_stopping else 0.0
            query = attrs.evolve(
                query, started_at=self._started_at, leads_until=leads_until
            )
        return self._contact.call(query, _LEADER_QUERY_SECONDS)

    def _handle_query(self, query: LeaderQuery) -> LeaderQueryReply:
        """Answer whether this process leads; hand over if it is time to."""
        self._succession.record(query)
        cpu = query.cpu if self._succession.can_be_preferred(query.address) else 0.0
        yielded = self._leadership.yield_lease(query.epoch, query.address, cpu)
        if not yielded and self._succession.choose_successor() == query.address:
            yielded = self._leadership.hand_over(query.epoch, query.address)
        return LeaderQueryReply(
            self._settings.id, self._clock.now(), not yielded, self._settings.cpu
        )

    def _handle(self, message: Message) -> Message:
        if isinstance(message, LeaderQuery):
            return self._handle_query(message)
        term = self._contact.term
        reply = None
        if term is not None and not term.over.is_set():
            reply = term.handle(message)
        if reply is None:
            return ErrorReply(
                self._settings.id,
                self._clock.now(),
                Code.NOT_OWNER.value,
                "this process does not lead",
            )
        return reply
