"""The settings of a controller: the parsed and checked settings file, and derived values."""

from .deployment import Endpoint, Objective, Peer, StateLimits, Team
from .loader import load, parse
from .model import Settings
from .table import SettingsError

__all__ = [
    "Endpoint",
    "Objective",
    "Peer",
    "Settings",
    "SettingsError",
    "StateLimits",
    "Team",
    "load",
    "parse",
]
