"""HTTP client, shared options, file loading and output of the commands."""
