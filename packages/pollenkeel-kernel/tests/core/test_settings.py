"""Guards against accepted settings that violate a guarantee of the system."""

import pytest

from pollenkeel_kernel.core.settings import (
    EntrySettings,
    LimitSettings,
    structure_checked,
)

RAW = {"id": "e", "data_centre": "kgn", "store": {"url": "http://127.0.0.1:1"}}


@pytest.mark.parametrize("value", [3600, 14399.9, 0, -1, float("nan"), float("inf")])
def test_invalid_retention_is_rejected(value):
    """Guards against claims deleted while their requests may still be retried.

    The minimum is four times the longest request, 14400 seconds.
    """
    raw = RAW | {"limits": {"claim_retention": value}}
    faults = structure_checked(raw, EntrySettings, "entry.yaml").unwrap_err()
    assert len(faults) == 1
    for part in ("entry.yaml: limits", "claim_retention", "14400", str(float(value))):
        assert part in faults[0]


def test_retention_is_a_day_by_default():
    """Guards against a limit that rejects the default or the limit itself."""
    assert LimitSettings().claim_retention == 86400
    raw = RAW | {"limits": {"claim_retention": 14400}}
    assert structure_checked(raw, EntrySettings, "entry.yaml").is_ok()
