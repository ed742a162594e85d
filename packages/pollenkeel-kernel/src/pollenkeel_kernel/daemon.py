"""Command ``pollenkeeld``: runs one role until SIGTERM or SIGINT."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
from pathlib import Path
from typing import Any

import attrs
import click
import logbook
from result import Err

from pollenkeel_kernel.core.logs import log_change, setup_logging
from pollenkeel_kernel.core.refusal import PollenkeelError
from pollenkeel_kernel.core.role import ROLES, Role
from pollenkeel_kernel.core.settings import load_settings

logger = logbook.Logger("daemon")

_EXIT_BAD_USAGE = 2


class _RoleGroup(click.Group):
    """Command group with one command per registered role."""

    def main(self, *args: Any, **kwargs: Any) -> Any:
        """Run the command line; SIGHUP is ignored while the role is imported."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        return super().main(*args, **kwargs)

    def list_commands(self, ctx: click.Context) -> list[str]:
        return ROLES.names()

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        try:
            return _make_command(cmd_name, ROLES.get(cmd_name))
        except PollenkeelError:
            return None


@click.group(cls=_RoleGroup)
@click.version_option(package_name="pollenkeel-kernel")
def main() -> None:
    """Run one process of the pollenkeel scheduler."""


def _make_command(name: str, role_class: type[Role]) -> click.Command:
    @click.command(name, help=role_class.__doc__)
    @click.option(
        "--settings",
        "path",
        required=True,
        type=click.Path(path_type=Path, dir_okay=False),
        help="YAML settings file of this process.",
    )
    def command(path: Path) -> None:
        reload_requested = threading.Event()
        # Before the settings are read, so that no later change of them is missed.
        signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
        loaded = load_settings(path, role_class.settings_class)
        if isinstance(loaded, Err):
            click.echo(str(loaded.err_value), err=True)
            sys.exit(_EXIT_BAD_USAGE)
        _run_role(role_class, loaded.ok_value, path, reload_requested)

    return command


def _run_role(
    role_class: type[Role], settings: Any, path: Path, reload_requested: threading.Event
) -> None:
    """Run a role with signal handlers, then exit the process."""
    log_writer = setup_logging(settings.id, settings.log_level.value)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    role = role_class(settings)
    addresses = role.start()
    log_change(logger, "process started", **addresses)
    # This line on standard output tells the parent process the bound addresses.
    click.echo(json.dumps({"event": "ready", "id": settings.id, **addresses}))
    sys.stdout.flush()
    threading.Thread(
        target=_reload_on_sighup,
        args=(role, settings, path, reload_requested),
        daemon=True,
    ).start()
    role.run(stop)
    log_change(logger, "process stopped")
    log_writer.flush()
    # The role has shut down. Server threads and calls to unresponsive peers would
    # otherwise delay the exit until they time out.
    os._exit(0)


def _reload_on_sighup(
    role: Role, settings: Any, path: Path, reload_requested: threading.Event
) -> None:
    """Reload the settings and pass them to the role after each SIGHUP."""
    while True:
        reload_requested.wait()
        reload_requested.clear()
        loaded = load_settings(path, type(settings))
        if isinstance(loaded, Err):
            cause = str(loaded.err_value)
            log_change(logger, "settings not reloaded", cause=cause)
            continue
        changed = [
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name) != getattr(loaded.ok_value, field.name)
        ]
        settings = loaded.ok_value
        in_force = role.reload(settings)
        log_change(logger, "settings reloaded", changed=changed, in_force=in_force)
