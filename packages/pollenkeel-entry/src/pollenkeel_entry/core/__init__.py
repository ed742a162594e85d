"""Shared parts of an entry: configuration, agents, other entries and HTTP status."""
