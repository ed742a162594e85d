"""Tests of tickets across restarts of a worker."""

import attrs
from jobs_doubles import Site, make_job

from pollenkeel_jobs.core.advice import Advice
from pollenkeel_jobs.core.messages import OrderOutcome
from pollenkeel_jobs.core.specs import Demand, StepSpec

STEPS = (StepSpec(1, Demand(100, 100)),)


def give_ticket(site):
    site.step()
    question = site.scheduler.pop_question()
    advice = Advice({"w": "ticket"}, 30.0)
    site.scheduler.store_advice(question, advice, site.clock.now())


def test_ticket_ends_with_the_incarnation_that_it_was_given_for(clock):
    """Guards against starts that a restarted worker rejects for their ticket."""
    site = Site(clock)
    site.scheduler.add_job(make_job(steps=STEPS, advised=True))
    give_ticket(site)
    site.vms[0].crash()
    clock.advance(1.1)
    assert not any(site.step().values())
    give_ticket(site)
    assert [order.ticket for order in site.step()["vm-0"]] == ["ticket"]


def test_rejected_ticket_is_not_sent_again(clock):
    """Guards against a task that is refused for its ticket again and again."""
    site = Site(clock)
    site.scheduler.add_job(make_job(steps=STEPS, advised=True))
    give_ticket(site)
    vm = site.vms[0]
    refused = []

    def refuse(orders):
        refused.extend(orders)
        outcomes = [OrderOutcome(o.task_id, o.run, "refused", "ticket") for o in orders]
        site.scheduler.process_outcomes(vm.vm, outcomes)

    vm.start = refuse
    for _ in range(20):
        clock.advance(0.2)
        site.step()
    assert len(refused) == 1
    assert site.scheduler.pop_question() is not None


def test_step_gets_tickets_for_free_vms_once_those_it_has_are_full(clock):
    """Guards against a job that waits for its tickets to expire beside free VMs."""
    site = Site(clock, vms=32, cpu=1000)
    step = StepSpec(1, Demand(1000, 100), 60.0)
    site.scheduler.add_job(make_job("a", (step,), advised=True))
    site.step()
    question = site.scheduler.pop_question()
    advice = Advice(dict.fromkeys(["w"], "ticket"), 30.0)
    asked_at = clock.now()
    asked = {incarnation.partition("/")[0] for incarnation in question.incarnations}
    fillers = attrs.evolve(step, count=len(asked))
    for vm in site.vms:
        vm.away = vm.name not in asked
    clock.advance(2.0)
    site.scheduler.add_job(make_job("filler", (fillers,)))
    site.step()
    assert len(site.running) == len(asked)
    for vm in site.vms:
        vm.away = False
    site.scheduler.store_advice(question, advice, asked_at)
    for _ in range(20):
        clock.advance(0.1)
        site.step()
        question = site.scheduler.pop_question()
        if question is not None:
            site.scheduler.store_advice(question, advice, clock.now())
    assert "a.0.0.0" in site.running
