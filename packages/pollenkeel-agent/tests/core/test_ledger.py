"""Guards against admitting more work than the VM can run."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pollenkeel_agent.core.ledger import Ledger
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.messages import Resources, TaskKey

VM = Resources(8, 32, 1)
KEY = TaskKey("t", 1)


@pytest.fixture
def ledger():
    return Ledger(VM)


def test_nothing_is_admitted_before_the_use_of_the_vm_is_known(ledger):
    """Guards against admission by a restarted agent with an empty ledger."""
    assert ledger.reserve_slot("desk").err_value.code is Code.NO_UPSTREAM
    refused = ledger.reserve_task(KEY, Resources(1))
    assert refused.err_value.code is Code.CAPACITY_UNKNOWN


def test_requests_of_an_earlier_process_use_slots_until_fewer_are_reported(ledger):
    """Guards against slots that are assigned twice after a restart of the agent."""
    ledger.add_upstream("desk", 2, 2, Resources())
    assert ledger.reserve_slot("desk").err_value.code is Code.VM_FULL
    ledger.update_upstream("desk", 2, 1, Resources())
    assert ledger.free_slots("desk") == 1


def test_orphaned_slot_is_freed_while_other_calls_run(ledger):
    """Guards against a slot that is never freed while the upstream is busy."""
    ledger.add_upstream("desk", 2, 0, Resources())
    ledger.reserve_slot("desk")
    ledger.orphan_slot("desk")
    ledger.reserve_slot("desk")
    for _ in range(3):
        ledger.update_upstream("desk", 2, 2, Resources())
        assert ledger.free_slots("desk") == 0
    for _ in range(3):
        ledger.update_upstream("desk", 2, 1, Resources())
    assert ledger.free_slots("desk") == 1


def test_larger_of_declared_and_reported_use_counts(ledger):
    """Guards against overload by tasks that use more than they declared."""
    ledger.add_upstream("desk", 2, 0, Resources(2, 2))
    ledger.record_running([(KEY, Resources(4, 1), Resources(1, 20))])
    assert ledger.free() == Resources(2, 10, 1)
    refused = ledger.reserve_task(TaskKey("u", 1), Resources(3, 1))
    assert refused.err_value.code is Code.VM_FULL
    ledger.release_task(KEY)
    assert ledger.reserve_task(TaskKey("u", 1), Resources(3, 1)).is_ok()


@settings(max_examples=100, derandomize=True)
@given(st.lists(st.sampled_from(["reserve", "end", "time-out", "finish", "announce"])))
def test_running_requests_never_exceed_the_slots(steps):
    """Guards against overload after any order of calls, time-outs and announcements."""
    ledger = Ledger(VM)
    ledger.add_upstream("desk", 3, 0, Resources())
    active = running = 0
    for step in steps:
        if step == "reserve" and ledger.reserve_slot("desk").is_ok():
            active, running = active + 1, running + 1
        elif step == "end" and active:
            ledger.release_slot("desk")
            active, running = active - 1, running - 1
        elif step == "time-out" and active:
            ledger.orphan_slot("desk")
            active -= 1
        elif step == "finish" and running > active:
            running -= 1
        elif step == "announce":
            ledger.update_upstream("desk", 3, running, Resources())
        assert running <= 3
