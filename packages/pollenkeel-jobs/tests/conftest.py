"""Fixtures shared by the tests of this package."""

from jobs_doubles import ask, clock, free_ports, site, tables  # noqa: F401
