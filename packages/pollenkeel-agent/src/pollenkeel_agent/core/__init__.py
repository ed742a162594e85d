"""Components that the agent role is built from."""
