"""The ``dump`` command."""

from __future__ import annotations

import click

from pollenkeel_cli.core.client import EntryClient
from pollenkeel_cli.core.options import output_option
from pollenkeel_cli.core.output import show, unwrap_or_exit


@click.command()
@click.argument("url")
@output_option
def dump(url: str, output: str) -> None:
    """Show the state dump of the entry or agent at URL (http://HOST:PORT)."""
    if not url.startswith(("http://", "https://")):
        raise click.BadParameter(f"{url!r}: expected http://HOST:PORT")
    show(unwrap_or_exit(EntryClient([url]).call("GET", "/v1/dump")), output)
