"""Tests of the pause of the garbage collector."""

import gc

import pytest

from pollenkeel_jobs.core.collection import paused_collection


def test_collector_runs_again_after_an_error():
    """Guards against memory that is never freed after a failed load."""
    with pytest.raises(ValueError, match="bad row"), paused_collection():
        assert not gc.isenabled()
        raise ValueError("bad row")
    assert gc.isenabled()
