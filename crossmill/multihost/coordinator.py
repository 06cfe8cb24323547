"""The pool's owner: notices what has changed, and takes each replica a step further.

A round looks only at replicas and sets of which something has changed or is due. Whatever it
decides is durable before an agent hears of it, so a controller may end at any moment: the next
owner finds every replica in a phase from which it goes on.
"""

import logging
from collections.abc import Iterable

import curio

from ..cluster.membership import Membership
from ..cluster.ownership import ShardOwnership
from ..net.clock import Clock
from ..state.writer import WriteIntent
from .agents import Agents
from .due_times import DueTimes
from .failure_scores import FailureScores
from .lifecycle import (
    DecisionTime,
    MemberStatus,
    ReplicaAction,
    ReplicaDecision,
    decide,
    first_contact_s,
    is_heartbeat_overdue,
    recent_restarts,
)
from .model import PoolMachine, Replica, ReplicaId, ReplicaSet
from .observations import ReplicaObserver
from .phases import ReplicaPhase
from .pool import PoolState
from .registration import Registration
from .scheduling import Scheduler
from .serving import ServingLeases
from .set_reconciler import SetReconciler
from .sets import PREEMPTED
from .settings import MultihostSettings
from .writes import PoolWriter, after_transition

log = logging.getLogger(__name__)

# the phase that follows from an action that changes nothing else
PHASE_AFTER = {
    ReplicaAction.CONFIRM: ReplicaPhase.READY,
    ReplicaAction.REPAIR: ReplicaPhase.REPAIRING,
    ReplicaAction.RELEASE: ReplicaPhase.PENDING,
    ReplicaAction.DRAIN: ReplicaPhase.DRAINING,
    ReplicaAction.STOP: ReplicaPhase.STOPPED,
    ReplicaAction.FAIL: ReplicaPhase.FAILED,
    ReplicaAction.RETRY: ReplicaPhase.PENDING,
}


class Coordinator:
    """Runs rounds while this controller owns the pool."""

    def __init__(
        self,
        settings: MultihostSettings,
        clock: Clock,
        membership: Membership,
        pool: PoolState,
        agents: Agents,
        leases: ServingLeases,
        writes: PoolWriter,
        registration: Registration,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._membership = membership
        self._pool = pool
        self._agents = agents
        self._leases = leases
        self._writes = writes
        self._registration = registration
        self._failures = FailureScores(settings.failure_half_life_s)
        self._situations = ReplicaObserver(settings, pool, agents, leases)
        self._scheduler = Scheduler(settings, pool, agents, self._failures)
        self._sets = SetReconciler(pool, agents, self._scheduler, writes)
        self._wake = curio.Event()
        # the token under which the present ownership began
        self._term: int | None = None
        self._due = DueTimes()
        self._overdue_machines: set[str] = set()
        # ranks whose machines are left out when their replica is repaired
        self._suspects: dict[ReplicaId, frozenset[int]] = {}
        # how often a replica was looked at, since the start
        self.replicas_examined = 0
        membership.on_lost.append(self._lost)

    # -- what wakes a round ----------------------------------------------------------

    async def wake_if_changed(self) -> None:
        """Ends the nap between two rounds if there is something to look at."""
        if self._pool.changes:
            await self._wake.set()

    async def run(self) -> None:
        """Rounds, as soon as something has changed and whenever something is due."""
        while True:
            ownership = self._membership.command_ownership(self._settings.pool_shard)
            if ownership is not None:
                await self.round(ownership)
            await curio.sleep(self._settings.heartbeat_interval_s / 20)
            if ownership is None or not self._pool.changes:
                await curio.ignore_after(self._nap_s(), self._wake.wait)
            self._wake.clear()

    def _nap_s(self) -> float:
        """Until something is due. A silent machine is noticed by looking each half heartbeat; where
        no agent is heard, none can fall silent, and the first heartbeat ends the nap.
        """
        longest = self._settings.heartbeat_interval_s / 2
        if len(self._agents) == 0:
            longest = self._settings.idle_poll_interval_s
        due_at = self._due.next_at()
        if due_at is None:
            return longest
        return max(0.0, min(longest, due_at - self._clock.now()))

    def _lost(self, shard: int) -> None:
        """All that was believed of the agents ends with the ownership."""
        if shard != self._settings.pool_shard:
            return
        self._term = None
        self._agents.clear()
        self._leases.clear()
        self._failures.clear()
        self._situations.clear()
        self._scheduler.clear()
        self._due.clear()
        self._overdue_machines.clear()
        self._suspects.clear()

    def _begin_term(self, ownership: ShardOwnership) -> None:
        """The first round of an ownership looks at everything. What agents have said and were
        granted since it began stays: all of it was dropped when the one before ended.
        """
        self._term = ownership.term
        self._pool.changes.replicas |= set(self._pool.replicas)
        self._pool.changes.sets |= set(self._pool.sets) | set(self._pool.replicas_of)
        self._pool.changes.machines |= set(self._pool.machines)
        log.info(
            "pool acquired machines=%d sets=%d replicas=%d",
            len(self._pool.machines),
            len(self._pool.sets),
            len(self._pool.replicas),
        )

    def moment(self, ownership: ShardOwnership) -> DecisionTime:
        """Now, as decisions see it."""
        return DecisionTime(self._clock.now(), self._clock.wall(), ownership.acquired_at)

    # -- one round -------------------------------------------------------------------

    async def round(self, ownership: ShardOwnership) -> None:
        """Takes every replica that has changed or is due a step further."""
        if self._term != ownership.term:
            self._begin_term(ownership)
        moment = self.moment(ownership)
        await self._registration.admit(ownership)
        self._notice_silence(moment)
        self._notice_machines()
        changes = self._pool.take_changes()
        replicas = changes.replicas | self._due.take(moment.now)
        sets = changes.sets
        intents = self._look_at_machines(ownership, changes.machines)
        sets |= {r.set_name for r in replicas} | self._scheduler.waiting_sets()
        allowed = self._sets.look(ownership, moment, sets, intents)
        to_clear: list[tuple[Replica, bool]] = []
        # what one replica of a set has come to may let another one be stopped
        for replica_id in sorted(replicas | allowed):
            replica = self._pool.replicas.get(replica_id)
            if replica is not None:
                self._step(ownership, moment, replica, replica_id in allowed, intents, to_clear)
        await self._writes.submit(intents)
        for replica, record_too in to_clear:
            await self._writes.clear(ownership, replica, record_too)
        await self._place(ownership, moment)

    def _notice_silence(self, moment: DecisionTime) -> None:
        """Machines that have just been silent for too long: their replicas are looked at."""
        for view in self._agents.heartbeats_before(moment.now - self._settings.failure_detection_s):
            is_new = view.machine not in self._overdue_machines
            if is_new and is_heartbeat_overdue(view, moment, self._settings):
                self._overdue_machines.add(view.machine)
                log.info("agent heartbeats missed machine=%s", view.machine)
                self._touch_machine(view.machine)
        for machine in list(self._overdue_machines):
            view_now = self._agents.get(machine)
            if view_now is None or not is_heartbeat_overdue(view_now, moment, self._settings):
                self._overdue_machines.discard(machine)
                log.info("agent heartbeats resumed machine=%s", machine)
                self._touch_machine(machine)

    def _notice_machines(self) -> None:
        for machine in self._pool.changes.machines:
            self._touch_machine(machine)

    def _touch_machine(self, machine_id: str) -> None:
        machine = self._pool.machines.get(machine_id)
        if machine is not None:
            self._pool.changes.replicas |= machine.planned.keys()
        view = self._agents.get(machine_id)
        if view is not None:
            reported = (ReplicaId.parse(name) for name in view.members)
            self._pool.changes.replicas |= {
                r for r in reported if r is not None and r in self._pool.replicas
            }

    def _look_at_machines(
        self, ownership: ShardOwnership, changed: Iterable[str]
    ) -> list[WriteIntent]:
        """Machines that were returned are taken out of the pool, empty ones that are to leave it
        become ordinary again.
        """
        gone = [
            m for m in changed if m in self._pool.machines and self._pool.record_version(m) == 0
        ]
        for machine_id in gone:
            self._agents.forget(machine_id)
            self._overdue_machines.discard(machine_id)
            log.info("machine left the pool machine=%s", machine_id)
        intents = [self._writes.deletion_of_machine(ownership, m) for m in gone]
        for machine_id in set(changed) - set(gone):
            machine = self._pool.machines.get(machine_id)
            if machine is not None and self._may_leave(machine):
                log.info("machine leaves the pool empty machine=%s", machine_id)
                intents.append(self._writes.departure_of_machine(ownership, machine))
        return intents

    def _may_leave(self, machine: PoolMachine) -> bool:
        """Whether it is to leave the pool, and its agent says that no member is there."""
        if not machine.leaving or machine.has_left or machine.planned:
            return False
        view = self._agents.get(machine.id)
        return view is not None and view.is_empty

    # -- replicas --------------------------------------------------------------------

    def _step(
        self,
        ownership: ShardOwnership,
        moment: DecisionTime,
        replica: Replica,
        may_stop: bool,
        intents: list[WriteIntent],
        to_clear: list[tuple[Replica, bool]],
    ) -> None:
        self.replicas_examined += 1
        stored = self._pool.sets.get(replica.id.set_name)
        if replica.version == 0 or stored is None:
            # a record that was read before, or is gone after, the one that it belongs to
            return
        situation = self._situations.of(replica, stored, moment, may_stop)
        decision = decide(replica, stored.spec, situation, moment, self._settings)
        if decision.recheck_at is not None:
            self._due.add(replica.id, decision.recheck_at)
        if MemberStatus.UNKNOWN in situation.statuses.values():
            first_contact = moment.owned_since + first_contact_s(self._settings)
            self._due.add(replica.id, first_contact + self._settings.heartbeat_interval_s / 20)
        if decision.action is ReplicaAction.PLACE:
            self._scheduler.add(replica.id, moment.now)
            return
        self._scheduler.remove(replica.id)
        match decision.action:
            case ReplicaAction.WAIT:
                return
            case ReplicaAction.CLEAR:
                to_clear.append((replica, False))
            case ReplicaAction.DELETE:
                self._leases.forget(replica.id)
                self._suspects.pop(replica.id, None)
                to_clear.append((replica, True))
            case _:
                intents.append(self._transition(ownership, moment, replica, stored, decision))

    def _transition(
        self,
        ownership: ShardOwnership,
        moment: DecisionTime,
        replica: Replica,
        stored: ReplicaSet,
        decision: ReplicaDecision,
    ) -> WriteIntent:
        after = after_transition(
            replica, PHASE_AFTER[decision.action], moment.wall, decision.reason
        )
        if decision.action is ReplicaAction.REPAIR:
            recent = recent_restarts(replica, stored.spec, moment.wall)
            after.restarts = (*recent, moment.wall)
        if decision.suspects:
            self._suspects[replica.id] = decision.suspects
            for member in replica.members():
                if member.rank in decision.suspects:
                    self._failures.note_failure(member.machine, moment.now)
        elif decision.action is ReplicaAction.CONFIRM:
            self._suspects.pop(replica.id, None)
        log.info(
            "replica phase replica=%s from=%s to=%s generation=%d reason=%s",
            replica.id,
            replica.phase,
            after.phase,
            after.generation,
            decision.reason,
        )
        return self._writes.transition(ownership, replica, after)

    # -- placing ---------------------------------------------------------------------

    async def _place(self, ownership: ShardOwnership, moment: DecisionTime) -> None:
        """Reserves machines for those that wait, one replica after another in the total order."""
        for choice in self._scheduler.choose(moment, self._suspects):
            if self._term != ownership.term:
                return
            if choice.victims:
                await self._preempt(ownership, choice.victims, choice.replica_id)
            if choice.placement is None:
                continue
            replica = self._pool.replicas.get(choice.replica_id)
            if replica is None:
                continue
            if self._must_wait_for_another(replica):
                continue
            placed = await self._writes.reserve(
                ownership, replica, choice.placement, moment.wall, choice.reason
            )
            if placed:
                self._scheduler.remove(choice.replica_id)
                after = self._pool.replicas[choice.replica_id]
                log.info(
                    "replica placed replica=%s generation=%d members=%d kept=%d load_s=%.1f",
                    choice.replica_id,
                    after.generation,
                    len(choice.placement.members),
                    choice.placement.kept,
                    choice.placement.ready_s,
                )

    def _must_wait_for_another(self, replica: Replica) -> bool:
        """Whether the reservation would be begun in steps while another one is open."""
        if replica.phase is not ReplicaPhase.PENDING:
            return False
        members = self._pool.sets[replica.id.set_name].spec.members
        takes_steps = members > self._writes.members_per_chunk()
        return takes_steps and self._scheduler.has_open_reservation()

    async def _preempt(
        self, ownership: ShardOwnership, victims: tuple[ReplicaId, ...], waiting: ReplicaId
    ) -> None:
        intents: list[WriteIntent] = []
        for victim in victims:
            self._sets.mark_leaving(ownership, victim, f"{PREEMPTED} {waiting}", intents)
        await self._writes.submit(intents)
