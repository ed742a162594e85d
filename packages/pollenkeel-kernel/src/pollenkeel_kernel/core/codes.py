"""Numbered result codes.

The thousands digit gives the category: 1 answered, 2 rejected before execution, 3
outcome unknown, 4 bad input, 5 configuration, 6 batch, 9 internal. The table for
operators is ``docs/errors.md``; a test compares it with this module.
"""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a request or task start was executed, as far as is known."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result code of a request, task start, configuration change or job."""

    OK = 1000
    REPLAYED = 1001

    VM_FULL = 2001
    DEADLINE_TOO_CLOSE = 2002
    STORE_UNAVAILABLE = 2003
    UPSTREAM_LEAVING = 2004
    AGENT_LEAVING = 2005
    UPSTREAM_UNREACHABLE = 2006
    STALE_AGENT_EPOCH = 2007
    START_EXPIRED = 2008
    NO_PERMIT = 2009
    STALE_SHARD_EPOCH = 2010
    WORKER_UNAVAILABLE = 2011
    NO_UPSTREAM = 2012
    TOMBSTONED = 2013
    CLOCK_SKEW = 2014
    TEAM_OVER_SHARE = 2015
    DATA_CENTRE_DRAINED = 2016
    ENTRY_STOPPING = 2017
    NOT_OWNER = 2018
    CAPACITY_UNKNOWN = 2019
    BACKLOG_FULL = 2020
    PEER_UNREACHABLE = 2021

    ATTEMPT_LOST = 3001
    NO_REPLY = 3002
    ANSWER_BROKEN = 3003
    ANSWER_TOO_LARGE = 3004
    ATTEMPT_RUNNING = 3005
    WRITE_UNKNOWN = 3006

    BAD_REQUEST = 4000
    BAD_MESSAGE = 4001
    UNSUPPORTED_PROTOCOL = 4002
    KEY_REUSED = 4003
    BODY_TOO_LARGE = 4004
    BAD_SETTINGS = 4005
    UNKNOWN_MESSAGE = 4006
    BAD_JOB = 4007
    JOB_CONFLICT = 4008
    NOT_FOUND = 4009

    BAD_CONFIG = 5001
    VERSION_CONFLICT = 5002
    UNKNOWN_DATA_CENTRE = 5003
    NO_CONFIG = 5004
    NEVER_MATCHES = 5005
    LIMITS_CONTRADICT = 5006

    TASK_FAILED = 6001
    LEASE_LAPSED = 6002
    EVICTED = 6003
    CANCELLED = 6004
    NEVER_FITS = 6005
    WILL_MISS_DEADLINE = 6006
    WORKER_QUARANTINED = 6007
    WAITING_FOR_CAPACITY = 6008
    OVER_QUOTA = 6009
    PROGRESS_NOT_RECORDED = 6010
    JOB_UNREADABLE = 6011

    INTERNAL = 9000
    AGENT_DECISION_FAILED = 9001

    @property
    def outcome(self) -> Outcome:
        """Whether the request or task start was executed, according to this code.

        Bad input and configuration errors are detected before anything is sent, so
        they count as not run. Batch codes and internal errors leave the outcome
        unknown.
        """
        category = self.value // 1000
        if category == 1:
            return Outcome.ANSWERED
        if category in (2, 4, 5):
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN


SUMMARY_BY_CODE: dict[Code, str] = {
    Code.OK: "answered",
    Code.REPLAYED: "answered from the stored answer of an earlier attempt",
    Code.VM_FULL: "the VM has no free slots, cores, memory or accelerators",
    Code.DEADLINE_TOO_CLOSE: "the wait for a slot would pass the deadline",
    Code.STORE_UNAVAILABLE: "the platform's store did not accept the write",
    Code.UPSTREAM_LEAVING: "the upstream is leaving and takes no new work",
    Code.AGENT_LEAVING: "the agent is stopping and takes no new work",
    Code.UPSTREAM_UNREACHABLE: "the upstream refused the connection",
    Code.STALE_AGENT_EPOCH: "the message was meant for an earlier agent process",
    Code.START_EXPIRED: "the latest start time has passed",
    Code.NO_PERMIT: "the VM holds no valid start permit for its data centre",
    Code.STALE_SHARD_EPOCH: "the message comes from an earlier owner of the shard",
    Code.WORKER_UNAVAILABLE: "the worker did not accept the start",
    Code.NO_UPSTREAM: "no upstream of this service is announced",
    Code.TOMBSTONED: "the attempt was cancelled before it started",
    Code.CLOCK_SKEW: "the clock of the VM differs too much from that of its peers",
    Code.TEAM_OVER_SHARE: "the team has used its share of the service",
    Code.DATA_CENTRE_DRAINED: "the data centre has been taken out",
    Code.ENTRY_STOPPING: "the entry is stopping",
    Code.NOT_OWNER: "this entry does not own the shard",
    Code.CAPACITY_UNKNOWN: "the agent does not know yet what runs on its VM",
    Code.BACKLOG_FULL: "the backlog of the shard or service is full",
    Code.PEER_UNREACHABLE: "no connection to the peer could be made",
    Code.ATTEMPT_LOST: "the process that held the attempt is gone",
    Code.NO_REPLY: "the request was sent and no reply came in time",
    Code.ANSWER_BROKEN: "the upstream's answer was incomplete or damaged",
    Code.ANSWER_TOO_LARGE: "the upstream's answer is larger than the limit",
    Code.ATTEMPT_RUNNING: "an earlier attempt is still running at the deadline",
    Code.WRITE_UNKNOWN: "the store did not confirm the write",
    Code.BAD_REQUEST: "the request is malformed",
    Code.BAD_MESSAGE: "the message cannot be decoded",
    Code.UNSUPPORTED_PROTOCOL: "the protocol version is not supported",
    Code.KEY_REUSED: "the idempotency key was used for a different request",
    Code.BODY_TOO_LARGE: "the request body is larger than the limit",
    Code.BAD_SETTINGS: "the settings file is invalid",
    Code.UNKNOWN_MESSAGE: "the message type is not known here",
    Code.BAD_JOB: "the job description is invalid",
    Code.JOB_CONFLICT: "a different job with this id exists",
    Code.NOT_FOUND: "there is no such object",
    Code.BAD_CONFIG: "the configuration is invalid",
    Code.VERSION_CONFLICT: "the configuration was changed by somebody else",
    Code.UNKNOWN_DATA_CENTRE: "the configuration has no such data centre",
    Code.NO_CONFIG: "no configuration has been accepted yet",
    Code.NEVER_MATCHES: "the entry of the configuration can never match",
    Code.LIMITS_CONTRADICT: "limits in the configuration contradict each other",
    Code.TASK_FAILED: "the task ended with an error",
    Code.LEASE_LAPSED: "the lease of the attempt lapsed",
    Code.EVICTED: "the task was checkpointed and moved off its VM",
    Code.CANCELLED: "the job was cancelled",
    Code.NEVER_FITS: "no VM is large enough for the task",
    Code.WILL_MISS_DEADLINE: "the job can no longer finish by its deadline",
    Code.WORKER_QUARANTINED: "the worker failed too many tasks in a row",
    Code.WAITING_FOR_CAPACITY: "no VM has enough free capacity now",
    Code.OVER_QUOTA: "the team has used its quota",
    Code.PROGRESS_NOT_RECORDED: "the progress of the job does not fit into the store",
    Code.JOB_UNREADABLE: "this release cannot read the record of the job",
    Code.INTERNAL: "unexpected error; see the log of the process",
    Code.AGENT_DECISION_FAILED: "a decision of the agent failed; its round went on",
}


def find_code(value: int) -> Code:
    """Convert a number received from a peer to a code.

    Parameters
    ----------
    value : int
        Number of the code.

    Returns
    -------
    Code
        ``Code.INTERNAL`` if this release does not define the number.
    """
    try:
        return Code(value)
    except ValueError:
        return Code.INTERNAL
