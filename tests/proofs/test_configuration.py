"""Safety property P10: an accepted configuration reaches all processes and stays.

The checks continuously sample the version in each process's dump. Intervals have their
default values, since the property promises 5 seconds with these.
"""

import threading
from contextlib import suppress

import pytest

from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.settings import TimingSettings
from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.relay import Mode
from pollenkeel_standins.rig import (
    AGENTS,
    CLOCK,
    ENTRIES,
    VersionWatch,
    make_document,
    make_tag,
    start_rig,
)

WAIT_SECONDS = 30.0
#: Longest time in seconds until an accepted version is in force everywhere.
MAX_DELAY = 5.0
ALL_PROCESSES = (*ENTRIES, *AGENTS)
DEFAULTS = TimingSettings()
TIMING = {
    name: getattr(DEFAULTS, name)
    for name in (
        "heartbeat_interval",
        "peer_silent_after",
        "announce_ttl",
        "head_interval",
        "permit_ttl",
        "entry_ttl",
    )
}


@pytest.fixture(scope="module")
def shared_rig(tmp_path_factory):
    with start_rig(tmp_path_factory.mktemp("rig"), timing=TIMING) as rig:
        yield rig


@pytest.fixture
def rig(shared_rig):
    yield shared_rig
    shared_rig.heal()


@pytest.fixture
def watch(rig):
    with VersionWatch(rig) as watch:
        yield watch
    assert watch.reversions() == []


def apply(rig, entry, expected, change_id=""):
    """Submit a document until its result is known; return its version if accepted."""
    change_id = change_id or make_tag()
    members = {**make_document(5.0 + expected), "expected_version": expected}
    answers = []

    def attempt():
        status, answer = rig.change(entry, "/v1/config", change_id, **members)
        answers.append(answer)
        return status == 200 or answer["code"] == Code.VERSION_CONFLICT.value

    wait_until(attempt, WAIT_SECONDS, f"a result of {change_id}")
    return answers[-1].get("version")


def check_in_force(rig, watch, version, since, names=ALL_PROCESSES):
    """Check that the processes show a version within the promised time."""
    for name in names:
        wait_until(lambda n=name: watch.reached_at(n, version), WAIT_SECONDS, name)
    late = {name: watch.reached_at(name, version) - since for name in names}
    assert {name: age for name, age in late.items() if age > MAX_DELAY} == {}


NO_FAULT = (lambda rig: None, lambda rig: None)
FAULTS = {
    "none": NO_FAULT,
    "answer-lost": (lambda rig: rig.set_store_faults(lose_answers=6), NO_FAULT[1]),
    "answer-hangs": (
        lambda rig: rig.set_store_faults(lose_answers=4, lost_by="hang"),
        NO_FAULT[1],
    ),
    "one-side-of-store-cut": (
        lambda rig: rig.store_relays_by_name["entry-1"].set_mode(Mode.CUT),
        lambda rig: rig.store_relays_by_name["entry-1"].set_mode(Mode.PASS),
    ),
    "one-side-of-store-silent": (
        lambda rig: rig.store_relays_by_name["entry-1"].set_mode(Mode.SILENT),
        lambda rig: rig.store_relays_by_name["entry-1"].set_mode(Mode.PASS),
    ),
    "other-entry-frozen": (
        lambda rig: rig.process("entry-1").freeze(),
        lambda rig: rig.process("entry-1").thaw(),
    ),
    "agent-frozen": (
        lambda rig: rig.process("vm-kingston").freeze(),
        lambda rig: rig.process("vm-kingston").thaw(),
    ),
}
FROZEN_BY_FAULT = {"other-entry-frozen": "entry-1", "agent-frozen": "vm-kingston"}
CASES = [
    *([name] for name in FAULTS),
    ["answer-lost", "one-side-of-store-silent"],
    ["answer-lost", "other-entry-frozen"],
    ["one-side-of-store-cut", "agent-frozen"],
]


@pytest.mark.parametrize("faults", CASES, ids="+".join)
def test_in_force_everywhere(rig, watch, faults):
    """Guards against processes that miss one of two changes under the same faults."""
    for _ in range(2):
        expected = rig.version()
        for name in faults:
            FAULTS[name][0](rig)
        version = apply(rig, "entry-0", expected)
        assert version == expected + 1
        accepted_at = rig.accepted_at(version)
        frozen = {FROZEN_BY_FAULT[name] for name in faults if name in FROZEN_BY_FAULT}
        running = [name for name in ALL_PROCESSES if name not in frozen]
        check_in_force(rig, watch, version, accepted_at, running)
        healed_at = CLOCK.now()
        for name in faults:
            FAULTS[name][1](rig)
        check_in_force(rig, watch, version, healed_at, frozen)


@pytest.mark.parametrize("lost", [0, 12])
def test_concurrent_operators(rig, watch, lost):
    """Guards against a version accepted twice, and changes lost or applied twice."""
    changes_by_version, tag, first = {}, make_tag(), rig.version()

    def operate(operator):
        for number in range(5):
            expected = max(changes_by_version, default=first)
            change_id = f"{tag}-{operator}-{number}"
            version = apply(rig, ENTRIES[operator % 2], expected, change_id)
            if version is not None:
                assert changes_by_version.setdefault(version, change_id) == change_id

    rig.set_store_faults(lose_answers=lost)
    operators = [threading.Thread(target=operate, args=(n,)) for n in range(3)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    rig.set_store_faults(lose_answers=0)
    last = max(changes_by_version)
    assert sorted(changes_by_version) == list(range(first + 1, last + 1))
    check_in_force(rig, watch, last, rig.accepted_at(last))
    status, shown = rig.cluster.call(rig.process("entry-1"), "GET", "/v1/config")
    assert (status, shown["version"]) == (200, last)
    # The accepted document of a version is the one based on the version before it.
    assert shown["base"]["services"]["desk"]["promised_time"] == 5.0 + last - 1


@pytest.mark.parametrize("down", ["refuse", "hang"])
@pytest.mark.parametrize("names", [ENTRIES, AGENTS, ("entry-1", "vm-portmore")])
def test_started_during_an_outage(rig, watch, names, down):
    """Guards against processes that get no configuration while the store is down."""
    version = apply(rig, "entry-0", rig.version())
    check_in_force(rig, watch, version, rig.accepted_at(version))
    rig.set_store_faults(down=down)
    for _ in range(2):
        for name in names:
            rig.process(name).kill()
        started_at = max(restart(rig, name) for name in names)
        check_in_force(rig, watch, version, started_at, names)
    rig.set_store_faults(down="off")
    later = apply(rig, "entry-1", version)
    check_in_force(rig, watch, later, rig.accepted_at(later))


def restart(rig, name):
    rig.restart(name)
    return CLOCK.now()


def test_restart_of_all_processes(rig, watch):
    """Guards against a configuration that is kept only in the processes' memory."""
    for _ in range(2):
        version = apply(rig, "entry-0", rig.version())
        for name in ALL_PROCESSES:
            rig.process(name).kill()
        started_at = max(restart(rig, name) for name in ALL_PROCESSES)
        check_in_force(rig, watch, version, started_at)


def test_stale_entry_answers_last(rig, watch):
    """Guards against an agent that goes back to the older version of one entry.

    The frozen entry resumes without the store and answers the announcement of a
    restarted agent, which got the newer version from the other entry meanwhile.
    """
    rig.process("entry-1").freeze()
    rig.store_relays_by_name["entry-1"].set_mode(Mode.CUT)
    version = apply(rig, "entry-0", rig.version())
    for name in AGENTS:
        rig.process(name).kill()
        rig.restart(name)
    check_in_force(rig, watch, version, CLOCK.now(), ("entry-0", *AGENTS))
    # The frozen entry's connections hold the new agents' announcements of version 0.
    thawed_at = CLOCK.now()
    rig.process("entry-1").thaw()
    check_in_force(rig, watch, version, thawed_at)
    # Leaves time for a reversion, which the ``watch`` fixture reports.
    with suppress(TimeoutError):
        wait_until(watch.reversions, 3.0)
