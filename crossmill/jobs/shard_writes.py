"""Write intents of a shard's owner: they are valid only as long as it owns the shard."""

from functools import partial

from ..cluster import keys
from ..cluster.membership import Membership
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Txn


def shard_intent(
    membership: Membership, shard: int, ownership: ShardOwnership, rank: WriteRank, txn: Txn
) -> WriteIntent:
    """Returns the transaction as an intent, with the shard's ownership added to its conditions.

    The write fails if another controller has acquired the shard since.
    """
    txn.conditions = {keys.shard(shard): ownership.version, **txn.conditions}
    authority = partial(membership.write_authority, shard, ownership.token)
    return WriteIntent(txn, rank, authority=authority)
