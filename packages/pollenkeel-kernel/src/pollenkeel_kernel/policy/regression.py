"""Recursive least squares over named features, in plain Python.

numpy would add about 30 MB to the memory of every agent, and these models have some
tens of features. The time of an update grows with the square of their number.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

#: Lower limit for variances; rounding errors could make them zero or negative.
_MIN_VARIANCE = 1e-9


class RecursiveLeastSquares:
    """Linear model that is updated with one observation at a time.

    Parameters
    ----------
    forgetting : float
        Forgetting factor, at most 1; the weight of older observations is multiplied by
        it at each update.
    uncertainty : float
        Initial variance of a feature's weight.
    """

    def __init__(self, forgetting: float, uncertainty: float = 10.0) -> None:
        self._forgetting = forgetting
        self._uncertainty = uncertainty
        self._index_by_name: dict[str, int] = {}
        self._weights: list[float] = []
        self._covariance: list[list[float]] = []

    def weight(self, name: str) -> float:
        """Return the weight of a feature; 0 if the feature is unknown."""
        index = self._index_by_name.get(name)
        return 0.0 if index is None else self._weights[index]

    def set_weight(self, name: str, weight: float, uncertainty: float) -> None:
        """Set a known weight of a feature as the starting point.

        Parameters
        ----------
        name : str
            Name of the feature.
        weight : float
            Its weight.
        uncertainty : float
            Variance of that weight.
        """
        self._add_features([name])
        index = self._index_by_name[name]
        self._weights[index] = weight
        self._covariance[index][index] = uncertainty

    def drop(self, name: str) -> None:
        """Forget a feature; does nothing if it is unknown."""
        index = self._index_by_name.pop(name, None)
        if index is None:
            return
        for other, other_index in self._index_by_name.items():
            if other_index > index:
                self._index_by_name[other] = other_index - 1
        del self._weights[index]
        del self._covariance[index]
        for row in self._covariance:
            del row[index]

    def update(self, features: dict[str, float], value: float) -> None:
        """Update the model with one observation.

        Parameters
        ----------
        features : dict[str, float]
            Value of each feature; missing ones are 0.
        value : float
            Observed value.
        """
        self._add_features(features)
        active = [(self._index_by_name[n], x) for n, x in features.items() if x != 0.0]
        gains = [sum(row[i] * x for i, x in active) for row in self._covariance]
        scale = self._forgetting + sum(x * gains[i] for i, x in active)
        error = value - sum(self._weights[i] * x for i, x in active)
        self._weights = [
            weight + gain / scale * error
            for weight, gain in zip(self._weights, gains, strict=True)
        ]
        self._covariance = [
            self._update_row(row, gain, gains, scale)
            for row, gain in zip(self._covariance, gains, strict=True)
        ]
        for index in range(len(gains)):
            self._bound_variance(index)

    def _update_row(
        self, row: list[float], gain: float, gains: list[float], scale: float
    ) -> list[float]:
        """Return a row of the covariance after an observation.

        The order of the operations keeps the matrix exactly symmetric.
        """
        forgetting = self._forgetting
        return [
            (covariance - gain * other / scale) / forgetting
            for covariance, other in zip(row, gains, strict=True)
        ]

    def _add_features(self, features: Iterable[str]) -> None:
        for name in features:
            if name not in self._index_by_name:
                self._index_by_name[name] = len(self._weights)
                self._weights.append(0.0)
                for row in self._covariance:
                    row.append(0.0)
                self._covariance.append([0.0] * len(self._weights))
                self._covariance[-1][-1] = self._uncertainty

    def _bound_variance(self, index: int) -> None:
        # Forgetting would let the variance of a constant feature grow without limit.
        # Row and column are scaled together, because clipping single entries makes
        # the matrix indefinite, and the weights then diverge.
        row = self._covariance[index]
        if row[index] > self._uncertainty:
            scale = math.sqrt(self._uncertainty / row[index])
            self._covariance[index] = [covariance * scale for covariance in row]
            for other in self._covariance:
                other[index] *= scale
        elif row[index] < _MIN_VARIANCE:
            row[index] = _MIN_VARIANCE
