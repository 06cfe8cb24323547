"""The settings file: reading and checking it, and the values derived from it."""

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
