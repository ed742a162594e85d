"""Tests of header validation and of the headers that are forwarded."""

import pytest
from result import Ok

from pollenkeel_entry.requests import headers
from pollenkeel_kernel import Code


def test_headers_of_the_connection_are_dropped():
    """Guards against forwarding hop-by-hop headers."""
    sent = {
        "Connection": "close, X-Hop",
        "X-Hop": "1",
        "Te": "trailers",
        "Host": "h",
        "Pollenkeel-Team": "a",
        "Accept": "*/*",
        "Idempotency-Key": "k",
    }
    kept = {"Accept": "*/*", "Idempotency-Key": "k"}
    assert headers.forwarded_request_headers(sent) == kept


@pytest.mark.parametrize("value", ["x", "nan", "inf", "5000000000", ""])
def test_bad_deadlines_are_refused(value):
    """Guards against requests that occupy a thread indefinitely."""
    result = headers.parse_deadline({headers.DEADLINE_HEADER: value}, 1000.0, 2.0)
    assert result.unwrap_err().code is Code.BAD_REQUEST


def test_default_deadline_does_not_exceed_the_limit():
    """Guards against a claim that is deleted while its request may still run."""
    assert headers.parse_deadline({}, 1000.0, 2.0) == Ok(1002.0)
    assert headers.parse_deadline({}, 1000.0, 1e9) == Ok(4600.0)


def test_passed_deadline_is_refused():
    """Guards against sending a request after its deadline."""
    result = headers.parse_deadline({headers.DEADLINE_HEADER: "999"}, 1000.0, 2.0)
    assert result.unwrap_err().code is Code.DEADLINE_TOO_CLOSE


@pytest.mark.parametrize("key", ["", "a b", "é", "k" * 257])
def test_bad_keys_are_refused(key):
    """Guards against keys that the table cannot hold."""
    assert (
        headers.parse_key({headers.KEY_HEADER: key}).unwrap_err().code
        is Code.BAD_REQUEST
    )


def test_idempotent_header_is_checked():
    """Guards against a misspelt header that makes a POST repeatable."""
    assert headers.parse_idempotent({headers.IDEMPOTENT_HEADER: "yes"}, False).is_err()
    assert headers.parse_idempotent({headers.IDEMPOTENT_HEADER: "true"}, False).unwrap()
