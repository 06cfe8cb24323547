"""The fill order of DESIGN, algorithm 1 of the Piccolo paper: fills whole machines with tasks.

The functions are pure. Capacity planning calls `fill` to choose which machines to rent next.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

# keeps throughputs finite for tasks that are expected to take no time
MIN_TASK_S = 1e-9


class MachineOffer(NamedTuple):
    """A kind of machine that can be rented for a stage.

    Attributes:
        name: Name that identifies the offer.
        price: Price of one machine.
        slots: Number of tasks that run concurrently on one machine.
        setup_s: Seconds until the first task can run.
        task_s: Run time of one task in seconds.
        limit: The most machines that may be rented.
    """

    name: str
    price: float
    slots: int
    setup_s: float
    task_s: float
    limit: int

    def tasks_per_slot(self, budget_s: float) -> int:
        """Return how many tasks one slot runs in sequence within the budget."""
        if self.task_s <= 0 or math.isinf(budget_s):
            return 1
        return int((budget_s - self.setup_s) / self.task_s)

    def throughput_per_price(self) -> float:
        """Return the tasks per second that one machine runs, divided by its price."""
        return self.slots / (self.price * max(self.task_s, MIN_TASK_S))


class MachineCount(NamedTuple):
    """A number of machines chosen from an offer."""

    offer: MachineOffer
    number: int


class _UsableOffer:
    """An offer, and the number of tasks that one of its machines runs within the budget."""

    __slots__ = ("offer", "tasks_per_machine")

    def __init__(self, offer: MachineOffer, tasks_per_machine: int) -> None:
        self.offer = offer
        self.tasks_per_machine = tasks_per_machine

    def cost(self, tasks: int) -> float:
        """Return the price of the whole machines needed for the tasks."""
        return self.offer.price * math.ceil(tasks / self.tasks_per_machine)


def fill(tasks: int, offers: Sequence[MachineOffer], budget_s: float) -> list[MachineCount]:
    """Choose whole machines for the tasks, best throughput per price first.

    Tasks that do not fill a whole machine go to later offers that meet the budget, unless machines
    of the current offer cost no more for them. If no offer meets the budget, offers are used in
    order of finish time.
    """
    plan: list[MachineCount] = []
    usable = _usable_offers(offers, budget_s)
    remaining = tasks
    for position, current in enumerate(usable):
        offer, tasks_per_machine = current.offer, current.tasks_per_machine
        number = min(remaining // tasks_per_machine, offer.limit)
        if number:
            plan.append(MachineCount(offer, number))
            remaining -= number * tasks_per_machine
        spare = offer.limit - number
        if remaining and spare and _is_cheapest(current, usable[position + 1 :], remaining):
            number = min(math.ceil(remaining / tasks_per_machine), spare)
            plan.append(MachineCount(offer, number))
            remaining -= number * tasks_per_machine
        if remaining <= 0:
            break
    return plan


def _usable_offers(offers: Sequence[MachineOffer], budget_s: float) -> list[_UsableOffer]:
    """Return the offers that meet the budget, best throughput per price first.

    If no offer meets the budget, return all offers in order of finish time.
    """
    by_throughput_per_price = sorted(
        (offer for offer in offers if offer.slots > 0 and offer.limit > 0),
        key=lambda offer: -offer.throughput_per_price(),
    )
    usable = [
        _UsableOffer(offer, offer.slots * tasks_per_slot)
        for offer in by_throughput_per_price
        if (tasks_per_slot := offer.tasks_per_slot(budget_s)) >= 1
    ]
    if usable:
        return usable
    by_finish = sorted(
        by_throughput_per_price,
        key=lambda offer: (offer.setup_s + offer.task_s, -offer.throughput_per_price()),
    )
    return [_UsableOffer(offer, offer.slots) for offer in by_finish]


def _is_cheapest(current: _UsableOffer, later: Sequence[_UsableOffer], tasks: int) -> bool:
    """Return whether no later offer costs less for tasks that do not fill a whole machine."""
    cost = current.cost(tasks)
    return all(cost <= offer.cost(tasks) for offer in later)
