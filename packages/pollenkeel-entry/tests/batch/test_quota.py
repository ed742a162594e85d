"""Guards against a quota granted several times and a team that can never start."""

import pytest

from pollenkeel_entry.batch.quota import QuotaTable, is_over_quota
from pollenkeel_entry.batch.state import TeamUsage
from pollenkeel_kernel.config.model import QuotaConfig
from pollenkeel_kernel.core.messages import Resources

SIZE = Resources(2.0, 1.0, 0)


@pytest.mark.parametrize(
    ("quota", "held", "part", "over"),
    [
        (QuotaConfig(tasks=4), 1, 0.5, False),
        (QuotaConfig(tasks=4), 2, 0.5, True),
        (QuotaConfig(cores=8.0), 2, 0.5, True),
        (QuotaConfig(cores=2.0), 0, 0.25, False),
        (QuotaConfig(cores=1.0), 0, 1.0, True),
        (QuotaConfig(), 99, 0.25, False),
    ],
)
def test_entry_uses_only_its_part_of_a_quota(quota, held, part, over):
    """Guards against exceeding the part of an entry, and a part too small to start."""
    used = TeamUsage(Resources(2.0 * held, float(held), 0), held)
    assert is_over_quota(quota, SIZE, used, part) is over


def test_planned_starts_count_until_the_shard_is_gone():
    """Guards against two shards that plan the same part of a quota."""
    table = QuotaTable(4)
    table.set(0, {"a": TeamUsage(SIZE, 1)}, [("a", SIZE)])
    view = table.view(1)
    assert view.part == 0.5
    assert view.add_to({"a": TeamUsage(SIZE, 1)})["a"].tasks == 3
    table.remove(0)
    assert table.view(1).part == 0.25
    assert not table.view(1).others_by_team
