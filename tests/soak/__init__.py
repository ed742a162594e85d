"""Randomized soak of the programs as separate processes, with faults from outside."""
