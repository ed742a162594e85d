"""Command line of the soak test."""

from soak.run import main

main()
