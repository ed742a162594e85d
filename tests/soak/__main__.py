"""Starts the command line of the soak."""

from soak.run import main

main()
