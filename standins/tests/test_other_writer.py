"""Tests of the heartbeats of another writer."""

import json

import pytest

from pollenkeel_standins.other_writer import FORGERIES_BY_NAME, UNNAMED_SERVICE

OWN = {
    "Backend": "desk",
    "Zone": "z1",
    "State": "ready",
    "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 0},
    "Seq": 7,
    "born": 1_700_000_000_000,
}


def make_all(name):
    return list(FORGERIES_BY_NAME[name].make("i-0", OWN))


@pytest.mark.parametrize("name", ["later-born", "high-sequence", "other-id"])
def test_well_formed_heartbeats_name_another_service(name):
    """Guards against foreign heartbeats that the platform's pages would allow."""
    for heartbeat in make_all(name):
        fields = json.loads(heartbeat.body)
        assert fields["Backend"] == UNNAMED_SERVICE
        assert {key: type(value) for key, value in fields.items()} == {
            key: type(value) for key, value in OWN.items()
        }


def test_well_formed_heartbeats_look_newer_than_the_runner():
    """Guards against foreign heartbeats that an agent drops as out of date."""
    born = json.loads(make_all("later-born")[0].body)
    assert born["born"] > OWN["born"]
    sequence = json.loads(make_all("high-sequence")[0].body)
    assert (sequence["born"], sequence["Seq"] > OWN["Seq"]) == (OWN["born"], True)
    other = make_all("other-id")[0]
    assert other.runner_id != "i-0"
    assert json.loads(other.body)["born"] > OWN["born"]


@pytest.mark.parametrize("name", ["missing-field", "other-type", "unreadable-bytes"])
def test_malformed_heartbeats_differ_from_the_own_one(name):
    """Guards against variants that are well-formed after all."""
    bodies = [heartbeat.body for heartbeat in make_all(name)]
    assert len(set(bodies)) == len(bodies) > 1
    assert json.dumps(OWN).encode() not in bodies
