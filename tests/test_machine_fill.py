"""Tests of the fill order, with the worked example of the Piccolo paper."""

from crossmill.planning.fill import MachineOffer, fill

# the example of section II as tasks: machines that run 100, 80 and 50 tasks per unit of time
OFFERS = [
    MachineOffer("big", 1.0, 100, 0.0, 1.0, 9),
    MachineOffer("mid", 0.85, 80, 0.0, 1.0, 9),
    MachineOffer("small", 0.6, 50, 0.0, 1.0, 9),
]
SLOW_OFFER = MachineOffer("slow", 0.1, 100, 5.0, 1.0, 9)


def test_fill_chooses_whole_machines_with_the_best_throughput_per_price_first() -> None:
    # T = 285: the remaining 85 tasks cost 1.0 on a third big machine, 1.7 on two mid ones
    plan = fill(285, OFFERS, 1.0)
    assert sum(count.number for count in plan if count.offer.name == "big") == 3
    assert sum(count.offer.price * count.number for count in plan) == 3.0


def test_fill_puts_the_remaining_tasks_on_a_smaller_machine_if_that_is_cheaper() -> None:
    plan = fill(240, OFFERS, 1.0)
    assert [(count.offer.name, count.number) for count in plan] == [("big", 2), ("small", 1)]


def test_fill_excludes_an_offer_that_exceeds_the_budget() -> None:
    assert all(count.offer.name != "slow" for count in fill(100, [*OFFERS, SLOW_OFFER], 2.0))


def test_fill_chooses_the_offer_that_finishes_first_if_none_meets_the_budget() -> None:
    assert [count.offer.name for count in fill(10, [SLOW_OFFER], 2.0)] == ["slow"]
