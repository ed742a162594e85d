"""Guards against operators who get no answer on a job of the platform's entries."""

import json
import threading

import pytest
from click.testing import CliRunner
from jobs_doubles import Site, make_job
from result import Err, Ok

from pollenkeel_cli.main import main
from pollenkeel_jobs.core.specs import Demand, StepSpec
from pollenkeel_kernel.core.clock import ManualClock
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import HttpServer
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import HttpSettings
from pollenkeel_platform.api import EntryOperationsApi


class StandbyDouble:
    """Entry that doesn't lead."""

    def explain(self, job_id):
        return Err(Refusal(Code.NOT_OWNER, "this process does not lead"))


class LeaderDouble:
    """Entry that leads a site of one VM with a running and a waiting task."""

    def __init__(self, clock):
        self.site = Site(clock, cpu=1000)
        step = StepSpec(2, Demand(1000, 100), 1.0)
        self.site.scheduler.add_job(make_job(steps=(step,)))
        self.site.step()

    def explain(self, job_id):
        found = self.site.scheduler.explain(job_id)
        if found is None:
            return Err(Refusal(Code.NOT_FOUND, f"job {job_id!r}"))
        return Ok(found)


@pytest.fixture
def entries():
    """URLs of an entry that doesn't lead and of the leader."""
    servers = [
        HttpServer(
            HttpSettings("127.0.0.1", 0, 2), EntryOperationsApi(StateDump(), entry)
        )
        for entry in (StandbyDouble(), LeaderDouble(ManualClock()))
    ]
    for server in servers:
        threading.Thread(target=server.serve, daemon=True).start()
    yield " ".join(server.url for server in servers)
    for server in servers:
        server.close()


def run(entries, *arguments):
    environment = {"POLLENKEEL_ENTRIES": entries}
    return CliRunner().invoke(main, ["explain", *arguments], env=environment)


def test_table_shows_runs_and_what_waits(entries):
    result = run(entries, "j1")
    assert result.exit_code == 0
    lines = [line.split() for line in result.output.splitlines()]
    assert ["state", "running"] in lines
    assert ["j1.0.0.0", "running", "vm-0", "1", "0", "1000", "0", "%"] in lines
    assert ["j1.0.0.1", "waiting", "-", "0", "0", "1000"] in lines
    assert "room=vm-0" in result.output


def test_json_has_the_vms_by_obstacle(entries):
    job = json.loads(run(entries, "j1", "--output", "json").output)
    assert [step["waits_for"] for step in job["steps"]] == [{"room": ["vm-0"]}]
    assert [task["key"] for task in job["tasks"]] == ["j1.0.0.0", "j1.0.0.1"]


def test_unknown_job_ends_with_its_code(entries):
    result = run(entries, "j9")
    assert result.exit_code == 1
    assert str(Code.NOT_FOUND.value) in result.output


def test_entries_without_a_leader_say_so(entries):
    result = run(entries.split()[0], "j1")
    assert result.exit_code == 1
    assert "does not lead" in result.output
