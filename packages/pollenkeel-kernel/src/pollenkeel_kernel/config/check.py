"""Validation of a configuration document: structure first, then cross-field rules.

The base must be valid on its own, because a site without an overlay uses it as is. An
error in the base is reported once, not again for each overlay.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
from result import Err, Result

from pollenkeel_kernel.config.merge import merge
from pollenkeel_kernel.config.model import ClusterConfig, ConfigDocument, QuotaConfig
from pollenkeel_kernel.config.policies import policy_choices
from pollenkeel_kernel.core.settings import MAX_DEADLINE_SECONDS, structure_checked

BASE = "base"
#: Tolerance for floating-point rounding in the sum of shares, e.g. ten times 0.1.
_SHARE_TOLERANCE = 1e-9


def check_document(
    document: ConfigDocument, names_by_layer: Mapping[str, str] | None = None
) -> list[str]:
    """Return one message per error; an empty list means that the document is valid.

    Parameters
    ----------
    document : ConfigDocument
        Parsed base and overlays; their content may be any YAML value.
    names_by_layer : mapping, optional
        File names to use in the messages, keyed by site or ``"base"``; the
        defaults are ``base`` and ``overlay of <site>``.

    Returns
    -------
    list[str]
        Messages with the file, the key, the value and, if any, the valid choices.
    """
    names = dict(names_by_layer or {})
    base_name = names.get(BASE, BASE)
    base_faults = list(_check_base(document))
    faults = [f"{base_name}: {fault}" for fault in base_faults]
    for site, overlay in sorted(document.overlays_by_site.items(), key=str):
        name = names.get(site, f"overlay of {site}")
        faults += [
            f"{name}: {fault}"
            for fault in _check_overlay(document, site, overlay, not base_faults)
            if fault not in base_faults
        ]
    return faults


def _check_overlay(
    document: ConfigDocument, site: str, overlay: Any, base_valid: bool
) -> Iterator[str]:
    """Yield the errors of an overlay and of its merge with the base."""
    if not isinstance(overlay, dict):
        yield f"expected a mapping, got {overlay!r:.60}"
        return
    keys = list(_check_keys(overlay, ""))
    yield from keys
    if keys or not isinstance(document.base, dict):
        return
    merged = merge(document.base, overlay)
    if any(_check_keys(document.base, "")):
        return
    structured = _structure(merged)
    if isinstance(structured, Err):
        yield from structured.err_value
    elif base_valid:
        # The rules run on the merged document, so errors in the base would repeat.
        yield from _check_rules(structured.ok_value, document)
        yield from _check_overlay_site(document, site, merged)


def _check_overlay_site(
    document: ConfigDocument, site: str, merged: dict
) -> Iterator[str]:
    sites = _base_sites(document) | _site_names(merged)
    if site not in sites:
        yield (
            f"site: no data centre is at site {site!r}; choices: {_join_choices(sites)}"
        )


def _check_base(document: ConfigDocument) -> Iterator[str]:
    keys = list(_check_keys(document.base, ""))
    yield from keys
    if keys:
        return
    structured = _structure(document.base)
    if isinstance(structured, Err):
        yield from structured.err_value
    else:
        yield from _check_rules(structured.ok_value, document)


def _structure(merged: Any) -> Result[ClusterConfig, list[str]]:
    return structure_checked(merged, ClusterConfig, "").map_err(
        lambda faults: [fault.removeprefix(": ") for fault in faults]
    )


def _check_rules(config: ClusterConfig, document: ConfigDocument) -> Iterator[str]:
    yield from _check_data_centres(config, document)
    yield from _check_services(config)
    yield from _check_teams(config)
    yield from _check_policy(config)


def _check_keys(value: Any, path: str) -> Iterator[str]:
    """Yield an error for each non-string key, such as an unquoted ``on`` or ``12``.

    The document is stored as JSON, which has string keys only.
    """
    if isinstance(value, list):
        for item in value:
            yield from _check_keys(item, path)
    if not isinstance(value, dict):
        return
    for key, item in value.items():
        key_path = f"{path}.{key}" if path else str(key)
        if isinstance(key, str):
            yield from _check_keys(item, key_path)
        else:
            yield f"{key_path}: expected a string as key, got {key!r}; put it in quotes"


def _check_data_centres(
    config: ClusterConfig, document: ConfigDocument
) -> Iterator[str]:
    if not config.data_centres:
        yield "data_centres: at least one data centre is required"
    sites = _base_sites(document) | {s for s in document.overlays_by_site if s}
    for name, data_centre in config.data_centres.items():
        key_path = f"data_centres.{name}"
        if not name or "/" in name:
            yield f"{key_path}: a name must not be empty or contain '/', got {name!r}"
        if not data_centre.region:
            yield f"{key_path}.region: must not be empty, got ''"
        if not data_centre.site:
            yield f"{key_path}.site: must not be empty, got ''"
        elif data_centre.site not in sites:
            yield (
                f"{key_path}.site: site {data_centre.site!r} has no overlay and is not "
                f"named in the base; choices: {_join_choices(sites)}"
            )


def _check_services(config: ClusterConfig) -> Iterator[str]:
    for name, service in config.services.items():
        key_path = f"services.{name}"
        if not name or "/" in name:
            yield f"{key_path}: a name must not be empty or contain '/', got {name!r}"
        if not 0 < service.promised_time <= MAX_DEADLINE_SECONDS:
            yield (
                f"{key_path}.promised_time: must be a positive number of seconds, "
                f"at most {MAX_DEADLINE_SECONDS:.0f}, got {service.promised_time}"
            )
        for data_centre in service.data_centres:
            if config.data_centres and data_centre not in config.data_centres:
                yield (
                    f"{key_path}.data_centres: unknown data centre {data_centre!r}; "
                    f"choices: {_join_choices(config.data_centres)}"
                )


def _check_teams(config: ClusterConfig) -> Iterator[str]:
    for name, team in config.teams.items():
        key_path = f"teams.{name}"
        if not name or "/" in name:
            yield f"{key_path}: a name must not be empty or contain '/', got {name!r}"
        if not 0 < team.share <= 1:
            yield f"{key_path}.share: must be above 0 and at most 1, got {team.share}"
        yield from _check_quota(team.quota, f"{key_path}.quota")
    total = math.fsum(team.share for team in config.teams.values())
    if total > 1 + _SHARE_TOLERANCE:
        yield f"teams: the shares sum to {total:g}; they must sum to at most 1"


def _check_quota(quota: QuotaConfig, key_path: str) -> Iterator[str]:
    for field in attrs.fields(QuotaConfig):
        amount = getattr(quota, field.name)
        if not (math.isfinite(amount) and amount >= 0):
            yield (
                f"{key_path}.{field.name}: must be 0 (unlimited) or more, got {amount}"
            )


def _check_policy(config: ClusterConfig) -> Iterator[str]:
    for field, choices in policy_choices().items():
        name = getattr(config.policy, field)
        if name not in choices:
            yield (
                f"policy.{field}: unknown plug-in {name!r}; choices: "
                f"{_join_choices(choices)}"
            )


def _base_sites(document: ConfigDocument) -> set[str]:
    return _site_names(document.base)


def _site_names(layer: Any) -> set[str]:
    data_centres = layer.get("data_centres") if isinstance(layer, dict) else None
    if not isinstance(data_centres, dict):
        return set()
    sites = {
        fields.get("site")
        for fields in data_centres.values()
        if isinstance(fields, dict)
    }
    return {site for site in sites if isinstance(site, str) and site}


def _join_choices(names: Any) -> str:
    return ", ".join(sorted(map(str, names))) or "none"
