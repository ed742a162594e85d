"""Guards against flapping, wrong order of actions and blame of the wrong batch kind."""

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
    """Let the controller see both kinds at varying shares, below every threshold."""
    generator = random.Random(seed)
    for step in range(60):
        shares = {kind: generator.choice([0.25, 0.5, 1.0]) for kind in slowdown_by_kind}
        tasks = [task(kind, kind, share) for kind, share in shares.items()]
        controller.decide(float(step), tasks)
        exponent = sum(slowdown_by_kind[k] * 8.0 * s for k, s in shares.items())
        controller.observe(sample(step + 0.5, 0.1 * math.exp(exponent)))


def test_regression_recovers_the_weights():
    """Guards against an estimate that is blurred by its recursive form."""
    model = RecursiveLeastSquares(forgetting=1.0)
    generator = random.Random(3)
    for _ in range(200):
        a, b = generator.random(), generator.random()
        model.update({"one": 1.0, "a": a, "b": b}, 0.5 + 2 * a - 3 * b)
    assert model.weight("a") == pytest.approx(2, abs=0.05)
    assert model.weight("b") == pytest.approx(-3, abs=0.05)


def test_harmful_kind_is_throttled_first():
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


def test_one_measurement_is_answered_once():
    """Guards against repeated throttling on a measurement that lags the action."""
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
    """Guards against work lost by evicting before a checkpoint was ordered."""
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


def test_recurring_wave_lengthens_the_hold():
    """Guards against flapping: relaxing into each burst of a recurring wave."""
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
    # 30 bursts with one throttle and one restore each would be 60 changes or more.
    assert changes < 30
