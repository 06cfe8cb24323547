"""The recovery of one shard under one ownership: its phases, and what may be ordered when."""

import logging
from collections import Counter
from collections.abc import Callable

from ..cluster.cluster_state import ClusterState
from ..cluster.model import AttemptId, Machine
from ..cluster.ownership import ShardOwnership
from ..net.clock import Clock
from ..net.pacer import Pacer
from ..wire.workers import Command
from ..workers.views import WorkerView
from .batches import Batches, batches_of
from .brake import Impact, digest_of, is_mass_action
from .classification import (
    MACHINE_RULES,
    Contact,
    MachineClass,
    Proof,
    TaskClass,
    Urgency,
    classify_machine,
)
from .differences import Difference, TaskKey, classify_machine_tasks, differences
from .open_differences import OpenDifferences
from .phases import BEFORE_PLACING, Phase, check_transition
from .releases import Releases
from .settings import RecoverySettings

log = logging.getLogger(__name__)

# the kind under which given up machines are counted among the orders
RELEASE = "release"


class ShardRecovery:
    """What differs between plans and reports when a shard is taken, until it is settled.

    Only what a machine's first report under the new token shows is recovery's matter, however late
    it comes; whatever comes to differ later is the ordinary path's.
    """

    def __init__(
        self,
        shard: int,
        ownership: ShardOwnership,
        settings: RecoverySettings,
        clock: Clock,
        cluster: ClusterState,
        priority: Callable[[str], int],
    ) -> None:
        self.shard = shard
        self.term = ownership.term
        self.phase = Phase.LOADING
        self.begun_at = clock.now()
        self.spent_s: dict[Phase, float] = {}
        self.classes: Counter[TaskClass] = Counter()
        self.machine_classes: Counter[MachineClass] = Counter()
        self.orders: Counter[str] = Counter()
        # in a dry run, by kind: what was let through and would have been held back
        self.let_through: Counter[str] = Counter()
        self.machines_known = 0
        self.tasks_known = 0
        # when the newest read was sent that showed all that was durable
        self.read_at: float | None = None
        self._entered_at = self.begun_at
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._priority = priority
        self._open = OpenDifferences()
        self._releases = Releases()
        self._heard: set[str] = set()
        # machines that may run something and have not reported under this token
        self._unheard: set[str] = set()
        # an owner that takes over has saved up nothing: see `RecoverySettings.shard_orders_per_s`
        self._pace = Pacer(clock, settings.shard_orders_per_s, settings.shard_burst)
        self._pace.drain()
        self._worker_paces: dict[str, Pacer] = {}
        self._batches = Batches(clock, settings.first_batch, settings.batch_s)
        self._settle_s = 0.0

    # -- what others ask -------------------------------------------------------------

    @property
    def is_settled(self) -> bool:
        """Whether nothing differs any more on the machines that were heard."""
        return self.phase is Phase.STEADY

    @property
    def has_ended(self) -> bool:
        """Whether nothing is left to be watched: those that were silent have come, or are gone."""
        return self.is_settled and not self._unheard and not self._open.count

    @property
    def may_place(self) -> bool:
        """Whether waiting tasks may be placed: not before the machines have been heard."""
        return self.phase not in BEFORE_PLACING

    def is_claimed(self, key: TaskKey) -> bool:
        """Whether a worker of the shard runs the task though no plan holds it."""
        return self._open.is_claimed(key)

    @property
    def needs_read(self) -> bool:
        """Whether an order waits for a read that is newer than the report it rests on."""
        return self._open.needs_read(self.read_at)

    def impact(self) -> Impact:
        """What would be touched, and has been, apart from what was approved."""
        return self._open.impact(self._releases.counted, self.tasks_known, self.machines_known)

    @property
    def is_braked(self) -> bool:
        """Whether settling waits for reports that resolve it, or for an operator."""
        return is_mass_action(self.impact(), self._settings)

    def digest(self) -> str:
        """Names what is held back while the brake is on."""
        return digest_of(self._open.held_back(), self._releases.held_back())

    def approve(self) -> None:
        """An operator approved what the present digest names."""
        self._open.approve()
        self._releases.approve()
        log.info("recovery approved shard=%d token=%d", self.shard, self.term)

    def waits_for(self) -> str:
        """What the phase waits for, in words for an operator."""
        if self.phase is Phase.LOADING:
            return "a read of all that earlier owners wrote"
        if self.phase is Phase.OBSERVING:
            return f"reports of {len(self._unheard)} machines"
        if self.is_braked:
            return "reports that resolve it, or an approval"
        if self.phase is Phase.SETTLING:
            return f"{self._open.count} differences to be settled"
        return f"{len(self._unheard)} silent machines" if self._unheard else "nothing"

    # -- phases ----------------------------------------------------------------------

    def advance(self, ownership: ShardOwnership) -> None:
        """One look: the phases that are over are left."""
        self._forget_gone()
        if self.phase is Phase.LOADING and ownership.ready:
            self._observe()
        if self.phase is Phase.OBSERVING and self._is_observed():
            self._enter(Phase.CLASSIFYING)
            self._count_machines()
        if self.phase is Phase.CLASSIFYING and not self.is_braked:
            self._enter(Phase.SETTLING)
            self._settle_s = self._settling_bound_s()
        if self.phase is Phase.SETTLING:
            self._settle()

    def _enter(self, phase: Phase) -> None:
        check_transition(self.phase, phase)
        now = self._clock.now()
        spent_s = now - self._entered_at
        self.spent_s[self.phase] = self.spent_s.get(self.phase, 0.0) + spent_s
        log.info(
            "recovery phase shard=%d token=%d from=%s to=%s after_s=%.2f differences=%d "
            "without_heartbeat=%d",
            self.shard,
            self.term,
            self.phase,
            phase,
            spent_s,
            self._open.count,
            len(self._unheard),
        )
        self.phase, self._entered_at = phase, now

    def _observe(self) -> None:
        machines = self._cluster.machines.by_shard[self.shard].values()
        expected = {m.id for m in machines if (m.up or m.attempts) and not m.retiring}
        self._unheard = expected - self._heard
        self.machines_known = len(machines)
        self._enter(Phase.OBSERVING)

    def _is_observed(self) -> bool:
        waited_s = self._clock.now() - self._entered_at
        return not self._unheard or waited_s >= self._settings.observe_s

    def _count_machines(self) -> None:
        for machine in self._cluster.machines.by_shard[self.shard].values():
            self.machine_classes[self._class_of(machine)] += 1
            if machine.id in self._unheard:
                self.classes[TaskClass.SILENT] += len(machine.attempts)

    def _class_of(self, machine: Machine) -> MachineClass:
        contact = Contact.HEARD if machine.id in self._heard else Contact.SILENT
        return classify_machine(True, None, bool(machine.retiring), contact)

    def _settle(self) -> None:
        if self.is_braked:
            self._enter(Phase.CLASSIFYING)
        elif not self._open.count:
            self._enter(Phase.STEADY)
        elif self._clock.now() - self._entered_at > self._settle_s:
            # what would not settle keeps its pace, but no other waits for it any more
            self._enter(Phase.STEADY)
        elif self._batches.is_due(differing := set(self._open.machines())):
            self._batches.begin(self._by_urgency(differing))

    def _settling_bound_s(self) -> float:
        machines = self._open.machines()
        most = max((len(self._open.of(machine_id)) for machine_id in machines), default=0)
        batches = batches_of(len(machines), self._settings.first_batch)
        paced_s = self._open.count / self._settings.shard_orders_per_s
        worker_s = most / self._settings.worker_orders_per_s
        return max(paced_s, worker_s) + (batches + 1) * self._settings.batch_s

    def _by_urgency(self, machines: set[str]) -> list[str]:
        """Machines whose tasks restore service come first, by priority."""
        places = {
            machine_id: min(
                (difference.rule.urgency, self._priority(difference.job))
                for difference in self._open.of(machine_id).values()
            )
            for machine_id in machines
        }
        return sorted(places, key=lambda machine_id: (places[machine_id], machine_id))

    def _forget_gone(self) -> None:
        self._heard &= self._cluster.machines.keys()
        for machine_id in [m for m in (*self._unheard, *self._open.machines()) if self._is_gone(m)]:
            self._unheard.discard(machine_id)
            self._open.drop(machine_id)

    def _is_gone(self, machine_id: str) -> bool:
        machine = self._cluster.machines.get(machine_id)
        return machine is None or machine.shard != self.shard or bool(machine.retiring)

    # -- reports and orders ----------------------------------------------------------

    def note(self, machine: Machine, view: WorkerView) -> None:
        """A trusted report. A machine's first says what differs; later ones, what still does."""
        if machine.id in self._heard:
            if self._open.of(machine.id):
                classes = classify_machine_tasks(self._cluster, machine, view)
                found = differences(machine, view, classes)
                self._open.keep(machine.id, found, self._clock.now())
            return
        self._heard.add(machine.id)
        self._unheard.discard(machine.id)
        classes = classify_machine_tasks(self._cluster, machine, view)
        self.tasks_known += len(classes)
        self.classes.update(classes.values())
        self._open.first(machine.id, differences(machine, view, classes), self._clock.now())

    def admits(self, machine: Machine, order: Command) -> bool:
        """Whether an order may be sent now. Whatever is not recovery's matter may."""
        job, _, index = order.task.rpartition("/")
        difference = self._open.of(machine.id).get(AttemptId(job, int(index), order.attempt))
        if difference is None:
            return True
        if difference.rule.urgency is not Urgency.FENCE and not self._is_due(difference):
            return False
        self.orders[order.op.value] += 1
        self._open.ordered(difference)
        return True

    def _is_due(self, difference: Difference) -> bool:
        if self.phase not in (Phase.SETTLING, Phase.STEADY):
            return False
        is_batched = difference.rule.urgency is Urgency.CLEAN_UP and self.phase is Phase.SETTLING
        if is_batched and difference.machine not in self._batches.admitted:
            return False
        if difference.rule.proof is Proof.FRESH_READ and not self._open.is_read(
            difference, self.read_at
        ):
            return False
        if difference.rule.is_braked and self.is_braked:
            return False
        if difference.task_class is TaskClass.ABSENT and self.is_claimed(difference.key):
            # the plan may be of before the task was moved: first it has to end where it runs
            return False
        worker = self._worker_pace(difference.machine)
        return worker.available() >= 1 and self._pace.take() and worker.take()

    def _worker_pace(self, machine_id: str) -> Pacer:
        pace = self._worker_paces.get(machine_id)
        if pace is None:
            settings = self._settings
            pace = Pacer(self._clock, settings.worker_orders_per_s, settings.orders_per_worker)
            self._worker_paces[machine_id] = pace
        return pace

    def may_give_up(self, machine: Machine) -> bool:
        """Whether the machine may be marked to be returned."""
        if self.has_ended:
            return True
        if self.phase not in (Phase.SETTLING, Phase.STEADY):
            return False
        if not MACHINE_RULES[self._class_of(machine)].is_braked:
            return True
        if self._releases.demand(machine.id):
            return True
        if self.is_braked or not self._pace.take():
            return False
        self._releases.do(machine.id)
        self.orders[RELEASE] += 1
        return True
