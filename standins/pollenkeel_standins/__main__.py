"""Runs the stand-ins as ``python -m pollenkeel_standins``."""

from pollenkeel_standins.main import main

main(prog_name="pollenkeel_standins")
