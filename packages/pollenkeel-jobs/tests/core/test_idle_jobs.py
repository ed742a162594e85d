"""Guards against jobs that wait without a run and that neither log nor metric shows."""

import logbook
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.metrics import IDLE_JOBS, LONGEST_IDLE_SECONDS
from pollenkeel_jobs.core.specs import Demand, StepSpec

STEP = StepSpec(2, Demand(3000, 1000), 60.0)


def pass_seconds(site, clock, seconds, interval=0.5):
    for _ in range(round(seconds / interval)):
        clock.advance(interval)
        site.step()


def list_lines(handler, event):
    return [record.extra for record in handler.records if record.message == event]


def test_job_that_waits_without_a_run_is_logged_and_measured(clock):
    """Guards against a job that is forgotten while others run."""
    site = Site(clock, cpu=3000)
    site.scheduler.add_job(make_job("a", (STEP,)))
    site.step()
    site.scheduler.add_job(make_job("b", (STEP,)))
    with logbook.TestHandler() as handler:
        pass_seconds(site, clock, 4.5)
    assert IDLE_JOBS._value.get() == 1
    assert LONGEST_IDLE_SECONDS._value.get() == pytest.approx(4.0, abs=0.6)
    lines = list_lines(handler, "jobs without a run")
    assert lines
    assert {(line["jobs"], line["longest"]) for line in lines} == {(1, "b")}


def test_job_is_no_longer_idle_once_it_has_a_run(clock):
    """Guards against a metric that counts jobs whose tasks run in turn."""
    site = Site(clock, cpu=3000)
    site.scheduler.add_job(make_job("a", (STEP,)))
    pass_seconds(site, clock, 1.0)
    assert IDLE_JOBS._value.get() == 0
    site.vms[0].end("a.0.0.0")
    pass_seconds(site, clock, 1.0)
    assert site.running == ["a.0.0.1"]
    assert LONGEST_IDLE_SECONDS._value.get() == 0


def test_suspects_that_wait_for_a_trial_are_logged(clock):
    """Guards against a line that does not tell suspects from tasks without room."""
    site = Site(clock, vms=1)
    site.scheduler.add_job(make_job("a", (StepSpec(3, Demand(1000, 1000), 60.0),)))
    site.step()
    site.vms[0].crash()
    site.vms[0].report()
    for task in site.scheduler._jobs.find("a").tasks():
        task.crashed_on |= {"vm-1/x~1", "vm-2/x~1", "vm-3/x~1"}
    with logbook.TestHandler() as handler:
        pass_seconds(site, clock, 2.0, 0.25)
    lines = list_lines(handler, "step waits")
    assert [(line["crashes"], line["obstacles"]) for line in lines] == [
        (3, {"trial": 1})
    ]
