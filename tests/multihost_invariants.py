"""Checks the invariants of multi-machine replicas while a simulated region runs.

`MultihostRegion` calls the checker many times per simulated second.
tests/test_multihost_invariants.py injects violations and checks that each one is found.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from crossmill.multihost import keys
from crossmill.multihost.model import ReplicaId
from crossmill.multihost.records import decode_chunk, decode_replica
from crossmill.wire.multihost import Order, OrderKind

from .multihost_agents import Agent

if TYPE_CHECKING:
    from .multihost_region import MultihostRegion

MAX_VIOLATIONS = 20
ROUNDING_ERROR = 1e-9


class InvariantViolationError(Exception):
    """Invariants were violated; `violations` lists the violations."""

    def __init__(self, violations: list[str]) -> None:
        super().__init__("; ".join(violations))
        self.violations = violations


@dataclass
class ServingObservation:
    """The observations of one generation of a replica.

    Attributes:
        complete_at: The last time at which all its members were seen to run; None if never.
        answers: The number of checks in which a front member was serving.
    """

    complete_at: float | None = None
    answers: int = 0


@dataclass
class MultihostInvariantChecker:
    """Checks agents and records, and collects the violations of these invariants.

    - At most one front member of a replica serves at a time.
    - A replica stops serving within the lease's length after a member is lost.
    - No machine has more resources reserved than its capacity.
    - No order to start a generation is sent before the generation's record is written.
    - No voluntary stop reduces the number of ready replicas below the disruption budget.
    """

    region: "MultihostRegion"
    violations: list[str] = field(default_factory=list)
    observations: dict[tuple[str, int], ServingObservation] = field(default_factory=dict)
    # the last time at which a replica was seen to serve, by replica name
    served_at: dict[str, float] = field(default_factory=dict)
    # the longest time that a generation served after it was last complete, in seconds
    max_stale_serving_s: float = 0.0
    _phases: dict[str, str] = field(default_factory=dict)

    def report_violation(self, what: str) -> None:
        """Record a violation; only the first `MAX_VIOLATIONS` are kept."""
        entry = f"{self.region.clock.now():.2f} {what}"
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(entry)

    def check_order(self, order: Order) -> None:
        """Check that the generation in an order to start a member is already stored."""
        replica_id = ReplicaId.parse(order.replica)
        if replica_id is None:
            self.report_violation(f"order for {order.replica}, which names no replica")
            return
        stored = self.region.state.keys.get(keys.replica(replica_id))
        if order.op is OrderKind.START and (
            stored is None or stored[0]["generation"] < order.generation
        ):
            self.report_violation(f"ordered_early {order.replica} generation {order.generation}")

    def check(self) -> None:
        """Check the invariants that apply at any time."""
        serving: dict[str, list[tuple[Agent, int]]] = {}
        for agent in self.region.agents.values():
            for name, member in agent.members.items():
                if member.rank == 0 and self.is_complete(name, member.generation):
                    observation = self.observations.setdefault(
                        (name, member.generation), ServingObservation()
                    )
                    observation.complete_at = self.region.clock.now()
                generation = agent.serves(name)
                if generation is not None:
                    serving.setdefault(name, []).append((agent, generation))
        for name, fronts in serving.items():
            if len(fronts) > 1:
                self.report_violation(f"two_serving {name}: {[(a.machine, g) for a, g in fronts]}")
            for _, generation in fronts:
                self._check_serving(name, generation)
            self.served_at[name] = self.region.clock.now()
        self._check_records()

    def _check_serving(self, name: str, generation: int) -> None:
        now = self.region.clock.now()
        observation = self.observations.setdefault((name, generation), ServingObservation())
        observation.answers += 1
        if observation.complete_at is None:
            self.report_violation(f"incomplete {name}: generation {generation} never was complete")
        elif observation.complete_at < now:
            self.max_stale_serving_s = max(self.max_stale_serving_s, now - observation.complete_at)
            lease_s = self.region.multihost.serving_lease_s
            if now - observation.complete_at > lease_s + self.region.tolerance_s:
                late = now - observation.complete_at
                self.report_violation(
                    f"incomplete {name}: generation {generation} answers {late:.2f} s late"
                )

    def is_complete(self, name: str, generation: int) -> bool:
        """Return whether every rank runs this generation on some machine that is alive."""
        ranks = {
            agent.members[name].rank
            for agent in self.region.agents.values()
            if agent.runs(name, generation)
        }
        set_name = name.rpartition("/")[0]
        stored = self.region.state.keys.get(keys.replica_set(set_name))
        return stored is not None and ranks == set(range(stored[0]["members"]))

    def _check_records(self) -> None:
        """Check the stored records against the machines' capacity and the disruption budgets."""
        self._check_capacity()
        ready: dict[str, int] = {}
        drained: list[str] = []
        for key, (value, _, _) in self.region.state.keys.items():
            if not key.startswith(keys.REPLICA):
                continue
            name = key[len(keys.REPLICA) :]
            set_name = name.rpartition("/")[0]
            ready[set_name] = ready.get(set_name, 0) + (value["phase"] == "ready")
            if (self._phases.get(name, ""), value["phase"]) == ("ready", "draining"):
                drained.append(name)
            self._phases[name] = value["phase"]
        for name in drained:
            self._check_budget(name, ready[name.rpartition("/")[0]])

    def _check_capacity(self) -> None:
        """Check that the members planned on a machine fit into its capacity."""
        for machine, amounts in self.planned_use().items():
            stored = self.region.state.keys.get(keys.machine(machine))
            if stored is not None and any(
                used > capacity + ROUNDING_ERROR
                for used, capacity in zip(amounts, stored[0]["capacity"], strict=True)
            ):
                self.report_violation(f"over_committed {machine}: {amounts}")

    def _check_budget(self, name: str, ready: int) -> None:
        """Check that the voluntary stop of a replica left enough ready replicas of its set."""
        stored = self.region.state.keys.get(keys.replica_set(name.rpartition("/")[0]))
        if stored is None or stored[0]["removed"]:
            return
        reason = self.region.state.keys[keys.REPLICA + name][0]["reason"]
        # a replica that has lost a member is not stopped voluntarily
        is_voluntary = "; " not in reason
        if is_voluntary and ready < stored[0]["min_ready"]:
            self.report_violation(f"below_minimum {name} stopped, {ready} ready")

    def planned_use(self) -> dict[str, list[float]]:
        """Return the resources that the records plan on each machine."""
        used: dict[str, list[float]] = {}
        for key, (value, _, _) in self.region.state.keys.items():
            if key.startswith(keys.MEMBERS):
                replica_id, _ = keys.parse_members(key[len(keys.MEMBERS) :])
                self._add_use(used, replica_id, value)
        return used

    def _add_use(self, used: dict[str, list[float]], replica_id: ReplicaId, value: Any) -> None:
        stored = self.region.state.keys.get(keys.replica_set(replica_id.set_name))
        if stored is None:
            return
        for member in value["members"]:
            amounts = used.setdefault(member[1], [0.0, 0.0, 0.0])
            for i, amount in enumerate(stored[0]["resources"]):
                amounts[i] += amount

    def check_end(self) -> None:
        """Check, after all faults, that no reservation and no running member is left over."""
        state = self.region.state.keys
        planned: dict[str, set[str]] = {}
        for key, (value, version, _) in state.items():
            if not key.startswith(keys.MEMBERS):
                continue
            replica_id, _ = keys.parse_members(key[len(keys.MEMBERS) :])
            stored = state.get(keys.replica(replica_id))
            if stored is None:
                self.report_violation(f"leaked {key}: its replica has no record")
                continue
            replica = decode_replica(replica_id, stored[0], version)
            chunk = decode_chunk(value, version)
            if replica.phase.value not in ("ready", "starting", "repairing", "reserving"):
                self.report_violation(f"leaked {key}: its replica is {replica.phase}")
            for member in chunk.members:
                planned.setdefault(member.machine, set()).add(str(replica_id))
        for agent in self.region.agents.values():
            extra = set(agent.members) - planned.get(agent.machine, set())
            if extra and not agent.dead and not agent.is_frozen:
                self.report_violation(f"leaked {agent.machine} runs {extra}")
