"""Sends the leader's orders to the agents."""

from __future__ import annotations

import threading
from functools import partial

import logbook
from result import Err, Result

from pollenkeel_jobs.core.messages import StopOrder, VmOrders, VmOrdersReply
from pollenkeel_jobs.core.passes import OrderBatch
from pollenkeel_jobs.core.term_context import TermContext
from pollenkeel_jobs.core.vms import Vm
from pollenkeel_kernel.core.guard import run_step
from pollenkeel_kernel.core.messages import Message
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.transport import PeerClient

logger = logbook.Logger("leader")

#: Seconds without a report after which the leader sends an agent empty orders, which
#: announce the leader's address.
_KEEPALIVE_SECONDS = 0.5
#: Timeout for an agent's reply to orders, in seconds.
_ORDER_TIMEOUT_SECONDS = 1.5
#: Timeout for sending orders to an agent, in seconds.
_SEND_TIMEOUT_SECONDS = 0.4


class VmOrderSender:
    """Sends orders to the agent of one VM from a dedicated thread.

    An agent answers starts only once its worker has, so stops that arrive meanwhile
    are sent by a second thread, which ends as soon as none is queued.
    """

    def __init__(self, term: TermContext, vm: Vm, peer: PeerClient) -> None:
        self._term = term
        self._vm = vm
        self._peer = peer
        self._condition = threading.Condition()
        self._work = OrderBatch(vm)
        self._is_sending_starts = False
        self._is_sending_stops = False
        threading.Thread(target=self._run, name=f"vm-{vm.name}", daemon=True).start()

    def add(self, work: OrderBatch) -> None:
        """Queue orders."""
        with self._condition:
            self._work.starts.extend(work.starts)
            self._work.stops.extend(work.stops)
            self._condition.notify()
            if not work.stops or not self._is_sending_starts or self._is_sending_stops:
                return
            self._is_sending_stops = True
        threading.Thread(
            target=self._send_stops, name=f"stops-{self._vm.name}", daemon=True
        ).start()

    def wake(self) -> None:
        """Wake the thread so that it notices the end of the term."""
        with self._condition:
            self._condition.notify()

    def _run(self) -> None:
        # Announces this leader to the agent at once.
        self._try_to_send(OrderBatch(self._vm))
        while not self._term.over.is_set():
            work = self._wait_for_work()
            silent = self._term.clock.now() - self._vm.heard_at > _KEEPALIVE_SECONDS
            if work.starts or work.stops or silent:
                self._try_to_send(work)
        self._peer.close()

    def _wait_for_work(self) -> OrderBatch:
        """Return the queued orders; none if the agent may need a keepalive."""
        with self._condition:
            self._is_sending_starts = False
            if not self._work.starts and not self._work.stops:
                self._condition.wait(_KEEPALIVE_SECONDS)
            work, self._work = self._work, OrderBatch(self._vm)
            self._is_sending_starts = bool(work.starts)
            return work

    def _try_to_send(self, work: OrderBatch) -> None:
        """Send orders; an unexpected error must not end the thread of the VM."""
        try:
            self._send(work)
        except Exception:
            logger.exception("orders not sent", extra={"vm": self._vm.name})
            self._term.scheduler.drop_orders(self._vm, work.starts)

    def _send(self, work: OrderBatch) -> None:
        """Send orders to the agent and pass the outcomes to the scheduler."""
        term = self._term
        if self._peer.address != self._vm.address:
            self._peer.close()
            self._peer = PeerClient(self._vm.address, term.clock)
        if not term.leadership.leads:
            # Nothing was sent, so the tasks can be placed again immediately.
            term.scheduler.drop_orders(self._vm, work.starts)
            return
        result = self._call(work)
        # Requeues the tasks whose starts were left out of the orders.
        term.scheduler.drop_orders(self._vm, work.starts)
        if isinstance(result, Err):
            logger.warning(
                "no reply to orders",
                extra={"vm": self._vm.name, "cause": result.err_value.detail},
            )
            self._peer.redial()
        elif isinstance(result.ok_value, VmOrdersReply):
            term.scheduler.process_outcomes(self._vm, result.ok_value.outcomes)

    def _call(self, work: OrderBatch) -> Result[Message, Refusal]:
        """Send the orders that still apply and return the agent's reply."""
        term = self._term
        starts = term.scheduler.make_starts(self._vm, work.starts)
        orders = VmOrders(
            term.name,
            term.clock.now(),
            term.scheduler.epoch,
            term.address,
            starts.worker,
            starts.deadline,
            starts.orders,
            work.stops,
            starts.payloads_by_job,
            term.scheduler.find_interfering_pairs(self._vm),
        )
        now = term.clock.now()
        return self._peer.call(
            orders, now + _ORDER_TIMEOUT_SECONDS, now + _SEND_TIMEOUT_SECONDS
        )

    def _send_stops(self) -> None:
        """Send stops until none is queued."""
        while stops := self._pop_stops():
            batch = OrderBatch(self._vm, stops=stops)
            run_step(partial(self._send_stop_batch, batch), logger, "stops not sent")

    def _send_stop_batch(self, batch: OrderBatch) -> None:
        """Send stops; lost ones are repeated by the scheduler.

        The connection is kept after a failure, because the reply to the starts is still
        to arrive on it.
        """
        if not self._term.leadership.leads:
            return
        result = self._call(batch)
        if isinstance(result, Err):
            logger.warning(
                "no reply to stops",
                extra={"vm": self._vm.name, "cause": result.err_value.detail},
            )

    def _pop_stops(self) -> list[StopOrder]:
        """Remove and return the queued stops; without any, the thread has to end."""
        with self._condition:
            stops, self._work.stops = self._work.stops, []
            self._is_sending_stops = bool(stops)
            return stops
