"""What teams are guaranteed, what they use, and for which jobs a guarantee speaks."""

from itertools import groupby
from operator import itemgetter

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job
from ..settings import Settings

# CPUs and GPUs by team
ResourceUsage = dict[str, list[float]]


class TeamQuotas:
    """Which jobs are within their team's guarantee, and what others use beyond theirs."""

    def __init__(self, settings: Settings, cluster: ClusterState) -> None:
        self._settings = settings
        self._cluster = cluster
        self._within: dict[int, set[str]] = {}

    def usage(self, shard: int) -> ResourceUsage:
        """What each team's tasks hold, those in doubt included."""
        usage: ResourceUsage = {}
        for job in (
            *self._cluster.jobs.active[shard].values(),
            *self._cluster.jobs.ended[shard].values(),
        ):
            if job.spec is not None and (count := job.planned_task_count()):
                entry = usage.setdefault(job.spec.team, [0.0, 0.0])
                entry[0] += count * job.spec.cpus
                entry[1] += count * job.spec.gpus
        return usage

    def gpus_over_quota(self, team_name: str, usage: ResourceUsage) -> float:
        """GPUs that the team uses beyond its guarantee."""
        team = self._settings.team(team_name)
        _, gpus = usage.get(team_name, [0.0, 0.0])
        return gpus - team.gpus if team is not None and team.gpus > 0 else 0.0

    def start_round(self, shard: int) -> None:
        """A new round: which jobs a guarantee speaks for is worked out anew, once for all."""
        self._within.pop(shard, None)

    def is_within_quota(self, job: Job) -> bool:
        """Whether the job fits into its team's guarantee together with the team's earlier ones:
        only then does the guarantee speak for it.
        """
        if job.shard not in self._within:
            self._within[job.shard] = self._fitting(job.shard)
        return job.id in self._within[job.shard]

    def _fitting(self, shard: int) -> set[str]:
        """The jobs of all teams that fit. Summed up for each job by itself, the team's earlier
        ones took two fifths of a controller's time with some 600 machines.
        """
        by_team: dict[str, list[tuple[int, float, str]]] = {}
        for job in self._cluster.jobs.active[shard].values():
            # a job that waits for others holds no part of a guarantee
            if job.spec is not None and not job.is_blocked:
                left = job.spec.gpus * (job.spec.tasks - job.done_task_count())
                by_team.setdefault(job.spec.team, []).append((job.order, left, job.id))
        fitting: set[str] = set()
        for name, entries in by_team.items():
            team = self._settings.team(name)
            if team is None or team.gpus <= 0:
                continue
            entries.sort()
            gpus = 0.0
            # those accepted in one transaction have the same place in the order
            for _, together in groupby(entries, key=itemgetter(0)):
                group = list(together)
                gpus += sum(left for _, left, _ in group)
                if gpus > team.gpus:
                    break
                fitting.update(job_id for _, _, job_id in group)
        return fitting
