"""Counts that a recovery collects for its record and its log lines."""

from collections import Counter
from collections.abc import Iterable

from .classification import MachineClass, TaskClass

# the kind under which released machines are counted among the orders, as it is stored
RELEASE_ORDER = "release"


class RecoveryStatistics:
    """What a shard's recovery found and did."""

    __slots__ = (
        "machine_classes",
        "machines_known",
        "orders",
        "task_classes",
        "tasks_known",
        "withheld_in_dry_run",
    )

    def __init__(self) -> None:
        self.task_classes: Counter[TaskClass] = Counter()
        self.machine_classes: Counter[MachineClass] = Counter()
        # orders sent, by kind
        self.orders: Counter[str] = Counter()
        # orders that were sent in a dry run and would otherwise have been withheld, by kind
        self.withheld_in_dry_run: Counter[str] = Counter()
        self.machines_known = 0
        self.tasks_known = 0

    def note_withheld_in_dry_run(self, kinds: Iterable[str]) -> None:
        """Counts orders that were sent in a dry run and would otherwise have been withheld."""
        self.withheld_in_dry_run.update(kinds)
