"""Tables and partitions of the table service that the scheduler uses."""

import xxhash

#: Jobs as submitted, written by the entry that accepts them; never changed.
JOBS = "jobs"
#: Cancellations, written by the entry that accepts them.
CANCELS = "cancels"
#: Progress of jobs, written by the leader.
PROGRESS = "progress"
#: Learnt interference between images, written by the leader.
HARM = "harm"
#: The leader's lease, part of each of its transactions.
LEADER = "leader"
#: Addresses of the agents.
MEMBERS = "members"

#: Partitions of jobs and cancellations. A partition carries out one transaction after
#: another; with several, a slow table service still takes a site's jobs.
INTAKE_PARTITIONS = tuple(f"intake-{number}" for number in range(8))
#: Partition of the leader's transactions.
LEADER_PARTITION = "leader"
#: Partition of the members.
MEMBER_PARTITION = "members"
LEADER_KEY = "leader"
HARM_KEY = "model"


def get_intake_partition(job_id: str) -> str:
    """Return the partition of a job and of its cancellation."""
    digest = xxhash.xxh32_intdigest(job_id.encode())
    return INTAKE_PARTITIONS[digest % len(INTAKE_PARTITIONS)]
