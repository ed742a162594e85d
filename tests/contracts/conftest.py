"""A small site of real processes, started once per test module."""

import pytest

from pollenkeel_standins.cluster import Cluster
from pollenkeel_standins.site import start_site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("contracts")) as cluster:
        limits = {"body_bytes": 100_000}
        settings = {"limits": limits}
        yield start_site(cluster, ("kingston",), 1, entry_settings=settings)
