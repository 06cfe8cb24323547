"""Teams' guaranteed quotas: what teams use, and which jobs are within their team's quota.

Called by placement and preemption. Owns which jobs are within quota, worked out once per round.
"""

from itertools import groupby
from operator import attrgetter
from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job
from ..settings import Settings
from ..wire.users import JobSpec

# sums of floats may exceed a limit by rounding alone
LIMIT_TOLERANCE = 1e-6


class ResourceUsage:
    """CPUs and GPUs that the planned tasks of one team use."""

    __slots__ = ("cpus", "gpus")

    def __init__(self) -> None:
        self.cpus = 0.0
        self.gpus = 0.0

    def add(self, spec: JobSpec, task_count: int) -> None:
        """Adds what this many tasks of the job use."""
        self.cpus += task_count * spec.cpus
        self.gpus += task_count * spec.gpus


# by name of the team; teams that use nothing may be missing
UsageByTeam = dict[str, ResourceUsage]


class _QuotaClaim(NamedTuple):
    """What a job's unfinished tasks take of its team's quota; sorts by order of acceptance."""

    order: int
    gpus: float
    job_id: str


class TeamQuotas:
    """Tells which jobs are within their team's quota, and by how much teams exceed theirs."""

    def __init__(self, settings: Settings, cluster: ClusterState) -> None:
        self._settings = settings
        self._cluster = cluster
        self._within_quota: dict[int, set[str]] = {}

    def usage(self, shard: int) -> UsageByTeam:
        """Returns what each team's planned tasks use.

        Attempts whose state on the worker is unknown count too.
        """
        usage: UsageByTeam = {}
        for job in (
            *self._cluster.jobs.active[shard].values(),
            *self._cluster.jobs.ended[shard].values(),
        ):
            if job.spec is not None and (task_count := job.planned_task_count()):
                usage.setdefault(job.spec.team, ResourceUsage()).add(job.spec, task_count)
        return usage

    def gpus_over_quota(self, team_name: str, usage: UsageByTeam) -> float:
        """Returns the GPUs that the team uses in excess of its quota; 0 without a quota."""
        team = self._settings.team(team_name)
        used = usage.get(team_name)
        gpus = used.gpus if used is not None else 0.0
        return gpus - team.gpus if team is not None and team.gpus > 0 else 0.0

    def start_round(self, shard: int) -> None:
        """Starts a new round: which jobs are within quota is worked out anew."""
        self._within_quota.pop(shard, None)

    def is_within_quota(self, job: Job) -> bool:
        """Whether the job fits into its team's quota together with the team's earlier jobs.

        Only such jobs may preempt tasks of teams that exceed their quota.
        """
        if job.shard not in self._within_quota:
            self._within_quota[job.shard] = self._jobs_within_quota(job.shard)
        return job.id in self._within_quota[job.shard]

    def _jobs_within_quota(self, shard: int) -> set[str]:
        """Returns the jobs of all teams that are within quota.

        Computed for all jobs at once: summing up a team's earlier jobs for each job separately
        took two fifths of a controller's CPU time with some 600 machines.
        """
        claims_by_team: dict[str, list[_QuotaClaim]] = {}
        for job in self._cluster.jobs.active[shard].values():
            # a job that waits for its dependencies takes no part of a quota
            if job.spec is not None and not job.is_blocked:
                gpus = job.spec.gpus * (job.spec.tasks - job.done_task_count())
                claim = _QuotaClaim(job.acceptance_order, gpus, job.id)
                claims_by_team.setdefault(job.spec.team, []).append(claim)
        within_quota: set[str] = set()
        for team_name, claims in claims_by_team.items():
            team = self._settings.team(team_name)
            if team is not None and team.gpus > 0:
                within_quota.update(_claims_within(claims, team.gpus))
        return within_quota


def _claims_within(claims: list[_QuotaClaim], quota_gpus: float) -> list[str]:
    """Returns the ids of the earliest jobs that fit into the quota together."""
    claims.sort()
    job_ids: list[str] = []
    gpus = 0.0
    # jobs accepted in one transaction have the same place in the order: all fit, or none
    for _, same_order in groupby(claims, key=attrgetter("order")):
        group = list(same_order)
        gpus += sum(claim.gpus for claim in group)
        if gpus > quota_gpus:
            break
        job_ids.extend(claim.job_id for claim in group)
    return job_ids
