"""Guards against invalid jobs in the log and unspecific error messages."""

import json

import pytest

from pollenkeel_entry.batch.job_check import parse_job
from pollenkeel_kernel.core.codes import Code

SIZE = {"cores": 1, "memory_gb": 2.5, "accelerators": 0}
TASK = {"task_id": "t", "command": "run 1", "resources": SIZE, "run_time": 1}
JOB = {
    "job_id": "j",
    "team": "a",
    "kind": "cut",
    "deadline": 0,
    "urgent": False,
    "tasks": [TASK],
}


def parse(**changes):
    return parse_job(json.dumps({**JOB, **changes}).encode(), ["a", "b"], 1.0)


def test_valid_job_and_stable_digest():
    """Guards against a repeated submission that looks like different content."""
    job = parse().unwrap()
    again = parse_job(json.dumps(JOB, indent=3).encode(), [], 2.0).unwrap()
    assert job.digest == again.digest
    assert job.digest != parse(urgent=True).unwrap().digest


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"team": "x"}, "job.team: 'x'; choices: a, b"),
        ({"urgent": 1}, "job.urgent: 1; expected true or false"),
        ({"deadline": float("nan")}, "job.deadline: nan"),
        ({"tasks": []}, "job.tasks: []"),
        ({"tasks": [TASK, TASK]}, "job.tasks[1].task_id: 't' occurs twice"),
        ({"extra": 1}, "job.extra: unknown field; choices: job_id"),
        ({"job_id": "a:b"}, "job.job_id: 'a:b'"),
        ({"tasks": [{**TASK, "resources": {}}]}, "resources.cores: missing"),
    ],
)
def test_fault_names_field_value_and_choices(changes, expected):
    """Guards against an error message that does not say what to correct."""
    refusal = parse(**changes).unwrap_err()
    assert refusal.code is Code.BAD_JOB
    assert expected in refusal.detail
