"""Guards against the effects of a store outage longer than the leases.

During the outage running work must go on and no task may start after its permit has
ended; afterwards no work may be lost or repeated.
"""

import itertools

import pytest

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.settings import TimingSettings
from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.rig import AGENTS, CLOCK, ENTRIES, Callers, start_rig
from pollenkeel_standins.site import FAST_TIMING

WAIT_SECONDS = 40.0
TIMING = {"outage_grace": 30.0}
#: Seconds for which tasks may still start: permit_ttl plus max_clock_skew.
PERMIT_SECONDS = FAST_TIMING["permit_ttl"] + TimingSettings().max_clock_skew
#: Duration of an outage in seconds: several times every lease but ``outage_grace``.
OUTAGE_SECONDS = 10.0
SHARDS = 8
OPEN_TASKS = 6
#: Seconds after the recovery during which the store's calls are counted.
COUNT_SECONDS = 2.0
CASES = [
    ["refuse"],
    ["break"],
    ["hang"],
    ["refuse", "refuse"],
    ["hang", "break"],
]


@pytest.fixture
def rig(tmp_path):
    with start_rig(tmp_path, timing=TIMING) as rig:
        yield rig


#: HTTP statuses and codes with which a submission may be rejected.
REJECTIONS = [
    (503, Code.STORE_UNAVAILABLE.value),
    (503, Code.NOT_OWNER.value),
    (504, Code.WRITE_UNKNOWN.value),
]


def compute_max_call_rate():
    """Return the store calls per second that the intervals allow in normal operation.

    Each entry reads the head every ``head_interval``, writes and reads the list of
    entries three times in ``entry_ttl`` and in each sixth of ``shard_lease`` renews its
    shards and reads both lists; each shard commits at most once in
    ``commit_interval``. A recovered shard reads its log once.
    """
    timing = {**FAST_TIMING, **TIMING}
    ownership = 6.0 / timing["shard_lease"] * (SHARDS + 2 * len(ENTRIES))
    entries = len(ENTRIES) * (1.0 / timing["head_interval"] + 6.0 / timing["entry_ttl"])
    commits = SHARDS / TimingSettings().commit_interval
    return ownership + entries + commits


def count_calls(rig):
    counts = rig.cluster.get_record(rig.site.platform)["counts"]
    refused = counts.get("reads_refused", 0) + counts.get("writes_refused", 0)
    assert refused == 0, "the store's limits were reached"
    return counts["reads"] + counts["writes"] + counts.get("conflicts", 0)


def wait_for_shards(rig):
    def owned():
        return sum(len(rig.site.dump(rig.process(n))["shards"]) for n in ENTRIES)

    wait_until(lambda: owned() == SHARDS, WAIT_SECONDS, "owned shards")


def submit(rig, job_id, tasks, command):
    rig.site.submit(rig.process("entry-0"), job_id, tasks, command)


def try_submit(rig, job_id, tasks, command):
    try:
        submit(rig, job_id, tasks, command)
    except RuntimeError:
        return False
    return True


def check_rejections(rig, number):
    """Check that each entry rejects keyed requests and submissions."""
    for name in ENTRIES:
        key = f"key-{number}-{name}"
        reply = rig.site.call(rig.process(name), "POST", f"/{key}", Idempotency_Key=key)
        assert (reply.code, reply.outcome) == (2003, "not-run")
        job = f"refused-{number}-{name}"
        value = {"job_id": job, "team": "counters", "kind": "k", "deadline": 0.0}
        task = {"task_id": "t", "command": "run 1", "run_time": 1.0}
        task["resources"] = {"cores": 1.0, "memory_gb": 1.0, "accelerators": 0}
        value |= {"urgent": False, "tasks": [task]}
        status, answer = rig.cluster.call(rig.process(name), "POST", "/v1/jobs", value)
        # A write over a broken or silent connection may have taken effect.
        assert (status, answer["code"]) in REJECTIONS, answer


def find_done_tasks(rig, prefix):
    runs = [run for vm in AGENTS for run in rig.starts(vm)]
    done = [r.name for r in runs if r.outcome == "done" and r.name.startswith(prefix)]
    assert len(done) == len(set(done)), "a task ran to its end twice"
    return done


def run_outage(rig, down, number):
    """Stop the store for longer than the leases; return when it came back."""
    submit(rig, f"open-{number}", OPEN_TASKS, f"run {OUTAGE_SECONDS + 1}")
    wait_until(
        lambda: (
            sum(
                run.name.startswith(f"open-{number}:")
                for vm in AGENTS
                for run in rig.starts(vm)
            )
            == OPEN_TASKS
        ),
        WAIT_SECONDS,
        "tasks run",
    )
    # When the outage begins, some of these are queued or not yet recorded as ended.
    submit(rig, f"short-{number}", 40, "run 0.5")
    rig.set_store_faults(down=down)
    down_at = CLOCK.now()
    check_rejections(rig, number)
    wait_until(lambda: CLOCK.now() > down_at + OUTAGE_SECONDS, WAIT_SECONDS)
    check_rejections(rig, f"{number}-late")
    up_at = CLOCK.now()
    rig.set_store_faults(down="off")
    starts = itertools.chain.from_iterable(
        rig.starts(vm, down_at + PERMIT_SECONDS) for vm in AGENTS
    )
    assert [run.name for run in starts if run.start < up_at] == []
    check_call_rate(rig)
    wait_until(
        lambda: len(find_done_tasks(rig, f"open-{number}:")) == OPEN_TASKS, WAIT_SECONDS
    )
    wait_until(
        lambda: len(find_done_tasks(rig, f"short-{number}:")) == 40, WAIT_SECONDS
    )
    runs = [run for vm in AGENTS for run in rig.starts(vm)]
    opened = [run for run in runs if run.name.startswith(f"open-{number}:")]
    assert [run.outcome for run in opened] == ["done"] * OPEN_TASKS
    return up_at


def check_call_rate(rig):
    """Check that the store gets no burst of calls after its recovery."""
    first, begun_at = count_calls(rig), CLOCK.now()
    wait_until(lambda: CLOCK.now() > begun_at + COUNT_SECONDS, WAIT_SECONDS)
    rate = (count_calls(rig) - first) / (CLOCK.now() - begun_at)
    assert rate < compute_max_call_rate()


@pytest.mark.parametrize("outages", CASES, ids="+".join)
def test_outage_longer_than_every_lease(rig, outages):
    """Guards against lost or repeated work, late starts and a burst of store calls."""
    wait_for_shards(rig)
    with Callers(rig) as callers:
        for number, down in enumerate(outages):
            up_at = run_outage(rig, down, number)
        wait_until(
            lambda: len(callers.answered(up_at)) > 20,
            WAIT_SECONDS,
            "callers get answers",
        )
    assert [(c.path, c.reply) for c in callers.failed()] == []
    assert len(callers.answered()) > 100
    keys = [run.fields["key"] for run in rig.requests() if run.fields["key"]]
    assert keys == []
    for number in range(2):
        job = f"after-{number}"
        wait_until(lambda j=job: try_submit(rig, j, 4, "run 0.1"), WAIT_SECONDS, job)
        wait_until(
            lambda j=job: len(find_done_tasks(rig, f"{j}:")) == 4, WAIT_SECONDS, job
        )
