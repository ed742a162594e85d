"""Agent role: admits and runs the work of one VM."""
