"""Tests of the claim sweep: no claim stays for ever or is deleted too early."""

import threading

import attrs
import msgpack
import pytest
from result import Ok

from pollenkeel_entry.requests import claim_row
from pollenkeel_entry.requests.claim_row import ClaimState, unpack_pointer, unpack_row
from pollenkeel_entry.requests.metrics import CLAIMS_DELETED
from pollenkeel_entry.requests.retention import ClaimSweep
from pollenkeel_kernel import Code
from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.store.base import Put

KEY = ("claims", "a/desk/k")
DAY = 24 * 3600.0
#: At least the longest time to a deadline in these tests.
MAX_REQUEST_SECONDS = 10.0


class OffsetClock(Clock):
    """Clock that runs ahead of the clock of the requests."""

    def __init__(self, clock, seconds_ahead=DAY + MAX_REQUEST_SECONDS):
        self.clock = clock
        self.seconds_ahead = seconds_ahead

    def now(self):
        return self.clock.now() + self.seconds_ahead


@pytest.fixture
def make_sweep(fakes):
    def make(rig, seconds_ahead=DAY + MAX_REQUEST_SECONDS):
        clock = OffsetClock(fakes.clock, seconds_ahead)
        return ClaimSweep(attrs.evolve(rig.context, clock=clock), lambda: True)

    return make


def post(rig, **options):
    return rig.forward("POST", key="k", **options)


def code(result):
    return result.ok_value.code if isinstance(result, Ok) else result.err_value.code


def tables(rig):
    return sorted(table for table, _ in rig.backend.rows)


def state_row_key(rig):
    pointer = unpack_pointer(rig.backend.rows[KEY].value)
    return "claim_states", pointer.state_id


def stored(rig):
    return unpack_row(rig.backend.rows[state_row_key(rig)].value).unwrap()


def is_finished(rig):
    return KEY in rig.backend.rows and stored(rig).state is ClaimState.FINISHED


def finish(rig, fakes, **options):
    agent = rig.add_agent()
    assert code(post(rig, **options)) is Code.OK
    fakes.wait_until(lambda: is_finished(rig))
    return agent


def leave_open(rig, fakes):
    """Leave an open claim whose attempt ran and whose reply was lost."""
    agent = rig.add_agent()

    def lose(agent, dispatch):
        agent.run(dispatch)
        return agent.refuse(dispatch, Code.NO_REPLY)

    agent.script = [lose]
    assert code(post(rig)) is Code.NO_REPLY
    return agent


def sweep_until_empty(sweep, rig, passes=10):
    for _ in range(passes):
        sweep.sweep().unwrap()
    assert tables(rig) == []
    assert rig.backend.objects == {}


def test_finished_claim_past_its_retention_is_deleted(rig, fakes, make_sweep):
    """Guards against a table that grows without limit."""
    finish(rig, fakes)
    before = CLAIMS_DELETED._value.get()
    assert make_sweep(rig).sweep() == Ok(True)
    assert tables(rig) == []
    assert CLAIMS_DELETED._value.get() == before + 1


@pytest.mark.parametrize("body", [b"x", b"x" * 100_000])
def test_repeat_within_the_retention_is_answered(rig, fakes, make_sweep, body):
    """Guards against a second run because the answer was deleted too early."""
    agent = finish(rig, fakes, body=body)
    for _ in range(3):
        assert make_sweep(rig, DAY - 1).sweep() == Ok(True)
    agent.replies.clear()
    assert code(post(rig, body=body)) is Code.REPLAYED
    assert agent.ran[body] == 1


def test_open_claim_is_kept_until_its_retention(rig, fakes, make_sweep):
    """Guards against a second run while the first attempt may still run."""
    agent = leave_open(rig, fakes)
    for seconds_ahead in (0, 3600, DAY - 1):
        assert make_sweep(rig, seconds_ahead).sweep() == Ok(True)
    assert code(post(rig)) is Code.REPLAYED
    assert agent.ran[b"x"] == 1


def test_open_claim_past_its_retention_is_deleted(rig, fakes, make_sweep):
    """Guards against claims and objects that crashed entries leave behind."""
    leave_open(rig, fakes)
    name = f"answers/{stored(rig).attempt_id}"
    rig.backend.objects[name] = b"stored without its row"
    sweep_until_empty(make_sweep(rig), rig)


def test_claim_is_marked_before_its_object_is_deleted(rig, fakes, make_sweep):
    """Guards against a finished claim that names a missing object."""
    finish(rig, fakes, body=b"x" * 100_000)
    sweep = make_sweep(rig)
    assert sweep.sweep() == Ok(False)
    assert stored(rig).state is ClaimState.EXPIRED
    assert list(rig.backend.objects) == [stored(rig).answer_object]
    rig.backend.objects_down = True
    assert code(sweep.sweep()) is Code.STORE_UNAVAILABLE
    assert tables(rig) == ["claim_states", "claims"]
    rig.backend.objects_down = False
    sweep_until_empty(sweep, rig)


@pytest.mark.parametrize("object_deleted", [False, True])
def test_repeat_of_an_expired_claim_runs_and_is_kept(
    rig, fakes, make_sweep, object_deleted
):
    """Guards against faults when the key of an expired claim is used again.

    The key could stay blocked, the old object could remain, or the sweep could delete
    the new claim.
    """
    body = b"x" * 100_000
    agent = finish(rig, fakes, body=body)
    sweep = make_sweep(rig)
    sweep.sweep().unwrap()
    old = stored(rig).answer_object
    if object_deleted:
        rig.backend.faults = ["down"]
        assert code(sweep.sweep()) is Code.STORE_UNAVAILABLE
        assert rig.backend.objects == {}
    assert code(post(rig, body=body)) is Code.OK
    fakes.wait_until(lambda: is_finished(rig))
    assert agent.ran[body] == 2
    assert list(rig.backend.objects) == [stored(rig).answer_object] != [old]
    for _ in range(3):
        make_sweep(rig, DAY - 1).sweep().unwrap()
    assert code(post(rig, body=body)) is Code.REPLAYED


def test_claim_that_changed_since_it_was_read_is_kept(rig, fakes, make_sweep):
    """Guards against deleting a claim that a repeated request has taken over."""
    agent = leave_open(rig, fakes)
    sweep = make_sweep(rig)
    sweep.sweep().unwrap()
    write = rig.backend.write

    def write_after_the_repeat(puts):
        rig.backend.write = write
        assert code(post(rig)) is Code.OK
        fakes.wait_until(lambda: is_finished(rig))
        return write(puts)

    rig.backend.write = write_after_the_repeat
    assert code(sweep.sweep()) is Code.VERSION_CONFLICT
    assert is_finished(rig)
    assert code(post(rig)) is Code.REPLAYED
    assert agent.ran[b"x"] == 2


def test_late_writes_do_not_touch_a_key_that_was_claimed_again(rig, fakes, make_sweep):
    """Guards against a delayed write for a deleted claim that changes its successor."""
    finish(rig, fakes)
    backend = rig.backend
    pointer, state = backend.rows[KEY], backend.rows[state_row_key(rig)]
    late = [[Put(*state_row_key(rig), b"late", version)] for version in range(1, 5)]
    late.append(
        [
            Put(*KEY, None, pointer.version),
            Put(*state_row_key(rig), None, state.version),
        ]
    )
    sweep_until_empty(make_sweep(rig), rig)
    assert code(post(rig)) is Code.OK
    fakes.wait_until(lambda: is_finished(rig))
    assert (backend.rows[KEY].version, backend.rows[state_row_key(rig)].version) == (
        pointer.version,
        state.version,
    )
    rows = dict(backend.rows)
    for puts in late:
        assert code(backend.write(puts)) is Code.VERSION_CONFLICT
    assert backend.rows == rows


def test_deleted_claim_is_created_again(rig, fakes, make_sweep):
    """Guards against a claim that cannot be assigned because its row was deleted."""
    rig.add_agent()
    claims = rig.service.forwarder._claims
    request = rig.request("POST", key="k")
    lease = rig.router.acquire(request, frozenset()).unwrap()
    first = claims.create(request)
    assert first.assign(lease, "first") == Ok(True)
    sweep_until_empty(make_sweep(rig), rig)
    assert first.assign(lease, "second") == Ok(True)
    assert stored(rig).attempt_id == "second"
    assert rig.backend.rows[KEY].version == 1
    rig.router.release(lease, Code.OK)


@pytest.mark.parametrize("body", [b"x", b"x" * 100_000])
@pytest.mark.parametrize("faults", [["lost"], ["dropped"], ["down", "dropped", "lost"]])
def test_sweep_continues_after_lost_store_replies(rig, fakes, make_sweep, faults, body):
    """Guards against a sweep that stops, or deletes one of two rows, after a fault."""
    finish(rig, fakes, body=body)
    sweep = make_sweep(rig)
    rig.backend.faults = list(faults)
    for _ in range(6):
        sweep.sweep()
        assert tables(rig) in ([], ["claim_states", "claims"])
    sweep_until_empty(sweep, rig)


def test_outage_delays_the_sweep(rig, fakes, make_sweep):
    """Guards against claims that are skipped because of a store outage."""
    finish(rig, fakes)
    sweep = make_sweep(rig)
    rig.backend.all_down = True
    assert code(sweep.sweep()) is Code.STORE_UNAVAILABLE
    rig.backend.all_down = False
    assert sweep.sweep() == Ok(True)
    assert tables(rig) == []


def test_two_entries_sweep_at_once(rig, fakes, make_sweep):
    """Guards against the slower of two sweeps deleting a new claim."""
    agent = finish(rig, fakes)
    first, second = make_sweep(rig), make_sweep(rig)
    write = rig.backend.write

    def write_second_before_first(puts):
        rig.backend.write = write
        assert second.sweep() == Ok(True)
        assert tables(rig) == []
        assert code(post(rig)) is Code.OK
        fakes.wait_until(lambda: is_finished(rig))
        return write(puts)

    rig.backend.write = write_second_before_first
    assert code(first.sweep()) is Code.VERSION_CONFLICT
    assert code(post(rig)) is Code.REPLAYED
    assert agent.ran[b"x"] == 2


def test_many_claims_swept_by_two_threads(rig, fakes, make_sweep):
    """Guards against sweeps whose conflicts prevent any progress."""
    add_claims(rig, 100)
    sweeps = [make_sweep(rig), make_sweep(rig)]

    def run(sweep):
        for _ in range(200):
            sweep.sweep()

    threads = [threading.Thread(target=run, args=(sweep,)) for sweep in sweeps]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert tables(rig) == []


def test_each_pass_is_bounded(rig, make_sweep):
    """Guards against a sweep that uses up the store's request rate."""
    add_claims(rig, 1200)
    sweep = make_sweep(rig)
    sizes, reads = [], []
    write, get = rig.backend.write, rig.backend.get
    rig.backend.write = lambda puts: sizes.append(len(puts)) or write(puts)
    rig.backend.get = lambda *place: reads.append(place) or get(*place)
    passes = 0
    while tables(rig):
        sweep.sweep().unwrap()
        passes += 1
        assert len(reads) <= 20 * passes
    assert max(sizes) <= 40
    assert passes <= 64


def test_claim_taken_over_late_outlives_its_pointer(rig, fakes, make_sweep):
    """Guards against deleting a claim when only its pointer is past its retention."""
    add_claims(rig, 3, delete_after=fakes.clock.now() + 1.5 * DAY)
    for _ in range(3):
        assert make_sweep(rig).sweep() == Ok(True)
    assert len(rig.backend.rows) == 6
    assert make_sweep(rig, 2 * DAY).sweep() == Ok(True)
    assert tables(rig) == []


def test_claims_within_their_retention_are_not_read(rig, fakes, make_sweep):
    """Guards against reading every claim whenever the sweep scans the table."""
    finish(rig, fakes)
    reads = []
    rig.backend.get = lambda *place: reads.append(place)
    assert make_sweep(rig, DAY - 1).sweep() == Ok(True)
    assert reads == []


def test_rows_of_an_earlier_version_are_read_and_kept(rig, fakes, make_sweep):
    """Guards against a second run, or an early deletion, after an upgrade."""
    agent = finish(rig, fakes)
    fields = msgpack.unpackb(rig.backend.rows[state_row_key(rig)].value)
    del fields["delete_after"]
    rig.backend.rows.clear()
    rig.backend.write([Put(*KEY, msgpack.packb(fields), 0)])
    agent.replies.clear()
    for _ in range(3):
        assert make_sweep(rig, 1000 * DAY).sweep() == Ok(True)
    assert code(post(rig)) is Code.REPLAYED
    assert agent.ran[b"x"] == 1


def test_open_row_of_an_earlier_version_is_changed_in_place(rig, fakes):
    """Guards against moving a claim where an entry of the earlier version misses it."""
    leave_open(rig, fakes)
    fields = msgpack.unpackb(rig.backend.rows[state_row_key(rig)].value)
    del fields["delete_after"]
    rig.backend.rows.clear()
    rig.backend.write([Put(*KEY, msgpack.packb(fields), 0)])
    assert code(post(rig)) is Code.REPLAYED
    fakes.wait_until(lambda: rig.backend.rows[KEY].version == 2)
    row = unpack_row(rig.backend.rows[KEY].value).unwrap()
    assert row.state is ClaimState.FINISHED
    assert tables(rig) == ["claims"]


def test_pointer_is_unreadable_for_an_earlier_version(rig, fakes):
    """Guards against a take-over by an earlier version that does not read pointers."""
    finish(rig, fakes)
    assert unpack_row(rig.backend.rows[KEY].value).unwrap_err().code is (
        Code.ATTEMPT_LOST
    )


def add_claims(rig, count, delete_after=1.0):
    template = claim_row.ClaimRow(
        ClaimState.RELEASED, "d", "a", "g", "e", "t", "v", delete_after=delete_after
    )
    for number in range(count):
        pointer = claim_row.ClaimPointer(f"s{number}", 1.0)
        rig.backend.write(
            [
                Put("claim_states", f"s{number}", claim_row.pack_row(template), 0),
                Put("claims", f"k{number:05}", claim_row.pack_pointer(pointer), 0),
            ]
        )
