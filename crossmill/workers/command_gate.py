"""The interface through which a recovering shard holds back commands and placements.

The heartbeat handler, the placement and the machine maintenance ask the gate before they act;
`crossmill/recovery` implements it. The gate owns all of its state.
"""

from typing import Protocol

from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..wire.workers import Command
from .views import WorkerView


class CommandGate(Protocol):
    """Decides what may be done for a shard; a controller without a gate may do everything."""

    def filter_commands(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, commands: list[Command]
    ) -> list[Command]:
        """Returns the commands that may answer a heartbeat now, the most urgent ones first.

        Commands that are held back need not be kept: the reconciliation of the next heartbeat
        derives them again.
        """

    def may_place(self, shard: int) -> bool:
        """Tells whether waiting tasks of the shard may be placed."""

    def is_claimed(self, job: str, index: int) -> bool:
        """Tells whether a worker runs the task although no plan contains it.

        Such a task may not be placed: it would run twice.
        """

    def may_retire(self, machine: Machine, reason: str) -> bool:
        """Tells whether the machine may be marked to be returned to the cloud for this reason."""
