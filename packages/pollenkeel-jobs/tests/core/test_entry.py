"""Guards against a period without a leader when the leading entry is stopped."""

import threading

from result import Err, Ok

from pollenkeel_jobs.core.advice import AdviceService
from pollenkeel_jobs.core.entry import Entry, NodeSettings
from pollenkeel_jobs.core.leader import Term
from pollenkeel_jobs.core.leadership import LeaseRecord
from pollenkeel_jobs.core.messages import LeaderQueryReply
from pollenkeel_jobs.core.operations import OperationsDecoder, OperationsFeed
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_standins.processes import wait_until

CLOCK = SystemClock()


class UnusedAdviceService(AdviceService):
    def ask(self, question):
        raise AssertionError(question)


class UnchangedOperations(OperationsDecoder):
    def decode(self, rows, known):
        return known


def start_entry(tables, name, port, stop, cpu=0.0):
    feed = OperationsFeed("op", tables, UnchangedOperations(), CLOCK)
    address = f"tcp://127.0.0.1:{port}"
    settings = NodeSettings(name, "z1", address, address, 2.0, cpu)
    entry = Entry(settings, tables, feed, CLOCK, UnusedAdviceService())
    thread = threading.Thread(target=entry.run, args=(stop,), daemon=True)
    thread.start()
    return entry, thread


def test_stopping_leader_leads_until_a_successor_is_available(tables, free_ports):
    """Guards against a leader that resigns at once although no entry can take over.

    In a rolling restart, this left the system without a leader for 3 s.
    """
    first_stop, second_stop = threading.Event(), threading.Event()
    first, thread = start_entry(tables, "entry-1", free_ports[0], first_stop)
    wait_until(lambda: first._leadership.leads, 5.0)
    first_stop.set()
    thread.join(0.5)
    assert first._leadership.leads
    second, _ = start_entry(tables, "entry-2", free_ports[1], second_stop)
    wait_until(lambda: second._leadership.leads, 5.0)
    thread.join(5.0)
    assert not thread.is_alive()
    second_stop.set()
    first.close()
    second.close()


def test_entry_that_is_told_to_stop_while_it_starts_can_lead(tables, free_ports):
    """Guards against a free lease beside a process that serves and could take it."""
    stop = threading.Event()
    stop.set()
    entry, thread = start_entry(tables, "entry-1", free_ports[0], stop)
    wait_until(lambda: entry._leadership.leads, 2.0)
    thread.join(6.0)
    assert not thread.is_alive()
    assert not entry._leadership.leads
    entry.close()


def test_leader_of_an_earlier_release_is_asked_again(tables, free_ports, monkeypatch):
    """Guards against an upgrade in which nobody hears of a leader that has resigned.

    Earlier releases reject a query with fields that they don't know.
    """

    asked = []

    def call(query, seconds):
        asked.append(query)
        if query.started_at:
            return Err(Refusal(Code.BAD_MESSAGE, "unknown field"))
        return Ok(LeaderQueryReply("entry-0", CLOCK.now(), leads=False))

    address = f"tcp://127.0.0.1:{free_ports[0]}"
    feed = OperationsFeed("op", tables, UnchangedOperations(), CLOCK)
    feed.confirmed_at = CLOCK.now()
    settings = NodeSettings("entry-1", "z1", address, address)
    entry = Entry(settings, tables, feed, CLOCK, UnusedAdviceService())
    monkeypatch.setattr(entry._contact, "call", call)
    for epoch in (1, 1, 2):
        leader = LeaseRecord(epoch, "entry-0/1", "tcp://entry-0", 1)
        assert not entry._query_leader(leader)
    # Without the fields once they were rejected, until the next term.
    fields_sent = [bool(query.started_at) for query in asked]
    assert fields_sent == [True, False, False, True, False]
    entry.close()


def test_stop_without_a_successor_is_limited_in_time(tables, free_ports):
    """Guards against a leader that waits for a successor past its hand-over time."""
    stop = threading.Event()
    entry, thread = start_entry(tables, "entry-1", free_ports[0], stop)
    wait_until(lambda: entry._leadership.leads, 5.0)
    stop.set()
    thread.join(6.0)
    assert not thread.is_alive()
    entry.close()


def test_entry_with_much_more_capacity_takes_over_from_a_small_one(tables, free_ports):
    """Guards against a fleet that a small entry leads because it started first."""
    stop = threading.Event()
    small, _ = start_entry(tables, "entry-1", free_ports[0], stop, 0.3)
    wait_until(lambda: small._leadership.leads, 5.0)
    large, _ = start_entry(tables, "entry-2", free_ports[1], stop, 2.0)
    wait_until(lambda: large._leadership.leads, 5.0)
    assert not small._leadership.leads
    stop.set()
    small.close()
    large.close()


def test_unexpected_error_in_a_term_does_not_end_the_process(
    tables, free_ports, monkeypatch
):
    """Guards against an entry that serves no clients because a pass failed."""
    stop = threading.Event()
    terms = []

    def fail_once(term, stop):
        terms.append(term)
        if len(terms) == 1:
            raise KeyError("unexpected")
        stop.wait(5.0)

    monkeypatch.setattr(Term, "run", fail_once)
    entry, thread = start_entry(tables, "entry-1", free_ports[0], stop)
    wait_until(lambda: len(terms) > 1, 5.0)
    assert thread.is_alive()
    assert terms[0].over.is_set()
    stop.set()
    entry.close()


class TermDouble:
    """Term whose scheduler fails at the first update of the configuration."""

    def __init__(self):
        self.over = threading.Event()
        self.scheduler = self
        self.updates = 0

    def update_operations(self, operations, confirmed_at):
        self.updates += 1
        if self.updates == 1:
            raise ZeroDivisionError
        self.over.set()


def test_error_in_one_update_does_not_stop_the_operator_configuration(
    tables, free_ports
):
    """Guards against a leader that starts nothing after one odd configuration."""
    feed = OperationsFeed("op", tables, UnchangedOperations(), CLOCK)
    address = f"tcp://127.0.0.1:{free_ports[0]}"
    settings = NodeSettings("entry-1", "z1", address, address)
    entry = Entry(settings, tables, feed, CLOCK, UnusedAdviceService())
    term = TermDouble()
    entry._watch_operations(term)
    entry.close()
    assert term.updates == 2
