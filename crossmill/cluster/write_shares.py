"""How the state service's write rate is parted among the controllers.

It goes by what there is to do: a controller whose shards have no team takes submissions only, the
leader also writes every machine's record, and shards with many running arrays have more outcomes
to write. All see the same keys; while they differ, a refusal or two is the worst.
"""

from ..settings import Settings
from .cluster_state import ClusterState


def write_share(settings: Settings, cluster: ClusterState) -> float:
    """This controller's part, in changes a second."""
    weights = _weights(settings, cluster)
    return settings.write_rate_for(weights[settings.label], sum(weights.values()), cluster.limits)


def _weights(settings: Settings, cluster: ClusterState) -> dict[str, float]:
    weights = dict.fromkeys(cluster.controllers, 1.0)
    if settings.label not in weights:
        weights = dict.fromkeys(settings.labels, 1.0)
    busy = settings.shards_with_teams
    loads = {shard: cluster.write_load(shard) for shard in busy}
    total_load = sum(loads.values())
    for index, shard in cluster.shard_owners.items():
        if shard.owner in weights and index in busy:
            part = loads[index] / total_load if total_load else 1 / len(busy)
            weights[shard.owner] += settings.shard_weight(part)
    if cluster.controllers.leader in weights:
        weights[cluster.controllers.leader] += settings.leader_weight
    return weights
