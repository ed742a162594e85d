"""Guards against rows of any writer that end each process that becomes leader."""

import msgpack
import pytest
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.interference_model import InterferenceModel
from pollenkeel_jobs.core.leadership import TAKEOVER_SECONDS, Leadership
from pollenkeel_jobs.core.names import LEADER, LEADER_KEY, LEADER_PARTITION
from pollenkeel_jobs.core.records import encode_job
from pollenkeel_jobs.core.tables import RowWrite, Transaction

PLACED = [1, 1, 0, 0, ""]


@pytest.mark.parametrize(
    "task",
    [
        [1, "x", 0, 0, ""],
        [1, -1, 0, 0, ""],
        [1, 1, 1e999, 0, ""],
        [1, 1, 0, 7, ""],
        [1, 1, 0, 0, 5],
        [1, 1, 0, 0, "", [5]],
        [1, 1, 0, 0, "", [], []],
        [9, 1, 0, 0, ""],
        "task",
    ],
)
def test_job_with_an_odd_progress_row_is_left_out(clock, task):
    """The other jobs go on."""
    site = Site(clock)
    progress = ["running", False, True, ["vm-0/w~1"], [[0, 0, [PLACED, task]]]]
    site.scheduler.load(
        [
            (encode_job(make_job("odd")), msgpack.packb(progress)),
            (encode_job(make_job("good")), None),
        ]
    )
    site.step()
    assert site.running == ["good.0.0.0", "good.0.0.1"]


@pytest.mark.parametrize("weight", [float("nan"), float("inf"), "x", None])
def test_odd_interference_row_is_ignored(weight):
    """Guards against weights that no task can be placed with."""
    model = InterferenceModel()
    model.load(msgpack.packb([2, [["odd", [["filling", weight]]]]]))
    assert model.weight("odd", "filling") == model.weight("unknown", "filling")


@pytest.mark.parametrize(
    "fields", [[1, 2, 3, 4], ["1", "h/1", "a", 1], [1, "h/1", "a"], {}, [[]] * 4]
)
def test_odd_lease_row_is_taken_over(tables, clock, ask, fields):
    """Guards against a lease that no entry can acquire."""
    row = RowWrite(LEADER, LEADER_KEY, msgpack.packb(fields))
    tables.transact(Transaction(LEADER_PARTITION, (), (row,)))
    leadership = Leadership("entry-1", "tcp://entry-1", tables, clock)
    assert not leadership.observe(ask)
    clock.advance(TAKEOVER_SECONDS + 0.1)
    assert leadership.observe(ask)
