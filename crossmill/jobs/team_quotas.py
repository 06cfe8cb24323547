"""Teams' guaranteed quotas: each team's resource usage, and the jobs within their team's quota.

Placement and preemption call it. It owns the set of jobs within quota, computed once per round.
"""

from itertools import groupby
from operator import attrgetter
from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job
from ..planning.demand import TaskDemand
from ..settings import Settings
from ..wire.users import JobSpec

# allows for sums of floats that exceed a limit only through rounding
LIMIT_TOLERANCE = 1e-6


class ResourceUsage:
    """CPUs and GPUs that the planned tasks of one team use."""

    __slots__ = ("cpus", "gpus")

    def __init__(self) -> None:
        self.cpus = 0.0
        self.gpus = 0.0

    def add(self, spec: JobSpec, task_count: int) -> None:
        """Add the resources that this many tasks of the job use."""
        self.cpus += task_count * spec.cpus
        self.gpus += task_count * spec.gpus


# resource usage by team name; teams without planned tasks may be missing
UsageByTeam = dict[str, ResourceUsage]


class _QuotaDemand(NamedTuple):
    """The GPUs of a job's unfinished tasks, which count against its team's quota.

    Sorts by order of acceptance.
    """

    order: int
    gpus: float
    job_id: str


class TeamQuotas:
    """The jobs within their team's quota, and the usage of teams in excess of their quota."""

    def __init__(self, settings: Settings, cluster: ClusterState) -> None:
        self._settings = settings
        self._cluster = cluster
        self._within_quota: dict[int, set[str]] = {}

    def usage(self, shard: int) -> UsageByTeam:
        """Return the resource usage of the planned tasks of each team with tasks in the shard.

        These are the shard's teams, wherever their tasks are planned, and the teams of the shards
        that have tasks on machines lent by this one. Attempts whose state on the worker is unknown
        count too.
        """
        usage: UsageByTeam = {}
        guest_shards = {job.shard for job in self._cluster.machines.guest_jobs(shard)}
        for team_shard in (shard, *sorted(guest_shards)):
            for job in (
                *self._cluster.jobs.active[team_shard].values(),
                *self._cluster.jobs.ended[team_shard].values(),
            ):
                if job.spec is not None and (task_count := job.planned_task_count()):
                    usage.setdefault(job.spec.team, ResourceUsage()).add(job.spec, task_count)
        return usage

    def tasks_within_limit(self, spec: JobSpec, usage: ResourceUsage) -> int:
        """Return the number of further tasks of the job that its team's limits allow."""
        team = self._settings.team(spec.team)
        if team is None:
            return 0
        tasks = spec.tasks
        for limit, used, per_task in (
            (team.cpus_max, usage.cpus, spec.cpus),
            (team.gpus_max, usage.gpus, spec.gpus),
        ):
            if limit > 0 and per_task > 0:
                tasks = min(tasks, int((limit - used + LIMIT_TOLERANCE) / per_task))
        return max(0, tasks)

    def limit_demand(self, demand: TaskDemand, usage: ResourceUsage) -> bool:
        """Reduce the demand to what the team's limits allow; return whether any of it is left.

        A gang, whose tasks start together, is left whole or not at all.
        """
        allowed = self.tasks_within_limit(demand.spec, usage)
        if demand.spec.is_gang and allowed < demand.tasks:
            return False
        demand.tasks = min(demand.tasks, allowed)
        return demand.tasks > 0

    def gpus_over_quota(self, team_name: str, usage: UsageByTeam) -> float:
        """Return the GPUs that the team uses in excess of its quota; 0 if it has no quota.

        The number is negative if the team uses less than its quota.
        """
        team = self._settings.team(team_name)
        used = usage.get(team_name)
        gpus = used.gpus if used is not None else 0.0
        return gpus - team.gpus if team is not None and team.gpus > 0 else 0.0

    def start_round(self, shard: int) -> None:
        """Start a new round, in which the jobs within quota are computed again."""
        self._within_quota.pop(shard, None)

    def is_within_quota(self, job: Job) -> bool:
        """Return whether the job fits into its team's quota together with the team's earlier jobs.

        Only such jobs may preempt tasks of teams that exceed their quota.
        """
        if job.shard not in self._within_quota:
            self._within_quota[job.shard] = self._jobs_within_quota(job.shard)
        return job.id in self._within_quota[job.shard]

    def _jobs_within_quota(self, shard: int) -> set[str]:
        """Return the IDs of the jobs of all teams that are within quota.

        The result is computed in one pass over all jobs. Summing up a team's earlier jobs for each
        job separately took two fifths of a controller's CPU time with some 600 machines.
        """
        demands_by_team: dict[str, list[_QuotaDemand]] = {}
        for job in self._cluster.jobs.active[shard].values():
            # a job that waits for its dependencies does not count against a quota
            if job.spec is not None and not job.is_blocked:
                gpus = job.spec.gpus * (job.spec.tasks - job.done_task_count())
                demand = _QuotaDemand(job.acceptance_order, gpus, job.id)
                demands_by_team.setdefault(job.spec.team, []).append(demand)
        within_quota: set[str] = set()
        for team_name, demands in demands_by_team.items():
            team = self._settings.team(team_name)
            if team is not None and team.gpus > 0:
                within_quota.update(_job_ids_within(demands, team.gpus))
        return within_quota


def _job_ids_within(demands: list[_QuotaDemand], quota_gpus: float) -> list[str]:
    """Return the IDs of the earliest jobs that fit into the quota together."""
    demands.sort()
    job_ids: list[str] = []
    gpus = 0.0
    # jobs accepted in one transaction have the same order, so either all of them fit or none
    for _, same_order in groupby(demands, key=attrgetter("order")):
        group = list(same_order)
        gpus += sum(demand.gpus for demand in group)
        if gpus > quota_gpus:
            break
        job_ids.extend(demand.job_id for demand in group)
    return job_ids
