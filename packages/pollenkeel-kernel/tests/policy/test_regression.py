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
