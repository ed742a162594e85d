"""Assignment of free slots to waiting requests."""

from __future__ import annotations

import itertools
import random
import threading
from collections.abc import Callable, Iterator

import attrs
import logbook
from result import Err, Ok, Result

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.membership import AgentRecord
from pollenkeel_entry.requests.metrics import WAIT_SECONDS, WAITING
from pollenkeel_entry.requests.request import ServiceRequest
from pollenkeel_entry.requests.slots import PROBE_INTERVAL, SUSPECT_SECONDS, SlotHint
from pollenkeel_entry.requests.waiting import ServiceQueue, SlotLease, Waiter
from pollenkeel_kernel.config.model import ServiceConfig
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.messages import Announce
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.policy.request_share import REQUEST_SHARES, TeamLoad
from pollenkeel_kernel.policy.upstream_choice import (
    UPSTREAM_CHOICES,
    UpstreamChoice,
    UpstreamLoad,
)

logger = logbook.Logger("router")

_DEFAULT_SERVICE = ServiceConfig()
#: Weight of a new sample in the mean answer time of a service.
_SAMPLE_WEIGHT = 0.1
#: Least slot time charged to a team for an attempt, so that rejected attempts also
#: count.
_MIN_CHARGE_SECONDS = 0.001
#: A team counts as active for this many seconds after a request.
_TEAM_ACTIVE_SECONDS = 2.0
#: Codes after which the router avoids the upstream for ``SUSPECT_SECONDS``.
_FAILURE_CODES = frozenset(
    {
        Code.UPSTREAM_UNREACHABLE,
        Code.PEER_UNREACHABLE,
        Code.NO_REPLY,
        Code.STALE_AGENT_EPOCH,
        Code.CLOCK_SKEW,
        Code.START_EXPIRED,
        Code.CAPACITY_UNKNOWN,
    }
)
#: Codes after which the router skips the upstream until its next announcement.
_LEAVING_CODES = frozenset(
    {Code.UPSTREAM_LEAVING, Code.AGENT_LEAVING, Code.NO_UPSTREAM}
)


class Router:
    """Assigns free slots to waiting requests.

    The configured policies choose the next team by its share and the upstream that
    gets the request.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    is_silent : callable
        Returns whether an agent stopped answering heartbeats.
    seed : int, optional
        Seed of the random upstream choice.
    """

    def __init__(
        self,
        context: EntryContext,
        is_silent: Callable[[str], bool],
        seed: int | None = None,
    ) -> None:
        self._context = context
        self._is_silent = is_silent
        self._generator = random.Random(seed)
        self._lock = threading.Lock()
        self._probe_needed = threading.Condition(self._lock)
        self._queues_by_service: dict[str, ServiceQueue] = {}
        self._arrivals = itertools.count()
        self._waiting = 0
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run_probes, name="router", daemon=True
        )
        context.dump.register("router", self._dump)

    def start(self) -> None:
        """Start the thread that retries full and recently failed upstreams."""
        self._thread.start()

    def close(self) -> None:
        """Stop the probing thread."""
        with self._lock:
            self._closed.set()
            self._probe_needed.notify_all()

    def acquire(
        self,
        request: ServiceRequest,
        avoid: frozenset[str] = frozenset(),
        strict: bool = False,
        arrival: int | None = None,
    ) -> Result[SlotLease, Refusal]:
        """Wait for a slot of the request's service.

        Parameters
        ----------
        request : ServiceRequest
            Request to send; its deadline limits the wait.
        avoid : frozenset[str]
            Agents to use only if there are no others.
        strict : bool
            Never use the agents in ``avoid``, and do not wait.
        arrival : int, optional
            Arrival number of an earlier lease of the request, with which it keeps its
            position among the waiting requests of its team.

        Returns
        -------
        Result[SlotLease, Refusal]
            Code 2002 if the wait would exceed the deadline, 2012 if no upstream was
            announced within ``peer_silent_after``, 2016 if no upstream is in an allowed
            data centre that is not drained, 2020 if too many requests are waiting.
        """
        clock = self._context.clock
        started = clock.now()
        with self._lock:
            queue = self._queues_by_service.setdefault(request.service, ServiceQueue())
            refusal = self._check_acceptance(request, queue, started)
            if refusal is not None:
                return Err(refusal)
            if arrival is None:
                arrival = next(self._arrivals)
            waiter = Waiter(request.team, arrival, avoid, strict)
            queue.add(waiter)
            queue.last_request_at_by_team[request.team] = started
            self._change_waiting(1)
            self._grant(request.service, queue)
            if waiter.lease is None and not strict:
                self._probe_needed.notify()
            latest = self._wait_deadline(request, queue, started)
        if not strict:
            waiter.ready.wait(max(0.0, latest - clock.now()))
        with self._lock:
            if waiter.lease is None:
                self._remove(queue, waiter)
                return Err(self._timeout_refusal(request, queue))
        WAIT_SECONDS.labels(request.service, request.team).observe(
            clock.now() - started
        )
        return Ok(waiter.lease)

    def release(self, lease: SlotLease, code: Code, free_slots: int = 0) -> None:
        """Return a slot and update the estimates from the result of the attempt.

        Parameters
        ----------
        lease : SlotLease
            Slot of the finished attempt.
        code : Code
            Result of the attempt.
        free_slots : int
            Free slots reported by the agent's reply.
        """
        now = self._context.clock.now()
        agent_id = lease.announce.sender
        with self._lock:
            queue = self._queues_by_service[lease.service]
            queue.change_in_flight(lease.team, -1, now)
            held = max(now - lease.started_at, _MIN_CHARGE_SECONDS)
            # The lower limit avoids a division by zero for a team without a share.
            queue.used_by_team[lease.team] += held / max(
                self._find_share(lease.team), 1e-6
            )
            hint = queue.hints_by_agent.get(agent_id)
            if hint is not None:
                hint.own = max(0, hint.own - 1)
                hint.apply_reply(free_slots)
                if code is Code.VM_FULL:
                    hint.mark_full(now)
                elif code in _LEAVING_CODES:
                    self._skip_leaving_upstream(queue, hint, now)
                elif code in _FAILURE_CODES:
                    hint.suspect_until = now + SUSPECT_SECONDS
                self._remove_if_expired(queue, agent_id)
            if code is Code.OK:
                sample = now - lease.started_at - queue.mean_seconds
                queue.mean_seconds += _SAMPLE_WEIGHT * sample
            self._grant(lease.service, queue)

    def _skip_leaving_upstream(
        self, queue: ServiceQueue, hint: SlotHint, now: float
    ) -> None:
        """Skip an upstream that is shutting down or gone until its next announcement.

        Otherwise waiting requests use up their attempts there. An upstream that is the
        only known one is tried again after the interval in which others announce
        themselves, in case it has been replaced without an announcement.
        """
        if self._has_other_upstream(queue, hint):
            hint.leaving = True
        else:
            hint.blocked_until = now + self._context.settings.timing.heartbeat_interval

    def handle_announcement(self, announce: Announce) -> None:
        """Apply an agent's announcement to the estimates of its upstreams."""
        with self._lock:
            statuses_by_service = {u.service: u for u in announce.upstreams}
            for service in statuses_by_service.keys() | self._queues_by_service.keys():
                queue = self._queues_by_service.setdefault(service, ServiceQueue())
                status = statuses_by_service.get(service)
                hint = queue.hints_by_agent.get(announce.sender)
                if status is not None:
                    if hint is None:
                        hint = queue.hints_by_agent[announce.sender] = SlotHint()
                    hint.apply_announcement(status)
                    hint.leaving = status.leaving or announce.state == "leaving"
                elif hint is not None:
                    hint.leaving = True
                self._grant(service, queue)

    def reassign_slots(self) -> None:
        """Assign free slots again after the set of usable agents changed."""
        with self._lock:
            for service, queue in self._queues_by_service.items():
                for agent_id in list(queue.hints_by_agent):
                    self._remove_if_expired(queue, agent_id)
                self._grant(service, queue)

    def hedge_delay(self, lease: SlotLease) -> float:
        """Return the delay in seconds before a second attempt may be sent.

        This is the announced 99th percentile of the upstream's answer time, or three
        times the mean answer time of the service if none is announced; at least 10 ms.
        """
        with self._lock:
            queue = self._queues_by_service[lease.service]
            hint = queue.hints_by_agent.get(lease.announce.sender)
            announced = hint.p99_seconds if hint is not None else 0.0
            return max(announced or 3 * queue.mean_seconds, 0.01)

    def _check_acceptance(
        self, request: ServiceRequest, queue: ServiceQueue, now: float
    ) -> Refusal | None:
        """Return why the request cannot wait for a slot, or None if it can."""
        if now >= request.deadline:
            return Refusal(Code.DEADLINE_TOO_CLOSE, "the deadline has passed")
        known = self._accepting_upstreams(queue)
        usable = self._usable_hints(request.service, known)
        if known and not usable:
            return _drained_refusal(request.service)
        waiting = queue.waiting
        if self._waiting >= self._context.settings.limits.waiting_requests:
            return Refusal(Code.BACKLOG_FULL, f"{self._waiting} requests wait")
        if not known or not waiting:
            return None
        slots = max(1, sum(h.slots for h in usable))
        wait = 0.0
        if waiting >= slots:
            wait = waiting / slots * queue.mean_seconds
        if now + wait + queue.mean_seconds > request.deadline:
            return Refusal(
                Code.DEADLINE_TOO_CLOSE,
                f"expected wait {wait:.3f} s behind {waiting} requests",
            )
        return None

    def _wait_deadline(
        self, request: ServiceRequest, queue: ServiceQueue, now: float
    ) -> float:
        """Return the latest time at which the request can still use a slot."""
        if self._accepting_upstreams(queue):
            return request.deadline - queue.mean_seconds
        # Within this time, an entry that has just started receives the announcements of
        # all upstreams, and a replaced upstream announces itself.
        timing = self._context.settings.timing
        return min(request.deadline, now + timing.peer_silent_after)

    def _timeout_refusal(self, request: ServiceRequest, queue: ServiceQueue) -> Refusal:
        known = self._accepting_upstreams(queue)
        if not known:
            return Refusal(Code.NO_UPSTREAM, f"no upstream of {request.service!r}")
        if not self._usable_hints(request.service, known):
            return _drained_refusal(request.service)
        detail = f"{queue.waiting} more requests wait for {request.service}"
        return Refusal(Code.DEADLINE_TOO_CLOSE, detail)

    def _accepting_upstreams(
        self, queue: ServiceQueue
    ) -> list[tuple[AgentRecord, SlotHint]]:
        return [(r, h) for r, h in self._live_upstreams(queue) if not h.leaving]

    def _usable_hints(
        self, service: str, known: list[tuple[AgentRecord, SlotHint]]
    ) -> list[SlotHint]:
        """Return the hints of the upstreams whose data centre may serve a service."""
        accepts_work = self._make_agent_filter(service)
        return [hint for record, hint in known if accepts_work(record)]

    def _remove_if_expired(self, queue: ServiceQueue, agent_id: str) -> None:
        # Keep the hint while attempts are in flight, because they still release slots.
        unused = queue.hints_by_agent[agent_id].own == 0
        if unused and self._context.agents.get(agent_id) is None:
            del queue.hints_by_agent[agent_id]

    def _live_upstreams(
        self, queue: ServiceQueue
    ) -> Iterator[tuple[AgentRecord, SlotHint]]:
        for agent_id, hint in queue.hints_by_agent.items():
            record = self._context.agents.get(agent_id)
            if record is not None:
                yield record, hint

    def _has_other_upstream(self, queue: ServiceQueue, hint: SlotHint) -> bool:
        others = (h for _, h in self._live_upstreams(queue) if h is not hint)
        return any(not other.leaving for other in others)

    def _make_agent_filter(self, service: str) -> Callable[[AgentRecord], bool]:
        """Return a predicate that tells whether an agent may serve a service."""
        drained = self._context.config.drained()
        allowed = self._find_service(service).data_centres

        def accepts_work(record: AgentRecord) -> bool:
            data_centre = record.announce.data_centre
            if data_centre in drained:
                return False
            return not allowed or data_centre in allowed

        return accepts_work

    def _find_share(self, team: str) -> float:
        effective = self._context.config.effective()
        teams = {} if effective is None else effective.teams
        return teams[team].share if team in teams else 0.0

    def _find_service(self, service: str) -> ServiceConfig:
        effective = self._context.config.effective()
        services = {} if effective is None else effective.services
        return services.get(service, _DEFAULT_SERVICE)

    def _candidates(self, service: str, queue: ServiceQueue) -> list[UpstreamLoad]:
        """Return the usable upstreams with free slots.

        Upstreams that failed recently are included only if there are no others.
        """
        now = self._context.clock.now()
        accepts_work = self._make_agent_filter(service)
        eligible: list[tuple[UpstreamLoad, bool]] = []
        records_by_id = self._context.agents.get_all(queue.hints_by_agent)
        for agent_id, record in records_by_id.items():
            hint = queue.hints_by_agent[agent_id]
            hint.assume_probe_slot(now)
            if hint.free <= 0 or hint.leaving or self._is_silent(agent_id):
                continue
            if hint.blocked_until > now:
                continue
            if not accepts_work(record):
                continue
            load = UpstreamLoad(agent_id, hint.slots, hint.free, hint.p99_seconds)
            eligible.append((load, hint.suspect_until > now))
        healthy = [load for load, suspect in eligible if not suspect]
        return healthy or [load for load, _ in eligible]

    def _grant(self, service: str, queue: ServiceQueue) -> None:
        """Assign free slots of a service until no waiting request can get one."""
        while queue.waiters_by_team:
            candidates = self._candidates(service, queue)
            if not candidates or not self._grant_one(service, queue, candidates):
                return

    def _grant_one(
        self, service: str, queue: ServiceQueue, candidates: list[UpstreamLoad]
    ) -> bool:
        """Assign one slot; return False if no waiting request can use one."""
        free = sum(candidate.free_slots for candidate in candidates)
        for waiter in self._waiters_in_order(queue, free):
            others = [c for c in candidates if c.agent_id not in waiter.avoid]
            if not others and waiter.strict:
                continue
            choice = self._make_upstream_choice().choose(others or candidates)
            record = self._context.agents.get(choice.agent_id)
            if record is None:
                return False
            queue.hints_by_agent[choice.agent_id].own += 1
            now = self._context.clock.now()
            queue.change_in_flight(waiter.team, 1, now)
            self._remove(queue, waiter)
            waiter.lease = SlotLease(
                service,
                waiter.team,
                record,
                record.announce,
                now,
                waiter.arrival,
            )
            waiter.ready.set()
            return True
        return False

    def _waiters_in_order(self, queue: ServiceQueue, free: int) -> Iterator[Waiter]:
        """Yield the first waiter of each team that may take a slot, best team first."""
        effective = self._context.config.effective()
        teams = {} if effective is None else effective.teams
        name = "none" if effective is None else effective.policy.request_share
        policy = REQUEST_SHARES.get(name)()
        slots = sum(hint.slots for hint in queue.hints_by_agent.values())
        now = self._context.clock.now()
        since = now - _TEAM_ACTIVE_SECONDS
        active = {
            team: teams[team].share
            for team, requested_at in queue.last_request_at_by_team.items()
            if team in teams and requested_at > since
        }
        loads = [
            TeamLoad(
                team,
                self._find_share(team),
                queue.in_flight_by_team[team],
                waiters[0].arrival,
                queue.average_in_flight(team, now),
                queue.used_by_team[team],
            )
            for team, waiters in queue.waiters_by_team.items()
        ]
        while loads:
            load = policy.next_team(loads)
            loads.remove(load)
            others = sum(share for team, share in active.items() if team != load.team)
            if policy.may_borrow(load, free, slots, others):
                yield queue.waiters_by_team[load.team][0]

    def _make_upstream_choice(self) -> UpstreamChoice:
        effective = self._context.config.effective()
        name = "random" if effective is None else effective.policy.upstream_choice
        return UPSTREAM_CHOICES.get(name)(self._generator)

    def _remove(self, queue: ServiceQueue, waiter: Waiter) -> None:
        waiters = queue.waiters_by_team[waiter.team]
        waiters.remove(waiter)
        if not waiters:
            del queue.waiters_by_team[waiter.team]
        self._change_waiting(-1)

    def _change_waiting(self, change: int) -> None:
        self._waiting += change
        WAITING.set(self._waiting)

    def _run_probes(self) -> None:
        while True:
            with self._lock:
                while not self._waiting and not self._closed.is_set():
                    self._probe_needed.wait()
            # Slots are assigned at intervals, because no event signals that an upstream
            # need no longer be avoided after a failure or assumed to be full.
            if self._closed.wait(PROBE_INTERVAL):
                return
            with self._lock:
                for service, queue in self._queues_by_service.items():
                    self._grant(service, queue)

    def _dump(self) -> dict[str, object]:
        with self._lock:
            return {
                service: {
                    "waiting": queue.waiting,
                    "mean_seconds": queue.mean_seconds,
                    "in_flight_by_team": dict(queue.in_flight_by_team),
                    "hints_by_agent": {
                        i: attrs.asdict(h) for i, h in queue.hints_by_agent.items()
                    },
                }
                for service, queue in self._queues_by_service.items()
            }


def _drained_refusal(service: str) -> Refusal:
    return Refusal(
        Code.DATA_CENTRE_DRAINED,
        f"every upstream of {service!r} is in a drained or disallowed data centre",
    )
