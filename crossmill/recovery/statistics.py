"""Counts that a recovery collects for its record and its log lines."""

from collections import Counter
from collections.abc import Iterable

from .classification import MachineClass, TaskClass

# the kind under which released machines are counted among the orders, as it is stored
RELEASE_ORDER = "release"


class RecoveryStatistics:
    """What a shard's recovery found and did."""

    __slots__ = (
        "admitted_by_dry_run",
        "machine_classes",
        "machines_known",
        "orders",
        "task_classes",
        "tasks_known",
    )

    def __init__(self) -> None:
        self.task_classes: Counter[TaskClass] = Counter()
        self.machine_classes: Counter[MachineClass] = Counter()
        # orders sent, by kind
        self.orders: Counter[str] = Counter()
        # orders that were sent in a dry run and would otherwise have been withheld, by kind
        self.admitted_by_dry_run: Counter[str] = Counter()
        self.machines_known = 0
        self.tasks_known = 0

    def count_dry_run_admissions(self, kinds: Iterable[str]) -> None:
        """Counts orders that were sent in a dry run and would otherwise have been withheld."""
        self.admitted_by_dry_run.update(kinds)
