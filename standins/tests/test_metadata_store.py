"""Contract tests of the metadata store."""

import base64

import pytest
import urllib3

from pollenkeel_standins.metadata_store import MAX_ROW_BYTES, MetadataStore


@pytest.fixture
def store():
    store = MetadataStore()
    store.url = store.start(0, 2)
    yield store
    store.shut_down()


@pytest.mark.parametrize(("size", "status"), [(0, 200), (1, 400)])
def test_row_above_the_limit_is_refused(size, status, store):
    """Guards against a store that takes rows which the platform refuses."""
    value = base64.b64encode(bytes(MAX_ROW_BYTES + size)).decode()
    put = {"Table": "t", "part": "", "Key": "k", "Value": value}
    pool = urllib3.PoolManager(retries=False, timeout=10.0)
    reply = pool.request("POST", f"{store.url}/api/rows-tx", json={"Puts": [put]})
    assert reply.status == status
    rows = pool.request("GET", f"{store.url}/api/rows-get?Table=t").json()["rows"]
    assert len(rows) == (status == 200)
    assert store.record()["oversized"] == (status == 400)
