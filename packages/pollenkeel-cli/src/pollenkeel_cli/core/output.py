"""Output of the commands as tables or JSON, and their exit codes."""

from __future__ import annotations

import datetime
import json
import sys
from collections.abc import Iterator
from typing import Any, NoReturn

import click
from result import Err, Result

from pollenkeel_kernel.core.refusal import Refusal

EXIT_REJECTED = 1
EXIT_BAD_USAGE = 2
_MAX_CELL_WIDTH = 60
#: Suffixes of keys whose values are timestamps.
_TIMESTAMP_KEY_SUFFIXES = ("_at", "deadline", "_until", "start_before")
#: Smallest number shown as a timestamp (September 2001), in seconds.
_EARLIEST_TIMESTAMP = 1e9


def unwrap_or_exit(result: Result[Any, Refusal]) -> Any:
    """Return the value, or print the refusal and exit with ``EXIT_REJECTED``."""
    if isinstance(result, Err):
        fail(str(result.err_value))
    return result.ok_value


def fail(*messages: str, code: int = EXIT_REJECTED) -> NoReturn:
    """Print messages to standard error and exit."""
    for message in messages:
        click.echo(message, err=True)
    sys.exit(code)


def show(value: Any, output: str) -> None:
    """Print a response.

    Parameters
    ----------
    value : Any
        Decoded JSON.
    output : str
        ``table`` or ``json``.
    """
    if output == "json":
        click.echo(json.dumps(value, indent=2, sort_keys=True))
        return
    for line in _render(value):
        click.echo(line)


def _render(value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        yield from _render_mapping(value)
    elif isinstance(value, list):
        yield from _render_list(value)
    else:
        yield _format_cell("", value)


def _render_mapping(members: dict[str, Any]) -> Iterator[str]:
    plain = {k: v for k, v in members.items() if not _is_nested(v)}
    width = max((len(_format_title(k)) for k in plain), default=0)
    for key, value in plain.items():
        yield f"{_format_title(key):<{width}}  {_format_cell(key, value)}".rstrip()
    for key, value in members.items():
        if _is_nested(value):
            yield ""
            yield f"{_format_title(key)}:"
            yield from (f"  {line}".rstrip() for line in _render(value))


def _render_list(items: list[Any]) -> Iterator[str]:
    if not all(isinstance(item, dict) for item in items):
        yield from (_format_cell("", item) for item in items)
        return
    columns = list(dict.fromkeys(key for item in items for key in item))
    rows = [[_format_cell(c, item.get(c, "")) for c in columns] for item in items]
    titles = [_format_title(column).upper() for column in columns]
    widths = [max(map(len, cells)) for cells in zip(titles, *rows, strict=True)]
    for cells in (titles, *rows):
        pairs = zip(cells, widths, strict=True)
        yield "  ".join(f"{cell:<{width}}" for cell, width in pairs).rstrip()


def _is_nested(value: Any) -> bool:
    if isinstance(value, dict):
        return bool(value)
    return isinstance(value, list) and any(isinstance(i, (dict, list)) for i in value)


def _format_title(key: str) -> str:
    return str(key).replace("_", " ")


def _format_cell(key: str, value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (int, float)) and _is_timestamp(key, value):
        moment = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return moment.strftime("%Y-%m-%d %H:%M:%S UTC")
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list):
        text = ", ".join(_format_cell("", item) for item in value) or "-"
    elif isinstance(value, dict):
        text = ", ".join(f"{k}={_format_cell(k, v)}" for k, v in value.items()) or "-"
    else:
        text = str(value)
    return text if len(text) <= _MAX_CELL_WIDTH or not key else text[:57] + "..."


def _is_timestamp(key: str, value: float) -> bool:
    """Return whether a number is a plausible Unix timestamp in seconds."""
    return _EARLIEST_TIMESTAMP <= value < 1e11 and key.endswith(_TIMESTAMP_KEY_SUFFIXES)
