"""The settings file, checked, and the ratios derived from it."""

from .limits import StateLimits
from .loader import load, parse
from .model import Endpoint, Objective, Peer, Settings, Team
from .table import BadSettings

__all__ = [
    "BadSettings",
    "Endpoint",
    "Objective",
    "Peer",
    "Settings",
    "StateLimits",
    "Team",
    "load",
    "parse",
]
