"""The collaborators that the parts of multi-machine replicas share.

`service` makes both contexts; the parts take from them what they need and never change them.
"""

from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import Writer
from .agents import Agents
from .pool import PoolState
from .pool_ownership import PoolOwnership
from .serving import ServingLeases
from .settings import MultihostSettings
from .writes import PoolWriter


class ControllerContext(NamedTuple):
    """What a controller gives to its service for multi-machine replicas."""

    settings: Settings
    clock: Clock
    cluster: ClusterState
    membership: Membership
    watcher: StateWatcher
    writer: Writer


class PoolContext(NamedTuple):
    """What the parts that act for the pool's owner work on.

    Attributes:
        settings: The settings of multi-machine replicas.
        clock: The controller's clock.
        ownership: Whether this controller owns the pool.
        pool: The durable records of the pool.
        agents: The views of the pool's machines.
        leases: The serving leases that this owner has granted.
        writer: Writes records of the pool.
    """

    settings: MultihostSettings
    clock: Clock
    ownership: PoolOwnership
    pool: PoolState
    agents: Agents
    leases: ServingLeases
    writer: PoolWriter
