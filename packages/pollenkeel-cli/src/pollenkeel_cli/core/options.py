"""Options and parameter types that several commands share."""

from __future__ import annotations

import getpass
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from pollenkeel_cli.core.client import EntryClient

F = TypeVar("F", bound=Callable[..., Any])

FILE = click.Path(path_type=Path, dir_okay=False)


class SiteFileType(click.ParamType):
    """Type of options with a value ``SITE=FILE``."""

    name = "SITE=FILE"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, Path]:
        """Split a value into the site and the path."""
        # Click may pass a value that is already converted.
        if isinstance(value, tuple):
            return value
        site, separator, path = str(value).partition("=")
        if not (site and separator and path):
            self.fail(f"{value!r}: expected SITE=FILE", param, ctx)
        return site, Path(path)


def entry_option(command: F) -> F:
    """Add ``--entry``; the command receives an ``EntryClient`` as ``client``."""

    def make_client(
        ctx: click.Context, _: click.Parameter, entries: tuple[str, ...]
    ) -> EntryClient:
        for entry in entries:
            if not entry.startswith(("http://", "https://")):
                raise click.BadParameter(f"{entry!r}: expected http://HOST:PORT")
        return EntryClient(list(entries))

    return click.option(
        "--entry",
        "client",
        metavar="URL",
        multiple=True,
        required=True,
        envvar="POLLENKEEL_ENTRIES",
        show_envvar=True,
        callback=make_client,
        help="URL of an entry; repeat the option for more, which are tried in order.",
    )(command)


output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Output format.",
)
base_option = click.option("--base", type=FILE, help="YAML file of the base document.")
overlay_option = click.option(
    "--overlay",
    "overlays",
    type=SiteFileType(),
    multiple=True,
    help="YAML file of a site's overlay; repeat the option for each site.",
)
change_id_option = click.option(
    "--change-id",
    default=lambda: uuid.uuid4().hex,
    help="Id of the change; give the same id to safely retry a change.",
)


def get_operator_name() -> str:
    """Return the user name of the operator, which is recorded with each change."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
