"""Cordons of machines that count as faulty, so that every controller knows of the judgement.

A cordon is a time in the machine's record until which no task is placed on the machine and no
forecast counts its room. Machine maintenance calls this module in each of its checks and writes the
changes. It owns the IDs of the machines that this process has cordoned.
"""

import logging

from ..cluster.model import Machine
from .context import SchedulingContext
from .failures import TaskFailures

log = logging.getLogger(__name__)

# the value of `Machine.cordoned_until` that ends a cordon
NOT_CORDONED = 0.0


class MachineCordon:
    """The decision when to cordon a machine, and when to end a cordon before its time."""

    def __init__(self, context: SchedulingContext, failures: TaskFailures) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._failures = failures
        self._cordoned: set[str] = set()

    def change(self, machine: Machine) -> float | None:
        """Return the wall-clock time until which to cordon the machine; None for no change.

        A cordon ends by itself. It is ended before only by the process that wrote it: another owner
        does not know by which failures the machine was judged.
        """
        wall_time = self._clock.wall_time()
        is_cordoned = machine.is_cordoned(wall_time)
        if self._failures.is_faulty(machine.id):
            return None if is_cordoned else self._begin(machine, wall_time)
        if machine.id not in self._cordoned:
            return None
        self._cordoned.discard(machine.id)
        if not is_cordoned:
            return None
        log.info("machine uncordoned machine=%s", machine.id)
        return NOT_CORDONED

    def _begin(self, machine: Machine, wall_time: float) -> float:
        log.info("machine cordoned machine=%s tasks=%d", machine.id, len(machine.attempts))
        self._cordoned &= self._cluster.machines.keys()
        self._cordoned.add(machine.id)
        return wall_time + self._settings.failure_memory_s
