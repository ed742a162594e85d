"""The ``pollenkeel`` command for operators."""

from __future__ import annotations

import click

from pollenkeel_cli.commands import config, dump, jobs

COMMANDS = (
    config.check,
    config.apply,
    jobs.status,
    jobs.submit,
    jobs.cancel,
    config.drain,
    config.undrain,
    jobs.explain,
    dump.dump,
)


@click.group()
@click.version_option(package_name="pollenkeel-cli")
def main() -> None:
    """Operate the pollenkeel scheduler.

    Exit codes: 0 success, 1 rejected or failed, 2 invalid usage,
    settings or job file.
    """


for _command in COMMANDS:
    main.add_command(_command)
