"""This controller's share of the state service's write rate.

Shares are weighted by the work to expect: the leader also writes every machine's record, shards
with many running arrays have more outcomes to write, and a controller none of whose shards has a
team takes submissions only. All controllers compute the shares from the same keys; while their
views differ, the sum may exceed the rate and a write or two is refused and retried.
"""

from ..settings import Settings
from .cluster_state import ClusterState


def write_share(settings: Settings, cluster: ClusterState) -> float:
    """This controller's share, in changes per second."""
    weights = _weights(settings, cluster)
    return settings.write_rate_for(weights[settings.label], sum(weights.values()), cluster.limits)


def _weights(settings: Settings, cluster: ClusterState) -> dict[str, float]:
    weights = dict.fromkeys(cluster.controllers, 1.0)
    if settings.label not in weights:
        weights = dict.fromkeys(settings.labels, 1.0)
    shards_with_teams = settings.shards_with_teams
    loads = {shard: cluster.write_load(shard) for shard in shards_with_teams}
    total_load = sum(loads.values())
    for shard, record in cluster.shard_owners.items():
        if record.owner in weights and shard in shards_with_teams:
            share = loads[shard] / total_load if total_load else 1 / len(shards_with_teams)
            weights[record.owner] += settings.shard_weight(share)
    leader = cluster.controllers.leader
    if leader in weights:
        weights[leader] += settings.leader_weight
    return weights
