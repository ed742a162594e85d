"""Shard owner: jobs, tasks, the shard log and task exchanges with agents."""
