"""Rolling restarts: all entries are stopped and started in turn.

Real processes against stand-ins of the platform. The starts of entries are slowed,
because the time without a leader grows with the time that a process takes to come back.
"""

import itertools
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime

import attrs
import pytest

from pollenkeel_standins.job_site import JobSite

ENTRIES = 3
#: Seconds that the platform leaves a process between SIGTERM and SIGKILL.
GRACE_SECONDS = 6.0
#: Seconds for which an entry can lead after SIGTERM: the grace time less the reserve
#: for its last write.
LEAD_SECONDS = GRACE_SECONDS - 1.5
#: Seconds without a leader that a hand-over may cost if the reply to a query is lost:
#: the time-out of the query (0.4), its interval (0.6) and that of the reads of the
#: lease row (0.3).
HAND_OVER_SECONDS = 1.3
#: Seconds from the ready line of an entry until it can lead.
FIRST_READ_SECONDS = 0.5
#: Time that the platform takes to start a process that has ended.
RETURN_SECONDS = 1.0
LASTING = [{"Count": 2, "Cpu": 200, "MemMb": 50, "LongRunning": True}]
LEAD_ENDS = ("lease given up to another entry", "resigned", "leadership lost")


@attrs.frozen
class Span:
    """A period; ``end`` is infinite while it goes on."""

    start: float
    end: float


class SlowSite(JobSite):
    """A site whose entries take ``delay`` seconds longer to start after a restart."""

    delay = 0.0

    def make_command(self, role):
        code = (
            "import runpy, time; "
            f"time.sleep({self.delay if role == 'job-entry' else 0.0}); "
            "runpy.run_module('pollenkeel_platform', run_name='__main__')"
        )
        return [sys.executable, "-c", code, role]


def is_logged(line):
    return "time" in line


def parse_time(line):
    return datetime.fromisoformat(line["time"]).replace(tzinfo=UTC).timestamp()


def find_terms(lines):
    """Return the periods in which a process led, from its log lines."""
    started_at = None
    for line in sorted(filter(is_logged, lines), key=lambda line: line["time"]):
        if line.get("event") == "became leader":
            started_at = parse_time(line)
        elif line.get("event") in LEAD_ENDS and started_at is not None:
            yield Span(started_at, parse_time(line))
            started_at = None
    if started_at is not None:
        yield Span(started_at, float("inf"))


def find_gaps(spans, start, end):
    """Return the parts of a period that no span covers."""
    covered_until = start
    for span in sorted(spans, key=lambda span: span.start):
        if span.start > covered_until:
            yield Span(covered_until, min(span.start, end))
        covered_until = max(covered_until, span.end)
        if covered_until >= end:
            return
    yield Span(covered_until, end)


class RollingRestart:
    """Stops and starts the entries of a site in turn and records who led and could."""

    def __init__(self, site, gap):
        self._site = site
        self._gap = gap
        self._lock = threading.Lock()
        self._spans_able = []
        self.terms = []
        self.statuses = []
        self._ready_at = {n: 0.0 for n in range(ENTRIES)}

    def run(self, rounds):
        """Restart each entry; in further rounds it is stopped once it has started."""
        with ThreadPoolExecutor(ENTRIES) as pool:
            restarts = []
            for number in range(ENTRIES):
                restarts.append(pool.submit(self._restart, number, rounds))
                time.sleep(self._gap)
            for restart in restarts:
                restart.result()

    def finish(self):
        """Add the entries that still run to the record."""
        for number in range(ENTRIES):
            process = self._site.processes_by_name[f"entry-{number}"]
            self.terms += find_terms(process.log_lines())
            self._spans_able.append(Span(self._ready_at[number], float("inf")))

    def find_unled_seconds(self, start, end):
        """Yield, for each period without a leader, its length and what of it is due.

        Due is the part in which no process was able to lead.
        """
        for gap in find_gaps(self.terms, start, end):
            due = sum(
                span.end - span.start
                for span in find_gaps(self._spans_able, gap.start, gap.end)
            )
            yield gap.end - gap.start, due

    def _restart(self, number, rounds):
        for _ in range(rounds):
            self._restart_once(number)

    def _restart_once(self, number):
        name = f"entry-{number}"
        process = self._site.processes_by_name[name]
        stopped_at = time.time()
        process.terminate()
        self.statuses.append(process.wait(GRACE_SECONDS))
        with self._lock:
            self.terms += find_terms(process.log_lines())
            able_until = min(stopped_at + LEAD_SECONDS, process.ended_at)
            self._spans_able.append(Span(self._ready_at[number], able_until))
        time.sleep(RETURN_SECONDS)
        self._site.start(name).wait_ready()
        self._ready_at[number] = time.time() + FIRST_READ_SECONDS


@pytest.mark.parametrize(
    ("gap", "delay", "rounds"), [(2.0, 0.5, 1), (1.1, 1.5, 1), (1.1, 0.0, 3)]
)
def test_one_entry_leads_during_a_rolling_restart(gap, delay, rounds, tmp_path):
    """Guards against time without a leader, or with two, in a rolling restart.

    An entry that was told to stop while it started never took part in the election, and
    a leader resigned 2.5 s after it was told to, whether another could lead or not.
    """
    with SlowSite(tmp_path, entries=ENTRIES, vms=2) as site:
        site.submit("lasting", LASTING, "run 100")
        site.wait_for_state("lasting", "running")
        site.find_leader()
        site.delay = delay
        began_at = time.time()
        restart = RollingRestart(site, gap)
        restart.run(rounds)
        # Without a leader at this moment the period ends only here.
        site.submit("after", [{"Count": 1, "Cpu": 100, "MemMb": 10}], "run 0.1")
        site.wait_for_state("after", "done")
        ended_at = time.time()
        restart.finish()
        unled = list(restart.find_unled_seconds(began_at, ended_at))
        print("periods without a leader, and what of them is due:", unled)
        print("terms:", [(t.start - began_at, t.end - began_at) for t in restart.terms])
        assert set(restart.statuses) == {0}
        assert all(length <= due + HAND_OVER_SECONDS for length, due in unled), unled
        terms = sorted(restart.terms, key=lambda term: term.start)
        for before, after in itertools.pairwise(terms):
            assert before.end <= after.start, terms
        runs = [r for r in site.read_runs() if r["task"].startswith("lasting.")]
        if all(due == 0.0 for _, due in unled):
            assert {run["run"] for run in runs} == {1}, runs
