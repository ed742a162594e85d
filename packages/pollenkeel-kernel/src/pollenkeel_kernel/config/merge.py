"""Merge of the base document with the overlay of a site.

The rules are those of JSON Merge Patch (RFC 7396):

- two mappings are merged recursively, key by key;
- ``null`` in the overlay removes the key, so that its default applies again;
- any other value in the overlay, including a list, replaces the value in the base.
  Lists are never concatenated, because an overlay could then not shorten one.
"""

from __future__ import annotations

import copy
from typing import Any


def merge(base: dict, overlay: dict) -> dict:
    """Return the base with the overlay applied; neither argument is changed.

    Parameters
    ----------
    base, overlay : dict
        Parsed YAML mappings.

    Returns
    -------
    dict
        New mapping that shares no mutable values with the arguments.
    """
    merged = copy.deepcopy(base)
    for key, value in overlay.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = _merge_value(merged.get(key), value)
    return merged


def _merge_value(base: Any, value: Any) -> Any:
    if not isinstance(value, dict):
        return copy.deepcopy(value)
    return merge(base if isinstance(base, dict) else {}, value)
