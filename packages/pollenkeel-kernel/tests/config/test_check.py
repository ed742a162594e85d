"""Guards against invalid configurations that are accepted or get unclear messages."""

import copy
import datetime

import pytest

from pollenkeel_kernel.config import ConfigDocument, check_document

BASE = {
    "data_centres": {
        "kingston": {"region": "jm", "site": "east"},
        "may-pen": {"region": "jm", "site": "west"},
    },
    "services": {"desk": {"promised_time": 2.0, "data_centres": ["kingston"]}},
    "teams": {"desk": {"share": 0.6}, "plans": {"share": 0.4}},
}


def changed(path, value):
    base = copy.deepcopy(BASE)
    *parents, last = path.split("/")
    target = base
    for key in parents:
        target = target.setdefault(key, {})
    target[last] = value
    return base


def test_valid_document():
    """Guards against a valid document that is rejected."""
    overlay = {"services": {"desk": {"data_centres": ["may-pen"]}}}
    assert check_document(ConfigDocument(BASE, {"west": overlay})) == []


@pytest.mark.parametrize(
    ("path", "value", "parts"),
    [
        ("teams/plans/share", 0.5, ["teams", "1.1", "at most 1"]),
        ("teams/plans/share", 0, ["teams.plans.share", "got 0.0"]),
        ("teams/plans/share", float("nan"), ["teams.plans.share", "nan"]),
        ("teams/plans/share", "much", ["teams.plans.share", "'much'"]),
        ("teams/plans", {}, ["teams.plans.share", "required"]),
        ("teams/plans/quota", {"tasks": -1}, ["quota.tasks", "-1"]),
        ("services/desk/data_centres", ["lima"], ["'lima'", "kingston, may-pen"]),
        ("services/desk/promised_time", 0, ["promised_time", "positive", "0.0"]),
        ("services/desk/promised_time", 3601, ["promised_time", "3600", "3601"]),
        ("services/desk/promised_time", float("nan"), ["promised_time", "nan"]),
        ("services/desk/promised_time", True, ["promised_time", "True"]),
        ("services/desk/promisedtime", 1, ["promisedtime", "choices", "hedge"]),
        ("services/a\x2fb", {}, ["services.a", "unknown key"]),
        ("policy/placement", "luck", ["policy.placement", "'luck'", "spread"]),
        ("data_centres", {}, ["at least one data centre"]),
        ("data_centres/kingston/site", "", ["kingston.site", "empty"]),
        ("data_centres/kingston", None, ["data_centres.kingston"]),
        ("data_centres", [1], ["data_centres"]),
        ("teams", datetime.date(2026, 1, 1), ["teams"]),
        ("services", {True: {}}, ["services.True", "quotes"]),
    ],
)
def test_errors_in_the_base(path, value, parts):
    """Guards against messages that lack the key, the value or the choices."""
    faults = check_document(ConfigDocument(changed(path, value), {"east": {}}))
    assert len(faults) == 1, faults
    assert faults[0].startswith("base: ")
    assert all(part in faults[0] for part in parts), faults


@pytest.mark.parametrize(
    ("site", "overlay", "parts"),
    [
        ("east", {"teams": {"more": {"share": 0.2}}}, ["teams", "1.2"]),
        ("east", {"policy": {"placement": 3}}, ["policy.placement", "3"]),
        ("north", {}, ["'north'", "east, west"]),
        ("east", [], ["expected a mapping"]),
        (
            "east",
            {"data_centres": {"kingston": {"site": "south"}}},
            ["data_centres.kingston.site", "'south'", "east, west"],
        ),
        (
            "east",
            {"data_centres": {"kingston": None}},
            ["services.desk.data_centres", "'kingston'", "may-pen"],
        ),
    ],
)
def test_errors_in_an_overlay(site, overlay, parts):
    """Guards against errors in an overlay that are missed or attributed to the base."""
    names = {"base": "base.yaml", site: "site.yaml"}
    faults = check_document(ConfigDocument(BASE, {site: overlay}), names)
    assert len(faults) == 1, faults
    assert faults[0].startswith("site.yaml: ")
    assert all(part in faults[0] for part in parts), faults


def test_every_error_is_reported_once():
    """Guards against a check that stops at the first error or reports it twice."""
    base = changed("services/desk/promised_time", -1)
    base["teams"]["plans"]["share"] = 3
    faults = check_document(ConfigDocument(base, {"east": {}, "west": {}}))
    assert len(faults) == 3
    assert all(fault.startswith("base: ") for fault in faults)


@pytest.mark.parametrize("base", [None, [], "text", 3])
def test_base_that_is_not_a_mapping(base):
    """Guards against a crash on a file that does not contain a mapping."""
    faults = check_document(ConfigDocument(base, {"east": {}}))
    assert len(faults) == 1
    assert faults[0].startswith("base: expected a mapping")
