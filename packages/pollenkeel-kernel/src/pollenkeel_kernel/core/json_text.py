"""Decoding of JSON texts that may come from any writer."""

from __future__ import annotations

import json
from typing import Any


def parse_json(text: str | bytes) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    ValueError
        If the text is not JSON, is nested too deeply to be decoded, or has an integer
        with thousands of digits.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error
