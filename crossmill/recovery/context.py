"""The collaborators that the parts of recovery share."""

from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import Writer
from .settings import RecoverySettings


class RecoveryContext(NamedTuple):
    """Settings, clock and access to the stored state, for recovery on one controller."""

    settings: Settings
    recovery_settings: RecoverySettings
    clock: Clock
    cluster: ClusterState
    watcher: StateWatcher
    writer: Writer
