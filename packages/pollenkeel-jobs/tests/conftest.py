"""Makes the fakes available to the tests of this package."""

from jobs_doubles import ask, clock, site, tables  # noqa: F401
