"""What may hold back orders, placements and returns for a while (crossmill/recovery)."""

from typing import Protocol

from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..wire.workers import Command
from .views import WorkerView


class OrderGate(Protocol):
    """Asked before anything of a shard is ordered, placed or given up. Without a gate all is let
    through.
    """

    def screen(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, orders: list[Command]
    ) -> list[Command]:
        """Which of the orders that answer a report may be sent now; the others follow from
        comparing anew.
        """

    def may_place(self, shard: int) -> bool:
        """Whether waiting tasks of the shard may be placed."""

    def is_claimed(self, job: str, index: int) -> bool:
        """Whether a worker runs the task though no plan holds it, so that it may not be placed."""

    def may_give_up(self, machine: Machine, why: str) -> bool:
        """Whether the machine may be marked to be returned for this reason."""
