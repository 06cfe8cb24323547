"""Which machines may get tasks, and why the others are excluded.

Placement asks it for each machine of a shard; the waiting report counts the reasons. Each exclusion
ends: docs/safety.md ("Exclusions of machines and jobs") names what ends it. It owns no state.
"""

from enum import StrEnum

from ..cluster.model import Machine
from .context import SchedulingContext
from .failures import TaskFailures
from .machine_drain import MachineDrain
from .machine_transfer import MachineTransfer


class MachineExclusion(StrEnum):
    """The reason why a machine gets no tasks at present."""

    # its record marks it as retiring
    RETIRING = "retiring"
    # no recent heartbeat with this owner's token was received
    NO_HEARTBEAT = "no-heartbeat"
    # the cloud has announced that it will terminate the machine
    TERMINATION_NOTICE = "termination-notice"
    # tasks of several jobs failed on it, as this owner or an earlier one saw
    FAULTY = "faulty"
    # its replicas are being moved to other machines
    DRAINING = "draining"
    # it is being transferred to another shard
    TRANSFERRING = "transferring"


class MachineEligibility:
    """The decision whether tasks may be placed on a machine now."""

    def __init__(
        self,
        context: SchedulingContext,
        machine_drain: MachineDrain,
        machine_transfer: MachineTransfer,
        failures: TaskFailures,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._heartbeats = context.heartbeats
        self._machine_drain = machine_drain
        self._machine_transfer = machine_transfer
        self._failures = failures

    def exclusion(self, machine: Machine, now: float) -> MachineExclusion | None:
        """Return why no task may be placed on the machine, or None if tasks may be placed.

        `now` is in seconds of the controller's monotonic clock.
        """
        if machine.retirement_reason:
            return MachineExclusion.RETIRING
        if self._failures.is_faulty(machine.id) or machine.is_cordoned(self._clock.wall_time()):
            return MachineExclusion.FAULTY
        return self._worker_exclusion(machine, now) or self._movement(machine)

    def _worker_exclusion(self, machine: Machine, now: float) -> MachineExclusion | None:
        """Return the exclusion that follows from the worker's heartbeats."""
        view = self._heartbeats.find_view(machine.id)
        if view is None or not view.is_fresh(now, self._settings.heartbeat_timeout_s):
            return MachineExclusion.NO_HEARTBEAT
        return None if view.termination_at is None else MachineExclusion.TERMINATION_NOTICE

    def _movement(self, machine: Machine) -> MachineExclusion | None:
        """Return the exclusion of a machine whose tasks, or which itself, is being moved."""
        if self._machine_drain.is_draining(machine.id):
            return MachineExclusion.DRAINING
        is_transferring = self._machine_transfer.has_planned_transfer(
            machine.id
        ) or self._heartbeats.is_transferring(machine.id)
        return MachineExclusion.TRANSFERRING if is_transferring else None
