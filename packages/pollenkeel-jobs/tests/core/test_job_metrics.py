"""Guards against late jobs and throttled CPU time that no metric shows."""

import pytest
from jobs_doubles import make_job

from pollenkeel_jobs.core.messages import RunningTask, TaskProfile
from pollenkeel_jobs.core.metrics import JOB_OBJECTIVE_RATIO, JOBS_ENDED
from pollenkeel_jobs.core.pacing import PaceController
from pollenkeel_jobs.core.specs import Demand, StepSpec


def late_jobs(queue):
    """Return the number of completed jobs of a queue that missed their objective."""
    metric = JOB_OBJECTIVE_RATIO.labels(queue)
    samples = {s.labels.get("le"): s.value for s in metric.collect()[0].samples}
    return samples["+Inf"] - samples["1.0"]


def test_late_job_is_counted_in_the_metrics_of_its_queue(site, clock):
    """Guards against metrics that look the same if all jobs of a queue are late."""
    before = late_jobs("q")
    done = JOBS_ENDED.labels("q", "done")._value.get()
    step = StepSpec(1, Demand(1000, 1000), 1.0)
    site.scheduler.add_job(make_job(steps=(step,), stretch=2.0))
    site.step()
    clock.advance(2.5)
    site.vms[0].end("j1.0.0.0")
    site.step()
    assert late_jobs("q") == before + 1
    assert JOBS_ENDED.labels("q", "done")._value.get() == done + 1


def test_throttled_cores_are_shown_in_the_metrics():
    """Guards against unnoticed idle cores next to tasks throttled to a tenth."""
    profiles = {
        "s": TaskProfile("s", "shop", latency_target=100.0, cores=13_000),
        "f": TaskProfile("f", "film", fills=True, cores=8_000),
    }
    controller = PaceController()
    running = [RunningTask("s", 1, "", 100, 150.0), RunningTask("f", 1, "", 1, 8_000)]
    list(controller.decide(running, profiles, [], 64_000, 10.0))
    cores = controller.best_effort_cores
    assert controller.pressure == pytest.approx(1.5)
    assert (cores.declared, cores.used) == (8.0, 8.0)
    list(controller.decide(running, profiles, [], 64_000, 10.1))
    assert 0 < controller.best_effort_cores.allowed < 8.0
