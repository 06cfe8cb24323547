"""The interface that restricts commands and placements while a shard is recovering.

The heartbeat handler, the placement and the machine maintenance consult the gate before they act.
`crossmill/recovery` implements it. The gate owns all of its state.
"""

from typing import Protocol

from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..wire.workers import Command
from .views import WorkerView


class CommandGate(Protocol):
    """Decides which actions a shard permits; without a gate, all actions are permitted."""

    def filter_commands(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, commands: list[Command]
    ) -> list[Command]:
        """Return the commands that may be sent in response to a heartbeat now, most urgent first.

        The other commands need not be kept: the reconciliation of the next heartbeat derives them
        again.
        """

    def may_place(self, shard: int) -> bool:
        """Return whether waiting tasks of the shard may be placed."""

    def is_running_unplanned(self, job: str, index: int) -> bool:
        """Return whether a worker runs the task although no plan contains it.

        Such a task must not be placed, as it would run twice.
        """

    def may_retire(self, machine: Machine, reason: str) -> bool:
        """Return whether the machine may be marked for release to the cloud for this reason."""
