"""Guards against a busy team that occupies slots that other teams need immediately."""

import pytest

from pollenkeel_kernel.policy.request_share import REQUEST_SHARES, TeamLoad

FAIR = REQUEST_SHARES.get("fair")()


@pytest.mark.parametrize(
    ("in_flight", "average", "free", "others", "expected"),
    [
        (3, 9.0, 1, 0.75, True),
        (9, 9.0, 4, 0.75, False),
        (9, 9.0, 5, 0.75, True),
        (9, 9.0, 1, 0.0, True),
        (9, 2.0, 1, 0.75, True),
    ],
)
def test_borrowing_leaves_a_reserve(in_flight, average, free, others, expected):
    """Guards against borrowing without a reserve, or a reserve for idle teams."""
    team = TeamLoad("busy", 0.25, in_flight, 1, average)
    assert FAIR.may_borrow(team, free, 16, others) is expected


def test_burst_takes_precedence_over_steady_use():
    """Guards against a borrowing team that is served first in a dip of its slot use."""
    steady = TeamLoad("busy", 0.25, 4, 1, 9.0)
    burst = TeamLoad("north", 0.25, 5, 2, 1.0)
    assert FAIR.next_team([steady, burst]) is burst
