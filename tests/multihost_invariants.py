"""The invariants of multi-machine replicas, checked while a simulated region runs.

`MultihostRegion` calls the checker many times a second. tests/test_multihost_invariants.py injects
violations to show that the checker detects each of them.
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
    """Invariants were violated; `violations` describes each violation."""

    def __init__(self, violations: list[str]) -> None:
        super().__init__("; ".join(violations))
        self.violations = violations


@dataclass
class ServingObservation:
    """Observations of one generation of a replica.

    Attributes:
        complete_at: The latest time at which all members ran; None if they never did.
        serving_check_count: The number of checks in which the front member could serve.
    """

    complete_at: float | None = None
    serving_check_count: int = 0


@dataclass
class MultihostInvariantChecker:
    """Checks agents and records many times a second, and collects violations of invariants.

    The invariants: at most one front member of a replica serves; no replica serves for longer than
    the serving lease after it has lost a member; no machine is reserved beyond its capacity; no
    start order precedes the record of its generation; no voluntary stop violates the disruption
    budget.
    """

    region: "MultihostRegion"
    violations: list[str] = field(default_factory=list)
    # observations by replica name and generation
    observations: dict[tuple[str, int], ServingObservation] = field(default_factory=dict)
    # latest time at which the replica could serve, by replica name
    served_at: dict[str, float] = field(default_factory=dict)
    # longest time for which a generation could still serve after it had lost a member
    max_stale_serving_s: float = 0.0
    _phases: dict[str, str] = field(default_factory=dict)

    def report_violation(self, description: str) -> None:
        """Record a violation, up to a maximum number."""
        entry = f"{self.region.clock.now():.2f} {description}"
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(entry)

    def check_order(self, order: Order) -> None:
        """Check that the generation in a start order was durable before the order."""
        replica_id = ReplicaId.parse(order.replica)
        if replica_id is None:
            self.report_violation(f"order for {order.replica}, which names no replica")
            return
        entry = self.region.state.keys.get(keys.replica(replica_id))
        if order.op is OrderKind.START and (
            entry is None or entry[0]["generation"] < order.generation
        ):
            self.report_violation(f"ordered_early {order.replica} generation {order.generation}")

    def check(self) -> None:
        """Check the invariants that must hold at any time."""
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
        for name, front_members in serving.items():
            if len(front_members) > 1:
                self.report_violation(
                    f"two_serving {name}: {[(a.machine, g) for a, g in front_members]}"
                )
            for _, generation in front_members:
                self._check_serving(name, generation)
            self.served_at[name] = self.region.clock.now()
        self._check_records()

    def _check_serving(self, name: str, generation: int) -> None:
        now = self.region.clock.now()
        observation = self.observations.setdefault((name, generation), ServingObservation())
        observation.serving_check_count += 1
        if observation.complete_at is None:
            self.report_violation(f"incomplete {name}: generation {generation} never was complete")
        elif observation.complete_at < now:
            self.max_stale_serving_s = max(self.max_stale_serving_s, now - observation.complete_at)
            lease_s = self.region.multihost.serving_lease_s
            if now - observation.complete_at > lease_s + self.region.tolerance_s:
                incomplete_s = now - observation.complete_at
                self.report_violation(
                    f"incomplete {name}: generation {generation} serves {incomplete_s:.2f} s "
                    "after it was last complete"
                )

    def is_complete(self, name: str, generation: int) -> bool:
        """Return whether every rank runs in this generation on a machine that is alive."""
        ranks = {
            agent.members[name].rank
            for agent in self.region.agents.values()
            if agent.runs(name, generation)
        }
        set_name = name.rpartition("/")[0]
        entry = self.region.state.keys.get(keys.replica_set(set_name))
        return entry is not None and ranks == set(range(entry[0]["members"]))

    def _check_records(self) -> None:
        """Check the records for capacity and disruption budget violations."""
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
        """Check that the members planned on a machine don't exceed its capacity."""
        for machine, amounts in self.planned_use().items():
            entry = self.region.state.keys.get(keys.machine(machine))
            if entry is not None and any(
                used > capacity + ROUNDING_ERROR
                for used, capacity in zip(amounts, entry[0]["capacity"], strict=True)
            ):
                self.report_violation(f"over_committed {machine}: {amounts}")

    def _check_budget(self, name: str, ready: int) -> None:
        """Check that a voluntary stop has left enough ready replicas of the set."""
        entry = self.region.state.keys.get(keys.replica_set(name.rpartition("/")[0]))
        if entry is None or entry[0]["removed"]:
            return
        reason = self.region.state.keys[keys.REPLICA + name][0]["reason"]
        # the stop of a replica that has lost a member is not voluntary; its reason contains "; "
        is_voluntary = "; " not in reason
        if is_voluntary and ready < entry[0]["min_ready"]:
            self.report_violation(f"below_minimum {name} stopped, {ready} ready")

    def planned_use(self) -> dict[str, list[float]]:
        """Return the resources reserved on each machine, according to the records."""
        used: dict[str, list[float]] = {}
        for key, (value, _, _) in self.region.state.keys.items():
            if key.startswith(keys.MEMBERS):
                replica_id, _ = keys.parse_members(key[len(keys.MEMBERS) :])
                self._add_use(used, replica_id, value)
        return used

    def _add_use(self, used: dict[str, list[float]], replica_id: ReplicaId, value: Any) -> None:
        entry = self.region.state.keys.get(keys.replica_set(replica_id.set_name))
        if entry is None:
            return
        for member in value["members"]:
            amounts = used.setdefault(member[1], [0.0, 0.0, 0.0])
            for i, amount in enumerate(entry[0]["resources"]):
                amounts[i] += amount

    def check_end(self) -> None:
        """Check after all faults that no reservation or member is leaked."""
        state = self.region.state.keys
        planned: dict[str, set[str]] = {}
        for key, (value, version, _) in state.items():
            if not key.startswith(keys.MEMBERS):
                continue
            replica_id, _ = keys.parse_members(key[len(keys.MEMBERS) :])
            entry = state.get(keys.replica(replica_id))
            if entry is None:
                self.report_violation(f"leaked {key}: its replica has no record")
                continue
            replica = decode_replica(replica_id, entry[0], version)
            chunk = decode_chunk(value, version)
            if replica.phase.value not in ("ready", "starting", "repairing", "reserving"):
                self.report_violation(f"leaked {key}: its replica is {replica.phase}")
            for member in chunk.members:
                planned.setdefault(member.machine, set()).add(str(replica_id))
        for agent in self.region.agents.values():
            extra = set(agent.members) - planned.get(agent.machine, set())
            if extra and not agent.is_dead and not agent.is_frozen:
                self.report_violation(f"leaked {agent.machine} runs {extra}")
