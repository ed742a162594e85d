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
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import Leadership, LeaseRecord
from pollenkeel_jobs.core.messages import LeaderQuery, LeaderQueryReply
from pollenkeel_jobs.core.operations import OperationsFeed
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
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
#: Seconds after its query during which another entry counts as able to take over.
_STANDBY_SECONDS = 1.5
#: Seconds between checks for a successor while stopping.
_STANDBY_POLL_SECONDS = 0.1
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
        Longest time that a stopping leader waits for a successor, in seconds.
    cpu : float
        Processor capacity of the process, in cores; 0 if unknown. Entries with much
        more capacity than others are preferred as leader.
    scheduling : SchedulingSettings
        Policies that are switched on while this process leads.
    """

    id: str
    zone: str
    peer_address: str
    advertised_address: str
    hand_over_seconds: float = 5.0
    cpu: float = 0.0
    scheduling: SchedulingSettings = SchedulingSettings()


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
        self._standby_seen_at = 0.0
        self.operations = operations
        self._settings = settings
        self._tables = tables
        self._clock = clock
        self._leadership = Leadership(
            settings.id, settings.advertised_address, tables, clock, settings.cpu
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
        """Follow the operator configuration and take part in elections until ``stop``.

        A leader continues to lead until another entry can take over, at most for
        ``hand_over_seconds``.
        """
        stopped = threading.Event()
        for target, args in (
            (self.operations.run, (stopped,)),
            (self._await_successor, (stop, stopped)),
        ):
            threading.Thread(target=target, args=args, daemon=True).start()

        def take_part() -> None:
            if self._leadership.observe(self._query_leader):
                self._lead(stopped)

        while not stop.is_set():
            run_step(take_part, logger, "look at the lease failed")
            stop.wait(_LEASE_POLL_SECONDS)
        stopped.set()
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

    def _await_successor(self, stop: threading.Event, stopped: threading.Event) -> None:
        """Set ``stopped`` once ``stop`` is set and another entry can take over."""
        stop.wait()
        deadline = self._clock.now() + self._settings.hand_over_seconds
        while self._clock.now() < deadline and not stopped.is_set():
            if self._clock.now() - self._standby_seen_at < _STANDBY_SECONDS:
                break
            stopped.wait(_STANDBY_POLL_SECONDS)
        stopped.set()

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
        while not term.over.wait(_OPERATIONS_POLL_SECONDS):
            term.scheduler.update_operations(
                self.operations.current, self.operations.confirmed_at
            )

    def _query_leader(self, leader: LeaseRecord) -> bool:
        """Return False if the lease holder replies that it does not lead."""
        query = LeaderQuery(
            self._settings.id,
            self._clock.now(),
            leader.epoch,
            self._settings.advertised_address,
            self._settings.cpu,
        )
        reply = self._contact.ask(query, _LEADER_QUERY_SECONDS)
        if not isinstance(reply, LeaderQueryReply):
            return True
        self._leadership.record_leader_cpu(reply.cpu)
        return reply.leads

    def _handle(self, message: Message) -> Message:
        if isinstance(message, LeaderQuery):
            self._standby_seen_at = self._clock.now()
            leads = not self._leadership.yield_lease(
                message.epoch, message.address, message.cpu
            )
            return LeaderQueryReply(
                self._settings.id, self._clock.now(), leads, self._settings.cpu
            )
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
