"""Modules of one subject each."""
