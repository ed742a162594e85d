"""Guards against JSON of other writers that ends its reader."""

import pytest

from pollenkeel_kernel.core.json_text import parse_json


@pytest.mark.parametrize(
    "text", [b"[" * 100_000, b'{"a":' * 100_000, b"9" * 5000, b"{", b"", b"\xff"]
)
def test_text_that_cannot_be_decoded_raises_value_error(text):
    """Callers catch ValueError only."""
    with pytest.raises(ValueError):
        parse_json(text)


def test_values_are_those_of_the_text():
    assert parse_json(b'{"a": [1, 2.5, null]}') == {"a": [1, 2.5, None]}
