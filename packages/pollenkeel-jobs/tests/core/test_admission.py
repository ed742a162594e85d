"""Guards against jobs that wait for nothing, and against refusals without a reason."""

import attrs
import pytest
from jobs_doubles import MemoryTables, Site, make_job
from result import Ok

from pollenkeel_jobs.core.admission import MAX_ESTIMATE_AGE_SECONDS, Admission
from pollenkeel_jobs.core.contact import LeaderContact
from pollenkeel_jobs.core.gateway import Gateway
from pollenkeel_jobs.core.leadership import Leadership
from pollenkeel_jobs.core.messages import ServiceWait
from pollenkeel_jobs.core.metrics import EXPECTED_WAIT_SECONDS
from pollenkeel_jobs.core.scheduling_settings import SchedulingSettings
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.clock import ManualClock

NOW = 1_000_000.0
#: A step that takes a whole VM of the site for 4 s.
WHOLE_VM = StepSpec(1, Demand(4000, 1000), 4.0)


def make_site(clock, vms=2, **settings):
    site = Site(clock, vms, SchedulingSettings(**settings))
    site.step()
    return site


def add_jobs(site, count, priority, prefix):
    for number in range(count):
        job = make_job(f"{prefix}{number}", [WHOLE_VM], priority=priority)
        site.scheduler.add_job(job)
    site.clock.advance(1.0)
    site.step()


def make_admission(seconds, priority=0):
    admission = Admission()
    admission.record([ServiceWait("desk", priority, seconds)], NOW)
    return admission


def find_rejection(admission, now=NOW, job_id="j1", **settings):
    """Decide on a job of 4 s that may take 8 s, and is of no use after 24 s."""
    job = make_job(job_id, [WHOLE_VM], stretch=2.0, **settings)
    return admission.find_rejection(job, now)


def test_wait_is_the_work_ahead_over_the_capacity(clock):
    """A new job waits for all work of its own and of higher priorities."""
    site = make_site(clock, admission=True)
    add_jobs(site, 12, 1, "a")
    add_jobs(site, 6, 2, "b")
    # Two of the first twelve run. Each VM does one job in 4 s.
    waits = {(w.service, w.priority): w.seconds for w in site.scheduler.list_waits()}
    assert waits == {("desk", 1): 20.0, ("desk", 2): 32.0}
    assert EXPECTED_WAIT_SECONDS.labels("desk", 2)._value.get() == 32.0


def test_long_running_tasks_leave_less_capacity(clock):
    site = make_site(clock, admission=True)
    lasting = attrs.evolve(WHOLE_VM, long_running=True)
    site.scheduler.add_job(make_job("watch", [lasting], priority=0))
    site.step()
    add_jobs(site, 5, 1, "a")
    (wait,) = site.scheduler.list_waits()
    assert wait.seconds == 16.0


def test_tasks_that_no_vm_could_run_make_nobody_wait(clock):
    """A backlog for a label that is missing says nothing about other jobs."""
    site = make_site(clock, admission=True)
    step = attrs.evolve(WHOLE_VM, label="missing")
    for number in range(50):
        site.scheduler.add_job(make_job(f"j{number}", [step]))
    clock.advance(1.0)
    site.step()
    assert site.scheduler.list_waits() == []


def test_nothing_is_estimated_unless_switched_on(clock):
    site = make_site(clock)
    add_jobs(site, 50, 1, "a")
    assert site.scheduler.list_waits() == []


def test_new_leader_estimates_from_the_jobs_that_it_loads(clock):
    """A leader without reports knows no capacity, so that it refuses nothing."""
    site = make_site(clock, vms=0, admission=True)
    add_jobs(site, 50, 1, "a")
    assert site.scheduler.list_waits() == []


@pytest.mark.parametrize(
    ("wait", "rejected"), [(0.0, False), (19.9, False), (21, True)]
)
def test_only_a_job_of_no_use_is_rejected(wait, rejected):
    """A job that would merely be late is still worth something to its client."""
    assert bool(find_rejection(make_admission(wait))) is rejected


def test_higher_priority_does_not_wait_for_lower_ones():
    admission = make_admission(1000.0, priority=2)
    assert find_rejection(admission, priority=1) is None
    assert find_rejection(admission, priority=3) is not None


def test_other_service_does_not_wait():
    admission = Admission()
    admission.record([ServiceWait("other", 0, 1000.0)], NOW)
    assert find_rejection(admission) is None


def test_stale_estimate_rejects_nothing():
    """An entry that is cut off from the leader accepts jobs as without an estimate."""
    admission = make_admission(1000.0)
    later = NOW + MAX_ESTIMATE_AGE_SECONDS
    assert find_rejection(admission, later - 0.1) is not None
    assert find_rejection(admission, later) is None
    assert find_rejection(Admission()) is None


def test_clients_return_one_after_the_other_once_the_backlog_is_short():
    """Clients that come back at the same time make the next burst."""
    admission = make_admission(100.0)
    rejections = [find_rejection(admission, job_id=f"j{n}") for n in range(200)]
    delays = sorted(rejection.retry_at - NOW for rejection in rejections)
    # After 96 s a new job would end within its 8 s.
    assert 96.0 <= delays[0] < 99.0
    assert 141.0 < delays[-1] <= 144.0
    assert max(b - a for a, b in zip(delays, delays[1:], strict=False)) < 3.0


@pytest.mark.parametrize("kind", ["scheduled", "long running"])
def test_jobs_without_an_objective_are_never_rejected(kind):
    step = attrs.evolve(WHOLE_VM, long_running=kind == "long running")
    occurrences = 3 if kind == "scheduled" else 0
    job = attrs.evolve(make_job("j1", [step]), occurrences=occurrences)
    assert make_admission(1000.0).find_rejection(job, NOW) is None


@pytest.fixture
def tables():
    return MemoryTables()


def make_gateway(tables, admission):
    clock = ManualClock(NOW)
    leadership = Leadership("entry-1", "", tables, clock)
    contact = LeaderContact("entry-1", leadership, clock)
    return Gateway("entry-1", tables, contact, clock, admission)


def test_rejected_job_is_not_stored(tables):
    gateway = make_gateway(tables, make_admission(1000.0))
    refusal = gateway.submit(make_job("j1", [WHOLE_VM]), NOW + 3.0).unwrap_err()
    assert refusal.code is Code.BACKLOG_FULL
    assert refusal.retry_at > NOW + 900.0
    assert not tables.rows_by_key


def test_stored_job_is_never_refused(tables):
    """A client whose first answer was lost must not be told that its job never runs."""
    job = make_job("j1", [WHOLE_VM])
    assert make_gateway(tables, None).submit(job, NOW + 3.0) == Ok(None)
    gateway = make_gateway(tables, make_admission(1000.0))
    assert gateway.submit(job, NOW + 3.0) == Ok(None)


def test_job_is_not_refused_while_its_state_is_unknown(tables):
    """Without a reading of the store the job may be stored already."""
    tables.reads_fail = True
    gateway = make_gateway(tables, make_admission(1000.0))
    assert gateway.submit(make_job("j1", [WHOLE_VM]), NOW + 3.0) == Ok(None)
