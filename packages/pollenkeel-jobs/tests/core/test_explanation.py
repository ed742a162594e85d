"""Guards against operators who can't see what a job waits for."""

import types

import attrs
import pytest
from jobs_doubles import EPOCH, Site, make_job
from result import Err

from pollenkeel_jobs.core.entry import Entry, NodeSettings
from pollenkeel_jobs.core.explanation import MAX_STEPS, MAX_TASKS
from pollenkeel_jobs.core.leadership import LeaseRecord
from pollenkeel_jobs.core.operations import OperationsFeed
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_kernel.core.codes import Code

TASK = StepSpec(1, Demand(1000, 100), 1.0)


def explain_steps(site, job_id="j1"):
    return site.scheduler.explain(job_id)["steps"]


def test_running_job_shows_its_runs(site):
    site.scheduler.add_job(make_job())
    site.step()
    job = site.scheduler.explain("j1")
    assert (job["state"], job["queue"]) == ("running", "q")
    assert [task["state"] for task in job["tasks"]] == ["running"] * 2
    assert {task["attempt"]["vm"] for task in job["tasks"]} == {"vm-0"}
    assert {task["attempts"] for task in job["tasks"]} == {1}
    (step,) = job["steps"]
    assert (step["tasks"], step["running"], step["waiting"]) == (2, 2, 0)
    assert step["waits_for"] == {}


def test_waiting_task_names_the_vms_by_what_keeps_it_from_them(clock):
    """Guards against an explanation that differs from the log line of the step."""
    site = Site(clock, vms=3, cpu=1000)
    site.scheduler.add_job(make_job("busy", steps=(TASK,)))
    site.step()
    site.vms[2].draining = True
    step = attrs.evolve(TASK, demand=Demand(1000, 100), label="a")
    site.scheduler.add_job(make_job(steps=(step, attrs.evolve(TASK, label="gpu"))))
    site.open(closed=["z1"])
    site.step()
    first, second = explain_steps(site)
    assert first["waits_for"] == {
        "room": ["vm-0"],
        "closed data centre": ["vm-1"],
        "draining": ["vm-2"],
    }
    assert second["waits_for"]["label"] == ["vm-0"]


def test_step_names_the_steps_that_it_waits_for(site):
    steps = (TASK, TASK, attrs.evolve(TASK, after=(0, 1)))
    site.scheduler.add_job(make_job(steps=steps))
    site.step()
    site.vms[0].end("j1.0.0.0")
    site.step()
    first, _, third = explain_steps(site)
    assert (first["done"], first["waiting"]) == (1, 0)
    assert third["waits_for"] == {"steps": ["1"]}


def test_explanation_of_a_large_job_is_bounded(site):
    """Guards against an answer, and a locked scheduler, that grow with the job."""
    job = make_job(steps=(attrs.evolve(TASK, count=20_000),))
    site.scheduler.add_job(attrs.evolve(job, occurrences=40))
    site.scheduler.add_job(make_job("j2", steps=(TASK,) * 40))
    site.step()
    explained = site.scheduler.explain("j1")
    assert len(explained["tasks"]) == MAX_TASKS
    assert len(explain_steps(site, "j2")) == MAX_STEPS
    (step,) = explained["steps"]
    assert step["waiting"] + step["running"] == 20_000


def test_ended_job_shows_its_code_and_no_tasks(site):
    site.scheduler.add_job(make_job())
    site.step()
    site.scheduler.cancel_job("j1")
    job = site.scheduler.explain("j1")
    assert (job["state"], job["code"], job["tasks"]) == ("cancelled", Code.OK, [])
    assert site.scheduler.explain("j9") is None


@pytest.fixture
def entry(tables, clock):
    node = NodeSettings("entry-1", "z1", "tcp://127.0.0.1:0", "tcp://127.0.0.1:1")
    entry = Entry(node, tables, OperationsFeed("op", tables, None, clock), clock, None)
    yield entry
    entry.close()


def test_entry_that_does_not_lead_names_the_leader(entry):
    """Guards against an answer from an entry that knows no jobs; the next is asked."""
    entry._leadership.leader = LeaseRecord(EPOCH, "entry-2", "tcp://10.0.0.2:1", 1)
    refusal = entry.explain("j1").unwrap_err()
    assert refusal.code is Code.NOT_OWNER
    assert "tcp://10.0.0.2:1" in refusal.detail


def test_job_is_unknown_only_once_all_are_loaded(entry, clock):
    """Guards against a leader that denies a job which it has not read yet."""
    term = types.SimpleNamespace(
        over=types.SimpleNamespace(is_set=lambda: False),
        explain=lambda job_id: Err(job_id),
    )
    entry._contact.term = term
    assert entry.explain("j1") == Err("j1")
