"""The dependencies that the modules of this package share."""

from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import Writer
from .settings import RecoverySettings


class RecoveryContext(NamedTuple):
    """The settings, the clock and the access to the stored state of one controller."""

    settings: Settings
    recovery_settings: RecoverySettings
    clock: Clock
    cluster: ClusterState
    watcher: StateWatcher
    writer: Writer
