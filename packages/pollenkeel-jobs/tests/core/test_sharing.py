"""Filling and serving tasks on shared VMs, played through the real decision code."""

import statistics

import pytest

from pollenkeel_standins.shared_vms import LoadSettings, SharedFleet

SEEDS = range(10)
#: What callers of filling jobs expect of the worth: half at the median, a quarter at
#: the lowest tenth of the days.
MEDIAN_EARNED = 0.50
LOWEST_TENTH_EARNED = 0.25
#: Seconds for which operators tolerate that filling tasks keep a serving one over its
#: target.
HARM_SECONDS = 4.0


@pytest.fixture(scope="module")
def plays():
    """Fleets on which the load of a desk was played, with the jobs' results."""
    fleets = [SharedFleet(LoadSettings(), seed) for seed in SEEDS]
    return [(fleet, fleet.simulate()) for fleet in fleets]


def earned_share(results):
    worth = sum(result.worth for result in results)
    return sum(result.worth * result.earned for result in results) / worth


def test_filling_jobs_earn_their_worth_beside_harmful_pairs(plays):
    """Most cores stayed idle while filling jobs ran at a tenth of their speed."""
    earned = sorted(earned_share(results) for _, results in plays)
    assert statistics.median(earned) >= MEDIAN_EARNED
    assert earned[len(earned) // 10] >= LOWEST_TENTH_EARNED


def test_serving_tasks_are_not_disturbed_for_long(plays):
    """A gain of the filling jobs at the cost of the serving tasks is none."""
    assert max(fleet.serving_time.longest for fleet, _ in plays) < HARM_SECONDS
