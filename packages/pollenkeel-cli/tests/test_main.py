"""Tests of the commands: exit codes, change ids, failover and output."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest
import yaml
from click.testing import CliRunner

from pollenkeel_cli.main import COMMANDS, main

ROOT = Path(__file__).parents[3]
BASE = {"data_centres": {"may-pen": {"region": "jm", "site": "jm"}}}
JOB = {"job_id": "j1", "team": "cutting", "kind": "plan", "tasks": []}
#: Scripted answer that closes the connection without a response.
LOST = (0, None)


class FakeEntry:
    """HTTP server with scripted answers by method and path; records the requests."""

    def __init__(self):
        self.answers = {}
        self.requests = []
        fake_entry = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or "null")
                fake_entry.requests.append((self.command, self.path, body))
                answers = fake_entry.answers[self.command, self.path]
                status, value = answers.pop(0) if len(answers) > 1 else answers[0]
                if status == 0:
                    self.close_connection = True
                    return
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = answer  # noqa: N815

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever)
        self.thread.start()

    def script(self, method, path, *answers):
        self.answers[method, path] = list(answers)

    def close(self):
        self.server.shutdown()
        self.thread.join(20)
        self.server.server_close()


@pytest.fixture
def entries():
    fake_entries = [FakeEntry(), FakeEntry()]
    yield fake_entries
    for fake_entry in fake_entries:
        fake_entry.close()


@pytest.fixture
def base_file(tmp_path):
    path = tmp_path / "base.yaml"
    path.write_text(yaml.safe_dump(BASE))
    return str(path)


def run(*arguments, entries=()):
    urls = " ".join(fake_entry.url for fake_entry in entries)
    environment = {"POLLENKEEL_ENTRIES": urls} if urls else {}
    return CliRunner().invoke(main, arguments, env=environment)


def refusal(code):
    return {"code": code, "name": "X", "outcome": "x", "detail": "why"}


@pytest.mark.parametrize("name", [None, *(c.name for c in COMMANDS)])
def test_help(name):
    """Guards against a command without help."""
    result = run(*([name] if name else []), "--help")
    assert result.exit_code == 0
    assert "Usage:" in result.output


@pytest.mark.parametrize("company", ["portmore", "costura"])
def test_examples_are_valid(company):
    """Guards against example configurations that ``check`` rejects."""
    folder = ROOT / "examples" / company
    sites = yaml.safe_load((folder / "base.yaml").read_text())["data_centres"]
    overlays = [f"--overlay={site}={folder / site}.yaml" for site in sites]
    result = run("check", "--base", str(folder / "base.yaml"), *overlays)
    assert (result.exit_code, result.output) == (0, "valid\n")
    for role in ("entry", "agent"):
        path = str(folder / f"{role}.yaml")
        assert run("check", "--settings", path, "--role", role).exit_code == 0


def test_check_reports_every_error(tmp_path, base_file):
    """Guards against a wrong exit code or an error message without the file name."""
    overlay = tmp_path / "jm.yaml"
    overlay.write_text("policy: {placement: luck}\nteams: {a: {share: 2}}\n")
    result = run("check", "--base", base_file, "--overlay", f"jm={overlay}")
    assert result.exit_code == 1
    assert result.output.count(f"{overlay}: ") == 3
    assert run("check").exit_code == 2
    assert run("check", "--base", base_file, "--overlay", "jm").exit_code == 2
    result = run("check", "--settings", base_file, "--role", "entry")
    assert result.exit_code == 2
    assert "4005" in result.output


def test_apply_expects_the_version_in_force(entries, base_file):
    """Guards against an apply that overwrites a concurrent change."""
    first = entries[0]
    first.script("GET", "/v1/config", (200, {"version": 4}))
    first.script("POST", "/v1/config", (200, {"version": 5}), (409, refusal(5002)))
    result = run("apply", "--base", base_file, "--output=json", entries=entries)
    assert (result.exit_code, json.loads(result.output)) == (0, {"version": 5})
    assert first.requests[1][2]["expected_version"] == 4
    result = run("apply", "--base", base_file, "--expected-version=4", entries=entries)
    assert result.exit_code == 1
    assert "5002" in result.output
    assert entries[1].requests == []
    first.script("GET", "/v1/config", (404, refusal(5004)))
    run("apply", "--base", base_file, entries=entries)
    assert first.requests[-1][2]["expected_version"] == 0


DRAIN = "/v1/data-centres/may-pen/drain"


@pytest.mark.parametrize(
    ("first", "second", "exit_code", "text"),
    [
        ((200, {"version": 2}), LOST, 0, "version  2"),
        (LOST, (200, {"version": 2}), 0, "version  2"),
        ((503, refusal(2003)), (200, {"version": 2}), 0, "version  2"),
        ((503, refusal(2003)), (503, refusal(2003)), 1, "2003"),
        (LOST, (503, refusal(2003)), 1, "may have taken effect"),
        ((504, refusal(3006)), LOST, 1, "3006"),
        ((404, refusal(5003)), (200, {"version": 2}), 1, "5003"),
        ((500, "no code"), LOST, 1, "9000"),
    ],
)
def test_drain_fails_over_and_reports_unknown_outcome(
    entries, first, second, exit_code, text
):
    """Guards against reporting a drain as rejected when it may have taken effect."""
    for entry, answer in zip(entries, (first, second), strict=True):
        entry.script("POST", DRAIN, answer)
    result = run("drain", "may-pen", entries=entries)
    assert result.exit_code == exit_code, result.output
    assert text in result.output
    bodies = [body for entry in entries for *_, body in entry.requests]
    assert len({body["change_id"] for body in bodies}) == 1


def test_unreachable_entry(entries):
    """Guards against a command that stops at the first unreachable entry."""
    entries[1].script("GET", "/v1/status", (200, {"entry": "e2", "at": 1}))
    unreachable = "http://127.0.0.1:1"
    result = run("status", "--entry", unreachable, "--entry", entries[1].url)
    assert result.exit_code == 0
    result = run("status", "--entry", unreachable)
    assert (result.exit_code, "2021" in result.output) == (1, True)
    assert run("status").exit_code == 2
    assert run("status", "--entry", "host:1").exit_code == 2


def test_job_commands(entries, tmp_path):
    """Guards against wrong request paths and a ``--wait`` that never ends."""
    path = tmp_path / "job.yaml"
    path.write_text(yaml.safe_dump({**JOB, "deadline": "2026-12-05T06:00:00-03:00"}))
    entry = entries[0]
    entry.script("POST", "/v1/jobs", (200, {"job_id": "j1"}))
    running = {"job_id": "j1", "state": "running", "tasks_by_state": {"running": 2}}
    task = {"spec": {"task_id": "a"}, "state": "done", "attempt": {"vm": "v7"}}
    done = {"job_id": "j1", "state": "done", "tasks": [task]}
    entry.script("GET", "/v1/jobs/j1", (200, running), (503, refusal(2021)), LOST)
    entry.answers["GET", "/v1/jobs/j1"][2:] = [(200, done)]
    result = run("submit", str(path), "--wait", "--entry", entry.url)
    assert result.exit_code == 0, result.output
    assert "2 running" in result.output
    assert "TASK  STATE  VM" in result.output
    assert "a     done   v7" in result.output
    assert entry.requests[0][2]["deadline"] == 1796461200.0
    entry.script("DELETE", "/v1/jobs/j1", (200, {"state": "cancelled"}))
    entry.script("GET", "/v1/explain/j1", (404, refusal(4009)))
    assert run("cancel", "j1", entries=entries[:1]).exit_code == 0
    assert run("explain", "j1", entries=entries[:1]).exit_code == 1
    path.write_text("deadline: tomorrow\n")
    result = run("submit", str(path), entries=entries)
    assert (result.exit_code, "tomorrow" in result.output) == (2, True)


def test_dump(entries):
    """Guards against a dump that is not printed in full."""
    entries[0].script("GET", "/v1/dump", (200, {"agents": [{"id": "a"}], "empty": {}}))
    result = run("dump", entries[0].url)
    assert (result.exit_code, "agents:" in result.output) == (0, True)
    assert run("dump", "host").exit_code == 2


@pytest.mark.parametrize("company", ["portmore", "costura"])
def test_example_jobs_can_be_submitted(entries, company):
    """Guards against example jobs that ``submit`` cannot load."""
    entries[0].script("POST", "/v1/jobs", (200, {"job_id": "x"}))
    path = ROOT / "examples" / company / "job.yaml"
    assert run("submit", str(path), entries=entries[:1]).exit_code == 0
    job = entries[0].requests[0][2]
    base = yaml.safe_load((path.parent / "base.yaml").read_text())
    assert job["team"] in base["teams"]
    assert type(job["deadline"]) is float


def test_shell_completion():
    """Guards against a documented shell completion that does not work."""
    result = CliRunner().invoke(
        main, env={"_POLLENKEEL_COMPLETE": "bash_source"}, prog_name="pollenkeel"
    )
    assert result.exit_code == 0
    assert "_POLLENKEEL_COMPLETE=bash_complete" in result.output
