"""Commands that check and change the configuration."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import quote

import click
from result import Err, Result

from pollenkeel_cli.core.client import EntryClient
from pollenkeel_cli.core.documents import load_document
from pollenkeel_cli.core.options import (
    FILE,
    base_option,
    change_id_option,
    entry_option,
    get_operator_name,
    output_option,
    overlay_option,
)
from pollenkeel_cli.core.output import EXIT_BAD_USAGE, fail, show, unwrap_or_exit
from pollenkeel_kernel.core.codes import Code, Outcome
from pollenkeel_kernel.core.refusal import Refusal
from pollenkeel_kernel.core.settings import (
    AgentSettings,
    EntrySettings,
    ProcessSettings,
    load_settings,
)

_SETTINGS_BY_ROLE: dict[str, type[ProcessSettings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
}


@click.command()
@base_option
@overlay_option
@click.option("--settings", type=FILE, help="YAML settings file of one process.")
@click.option(
    "--role", type=click.Choice(sorted(_SETTINGS_BY_ROLE)), help="Role of that process."
)
def check(
    base: Path | None,
    overlays: tuple[tuple[str, Path], ...],
    settings: Path | None,
    role: str | None,
) -> None:
    """Check a configuration, or the settings of a process, without applying it."""
    if (base is None) == (settings is None):
        raise click.UsageError("give either --base (with any --overlay) or --settings")
    if (settings is None) != (role is None):
        raise click.UsageError("--settings and --role must be given together")
    if settings is not None and role is not None:
        loaded = load_settings(settings, _SETTINGS_BY_ROLE[role])
        if isinstance(loaded, Err):
            fail(str(loaded.err_value), code=EXIT_BAD_USAGE)
    if base is not None:
        document = load_document(base, overlays)
        if isinstance(document, Err):
            fail(*document.err_value)
    click.echo("valid")


@click.command()
@base_option
@overlay_option
@click.option(
    "--expected-version",
    type=click.IntRange(min=0),
    help="Version that the change is based on; defaults to the version in force.",
)
@change_id_option
@entry_option
@output_option
def apply(
    base: Path | None,
    overlays: tuple[tuple[str, Path], ...],
    expected_version: int | None,
    change_id: str,
    client: EntryClient,
    output: str,
) -> None:
    """Apply a configuration to all sites."""
    if base is None:
        raise click.UsageError("Missing option '--base'.")
    loaded = load_document(base, overlays)
    if isinstance(loaded, Err):
        fail(*loaded.err_value)
    if expected_version is None:
        expected_version = _get_current_version(client)
    document = loaded.ok_value
    body = {
        "base": document.base,
        "overlays_by_site": document.overlays_by_site,
        "expected_version": expected_version,
        "change_id": change_id,
        "operator": get_operator_name(),
    }
    retry_options = f"--change-id {change_id} --expected-version {expected_version}"
    _show_change_result(client.call("POST", "/v1/config", body), retry_options, output)


@click.command()
@click.argument("data_centre")
@change_id_option
@entry_option
@output_option
def drain(data_centre: str, change_id: str, client: EntryClient, output: str) -> None:
    """Drain DATA_CENTRE: start no tasks there and move the running ones elsewhere."""
    _set_drained(client, data_centre, "drain", change_id, output)


@click.command()
@click.argument("data_centre")
@change_id_option
@entry_option
@output_option
def undrain(data_centre: str, change_id: str, client: EntryClient, output: str) -> None:
    """Undo the drain of DATA_CENTRE, so that tasks may start there again."""
    _set_drained(client, data_centre, "undrain", change_id, output)


def _set_drained(
    client: EntryClient, data_centre: str, action: str, change_id: str, output: str
) -> None:
    path = f"/v1/data-centres/{quote(data_centre, safe='')}/{action}"
    body = {"change_id": change_id, "operator": get_operator_name()}
    _show_change_result(
        client.call("POST", path, body), f"--change-id {change_id}", output
    )


def _get_current_version(client: EntryClient) -> int:
    """Return the configuration version in force, or 0 if there is none."""
    current = client.call("GET", "/v1/config")
    if isinstance(current, Err) and current.err_value.code == Code.NO_CONFIG:
        return 0
    return int(unwrap_or_exit(current)["version"])


def _show_change_result(
    result: Result[dict, Refusal], retry_options: str, output: str
) -> None:
    """Print the result of a change; if it is unknown, print how to retry safely."""
    if isinstance(result, Err) and result.err_value.outcome == Outcome.UNKNOWN:
        fail(
            str(result.err_value),
            "The change may have taken effect. Repeat the command with "
            f"{retry_options} to find out; this is safe.",
        )
    show(unwrap_or_exit(result), output)
