"""What the settings file says about a deployment: its controllers, teams and limits.

The loader makes these objects. They are frozen; the rest of the program reads them as part of
`Settings`.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

# the kind of an objective on how soon tasks must start
START_DELAY_OBJECTIVE = "wait"

# the longest encoding of one planned task in a legacy chunk and in a segment, and the share of a
# value that a plan may fill
PLAN_ROW_BYTES = 48
SEGMENT_ROW_BYTES = 32
PLAN_VALUE_SHARE = 0.75
MIN_CHUNK_TASKS = 16
# PROTOCOL: a transaction takes this many conditions for each of its changes
CONDITIONS_PER_CHANGE = 4
# conditions of a plan's write beside its machines: shard, plan, job, feature level, peers' keys
RESERVED_CONDITIONS = 8


class StateLimits(NamedTuple):
    """The state service's limits at one time.

    Attributes:
        rps: Requests per second of all controllers together.
        write_rps: Changes per second of all controllers together.
        value_bytes: The size of a value.
        txn_ops: The puts and deletes of a transaction.
    """

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def elementwise_min(self, other: "StateLimits") -> "StateLimits":
        """Return the lower of each limit, so that both sets hold."""
        return StateLimits(
            min(self.rps, other.rps),
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )

    @property
    def max_conditions(self) -> int:
        """How many conditions a transaction may have."""
        return CONDITIONS_PER_CHANGE * self.txn_ops

    @property
    def max_machines_per_txn(self) -> int:
        """How many machines' records the write of a plan may have as conditions."""
        return max(1, self.max_conditions - RESERVED_CONDITIONS)

    @property
    def chunk_tasks(self) -> int:
        """How many tasks of a job's plan fit into one legacy chunk."""
        return max(MIN_CHUNK_TASKS, int(self.value_bytes * PLAN_VALUE_SHARE / PLAN_ROW_BYTES))

    @property
    def segment_tasks(self) -> int:
        """How many tasks fit into a segment, which plans use from a raised feature level on."""
        tasks = int(self.value_bytes * PLAN_VALUE_SHARE / SEGMENT_ROW_BYTES)
        return max(MIN_CHUNK_TASKS, tasks)

    @property
    def max_record_bytes(self) -> int:
        """The largest job record in bytes; the state service may encode JSON with more bytes."""
        return int(self.value_bytes * PLAN_VALUE_SHARE)


class Endpoint(NamedTuple):
    """A host and port."""

    host: str
    port: int


class Peer(NamedTuple):
    """Another controller."""

    label: str
    zone: str
    endpoint: Endpoint


class Team(NamedTuple):
    """A team with its guaranteed and maximum resources; 0 means none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


class Objective(NamedTuple):
    """A service-level objective of a job class.

    Attributes:
        kind: What it limits; see PROTOCOL.
        job_class: The job class it holds for.
        within_s: The time within which it must be met, in seconds.
        share: The share of cases in which it must be met.
        times: A multiple of the estimate, for the kinds that use one.
    """

    kind: str
    job_class: str
    within_s: float
    share: float
    times: float


class _ShardLoad:
    """The guarantees of the teams that a shard has so far."""

    __slots__ = ("cpus", "gpus", "shard", "teams")

    def __init__(self, shard: int) -> None:
        self.shard = shard
        self.gpus = 0.0
        self.cpus = 0.0
        self.teams = 0

    def sort_key(self) -> tuple[float, float, int, int]:
        """Return the sort key; the least loaded shard comes first."""
        return self.gpus, self.cpus, self.teams, self.shard

    def add(self, team: Team) -> None:
        """Add a team's guarantees."""
        self.gpus += team.gpus
        self.cpus += team.cpus
        self.teams += 1


def assign_teams_to_shards(teams: tuple[Team, ...], shards: int) -> dict[str, int]:
    """Assign each team to the shard whose owner places its jobs.

    Teams with large guarantees are assigned first, each to the shard with the least guarantees so
    far. With fewer teams than shards some shards get none.
    """
    order = sorted(enumerate(teams), key=lambda entry: (-entry[1].gpus, -entry[1].cpus, entry[0]))
    loads = [_ShardLoad(shard) for shard in range(shards)]
    result: dict[str, int] = {}
    for _, team in order:
        load = min(loads, key=_ShardLoad.sort_key)
        result.setdefault(team.name, load.shard)
        load.add(team)
    return result


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """The checked contents of the settings file of one controller.

    Attributes:
        label: This controller's label.
        zone: Its zone.
        bind: Where it listens for workers and users.
        peer_listen: Where it listens for other controllers.
        peers: The other controllers.
        cloud: The cloud's API.
        state: The state service.
        zones: All zones.
        teams: All teams.
        objectives: The service-level objectives.
        heartbeat_interval_s: Seconds between a worker's heartbeats.
        worker_lease_s: Seconds after which a worker without a response ends its tasks.
        cancellation_deadline_s: Seconds within which the tasks of a cancelled job must have ended.
        state_limits: The state service's limits now.
        next_state_limits: Its limits from some time after an upgrade on; None if they stay.
        cloud_rps: The cloud's limit of requests per second.
        list_lag_s: How many seconds the cloud's list of machines may lag.
        fd_limit: How many file descriptors the process may open.
        ram_mb: How much memory the process may use, in MB.
        team_shards: The shard of each team.
        shards_with_teams: The shards that have a team.
    """

    label: str
    zone: str
    bind: Endpoint
    peer_listen: Endpoint
    peers: tuple[Peer, ...]
    cloud: Endpoint
    state: Endpoint
    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    objectives: tuple[Objective, ...]
    heartbeat_interval_s: float
    worker_lease_s: float
    cancellation_deadline_s: float
    state_limits: StateLimits
    next_state_limits: StateLimits | None
    cloud_rps: float
    list_lag_s: float
    fd_limit: int
    ram_mb: float
    # derived once: read for each job's record and each time that the write rate is set
    team_shards: dict[str, int] = field(init=False, repr=False, compare=False)
    shards_with_teams: frozenset[int] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        shards = assign_teams_to_shards(self.teams, self.controller_count)
        object.__setattr__(self, "team_shards", shards)
        object.__setattr__(self, "shards_with_teams", frozenset(shards.values()))

    @property
    def controller_count(self) -> int:
        """How many controllers the deployment has."""
        return 1 + len(self.peers)

    @property
    def shard_count(self) -> int:
        """How many shards there are: one for each controller."""
        return self.controller_count

    @property
    def labels(self) -> tuple[str, ...]:
        """The labels of all controllers, sorted."""
        return tuple(sorted([self.label, *(peer.label for peer in self.peers)]))

    def next_controller(self, label: str) -> str:
        """Return the controller that a worker tries when this one does not answer.

        PROTOCOL: "tries the next node", which is the next label in numeric order.
        """
        order = sorted(self.labels, key=lambda other: (len(other), other))
        return order[(order.index(label) + 1) % len(order)]

    def team(self, name: str) -> Team | None:
        """Return the team of this name, or None."""
        return next((team for team in self.teams if team.name == name), None)

    def shard_of_team(self, name: str) -> int:
        """Return the shard whose owner places the team's jobs; 0 for an unknown team."""
        return self.team_shards.get(name, 0)

    def start_objective_s(self, job_class: str) -> float | None:
        """Return how many seconds after its arrival a task of the class must start, or None."""
        waits = [
            objective.within_s
            for objective in self.objectives
            if objective.kind == START_DELAY_OBJECTIVE and objective.job_class == job_class
        ]
        return min(waits, default=None)
