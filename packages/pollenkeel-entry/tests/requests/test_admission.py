"""Tests of request admission and the retry budget."""

from pollenkeel_entry.requests.admission import Admission
from pollenkeel_entry.requests.budget import RetryBudget
from pollenkeel_kernel import Code
from pollenkeel_kernel.policy.request_share import REQUEST_SHARES


def fill(admission, team, share, policy):
    """Enter requests until one is rejected; return the count and the code."""
    count = 0
    while True:
        result = admission.enter(team, share, REQUEST_SHARES.get(policy)())
        if result.is_err():
            return count, result.unwrap_err().code
        count += 1


def test_busy_team_leaves_capacity_for_others():
    """Guards against rejecting a team below its share while another exceeds its own."""
    admission = Admission(threads=100, waiting_requests=1000)
    assert fill(admission, "busy", 0.1, "fair") == (68, Code.TEAM_OVER_SHARE)
    assert fill(admission, "quiet", 0.25, "fair")[0] >= 22
    admission.leave("busy")
    assert admission.total() == 89


def test_baseline_admits_up_to_the_limit():
    """Guards against a baseline policy that enforces shares."""
    admission = Admission(threads=100, waiting_requests=1000)
    assert fill(admission, "busy", 0.1, "none") == (90, Code.TEAM_OVER_SHARE)


def test_budget_is_a_fraction_of_the_requests():
    """Guards against more retries than the ratio allows."""
    budget = RetryBudget(0.1)
    spent = 0
    for _ in range(200):
        budget.add_request("s")
        spent += budget.try_spend("s")
    assert 28 <= spent <= 30
