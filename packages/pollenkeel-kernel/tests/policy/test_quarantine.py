"""Tests of the quarantine of VMs whose worker fails every task."""

import pytest

from pollenkeel_kernel.policy.quarantine import ConsecutiveFailures


@pytest.fixture
def quarantine():
    """Quarantine of VM ``m`` after the failures of two tasks, until 4.0."""
    quarantine = ConsecutiveFailures(failures=2, pause=4.0, longest_pause=30.0)
    quarantine.record("m", "a", True, 0.0)
    quarantine.record("m", "b", True, 0.0)
    assert not quarantine.allowed("m", 3.9)
    return quarantine


def test_pause_grows_with_the_failure_of_a_further_task(quarantine):
    quarantine.started("m", 4.0)
    quarantine.record("m", "c", True, 4.5)
    assert not quarantine.allowed("m", 12.4)
    assert quarantine.allowed("m", 12.5)


def test_pause_does_not_grow_with_a_task_that_has_failed_before(quarantine):
    """Guards against a sound VM that hopeless tasks keep out of use."""
    for now in (4.0, 9.0, 14.0):
        quarantine.started("m", now)
        quarantine.record("m", "a", True, now + 0.5)
        assert not quarantine.allowed("m", now + 4.4)
        assert quarantine.allowed("m", now + 4.5)


def test_retracted_failure_ends_the_quarantine(quarantine):
    quarantine.retract("m", "b")
    assert quarantine.allowed("m", 1.0)
    quarantine.started("m", 1.0)
    assert quarantine.allowed("m", 1.0)
    quarantine.record("m", "c", True, 2.0)
    assert not quarantine.allowed("m", 5.9)


def test_failures_of_others_outlast_a_retracted_one(quarantine):
    quarantine.record("m", "c", True, 1.0)
    quarantine.retract("m", "b")
    quarantine.retract("other", "b")
    assert not quarantine.allowed("m", 3.9)


def test_tasks_started_before_the_quarantine_leave_its_pause(quarantine):
    """Guards against a long quarantine for failures that came together."""
    for task in ("c", "d", "e"):
        quarantine.record("m", task, True, 0.1)
    assert quarantine.allowed("m", 4.0)
