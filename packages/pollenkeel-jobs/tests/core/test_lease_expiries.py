"""Guards against waits that begin anew with each leader, and against early ones."""

import math

import msgpack
import pytest
from jobs_doubles import Site, make_job, succeed

from pollenkeel_jobs.core.lease_expiries import LeaseExpiries
from pollenkeel_jobs.core.names import LEASE_EXPIRIES
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_jobs.core.tables import Row
from pollenkeel_kernel.core.clock import ManualClock

TASK = "j1.0.0.0"
JOB = make_job(steps=(StepSpec(1, Demand(1000, 1000), 1.0, long_running=True),))
#: Time of the table service's clock less that of the entries, in seconds.
SERVICE_OFFSET = -1_699_000_000.0
#: Longest lease of a worker with margins, in seconds; see ``Fleet``.
LEASE_SECONDS = 5.55
#: Interval of the reports and passes in these tests, in seconds.
STEP = 0.1


def record_time(site):
    now = site.clock.now()
    site.scheduler.expiries.record_service_time(now + SERVICE_OFFSET, now)


def list_rows(site):
    return [
        Row(table, key, value, 1)
        for (table, key), value in site.rows_by_key.items()
        if table == LEASE_EXPIRIES and value is not None
    ]


def load_rows(site, previous_epoch, skew=0.0):
    """Let a new leader load the rows; its clock is ahead by ``skew`` seconds."""
    now = site.clock.now()
    site.scheduler.expiries.load(
        list_rows(site), previous_epoch, now - skew + SERVICE_OFFSET, now
    )
    record_time(site)


def run(site, seconds):
    """Step for a time; return the time at which the task ran, or None."""
    for _ in range(round(seconds / STEP)):
        site.clock.advance(STEP)
        site.step()
        if site.running:
            return site.clock.now()
    return None


def lose_worker(site):
    """Take the VM away that runs the task; return the other one."""
    lost = next(vm for vm in site.vms if vm.running)
    lost.away = True
    lost.running.clear()
    return next(vm for vm in site.vms if vm is not lost)


@pytest.fixture
def site(clock):
    """Two VMs, of which one runs the only task."""
    site = Site(clock, vms=2)
    record_time(site)
    site.scheduler.add_job(JOB)
    site.step()
    assert site.running == [TASK]
    return site


def follow(site, previous_epoch=None):
    """Return the site of the next leader, which has loaded the rows."""
    following = succeed(site, [JOB])
    previous = site.scheduler.epoch if previous_epoch is None else previous_epoch
    load_rows(following, previous)
    return following


@pytest.mark.parametrize("term", [1.5, 2.5])
def test_leaders_in_turn_wait_for_a_lost_worker_only_once(site, clock, term):
    """Guards against lasting tasks that stay away while leaders change (review/12).

    Each leader waited anew for the lease of the lost worker.
    """
    lose_worker(site)
    lost_at = clock.now()
    ran_at = None
    while ran_at is None and clock.now() - lost_at < 20.0:
        ran_at = run(site, term)
        site = site if ran_at else follow(site)
    assert ran_at is not None
    assert LEASE_SECONDS <= ran_at - lost_at < LEASE_SECONDS + 1.0


def test_rows_of_an_earlier_leader_do_not_count(site, clock):
    """Guards against a task on two VMs after a release that knows no such rows led.

    It may have granted the worker a lease since.
    """
    lose_worker(site)
    run(site, 1.5)
    assert list_rows(site)
    following = follow(site, previous_epoch=site.scheduler.epoch + 1)
    began_at = clock.now()
    ran_at = run(following, 8.0)
    assert ran_at - began_at >= LEASE_SECONDS
    assert not list_rows(following)


def test_worker_that_returns_gets_a_lease_only_without_a_row(site, clock):
    """Guards against a successor that takes a lease for expired which is not."""
    vm = next(vm for vm in site.vms if vm.running)
    vm.away = True
    run_until = clock.now() + 1.5
    while clock.now() < run_until:
        clock.advance(STEP)
        site.step()
    assert list_rows(site)
    vm.away = False
    lease = vm.vm.lease_until
    vm.report()
    planned = site.scheduler.plan()
    vm.report()
    assert vm.vm.lease_until == lease
    # The deletion is not recorded before the leader changes.
    assert [w.value for w in planned.writes if w.table == LEASE_EXPIRIES] == [None]
    for write in planned.writes:
        site.rows_by_key[write.table, write.key] = write.value
    site.scheduler.confirm(planned)
    vm.report()
    assert vm.vm.lease_until > lease
    assert not list_rows(site)


def test_returned_worker_keeps_its_run_after_a_change_of_leader(site, clock):
    """Guards against a task on two VMs after a silence that was recorded."""
    vm = next(vm for vm in site.vms if vm.running)
    vm.away = True
    for _ in range(15):
        clock.advance(STEP)
        site.step()
    vm.away = False
    for _ in range(3):
        clock.advance(STEP)
        site.step()
    following = follow(site)
    clock.advance(3.0)
    following.vms[site.vms.index(vm)].away = True
    for _ in range(20):
        clock.advance(STEP)
        following.step()
    other = next(v for v in following.vms if not v.away)
    assert not other.running


@pytest.mark.parametrize("skew", [-3.0, 0.0, 3.0])
def test_clocks_of_the_entries_may_differ(site, clock, skew):
    """Guards against a lease that counts as expired early by a clock that is ahead."""
    lose_worker(site)
    lost_at = clock.now()
    run(site, 1.5)
    ahead = ManualClock(clock.now() + skew)
    following = succeed(site, [JOB])
    moved = Site(ahead, vms=2)
    moved.scheduler.load([], [])
    moved.rows_by_key = following.rows_by_key
    load_rows(moved, site.scheduler.epoch, skew)
    expires_at = moved.scheduler.expiries.find(list_rows(moved)[0].key)
    assert expires_at - skew == pytest.approx(lost_at + LEASE_SECONDS, abs=0.2)


def test_no_row_is_written_while_the_workers_report(site, clock):
    """Guards against writes for each VM in calm times."""
    for _ in range(50):
        clock.advance(STEP)
        site.step()
    assert not [key for key in site.rows_by_key if key[0] == LEASE_EXPIRIES]


def test_rows_that_cannot_be_read_count_for_nothing():
    """Guards against a leader that cannot load, or gives runs up at once."""
    expiries = LeaseExpiries(7)
    figures = ([5], ["x", "y"], [5, math.nan], [5, math.inf])
    values = [b"", b"no row", *map(msgpack.packb, figures)]
    rows = [Row(LEASE_EXPIRIES, f"w{n}", value, 1) for n, value in enumerate(values)]
    expiries.load(rows, 5, 100.0, 50.0)
    assert [expiries.find(row.key) for row in rows] == [math.inf] * len(rows)
    assert [w.value for w in expiries.collect_writes({}, 0)] == [None] * len(rows)


def test_rows_without_the_time_of_the_service_count_for_nothing():
    """Guards against times that are read on another clock."""
    expiries = LeaseExpiries(7)
    row = Row(LEASE_EXPIRIES, "w", msgpack.packb([5, 60.0]), 1)
    expiries.load([row], 5, 0.0, 50.0)
    assert expiries.find("w") == math.inf
    # The row is deleted, as the worker would get no lease otherwise.
    writes = expiries.collect_writes({"v": 60.0}, 0)
    assert [(write.key, write.value) for write in writes] == [("w", None)]
    expiries.confirm(writes)
    assert expiries.may_grant("w")


def test_time_far_ahead_delays_no_task(site, clock):
    """Guards against a task that is never given up because of one odd row."""
    lose_worker(site)
    run(site, 1.5)
    row = list_rows(site)[0]
    value = msgpack.packb([site.scheduler.epoch, 1e12])
    site.rows_by_key[LEASE_EXPIRIES, row.key] = value
    assert run(follow(site), 8.0)


def test_lost_data_centre_fits_into_the_transactions():
    """Guards against a transaction above the limit of the table service."""
    expiries = LeaseExpiries(7)
    expiries.record_service_time(100.0, 50.0)
    silent = {f"vm-{number}/w~1": 60.0 for number in range(200)}
    counts = []
    while writes := expiries.collect_writes(silent, 90 if counts else 0):
        counts.append(len(writes))
        expiries.confirm(writes)
    assert sum(counts) == len(silent)
    assert counts[:2] == [95, 5]
