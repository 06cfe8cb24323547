"""The recovery of one shard under one ownership: its phases and the admission of its orders.

`RecoveryService` creates a recovery for each shard that the controller acquires, passes it the
heartbeats and advances it. A recovery keeps all of its state in memory: the next owner begins a new
one from the stored state and the workers' heartbeats.
"""

import logging
from collections.abc import Callable

from ..cluster.model import AttemptId, Machine
from ..cluster.ownership import ShardOwnership
from ..wire.workers import Command
from ..workers.views import WorkerView
from .circuit_breaker import CircuitBreaker
from .classification import (
    MACHINE_RULES,
    MachineClass,
    TaskClass,
    WorkerLiveness,
    classify_machine,
)
from .context import RecoveryContext
from .differences import TaskKey, classify_machine_tasks, find_differences
from .order_admission import OrderAdmission
from .pacing import count_batches
from .phases import PHASES_BEFORE_PLACEMENT, RESOLVING_PHASES, PhaseTracker, RecoveryPhase
from .statistics import RecoveryStatistics
from .unresolved_differences import UnresolvedDifferences

log = logging.getLogger(__name__)


class ShardRecovery:
    """Resolves the differences between plans and heartbeats after a shard was acquired.

    It covers only the differences that a machine's first heartbeat under the new token shows, even
    if that heartbeat arrives late. Recovery does not restrict orders for later differences.
    """

    def __init__(
        self,
        shard: int,
        ownership: ShardOwnership,
        context: RecoveryContext,
        priority_of: Callable[[str], int],
    ) -> None:
        settings, clock = context.recovery_settings, context.clock
        self.shard = shard
        # the fencing token under which the ownership began
        self.term = ownership.term
        self.started_at = clock.now()
        self.statistics = RecoveryStatistics()
        self._settings = settings
        self._clock = clock
        self._cluster = context.cluster
        self._priority_of = priority_of
        self._phases = PhaseTracker(clock)
        self._differences = UnresolvedDifferences()
        self.breaker = CircuitBreaker(settings, self._differences, self.statistics)
        self.admission = OrderAdmission(
            context, self._phases, self._differences, self.breaker, self.statistics
        )
        # machines that have sent a heartbeat under this token
        self._reported: set[str] = set()
        # machines that may run tasks and have not sent a heartbeat under this token
        self._not_reported: set[str] = set()
        self._resolving_timeout_s = 0.0

    # -- state -----------------------------------------------------------------------

    @property
    def phase(self) -> RecoveryPhase:
        """The current phase."""
        return self._phases.current

    @property
    def phase_durations_s(self) -> dict[RecoveryPhase, float]:
        """The seconds spent in each phase that has ended."""
        return self._phases.durations_s

    @property
    def has_reached_steady_phase(self) -> bool:
        """Whether the recovery is in its last phase, which may begin before all machines report."""
        return self.phase is RecoveryPhase.STEADY

    @property
    def has_ended(self) -> bool:
        """Whether no differences are left and all machines have reported or departed."""
        return (
            self.has_reached_steady_phase and not self._not_reported and not self._differences.count
        )

    @property
    def may_place(self) -> bool:
        """Whether waiting tasks may be placed, which requires that machines had time to report."""
        return self.phase not in PHASES_BEFORE_PLACEMENT

    def is_running_unplanned(self, key: TaskKey) -> bool:
        """Return whether a worker of the shard runs the task although no plan contains it."""
        return self._differences.is_running_unplanned(key)

    def waits_for(self) -> str:
        """Return a text for operators that describes what the current phase waits for."""
        if self.phase is RecoveryPhase.LOADING:
            return "a read of all that earlier owners wrote"
        if self.phase is RecoveryPhase.OBSERVING:
            return f"reports of {len(self._not_reported)} machines"
        if self.breaker.is_open:
            return "reports that resolve it, or an approval"
        if self.phase is RecoveryPhase.RESOLVING:
            return f"{self._differences.count} differences to be settled"
        return f"{len(self._not_reported)} silent machines" if self._not_reported else "nothing"

    def approve(self) -> None:
        """Permit the actions that the circuit breaker blocks now."""
        self.breaker.approve()
        log.info("recovery approved shard=%d token=%d", self.shard, self.term)

    # -- phases ----------------------------------------------------------------------

    def advance(self, ownership: ShardOwnership) -> None:
        """Enter each next phase whose conditions are met."""
        self._drop_departed_machines()
        if self.phase is RecoveryPhase.LOADING and ownership.is_ready:
            self._start_observing()
        if self.phase is RecoveryPhase.OBSERVING and self._is_observing_finished():
            self._enter(RecoveryPhase.CLASSIFYING)
            self._count_machines()
        if self.phase is RecoveryPhase.CLASSIFYING and not self.breaker.is_open:
            self._enter(RecoveryPhase.RESOLVING)
            self._resolving_timeout_s = self._estimate_resolving_s()
        if self.phase is RecoveryPhase.RESOLVING:
            self._advance_resolving()

    def _enter(self, phase: RecoveryPhase) -> None:
        previous = self.phase
        spent_s = self._phases.enter(phase)
        log.info(
            "recovery phase shard=%d token=%d from=%s to=%s after_s=%.2f differences=%d "
            "without_heartbeat=%d",
            self.shard,
            self.term,
            previous,
            phase,
            spent_s,
            self._differences.count,
            len(self._not_reported),
        )

    def _start_observing(self) -> None:
        machines = self._cluster.machines.by_shard[self.shard].values()
        expected = {m.id for m in machines if (m.is_up or m.attempts) and not m.retirement_reason}
        self._not_reported = expected - self._reported
        self.statistics.machines_known = len(machines)
        self._enter(RecoveryPhase.OBSERVING)

    def _is_observing_finished(self) -> bool:
        return not self._not_reported or self._phases.elapsed_s() >= self._settings.observe_s

    def _count_machines(self) -> None:
        for machine in self._cluster.machines.by_shard[self.shard].values():
            self.statistics.machine_classes[self._class_of(machine)] += 1
            if machine.id in self._not_reported:
                self.statistics.task_classes[TaskClass.UNRESPONSIVE] += len(machine.attempts)

    def _class_of(self, machine: Machine) -> MachineClass:
        has_reported = machine.id in self._reported
        liveness = WorkerLiveness.REPORTING if has_reported else WorkerLiveness.UNRESPONSIVE
        return classify_machine(True, None, bool(machine.retirement_reason), liveness)

    def _advance_resolving(self) -> None:
        if self.breaker.is_open:
            self._enter(RecoveryPhase.CLASSIFYING)
        elif not self._differences.count:
            self._enter(RecoveryPhase.STEADY)
        elif self._phases.elapsed_s() > self._resolving_timeout_s:
            # the remaining differences stay rate limited, but batches no longer delay any machine
            self._enter(RecoveryPhase.STEADY)
        else:
            self.admission.advance_batches(self._priority_of)

    def _estimate_resolving_s(self) -> float:
        """Return the seconds that suffice to resolve all differences in rate limited batches."""
        machines = self._differences.machines()
        largest = max((len(self._differences.of_machine(m)) for m in machines), default=0)
        batches = count_batches(len(machines), self._settings.first_batch)
        by_shard_rate_s = self._differences.count / self._settings.shard_orders_per_s
        by_worker_rate_s = largest / self._settings.worker_orders_per_s
        return (
            max(by_shard_rate_s, by_worker_rate_s) + (batches + 1) * self._settings.batch_timeout_s
        )

    def _drop_departed_machines(self) -> None:
        self._reported &= self._cluster.machines.keys()
        tracked = (*self._not_reported, *self._differences.machines())
        for machine_id in [m for m in tracked if self._has_departed(m)]:
            self._not_reported.discard(machine_id)
            self._differences.drop_machine(machine_id)

    def _has_departed(self, machine_id: str) -> bool:
        machine = self._cluster.machines.get(machine_id)
        return machine is None or machine.shard != self.shard or bool(machine.retirement_reason)

    # -- heartbeats and orders -------------------------------------------------------

    def handle_heartbeat(self, machine: Machine, view: WorkerView) -> None:
        """Update the differences from a heartbeat with this owner's token.

        A machine's first heartbeat shows its differences, and a later one those that remain.
        """
        if machine.id not in self._reported:
            self._handle_first_heartbeat(machine, view)
        elif self._differences.of_machine(machine.id):
            classes = classify_machine_tasks(self._cluster, machine, view)
            found = find_differences(machine, view, classes)
            self._differences.update(machine.id, found, self._clock.now())

    def _handle_first_heartbeat(self, machine: Machine, view: WorkerView) -> None:
        self._reported.add(machine.id)
        self._not_reported.discard(machine.id)
        classes = classify_machine_tasks(self._cluster, machine, view)
        self.statistics.tasks_known += len(classes)
        self.statistics.task_classes.update(classes.values())
        found = find_differences(machine, view, classes)
        self._differences.add_all(machine.id, found, self._clock.now())

    def admit(self, machine: Machine, command: Command) -> bool:
        """Return whether a command may be sent now; if so, count it.

        A command that does not resolve one of the recovery's differences is always admitted and
        is not counted.
        """
        job, _, index = command.task.rpartition("/")
        attempt = AttemptId(job, int(index), command.attempt)
        difference = self._differences.of_machine(machine.id).get(attempt)
        return difference is None or self.admission.admit(difference, command.op.value)

    def admit_release(self, machine: Machine) -> bool:
        """Return whether the machine may be marked for release to the cloud.

        During the recovery, the release of an unresponsive machine counts as an order.
        """
        if self.has_ended:
            return True
        if self.phase not in RESOLVING_PHASES:
            return False
        if not MACHINE_RULES[self._class_of(machine)].counts_toward_breaker:
            return True
        return self.admission.admit_release(machine.id)
