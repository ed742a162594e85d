"""Randomized soak test of the programs as separate processes with injected faults."""
