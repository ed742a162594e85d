"""Tables and partitions of the table service that the scheduler uses."""

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

#: Partition of jobs and cancellations.
INTAKE_PARTITION = "intake"
#: Partition of the leader's transactions.
LEADER_PARTITION = "leader"
#: Partition of the members.
MEMBER_PARTITION = "members"
LEADER_KEY = "leader"
HARM_KEY = "model"
