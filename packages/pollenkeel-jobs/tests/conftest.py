"""Fixtures shared by the tests of this package."""

from agent_doubles import agent, reports, worker  # noqa: F401
from jobs_doubles import ask, clock, free_ports, site, tables  # noqa: F401
