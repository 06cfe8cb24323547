"""Filling a stage's tasks into whole machines (the paper's algorithm 1, DESIGN's fill order)."""

import math
from collections.abc import Sequence
from typing import NamedTuple


class MachineOffer(NamedTuple):
    """A machine type as a stage sees it: how long until it can run, tasks side by side, and
    how many machines there may be.
    """

    name: str
    price: float
    slots: int
    setup_s: float
    task_s: float
    limit: int

    def rounds(self, budget_s: float) -> int:
        """How many tasks one slot runs one after the other within the budget."""
        if self.task_s <= 0 or math.isinf(budget_s):
            return 1
        return int((budget_s - self.setup_s) / self.task_s)

    def value(self) -> float:
        """Throughput per price."""
        return self.slots / (self.price * max(self.task_s, 1e-9))


def fill(
    tasks: int, offers: Sequence[MachineOffer], budget_s: float
) -> list[tuple[MachineOffer, int]]:
    """Whole machines of the best throughput per price first; the next offers that still meet
    the budget take what is left; when none meets it, the soonest takes all.
    """
    order = sorted((o for o in offers if o.slots > 0 and o.limit > 0), key=lambda o: -o.value())
    meeting = [o for o in order if o.rounds(budget_s) >= 1]
    late = not meeting
    if late:
        meeting = sorted(order, key=lambda o: (o.setup_s + o.task_s, -o.value()))
    plan: list[tuple[MachineOffer, int]] = []
    left = tasks
    for position, offer in enumerate(meeting):
        each = offer.slots * (1 if late else offer.rounds(budget_s))
        number = min(left // each, offer.limit)
        if number:
            plan.append((offer, number))
            left -= number * each
        spare = offer.limit - number
        if left and spare:
            # the rest of a machine: a later offer takes it only if it costs less for it
            here = offer.price * math.ceil(left / each)
            rest = [
                o.price * math.ceil(left / (o.slots * (1 if late else o.rounds(budget_s))))
                for o in meeting[position + 1 :]
            ]
            if not rest or here <= min(rest):
                more = min(math.ceil(left / each), spare)
                plan.append((offer, more))
                left -= more * each
        if left <= 0:
            break
    return plan
