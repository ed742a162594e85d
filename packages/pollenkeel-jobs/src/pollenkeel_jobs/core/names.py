"""Names of the tables and partitions that the scheduler uses in the table service."""

import xxhash

#: Submitted jobs, written by the entry that accepts them; immutable.
JOBS = "jobs"
#: Cancellations, written by the entry that accepts them.
CANCELS = "cancels"
#: Progress of jobs, written by the leader.
PROGRESS = "progress"
#: Learned interference between images, written by the leader. The table keeps its
#: former name, under which rows are stored.
INTERFERENCE = "harm"
#: Ends of the leases of silent workers, written by the leader.
LEASE_EXPIRIES = "lease_expiries"
#: The leader's lease, written in each of its transactions.
LEADER = "leader"
#: Members: the address of each agent.
MEMBERS = "members"

#: Partitions of jobs and cancellations. A partition executes its transactions one after
#: another; several partitions let a slow table service keep up with arriving jobs.
INTAKE_PARTITIONS = tuple(f"intake-{number}" for number in range(8))
#: Partition that the leader writes to.
LEADER_PARTITION = "leader"
#: Partition of the member table.
MEMBER_PARTITION = "members"
LEADER_KEY = "leader"
INTERFERENCE_KEY = "model"


def get_intake_partition(job_id: str) -> str:
    """Return the partition that stores a job and its cancellation."""
    digest = xxhash.xxh32_intdigest(job_id.encode())
    return INTAKE_PARTITIONS[digest % len(INTAKE_PARTITIONS)]
