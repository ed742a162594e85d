"""Planned stop of an entry that leads."""

import threading

from pollenkeel_jobs.core.advice import AdviceService
from pollenkeel_jobs.core.entry import Entry, NodeSettings
from pollenkeel_jobs.core.operations import OperationsDecoder, OperationsFeed
from pollenkeel_kernel.core.clock import SystemClock
from pollenkeel_standins.processes import wait_until

CLOCK = SystemClock()


class NoAdvice(AdviceService):
    def ask(self, question):
        raise AssertionError(question)


class NoOrders(OperationsDecoder):
    def decode(self, rows, known):
        return known


def run_entry(tables, name, port, stop):
    feed = OperationsFeed("op", tables, NoOrders(), CLOCK)
    address = f"tcp://127.0.0.1:{port}"
    settings = NodeSettings(name, "z1", address, address, 2.0)
    entry = Entry(settings, tables, feed, CLOCK, NoAdvice())
    thread = threading.Thread(target=entry.run, args=(stop,), daemon=True)
    thread.start()
    return entry, thread


def test_leader_leads_on_while_nobody_can_take_over(tables, free_ports):
    """In a rolling restart no entry led for 3 s: the last one had resigned at once."""
    first_stop, second_stop = threading.Event(), threading.Event()
    first, thread = run_entry(tables, "entry-1", free_ports[0], first_stop)
    wait_until(lambda: first._leadership.leads, 5.0)
    first_stop.set()
    thread.join(0.5)
    assert first._leadership.leads
    second, _ = run_entry(tables, "entry-2", free_ports[1], second_stop)
    wait_until(lambda: second._leadership.leads, 5.0)
    thread.join(5.0)
    assert not thread.is_alive()
    second_stop.set()
    first.close()
    second.close()


def test_stop_without_a_successor_ends_in_time(tables, free_ports):
    """A leader must not wait beyond its time to stop."""
    stop = threading.Event()
    entry, thread = run_entry(tables, "entry-1", free_ports[0], stop)
    wait_until(lambda: entry._leadership.leads, 5.0)
    stop.set()
    thread.join(6.0)
    assert not thread.is_alive()
    entry.close()
