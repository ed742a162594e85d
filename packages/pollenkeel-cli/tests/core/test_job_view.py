"""Tests of the rows that tables of jobs show."""

from pollenkeel_cli.core.job_view import flatten_job

JOB = {
    "job_id": "j",
    "tasks": [
        {
            "key": "j:t1",
            "spec": {"task_id": "t1"},
            "state": "running",
            "attempts": 2,
            "failures": 1,
            "attempt": {"vm": "vm-1"},
            "code": 1000,
            "detail": "",
            "decisions": [
                {"at": 1.7e9, "action": "wait", "code": 6008, "reason": "", "vm": ""},
                {"at": 1.8e9, "action": "start", "code": 1000, "reason": "", "vm": "v"},
            ],
        }
    ],
}


def test_tasks_and_decisions_are_flat_rows():
    """Guards against nested values in table cells and decisions without a reason."""
    flat = flatten_job(JOB)
    assert flat["tasks"][0]["vm"] == "vm-1"
    assert [d["action"] for d in flat["decisions"]] == ["wait", "start"]
    assert flat["decisions"][0]["reason"] == "no VM has enough free capacity now"
    assert not any(isinstance(v, (dict, list)) for v in flat["tasks"][0].values())


def test_responses_without_tasks_are_unchanged():
    """Guards against a crash on a response that lists no tasks."""
    assert flatten_job({"job_id": "j"}) == {"job_id": "j"}
