"""cherrypy handlers of the job routes below ``/v1``."""

from __future__ import annotations

import json
from typing import Any

import cherrypy
from result import Err

from pollenkeel_entry.batch.manager import BodyResult, ShardManager
from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.core.http_status import find_status
from pollenkeel_kernel.core.codes import Code
from pollenkeel_kernel.core.http import read_only, write_json, write_refusal
from pollenkeel_kernel.core.http_errors import read_body
from pollenkeel_kernel.core.refusal import Refusal


class JobsApi:
    """Handlers to be mounted as ``/v1/jobs``, ``/v1/explain`` and ``/v1/status``.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    manager : ShardManager
        Executes or forwards the calls.
    """

    def __init__(self, context: EntryContext, manager: ShardManager) -> None:
        self._context = context
        self._manager = manager

    def mount(self, version_one: Any) -> None:
        """Attach the handlers to the container of ``/v1``."""
        version_one.jobs = self.jobs
        version_one.explain = self.explain
        version_one.status = self.status

    @cherrypy.expose
    def jobs(self, job_id: str = "") -> bytes:
        """Submit, list, show or cancel jobs."""
        method = cherrypy.request.method
        if method == "POST" and not job_id:
            return self._submit()
        if method == "GET":
            return _write(self._manager.status(job_id))
        if method == "DELETE" and job_id:
            return _write(self._manager.cancel(job_id))
        return _write(
            Err(Refusal(Code.BAD_REQUEST, f"{method} is not supported on this path"))
        )

    @cherrypy.expose
    @read_only
    def explain(self, job_id: str = "") -> bytes:
        """Return the state of a job and its tasks with the decisions about them."""
        if not job_id:
            return _write(Err(Refusal(Code.BAD_REQUEST, "job id missing")))
        return _write(self._manager.explain(job_id))

    @cherrypy.expose
    @read_only
    def status(self) -> bytes:
        """Return the state dump of the entry."""
        return write_json(self._context.dump.collect())

    def _submit(self) -> bytes:
        limit = self._context.settings.limits.body_bytes
        return _write(read_body(limit).and_then(self._manager.submit))


def _write(result: BodyResult) -> bytes:
    if isinstance(result, Err):
        return write_refusal(result.err_value, find_status(result.err_value.code))
    return write_json(json.loads(result.ok_value))
