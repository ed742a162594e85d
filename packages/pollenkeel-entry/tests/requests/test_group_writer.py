"""Tests of grouped writes whose transaction has a version conflict."""

from pollenkeel_entry.requests.group_writer import GroupWriter
from pollenkeel_kernel import Code
from pollenkeel_kernel.store.base import Put


def test_writes_share_transactions_and_fail_alone(fakes):
    """Guards against a conflict on one row that fails the writes of other callers."""
    backend = fakes.backend()
    backend.write([Put("t", "taken", b"", 0)])
    writer = GroupWriter(backend, "test")
    keys = [f"k{i}" for i in range(30)] + ["taken", "k0"]
    pending = [writer.submit(Put("t", key, b"v", 0)) for key in keys]
    writer.start()
    results = [write.wait(20) for write in pending]
    writer.close()
    assert all(result.is_ok() for result in results[:30])
    assert [r.unwrap_err().code for r in results[30:]] == [Code.VERSION_CONFLICT] * 2
    assert backend.writes < 20
    assert writer.submit(Put("t", "x", b"")).wait(1).is_err()


def test_writes_submitted_together_take_effect_together(fakes):
    """Guards against a conflict after which only one row of a claim is written."""
    backend = fakes.backend()
    backend.write([Put("t", "taken", b"", 0)])
    writer = GroupWriter(backend, "test")
    first = [writer.submit(Put("s", f"k{i}", b"v", 0)) for i in range(3)]
    both_applied = writer.submit(Put("s", "a", b"1", 0), Put("t", "a", b"2", 0))
    conflicting = writer.submit(Put("s", "b", b"1", 0), Put("t", "taken", b"2", 0))
    writer.start()
    results = [write.wait(20) for write in [*first, both_applied, conflicting]]
    writer.close()
    assert [r.is_ok() for r in results] == [True] * 4 + [False]
    assert ("s", "a") in backend.rows and ("t", "a") in backend.rows
    assert ("s", "b") not in backend.rows
