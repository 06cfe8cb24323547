"""The contents of the settings file: the deployment's controllers, teams and limits.

The loader creates these immutable objects. Other packages read them as part of `Settings`.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

# the kind of an objective that limits the time from a task's arrival to its start
START_DELAY_OBJECTIVE = "wait"

# the maximum encoded size of one planned task in a legacy chunk and in a segment, and the share of
# the value size limit that a plan may use
PLAN_ROW_BYTES = 48
SEGMENT_ROW_BYTES = 32
PLAN_VALUE_SHARE = 0.75
MIN_CHUNK_TASKS = 16
# PROTOCOL: a transaction may have this many conditions per allowed change
CONDITIONS_PER_CHANGE = 4
# conditions of a plan's write other than machine records: shard, plan, job, feature level, and the
# keys of peers
RESERVED_CONDITIONS = 8


class StateLimits(NamedTuple):
    """The state service's limits.

    Attributes:
        rps: Maximum requests per second, summed over all controllers.
        write_rps: Maximum changes per second, summed over all controllers.
        value_bytes: Maximum size of a value in bytes.
        txn_ops: Maximum number of puts and deletes in a transaction.
    """

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def elementwise_min(self, other: "StateLimits") -> "StateLimits":
        """Return the lower value of each limit, which satisfies both sets of limits."""
        return StateLimits(
            min(self.rps, other.rps),
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )

    @property
    def max_conditions(self) -> int:
        """The maximum number of conditions in a transaction."""
        return CONDITIONS_PER_CHANGE * self.txn_ops

    @property
    def max_machines_per_txn(self) -> int:
        """The maximum number of machine records that are conditions of a plan's write."""
        return max(1, self.max_conditions - RESERVED_CONDITIONS)

    @property
    def chunk_tasks(self) -> int:
        """The number of tasks of a job's plan that fit into one legacy chunk."""
        return max(MIN_CHUNK_TASKS, int(self.value_bytes * PLAN_VALUE_SHARE / PLAN_ROW_BYTES))

    @property
    def segment_tasks(self) -> int:
        """The number of tasks that fit into a segment.

        Segments replace chunks as the format of plans once the feature level is raised.
        """
        tasks = int(self.value_bytes * PLAN_VALUE_SHARE / SEGMENT_ROW_BYTES)
        return max(MIN_CHUNK_TASKS, tasks)

    @property
    def max_record_bytes(self) -> int:
        """The maximum size of a job record in bytes.

        It is below the limit of a value, as the state service may encode the JSON with more bytes.
        """
        return int(self.value_bytes * PLAN_VALUE_SHARE)


class Endpoint(NamedTuple):
    """A host and port."""

    host: str
    port: int


class Peer(NamedTuple):
    """Another controller of the deployment."""

    label: str
    zone: str
    endpoint: Endpoint


class Team(NamedTuple):
    """A team with its guaranteed and maximum resources; 0 means no guarantee or no maximum."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


class Objective(NamedTuple):
    """A service-level objective of a job class.

    Attributes:
        kind: The measured quantity; PROTOCOL defines the kinds.
        job_class: The job class that the objective applies to.
        within_s: The time limit in seconds.
        share: The share of cases that must meet the objective.
        times: The limit as a multiple of the estimated run time, for the kinds that use one.
    """

    kind: str
    job_class: str
    within_s: float
    share: float
    times: float


class _ShardLoad:
    """A shard and the sum of the guarantees of the teams assigned to it so far."""

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
        """Add the guarantees of a team."""
        self.gpus += team.gpus
        self.cpus += team.cpus
        self.teams += 1


def assign_teams_to_shards(teams: tuple[Team, ...], shards: int) -> dict[str, int]:
    """Assign each team to the shard whose owner places its jobs.

    Teams with large guarantees are assigned first, each to the shard with the lowest sum of
    guarantees so far. If there are fewer teams than shards, some shards have no team.
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
    """The validated contents of one controller's settings file.

    Attributes:
        label: This controller's label.
        zone: This controller's zone.
        bind: The address that workers and users connect to.
        peer_listen: The address that other controllers connect to.
        peers: The other controllers.
        cloud: The address of the cloud's API.
        state: The address of the state service.
        zones: All zones.
        teams: All teams.
        objectives: The service-level objectives.
        heartbeat_interval_s: The time between two heartbeats of a worker, in seconds.
        worker_lease_s: The time after which a worker without a response stops its tasks, in
            seconds.
        cancellation_deadline_s: The time within which the tasks of a cancelled job must have ended,
            in seconds.
        state_limits: The current limits of the state service.
        next_state_limits: The limits of the state service that take effect at some time after an
            upgrade; None if they do not change.
        cloud_rps: The cloud's limit of requests per second.
        list_lag_s: The maximum lag of the cloud's list of machines, in seconds.
        fd_limit: The maximum number of file descriptors of the process.
        ram_mb: The maximum memory of the process, in MB.
        team_shards: Shard numbers by team name.
        shards_with_teams: The numbers of the shards with at least one team.
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
    # computed once, since they are read for each job record and at each update of the write rate
    team_shards: dict[str, int] = field(init=False, repr=False, compare=False)
    shards_with_teams: frozenset[int] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        shards = assign_teams_to_shards(self.teams, self.controller_count)
        object.__setattr__(self, "team_shards", shards)
        object.__setattr__(self, "shards_with_teams", frozenset(shards.values()))

    @property
    def controller_count(self) -> int:
        """The number of controllers in the deployment."""
        return 1 + len(self.peers)

    @property
    def shard_count(self) -> int:
        """The number of shards: one per controller."""
        return self.controller_count

    @property
    def labels(self) -> tuple[str, ...]:
        """The labels of all controllers, sorted."""
        return tuple(sorted([self.label, *(peer.label for peer in self.peers)]))

    def next_controller(self, label: str) -> str:
        """Return the label of the controller that a worker tries if the given one does not respond.

        PROTOCOL calls it "the next node": the one with the next label in numeric order.
        """
        order = sorted(self.labels, key=lambda other: (len(other), other))
        return order[(order.index(label) + 1) % len(order)]

    def team(self, name: str) -> Team | None:
        """Return the team with this name, or None."""
        return next((team for team in self.teams if team.name == name), None)

    def shard_of_team(self, name: str) -> int:
        """Return the shard that the team is assigned to; 0 for an unknown team."""
        return self.team_shards.get(name, 0)

    def start_objective_s(self, job_class: str) -> float | None:
        """Return the time within which tasks of the class must start after arrival, in seconds.

        None if the class has no such objective.
        """
        limits_s = [
            objective.within_s
            for objective in self.objectives
            if objective.kind == START_DELAY_OBJECTIVE and objective.job_class == job_class
        ]
        return min(limits_s, default=None)
