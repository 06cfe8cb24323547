"""The settings file, checked, and the ratios derived from it."""

from .limits import StateLimits
from .loader import load, parse
from .model import Endpoint, Objective, Peer, Settings, Team
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
