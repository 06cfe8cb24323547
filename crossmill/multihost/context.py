"""The collaborators shared by the components that manage multi-machine replicas.

`service` creates the `PoolContext` and `app` the `ControllerContext`. The components take what they
need from them and never modify them.
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
    """The controller's objects that its service for multi-machine replicas uses."""

    settings: Settings
    clock: Clock
    cluster: ClusterState
    membership: Membership
    watcher: StateWatcher
    writer: Writer


class PoolContext(NamedTuple):
    """The objects shared by the components that act for the pool's owner.

    Attributes:
        settings: The settings of multi-machine replicas.
        clock: The controller's clock.
        ownership: This controller's authority over the pool.
        pool: The durable records of the pool.
        agents: The views of the pool's machines.
        leases: The serving leases that this owner has granted.
        writer: The writer of the pool's records.
    """

    settings: MultihostSettings
    clock: Clock
    ownership: PoolOwnership
    pool: PoolState
    agents: Agents
    leases: ServingLeases
    writer: PoolWriter
