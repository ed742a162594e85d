"""Tests of the client of the operators' API."""

from pollenkeel_cli.core.client import _decode_response
from pollenkeel_kernel import Code


class _Response:
    status = 200
    data = b"[" * 100_000


def test_deeply_nested_reply_is_an_error_with_a_code():
    """Guards against a command that ends with a traceback."""
    assert _decode_response("entry", _Response()).unwrap_err().code is Code.INTERNAL
