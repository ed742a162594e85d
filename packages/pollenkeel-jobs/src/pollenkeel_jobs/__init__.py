"""Scheduling of jobs made of dependent steps, with state kept in a table service."""
