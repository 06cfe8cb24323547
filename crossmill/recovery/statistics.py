"""The counters that a recovery keeps for its record and its log lines."""

from collections import Counter
from collections.abc import Iterable

from .classification import MachineClass, TaskClass

# the stored kind under which released machines are counted among the orders
RELEASE_ORDER = "release"


class RecoveryStatistics:
    """Counters of the tasks, machines and orders of a shard's recovery."""

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
        # number of orders that recovery admitted, by kind
        self.orders: Counter[str] = Counter()
        # number of orders that were sent only because of the dry run, by kind
        self.admitted_by_dry_run: Counter[str] = Counter()
        self.machines_known = 0
        self.tasks_known = 0

    def count_dry_run_admissions(self, kinds: Iterable[str]) -> None:
        """Count orders that were sent only because of the dry run."""
        self.admitted_by_dry_run.update(kinds)
