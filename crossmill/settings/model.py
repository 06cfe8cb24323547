"""The checked, frozen settings, and every ratio derived from them."""

from dataclasses import dataclass, field
from typing import NamedTuple

from .limits import StateLimits


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
    """A team with its guarantees and limits; 0 means none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


class Objective(NamedTuple):
    """One of the users' aims."""

    kind: str
    job_class: str
    within_s: float
    share: float
    times: float


def assign_teams_to_shards(teams: tuple[Team, ...], shards: int) -> dict[str, int]:
    """Teams parted among controllers: a team's jobs are placed by one of them. Large guarantees
    are dealt out first, each to the shard that has least so far; a shard may get no team.
    """
    order = sorted(enumerate(teams), key=lambda entry: (-entry[1].gpus, -entry[1].cpus, entry[0]))
    loads = [(0.0, 0.0, 0, shard) for shard in range(shards)]
    result: dict[str, int] = {}
    for _, team in order:
        gpus, cpus, number, shard = min(loads)
        result.setdefault(team.name, shard)
        loads[shard] = (gpus + team.gpus, cpus + team.cpus, number + 1, shard)
    return result


@dataclass(frozen=True, slots=True)
class Settings:
    """The checked settings of one controller, with all that is derived from them.

    `shards_with_teams` are those that have a team; with fewer teams than controllers some shards
    have none.
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
    # what the state service will take from some moment after an upgrade; None: no change
    next_state_limits: StateLimits | None
    cloud_rps: float
    list_lag_s: float
    fd_limit: int
    ram_mb: float
    # what follows from the teams: asked for each job's record and at each look at the write rate
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
        """The labels of all controllers, in order."""
        return tuple(sorted([self.label, *(p.label for p in self.peers)]))

    def next_controller(self, label: str) -> str:
        """Where a worker turns whose controller does not answer (PROTOCOL: "tries the next node"):
        the next label, counted as numbers are.
        """
        order = sorted(self.labels, key=lambda other: (len(other), other))
        return order[(order.index(label) + 1) % len(order)]

    # -- figures derived from the settings; ratios live here only --------------------

    @property
    def controller_lease_ttl_s(self) -> float:
        """A controller's lease: crash, takeover and the workers' move fit into lease_s."""
        return self.worker_lease_s * 0.32

    @property
    def lease_renewal_interval_s(self) -> float:
        """How often a controller renews its lease."""
        return self.controller_lease_ttl_s / 4

    @property
    def lease_extension_grant_s(self) -> float:
        """How long a peer's promise not to take a shard holds."""
        return self.controller_lease_ttl_s

    @property
    def max_lease_extension_s(self) -> float:
        """How long workers are answered on promises alone: a withdrawal that is not heard of
        must still end its tasks in time, by the end of the workers' lease if need be.
        """
        return max(
            0.0,
            0.9 * self.cancellation_deadline_s
            - self.worker_lease_expiry_s
            - self.heartbeat_interval_s,
        )

    @property
    def partition_keepalive_s(self) -> float:
        """How long after it last knew all that was durable a controller in a zone that is cut
        off keeps the zone's workers alive.
        """
        return 3 * self.worker_lease_s

    @property
    def cancellation_note_ttl_s(self) -> float:
        """How long a job's note that it is to be withdrawn stands without being repeated."""
        return 4 * self.worker_lease_s

    @property
    def attestation_ttl_s(self) -> float:
        """How long a controller that was asked about a silent machine leaves it unanswered:
        until its lease must have ended, and a while for whoever asked to conclude it.
        """
        return 1.5 * self.worker_lease_expiry_s

    @property
    def clock_drift(self) -> float:
        """Two steady clocks, each up to 0.05% off, doubled for safety."""
        return 0.002

    @property
    def worker_lease_expiry_s(self) -> float:
        """A worker unanswered for this long has ended its session."""
        return self.worker_lease_s * (1 + self.clock_drift) + 0.02 * self.worker_lease_s

    @property
    def heartbeat_timeout_s(self) -> float:
        """A machine that has not reported for this long gets no new task."""
        return 2.5 * self.heartbeat_interval_s

    @property
    def next_heartbeat_within_s(self) -> float:
        """Each worker's next report has come by then: report_s and a quarter, and some more."""
        return 1.5 * self.heartbeat_interval_s

    @property
    def unreachable_backoff_s(self) -> float:
        """How long a controller that hears no worker leaves the shards to others."""
        return 2 * self.worker_lease_s

    @property
    def lowest_state_limits(self) -> StateLimits:
        """The state service's limits that hold both today and after they were lowered."""
        return (
            self.state_limits
            if self.next_state_limits is None
            else self.state_limits.least(self.next_state_limits)
        )

    @property
    def state_request_rate(self) -> float:
        """A controller's part of the state service's requests, safe under either limit."""
        return 0.9 * self.lowest_state_limits.rps / self.controller_count

    def write_rate_for(
        self, weight: float, total: float, limits: StateLimits | None = None
    ) -> float:
        """A controller's part of the changes a second that all of them together may make."""
        return 0.92 * (limits or self.state_limits).write_rps * weight / total

    @property
    def state_write_rate(self) -> float:
        """The part of each while nobody is known to have more to do."""
        return self.write_rate_for(1, self.controller_count)

    def shard_weight(self, part: float) -> float:
        """The weight that a shard with this part of all running work gives its owner, beside 1
        for being there: 2 on average over all shards with a team.
        """
        return 0.5 + 1.5 * len(self.shards_with_teams) * part

    @property
    def leader_weight(self) -> float:
        """The weight that renting machines and recording them gives the leader."""
        return 2.0

    @property
    def urgent_write_burst(self) -> float:
        """Urgent changes that a controller may make ahead of its share: a pipeline is submitted
        as a burst to one controller, and the state service allows a second's worth at once.
        """
        return self.lowest_state_limits.write_rps / 5

    @property
    def cloud_request_rate(self) -> float:
        """Requests a second that the cloud is sent at most."""
        return 0.8 * self.cloud_rps

    @property
    def cloud_list_interval_s(self) -> float:
        """How often the leader reads the cloud's list."""
        return max(self.list_lag_s / 2, 4 / self.cloud_rps)

    @property
    def max_ended_jobs(self) -> int:
        """Ended jobs of a shard kept at hand; older ones are archived and read when asked for.
        With all controllers' shares, some 4 KB each, that is a tenth of the memory.
        """
        return max(100, int(self.ram_mb * 0.1 * 1e6 / 4096 / self.controller_count))

    @property
    def max_cached_request_heads(self) -> int:
        """Request heads that a server keeps: 400 bytes each, a twenty-fifth of the memory."""
        return int(self.ram_mb * 0.04 * 1e6 / 400)

    @property
    def max_cached_task_statuses(self) -> int:
        """Tasks of reports that are kept: at some 300 bytes each a twentieth of the memory."""
        return int(self.ram_mb * 0.05 * 1e6 / 300)

    @property
    def idle_connection_timeout_s(self) -> float:
        """A connection on which no request was completed for this long is closed."""
        return 6 * self.worker_lease_s

    @property
    def default_queue_wait_s(self) -> float:
        """Where a job without a deadline stands in the queue: arrival plus this."""
        return 3 * self.worker_lease_s

    @property
    def replan_interval_s(self) -> float:
        """A pipeline with a late stage is split anew at most this often (DESIGN's ten seconds
        on its reference lease).
        """
        return self.worker_lease_s

    @property
    def scheduling_interval_s(self) -> float:
        """SchedulingLoop of decisions start at least this far apart."""
        return self.heartbeat_interval_s / 12

    @property
    def maintenance_interval_s(self) -> float:
        """How often a shard's machines are looked through for those to be given up."""
        return self.heartbeat_interval_s / 2

    @property
    def scheduling_time_budget_s(self) -> float:
        """A round's time for decisions; the next goes on where it stopped."""
        return self.heartbeat_interval_s / 15

    @property
    def submission_timeout_s(self) -> float:
        """A submission not durable by then is answered with 503."""
        return self.controller_lease_ttl_s / 3

    @property
    def max_retry_backoff_s(self) -> float:
        """The longest wait before a job that fails everywhere is tried again."""
        return 3 * self.worker_lease_s

    @property
    def max_replica_share_per_machine(self) -> float:
        """The largest part of a service's replicas put on one machine while others have room."""
        return 0.5

    @property
    def boot_failure_factor(self) -> float:
        """A machine not up after this many boot times is counted as never coming up, unless those
        before it took as long.
        """
        return 3.5

    @property
    def boot_late_factor(self) -> float:
        """After this many boot times a machine is no longer counted on, unless those before it
        took as long.
        """
        return 1.8

    @property
    def slow_boot_failure_factor(self) -> float:
        """The same while all machines of the type are late."""
        return 2.5 * self.boot_failure_factor

    @property
    def idle_machine_timeout_s(self) -> float:
        """An empty machine that nothing is expected for is returned after this long."""
        return 2 * self.worker_lease_s

    @property
    def arrival_window_s(self) -> float:
        """How far back arrivals are counted to expect the next ones."""
        return 10 * self.worker_lease_s

    @property
    def headroom(self) -> float:
        """FreeCapacity kept for expected tasks, in parts of those expected while a machine
        boots.
        """
        return 1.0

    @property
    def spot_baseline_ratio(self) -> float:
        """Spot room kept for arrays, in parts of what runs of them at a time on average."""
        return 1.25

    @property
    def no_capacity_backoff_s(self) -> float:
        """A type and zone that was refused is left alone for this long."""
        return self.worker_lease_s

    @property
    def peer_sockets(self) -> int:
        """Connections that peers may hold."""
        return max(8, int(self.fd_limit * 0.04))

    @property
    def drain_interval_s(self) -> float:
        """A shard empties at most one machine in this time."""
        return self.worker_lease_s / 2

    @property
    def machine_transfer_interval_s(self) -> float:
        """How often a shard looks whether others lack what it could give."""
        return self.worker_lease_s / 4

    @property
    def max_machines_per_transfer(self) -> int:
        """Machines given for one job at a time."""
        return 3

    @property
    def max_tasks_to_drain(self) -> int:
        """A machine with more tasks than this is not emptied: each move is a short outage."""
        return 16

    @property
    def min_useful_runtime_s(self) -> float:
        """A task stopped sooner after its start has not been of use."""
        return 3 * self.worker_lease_s

    def start_objective_s(self, job_class: str) -> float | None:
        """What the objectives say of how soon the class's tasks must start."""
        waits = [
            o.within_s for o in self.objectives if (o.kind, o.job_class) == ("wait", job_class)
        ]
        return min(waits, default=None)

    @property
    def replica_settle_time_s(self) -> float:
        """A replica is not moved sooner after its start."""
        return 4 * self.worker_lease_s

    @property
    def command_sockets(self) -> int:
        """Connections kept to workers for starts."""
        return int(self.fd_limit * 0.12)

    @property
    def server_sockets(self) -> int:
        """Connections that workers and users may hold."""
        return int(self.fd_limit * 0.8)

    def team(self, name: str) -> Team | None:
        """The team of this name."""
        return next((t for t in self.teams if t.name == name), None)

    def shard_of_team(self, name: str) -> int:
        """The shard whose owner places the team's jobs."""
        return self.team_shards.get(name, 0)
