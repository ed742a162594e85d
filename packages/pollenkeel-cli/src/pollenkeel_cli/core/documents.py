"""Loads configuration documents and jobs from YAML files."""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from pollenkeel_kernel.config.check import BASE, check_document
from pollenkeel_kernel.config.model import ConfigDocument
from pollenkeel_kernel.core.settings import load_yaml


def load_document(
    base: Path, overlays: Iterable[tuple[str, Path]]
) -> Result[ConfigDocument, list[str]]:
    """Read and check a base file and the overlays of the sites.

    Returns
    -------
    Result[ConfigDocument, list[str]]
        The document, or one message for each error.
    """
    paths_by_layer = {BASE: base}
    for site, path in overlays:
        if site in paths_by_layer:
            return Err([f"{path}: site {site!r} has more than one overlay"])
        paths_by_layer[site] = path
    content_by_layer: dict[str, Any] = {}
    faults: list[str] = []
    for layer, path in paths_by_layer.items():
        loaded = load_yaml(path)
        if isinstance(loaded, Err):
            faults += loaded.err_value
        else:
            # An empty file is an overlay that changes nothing.
            content = loaded.ok_value
            content_by_layer[layer] = {} if content is None else content
    if faults:
        return Err(faults)
    document = ConfigDocument(content_by_layer.pop(BASE), content_by_layer)
    names = {layer: str(path) for layer, path in paths_by_layer.items()}
    faults = check_document(document, names)
    return Err(faults) if faults else Ok(document)


def load_job(path: Path) -> Result[dict[str, Any], list[str]]:
    """Read a job and convert its ``deadline`` to seconds since the Unix epoch."""
    loaded = load_yaml(path)
    if isinstance(loaded, Err):
        return loaded
    job = loaded.ok_value
    if not isinstance(job, dict):
        return Err([f"{path}: expected a mapping, got {job!r:.60}"])
    deadline = parse_deadline(job.get("deadline", 0))
    if isinstance(deadline, Err):
        return Err([f"{path}: deadline: {deadline.err_value}"])
    return Ok({**job, "deadline": deadline.ok_value})


def parse_deadline(value: Any) -> Result[float, str]:
    """Convert a deadline to seconds since the Unix epoch; 0 means no deadline.

    Parameters
    ----------
    value : Any
        A number of seconds, an ISO 8601 string or a ``datetime`` parsed by YAML; the
        latter two need a time zone.
    """
    if type(value) in (int, float):
        return Ok(float(value))
    parsed_time = value
    if isinstance(value, str):
        try:
            parsed_time = datetime.datetime.fromisoformat(value)
        except ValueError:
            parsed_time = None
    if isinstance(parsed_time, datetime.datetime) and parsed_time.tzinfo is not None:
        return Ok(parsed_time.timestamp())
    return Err(
        f"{value!s:.60} is neither seconds since the epoch nor a time with a zone, "
        "such as 2026-12-05T06:00:00-03:00"
    )
