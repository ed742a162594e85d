"""Guards against flapping, actions in the wrong order or on the wrong batch tasks."""

import math
import random

import attrs
import pytest

from pollenkeel_kernel.policy.interference import (
    ActionKind,
    BatchTask,
    InterferenceSettings,
    LearnedControl,
    ServiceSample,
)
from pollenkeel_kernel.policy.regression import RecursiveLeastSquares

SETTINGS = InterferenceSettings()
PROMISED_TIME = 1.0


def sample(at, p99):
    return ServiceSample("quotes", at, p99, PROMISED_TIME, 0.5)


def task(task_id, kind="cutting", share=1.0):
    return BatchTask(task_id, kind, 8.0, share)


def train(controller, slowdown_by_kind, seed=7):
    """Train on all kinds at varying shares, with latencies below every threshold."""
    generator = random.Random(seed)
    for step in range(60):
        shares = {kind: generator.choice([0.25, 0.5, 1.0]) for kind in slowdown_by_kind}
        tasks = [task(kind, kind, share) for kind, share in shares.items()]
        controller.decide(float(step), tasks)
        exponent = sum(slowdown_by_kind[k] * 8.0 * s for k, s in shares.items())
        controller.observe(sample(step + 0.5, 0.1 * math.exp(exponent)))


def test_regression_recovers_the_weights():
    """Guards against recursive estimates that differ from the true weights."""
    model = RecursiveLeastSquares(forgetting=1.0)
    generator = random.Random(3)
    for _ in range(200):
        a, b = generator.random(), generator.random()
        model.update({"one": 1.0, "a": a, "b": b}, 0.5 + 2 * a - 3 * b)
    assert model.weight("a") == pytest.approx(2, abs=0.05)
    assert model.weight("b") == pytest.approx(-3, abs=0.05)


def test_kind_with_most_interference_is_throttled_first():
    """Guards against throttling a task that does not cause the slowdown."""
    controller = LearnedControl(SETTINGS)
    train(controller, {"cutting": 0.0, "render": 0.1})
    tasks = [task("a", "cutting"), task("b", "render")]
    controller.decide(100.0, tasks)
    for at in (101.0, 102.0, 103.0, 104.0):
        controller.observe(sample(at, 1.2))
    actions = controller.decide(105.0, tasks)
    assert [a.task_id for a in actions] == ["b"]
    assert actions[0].kind is ActionKind.THROTTLE


def test_controller_reacts_to_a_measurement_once():
    """Guards against repeated throttling on measurements made before an action."""
    controller = LearnedControl(SETTINGS)
    train(controller, {"render": 0.1})
    tasks = [task("a", "render")]
    controller.decide(100.0, tasks)
    for at in (101.0, 102.0, 103.0, 104.0):
        controller.observe(sample(at, 1.2))
    assert controller.decide(105.0, tasks)
    later = [attrs.evolve(tasks[0], share=0.5)]
    controller.observe(sample(104.5, 1.2))
    assert controller.decide(130.0, later) == []


def test_eviction_comes_after_throttle_and_checkpoint():
    """Guards against work lost because a task is evicted without a checkpoint."""
    controller = LearnedControl(SETTINGS)
    train(controller, {"render": 0.1})
    current = task("a", "render")
    kinds = []
    for step in range(30):
        now = 100.0 + step * 10
        controller.observe(sample(now - 1, 3.0))
        for action in controller.decide(now, [current]):
            kinds.append(action.kind)
            current = attrs.evolve(current, share=action.share)
        if ActionKind.EVICT in kinds:
            break
    assert list(dict.fromkeys(kinds)) == [
        ActionKind.THROTTLE,
        ActionKind.CHECKPOINT,
        ActionKind.EVICT,
    ]


def test_periodic_load_peaks_lengthen_the_hold():
    """Guards against flapping: restoring shares just before each periodic load peak."""
    controller = LearnedControl(SETTINGS)
    current = task("a", "render")
    changes = 0
    for step in range(1200):
        now = float(step)
        burst = (step // 20) % 2 == 0
        controller.observe(sample(now - 4, (1.3 if burst else 0.3) * current.share))
        for action in controller.decide(now, [current]):
            changes += 1
            current = attrs.evolve(current, share=action.share or 0.25)
    # One throttle and one restore for each of the 30 bursts would make 60 changes.
    assert changes < 30
