"""Data classes of the cluster configuration.

Durations are in seconds, memory is in gigabytes, shares are fractions of 1.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class DataCentreConfig:
    """A data centre and its location; ``site`` selects the overlay that applies."""

    region: str
    site: str


@attrs.frozen
class ServiceConfig:
    """A latency-critical service.

    ``promised_time`` is the latency target: the longest time in seconds within which
    a caller should get its response. ``data_centres`` lists the data centres whose
    upstreams may serve requests; empty means all. ``hedge`` allows a second, parallel
    attempt of a slow idempotent request.
    """

    promised_time: float = 2.0
    data_centres: list[str] = attrs.field(factory=list)
    hedge: bool = False


@attrs.frozen
class QuotaConfig:
    """Maximum resources that a team's batch tasks may use at once; 0 is unlimited."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    tasks: int = 0


@attrs.frozen
class TeamConfig:
    """A team: its share of the services and of task starts, and its batch quota."""

    share: float
    quota: QuotaConfig = attrs.field(factory=QuotaConfig)


@attrs.frozen
class PolicyConfig:
    """Names of the policy plug-ins in force; see ``pollenkeel_kernel.policy``."""

    upstream_choice: str = "two-choices"
    request_share: str = "fair"
    task_order: str = "slack"
    placement: str = "learned"
    run_time: str = "learned"


@attrs.frozen
class ClusterConfig:
    """Effective configuration of a site: the base merged with its overlay."""

    data_centres: dict[str, DataCentreConfig]
    services: dict[str, ServiceConfig] = attrs.field(factory=dict)
    teams: dict[str, TeamConfig] = attrs.field(factory=dict)
    policy: PolicyConfig = attrs.field(factory=PolicyConfig)


@attrs.frozen
class ConfigDocument:
    """Configuration as operators apply it: the base and the site overlays, parsed."""

    base: dict
    overlays_by_site: dict[str, dict]
