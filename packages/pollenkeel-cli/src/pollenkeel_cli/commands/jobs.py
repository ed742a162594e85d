"""Commands for batch jobs."""

from __future__ import annotations

import time
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click
from result import Err

from pollenkeel_cli.core.client import EntryClient
from pollenkeel_cli.core.documents import load_job, parse_deadline
from pollenkeel_cli.core.job_view import flatten_job
from pollenkeel_cli.core.options import FILE, entry_option, output_option
from pollenkeel_cli.core.output import EXIT_BAD_USAGE, fail, show, unwrap_or_exit
from pollenkeel_kernel.core.codes import Outcome

_POLL_INTERVAL_SECONDS = 1.0
_ENDED_STATES = frozenset({"done", "failed", "cancelled", "never-fits"})


@click.command()
@click.argument("job_file", metavar="JOB.yaml", type=FILE)
@click.option(
    "--deadline",
    help="ISO 8601 time with a time zone; replaces the deadline of the file.",
)
@click.option(
    "--wait", is_flag=True, help="Show the progress and wait until the job has ended."
)
@entry_option
@output_option
def submit(
    job_file: Path, deadline: str | None, wait: bool, client: EntryClient, output: str
) -> None:
    """Submit the batch job that a YAML file describes."""
    loaded = load_job(job_file)
    if isinstance(loaded, Err):
        fail(*loaded.err_value, code=EXIT_BAD_USAGE)
    job = {"job_id": uuid.uuid4().hex, **loaded.ok_value}
    if deadline is not None:
        parsed = parse_deadline(deadline)
        if isinstance(parsed, Err):
            raise click.BadParameter(parsed.err_value, param_hint="--deadline")
        job["deadline"] = parsed.ok_value
    answer = client.call("POST", "/v1/jobs", job)
    if isinstance(answer, Err) and answer.err_value.outcome == Outcome.UNKNOWN:
        fail(
            str(answer.err_value),
            f"The job may have been accepted. Set job_id in the file to "
            f"{job['job_id']} and submit it again; this is safe.",
        )
    if not wait:
        show(unwrap_or_exit(answer), output)
        return
    unwrap_or_exit(answer)
    ended = _wait_until_ended(client, str(job["job_id"]))
    _show_job(ended, output)
    if ended.get("state") != "done":
        fail(f"job {job['job_id']} ended in state {ended.get('state')}")


@click.command()
@click.argument("job_id")
@entry_option
@output_option
def cancel(job_id: str, client: EntryClient, output: str) -> None:
    """Cancel the job JOB_ID; it is safe to repeat this."""
    show(unwrap_or_exit(client.call("DELETE", _job_path(job_id))), output)


@click.command()
@click.argument("job_id", required=False)
@entry_option
@output_option
def status(job_id: str | None, client: EntryClient, output: str) -> None:
    """Show the state of the system, or of the job JOB_ID."""
    if job_id is None:
        show(unwrap_or_exit(client.call("GET", "/v1/status")), output)
    else:
        _show_job(unwrap_or_exit(client.call("GET", _job_path(job_id))), output)


@click.command()
@click.argument("job_id")
@entry_option
@output_option
def explain(job_id: str, client: EntryClient, output: str) -> None:
    """Show why the tasks of JOB_ID wait, where they ran and why they moved."""
    path = f"/v1/explain/{quote(job_id, safe='')}"
    _show_job(unwrap_or_exit(client.call("GET", path)), output)


def _show_job(job: dict[str, Any], output: str) -> None:
    show(job if output == "json" else flatten_job(job), output)


def _wait_until_ended(client: EntryClient, job_id: str) -> dict[str, Any]:
    """Poll until the job has ended; an outage of the entries only delays the result.

    Progress and temporary errors are printed to standard error when they change.
    """
    last_line = ""
    while True:
        answer = client.call("GET", _job_path(job_id))
        if isinstance(answer, Err):
            # Poll again after codes 2xxx (not executed) and 3xxx (outcome unknown);
            # any other code ends the command.
            if answer.err_value.code // 1000 not in (2, 3):
                unwrap_or_exit(answer)
            line = str(answer.err_value)
        else:
            job = answer.ok_value
            if job.get("state") in _ENDED_STATES:
                return dict(job)
            line = _describe_progress(job)
        if line != last_line:
            last_line = line
            click.echo(line, err=True)
        time.sleep(_POLL_INTERVAL_SECONDS)


def _describe_progress(job: dict[str, Any]) -> str:
    counts = job.get("tasks_by_state")
    if not isinstance(counts, dict):
        return f"job {job.get('job_id')}: {job.get('state')}"
    parts = ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))
    return f"job {job.get('job_id')}: {job.get('state')}; tasks: {parts}"


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"
