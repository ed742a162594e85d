"""Guards against merges that lose keys of the base or modify their arguments."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenkeel_kernel.config import merge

SCALARS = st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=3)
KEYS = st.sampled_from("abcd")
VALUES = st.recursive(
    SCALARS,
    lambda v: st.lists(v, max_size=2) | st.dictionaries(KEYS, v, max_size=3),
    max_leaves=8,
)
MAPPINGS = st.dictionaries(KEYS, VALUES, max_size=4)


@pytest.mark.parametrize(
    ("base", "overlay", "merged"),
    [
        ({"a": 1}, {"b": 2}, {"a": 1, "b": 2}),
        ({"a": {"x": 1, "y": 2}}, {"a": {"y": 3}}, {"a": {"x": 1, "y": 3}}),
        ({"a": [1, 2]}, {"a": [3]}, {"a": [3]}),
        ({"a": {"x": 1}}, {"a": {"x": None}}, {"a": {}}),
        ({"a": 1}, {"a": {"x": None, "y": 1}}, {"a": {"y": 1}}),
        ({"a": {"x": 1}}, {"a": 2}, {"a": 2}),
    ],
)
def test_rules(base, overlay, merged):
    """Guards against deviations from the documented merge rules."""
    assert merge(base, overlay) == merged


@given(MAPPINGS, MAPPINGS)
def test_properties(base, overlay):
    """Guards against shared state, lost keys and non-idempotent merges."""
    before = copy.deepcopy((base, overlay))
    merged = merge(base, overlay)
    assert (base, overlay) == before
    assert merge(merged, overlay) == merged
    assert merge(base, {}) == base
    assert {k for k in base if k not in overlay} <= set(merged)
    assert all((k in merged) == (v is not None) for k, v in overlay.items())


@given(MAPPINGS, MAPPINGS)
def test_no_null_from_the_overlay_remains(base, overlay):
    """Guards against null values in the result, which no field accepts."""
    merged = merge({}, overlay)
    assert not any(value is None for value in _leaves(merged))


def _leaves(value):
    if isinstance(value, dict):
        for item in value.values():
            yield from _leaves(item)
    else:
        yield value
