"""Makes the fakes available to the tests of this package."""

from jobs_doubles import ask, clock, free_ports, site, tables  # noqa: F401
