"""Guards against stored configurations that differ from what was applied."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from pollenkeel_kernel import Code
from pollenkeel_kernel.config import (
    ConfigDocument,
    decode_document,
    effective_config,
    encode_document,
)
from pollenkeel_kernel.config.document import (
    MAX_DOCUMENT_BYTES,
    data_centre_names,
    find_site,
    hash_body,
    object_key,
)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
)
VALUES = st.recursive(
    SCALARS, lambda v: st.lists(v) | st.dictionaries(st.text(), v), max_leaves=8
)
MAPPINGS = st.dictionaries(st.text(), VALUES, max_size=4)
DOCUMENTS = st.builds(
    ConfigDocument, MAPPINGS, st.dictionaries(st.text(), MAPPINGS, max_size=3)
)


@given(DOCUMENTS)
def test_round_trip(document):
    """Guards against values that change when they are encoded and decoded."""
    body = encode_document(document)
    assert decode_document(body) == Ok(document)
    reordered = ConfigDocument(
        dict(reversed(document.base.items())), document.overlays_by_site
    )
    assert encode_document(reordered) == body


@given(st.binary(max_size=40))
def test_arbitrary_bodies_are_refused(body):
    """Guards against a crash on a corrupted body."""
    assert decode_document(body).err_value.code == Code.BAD_CONFIG


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b'{"base": {}}',
        b'{"base": [], "overlays_by_site": {}}',
        b'{"base": {}, "overlays_by_site": {"a": 1}}',
        b'{"base": {}, "overlays_by_site": {}, "more": 1}',
        b"[" * 100_000,
    ],
)
def test_other_json_is_refused(body):
    """Guards against JSON of the wrong structure being accepted."""
    assert decode_document(zlib.compress(body)).err_value.code == Code.BAD_CONFIG


def test_body_that_expands_too_far_is_refused():
    """Guards against a small body that exhausts memory when it is decompressed."""
    body = zlib.compress(b" " * (MAX_DOCUMENT_BYTES + 1))
    assert decode_document(body).err_value.code == Code.BAD_CONFIG


def test_truncated_body_is_refused():
    """Guards against a truncated body that is accepted as complete."""
    body = encode_document(ConfigDocument({"a": "b" * 100}, {}))
    assert decode_document(body[:-6]).err_value.code == Code.BAD_CONFIG


def test_names_and_effective_config():
    """Guards against using the configuration of another site."""
    document = ConfigDocument(
        {
            "data_centres": {"kingston": {"region": "jm", "site": "east"}},
            "services": {"desk": {"promised_time": 2.0}},
        },
        {"east": {"services": {"desk": {"promised_time": 1}}}},
    )
    assert find_site(document, "kingston") == "east"
    assert find_site(document, "lima") == ""
    assert data_centre_names(document) == ["kingston"]
    effective = effective_config(document, "east").unwrap()
    assert effective.services["desk"].promised_time == 1.0
    assert effective_config(document, "").unwrap().services["desk"].promised_time == 2
    broken = ConfigDocument({"data_centres": 1}, {})
    assert effective_config(broken, "").err_value.code == Code.BAD_CONFIG


def test_object_key_names_version_and_content():
    """Guards against two different bodies with the same key."""
    assert object_key(3, b"a") == f"config/3-{hash_body(b'a')}"
    assert object_key(3, b"a") != object_key(3, b"b")
