"""Guards against estimates that diverge while a feature is constant."""

import random

import pytest

from pollenkeel_kernel.policy.regression import RecursiveLeastSquares


@pytest.mark.parametrize("forgetting", [0.98, 0.999])
def test_weights_stay_accurate_over_long_constant_phases(forgetting):
    """Guards against weights that diverge because the covariance is indefinite."""
    generator = random.Random(1)
    model = RecursiveLeastSquares(forgetting)
    for step in range(20_000):
        steady = (step // 2000) % 2 == 0
        first = 2.0 if steady else float(generator.randint(0, 6))
        second = 1.0 if steady else float(generator.randint(0, 4))
        value = 0.3 + 0.2 * first + 0.05 * second + generator.gauss(0, 0.05)
        model.update({"one": 1.0, "first": first, "second": second}, value)
        assert abs(model.weight("first")) < 1.0
    assert model.weight("first") == pytest.approx(0.2, abs=0.05)
    assert model.weight("second") == pytest.approx(0.05, abs=0.05)


def test_dropped_feature_leaves_the_others_as_they_were():
    model = RecursiveLeastSquares(0.999)
    for name in ("first", "second", "third"):
        model.update({name: 1.0}, {"first": 1.0, "second": 2.0, "third": 3.0}[name])
    before = {name: model.weight(name) for name in ("first", "third")}
    model.drop("second")
    model.drop("unknown")
    assert model.weight("second") == 0.0
    assert {name: model.weight(name) for name in before} == before
    for _ in range(200):
        model.update({"third": 1.0, "fourth": 1.0}, 5.0)
        model.update({"third": 1.0}, 3.0)
    assert model.weight("third") == pytest.approx(3.0, abs=0.05)
    assert model.weight("fourth") == pytest.approx(2.0, abs=0.05)
    assert model.weight("first") == before["first"]
