"""Guards against unnecessary work per request in the HTTP server."""

import threading

import cherrypy
import urllib3

from pollenkeel_kernel.core.dump import StateDump
from pollenkeel_kernel.core.http import HttpServer, OperationsApi
from pollenkeel_kernel.core.settings import HttpSettings


def test_no_access_line_is_formatted(monkeypatch):
    """Guards against access log lines that are formatted and then discarded."""
    lines = []
    log = cherrypy._cplogging.LogManager
    monkeypatch.setattr(log, "access", lambda self: lines.append(self))
    server = HttpServer(HttpSettings(threads=2), OperationsApi(StateDump()))
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        with urllib3.PoolManager(retries=False, timeout=20.0) as pool:
            assert pool.request("GET", f"{server.url}/healthz").status == 200
            assert pool.request("GET", f"{server.url}/healthz").status == 200
    finally:
        server.close()
        thread.join()
    assert not lines
