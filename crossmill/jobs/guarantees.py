"""What teams are guaranteed, what they use, and for which jobs a guarantee speaks."""

from ..cluster.world import Job, World
from ..settings import Settings

# CPUs and GPUs by team
Use = dict[str, list[float]]


class Guarantees:
    def __init__(self, settings: Settings, world: World) -> None:
        self._s = settings
        self._world = world

    def use(self, shard: int) -> Use:
        """What each team's tasks hold, those in doubt included."""
        used: Use = {}
        for job in (*self._world.active[shard].values(), *self._world.ended[shard].values()):
            if job.spec is not None and (count := job.row_count()):
                entry = used.setdefault(job.spec.team, [0.0, 0.0])
                entry[0] += count * job.spec.cpus
                entry[1] += count * job.spec.gpus
        return used

    def beyond(self, team_name: str, used: Use) -> float:
        """GPUs that the team uses beyond its guarantee."""
        team = self._s.team(team_name)
        _, gpus = used.get(team_name, [0.0, 0.0])
        return gpus - team.gpus if team is not None and team.gpus > 0 else 0.0

    def speaks_for(self, job: Job) -> bool:
        """Whether the job fits into its team's guarantee together with the team's earlier ones:
        only then does the guarantee speak for it."""
        spec = job.spec
        team = self._s.team(spec.team) if spec is not None else None
        if spec is None or team is None or team.gpus <= 0:
            return False
        gpus = 0.0
        for other in self._world.active[job.shard].values():
            theirs = other.spec
            if theirs is not None and theirs.team == spec.team and other.order <= job.order:
                gpus += theirs.gpus * (theirs.tasks - other.done_count())
        return gpus <= team.gpus
