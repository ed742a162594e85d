"""Scheduler core: leader, entry and agent processes and their shared model."""
