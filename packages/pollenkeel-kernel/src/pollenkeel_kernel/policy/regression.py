"""Recursive least squares over named features, in plain Python.

numpy would add about 30 MB to the memory of every agent, and these models have fewer
than 20 features.
"""

from __future__ import annotations

import math

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
        self._weights_by_name: dict[str, float] = {}
        self._covariance: dict[tuple[str, str], float] = {}

    def weight(self, name: str) -> float:
        """Return the weight of a feature; 0 if the feature is unknown."""
        return self._weights_by_name.get(name, 0.0)

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
        self._add_features({name: 0.0})
        self._weights_by_name[name] = weight
        self._covariance[name, name] = uncertainty

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
        names = list(self._weights_by_name)
        active = [(name, x) for name, x in features.items() if x != 0.0]
        gain_by_name = {
            row: sum(self._covariance[row, name] * x for name, x in active)
            for row in names
        }
        scale = self._forgetting + sum(x * gain_by_name[name] for name, x in active)
        error = value - sum(self._weights_by_name[name] * x for name, x in active)
        for row in names:
            self._weights_by_name[row] += gain_by_name[row] / scale * error
        for row in names:
            for column in names:
                reduced = gain_by_name[row] * gain_by_name[column] / scale
                updated = (self._covariance[row, column] - reduced) / self._forgetting
                self._covariance[row, column] = updated
        for name in names:
            self._bound_variance(name, names)

    def _add_features(self, features: dict[str, float]) -> None:
        for name in features:
            if name not in self._weights_by_name:
                for other in self._weights_by_name:
                    self._covariance[name, other] = 0.0
                    self._covariance[other, name] = 0.0
                self._weights_by_name[name] = 0.0
                self._covariance[name, name] = self._uncertainty

    def _bound_variance(self, name: str, names: list[str]) -> None:
        # Forgetting would let the variance of a constant feature grow without limit.
        # Row and column are scaled together, because clipping single entries makes
        # the matrix indefinite, and the weights then diverge.
        variance = self._covariance[name, name]
        if variance > self._uncertainty:
            scale = math.sqrt(self._uncertainty / variance)
            for other in names:
                self._covariance[name, other] *= scale
                self._covariance[other, name] *= scale
        elif variance < _MIN_VARIANCE:
            self._covariance[name, name] = _MIN_VARIANCE
