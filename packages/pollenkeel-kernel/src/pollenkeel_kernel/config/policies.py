"""Valid policy plug-in names for each field of the configuration."""

from __future__ import annotations

from typing import Any

import attrs

from pollenkeel_kernel.config.model import PolicyConfig
from pollenkeel_kernel.core.registry import Registry
from pollenkeel_kernel.policy.order import TASK_ORDERS
from pollenkeel_kernel.policy.placement import PLACEMENTS
from pollenkeel_kernel.policy.request_share import REQUEST_SHARES
from pollenkeel_kernel.policy.run_time import RUN_TIME_MODELS
from pollenkeel_kernel.policy.upstream_choice import UPSTREAM_CHOICES

_REGISTRIES_BY_FIELD: dict[str, Registry[Any]] = {
    "placement": PLACEMENTS,
    "request_share": REQUEST_SHARES,
    "run_time": RUN_TIME_MODELS,
    "task_order": TASK_ORDERS,
    "upstream_choice": UPSTREAM_CHOICES,
}


def register_policies(field: str, registry: Registry[Any]) -> None:
    """Set the registry whose plug-ins are valid for a field of ``PolicyConfig``.

    Parameters
    ----------
    field : str
        Name of the field, for example ``"placement"``.
    registry : Registry
        Registry whose names are valid values.
    """
    _REGISTRIES_BY_FIELD[field] = registry


def policy_choices() -> dict[str, list[str]]:
    """Return the valid plug-in names for each field of ``PolicyConfig``.

    The default of a field is always valid; the other names come from its registry.
    """
    return {
        field.name: sorted({str(field.default), *_registered_names(field.name)})
        for field in attrs.fields(PolicyConfig)
    }


def _registered_names(field: str) -> list[str]:
    registry = _REGISTRIES_BY_FIELD.get(field)
    return [] if registry is None else registry.names()
