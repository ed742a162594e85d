"""Tests of steps that start only with a ticket of the advice service."""

from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.advice import Advice
from pollenkeel_jobs.core.specs import Demand, StepSpec


def test_advised_step_starts_only_with_a_ticket(clock):
    """Guards against starts without a ticket, which the worker rejects."""
    site = Site(clock, vms=2)
    step = StepSpec(2, Demand(100, 100))
    site.scheduler.add_job(make_job(steps=(step,), advised=True))
    site.step()
    assert not site.running
    question = site.scheduler.pop_question()
    assert question.step_id == "j1.0.0"
    assert question.worker_ids == ["w", "w"]
    advice = Advice({"w": "ticket-1"}, valid=2.0)
    site.scheduler.store_advice(question, advice, clock.now())
    orders = [order for starts in site.step().values() for order in starts]
    assert [order.ticket for order in orders] == ["ticket-1", "ticket-1"]


def test_new_ticket_is_requested_for_an_expired_one(clock):
    """Guards against the use of a ticket after its validity."""
    site = Site(clock)
    step = StepSpec(1, Demand(100, 100))
    site.scheduler.add_job(make_job(steps=(step,), advised=True))
    site.step()
    question = site.scheduler.pop_question()
    site.scheduler.store_advice(question, Advice({"w": "t"}, 2.0), clock.now())
    clock.advance(3.0)
    site.step()
    assert not site.running
    assert site.scheduler.pop_question() is not None
